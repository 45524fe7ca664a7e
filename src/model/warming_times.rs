//! Since when the endpoints of a build have been warming up.

use std::collections::BTreeSet;
use std::time::Duration;

/// Since when the endpoints of a build have been warming up, with what sums over them need.
#[derive(Default)]
pub(crate) struct WarmingTimes {
    by_time: BTreeSet<(Duration, usize)>,
    sum: Duration,
}

/// Ages of the endpoints that are warming up.
pub(crate) struct WarmingAges {
    /// How many have reached a certain age.
    pub older: usize,
    /// How many have not.
    pub younger: usize,
    /// Sum of the ages of those that have not.
    pub younger_sum: Duration,
}

impl WarmingTimes {
    /// Adds an endpoint that has been warming up since then.
    pub fn insert(&mut self, since: Duration, endpoint: usize) {
        if self.by_time.insert((since, endpoint)) {
            self.sum = self.sum.saturating_add(since);
        }
    }

    /// Removes an endpoint that was warming up since then.
    pub fn remove(&mut self, since: Duration, endpoint: usize) {
        if self.by_time.remove(&(since, endpoint)) {
            self.sum = self.sum.saturating_sub(since);
        }
    }

    /// Whether no endpoint is warming up.
    pub fn is_empty(&self) -> bool {
        self.by_time.is_empty()
    }

    /// Since when the oldest one has been warming up.
    pub fn oldest(&self) -> Option<Duration> {
        self.by_time.first().map(|(since, _)| *since)
    }

    /// Ages of the endpoints, on both sides of `age`. Visits those that have reached it or begin in
    /// the future only, which are few where slow start ends at that age.
    pub fn ages(&self, now: Duration, age: Duration) -> WarmingAges {
        let reached = now.checked_sub(age);
        let mut older = 0;
        let mut sum = self.sum;
        for (since, _) in &self.by_time {
            if reached.is_none_or(|reached| *since > reached) {
                break;
            }
            older += 1;
            sum = sum.saturating_sub(*since);
        }
        let mut begun = self.by_time.len() - older;
        let begin_later = self.by_time.iter().rev().take_while(|(s, _)| *s > now);
        for (since, _) in begin_later.take(begun) {
            begun -= 1;
            sum = sum.saturating_sub(*since);
        }
        let count = u32::try_from(begun).unwrap_or(u32::MAX);
        WarmingAges {
            older,
            younger: self.by_time.len() - older,
            younger_sum: now.saturating_mul(count).saturating_sub(sum),
        }
    }
}
