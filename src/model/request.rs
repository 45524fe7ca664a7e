//! What is remembered of requests and their attempts until both are over.

use super::Endpoint;
use crate::interface::{DeduplicationScope, Idempotency, Outcome, Request};
use std::time::Duration;

/// One attempt to have a request answered.
pub(crate) struct Attempt {
    /// Index of the endpoint.
    pub endpoint: usize,
    /// The build that the endpoint ran.
    pub build: u32,
    /// Zone of the endpoint.
    pub zone: usize,
    /// Cell of the endpoint.
    pub cell: u64,
    /// When it was sent.
    pub sent_at: Duration,
    /// Whether its end is not known yet.
    pub in_flight: bool,
    /// Whether it may have had an effect, known once it has ended.
    pub may_have_run: bool,
    /// Whether the endpoint answered with an error.
    pub failed: bool,
    is_speed_counted: bool,
}

impl Attempt {
    /// An attempt that is being sent.
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

    /// Records how it ended.
    pub fn end(&mut self, outcome: Outcome) {
        self.in_flight = false;
        self.may_have_run = !outcome.never_ran();
        self.failed = outcome == Outcome::Failed;
    }

    /// Whether it may have an effect, in flight or not.
    pub fn may_have_effect(&self) -> bool {
        self.in_flight || self.may_have_run
    }

    /// Whether its speed is to be counted now: once, when it has ended, or as soon as it is known
    /// not to be fast.
    pub fn count_speed_once(&mut self, is_fast: bool) -> bool {
        let is_unknown = self.in_flight && is_fast;
        if self.is_speed_counted || is_unknown {
            return false;
        }
        self.is_speed_counted = true;
        true
    }
}

/// Where an attempt of a request failed first.
#[derive(Clone, Copy)]
pub(crate) struct FailedAttempt {
    /// Index of the endpoint.
    pub endpoint: usize,
    /// The build that it ran.
    pub build: u32,
}

/// An attempt that has just ended, with what matters of its request.
#[derive(Clone, Copy)]
pub(crate) struct EndedAttempt {
    /// Index of the endpoint.
    pub endpoint: usize,
    /// The build that the endpoint ran when it was sent.
    pub build: u32,
    /// Class of the request.
    pub class: usize,
    /// Key of the request.
    pub key: Option<u64>,
    /// The first earlier attempt of the request that failed.
    pub earlier_failure: Option<FailedAttempt>,
}

/// Where a further attempt of a request may go, as far as its other attempts are concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryScope {
    /// To any endpoint.
    Anywhere,
    /// To endpoints of this zone.
    Zone(usize),
    /// To endpoints of this cell.
    Cell(u64),
    /// To no endpoint.
    Nowhere,
}

/// A request that has attempts in flight or is owed an answer.
pub(crate) struct ActiveRequest {
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: Option<usize>,
    /// Hash of its key.
    pub key: Option<u64>,
    /// When its answer is of no use any more.
    pub deadline: Duration,
    /// When half of its time is over.
    pub half_time: Duration,
    /// Its attempts, by number.
    pub attempts: Vec<Attempt>,
    /// Whether it has had its final answer.
    pub closed: bool,
    /// The two endpoints that were asked for their load before its first attempt.
    pub probed: Option<[usize; 2]>,
    /// Its key, where it is to go to the key's affinity endpoint.
    pub affinity_key: Option<u64>,
    /// Work it costs, by its client's hint.
    pub estimated_work: Option<Duration>,
}

impl ActiveRequest {
    /// A request that has just arrived.
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

    /// Its attempts in flight, with their numbers.
    pub fn in_flight(&self) -> impl Iterator<Item = (usize, &Attempt)> {
        self.attempts
            .iter()
            .enumerate()
            .filter(|(_, a)| a.in_flight)
    }

    /// Whether one of its attempts has ended and may have had an effect.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|a| a.may_have_run)
    }

    /// Seconds for which its attempts have been in flight, none of them from before `resumed_at`.
    pub fn in_flight_seconds(&self, now: Duration, resumed_at: Duration) -> f64 {
        self.in_flight()
            .map(|(_, a)| now.saturating_sub(a.sent_at.max(resumed_at)).as_secs_f64())
            .sum()
    }

    /// Whether attempt `number` may go to `endpoint` as far as its other attempts are concerned:
    /// within the scope and the window in which a repeat of them is recognized.
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

    /// Where its next attempt may go, written at `at`: the endpoints for which
    /// [`is_deduplicated_at`](Self::is_deduplicated_at) holds.
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
            let is_over = at >= other.sent_at + window;
            if is_over || allowed != RetryScope::Anywhere && allowed != by_other {
                return RetryScope::Nowhere;
            }
            allowed = by_other;
        }
        allowed
    }

    /// Whether a repeat of one of its attempts is not recognized any more: nothing further may be
    /// sent, to any endpoint.
    pub fn is_past_deduplication(&self, idempotency: Idempotency, at: Duration) -> bool {
        let Idempotency::Keyed { window, .. } = idempotency else {
            return false;
        };
        self.attempts
            .iter()
            .any(|a| a.may_have_effect() && at >= a.sent_at + window)
    }

    /// Whether the client may safely send it again until `retry_until`.
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
