//! Decides what follows an attempt: a retry within the retry budget, or a final response.

use super::Balancer;
use crate::interface::{AttemptEnd, Decision, Idempotency, Outcome};
use crate::model::{EndedAttempt, FailedAttempt, RetryState};
use std::time::Duration;

use super::endpoint_health::FAILURE_RATE_DECAY;

/// Number of retries that each request adds to the retry budget.
const RETRY_BUDGET_PER_REQUEST: f64 = 0.1;
/// Maximum retry budget, in retries.
const MAX_RETRY_BUDGET: f64 = 20.0;
/// Cost of a retry if an attempt may have run.
const RETRY_COST: f64 = 1.0;
/// Cost of a retry if no attempt has run.
const UNSENT_RETRY_COST: f64 = 0.3;
/// Cost of a hedged request.
const HEDGE_COST: f64 = 1.0;
/// Delay after which a client is told to retry.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Gain of the fault attribution for each request that failed once and then failed again or
/// succeeded.
const FAULT_ATTRIBUTION_GAIN: f64 = 0.15;
/// Minimum probability of a retry after a failure.
const MIN_RETRY_PROBABILITY: f64 = 0.2;
/// Time that must be left until the deadline for a retry, as a multiple of the mean latency.
const MIN_RETRY_TIME_MEANS: f64 = 0.5;

/// Initial state: a full retry budget, and all failures attributed to endpoints.
pub(super) fn initial() -> RetryState {
    RetryState {
        budget: MAX_RETRY_BUDGET,
        fault_attribution: 1.0,
    }
}

impl Balancer {
    /// Adds the share of one request to the retry budget.
    pub(super) fn refill_retry_budget(&mut self) {
        let budget = self.retries.budget + RETRY_BUDGET_PER_REQUEST;
        self.retries.budget = budget.min(MAX_RETRY_BUDGET);
    }

    /// Whether the retry budget allows a hedged request.
    pub(super) fn has_retry_budget(&self) -> bool {
        self.retries.budget >= HEDGE_COST
    }

    /// Charges a hedged request to the retry budget.
    pub(super) fn charge_hedge(&mut self) {
        self.retries.budget -= HEDGE_COST;
    }

    /// Marks an attempt as ended. Returns `None` if the attempt is unknown or has already ended.
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

    /// Returns the weight of a failure of this attempt as evidence against its endpoint, 0 to 1. If
    /// an earlier attempt of the same request failed, also updates the estimated share of failures
    /// that endpoints cause.
    ///
    /// Guards against requests that fail at any endpoint: if a request fails at a second endpoint
    /// as well, the failure counts against neither. This should also protect endpoints whose common
    /// dependency is broken. May spare a build that fails nearly all requests of a class.
    pub(super) fn attribute_fault(&mut self, ended: &EndedAttempt, outcome: Outcome) -> f64 {
        let Some(earlier) = ended.earlier_failure else {
            return self.retries.fault_attribution;
        };
        let attribution = &mut self.retries.fault_attribution;
        match outcome {
            Outcome::Failed => {
                *attribution *= 1.0 - FAULT_ATTRIBUTION_GAIN;
                self.retract_failure(earlier, ended.class);
            }
            Outcome::Succeeded => *attribution += (1.0 - *attribution) * FAULT_ATTRIBUTION_GAIN,
            _ => {}
        }
        0.0
    }

    fn retract_failure(&mut self, failure: FailedAttempt, class: usize) {
        let mut endpoint = self.fleet.endpoint_mut(failure.endpoint);
        if endpoint.build != failure.build {
            return;
        }
        endpoint.health.failure_rate *= FAILURE_RATE_DECAY;
        drop(endpoint);
        self.outcomes.retract_failure(failure.endpoint, class);
    }

    /// Decides what to do with a request after one of its attempts has ended.
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
        let is_late = time_left < class.latency.mean * MIN_RETRY_TIME_MEANS;
        let is_unsafe = has_run && class.rules.idempotency == Idempotency::NonIdempotent;
        if is_late || is_unsafe || is_skipped || self.retries.budget < cost {
            return self.give_up(now, id);
        }
        self.retries.budget -= cost;
        self.route(now, id)
    }

    /// Randomly decides whether a failure is not retried. The fewer failures are attributed to
    /// endpoints, the fewer are retried.
    fn skips_retry_at_random(&mut self) -> bool {
        self.random_fraction() > self.retries.fault_attribution.max(MIN_RETRY_PROBABILITY)
    }

    /// Ends a request with a final response: a rejection if its client may safely retry it,
    /// otherwise a failure.
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
