//! Reading an endpoint's response to one query.

use crate::agent::Agent;
use crate::protocol::connection::Connection;
use crate::protocol::postgres::{self, ResponseReader};
use crate::protocol::ProtocolError;
use futures_lite::FutureExt;
use std::io;
use std::time::Duration;

/// How soon the rest of a response that has begun must come.
const REST_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a connection is not ready for the next query after a response.
#[derive(Debug, thiserror::Error)]
pub enum ResponseError {
    /// The endpoint closed the connection, or it broke.
    #[error("the connection ended")]
    ConnectionEnded,
    /// A response stopped short of its end, and the connection did not.
    #[error("the response stopped short of its end for {} ms", REST_TIMEOUT.as_millis())]
    Truncated,
    /// The bytes are no response.
    #[error(transparent)]
    Malformed(#[from] ProtocolError),
}

impl From<io::Error> for ResponseError {
    fn from(_: io::Error) -> ResponseError {
        ResponseError::ConnectionEnded
    }
}

/// Reads messages into `response` until the connection is ready for the next query.
pub async fn read_response(
    agent: &Agent,
    connection: &mut Connection,
    response: &mut ResponseReader,
) -> Result<(), ResponseError> {
    loop {
        let bytes = connection.receive_buffer.unread();
        let Some(message) = postgres::parse_endpoint_message(bytes)? else {
            read_more(agent, connection, response.has_begun()).await?;
            continue;
        };
        let length = message.length;
        let ready = response.on_message(message.tag, message.body, &bytes[..length])?;
        connection.receive_buffer.consume(length);
        if ready {
            return Ok(());
        }
    }
}

/// Reads on; `begun` if part of the response was read already.
///
/// Guards against a response that stops short of its end. A whole one comes at once, however large;
/// one whose rest was held up on its way for as long is given up, too.
async fn read_more(
    agent: &Agent,
    connection: &mut Connection,
    begun: bool,
) -> Result<(), ResponseError> {
    let begun = begun || !connection.receive_buffer.is_empty();
    let read = async { connection.read_more().await.map_err(ResponseError::from) };
    let count = if begun {
        read.or(rest_timeout(agent)).await?
    } else {
        read.await?
    };
    if count == 0 {
        return Err(ResponseError::ConnectionEnded);
    }
    Ok(())
}

async fn rest_timeout(agent: &Agent) -> Result<usize, ResponseError> {
    agent.sleep_until(agent.clock.now() + REST_TIMEOUT).await;
    Err(ResponseError::Truncated)
}
