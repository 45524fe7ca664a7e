//! A client's connection.

use crate::pg;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Value(Vec<u8>),
    Error(String),
    /// An empty query, or a session command.
    Other,
    /// The connection ended with no whole answer.
    Closed,
}

/// A connection that has completed its startup.
pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    pub fn connect(agent: SocketAddr) -> io::Result<Client> {
        let mut stream = TcpStream::connect_timeout(&agent, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        stream.write_all(&pg::startup())?;
        let mut client = Client { stream };
        client.read_answer()?;
        Ok(client)
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(&pg::query(text))
    }

    /// Writes statements back to back.
    pub fn send_all(&mut self, texts: &[&str]) -> io::Result<()> {
        let bytes: Vec<u8> = texts.iter().flat_map(|text| pg::query(text)).collect();
        self.stream.write_all(&bytes)
    }

    /// Reads an answer up to ready-for-query, or to the end of the connection.
    pub fn read_answer(&mut self) -> io::Result<Answer> {
        Ok(self.read_answer_before_end()?.unwrap_or(Answer::Closed))
    }

    /// Reads an answer; `None` if the connection ended in order before one. After a fatal error no ready-for-query
    /// has to come.
    pub fn read_answer_before_end(&mut self) -> io::Result<Option<Answer>> {
        let mut answer = Answer::Other;
        let mut row = None;
        loop {
            let Some((tag, body)) = pg::read_message(&mut self.stream)? else {
                return Ok(match answer {
                    Answer::Error(code) => Some(Answer::Error(code)),
                    _ => None,
                });
            };
            match tag {
                b'D' => row = body.get(6..).map(<[u8]>::to_vec),
                b'C' => {
                    if let Some(value) = row.take() {
                        answer = Answer::Value(value);
                    }
                }
                b'E' => answer = Answer::Error(pg::error_code(&body)),
                b'Z' => return Ok(Some(answer)),
                _ => {}
            }
        }
    }
}

/// A statement that reads, or for classes with an effect writes, an object.
pub fn statement(id: &str, class: &str, key: bool, write: bool, deadline_ms: u64) -> String {
    let key = if key {
        format!(",k=k{id}")
    } else {
        String::new()
    };
    if write {
        format!("INSERT INTO objects (oid, body) VALUES ('o{id}', '\\x9f03') RETURNING body /* id={id},c={class},t=northern,d={deadline_ms}{key} */")
    } else {
        format!("SELECT body FROM objects WHERE oid = 'o{id}' /* id={id},c={class},t=northern,d={deadline_ms}{key} */")
    }
}
