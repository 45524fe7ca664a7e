//! What becomes of a request after an attempt: a retry within the budget, or a final answer.

use super::Balancer;
use crate::interface::{AttemptEnd, Decision, Idempotency, Outcome};
use crate::model::{EndedAttempt, FailedAttempt, RetryState};
use std::time::Duration;

use super::endpoint_health::FAILURE_RATE_DECAY;

/// Attempts that each request adds to the budget.
const RETRY_BUDGET_PER_REQUEST: f64 = 0.1;
/// Attempts that the budget holds, at most.
const MAX_RETRY_BUDGET: f64 = 20.0;
/// Cost of a retry where an attempt may have run.
const RETRY_COST: f64 = 1.0;
/// Cost of a retry where none ran.
const UNSENT_RETRY_COST: f64 = 0.3;
/// Cost of a hedged request.
const HEDGE_COST: f64 = 1.0;
/// Time after which a client is told to retry.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Gain of the fault attribution weight, each request that failed once and ended otherwise, too.
const FAULT_ATTRIBUTION_GAIN: f64 = 0.15;
/// Least probability of a retry after a failure.
const MIN_RETRY_PROBABILITY: f64 = 0.2;
/// Part of the mean latency that must be left of the time for a retry.
const MIN_RETRY_TIME: f64 = 0.5;

/// The state at a start: a full budget, and all failures are the endpoints'.
pub(super) fn initial() -> RetryState {
    RetryState {
        budget: MAX_RETRY_BUDGET,
        fault_attribution: 1.0,
    }
}

impl Balancer {
    /// Adds to the budget for one request.
    pub(super) fn refill_retry_budget(&mut self) {
        let budget = self.retries.budget + RETRY_BUDGET_PER_REQUEST;
        self.retries.budget = budget.min(MAX_RETRY_BUDGET);
    }

    /// Whether the budget allows a hedged request.
    pub(super) fn has_retry_budget(&self) -> bool {
        self.retries.budget >= HEDGE_COST
    }

    /// Takes a hedged request from the budget.
    pub(super) fn charge_hedge(&mut self) {
        self.retries.budget -= HEDGE_COST;
    }

    /// Ends an attempt. `None` where it is unknown or has ended before.
    pub(super) fn end_attempt(
        &mut self,
        id: u64,
        number: usize,
        outcome: Outcome,
    ) -> Option<EndedAttempt> {
        let request = self.requests.get_mut(&id)?;
        let attempt = request.attempts.get_mut(number).filter(|a| a.in_flight)?;
        attempt.end(outcome);
        let endpoint = attempt.endpoint;
        let build = attempt.build;
        self.admission.in_flight = self.admission.in_flight.saturating_sub(1);
        let earlier_failure = request.attempts[..number].iter().find(|a| a.failed);
        Some(EndedAttempt {
            endpoint,
            build,
            class: request.class,
            key: request.key,
            earlier_failure: earlier_failure.map(|a| FailedAttempt {
                endpoint: a.endpoint,
                build: a.build,
            }),
        })
    }

    /// How much a failure of this attempt says of its endpoint, 0 to 1.
    ///
    /// Guards against requests that fail anywhere: what fails at a second endpoint, too, is held
    /// against neither. Should also spare a broken dependency; may spare a build that fails nearly
    /// all of a class.
    pub(super) fn attribute_fault(&mut self, ended: &EndedAttempt, outcome: Outcome) -> f64 {
        let Some(earlier) = ended.earlier_failure else {
            return self.retries.fault_attribution;
        };
        let attribution = &mut self.retries.fault_attribution;
        match outcome {
            Outcome::Failed => {
                *attribution *= 1.0 - FAULT_ATTRIBUTION_GAIN;
                self.take_back_failure(earlier, ended.class);
            }
            Outcome::Succeeded => *attribution += (1.0 - *attribution) * FAULT_ATTRIBUTION_GAIN,
            _ => {}
        }
        0.0
    }

    fn take_back_failure(&mut self, failure: FailedAttempt, class: usize) {
        let mut endpoint = self.fleet.endpoint_mut(failure.endpoint);
        if endpoint.build != failure.build {
            return;
        }
        endpoint.health.failure_rate *= FAILURE_RATE_DECAY;
        drop(endpoint);
        self.outcomes.take_back_failure(failure.endpoint, class);
    }

    /// Decides what to do with a request one of whose attempts has just ended.
    pub(super) fn after_attempt(&mut self, now: Duration, id: u64, end: &AttemptEnd) -> Decision {
        let request = &self.requests[&id];
        let other = request.in_flight().next().map(|(number, _)| number);
        if end.request_closed || request.closed {
            self.close_request(id);
            return match other.filter(|_| self.parameters.cancellation) {
                Some(attempt) => Decision::Cancel { attempt },
                None => Decision::Await,
            };
        }
        if other.is_some() {
            return Decision::Await;
        }
        self.retry_or_give_up(now, id, end.outcome)
    }

    fn retry_or_give_up(&mut self, now: Duration, id: u64, outcome: Outcome) -> Decision {
        let is_skipped = outcome == Outcome::Failed && self.skips_retry_at_random();
        let request = &self.requests[&id];
        let class = &self.classes[request.class];
        let has_run = request.may_have_run();
        let cost = if has_run {
            RETRY_COST
        } else {
            UNSENT_RETRY_COST
        };
        let time_left = request.deadline.saturating_sub(now).as_secs_f64();
        let is_late = time_left < class.latency.mean * MIN_RETRY_TIME;
        let is_unsafe = has_run && class.rules.idempotency == Idempotency::NonIdempotent;
        if is_late || is_unsafe || is_skipped || self.retries.budget < cost {
            return self.give_up(now, id);
        }
        self.retries.budget -= cost;
        self.route(now, id)
    }

    /// Whether a failure is left as it is, by chance: the rarer failures are the endpoints', the
    /// more often.
    fn skips_retry_at_random(&mut self) -> bool {
        self.random_fraction() > self.retries.fault_attribution.max(MIN_RETRY_PROBABILITY)
    }

    /// Answers a request finally: with a rejection where its client may safely retry it, else with
    /// a failure.
    pub(super) fn give_up(&mut self, now: Duration, id: u64) -> Decision {
        let Some(request) = self.requests.get(&id) else {
            return Decision::Await;
        };
        let idempotency = self.classes[request.class].rules.idempotency;
        let is_safe = request.is_safe_to_retry(idempotency, now + RETRY_AFTER);
        self.close_request(id);
        if !is_safe {
            return Decision::Fail;
        }
        let longest = self.parameters.retry_after;
        Decision::Reject {
            retry_after: longest.map(|longest| longest.min(RETRY_AFTER)),
        }
    }
}
