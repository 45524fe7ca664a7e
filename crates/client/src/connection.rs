//! One connection to an agent.

use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use tulipwall_client_policy::response::{Response, ResponseParser};
use tulipwall_client_policy::AttemptOutcome;

const READ: usize = 4096;

#[derive(Debug)]
pub struct Connection {
    stream: Async<TcpStream>,
    pub since: Instant,
    pub idle_from: Instant,
    pub life: Duration,
    /// A request was answered on it before.
    pub used: bool,
    room: Vec<u8>,
}

/// What came of one request on a connection.
pub enum Heard {
    Response(Response),
    /// No answer; the connection is of no further use.
    AttemptOutcome(AttemptOutcome),
}

impl Connection {
    /// Opens one and waits until it is ready, or until the agent says that it is not.
    pub async fn open(
        agent: SocketAddr,
        life: Duration,
    ) -> io::Result<Result<Connection, Response>> {
        let stream = Async::<TcpStream>::connect(agent).await?;
        stream.get_ref().set_nodelay(true)?;
        let now = Instant::now();
        let mut connection = Connection {
            stream,
            since: now,
            idle_from: now,
            life,
            used: false,
            room: Vec::new(),
        };
        let body = b"\0\x03\0\0user\0worker\0database\0catalog\0\0";
        let startup = [&(body.len() as u32 + 4).to_be_bytes()[..], body].concat();
        connection.stream.write_all(&startup).await?;
        match connection.hear(0).await {
            Heard::Response(Response::Ready) => Ok(Ok(connection)),
            Heard::Response(
                said @ (Response::Rejected { .. } | Response::Draining | Response::Error { .. }),
            ) => Ok(Err(said)),
            _ => Err(io::ErrorKind::InvalidData.into()),
        }
    }

    /// Whether it is open with nothing to read. What came unasked belongs to nobody.
    pub fn quiet(&self) -> bool {
        let read = self.stream.get_ref().peek(&mut [0]);
        read.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Writes a statement and hears the answer. `written` tells once its last byte went out.
    pub async fn ask(&mut self, statement: &str, value_most: usize, written: &mut bool) -> Heard {
        let mut query = Vec::with_capacity(statement.len() + 6);
        query.push(b'Q');
        query.extend((statement.len() as u32 + 5).to_be_bytes());
        query.extend(statement.as_bytes());
        query.push(0);
        // The last byte goes out with the rest or not at all: until then it never ran.
        if self.stream.write_all(&query).await.is_err() {
            return Heard::AttemptOutcome(AttemptOutcome::NotSent);
        }
        *written = true;
        let heard = self.hear(value_most).await;
        self.used = true;
        self.idle_from = Instant::now();
        heard
    }

    async fn hear(&mut self, value_most: usize) -> Heard {
        let mut reading = ResponseParser::new(value_most);
        let mut unread = std::mem::take(&mut self.room);
        unread.clear();
        loop {
            let from = unread.len();
            unread.resize(from + READ, 0);
            // A connection that broke has ended, too.
            let got = self
                .stream
                .read(&mut unread[from..])
                .await
                .unwrap_or_default();
            unread.truncate(from + got);
            if got == 0 {
                // A fatal error needs nothing behind it, but half an answer is none.
                let whole = reading.finish().filter(|_| unread.is_empty());
                return match whole {
                    Some(said) => Heard::Response(said),
                    None if self.used && !reading.started() && unread.is_empty() => {
                        Heard::AttemptOutcome(AttemptOutcome::StaleConnection)
                    }
                    None => Heard::AttemptOutcome(AttemptOutcome::ConnectionLost),
                };
            }
            match reading.feed(&unread) {
                Err(error) => {
                    log::debug!(agent:? = self.stream.get_ref().peer_addr().ok(); "malformed response: {error}");
                    return Heard::AttemptOutcome(AttemptOutcome::MalformedResponse);
                }
                Ok((took, said)) => {
                    unread.drain(..took);
                    if let Some(said) = said {
                        let behind = !unread.is_empty();
                        if unread.capacity() <= READ * 4 {
                            self.room = unread;
                        }
                        if behind {
                            // Bytes behind an answer: it stands, but nothing more is heard here.
                            self.life = Duration::ZERO;
                        }
                        return Heard::Response(said);
                    }
                }
            }
        }
    }
}
