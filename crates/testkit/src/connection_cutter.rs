//! A way to an agent that is cut after so many bytes, in one direction or the other.

use crate::runtime::{self, lock_unpoisoned, TerminationSignal};
use async_executor::Task;
use async_io::Async;
use futures_lite::future::FutureExt;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};

/// How one connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutPoint {
    Never,
    /// After so many bytes to the agent.
    ToAgent(usize),
    /// After so many bytes from it.
    FromAgent(usize),
}

/// Passes connections on, each cut as its script says; those beyond the script are not cut.
pub struct ConnectionCutter {
    pub address: SocketAddr,
    ends: Arc<TerminationSignal>,
    _task: Task<()>,
}

impl ConnectionCutter {
    pub fn start(agent: SocketAddr, script: Vec<CutPoint>) -> io::Result<ConnectionCutter> {
        let script = Arc::new(Mutex::new(script.into_iter()));
        let ends = Arc::<TerminationSignal>::default();
        let (address, task) = runtime::listen(&ends, move |stream| {
            let next = lock_unpoisoned(&script).next();
            let cut = next.unwrap_or(CutPoint::Never);
            async move {
                let _ = pass(stream, agent, cut).await;
            }
        })?;
        Ok(ConnectionCutter {
            address,
            ends,
            _task: task,
        })
    }
}

impl Drop for ConnectionCutter {
    fn drop(&mut self) {
        self.ends.end();
    }
}

async fn pass(client: Async<TcpStream>, agent: SocketAddr, cut: CutPoint) -> io::Result<()> {
    let server = Async::<TcpStream>::connect(agent).await?;
    server.get_ref().set_nodelay(true)?;
    let limit = |cut_here: Option<usize>| cut_here.unwrap_or(usize::MAX);
    let there = limit(if let CutPoint::ToAgent(n) = cut {
        Some(n)
    } else {
        None
    });
    let back = limit(if let CutPoint::FromAgent(n) = cut {
        Some(n)
    } else {
        None
    });
    // Either end ends both, as a machine between them that dies would.
    copy(&client, &server, there)
        .or(copy(&server, &client, back))
        .await?;
    let _ = client.get_ref().shutdown(Shutdown::Both);
    let _ = server.get_ref().shutdown(Shutdown::Both);
    Ok(())
}

async fn copy(from: &Async<TcpStream>, to: &Async<TcpStream>, most: usize) -> io::Result<()> {
    let (mut from, mut to, mut left) = (from, to, most);
    let mut room = [0; 4096];
    while left > 0 {
        let got = from.read(&mut room).await?;
        if got == 0 {
            return Ok(());
        }
        let pass = got.min(left);
        to.write_all(&room[..pass]).await?;
        left -= pass;
    }
    Ok(())
}
