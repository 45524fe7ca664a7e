//! What crossed over time, in bins of one width, for a bounded span.

use std::collections::VecDeque;
use std::time::Duration;

/// What crossed in one bin; only bins in which something did are kept.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TimeBin {
    /// Which bin it is, counted from the zero of time.
    pub index: u32,
    pub attempts: u32,
    /// Of these, over a budget.
    pub over_budget: u32,
    pub cost: f32,
    pub bytes_sent: u64,
    pub bytes_received: u64,
}

#[derive(Clone, Debug)]
pub struct TimeSeries {
    width: Duration,
    most: u32,
    until: Duration, // the newest bin's end
    bins: VecDeque<TimeBin>,
}

impl TimeSeries {
    /// Keeps the last `most` spans of `width`.
    pub fn new(width: Duration, most: u32) -> TimeSeries {
        TimeSeries {
            width,
            most,
            until: Duration::ZERO,
            bins: VecDeque::new(),
        }
    }

    pub fn width(&self) -> Duration {
        self.width
    }

    /// The bin of this time, which drops those that are too old. A time before the newest bin's
    /// counts there.
    pub fn bin(&mut self, now: Duration) -> &mut TimeBin {
        if now >= self.until || self.bins.is_empty() {
            let at = (now.as_micros() / self.width.as_micros().max(1)) as u32;
            self.until = self.width * at.saturating_add(1);
            let (held, most) = (self.bins.len(), self.most as usize + 1);
            if held == self.bins.capacity() && held * 2 > most {
                // Never more room than it may need: doubling would take up to twice that.
                self.bins.reserve_exact(most.saturating_sub(held).max(1));
            }
            self.bins.push_back(TimeBin {
                index: at,
                ..TimeBin::default()
            });
            while self.bins.front().is_some_and(|b| b.index + self.most <= at) {
                self.bins.pop_front();
            }
        }
        let last = self.bins.len() - 1;
        &mut self.bins[last]
    }

    pub fn bins(&self) -> impl Iterator<Item = &TimeBin> {
        self.bins.iter()
    }

    /// Adds another series of the same width to this one.
    pub fn merge(&mut self, other: &TimeSeries) {
        let mut bins: Vec<TimeBin> = self.bins.iter().chain(&other.bins).copied().collect();
        bins.sort_by_key(|b| b.index);
        bins.dedup_by(|b, kept| {
            let same = b.index == kept.index;
            if same {
                kept.attempts += b.attempts;
                kept.over_budget += b.over_budget;
                kept.cost += b.cost;
                kept.bytes_sent += b.bytes_sent;
                kept.bytes_received += b.bytes_received;
            }
            same
        });
        let newest = bins.last().map_or(0, |b| b.index);
        bins.retain(|b| b.index + self.most > newest);
        self.until = self.until.max(other.until);
        self.bins = bins.into();
    }
}
