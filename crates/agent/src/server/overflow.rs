//! Handling of clients beyond the client limit.

use super::limits::SHORT_RECEIVE_TIMEOUT;
use super::message::QUERY_TAG;
use super::output::close_gracefully;
use super::startup::{Startup, Step};
use crate::agent::Agent;
use crate::protocol::connection::Connection;
use crate::protocol::postgres;
use crate::protocol::ProtocolError;
use crate::upstream::limits::ConnectionPermit;
use futures_lite::future::{self, FutureExt};
use std::rc::Rc;

/// Serves a client beyond the limit up to its first request, which is rejected with an error that
/// marks a retry as safe. Closing the connection earlier could lose a request that the client has
/// already sent.
pub async fn reject_client(agent: Rc<Agent>, mut client: Connection, _permit: ConnectionPermit) {
    let timeout = async {
        agent
            .sleep_until(agent.clock.now() + SHORT_RECEIVE_TIMEOUT)
            .await;
    };
    reject_first_request(&mut client).or(timeout).await;
    close_gracefully(&agent, client).await;
}

/// Handles messages until one is rejected or the connection ends.
async fn reject_first_request(client: &mut Connection) {
    let mut reply = Vec::new();
    let mut startup = Startup::default();
    loop {
        let step = if startup.is_complete() {
            reject_message(client, &mut reply)
        } else {
            startup.handle(client, &mut reply)
        };
        let keep_open = match step {
            Ok(Step::NeedMore) => client.read_more().await.is_ok_and(|count| count > 0),
            Ok(Step::Reply | Step::StartupComplete) => true,
            Ok(Step::Close) | Err(_) => false,
        };
        if client.write(&reply).await.is_err() || !keep_open {
            return;
        }
        reply.clear();
        future::yield_now().await;
    }
}

/// Rejects a message, unless it is an empty query, which is answered.
fn reject_message(client: &mut Connection, reply: &mut Vec<u8>) -> Result<Step, ProtocolError> {
    let Some(message) = postgres::parse_message(client.receive_buffer.unread())? else {
        if client.receive_buffer.has_space() {
            return Ok(Step::NeedMore);
        }
        // A long message is rejected by its beginning: no memory is held for what is not served.
        postgres::write_too_many_clients(reply);
        return Ok(Step::Close);
    };
    let is_empty_query =
        message.tag == QUERY_TAG && matches!(message.body.trim_ascii(), b"\0" | b";\0");
    let length = message.length;
    client.consume(length);
    if is_empty_query {
        postgres::write_empty_query(reply);
        postgres::write_ready(reply);
        return Ok(Step::Reply);
    }
    postgres::write_too_many_clients(reply);
    Ok(Step::Close)
}
