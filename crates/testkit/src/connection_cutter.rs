//! A proxy in front of an agent that cuts connections after so many bytes, in one direction or the
//! other.

use crate::runtime::{self, lock_unpoisoned, TerminationSignal};
use async_executor::Task;
use async_io::Async;
use futures_lite::future::FutureExt;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};

/// Bytes that are read at once.
const BUFFER_BYTES: usize = 4096;

/// Where one connection is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutPoint {
    /// Not by the cutter.
    Never,
    /// After so many bytes to the agent.
    ToAgent(usize),
    /// After so many bytes from it.
    FromAgent(usize),
}

/// Passes connections on, each cut as its script says; those beyond the script are not cut.
pub struct ConnectionCutter {
    /// Where it listens.
    pub address: SocketAddr,
    connections: Arc<TerminationSignal>,
    _task: Task<()>,
}

impl ConnectionCutter {
    /// Starts a proxy to this agent; the script is used up by connections in their order.
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
    // Either end ends both, as a machine between them that dies would.
    copy(&client, &server, to_agent)
        .or(copy(&server, &client, from_agent))
        .await?;
    let _ = client.get_ref().shutdown(Shutdown::Both);
    let _ = server.get_ref().shutdown(Shutdown::Both);
    Ok(())
}

/// Copies until the sender closes or so many bytes have passed.
async fn copy(from: &Async<TcpStream>, to: &Async<TcpStream>, limit: usize) -> io::Result<()> {
    let mut from = from;
    let mut to = to;
    let mut left = limit;
    let mut buffer = [0; BUFFER_BYTES];
    while left > 0 {
        let read = from.read(&mut buffer).await?;
        if read == 0 {
            return Ok(());
        }
        let passed = read.min(left);
        to.write_all(&buffer[..passed]).await?;
        left -= passed;
    }
    Ok(())
}
