//! A proxy in front of an agent that cuts connections after a given number of bytes in one
//! direction.

use crate::runtime::{self, lock_unpoisoned, TerminationSignal};
use async_executor::Task;
use async_io::Async;
use futures_lite::future::FutureExt;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};

/// Size of the copy buffer.
const BUFFER_BYTES: usize = 4096;

/// The point at which a connection is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutPoint {
    /// The proxy does not cut the connection.
    Never,
    /// After this many bytes from the client to the agent.
    ToAgent(usize),
    /// After this many bytes from the agent to the client.
    FromAgent(usize),
}

/// A proxy that forwards connections to an agent and cuts them at scripted points. Connections
/// beyond the end of the script are not cut.
pub struct ConnectionCutter {
    /// The address on which the proxy listens.
    pub address: SocketAddr,
    connections: Arc<TerminationSignal>,
    _task: Task<()>,
}

impl ConnectionCutter {
    /// Starts a proxy to this agent. The n-th accepted connection uses the n-th entry of the
    /// script.
    pub fn start(agent: SocketAddr, script: Vec<CutPoint>) -> io::Result<ConnectionCutter> {
        let script = Arc::new(Mutex::new(script.into_iter()));
        let connections = Arc::<TerminationSignal>::default();
        let (address, task) = runtime::listen(&connections, move |stream| {
            let next = lock_unpoisoned(&script).next();
            let cut = next.unwrap_or(CutPoint::Never);
            async move {
                let _ = forward(stream, agent, cut).await;
            }
        })?;
        Ok(ConnectionCutter {
            address,
            connections,
            _task: task,
        })
    }
}

impl Drop for ConnectionCutter {
    fn drop(&mut self) {
        self.connections.end();
    }
}

async fn forward(client: Async<TcpStream>, agent: SocketAddr, cut: CutPoint) -> io::Result<()> {
    let server = Async::<TcpStream>::connect(agent).await?;
    server.get_ref().set_nodelay(true)?;
    let (to_agent, from_agent) = match cut {
        CutPoint::Never => (usize::MAX, usize::MAX),
        CutPoint::ToAgent(bytes) => (bytes, usize::MAX),
        CutPoint::FromAgent(bytes) => (usize::MAX, bytes),
    };
    // Closing one direction closes both, as a failed machine in between would.
    copy(&client, &server, to_agent)
        .or(copy(&server, &client, from_agent))
        .await?;
    let _ = client.get_ref().shutdown(Shutdown::Both);
    let _ = server.get_ref().shutdown(Shutdown::Both);
    Ok(())
}

/// Copies until the sender closes the connection or `limit` bytes have been copied.
async fn copy(from: &Async<TcpStream>, to: &Async<TcpStream>, limit: usize) -> io::Result<()> {
    let mut from = from;
    let mut to = to;
    let mut remaining = limit;
    let mut buffer = [0; BUFFER_BYTES];
    while remaining > 0 {
        let read = from.read(&mut buffer).await?;
        if read == 0 {
            return Ok(());
        }
        let copied = read.min(remaining);
        to.write_all(&buffer[..copied]).await?;
        remaining -= copied;
    }
    Ok(())
}
