//! A proxy before a fake that counts what passes, for one agent and one server.

use async_io::Async;
use futures_lite::future::FutureExt;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Instant;
use tulipwall_testkit::runtime::{self, lock_unpoisoned, TerminationSignal};

/// Most single transfers that are kept; beyond, only totals go on.
const MAX_TRANSFERS: usize = 100_000;
const BUFFER_BYTES: usize = 64 * 1024;

/// Direction of a transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the agent.
    FromAgent,
    /// To the agent.
    ToAgent,
}

/// Bytes that passed at once.
#[derive(Clone, Copy, Debug)]
pub struct Transfer {
    /// When.
    pub at: Instant,
    /// Number of the connection, from 1 in the order they came.
    pub connection: u64,
    /// From the agent, or to it.
    pub direction: Direction,
    /// How many.
    pub bytes: u64,
}

/// What has passed so far, payload alone: without the headers of TCP and IP.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// Bytes from the agent.
    pub from_agent: u64,
    /// Bytes to the agent.
    pub to_agent: u64,
    /// Connections of the agent.
    pub connections: u64,
    /// The first transfers.
    pub transfers: Vec<Transfer>,
}

impl Traffic {
    /// Bytes both ways.
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

/// A response and when its reader sent the next request.
#[derive(Clone, Copy, Debug)]
pub struct Response {
    /// When its last bytes passed.
    pub complete_at: Instant,
    /// When its reader sent the next request.
    pub next_request_at: Instant,
    /// Its length.
    pub bytes: u64,
}

/// A proxy that counts; it ends when dropped.
pub struct CountingProxy {
    /// Where it listens.
    pub address: SocketAddr,
    traffic: Arc<Mutex<Traffic>>,
    termination: Arc<TerminationSignal>,
    _task: async_executor::Task<()>,
}

impl CountingProxy {
    /// Starts a proxy before the server at this address.
    ///
    /// # Errors
    /// It cannot listen.
    pub fn start(server: SocketAddr) -> io::Result<CountingProxy> {
        let traffic = Arc::<Mutex<Traffic>>::default();
        let termination = Arc::<TerminationSignal>::default();
        let shared_traffic = traffic.clone();
        let (address, task) = runtime::listen(&termination, move |stream| {
            let traffic = shared_traffic.clone();
            async move {
                // A connection that fails is the agent's to notice.
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

    /// What has passed so far.
    pub fn traffic(&self) -> Traffic {
        lock_unpoisoned(&self.traffic).clone()
    }

    /// Bytes that have passed so far, both ways.
    pub fn bytes(&self) -> u64 {
        lock_unpoisoned(&self.traffic).bytes()
    }

    /// The first response that began at or after `since` and was followed by another request on
    /// its connection.
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

    /// When the server sent anything first.
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
    // The other end may have closed it already.
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
        // Counted before it goes on: a response that was read must never seem to lack a part.
        lock_unpoisoned(traffic).count(connection, direction, length as u64);
        to.write_all(&buffer[..length]).await?;
    }
}
