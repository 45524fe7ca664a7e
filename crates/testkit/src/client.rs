//! A blocking client with one connection, for tests of single requests.

use crate::pg;
use crate::runtime::TEST_TIMEOUT;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// An agent's reply to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The requested value.
    Value(Vec<u8>),
    /// The request was rejected and a retry is safe. Holds the SQLSTATE code, and the delay before
    /// a retry if the agent named one.
    Rejected(String, Option<Duration>),
    /// The request failed and may have run. Holds the SQLSTATE code.
    Failed(String),
}

impl Reply {
    /// Returns the SQLSTATE code of an error; `None` for a value.
    pub fn code(self) -> Option<String> {
        match self {
            Reply::Value(_) => None,
            Reply::Rejected(code, _) | Reply::Failed(code) => Some(code),
        }
    }
}

/// A client with one connection.
pub struct TestClient {
    /// The connection to the agent.
    pub stream: TcpStream,
}

impl TestClient {
    /// Connects, retrying until the agent listens, and waits until it serves requests.
    ///
    /// Gives up after [`TEST_TIMEOUT`].
    pub fn connect(address: SocketAddr) -> io::Result<TestClient> {
        let started = Instant::now();
        let mut stream = loop {
            match TcpStream::connect(address) {
                Ok(stream) => break stream,
                Err(e) if started.elapsed() > TEST_TIMEOUT => return Err(e),
                Err(_) => std::thread::sleep(Duration::from_millis(5)),
            }
        };
        stream.set_read_timeout(Some(TEST_TIMEOUT))?;
        stream.set_nodelay(true)?;
        // An empty query directly after the startup message, which the agent answers once it serves
        // requests.
        stream.write_all(&[pg::startup(), pg::query("")].concat())?;
        let mut client = TestClient { stream };
        client.read_until_ready()?;
        let reply = client.read_until_ready()?;
        if reply.iter().any(|(tag, _)| *tag == b'I') {
            Ok(client)
        } else {
            Err(io::Error::other(format!(
                "no response to the empty query: {reply:?}"
            )))
        }
    }

    /// Reads the next message and returns its tag and body.
    pub fn read_message(&mut self) -> io::Result<(u8, Vec<u8>)> {
        let mut header = [0; pg::HEADER_BYTES];
        self.stream.read_exact(&mut header)?;
        let [tag, length @ ..] = header;
        let mut body = vec![0; pg::body_length(length)?];
        self.stream.read_exact(&mut body)?;
        Ok((tag, body))
    }

    /// Reads messages up to the next `ReadyForQuery`, which is not returned.
    pub fn read_until_ready(&mut self) -> io::Result<Vec<(u8, Vec<u8>)>> {
        let mut reply = Vec::new();
        loop {
            match self.read_message()? {
                (pg::READY, _) => return Ok(reply),
                other => reply.push(other),
            }
        }
    }

    /// Sends a query for one object with a deadline of `deadline_ms` milliseconds. The request id
    /// is the client's port.
    pub fn send_query(&mut self, class: &str, deadline_ms: u32) {
        let id = self.stream.local_addr().map_or(0, |a| a.port());
        self.send_query_as(&id.to_string(), class, deadline_ms);
    }

    /// Sends a query for one object with this request id and a deadline of `deadline_ms`
    /// milliseconds.
    pub fn send_query_as(&mut self, id: &str, class: &str, deadline_ms: u32) {
        self.send_statement(&format!(
            "SELECT body FROM objects WHERE oid = 'a1' /* id={id},c={class},d={deadline_ms} */"
        ));
    }

    /// Writes a statement. A write error is ignored here; reading the reply then fails.
    pub fn send_statement(&mut self, statement: &str) {
        let _ = self.stream.write_all(&pg::query(statement));
    }

    /// Reads the reply to the oldest unanswered request.
    pub fn read_reply(&mut self) -> io::Result<Reply> {
        let reply = self.read_until_ready()?;
        let first = |tag| reply.iter().find(|(t, _)| *t == tag).map(|(_, body)| body);
        if let Some(error) = first(pg::ERROR) {
            let code = pg::error_field(error, b'C').unwrap_or_default();
            let retry_after = pg::error_field(error, b'D')
                .and_then(|d| d.parse().ok())
                .map(Duration::from_millis);
            return Ok(match code.as_str() {
                "53300" | "57P03" => Reply::Rejected(code, retry_after),
                _ => Reply::Failed(code),
            });
        }
        let row = first(pg::DATA_ROW).and_then(|row| row.get(6..));
        row.map(|v| Reply::Value(v.to_vec()))
            .ok_or_else(|| io::Error::other(format!("no error or row in the response: {reply:?}")))
    }
}
