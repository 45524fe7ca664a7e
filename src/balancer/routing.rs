//! Forwards requests to endpoints, within their deadlines and attempt limits.

use super::candidates::TwoChoices;
use super::Balancer;
use crate::interface::{Decision, Idempotency};
use crate::model::ActiveRequest;
use std::time::Duration;

/// Timeout of an attempt that cannot be cancelled, as a multiple of the mean latency of its class.
const RETRY_TIMEOUT_MEANS: f64 = 6.0;
/// Lower bound of that timeout, as a share of the latency objective.
const RETRY_TIMEOUT_OBJECTIVE: f64 = 0.8;
/// Time left until the deadline up to which a request is rejected at once, in timer ticks.
const MIN_TICKS_LEFT: u32 = 2;
/// Time to wait for requested load reports, in timer ticks.
const LOAD_PROBE_TICKS: u32 = 2;
/// Time until endpoints are selected again if none may be used, in timer ticks.
const RETRY_ROUTE_TICKS: u32 = 4;

/// Limits on the further attempts of a request.
pub(super) struct RequestLimits {
    /// Whether the request has used all its attempts.
    pub attempts_spent: bool,
    /// Whether a response is no longer expected before the deadline.
    pub past_deadline: bool,
    /// Whether half of the request's time has passed and it has never run.
    pub is_stale: bool,
    /// Time without any response after which its endpoint counts as unresponsive.
    pub stall_timeout: Duration,
    /// Time after which its attempt counts as late, even if its endpoint responds to other
    /// requests.
    pub late_after: Duration,
}

impl RequestLimits {
    /// Delay until an attempt in flight is checked again.
    pub fn recheck_after(&self) -> Duration {
        self.stall_timeout.min(self.late_after)
    }
}

impl Balancer {
    /// The limits on the further attempts of this request.
    pub(super) fn limits(&self, now: Duration, request: &ActiveRequest) -> RequestLimits {
        let class = &self.classes[request.class];
        let tick = self.parameters.timer_granularity;
        let time_left = request.deadline.saturating_sub(now);
        let stall_timeout = self.stall_timeout();
        RequestLimits {
            attempts_spent: request.attempts.len() >= self.parameters.max_attempts,
            past_deadline: time_left.as_secs_f64() < class.latency.mean
                || request.is_past_deduplication(class.rules.idempotency, now + tick),
            is_stale: now + tick * RETRY_ROUTE_TICKS > request.half_time && !request.may_have_run(),
            stall_timeout,
            late_after: self.late_after(class, stall_timeout),
        }
    }

    /// Whether a request without an attempt in flight is given up before endpoints are selected.
    /// Under overload, the requests of the lowest value are rejected before they cost anything.
    pub(super) fn is_rejected_at_once(
        &self,
        now: Duration,
        request: &ActiveRequest,
        limits: &RequestLimits,
    ) -> bool {
        let time_left = request.deadline.saturating_sub(now);
        time_left <= self.parameters.timer_granularity * MIN_TICKS_LEFT
            || limits.attempts_spent
            || request.attempts.is_empty() && self.is_over_limit(request)
    }

    /// Forwards a request that has no attempt in flight, or returns when to try again.
    ///
    /// A request that has never run is given up after half of its time, so that its client may find
    /// another agent. Does harm if an endpoint would still have taken it.
    pub(super) fn start_attempt(
        &mut self,
        now: Duration,
        id: u64,
        limits: &RequestLimits,
    ) -> Decision {
        let tick = self.parameters.timer_granularity;
        match self.choose_endpoints(now, id) {
            Some(choices) if self.request_load_reports(now, id, &choices) => Decision::Defer {
                until: now + tick * LOAD_PROBE_TICKS,
            },
            Some(TwoChoices { chosen, .. }) => {
                self.forward(now, id, chosen, limits.recheck_after())
            }
            None if limits.past_deadline || limits.is_stale => self.give_up(now, id),
            None => Decision::Defer {
                until: now + tick * RETRY_ROUTE_TICKS,
            },
        }
    }

    /// Forwards a request to the endpoint at `index`.
    pub(super) fn forward(
        &mut self,
        now: Duration,
        id: u64,
        index: usize,
        recheck_after: Duration,
    ) -> Decision {
        let Some(request) = self.requests.get_mut(&id) else {
            return Decision::Await;
        };
        let class = &self.classes[request.class];
        let time_left = request.deadline.saturating_sub(now);
        let may_retry = request.attempts.len() + 1 < self.parameters.max_attempts
            && class.rules.idempotency != Idempotency::NonIdempotent;
        let cancellation = self.parameters.cancellation;
        let timeout = if may_retry && !cancellation {
            let seconds = (class.latency.mean * RETRY_TIMEOUT_MEANS)
                .max(class.rules.latency_objective * RETRY_TIMEOUT_OBJECTIVE);
            Duration::from_secs_f64(seconds).min(time_left)
        } else {
            time_left
        };
        let recheck_at = (may_retry && cancellation)
            .then(|| now + recheck_after)
            .filter(|at| *at < request.deadline);
        let mut endpoint = self.fleet.endpoint_mut(index);
        let build = endpoint.build;
        let class = request.class;
        request.attempts.push(endpoint.send_attempt(index, now));
        drop(endpoint);
        self.admission.in_flight += 1;
        self.spend_exposure_token(build, class);
        Decision::Forward {
            endpoint: index,
            timeout,
            recheck_at,
        }
    }
}
