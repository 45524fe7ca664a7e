//! What can happen to a request while it waits.

use super::in_flight::FinishedAttempt;
use super::ActiveRequest;
use crate::protocol::connection::Connection;
use crate::runtime::reactor::Timer;
use crate::server::limits::MAX_BYTES_READ_AHEAD;
use futures_lite::future::poll_fn;
use std::future::Future;
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;

/// What happens next to a request.
pub(super) enum RequestEvent {
    AttemptEnded(FinishedAttempt),
    RecheckDue,
    ClientLeft,
    DeadlinePassed,
}

impl ActiveRequest {
    /// What happens next. Ends come before time-outs: after a stall that is their order. Before
    /// either comes a client that has left: an attempt's first look at its connection is also its
    /// first byte.
    pub(super) async fn next_event(&mut self, client: &mut Connection) -> RequestEvent {
        let agent = &self.agent;
        let attempts = &mut self.attempts;
        let recheck_at = &mut self.recheck_at;
        let timeout_at = attempts.next_timeout().unwrap_or(self.deadline);
        let due = timeout_at
            .min(recheck_at.unwrap_or(self.deadline))
            .min(self.deadline);
        let mut timer = pin!(Timer::at(agent.clock.to_instant(due)));
        let mut client_left = pin!(client_left(client));
        poll_fn(|cx| {
            if client_left.as_mut().poll(cx).is_ready() {
                return Poll::Ready(RequestEvent::ClientLeft);
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

    /// The next attempt that ends, or whose time is over at `timeout_at`.
    pub(super) async fn next_end(&mut self, timeout_at: Duration) -> Option<FinishedAttempt> {
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

/// Ready once the client closes its connection, or ends its sending, which look the same.
/// What it writes ahead is kept, up to a bound, beyond which its end is still seen.
async fn client_left(client: &mut Connection) {
    while client.receive_buffer.len() <= MAX_BYTES_READ_AHEAD {
        match client.read_more().await {
            Ok(count) if count > 0 => {}
            _ => return,
        }
    }
    client.peer_closed().await;
}
