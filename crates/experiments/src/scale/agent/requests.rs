//! The simulated requests of an agent, from their arrival through their attempts to their end.

use super::events::EventKind;
use super::{ActualState, SimulatedAgent};
use crate::scale::meter::{Operation, ProcessorTimer};
use crate::scale::size::tenant;
use rand::Rng;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tulipwall::{AttemptEnd, Decision, Outcome, Request};
use tulipwall_discovery::endpoint_table::IndexGuard;

/// Time that a client waits for the response to a request.
const DEADLINE: Duration = Duration::from_millis(1500);
/// Mean processing time at an endpoint, in milliseconds.
const MEAN_WORK_MS: f64 = 20.0;
/// Network round-trip time between an agent and an endpoint.
const ROUND_TRIP: Duration = Duration::from_millis(1);
/// Mask for the bits of an IPv4 address that hold the endpoint number; see `Size::entry`.
const ENDPOINT_MASK: usize = 0xff_ffff;

/// The open requests of an agent, by identifier.
#[derive(Default)]
pub(super) struct Requests {
    pub(super) open: HashMap<u64, OpenRequest>,
    next_id: u64,
}

/// A request that has not been answered, or that still has an attempt in flight.
#[derive(Default)]
pub(super) struct OpenRequest {
    /// The attempts in the order in which they were sent; `None` for those that have ended.
    attempts: Vec<Option<OpenAttempt>>,
    /// Time at which to route the request again; `None` if the balancer asked for no recheck.
    recheck_at: Option<Duration>,
    is_answered: bool,
}

/// An attempt in flight.
struct OpenAttempt {
    sent_at: Duration,
    /// Keeps the endpoint's index from being reused for another endpoint while the attempt is in
    /// flight.
    _index_guard: Option<IndexGuard>,
}

impl SimulatedAgent {
    /// Schedules the arrival of the next request. Arrivals form a Poisson process; a rate of zero
    /// produces none.
    pub(super) fn schedule_arrival(&mut self, now: Duration) {
        if self.size.rate > 0.0 {
            let gap = self.draw_exponential() / self.size.rate;
            let at = now + Duration::from_secs_f64(gap);
            self.events.push(at, EventKind::Arrival);
        }
    }

    /// Draws from the exponential distribution with mean 1.
    fn draw_exponential(&mut self) -> f64 {
        -self.rng.gen_range(f64::MIN_POSITIVE..1.0).ln()
    }

    pub(super) fn on_arrival(&mut self, now: Duration, actual: &ActualState) {
        self.schedule_arrival(now);
        let request = self.draw_request(now);
        let id = self.requests.next_id;
        self.requests.next_id += 1;
        self.counts.requests += 1;
        let timer = ProcessorTimer::start();
        self.balancer.on_request(now, id, request);
        let decision = self.balancer.route(now, id);
        self.meter
            .record_processor_time(now, Operation::Decisions, timer);
        self.requests.open.insert(id, OpenRequest::default());
        let deadline = EventKind::Deadline { request: id };
        self.events.push(now + DEADLINE, deadline);
        self.act_on(now, id, decision, actual);
    }

    /// Draws the class, tenant and key of a request.
    fn draw_request(&mut self, now: Duration) -> Request {
        let tenant_number = self.rng.gen_range(0..self.size.tenants.max(1));
        let name = tenant(tenant_number);
        let class = self.rng.gen_range(0..self.size.classes);
        let key = self.rng.gen();
        let timer = ProcessorTimer::start();
        let tenant = self.config.tenant_index(&name);
        self.meter
            .record_processor_time(now, Operation::TenantLookup, timer);
        Request {
            class,
            tenant,
            key: Some(key),
            time_left: DEADLINE,
            estimated_work: None,
            is_retry: false,
        }
    }

    /// Carries out a decision of the balancer as the real agent does.
    fn act_on(&mut self, now: Duration, id: u64, mut decision: Decision, actual: &ActualState) {
        loop {
            match decision {
                Decision::Forward {
                    endpoint,
                    timeout,
                    recheck_at,
                } => {
                    self.send_attempt(now, id, endpoint, timeout, actual);
                    if let Some(at) = recheck_at {
                        self.schedule_recheck(id, at);
                    }
                    return;
                }
                Decision::Defer { until } => return self.schedule_recheck(id, until),
                Decision::Reject { .. } | Decision::Fail => return self.mark_answered(id),
                Decision::Cancel { attempt } => {
                    match self.end_attempt(now, id, attempt, Outcome::Cancelled, false) {
                        Some(next) => decision = next,
                        None => return,
                    }
                }
                Decision::Await => return,
            }
        }
    }

    fn schedule_recheck(&mut self, id: u64, at: Duration) {
        if let Some(request) = self.requests.open.get_mut(&id) {
            request.recheck_at = Some(at);
            self.events.push(at, EventKind::Recheck { request: id });
        }
    }

    pub(super) fn on_recheck(&mut self, now: Duration, id: u64, actual: &ActualState) {
        let is_due = |request: &OpenRequest| {
            // A later decision may have rescheduled the recheck, which makes this event stale.
            !request.is_answered && request.recheck_at == Some(now)
        };
        if self.requests.open.get(&id).is_some_and(is_due) {
            let timer = ProcessorTimer::start();
            let decision = self.balancer.route(now, id);
            self.meter
                .record_processor_time(now, Operation::Decisions, timer);
            self.act_on(now, id, decision, actual);
        }
    }

    pub(super) fn on_deadline(&mut self, id: u64) {
        if self.requests.open.get(&id).is_some_and(|r| !r.is_answered) {
            self.balancer.close_request(id);
            self.mark_answered(id);
        }
    }

    /// Sends an attempt to an endpoint and schedules its end, with the outcome drawn in advance.
    fn send_attempt(
        &mut self,
        now: Duration,
        id: u64,
        endpoint: usize,
        timeout: Duration,
        actual: &ActualState,
    ) {
        let timer = ProcessorTimer::start();
        let target = self.discovery.list.target(endpoint);
        let index_guard = self.discovery.list.hold_index(endpoint);
        self.meter
            .record_processor_time(now, Operation::Decisions, timer);
        let (duration, outcome) = match target.map(|t| (t.address, t.zone)) {
            None => (Duration::ZERO, Outcome::NotSent),
            Some((address, zone)) => self.draw_outcome(address, zone, timeout, actual),
        };
        let Some(request) = self.requests.open.get_mut(&id) else {
            return;
        };
        request.attempts.push(Some(OpenAttempt {
            sent_at: now,
            _index_guard: index_guard,
        }));
        let end = EventKind::AttemptEnd {
            request: id,
            attempt: request.attempts.len() - 1,
            outcome,
        };
        self.counts.attempts += 1;
        self.events.push(now + duration, end);
    }

    /// Draws the duration and the outcome of an attempt.
    fn draw_outcome(
        &mut self,
        address: SocketAddr,
        zone: usize,
        timeout: Duration,
        actual: &ActualState,
    ) -> (Duration, Outcome) {
        let own_region = self.size.region(self.size.zone(self.number));
        let is_cut_off = actual.is_partitioned && self.size.region(zone) != own_region;
        let is_down = actual.down.get(endpoint_number(address)) == Some(&true);
        let work = self.draw_exponential() * MEAN_WORK_MS / 1000.0;
        let duration = ROUND_TRIP + Duration::from_secs_f64(work);
        if is_cut_off || is_down {
            let connect_timeout = self.config.connect_timeout.min(timeout);
            (connect_timeout, Outcome::ConnectFailed)
        } else if duration > timeout {
            (timeout, Outcome::TimedOut)
        } else {
            (duration, Outcome::Succeeded)
        }
    }

    /// Reports the end of an attempt to the balancer and returns its next decision. Returns `None`
    /// if the attempt has been reported already or the request is gone.
    fn end_attempt(
        &mut self,
        now: Duration,
        id: u64,
        attempt: usize,
        outcome: Outcome,
        request_closed: bool,
    ) -> Option<Decision> {
        let request = self.requests.open.get_mut(&id)?;
        // The index guard is held until the balancer knows of the end.
        let open_attempt = request.attempts.get_mut(attempt)?.take()?;
        let end = AttemptEnd {
            outcome,
            latency: now.saturating_sub(open_attempt.sent_at),
            request_closed,
            reported_load: None,
        };
        let timer = ProcessorTimer::start();
        let decision = self.balancer.on_attempt_end(now, id, attempt, end);
        self.meter
            .record_processor_time(now, Operation::Decisions, timer);
        Some(decision)
    }

    pub(super) fn on_attempt_end(
        &mut self,
        now: Duration,
        id: u64,
        attempt: usize,
        outcome: Outcome,
        actual: &ActualState,
    ) {
        let Some(was_answered) = self.requests.open.get(&id).map(|r| r.is_answered) else {
            return;
        };
        let succeeded = outcome == Outcome::Succeeded && !was_answered;
        let is_closed = succeeded || was_answered;
        let Some(decision) = self.end_attempt(now, id, attempt, outcome, is_closed) else {
            return;
        };
        if succeeded {
            self.counts.succeeded += 1;
            if let Decision::Cancel { attempt } = decision {
                self.end_attempt(now, id, attempt, Outcome::Cancelled, true);
            }
        }
        if is_closed {
            self.mark_answered(id);
        } else {
            self.act_on(now, id, decision, actual);
        }
    }

    /// Marks a request as answered, and removes it unless attempts are still in flight.
    fn mark_answered(&mut self, id: u64) {
        let Some(request) = self.requests.open.get_mut(&id) else {
            return;
        };
        request.is_answered = true;
        if request.attempts.iter().all(Option::is_none) {
            self.requests.open.remove(&id);
        }
    }
}

/// Returns the number of the endpoint with this address; IPv6 addresses belong to none.
fn endpoint_number(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => u32::from_be_bytes(v4.ip().octets()) as usize & ENDPOINT_MASK,
        SocketAddr::V6(_) => usize::MAX,
    }
}
