//! Reading from a client, within its receive timeout and the available memory.

use super::limits::SHORT_RECEIVE_TIMEOUT;
use crate::agent::Agent;
use crate::lifecycle::phase::IdleClientGuard;
use crate::protocol::connection::Connection;
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
    /// No memory became free for the rest of a long message.
    OutOfMemory,
}

impl From<io::Result<usize>> for ReadEvent {
    fn from(read: io::Result<usize>) -> ReadEvent {
        match read {
            Ok(count) if count > 0 => ReadEvent::Data,
            _ => ReadEvent::Closed,
        }
    }
}

/// Reads from the client. `message_length` is the length of the message that has begun to arrive,
/// `None` if no message has begun or its length is not known yet. `receive_deadline` is set while
/// the first request or the rest of a message is outstanding. Between requests the agent may close
/// the connection.
pub async fn read_input(
    agent: &Agent,
    client: &mut Connection,
    message_length: Option<usize>,
    receive_deadline: Option<Duration>,
) -> ReadEvent {
    let _incomplete_request =
        receive_deadline.map(|_| agent.lifecycle.register_incomplete_request());
    if !client.receive_buffer.is_empty() {
        let reserved = reserve_message(agent, client, message_length).await;
        return match reserved {
            Some(event) => event,
            None => read_remainder(agent, client, receive_deadline).await,
        };
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

/// Waits for the memory that the rest of a long message needs, and reserves it; a short message has
/// its memory already. Returns the event that ends the wait if there is none for it: the client is
/// told to come again, as its deadline may be short and others hold the memory.
async fn reserve_message(
    agent: &Agent,
    client: &mut Connection,
    message_length: Option<usize>,
) -> Option<ReadEvent> {
    let length = message_length?;
    let growth = client.growth_for(length);
    if growth == 0 {
        return None;
    }
    let limits = &agent.limits;
    let memory_allows = async {
        limits
            .request_memory
            .wait(|| limits.allows_request_bytes(growth))
            .await;
        None
    };
    let client_left = async {
        client.peer_closed().await;
        Some(ReadEvent::Closed)
    };
    let timeout = async {
        let give_up_at = agent.clock.now() + SHORT_RECEIVE_TIMEOUT;
        agent.sleep_until(give_up_at).await;
        Some(ReadEvent::OutOfMemory)
    };
    let end = memory_allows.or(client_left).or(timeout).await;
    if end.is_none() {
        client.reserve(length);
    }
    end
}

/// Reads the rest of a message. While others wait for memory, a client that sends nothing gets only
/// a short timeout for it: otherwise clients that each hold half a message would keep the memory
/// from all others.
async fn read_remainder(
    agent: &Agent,
    client: &mut Connection,
    receive_deadline: Option<Duration>,
) -> ReadEvent {
    let memory_claimed = async {
        loop {
            let next_check = agent.clock.now() + SHORT_RECEIVE_TIMEOUT;
            agent.sleep_until(next_check).await;
            if agent.limits.request_memory.has_waiters() {
                return ReadEvent::TimedOut;
            }
        }
    };
    let timeout = receive_timeout(agent, receive_deadline).or(memory_claimed);
    let read = async { client.read_more().await.into() };
    read.or(timeout).await
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
    let read = async { client.read_more().await.into() };
    let event = read
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
    let read = async { client.read_more().await.into() };
    let event = read.or(timeout).await;
    match event {
        ReadEvent::TimedOut if client.is_open_and_quiet() => ReadEvent::Closed,
        ReadEvent::TimedOut => client.read_more().await.into(),
        event => event,
    }
}

/// Waits until `receive_deadline`, or forever if it is `None`.
async fn receive_timeout(agent: &Agent, receive_deadline: Option<Duration>) -> ReadEvent {
    match receive_deadline {
        Some(at) => agent.sleep_until(at).await,
        None => future::pending().await,
    }
    ReadEvent::TimedOut
}
