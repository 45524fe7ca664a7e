//! The adaptive limit on calls in flight, estimated from the agents' responses.
//!
//! While the limit is in use it grows by one for each limit's worth of timely responses. It falls
//! by a tenth on a rejection or a late response, at most once per interval (additive increase,
//! multiplicative decrease: Chiu and Jain, 1989). The classes with the lowest priority weight are
//! shed first, without queueing: each class may use 0.7 of the limit, and of the rest a share in
//! proportion to its weight.

use crate::config::{ConcurrencyPolicy, RequestClass};
use std::time::Duration;

/// The limit is multiplied by this factor when it decreases.
const DECREASE_FACTOR: f64 = 0.9;
/// The limit decreases at most once per interval, because a single overload produces many late or
/// rejected responses.
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);
/// The limit grows only while at least this fraction of it is in flight.
const GROWTH_UTILIZATION: f64 = 0.7;
/// The fraction of the limit that every class may use, whatever its weight.
const BASE_SHARE: f64 = 0.7;
/// A decrease starts from at most this multiple of the calls in flight (plus one).
const DECREASE_HEADROOM: f64 = 1.5;
/// The initial limit as a fraction of its maximum.
const INITIAL_FRACTION: f64 = 0.25;
/// A lower bound on the highest priority weight, so that the relative weights are defined when all
/// weights are zero.
const MIN_HIGHEST_WEIGHT: f64 = 1e-9;

/// An adaptive limit on the calls of one client that are in flight.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    policy: ConcurrencyPolicy,
    limit: f64,
    in_flight: usize,
    /// The fraction of the limit that each class may use, indexed by class.
    class_shares: Vec<f64>,
    last_decrease: Option<Duration>,
}

impl ConcurrencyLimit {
    /// Creates a limit for these classes that starts at a quarter of its maximum.
    pub fn new(policy: ConcurrencyPolicy, classes: &[RequestClass]) -> ConcurrencyLimit {
        let upper = policy.max_limit.max(policy.min_limit);
        let initial = policy.max_limit * INITIAL_FRACTION;
        ConcurrencyLimit {
            limit: initial.clamp(policy.min_limit, upper),
            in_flight: 0,
            class_shares: class_shares(classes),
            last_decrease: None,
            policy,
        }
    }

    /// Admits a call of this class (`true`) or sheds it. For each admitted call the caller must
    /// call [`ConcurrencyLimit::release`] once.
    pub fn try_acquire(&mut self, class: usize) -> bool {
        let share = self.class_shares.get(class).copied();
        let class_limit = self.limit * share.unwrap_or(BASE_SHARE);
        let admitted = (self.in_flight as f64) < class_limit.max(1.0);
        if admitted {
            self.in_flight += 1;
        }
        admitted
    }

    /// Records that an admitted call has ended, whatever its result.
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records a response within the latency objective, which may raise the limit.
    pub fn on_timely_response(&mut self) {
        if self.in_flight as f64 >= self.limit * GROWTH_UTILIZATION {
            let increase = 1.0 / self.limit.max(1.0);
            self.limit = (self.limit + increase).min(self.policy.max_limit);
        }
    }

    /// Records a rejection or a late response, which may lower the limit.
    pub fn on_overload(&mut self, now: Duration) {
        let recent = |at| now < at + DECREASE_INTERVAL;
        if self.last_decrease.is_some_and(recent) {
            return;
        }
        self.last_decrease = Some(now);
        // A limit far above the calls in flight would decrease many times before it took effect.
        let in_use = self.in_flight as f64 * DECREASE_HEADROOM + 1.0;
        let decreased = self.limit.min(in_use) * DECREASE_FACTOR;
        self.limit = decreased.max(self.policy.min_limit);
    }

    /// Returns the current limit on calls in flight. It need not be a whole number.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Returns the number of admitted calls that have not ended.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }
}

/// Computes the fraction of the limit that each class may use. The class of the highest weight
/// may use the whole limit.
fn class_shares(classes: &[RequestClass]) -> Vec<f64> {
    let weights = classes.iter().map(|class| class.priority_weight);
    let highest = weights.clone().fold(MIN_HIGHEST_WEIGHT, f64::max);
    weights
        .map(|weight| (weight / highest).clamp(0.0, 1.0))
        .map(|relative| BASE_SHARE + (1.0 - BASE_SHARE) * relative)
        .collect()
}
