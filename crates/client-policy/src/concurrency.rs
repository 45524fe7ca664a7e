//! The limit on calls in flight: as many as the agents can bear, estimated from their responses.
//!
//! The limit grows by one for each limit's worth of timely responses while it is in use, and falls
//! by a tenth for rejections and late responses, once in an interval at most (additive increase,
//! multiplicative decrease: Chiu and Jain, 1989). The classes with the least priority weight are
//! shed first, without queueing: each class may use 0.7 of the limit, and of the rest a share in
//! proportion to its weight.

use crate::config::{ConcurrencyPolicy, RequestClass};
use std::time::Duration;

/// The factor of a decrease.
const DECREASE_FACTOR: f64 = 0.9;
/// The limit decreases once in this interval at most: one overload is told by many responses.
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);
/// The limit may grow while at least this share of it is in flight.
const GROWTH_UTILIZATION: f64 = 0.7;
/// The share of the limit that every class may use.
const SHARE_FOR_ALL: f64 = 0.7;
/// A decrease starts at this multiple of the calls in flight, at most.
const DECREASE_HEADROOM: f64 = 1.5;
/// The limit begins at this part of its maximum.
const INITIAL_PART_OF_MAX: f64 = 0.25;
/// Stands for the heaviest priority weight where all are zero, so that a ratio is defined.
const LEAST_WEIGHT: f64 = 1e-9;

/// An adaptive limit on the calls of one client that are in flight.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    policy: ConcurrencyPolicy,
    limit: f64,
    in_flight: usize,
    /// The share of the limit that a class may use, by class index.
    class_shares: Vec<f64>,
    last_decrease: Option<Duration>,
}

impl ConcurrencyLimit {
    /// A limit for these classes, at a quarter of its maximum.
    pub fn new(policy: ConcurrencyPolicy, classes: &[RequestClass]) -> ConcurrencyLimit {
        let upper = policy.max_limit.max(policy.min_limit);
        let initial = policy.max_limit * INITIAL_PART_OF_MAX;
        ConcurrencyLimit {
            limit: initial.clamp(policy.min_limit, upper),
            in_flight: 0,
            class_shares: class_shares(classes),
            last_decrease: None,
            policy,
        }
    }

    /// Admits one more call of this class, or sheds it. An admitted call is owed to
    /// [`ConcurrencyLimit::release`].
    pub fn try_acquire(&mut self, class: usize) -> bool {
        let share = self.class_shares.get(class).copied();
        let class_limit = self.limit * share.unwrap_or(SHARE_FOR_ALL);
        let admitted = (self.in_flight as f64) < class_limit.max(1.0);
        if admitted {
            self.in_flight += 1;
        }
        admitted
    }

    /// An admitted call has ended, however.
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// A response came within the latency objective.
    pub fn on_timely_response(&mut self) {
        if self.in_flight as f64 >= self.limit * GROWTH_UTILIZATION {
            let increase = 1.0 / self.limit.max(1.0);
            self.limit = (self.limit + increase).min(self.policy.max_limit);
        }
    }

    /// A rejection came, or a response that was late.
    pub fn on_overload(&mut self, now: Duration) {
        let recent = |at| now < at + DECREASE_INTERVAL;
        if self.last_decrease.is_some_and(recent) {
            return;
        }
        self.last_decrease = Some(now);
        // From what is in flight: a limit far above that would decrease for long without effect.
        let in_use = self.in_flight as f64 * DECREASE_HEADROOM + 1.0;
        let decreased = self.limit.min(in_use) * DECREASE_FACTOR;
        self.limit = decreased.max(self.policy.min_limit);
    }

    /// The limit on calls in flight.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Calls that are in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }
}

/// The share of the limit that each class may use, in proportion to the heaviest of them.
fn class_shares(classes: &[RequestClass]) -> Vec<f64> {
    let weights = classes.iter().map(|class| class.priority_weight);
    let heaviest = weights.clone().fold(LEAST_WEIGHT, f64::max);
    weights
        .map(|weight| (weight / heaviest).clamp(0.0, 1.0))
        .map(|relative| SHARE_FOR_ALL + (1.0 - SHARE_FOR_ALL) * relative)
        .collect()
}
