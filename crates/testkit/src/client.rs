//! One client, for single cases. It blocks.

use crate::pg;
use crate::runtime::TEST_TIMEOUT;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// An agent's reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The value that was asked for.
    Value(Vec<u8>),
    /// A retry is safe; the code, and the time to retry after where that was named.
    Rejected(String, Option<Duration>),
    /// The code: nothing is promised.
    Failed(String),
}

impl Reply {
    /// The code of an error, nothing for a value.
    pub fn code(self) -> Option<String> {
        match self {
            Reply::Value(_) => None,
            Reply::Rejected(code, _) | Reply::Failed(code) => Some(code),
        }
    }
}

/// A client with one connection.
pub struct TestClient {
    /// The connection.
    pub stream: TcpStream,
}

impl TestClient {
    /// Connects, waiting for the program to listen, and waits until it serves.
    pub fn connect(address: SocketAddr) -> io::Result<TestClient> {
        let begun = Instant::now();
        let mut stream = loop {
            match TcpStream::connect(address) {
                Ok(stream) => break stream,
                Err(e) if begun.elapsed() > TEST_TIMEOUT => return Err(e),
                Err(_) => std::thread::sleep(Duration::from_millis(5)),
            }
        };
        stream.set_read_timeout(Some(TEST_TIMEOUT))?;
        stream.set_nodelay(true)?;
        // The first query right behind the startup message: the empty one, answered once the agent
        // serves.
        stream.write_all(&[pg::startup(), pg::query("")].concat())?;
        let mut client = TestClient { stream };
        client.read_until_ready()?;
        let heard = client.read_until_ready()?;
        if heard.iter().any(|(tag, _)| *tag == b'I') {
            Ok(client)
        } else {
            Err(io::Error::other(format!(
                "no answer to the empty query: {heard:?}"
            )))
        }
    }

    /// The next message: its tag and its body.
    pub fn read_message(&mut self) -> io::Result<(u8, Vec<u8>)> {
        let mut header = [0; pg::HEADER_BYTES];
        self.stream.read_exact(&mut header)?;
        let [tag, length @ ..] = header;
        let mut body = vec![0; pg::body_length(length)?];
        self.stream.read_exact(&mut body)?;
        Ok((tag, body))
    }

    /// All messages up to the next that says it is ready.
    pub fn read_until_ready(&mut self) -> io::Result<Vec<(u8, Vec<u8>)>> {
        let mut heard = Vec::new();
        loop {
            match self.read_message()? {
                (pg::READY, _) => return Ok(heard),
                other => heard.push(other),
            }
        }
    }

    /// Sends a read of one object with this deadline in milliseconds. Its id is the client's port.
    pub fn send_query(&mut self, class: &str, wait: u32) {
        let id = self.stream.local_addr().map_or(0, |a| a.port());
        self.send_query_as(&id.to_string(), class, wait);
    }

    /// The same with this id.
    pub fn send_query_as(&mut self, id: &str, class: &str, wait: u32) {
        self.send_statement(&format!(
            "SELECT body FROM objects WHERE oid = 'a1' /* id={id},c={class},d={wait} */"
        ));
    }

    /// Writes a statement. Whether it went out shows when its answer is read.
    pub fn send_statement(&mut self, statement: &str) {
        let _ = self.stream.write_all(&pg::query(statement));
    }

    /// The answer to the next request.
    pub fn read_reply(&mut self) -> io::Result<Reply> {
        let heard = self.read_until_ready()?;
        let first = |tag| heard.iter().find(|(t, _)| *t == tag).map(|(_, body)| body);
        if let Some(error) = first(pg::ERROR) {
            let code = pg::error_field(error, b'C').unwrap_or_default();
            let back = pg::error_field(error, b'D')
                .and_then(|d| d.parse().ok())
                .map(Duration::from_millis);
            return Ok(match code.as_str() {
                "53300" | "57P03" => Reply::Rejected(code, back),
                _ => Reply::Failed(code),
            });
        }
        let row = first(pg::DATA_ROW).and_then(|row| row.get(6..));
        row.map(|v| Reply::Value(v.to_vec()))
            .ok_or_else(|| io::Error::other(format!("no answer: {heard:?}")))
    }
}
