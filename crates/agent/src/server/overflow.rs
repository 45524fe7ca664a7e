//! Handling of clients beyond the client limit.

use super::limits::{MAX_PIPELINED_REQUESTS, SHORT_RECEIVE_TIMEOUT};
use super::message::QUERY_TAG;
use super::output::close_gracefully;
use super::startup::{Startup, Step};
use crate::agent::Agent;
use crate::protocol::connection::Connection;
use crate::protocol::postgres;
use crate::protocol::ProtocolError;
use crate::upstream::limits::ConnectionPermit;
use futures_lite::future::{self, FutureExt};
use std::io;
use std::rc::Rc;

/// Serves a client beyond the limit up to its first request, which is rejected with an error that
/// marks a retry as safe, and so is each further one that has arrived with it. Closing the
/// connection earlier could lose a request that the client has already sent.
pub async fn reject_client(agent: Rc<Agent>, mut client: Connection, _permit: ConnectionPermit) {
    let timeout = async {
        agent
            .sleep_until(agent.clock.now() + SHORT_RECEIVE_TIMEOUT)
            .await;
        Ok(())
    };
    // An error means that the client has left or reads nothing.
    let _ = reject_requests(&mut client).or(timeout).await;
    close_gracefully(&agent, client).await;
}

/// Handles messages until all that has arrived is rejected or the connection ends.
async fn reject_requests(client: &mut Connection) -> io::Result<()> {
    let mut reply = Vec::new();
    let mut startup = Startup::default();
    let mut rejections = Rejections::default();
    loop {
        let step = if startup.is_complete() {
            rejections.handle(client, &mut reply)
        } else {
            startup.handle(client, &mut reply)
        };
        let received = match step {
            Ok(Step::NeedMore) if rejections.count == 0 => client.read_more().await?,
            // The last request may be followed by more that has already arrived.
            Ok(Step::NeedMore) => match future::poll_once(client.read_more()).await {
                Some(received) => received?,
                None => 0,
            },
            Ok(Step::Reply | Step::StartupComplete) => 1,
            Ok(Step::Close) | Err(_) => 0,
        };
        if received == 0 {
            if rejections.count > 0 {
                postgres::write_too_many_clients(&mut reply);
            }
            return client.write(&reply).await;
        }
        if rejections.count == 0 {
            client.write(&reply).await?;
            reply.clear();
        }
        future::yield_now().await;
    }
}

/// The requests of a client that are rejected. The answer to the last of them also ends the
/// connection, so each answer is written when the next request is known.
#[derive(Default)]
struct Rejections {
    count: usize,
}

impl Rejections {
    /// Rejects the next message, unless it is an empty query, which is answered.
    fn handle(
        &mut self,
        client: &mut Connection,
        reply: &mut Vec<u8>,
    ) -> Result<Step, ProtocolError> {
        let Some(message) = postgres::parse_message(client.receive_buffer.unread())? else {
            if client.receive_buffer.has_space() {
                return Ok(Step::NeedMore);
            }
            // A long message is rejected by its beginning: no memory is held for what is not
            // served.
            self.reject(reply);
            return Ok(Step::Close);
        };
        let is_empty_query =
            message.tag == QUERY_TAG && matches!(message.body.trim_ascii(), b"\0" | b";\0");
        let length = message.length;
        client.consume(length);
        if is_empty_query && self.count == 0 {
            postgres::write_empty_query(reply);
            postgres::write_ready(reply);
            return Ok(Step::Reply);
        }
        self.reject(reply);
        Ok(if self.count > MAX_PIPELINED_REQUESTS {
            Step::Close
        } else {
            Step::Reply
        })
    }

    /// Answers the request before this one, which was not the last.
    fn reject(&mut self, reply: &mut Vec<u8>) {
        if self.count > 0 {
            postgres::write_rejected(reply, None);
            postgres::write_ready(reply);
        }
        self.count += 1;
    }
}
