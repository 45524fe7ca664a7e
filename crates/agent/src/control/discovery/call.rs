//! One call to the discovery service: a request and its response, with a timeout.

use super::list_reader::ReadError;
use crate::agent::Agent;
use crate::protocol::connection::Connection;
use crate::protocol::{http, ProtocolError};
use futures_lite::{future, FutureExt};
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::time::Duration;
use tulipwall_discovery::list_response::EntryError;
use tulipwall_discovery::watch_timer::{WatchEnd, WatchTimer};

/// Once a response has begun, each further part must arrive within this time.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
const STATUS_OK: u16 = 200;

/// Why a call failed or a watch ended.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Http(#[from] ProtocolError),
    #[error(transparent)]
    List(#[from] ReadError),
    #[error("list: {0}")]
    UnreadableEntry(EntryError),
    #[error("changes without an id: {0}")]
    UnidentifiedEntry(EntryError),
    #[error("status {0}")]
    Status(u16),
    #[error("the connection ended within a response")]
    TruncatedResponse,
    #[error("the connection closes after a response")]
    ClosedAfterResponse,
    #[error("it is silent")]
    TimedOut,
}

impl CallError {
    /// The kind of failure, which determines when the next call is made.
    pub fn watch_end(&self) -> WatchEnd {
        match self {
            CallError::Io(_) | CallError::TruncatedResponse | CallError::ClosedAfterResponse => {
                WatchEnd::Disconnected
            }
            CallError::Http(_) | CallError::List(_) | CallError::UnidentifiedEntry(_) => {
                WatchEnd::Malformed
            }
            CallError::UnreadableEntry(_) => WatchEnd::PartlyMalformed,
            CallError::Status(_) => WatchEnd::Refused,
            CallError::TimedOut => WatchEnd::TimedOut,
        }
    }
}

/// A response of the discovery service.
pub struct CallResponse {
    /// The endpoint list, not parsed yet.
    pub body: Vec<u8>,
    /// Whether the service closes the connection after this response.
    pub closes_connection: bool,
}

/// A connection and the last response on it, at first the response to the first call.
pub struct EstablishedWatch {
    pub connection: Connection,
    pub response: CallResponse,
}

/// Connects and makes the first call. Sets `response_begun` when the first bytes of the response
/// arrive.
pub async fn first_call(
    agent: &Agent,
    path: &str,
    timeout: Duration,
    response_begun: &Cell<bool>,
) -> Result<EstablishedWatch, CallError> {
    let begin = async {
        let mut connection = Connection::open(agent.control.discovery.get()).await?;
        send_request(agent, &mut connection, path).await?;
        if connection.read_more().await? > 0 {
            response_begun.set(true);
        }
        let response = read_response(agent, &mut connection).await?;
        Ok(EstablishedWatch {
            connection,
            response,
        })
    };
    with_timeout(agent, timeout, begin).await
}

/// Makes first calls with a short `timeout` until one succeeds, alongside a patient call that has a
/// longer timeout. The first of them is made when the patient call has been silent for `timeout`
/// plus the usual retry delay; none is made once the response of the patient call has begun.
///
/// Guards against a connection that is lost without notice. Does harm where discovery takes longer
/// than that to begin a response, as it then has to write another one.
pub async fn retry_alongside_silent_call(
    agent: &Agent,
    timer: &WatchTimer,
    path: &str,
    timeout: Duration,
    response_begun: &Cell<bool>,
) -> EstablishedWatch {
    let delay_after_silence = timer.retry_delay(WatchEnd::TimedOut);
    let mut next_call = agent.clock.now() + timeout + delay_after_silence;
    loop {
        agent.sleep_until(next_call).await;
        if response_begun.get() {
            return future::pending().await;
        }
        match first_call(agent, path, timeout, &Cell::default()).await {
            Ok(established) => return established,
            Err(error) => {
                next_call = agent.clock.now() + timer.retry_delay(error.watch_end());
            }
        }
    }
}

/// Makes one call on an open connection. No timeout applies until the response has begun.
pub async fn call(
    agent: &Agent,
    connection: &mut Connection,
    path: &str,
) -> Result<CallResponse, CallError> {
    send_request(agent, connection, path).await?;
    read_response(agent, connection).await
}

async fn send_request(
    agent: &Agent,
    connection: &mut Connection,
    path: &str,
) -> Result<(), CallError> {
    let host = agent.control.discovery.get().to_string();
    let request = http::get_request(&host, path);
    Ok(connection.write(&request).await?)
}

async fn read_response(
    agent: &Agent,
    connection: &mut Connection,
) -> Result<CallResponse, CallError> {
    let mut ended = false;
    loop {
        if let Some(response) = http::parse_response(connection.receive_buffer.unread(), ended)? {
            connection.receive_buffer.consume(response.length);
            if response.status != STATUS_OK {
                return Err(CallError::Status(response.status));
            }
            return Ok(CallResponse {
                body: response.body,
                closes_connection: response.closes_connection,
            });
        }
        if ended {
            return Err(CallError::TruncatedResponse);
        }
        ended = receive(agent, connection).await? == 0;
    }
}

/// Receives more of a response, with [`RESPONSE_TIMEOUT`] once it has begun. Guards against a
/// truncated response, for whose rest the agent would otherwise wait as long as for a watch.
async fn receive(agent: &Agent, connection: &mut Connection) -> Result<usize, CallError> {
    let response_begun = !connection.receive_buffer.is_empty();
    let more = async { Ok(connection.read_more().await?) };
    if response_begun {
        with_timeout(agent, RESPONSE_TIMEOUT, more).await
    } else {
        more.await
    }
}

/// Fails with [`CallError::TimedOut`] if `work` takes longer than `timeout`.
pub async fn with_timeout<T>(
    agent: &Agent,
    timeout: Duration,
    work: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    let timed_out = async {
        agent.sleep_until(agent.clock.now() + timeout).await;
        Err(CallError::TimedOut)
    };
    work.or(timed_out).await
}
