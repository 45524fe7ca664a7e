//! The listener for clients: its accept queue, and which clients are accepted or rejected when
//! sockets are scarce.

use super::phase::Phase;
use crate::agent::Agent;
use crate::protocol::buffer::BASE_CAPACITY;
use crate::protocol::connection::Connection;
use crate::runtime::reactor::Source;
use crate::runtime::timer::Timer;
use crate::server::connection as client;
use crate::server::overflow;
use crate::upstream::limits::ConnectionPermit;
use futures_lite::future::{self, FutureExt};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

/// Minimum length of the accept queue, equal to the backlog that the standard library requests.
const MIN_QUEUE_LENGTH: usize = 128;
/// The buffers of clients from the accept queue may take the buffer memory divided by this.
const QUEUE_MEMORY_DIVISOR: usize = 4;
/// What a client from the accept queue may take at once, in buffers of the base capacity: its own,
/// and the state of its request.
const BUFFERS_PER_CLIENT: usize = 4;
/// Delay before accepting again when no socket is free or accepting has failed.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Binds the listener for clients and sets the length of its accept queue.
pub fn bind(agent: &Agent, address: SocketAddr) -> io::Result<Source<TcpListener>> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let queue_length = i32::try_from(queue_length(agent)).unwrap_or(i32::MAX);
    rustix::net::listen(&listener, queue_length)?;
    Source::new(listener)
}

/// The length of the accept queue. A long queue guards against a burst of connections while this
/// agent is not scheduled: if the queue is full, the first packet of a new connection is dropped
/// and sent again only a second later. Does harm where the agent stalls for long, as more requests
/// are late then.
///
/// All queued clients are accepted at once, and each may hold a small buffer before it is held
/// back, so together they may take at most a quarter of the buffer memory.
fn queue_length(agent: &Agent) -> usize {
    let queue_memory = agent.limits.max_buffered_bytes() / QUEUE_MEMORY_DIVISOR;
    let max_buffers = queue_memory / (BUFFERS_PER_CLIENT * BASE_CAPACITY);
    let max_clients = agent.limits.connections.max_clients();
    max_clients.min(max_buffers).max(MIN_QUEUE_LENGTH)
}

/// The permit with which the next client is accepted.
enum AcceptPermit {
    /// The client is served.
    Client(ConnectionPermit),
    /// The client is rejected, unless a client permit is free by the time that it connects.
    Overflow(ConnectionPermit),
}

/// Accepts clients. If no socket is free, asks the client that has been idle for longest to close
/// its connection, and rejects new clients at once until a socket is free. Ends when the program
/// terminates and all clients that had connected before are accepted.
///
/// Rejecting at once guards against requests that are lost in the accept queue, which count as
/// taken. Does harm in a short burst beyond the limit, which is rejected, too.
pub async fn accept_clients(agent: &Rc<Agent>, listener: &Source<TcpListener>) -> io::Result<()> {
    loop {
        let Some(permit) = acquire_permit(agent) else {
            agent
                .limits
                .connections
                .client_permit_freed()
                .or(Timer::after(RETRY_DELAY))
                .await;
            continue;
        };
        let Some(accepted) = next_client(agent, listener).await else {
            continue;
        };
        match accepted {
            Ok(client) => start_client(agent, client, permit),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(e) if concerns_one_client(&e) => {
                log::debug!("accept: {e}; the next client is accepted");
            }
            Err(e) => {
                log::warn!("accept: {e}");
                agent.pool.evict_idle();
                Timer::after(RETRY_DELAY).await;
            }
        }
        // Accepts one client per turn, so that tasks of accepted clients run first.
        future::yield_now().await;
    }
}

/// Returns whether accepting failed for the one client that was next, or was interrupted. Linux passes
/// on errors that are pending on the new connection.
fn concerns_one_client(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionAborted
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::Interrupted
            | io::ErrorKind::TimedOut
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable
    )
}

/// Acquires a permit for the next client; `None` if no socket is free even for a rejection. Asks an
/// idle client to close its connection when sockets are nearly used up.
fn acquire_permit(agent: &Agent) -> Option<AcceptPermit> {
    let connections = &agent.limits.connections;
    let permit = match connections.client_permit() {
        Some(permit) => Some(AcceptPermit::Client(permit)),
        None => connections.overflow_permit().map(AcceptPermit::Overflow),
    };
    if connections.is_nearly_full() {
        agent
            .lifecycle
            .evict_idle_client(agent.clock.now(), connections.reserved_client_permits());
    }
    permit
}

/// Waits for the next client; `None` if the program begins to terminate in the meantime.
async fn next_client(
    agent: &Agent,
    listener: &Source<TcpListener>,
) -> Option<io::Result<Connection>> {
    if agent.lifecycle.is_terminating() {
        // Accepts without waiting for an event: that of the latest connection may not have been
        // received yet.
        return Some(Connection::accept(listener.get()));
    }
    let client = async { Some(listener.read(|| Connection::accept(listener.get())).await) };
    let terminating = async {
        agent.lifecycle.wait_for(Phase::Terminating).await;
        None
    };
    client.or(terminating).await
}

fn start_client(agent: &Rc<Agent>, client: Connection, permit: AcceptPermit) {
    match permit {
        AcceptPermit::Client(permit) => serve_client(agent, client, permit),
        AcceptPermit::Overflow(overflow) => match agent.limits.connections.client_permit() {
            Some(permit) => serve_client(agent, client, permit),
            None => reject_client(agent, client, overflow),
        },
    }
}

fn serve_client(agent: &Rc<Agent>, client: Connection, permit: ConnectionPermit) {
    agent.counters.clients_accepted.increment();
    let serving = client::serve(agent.clone(), client, permit);
    agent.executors.tasks.spawn(serving).detach();
}

fn reject_client(agent: &Rc<Agent>, client: Connection, permit: ConnectionPermit) {
    agent.counters.clients_rejected.increment();
    let rejecting = overflow::reject_client(agent.clone(), client, permit);
    agent.executors.tasks.spawn(rejecting).detach();
}
