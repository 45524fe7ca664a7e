//! Reading from a client, within its time and the memory that there is.

use super::limits::{HOLD_BACK_INTERVAL, IDLE_BUFFER_SHARE, SHORT_RECEIVE_TIMEOUT};
use crate::agent::Agent;
use crate::lifecycle::phase::IdleClientGuard;
use crate::protocol::buffer::MemoryReservation;
use crate::protocol::connection::Connection;
use crate::runtime::reactor::Timer;
use futures_lite::future::{self, FutureExt};
use std::io;
use std::time::Duration;

/// What came of reading from a client.
pub enum ReadEvent {
    /// Bytes came in.
    Data,
    /// The client has left, or was asked to while idle.
    Closed,
    /// What was due has not come in time.
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

/// Reads on, until `due` where the client owes a first request or the rest of a message. Between
/// requests the agent may end the connection.
pub async fn read_input(
    agent: &Agent,
    client: &mut Connection,
    due: Option<Duration>,
) -> ReadEvent {
    release_idle_buffer(agent, client);
    let _owing = due.map(|_| agent.lifecycle.register_incomplete_request());
    if !client.receive_buffer.is_empty() {
        return read_rest(agent, client, due).await;
    }
    let owes_first_request = due.is_some();
    let idle = agent
        .lifecycle
        .register_idle_client(agent.clock.now(), owes_first_request);
    match idle {
        Some(idle) => read_while_idle(agent, client, due, idle).await,
        None => read_before_close(agent, client, owes_first_request).await,
    }
}

/// Reads the rest of a message. Who holds half a message while memory is short has little time left
/// for it: all would wait for each other.
async fn read_rest(agent: &Agent, client: &mut Connection, due: Option<Duration>) -> ReadEvent {
    let memory_is_short = is_memory_short(agent);
    let timeout = async {
        let due = match due {
            Some(at) if memory_is_short => Some(at.min(agent.clock.now() + SHORT_RECEIVE_TIMEOUT)),
            due => due,
        };
        time_out(agent, due).await
    };
    read_when_memory_allows(agent, client).or(timeout).await
}

/// Reads the next request, unless the agent asks the client to go first.
async fn read_while_idle(
    agent: &Agent,
    client: &mut Connection,
    due: Option<Duration>,
    mut idle: IdleClientGuard<'_>,
) -> ReadEvent {
    let close_requested = async {
        (&mut idle.close_requested).await;
        ReadEvent::Closed
    };
    let event = read_when_memory_allows(agent, client)
        .or(close_requested)
        .or(time_out(agent, due))
        .await;
    match event {
        // A request that has come meanwhile is still served: closing would lose it.
        ReadEvent::Closed | ReadEvent::TimedOut if !client.is_open_and_quiet() => {
            client.read_more().await.into()
        }
        event => event,
    }
}

/// Reads as the agent ends: it is time to go, but not past a request that has already come, nor
/// past the first one that is on its way.
async fn read_before_close(
    agent: &Agent,
    client: &mut Connection,
    owes_first_request: bool,
) -> ReadEvent {
    let grace = if owes_first_request {
        SHORT_RECEIVE_TIMEOUT
    } else {
        Duration::ZERO
    };
    let timeout = async { time_out(agent, Some(agent.clock.now() + grace)).await };
    let event = read_when_memory_allows(agent, client).or(timeout).await;
    match event {
        ReadEvent::TimedOut if client.is_open_and_quiet() => ReadEvent::Closed,
        ReadEvent::TimedOut => client.read_more().await.into(),
        event => event,
    }
}

/// Clients are held back while too much is buffered; responses of endpoints keep the rest of the
/// memory. One that closes its connection is not.
async fn read_when_memory_allows(agent: &Agent, client: &mut Connection) -> ReadEvent {
    loop {
        let memory_allows = async {
            while is_memory_short(agent) {
                Timer::after(HOLD_BACK_INTERVAL).await;
            }
        };
        memory_allows.or(client.peer_closed()).await;
        // Not waited for here: memory that was free before the bytes came may be taken by then.
        if let Some(read) = future::poll_once(client.read_more()).await {
            return read.into();
        }
        client.readable().await;
    }
}

/// Guards against idle clients whose empty buffers hold all others back: those kept add up to half
/// of what may be buffered at most. Costs an allocation a request while as much is in use.
fn release_idle_buffer(agent: &Agent, client: &mut Connection) {
    if MemoryReservation::total() > agent.limits.max_buffered_bytes() / IDLE_BUFFER_SHARE {
        client.receive_buffer.release_if_empty();
    }
}

fn is_memory_short(agent: &Agent) -> bool {
    MemoryReservation::total() > agent.limits.max_buffered_bytes()
}

/// Ready at `due`; never where nothing is.
async fn time_out(agent: &Agent, due: Option<Duration>) -> ReadEvent {
    match due {
        Some(at) => agent.sleep_until(at).await,
        None => future::pending().await,
    }
    ReadEvent::TimedOut
}
