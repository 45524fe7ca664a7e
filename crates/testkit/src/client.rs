//! One client, for single cases. It blocks.

use crate::pg;
use crate::runtime::TEST_TIMEOUT;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// What an agent told it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    Value(Vec<u8>),
    /// A retry is harmless; the code, and when to come back where that was said.
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

pub struct TestClient {
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

    /// The next message.
    pub fn read_message(&mut self) -> io::Result<(u8, Vec<u8>)> {
        let mut head = [0; 5];
        self.stream.read_exact(&mut head)?;
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        let mut body = vec![0; length.checked_sub(4).ok_or(io::ErrorKind::InvalidData)?];
        self.stream.read_exact(&mut body)?;
        Ok((head[0], body))
    }

    /// All messages up to the next that says it is ready.
    pub fn read_until_ready(&mut self) -> io::Result<Vec<(u8, Vec<u8>)>> {
        let mut heard = Vec::new();
        loop {
            match self.read_message()? {
                (b'Z', _) => return Ok(heard),
                other => heard.push(other),
            }
        }
    }

    /// Writes a read of one object; `wait` in milliseconds. The id is that of its port unless `id`
    /// is given.
    pub fn send_query(&mut self, class: &str, wait: u32) {
        let id = self.stream.local_addr().map_or(0, |a| a.port());
        self.send_query_as(&id.to_string(), class, wait);
    }

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
        if let Some(error) = first(b'E') {
            let code = pg::error_field(error, b'C').unwrap_or_default();
            let back = pg::error_field(error, b'D')
                .and_then(|d| d.parse().ok())
                .map(Duration::from_millis);
            return Ok(match code.as_str() {
                "53300" | "57P03" => Reply::Rejected(code, back),
                _ => Reply::Failed(code),
            });
        }
        let row = first(b'D').and_then(|row| row.get(6..));
        row.map(|v| Reply::Value(v.to_vec()))
            .ok_or_else(|| io::Error::other(format!("no answer: {heard:?}")))
    }
}
