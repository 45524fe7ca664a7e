//! The events that a request waits for.

use super::in_flight::FinishedAttempt;
use super::ActiveRequest;
use crate::agent::Agent;
use crate::protocol::connection::{Connection, Unread};
use crate::runtime::reactor::Timer;
use crate::server::limits::{MAX_BYTES_READ_AHEAD, READ_AHEAD_DIVISOR};
use futures_lite::future::poll_fn;
use std::future::Future;
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;

/// The next event of a request.
pub(super) enum RequestEvent {
    AttemptEnded(FinishedAttempt),
    RecheckDue,
    ClientLeft,
    ReadAheadExceeded,
    DeadlinePassed,
}

impl ActiveRequest {
    /// Waits for the next event. If several are ready, ended attempts come before timeouts, as that
    /// is the order in which they occurred if the agent was stalled. A client that has disconnected
    /// comes before both, because the first poll of an attempt may already write to its connection.
    pub(super) async fn next_event(&mut self, client: &mut Connection) -> RequestEvent {
        let agent = &self.agent;
        let attempts = &mut self.attempts;
        let recheck_at = &mut self.recheck_at;
        let timeout_at = attempts.next_timeout().unwrap_or(self.deadline);
        let due = timeout_at
            .min(recheck_at.unwrap_or(self.deadline))
            .min(self.deadline);
        let mut timer = pin!(Timer::at(agent.clock.to_instant(due)));
        let is_forwarding = self.is_forwarding;
        let mut watch = pin!(async {
            if is_forwarding {
                watch_client(agent, client).await
            } else {
                client.peer_closed().await;
                ClientWatchEnd::Left
            }
        });
        poll_fn(|cx| {
            match watch.as_mut().poll(cx) {
                Poll::Ready(ClientWatchEnd::Left) => return Poll::Ready(RequestEvent::ClientLeft),
                Poll::Ready(ClientWatchEnd::ReadAheadExceeded) => {
                    return Poll::Ready(RequestEvent::ReadAheadExceeded);
                }
                Poll::Pending => {}
            }
            if let Some(ended) = attempts.poll_ended(agent, cx) {
                return Poll::Ready(RequestEvent::AttemptEnded(ended));
            }
            if timer.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
            if let Some(expired) = attempts.expire(agent, due) {
                return Poll::Ready(RequestEvent::AttemptEnded(expired));
            }
            if recheck_at.take_if(|at| *at <= due).is_some() {
                return Poll::Ready(RequestEvent::RecheckDue);
            }
            Poll::Ready(RequestEvent::DeadlinePassed)
        })
        .await
    }

    /// Waits until an attempt in flight ends, or times out at `timeout_at`.
    pub(super) async fn next_ended_attempt(
        &mut self,
        timeout_at: Duration,
    ) -> Option<FinishedAttempt> {
        let agent = &self.agent;
        let attempts = &mut self.attempts;
        let mut timer = pin!(Timer::at(agent.clock.to_instant(timeout_at)));
        poll_fn(|cx| match attempts.poll_ended(agent, cx) {
            Some(ended) => Poll::Ready(Some(ended)),
            None => timer
                .as_mut()
                .poll(cx)
                .map(|()| attempts.expire(agent, timeout_at)),
        })
        .await
    }
}

/// What ended the watch on a client's connection.
enum ClientWatchEnd {
    /// The client has closed its connection or its sending direction, which can't be distinguished.
    Left,
    /// The client has written more than the agent reads ahead. Whether it has closed its connection
    /// behind that is not known.
    ReadAheadExceeded,
}

/// Waits until the client leaves. Pipelined bytes are buffered as far as memory allows, up to a
/// limit.
async fn watch_client(agent: &Agent, client: &mut Connection) -> ClientWatchEnd {
    loop {
        if client.receive_buffer.has_space() || grow_read_ahead(agent, client) {
            match client.read_more().await {
                Ok(count) if count > 0 => {}
                _ => return ClientWatchEnd::Left,
            }
        } else {
            return match client.unread_or_closed().await {
                Unread::Data => ClientWatchEnd::ReadAheadExceeded,
                Unread::Closed => ClientWatchEnd::Left,
            };
        }
    }
}

/// Grows the receive buffer for further pipelined bytes. Returns false if the limit is reached or
/// no memory is free.
fn grow_read_ahead(agent: &Agent, client: &mut Connection) -> bool {
    let limits = &agent.limits;
    let length = client.receive_buffer.len() * 2;
    let max_length = MAX_BYTES_READ_AHEAD.min(limits.max_buffered_bytes() / READ_AHEAD_DIVISOR);
    let allowed = length <= max_length
        && !limits.request_memory.has_waiters()
        && limits.allows_request_bytes(client.growth_for(length));
    if allowed {
        client.reserve(length);
    }
    allowed
}
