//! The attempts of one request that are out.

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

/// The response of an attempt, once there is one.
pub type PendingResponse = Pin<Box<dyn Future<Output = AttemptResponse>>>;

/// An attempt that is out.
pub struct InFlightAttempt {
    /// When it was decided, on the agent's clock.
    pub sent: Duration,
    /// When it is given up.
    pub timeout_at: Duration,
    /// The class of its request.
    pub class: usize,
    /// The build that it goes to.
    pub build: u32,
    /// What it transfers.
    pub meter: Rc<TransferMeter>,
    /// What it may take of the zones' budgets.
    pub reservation: Option<Reservation>,
    /// Drives it. Dropped, its connection is closed.
    pub response: PendingResponse,
}

impl InFlightAttempt {
    /// It is over: its connection is closed where it still has one, and what it did goes into the
    /// account of cross-zone traffic. Says when it was sent.
    fn finish(self, agent: &Agent, outcome: Outcome) -> Duration {
        drop(self.response);
        let now = agent.clock.now();
        let latency = now.saturating_sub(self.sent);
        log::debug!(target: EVIDENCE, "{} attempt class {} build {} {outcome:?} {} us",
            agent.clock.to_unix_ms(now), self.class, self.build, latency.as_micros());
        agent.zone_traffic.on_attempt_end(
            now,
            self.reservation.as_ref(),
            &self.meter,
            outcome,
            latency,
        );
        self.sent
    }
}

/// An attempt that is over and accounted for; the balancer does not know of it yet.
pub struct FinishedAttempt {
    /// Which of its request's attempts it is.
    pub attempt: usize,
    /// When it was decided.
    pub sent: Duration,
    /// How it ended.
    pub response: AttemptResponse,
}

/// All attempts of one request, by their number.
#[derive(Default)]
pub struct InFlightAttempts {
    attempts: Vec<Option<InFlightAttempt>>, // those that are over are `None`
}

impl InFlightAttempts {
    /// Adds the next attempt.
    pub fn push(&mut self, attempt: InFlightAttempt) {
        self.attempts.push(Some(attempt));
    }

    /// How many attempts there were, also those that are over.
    pub fn count(&self) -> usize {
        self.attempts.len()
    }

    /// Whether any attempt is still out.
    pub fn any_in_flight(&self) -> bool {
        self.attempts.iter().any(Option::is_some)
    }

    /// When the first of those that are out is given up.
    pub fn next_timeout(&self) -> Option<Duration> {
        let in_flight = self.attempts.iter().flatten();
        in_flight.map(|attempt| attempt.timeout_at).min()
    }

    /// Those that are out and not yet written whole, so that they can't have run.
    pub fn not_fully_written(&self) -> Vec<usize> {
        (0..self.attempts.len())
            .filter(|n| match &self.attempts[*n] {
                Some(attempt) => !attempt.meter.is_fully_written(),
                None => false,
            })
            .collect()
    }

    /// Closes an attempt's connection; nothing if it is over.
    pub fn finish(
        &mut self,
        agent: &Agent,
        attempt: usize,
        outcome: Outcome,
    ) -> Option<FinishedAttempt> {
        let in_flight = self.attempts.get_mut(attempt)?.take()?;
        Some(FinishedAttempt {
            attempt,
            sent: in_flight.finish(agent, outcome),
            response: AttemptResponse::without_value(outcome),
        })
    }

    /// Drives those that are out; the first that has ended.
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
                sent: ended.finish(agent, response.outcome),
                response,
            });
        }
        None
    }

    /// Closes the first attempt whose time is over. It never ran if it was not yet written whole.
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
