//! A connection to an agent, and the exchange of a request and its response.

use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use thiserror::Error;
use tulipwall_client_policy::response::{ProtocolError, Response, ResponseParser};
use tulipwall_client_policy::AttemptOutcome;

/// The maximum number of bytes per read.
const READ_BYTES: usize = 4096;
/// A read buffer with a larger capacity, in bytes, is not kept for the next response.
const MAX_KEPT_BUFFER: usize = READ_BYTES * 4;
/// The body of the startup message: protocol version 3.0, then parameters, which agents ignore.
const STARTUP_BODY: &[u8] = b"\0\x03\0\0user\0worker\0database\0catalog\0\0";
/// The size of the length field, which the length of a message includes.
const LENGTH_BYTES: usize = 4;

/// A connection whose startup the agent has accepted.
#[derive(Debug)]
pub struct Connection {
    stream: Async<TcpStream>,
    opened_at: Instant,
    idle_since: Instant,
    lifetime: Duration,
    /// Whether a request was sent on the connection before.
    used: bool,
    /// Whether the agent has sent data that nothing asked for.
    has_unsolicited_data: bool,
    buffer: Vec<u8>,
}

/// Why a connection could not be opened.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The agent could not be reached.
    #[error("the agent could not be reached: {0}")]
    Io(#[from] io::Error),
    /// The agent responded to the startup message with an error.
    #[error("the agent refused the connection: {0:?}")]
    Refused(Response),
    /// The response to the startup message is invalid, or the connection ended before it.
    #[error("the agent's response to the startup message is malformed")]
    Malformed,
}

/// Why a request on a connection has no response. The connection must not be used any more.
#[derive(Debug, Error)]
pub enum ExchangeError {
    #[error("the request was not completely written")]
    NotSent,
    #[error("a reused connection was closed before the first byte of the response")]
    StaleConnection,
    #[error("the connection was lost before the response was complete")]
    ConnectionLost,
    #[error("malformed response: {0}")]
    Malformed(#[from] ProtocolError),
}

impl From<ExchangeError> for AttemptOutcome {
    fn from(error: ExchangeError) -> AttemptOutcome {
        match error {
            ExchangeError::NotSent => AttemptOutcome::NotSent,
            ExchangeError::StaleConnection => AttemptOutcome::StaleConnection,
            ExchangeError::ConnectionLost => AttemptOutcome::ConnectionLost,
            ExchangeError::Malformed(_) => AttemptOutcome::MalformedResponse,
        }
    }
}

impl Connection {
    /// Opens a connection and waits until the agent reports that it is ready or refuses the
    /// connection.
    pub async fn open(agent: SocketAddr, lifetime: Duration) -> Result<Connection, ConnectError> {
        let stream = Async::<TcpStream>::connect(agent).await?;
        stream.get_ref().set_nodelay(true)?;
        let now = Instant::now();
        let mut connection = Connection {
            stream,
            opened_at: now,
            idle_since: now,
            lifetime,
            used: false,
            has_unsolicited_data: false,
            buffer: Vec::new(),
        };
        connection.stream.write_all(&startup_message()).await?;
        match connection.read_response(0).await {
            // Whatever follows the startup would be taken for the response to the first request.
            Ok(Response::Ready) if connection.is_open_without_data() => Ok(connection),
            Ok(Response::Ready) => Err(ConnectError::Malformed),
            Ok(Response::Value(_)) | Err(_) => Err(ConnectError::Malformed),
            Ok(refusal) => Err(ConnectError::Refused(refusal)),
        }
    }

    /// Returns whether the connection may serve another request.
    pub fn is_reusable(&self) -> bool {
        self.within_lifetime() && !self.has_unsolicited_data
    }

    /// Returns whether the connection is younger than its lifetime.
    pub fn within_lifetime(&self) -> bool {
        self.opened_at.elapsed() < self.lifetime
    }

    /// Returns the time since the connection was opened or its last exchange ended.
    pub fn idle_time(&self) -> Duration {
        self.idle_since.elapsed()
    }

    /// Returns whether the connection is open and has no unread bytes. Bytes that arrive without a
    /// request must not be taken for the response to the next one.
    pub fn is_open_without_data(&self) -> bool {
        let peeked = self.stream.get_ref().peek(&mut [0]);
        let is_empty = peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock);
        is_empty && !self.has_unsolicited_data
    }

    /// Sends a statement and reads the response. `written` is set once the last byte was written,
    /// so that the caller knows it even after dropping the future.
    pub async fn exchange(
        &mut self,
        statement: &str,
        max_value_bytes: usize,
        written: &mut bool,
    ) -> Result<Response, ExchangeError> {
        let query = query_message(statement);
        // A write that failed did not write the last byte, and an incomplete request never runs.
        if self.stream.write_all(&query).await.is_err() {
            return Err(ExchangeError::NotSent);
        }
        *written = true;
        let response = self.read_response(max_value_bytes).await;
        self.used = true;
        self.idle_since = Instant::now();
        match response {
            // The agent is ready, but has sent neither a value nor an error. It still owes the
            // response, which would be taken for that to the next request.
            Ok(Response::Ready) => Err(ProtocolError::IncompleteResponse.into()),
            response => response,
        }
    }

    async fn read_response(&mut self, max_value_bytes: usize) -> Result<Response, ExchangeError> {
        let mut parser = ResponseParser::new(max_value_bytes);
        let mut unread = std::mem::take(&mut self.buffer);
        unread.clear();
        loop {
            if self.read_more(&mut unread).await == 0 {
                return self.on_end_of_stream(parser, &unread);
            }
            let (consumed, response) = match parser.feed(&unread) {
                Ok(progress) => progress,
                Err(error) => {
                    let agent = self.stream.get_ref().peer_addr().ok();
                    log::debug!(agent:?; "malformed response: {error}");
                    return Err(error.into());
                }
            };
            unread.drain(..consumed);
            if let Some(response) = response {
                self.keep_buffer(unread);
                return Ok(response);
            }
        }
    }

    /// Reads available bytes into `unread` and returns their number. Returns 0 at the end of the
    /// stream and also on a read error, as both end the connection.
    async fn read_more(&mut self, unread: &mut Vec<u8>) -> usize {
        let start = unread.len();
        unread.resize(start + READ_BYTES, 0);
        let read = self.stream.read(&mut unread[start..]).await;
        let read = read.unwrap_or_default();
        unread.truncate(start + read);
        read
    }

    fn on_end_of_stream(
        &self,
        mut parser: ResponseParser,
        unread: &[u8],
    ) -> Result<Response, ExchangeError> {
        // A fatal error needs no further message, but a partial message after it makes it invalid.
        if let Some(response) = parser.finish().filter(|_| unread.is_empty()) {
            return Ok(response);
        }
        if self.used && !parser.started() && unread.is_empty() {
            return Err(ExchangeError::StaleConnection);
        }
        Err(ExchangeError::ConnectionLost)
    }

    /// Keeps the buffer for the next response. Bytes after a response do not invalidate it, but the
    /// connection is not used again.
    fn keep_buffer(&mut self, unread: Vec<u8>) {
        if !unread.is_empty() {
            self.has_unsolicited_data = true;
        }
        if unread.capacity() <= MAX_KEPT_BUFFER {
            self.buffer = unread;
        }
    }
}

fn startup_message() -> Vec<u8> {
    let length = (STARTUP_BODY.len() + LENGTH_BYTES) as u32;
    [&length.to_be_bytes()[..], STARTUP_BODY].concat()
}

fn query_message(statement: &str) -> Vec<u8> {
    let terminated_length = statement.len() + 1;
    let length = (terminated_length + LENGTH_BYTES) as u32;
    let mut message = Vec::with_capacity(1 + LENGTH_BYTES + terminated_length);
    message.push(b'Q');
    message.extend(length.to_be_bytes());
    message.extend(statement.as_bytes());
    message.push(0);
    message
}
