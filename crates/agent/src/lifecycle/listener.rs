//! The listener for clients: its queue, and who is accepted while sockets are scarce.

use super::phase::Phase;
use crate::agent::Agent;
use crate::protocol::buffer::MAX_RETAINED_CAPACITY;
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

/// The shortest queue of connections that wait to be accepted: what the standard library asks for.
const MIN_QUEUE_LENGTH: usize = 128;
/// The share of the memory for buffers that the queue's connections may take at once.
const QUEUE_MEMORY_DIVISOR: usize = 4;
/// How soon to look again for a free socket.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Binds the listener for clients.
pub fn bind(agent: &Agent, address: SocketAddr) -> io::Result<Source<TcpListener>> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let queue_length = i32::try_from(queue_length(agent)).unwrap_or(i32::MAX);
    rustix::net::listen(&listener, queue_length)?;
    Source::new(listener)
}

/// Guards against a rush while this agent does not get to run: whoever finds the queue full has its
/// first packet dropped, which it sends again a second later. Does harm where the agent stalls for
/// long: more requests are late then. All that wait are accepted at once, and each may hold a small
/// buffer before it is held back: a quarter of that memory at most.
fn queue_length(agent: &Agent) -> usize {
    let queue_memory = agent.limits.max_buffered_bytes() / QUEUE_MEMORY_DIVISOR;
    let max_buffers = queue_memory / MAX_RETAINED_CAPACITY;
    let max_clients = agent.limits.connections.max_clients();
    max_clients.min(max_buffers).max(MIN_QUEUE_LENGTH)
}

/// For whom the next client is accepted.
enum AcceptPermit {
    /// It is served.
    Client(ConnectionPermit),
    /// It is rejected, unless a client's permit is free by then.
    Overflow(ConnectionPermit),
}

/// Accepts clients. Without a free socket the client that was idle for longest is asked to close
/// its connection, and who comes before there is one is rejected at once. Guards against requests
/// that are lost in the queue of connections, which count as taken; a short rush beyond the limit
/// is rejected, too. Ends when the program terminates and all that had connected before are
/// accepted.
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
            Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(e) => {
                log::warn!("accept: {e}");
                agent.pool.evict_idle();
                Timer::after(RETRY_DELAY).await;
            }
        }
        // One at a time: those that were accepted have their turn first.
        future::yield_now().await;
    }
}

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

/// The next client; `None` when the program has begun to terminate meanwhile.
async fn next_client(
    agent: &Agent,
    listener: &Source<TcpListener>,
) -> Option<io::Result<Connection>> {
    if agent.lifecycle.is_terminating() {
        // Asked of the listener itself: the event of who connected just now may be still to come.
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
