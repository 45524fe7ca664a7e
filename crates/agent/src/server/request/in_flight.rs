//! The attempts of one request that are in flight.

use crate::agent::Agent;
use crate::observability::logging::EVIDENCE;
use crate::upstream::attempt::AttemptResponse;
use crate::upstream::transfer_meter::TransferMeter;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tulipwall::Outcome;
use tulipwall_zones::Reservation;

/// The future that runs an attempt and returns its response.
pub type PendingResponse = Pin<Box<dyn Future<Output = AttemptResponse>>>;

/// An attempt that is in flight.
pub struct InFlightAttempt {
    /// When the balancer decided on the attempt, on the agent's clock.
    pub decided_at: Duration,
    /// When the attempt times out, on the agent's clock.
    pub timeout_at: Duration,
    /// The index of the request's class.
    pub class: usize,
    /// The build to which the attempt is sent; 0 if its endpoint has been removed.
    pub build: u32,
    /// Counts the bytes that the attempt transfers.
    pub meter: Rc<TransferMeter>,
    /// The attempt's share of the zones' budgets; `None` if cross-zone traffic is not accounted
    /// for.
    pub reservation: Option<Reservation>,
    /// Runs the attempt. Dropping it closes the attempt's connection.
    pub response: PendingResponse,
}

impl InFlightAttempt {
    /// Ends the attempt: closes its connection if it still has one, and adds the attempt to the
    /// accounting of cross-zone traffic. Returns when it was decided on.
    fn finish(self, agent: &Agent, outcome: Outcome) -> Duration {
        drop(self.response);
        let now = agent.clock.now();
        let latency = now.saturating_sub(self.decided_at);
        log::debug!(target: EVIDENCE, "{} attempt class {} build {} {outcome:?} {} us",
            agent.clock.to_unix_ms(now), self.class, self.build, latency.as_micros());
        agent.zone_traffic.on_attempt_end(
            now,
            self.reservation.as_ref(),
            &self.meter,
            outcome,
            latency,
        );
        self.decided_at
    }
}

/// An attempt that has ended and is accounted for, but not yet reported to the balancer.
pub struct FinishedAttempt {
    /// The index of the attempt within its request, from 0.
    pub attempt: usize,
    /// When the balancer decided on the attempt, on the agent's clock.
    pub decided_at: Duration,
    /// The outcome and the value, if any.
    pub response: AttemptResponse,
}

/// All attempts of one request, by their index.
#[derive(Default)]
pub struct InFlightAttempts {
    attempts: Vec<Option<InFlightAttempt>>, // `None` for attempts that have ended
}

impl InFlightAttempts {
    /// Adds the next attempt. Its index is the number of attempts before it.
    pub fn push(&mut self, attempt: InFlightAttempt) {
        self.attempts.push(Some(attempt));
    }

    /// Returns the number of attempts so far, including those that have ended.
    pub fn count(&self) -> usize {
        self.attempts.len()
    }

    /// Returns whether any attempt is still in flight.
    pub fn any_in_flight(&self) -> bool {
        self.attempts.iter().any(Option::is_some)
    }

    /// Returns when the next attempt in flight times out; `None` if none is in flight.
    pub fn next_timeout(&self) -> Option<Duration> {
        let in_flight = self.attempts.iter().flatten();
        in_flight.map(|attempt| attempt.timeout_at).min()
    }

    /// Returns the indices of the attempts in flight that are not fully written, and therefore
    /// can't have run.
    pub fn not_fully_written(&self) -> Vec<usize> {
        (0..self.attempts.len())
            .filter(|n| match &self.attempts[*n] {
                Some(attempt) => !attempt.meter.is_fully_written(),
                None => false,
            })
            .collect()
    }

    /// Ends an attempt with `outcome` and closes its connection. Returns `None` if it has already
    /// ended.
    pub fn finish(
        &mut self,
        agent: &Agent,
        attempt: usize,
        outcome: Outcome,
    ) -> Option<FinishedAttempt> {
        let in_flight = self.attempts.get_mut(attempt)?.take()?;
        Some(FinishedAttempt {
            attempt,
            decided_at: in_flight.finish(agent, outcome),
            response: AttemptResponse::without_value(outcome),
        })
    }

    /// Polls the attempts in flight and returns the first that has ended.
    pub fn poll_ended(&mut self, agent: &Agent, cx: &mut Context) -> Option<FinishedAttempt> {
        for (attempt, slot) in self.attempts.iter_mut().enumerate() {
            let Some(in_flight) = slot else {
                continue;
            };
            let Poll::Ready(response) = in_flight.response.as_mut().poll(cx) else {
                continue;
            };
            let ended = slot.take()?;
            return Some(FinishedAttempt {
                attempt,
                decided_at: ended.finish(agent, response.outcome),
                response,
            });
        }
        None
    }

    /// Ends the first attempt that has timed out. An attempt that was not fully written counts as
    /// [`Outcome::ConnectFailed`], as it never ran.
    pub fn expire(&mut self, agent: &Agent, now: Duration) -> Option<FinishedAttempt> {
        let expired = self.attempts.iter().position(|slot| match slot {
            Some(attempt) => attempt.timeout_at <= now,
            None => false,
        })?;
        let fully_written = match &self.attempts[expired] {
            Some(attempt) => attempt.meter.is_fully_written(),
            None => false,
        };
        let outcome = if fully_written {
            Outcome::TimedOut
        } else {
            Outcome::ConnectFailed
        };
        self.finish(agent, expired, outcome)
    }
}
