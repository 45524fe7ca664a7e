//! The events that a request waits for.

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

/// The next event of a request.
pub(super) enum RequestEvent {
    AttemptEnded(FinishedAttempt),
    RecheckDue,
    ClientLeft,
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

/// Waits until the client closes its connection or its sending direction, which can't be
/// distinguished. Pipelined bytes are buffered up to a limit; beyond it nothing is read, but the
/// close is still detected.
async fn client_left(client: &mut Connection) {
    while client.receive_buffer.len() <= MAX_BYTES_READ_AHEAD {
        match client.read_more().await {
            Ok(count) if count > 0 => {}
            _ => return,
        }
    }
    client.peer_closed().await;
}
