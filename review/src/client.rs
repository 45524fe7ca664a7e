//! A stand-in for a client: one connection, one request at a time.

use crate::wire;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// An agent's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Value(Vec<u8>),
    Error(String),
}

pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    pub fn connect(address: SocketAddr, patience: Duration) -> io::Result<Client> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(patience))?;
        wire::write(&mut stream, &wire::startup())?;
        let mut client = Client { stream };
        client.read_until_ready()?;
        Ok(client)
    }

    fn read_until_ready(&mut self) -> io::Result<Vec<(u8, Vec<u8>)>> {
        let mut messages = Vec::new();
        loop {
            match wire::read_message(&mut self.stream)? {
                (b'Z', _) => return Ok(messages),
                (b'E', body) if wire::error_field(&body, b'S').as_deref() == Some("FATAL") => {
                    messages.push((b'E', body));
                    return Ok(messages);
                }
                message => messages.push(message),
            }
        }
    }

    /// Sends a statement and reads its answer.
    pub fn ask(&mut self, statement: &str) -> io::Result<Answer> {
        wire::write(&mut self.stream, &wire::query(statement))?;
        let messages = self.read_until_ready()?;
        let body = |tag| {
            messages
                .iter()
                .find(|(t, _)| *t == tag)
                .map(|(_, body)| body)
        };
        if let Some(error) = body(b'E') {
            return Ok(Answer::Error(
                wire::error_field(error, b'C').unwrap_or_default(),
            ));
        }
        let row = body(b'D').and_then(|row| row.get(6..));
        row.map(|value| Answer::Value(value.to_vec()))
            .ok_or_else(|| io::Error::other("neither a row nor an error"))
    }
}
