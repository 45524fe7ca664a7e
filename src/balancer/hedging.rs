//! Decides when an attempt in flight is hedged or cancelled.

use super::routing::RequestLimits;
use super::Balancer;
use crate::interface::{Decision, Idempotency};
use crate::model::{ActiveRequest, ClassState};
use crate::stats::MaxTree;
use std::time::Duration;

/// Time after which a hedged request is sent, as a share of the latency objective.
const HEDGE_AFTER_OBJECTIVE: f64 = 0.45;
/// Lower bound of that time, as a multiple of the mean latency.
const HEDGE_AFTER_MEANS: f64 = 1.5;
/// Time after which a hedged request is sent under overload, as a multiple of the stall timeout.
const HEDGE_AFTER_STALLS: u32 = 2;
/// Time after which an attempt is late if hedging is off. It is far below the maximum duration,
/// because times are added to it.
const NEVER: Duration = Duration::new(u64::MAX / 4, 999_999_999);
/// Lower bound of the high latency quantile, as a multiple of the mean latency.
const HIGH_LATENCY_MEANS: f64 = 2.3;
/// Multiple of the highest latency of any class after which a silent endpoint counts as stalled.
const STALL_FACTOR: f64 = 2.0;
/// Bounds of the stall timeout, in seconds.
const STALL_TIMEOUT_RANGE: (f64, f64) = (0.1, 3.0);
/// Number of times per stall timeout that an attempt in flight is rechecked.
const RECHECKS_PER_STALL: u32 = 4;

/// Builds the index of the high latencies of all classes, which yields the highest one.
pub(super) fn highest_latency(classes: &[ClassState]) -> MaxTree {
    MaxTree::new(classes.iter().map(high_latency))
}

fn high_latency(class: &ClassState) -> f64 {
    let latency = &class.latency;
    latency.high_quantile.max(latency.mean * HIGH_LATENCY_MEANS)
}

impl Balancer {
    /// Time without any response after which an endpoint counts as unresponsive, longer than any
    /// class is expected to need.
    pub(super) fn stall_timeout(&self) -> Duration {
        let (min, max) = STALL_TIMEOUT_RANGE;
        Duration::from_secs_f64((self.highest_latency.max() * STALL_FACTOR).clamp(min, max))
    }

    /// Updates the index after a change of the latencies of a class.
    pub(super) fn update_highest_latency(&mut self, class: usize) {
        let latency = high_latency(&self.classes[class]);
        self.highest_latency.set(class, latency);
    }

    /// Time after which an attempt is late even though its endpoint responds to other requests. It
    /// is short only while responses are fast, because hedged requests slow down all others.
    ///
    /// Guards against slow endpoints and networks that lose responses. Does harm to heavy requests,
    /// which run twice.
    pub(super) fn late_after(&self, class: &ClassState, stall_timeout: Duration) -> Duration {
        if !self.parameters.hedging {
            return NEVER;
        }
        if self.admission.limit.is_some() {
            return stall_timeout * HEDGE_AFTER_STALLS;
        }
        let seconds = (class.rules.latency_objective * HEDGE_AFTER_OBJECTIVE)
            .max(class.latency.mean * HEDGE_AFTER_MEANS);
        Duration::from_secs_f64(seconds)
    }

    /// Decides what to do with a request that has an attempt in flight.
    ///
    /// Guards against endpoints that hang, vanish, pause or are very slow: if the endpoint has been
    /// silent since the attempt was sent, or the response is very late, a request that may be
    /// repeated is sent to another endpoint.
    pub(super) fn recheck_attempt(
        &mut self,
        now: Duration,
        id: u64,
        limits: &RequestLimits,
    ) -> Decision {
        let request = &self.requests[&id];
        let Some((number, attempt)) = request.in_flight().last() else {
            return Decision::Await;
        };
        if !self.may_hedge(request, limits) {
            return Decision::Await;
        }
        let sent_at = attempt.sent_at.max(self.clock.resumed_at);
        let endpoint = self.fleet.endpoint(attempt.endpoint);
        let is_stalled = now >= sent_at + limits.stall_timeout
            && endpoint.is_unresponsive(now, limits.stall_timeout);
        let late_at = sent_at + limits.late_after;
        if !is_stalled && now < late_at {
            let recheck_at = now + limits.stall_timeout / RECHECKS_PER_STALL;
            return Decision::Defer {
                until: late_at
                    .min(recheck_at)
                    .max(now + self.parameters.timer_granularity),
            };
        }
        if !self.parameters.hedging {
            return Decision::Cancel { attempt: number };
        }
        self.hedge(now, id, limits)
    }

    fn may_hedge(&self, request: &ActiveRequest, limits: &RequestLimits) -> bool {
        let is_hedged = request.in_flight().count() > 1;
        let class = &self.classes[request.class];
        class.rules.idempotency != Idempotency::NonIdempotent
            && !is_hedged
            && !limits.attempts_spent
            && !limits.past_deadline
            && self.has_retry_budget()
    }

    fn hedge(&mut self, now: Duration, id: u64, limits: &RequestLimits) -> Decision {
        self.charge_hedge();
        match self.choose_endpoints(now, id) {
            Some(choices) => self.forward(now, id, choices.chosen, limits.recheck_after()),
            None => Decision::Await,
        }
    }
}
