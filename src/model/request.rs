//! The state of requests and attempts, from the arrival of a request until the request and all of
//! its attempts have ended.

use super::Endpoint;
use crate::interface::{DeduplicationScope, Idempotency, Outcome, Request};
use std::time::Duration;

/// One attempt to serve a request.
pub(crate) struct Attempt {
    /// Index of the endpoint.
    pub endpoint: usize,
    /// Number of the build that the endpoint ran when the attempt was sent.
    pub build: u32,
    /// Index of the zone of the endpoint.
    pub zone: usize,
    /// Identifier of the cell of the endpoint.
    pub cell: u64,
    /// When the attempt was sent.
    pub sent_at: Duration,
    /// Whether the attempt has not ended yet.
    pub in_flight: bool,
    /// Whether the attempt may have had an effect. Only set once it has ended.
    pub may_have_run: bool,
    /// Whether the endpoint responded with an error.
    pub failed: bool,
    is_speed_counted: bool,
}

impl Attempt {
    /// Creates an attempt that is being sent to the endpoint with this index.
    pub fn new(index: usize, endpoint: &Endpoint, sent_at: Duration) -> Attempt {
        Attempt {
            endpoint: index,
            build: endpoint.build,
            zone: endpoint.zone,
            cell: endpoint.cell,
            sent_at,
            in_flight: true,
            may_have_run: false,
            failed: false,
            is_speed_counted: false,
        }
    }

    /// Records the outcome.
    pub fn end(&mut self, outcome: Outcome) {
        self.in_flight = false;
        self.may_have_run = !outcome.never_ran();
        self.failed = outcome == Outcome::Failed;
    }

    /// Returns whether the attempt may have had an effect or still may have one.
    pub fn may_have_effect(&self) -> bool {
        self.in_flight || self.may_have_run
    }

    /// Returns whether the attempt must be counted as fast or slow now. This is the case once: when
    /// it has ended, or as soon as it is known to be slow.
    pub fn count_speed_once(&mut self, is_fast: bool) -> bool {
        let is_unknown = self.in_flight && is_fast;
        if self.is_speed_counted || is_unknown {
            return false;
        }
        self.is_speed_counted = true;
        true
    }
}

/// The first failed attempt of a request.
#[derive(Clone, Copy)]
pub(crate) struct FailedAttempt {
    /// Index of the endpoint.
    pub endpoint: usize,
    /// Number of the build that the endpoint ran.
    pub build: u32,
}

/// An attempt that has just ended, with the relevant data of its request.
#[derive(Clone, Copy)]
pub(crate) struct EndedAttempt {
    /// Index of the endpoint.
    pub endpoint: usize,
    /// Number of the build that the endpoint ran when the attempt was sent.
    pub build: u32,
    /// Index of the class of the request.
    pub class: usize,
    /// Hash of the key of the request. `None` if it has no key.
    pub key: Option<u64>,
    /// The first attempt of the same request that failed. `None` if none failed before this one.
    pub earlier_failure: Option<FailedAttempt>,
}

/// Endpoints to which the other attempts of a request allow a further attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryScope {
    /// All endpoints.
    Anywhere,
    /// Endpoints of this zone.
    Zone(usize),
    /// Endpoints of this cell.
    Cell(u64),
    /// No endpoints.
    Nowhere,
}

/// A request that has attempts in flight or has not been answered yet.
pub(crate) struct ActiveRequest {
    /// Index of its request class.
    pub class: usize,
    /// Index of its tenant. `None` if the request names no tenant.
    pub tenant: Option<usize>,
    /// Hash of its key. `None` if the request has no key.
    pub key: Option<u64>,
    /// When the client no longer needs a response.
    pub deadline: Duration,
    /// When half of the time until the deadline has passed.
    pub half_time: Duration,
    /// Attempts in the order in which they were sent.
    pub attempts: Vec<Attempt>,
    /// Whether the final response has been sent.
    pub closed: bool,
    /// The two endpoints that were asked for their load before the first attempt. `None` if no
    /// endpoints were asked.
    pub probed: Option<[usize; 2]>,
    /// Hash of its key if the request should go to the key's affinity endpoint, else `None`.
    pub affinity_key: Option<u64>,
    /// The client's estimate of the work that the request causes. `None` if it gave none.
    pub estimated_work: Option<Duration>,
}

impl ActiveRequest {
    /// Creates the state of a request that has just arrived.
    pub fn new(now: Duration, request: &Request, affinity_key: Option<u64>) -> ActiveRequest {
        ActiveRequest {
            class: request.class,
            tenant: request.tenant,
            key: request.key,
            deadline: now + request.time_left,
            half_time: now + request.time_left / 2,
            attempts: Vec::new(),
            closed: false,
            probed: None,
            affinity_key,
            estimated_work: request.estimated_work,
        }
    }

    /// Returns the attempts in flight with their indices.
    pub fn in_flight(&self) -> impl Iterator<Item = (usize, &Attempt)> {
        self.attempts
            .iter()
            .enumerate()
            .filter(|(_, a)| a.in_flight)
    }

    /// Returns whether an attempt that has ended may have had an effect.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|a| a.may_have_run)
    }

    /// Returns the total time in seconds for which its attempts have been in flight, not counting
    /// time before `resumed_at`.
    pub fn in_flight_seconds(&self, now: Duration, resumed_at: Duration) -> f64 {
        self.in_flight()
            .map(|(_, a)| now.saturating_sub(a.sent_at.max(resumed_at)).as_secs_f64())
            .sum()
    }

    /// Returns whether the other attempts of the request allow attempt `number` to go to `endpoint`
    /// at the time `at`: if the class is keyed, the endpoint must recognize it as a duplicate of
    /// each attempt that may have an effect, within the deduplication scope and window.
    pub fn is_deduplicated_at(
        &self,
        number: usize,
        idempotency: Idempotency,
        endpoint: &Endpoint,
        at: Duration,
    ) -> bool {
        let Idempotency::Keyed { scope, window } = idempotency else {
            return true;
        };
        self.attempts
            .iter()
            .enumerate()
            .filter(|(n, other)| *n != number && other.may_have_effect())
            .all(|(_, other)| {
                let in_scope = match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => other.zone == endpoint.zone,
                    DeduplicationScope::Cell => other.cell == endpoint.cell,
                };
                in_scope && at < other.sent_at + window
            })
    }

    /// Returns the endpoints for which [`is_deduplicated_at`](Self::is_deduplicated_at) holds for a
    /// next attempt that is written at `at`.
    pub fn retry_scope(&self, idempotency: Idempotency, at: Duration) -> RetryScope {
        let Idempotency::Keyed { scope, window } = idempotency else {
            return RetryScope::Anywhere;
        };
        let mut allowed = RetryScope::Anywhere;
        for other in self.attempts.iter().filter(|a| a.may_have_effect()) {
            let by_other = match scope {
                DeduplicationScope::All => RetryScope::Anywhere,
                DeduplicationScope::Zone => RetryScope::Zone(other.zone),
                DeduplicationScope::Cell => RetryScope::Cell(other.cell),
            };
            let is_expired = at >= other.sent_at + window;
            if is_expired || allowed != RetryScope::Anywhere && allowed != by_other {
                return RetryScope::Nowhere;
            }
            allowed = by_other;
        }
        allowed
    }

    /// Returns whether a duplicate of one of its attempts is no longer recognized, so that no
    /// further attempt may be sent to any endpoint.
    pub fn is_past_deduplication(&self, idempotency: Idempotency, at: Duration) -> bool {
        let Idempotency::Keyed { window, .. } = idempotency else {
            return false;
        };
        self.attempts
            .iter()
            .any(|a| a.may_have_effect() && at >= a.sent_at + window)
    }

    /// Returns whether the client can safely repeat the request until `retry_until`.
    pub fn is_safe_to_retry(&self, idempotency: Idempotency, retry_until: Duration) -> bool {
        let mut effects = self.attempts.iter().filter(|a| a.may_have_effect());
        match idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed { scope, window } => effects
                .all(|a| scope == DeduplicationScope::All && retry_until < a.sent_at + window),
            Idempotency::NonIdempotent => effects.next().is_none(),
        }
    }
}
