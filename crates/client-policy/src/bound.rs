//! How many calls a client may have in flight: as many as the agents can bear, found from their
//! answers.
//!
//! The bound grows by one for each bound's worth of answers in time while it is in use, and falls
//! by a tenth for rejections and late answers, once in a span at most (additive increase,
//! multiplicative decrease: Chiu and Jain, 1989). What is worth least is shed first, at once: a
//! class may use 0.7 of the bound and the rest by its benefit.

use crate::service::{InFlight, RequestClass};
use std::time::Duration;

const FALL: f64 = 0.9;
/// How often it falls at most.
const FALL_EVERY: Duration = Duration::from_millis(100);
/// It is in use, and may grow, while so much of it is taken.
const IN_USE: f64 = 0.7;
const FOR_ALL: f64 = 0.7;

#[derive(Debug)]
pub struct Bound {
    by: InFlight,
    now: f64,
    in_flight: usize,
    zone_capacities: Vec<f64>, // by class
    fell: Option<Duration>,
}

impl Bound {
    pub fn new(by: InFlight, classes: &[RequestClass]) -> Bound {
        let best = classes
            .iter()
            .map(|l| l.priority_weight)
            .fold(1e-9, f64::max);
        let zone_capacities = classes
            .iter()
            .map(|l| FOR_ALL + (1.0 - FOR_ALL) * (l.priority_weight / best).clamp(0.0, 1.0));
        let now = (by.most / 4.0).clamp(by.least, by.most.max(by.least));
        Bound {
            zone_capacities: zone_capacities.collect(),
            now,
            in_flight: 0,
            fell: None,
            by,
        }
    }

    /// Takes one more call of this class in, or sheds it.
    pub fn take(&mut self, class: usize) -> bool {
        let room = self.zone_capacities.get(class).copied().unwrap_or(FOR_ALL);
        let fits = (self.in_flight as f64) < (self.now * room).max(1.0);
        self.in_flight += usize::from(fits);
        fits
    }

    /// One that was taken in has ended, however.
    pub fn left(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// An answer came in time.
    pub fn good(&mut self) {
        if self.in_flight as f64 >= self.now * IN_USE {
            self.now = (self.now + 1.0 / self.now.max(1.0)).min(self.by.most);
        }
    }

    /// A rejection, or an answer that was late.
    pub fn bad(&mut self, now: Duration) {
        if self.fell.is_none_or(|at| now >= at + FALL_EVERY) {
            self.fell = Some(now);
            // From what is really in flight: a bound far above that would fall for long without
            // effect.
            let from = self.now.min(self.in_flight as f64 * 1.5 + 1.0);
            self.now = (from * FALL).max(self.by.least);
        }
    }

    pub fn now(&self) -> f64 {
        self.now
    }

    pub fn in_flight(&self) -> usize {
        self.in_flight
    }
}
