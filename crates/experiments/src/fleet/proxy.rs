//! A proxy between one agent and one fake server that counts the traffic.

use async_io::Async;
use futures_lite::future::FutureExt;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Instant;
use tulipwall_testkit::runtime::{self, lock_unpoisoned, TerminationSignal};

/// Maximum number of transfers that are recorded one by one; later ones only add to the totals.
const MAX_TRANSFERS: usize = 100_000;
const BUFFER_BYTES: usize = 64 * 1024;

/// Direction of a transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the agent to the server.
    FromAgent,
    /// From the server to the agent.
    ToAgent,
}

/// Bytes that were forwarded at once.
#[derive(Clone, Copy, Debug)]
pub struct Transfer {
    /// When the bytes were forwarded.
    pub at: Instant,
    /// Number of the connection, counted from 1 in the order of accepting.
    pub connection: u64,
    /// Direction of the bytes.
    pub direction: Direction,
    /// Number of bytes.
    pub bytes: u64,
}

/// Traffic so far. Only payload counts, without the headers of TCP and IP.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// Bytes that the agent sent.
    pub from_agent: u64,
    /// Bytes that the agent received.
    pub to_agent: u64,
    /// Number of connections that the agent opened.
    pub connections: u64,
    /// The first transfers, up to a fixed number.
    pub transfers: Vec<Transfer>,
}

impl Traffic {
    /// Returns the bytes of both directions.
    pub fn bytes(&self) -> u64 {
        self.from_agent + self.to_agent
    }

    fn count(&mut self, connection: u64, direction: Direction, bytes: u64) {
        match direction {
            Direction::FromAgent => self.from_agent += bytes,
            Direction::ToAgent => self.to_agent += bytes,
        }
        if self.transfers.len() < MAX_TRANSFERS {
            self.transfers.push(Transfer {
                at: Instant::now(),
                connection,
                direction,
                bytes,
            });
        }
    }
}

/// A response of the server, and the agent's next request on the same connection.
#[derive(Clone, Copy, Debug)]
pub struct Response {
    /// When the last bytes of the response were forwarded.
    pub complete_at: Instant,
    /// When the agent sent the next request.
    pub next_request_at: Instant,
    /// Length of the response, in bytes.
    pub bytes: u64,
}

/// A proxy that counts traffic; it stops when dropped.
pub struct CountingProxy {
    /// Address at which the proxy listens.
    pub address: SocketAddr,
    traffic: Arc<Mutex<Traffic>>,
    termination: Arc<TerminationSignal>,
    _task: async_executor::Task<()>,
}

impl CountingProxy {
    /// Starts a proxy that forwards to the server at this address.
    ///
    /// # Errors
    /// Returns an error if the proxy cannot listen.
    pub fn start(server: SocketAddr) -> io::Result<CountingProxy> {
        let traffic = Arc::<Mutex<Traffic>>::default();
        let termination = Arc::<TerminationSignal>::default();
        let shared_traffic = traffic.clone();
        let (address, task) = runtime::listen(&termination, move |stream| {
            let traffic = shared_traffic.clone();
            async move {
                // If a connection fails, the agent has to handle it.
                let _ = forward(stream, server, &traffic).await;
            }
        })?;
        Ok(CountingProxy {
            address,
            traffic,
            termination,
            _task: task,
        })
    }

    /// Returns the traffic so far.
    pub fn traffic(&self) -> Traffic {
        lock_unpoisoned(&self.traffic).clone()
    }

    /// Returns the bytes of both directions so far.
    pub fn bytes(&self) -> u64 {
        lock_unpoisoned(&self.traffic).bytes()
    }

    /// Returns the first response that began at or after `since` and was followed by another
    /// request on its connection; `None` if there is none yet.
    pub fn response_since(&self, since: Instant) -> Option<Response> {
        let traffic = lock_unpoisoned(&self.traffic);
        let mut responses: BTreeMap<u64, Response> = BTreeMap::new();
        for transfer in traffic.transfers.iter().filter(|t| t.at >= since) {
            let response = responses.get_mut(&transfer.connection);
            match (transfer.direction, response) {
                (Direction::FromAgent, Some(response)) => {
                    response.next_request_at = transfer.at;
                    return Some(*response);
                }
                (Direction::FromAgent, None) => {}
                (Direction::ToAgent, Some(response)) => {
                    response.complete_at = transfer.at;
                    response.bytes += transfer.bytes;
                }
                (Direction::ToAgent, None) => {
                    let response = Response {
                        complete_at: transfer.at,
                        next_request_at: transfer.at,
                        bytes: transfer.bytes,
                    };
                    responses.insert(transfer.connection, response);
                }
            }
        }
        None
    }

    /// Returns when the server first sent anything; `None` if it has sent nothing yet.
    pub fn first_response_at(&self) -> Option<Instant> {
        let traffic = lock_unpoisoned(&self.traffic);
        let mut transfers = traffic.transfers.iter();
        let first = transfers.find(|t| t.direction == Direction::ToAgent);
        first.map(|transfer| transfer.at)
    }
}

impl Drop for CountingProxy {
    fn drop(&mut self) {
        self.termination.end();
    }
}

async fn forward(
    agent: Async<TcpStream>,
    server: SocketAddr,
    traffic: &Mutex<Traffic>,
) -> io::Result<()> {
    let connection = {
        let mut traffic = lock_unpoisoned(traffic);
        traffic.connections += 1;
        traffic.connections
    };
    let server = Async::<TcpStream>::connect(server).await?;
    server.get_ref().set_nodelay(true)?;
    let requests = copy(&agent, &server, traffic, connection, Direction::FromAgent);
    let responses = copy(&server, &agent, traffic, connection, Direction::ToAgent);
    requests.or(responses).await?;
    // Errors are ignored, since the other end may have closed the connection already.
    let _ = agent.get_ref().shutdown(Shutdown::Both);
    let _ = server.get_ref().shutdown(Shutdown::Both);
    Ok(())
}

async fn copy(
    mut from: &Async<TcpStream>,
    mut to: &Async<TcpStream>,
    traffic: &Mutex<Traffic>,
    connection: u64,
    direction: Direction,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        // Count before forwarding: otherwise a response that the agent has read could appear
        // incomplete in the counts.
        lock_unpoisoned(traffic).count(connection, direction, length as u64);
        to.write_all(&buffer[..length]).await?;
    }
}
