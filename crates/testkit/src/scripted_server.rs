//! A server that sends fixed bytes on each connection, for replies that no fake sends.

use crate::runtime::{self, TerminationSignal};
use async_executor::Task;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;

/// Upper limit on the bytes of a request that are read.
const MAX_REQUEST: usize = 1024;

/// A server that answers the first request of each connection with fixed bytes.
pub struct ScriptedServer {
    /// The address on which the server listens.
    pub address: SocketAddr,
    /// Receives the first request of each connection, in order of arrival.
    pub requests: Receiver<String>,
    _task: Task<()>,
}

impl ScriptedServer {
    /// Starts a server that sends `reply` once on each connection, after it has received any data
    /// there. The connection then stays open.
    pub fn start(reply: &str) -> io::Result<ScriptedServer> {
        let (sender, requests) = channel();
        let reply = reply.to_owned();
        let signal = Arc::<TerminationSignal>::default();
        let (address, task) = runtime::listen(&signal, move |mut stream| {
            let reply = reply.clone();
            let sender = sender.clone();
            async move {
                let mut first = [0; MAX_REQUEST];
                let read = stream.read(&mut first).await.unwrap_or_default();
                let _ = sender.send(String::from_utf8_lossy(&first[..read]).into());
                let _ = stream.write_all(reply.as_bytes()).await;
                futures_lite::future::pending::<()>().await;
            }
        })?;
        Ok(ScriptedServer {
            address,
            requests,
            _task: task,
        })
    }

    /// Formats an HTTP response with this body.
    pub fn http_response(body: &str) -> String {
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }
}
