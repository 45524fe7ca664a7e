//! Reading from a client, within its receive timeout and the available memory.

use super::limits::{IDLE_BUFFER_DIVISOR, MEMORY_CHECK_INTERVAL, SHORT_RECEIVE_TIMEOUT};
use crate::agent::Agent;
use crate::lifecycle::phase::IdleClientGuard;
use crate::protocol::buffer::MemoryReservation;
use crate::protocol::connection::Connection;
use crate::runtime::reactor::Timer;
use futures_lite::future::{self, FutureExt};
use std::io;
use std::time::Duration;

/// The result of reading from a client.
pub enum ReadEvent {
    /// Bytes were received.
    Data,
    /// The client has disconnected, or the agent closes the connection while it is idle.
    Closed,
    /// The first request or the rest of a message was not received in time.
    TimedOut,
}

impl From<io::Result<usize>> for ReadEvent {
    fn from(read: io::Result<usize>) -> ReadEvent {
        match read {
            Ok(count) if count > 0 => ReadEvent::Data,
            _ => ReadEvent::Closed,
        }
    }
}

/// Reads from the client. `receive_deadline` is set while its first request or the rest of a
/// message is outstanding. Between requests the agent may close the connection.
pub async fn read_input(
    agent: &Agent,
    client: &mut Connection,
    receive_deadline: Option<Duration>,
) -> ReadEvent {
    release_idle_buffer(agent, client);
    let _incomplete_request =
        receive_deadline.map(|_| agent.lifecycle.register_incomplete_request());
    if !client.receive_buffer.is_empty() {
        return read_remainder(agent, client, receive_deadline).await;
    }
    let awaits_first_request = receive_deadline.is_some();
    let idle = agent
        .lifecycle
        .register_idle_client(agent.clock.now(), awaits_first_request);
    match idle {
        Some(idle) => read_while_idle(agent, client, receive_deadline, idle).await,
        None => read_before_close(agent, client, awaits_first_request).await,
    }
}

/// Reads the rest of a message. While memory is short the client gets only a short timeout for it:
/// otherwise clients that each hold half a message would wait for each other's memory.
async fn read_remainder(
    agent: &Agent,
    client: &mut Connection,
    receive_deadline: Option<Duration>,
) -> ReadEvent {
    let memory_is_short = is_memory_short(agent);
    let timeout = async {
        let receive_deadline = match receive_deadline {
            Some(at) if memory_is_short => Some(at.min(agent.clock.now() + SHORT_RECEIVE_TIMEOUT)),
            receive_deadline => receive_deadline,
        };
        receive_timeout(agent, receive_deadline).await
    };
    read_when_memory_allows(agent, client).or(timeout).await
}

/// Reads the next request, unless the agent asks for the idle connection to be closed before it
/// arrives.
async fn read_while_idle(
    agent: &Agent,
    client: &mut Connection,
    receive_deadline: Option<Duration>,
    mut idle: IdleClientGuard<'_>,
) -> ReadEvent {
    let close_requested = async {
        (&mut idle.close_requested).await;
        ReadEvent::Closed
    };
    let event = read_when_memory_allows(agent, client)
        .or(close_requested)
        .or(receive_timeout(agent, receive_deadline))
        .await;
    match event {
        // A request that has arrived meanwhile is still served: closing now would lose it.
        ReadEvent::Closed | ReadEvent::TimedOut if !client.is_open_and_quiet() => {
            client.read_more().await.into()
        }
        event => event,
    }
}

/// Reads while the agent terminates. The connection is closed, but not before a request that has
/// already arrived is served, nor before a new client's first request has had a short time to
/// arrive.
async fn read_before_close(
    agent: &Agent,
    client: &mut Connection,
    awaits_first_request: bool,
) -> ReadEvent {
    let grace = if awaits_first_request {
        SHORT_RECEIVE_TIMEOUT
    } else {
        Duration::ZERO
    };
    let timeout = async { receive_timeout(agent, Some(agent.clock.now() + grace)).await };
    let event = read_when_memory_allows(agent, client).or(timeout).await;
    match event {
        ReadEvent::TimedOut if client.is_open_and_quiet() => ReadEvent::Closed,
        ReadEvent::TimedOut => client.read_more().await.into(),
        event => event,
    }
}

/// Reads once memory allows: clients are not read while too much is buffered, which leaves the rest
/// of the memory to the responses of endpoints. A client that closes its connection is read at
/// once.
async fn read_when_memory_allows(agent: &Agent, client: &mut Connection) -> ReadEvent {
    loop {
        let memory_allows = async {
            while is_memory_short(agent) {
                Timer::after(MEMORY_CHECK_INTERVAL).await;
            }
        };
        memory_allows.or(client.peer_closed()).await;
        // Polls once instead of waiting: memory that is free now may be in use when the bytes
        // arrive.
        if let Some(read) = future::poll_once(client.read_more()).await {
            return read.into();
        }
        client.readable().await;
    }
}

/// Prevents the empty buffers of idle clients from using up the memory for all others: they may
/// hold at most half of what may be buffered. Costs one allocation per request while that much is
/// in use.
fn release_idle_buffer(agent: &Agent, client: &mut Connection) {
    if MemoryReservation::total() > agent.limits.max_buffered_bytes() / IDLE_BUFFER_DIVISOR {
        client.receive_buffer.release_if_empty();
    }
}

fn is_memory_short(agent: &Agent) -> bool {
    MemoryReservation::total() > agent.limits.max_buffered_bytes()
}

/// Waits until `receive_deadline`, or forever if it is `None`.
async fn receive_timeout(agent: &Agent, receive_deadline: Option<Duration>) -> ReadEvent {
    match receive_deadline {
        Some(at) => agent.sleep_until(at).await,
        None => future::pending().await,
    }
    ReadEvent::TimedOut
}
