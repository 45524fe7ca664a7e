//! Reading the messages of one exchange from a connection to an endpoint.

use crate::agent::Agent;
use crate::protocol::connection::Connection;
use crate::protocol::postgres::{self, MessageReader};
use crate::protocol::ProtocolError;
use futures_lite::FutureExt;
use std::io;
use std::time::Duration;

/// The time without further data after which a response that has begun counts as truncated.
const REMAINDER_TIMEOUT: Duration = Duration::from_millis(500);

/// The reason for which a connection is not ready for the next query after a response.
#[derive(Debug, thiserror::Error)]
pub enum ResponseError {
    /// The endpoint closed the connection, or the connection failed.
    #[error("the connection was closed")]
    ConnectionEnded,
    /// The response stopped before its end while the connection stayed open.
    #[error("the response is incomplete: no data for {} ms", REMAINDER_TIMEOUT.as_millis())]
    Truncated,
    /// The received bytes are not a valid response.
    #[error(transparent)]
    Malformed(#[from] ProtocolError),
}

impl From<io::Error> for ResponseError {
    fn from(_: io::Error) -> ResponseError {
        ResponseError::ConnectionEnded
    }
}

/// Reads messages into `response` until the exchange is complete, and the connection ready for the
/// next query.
pub async fn read_response(
    agent: &Agent,
    connection: &mut Connection,
    response: &mut impl MessageReader,
) -> Result<(), ResponseError> {
    loop {
        let bytes = connection.receive_buffer.unread();
        let Some(message) = postgres::parse_endpoint_message(bytes)? else {
            read_more(agent, connection, response.has_begun()).await?;
            continue;
        };
        let length = message.length;
        let ready = response.on_message(message.tag, message.body, &bytes[..length])?;
        connection.consume(length);
        if ready {
            return Ok(());
        }
    }
}

/// Reads more bytes of a response. `begun` says that a part of the response was already handled.
///
/// Detects a response that stops before its end. A complete response arrives without pauses,
/// however large it is. A response whose rest is delayed on its way for [`REMAINDER_TIMEOUT`] is
/// wrongly abandoned, too.
async fn read_more(
    agent: &Agent,
    connection: &mut Connection,
    begun: bool,
) -> Result<(), ResponseError> {
    reserve_message(agent, connection).await;
    let begun = begun || !connection.receive_buffer.is_empty();
    let read = async { connection.read_more().await.map_err(ResponseError::from) };
    let count = if begun {
        read.or(remainder_timeout(agent)).await?
    } else {
        read.await?
    };
    if count == 0 {
        return Err(ResponseError::ConnectionEnded);
    }
    Ok(())
}

/// Waits until memory allows to hold the message that has begun to arrive, and reserves it. Until
/// then the rest of the message stays in the kernel's buffers. A message that has its memory never
/// waits for more, so that each one that has begun can end.
async fn reserve_message(agent: &Agent, connection: &mut Connection) {
    let unread = connection.receive_buffer.unread();
    let Some(length) = postgres::announced_length(unread) else {
        return;
    };
    let growth = connection.growth_for(length);
    if growth == 0 {
        return;
    }
    let limits = &agent.limits;
    if !limits.allows_response_bytes(growth) {
        agent.counters.responses_awaiting_memory.increment();
    }
    limits
        .response_memory
        .wait(|| limits.allows_response_bytes(growth))
        .await;
    connection.reserve(length);
}

async fn remainder_timeout(agent: &Agent) -> Result<usize, ResponseError> {
    agent
        .sleep_until(agent.clock.now() + REMAINDER_TIMEOUT)
        .await;
    Err(ResponseError::Truncated)
}
