//! When the endpoints of a build began to warm up.

use std::collections::BTreeSet;
use std::time::Duration;

/// Times at which the endpoints of a build began to warm up, with their sum.
#[derive(Default)]
pub(crate) struct WarmingTimes {
    by_time: BTreeSet<(Duration, usize)>,
    sum: Duration,
}

/// Age distribution of the endpoints in slow start.
pub(crate) struct WarmingAges {
    /// Number of endpoints that have reached the given age.
    pub older: usize,
    /// Number of endpoints that have not reached it.
    pub younger: usize,
    /// Sum of the ages of the endpoints that have not reached it.
    pub younger_sum: Duration,
}

impl WarmingTimes {
    /// Adds an endpoint that began to warm up at `since`.
    pub fn insert(&mut self, since: Duration, endpoint: usize) {
        if self.by_time.insert((since, endpoint)) {
            self.sum = self.sum.saturating_add(since);
        }
    }

    /// Removes an endpoint that began to warm up at `since`.
    pub fn remove(&mut self, since: Duration, endpoint: usize) {
        if self.by_time.remove(&(since, endpoint)) {
            self.sum = self.sum.saturating_sub(since);
        }
    }

    /// Returns whether no endpoint is in slow start.
    pub fn is_empty(&self) -> bool {
        self.by_time.is_empty()
    }

    /// Returns the earliest time at which an endpoint began to warm up, or `None` if there is none.
    pub fn oldest(&self) -> Option<Duration> {
        self.by_time.first().map(|(since, _)| *since)
    }

    /// Returns how many endpoints are on either side of `age`. Only visits those that have reached
    /// it or start in the future, which are few if slow start ends at that age.
    pub fn ages(&self, now: Duration, age: Duration) -> WarmingAges {
        let cutoff = now.checked_sub(age);
        let mut older = 0;
        let mut sum = self.sum;
        for (since, _) in &self.by_time {
            if cutoff.is_none_or(|cutoff| *since > cutoff) {
                break;
            }
            older += 1;
            sum = sum.saturating_sub(*since);
        }
        let mut started = self.by_time.len() - older;
        let starting_later = self.by_time.iter().rev().take_while(|(s, _)| *s > now);
        for (since, _) in starting_later.take(started) {
            started -= 1;
            sum = sum.saturating_sub(*since);
        }
        let count = u32::try_from(started).unwrap_or(u32::MAX);
        WarmingAges {
            older,
            younger: self.by_time.len() - older,
            younger_sum: now.saturating_mul(count).saturating_sub(sum),
        }
    }
}
