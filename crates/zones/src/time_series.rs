//! Traffic over time in bins of equal width, for a bounded period.

use std::collections::VecDeque;
use std::time::Duration;

/// The traffic in one bin of a time series.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TimeBin {
    /// The start of the bin, in bin widths since the origin of the agent's clock.
    pub index: u32,
    /// Attempts written completely.
    pub attempts: u32,
    /// Attempts over a budget.
    pub over_budget: u32,
    /// Cost at the price of the link.
    pub cost: f32,
    /// Bytes written to endpoints.
    pub bytes_sent: u64,
    /// Bytes read from endpoints.
    pub bytes_received: u64,
}

impl TimeBin {
    fn add(&mut self, other: &TimeBin) {
        self.attempts += other.attempts;
        self.over_budget += other.over_budget;
        self.cost += other.cost;
        self.bytes_sent += other.bytes_sent;
        self.bytes_received += other.bytes_received;
    }
}

/// The most recent bins of a time series. Bins without traffic are not stored.
#[derive(Clone, Debug)]
pub struct TimeSeries {
    bin_width: Duration,
    max_bins: u32,
    newest_bin_end: Duration,
    bins: VecDeque<TimeBin>,
}

impl TimeSeries {
    /// Creates an empty series that covers the last `max_bins` bins of this width.
    pub fn new(bin_width: Duration, max_bins: u32) -> TimeSeries {
        TimeSeries {
            bin_width,
            max_bins,
            newest_bin_end: Duration::ZERO,
            bins: VecDeque::new(),
        }
    }

    /// The width of a bin.
    pub fn width(&self) -> Duration {
        self.bin_width
    }

    /// The bin that contains `now`; drops bins that are too old. A time before the newest bin is
    /// counted in the newest bin.
    pub fn bin(&mut self, now: Duration) -> &mut TimeBin {
        if now >= self.newest_bin_end || self.bins.is_empty() {
            self.push_bin(now);
        }
        let newest = self.bins.len() - 1;
        &mut self.bins[newest]
    }

    fn push_bin(&mut self, now: Duration) {
        let index = (now.as_micros() / self.bin_width.as_micros().max(1)) as u32;
        self.newest_bin_end = self.bin_width * index.saturating_add(1);
        self.reserve_within_bound();
        self.bins.push_back(TimeBin {
            index,
            ..TimeBin::default()
        });
        while self
            .bins
            .front()
            .is_some_and(|bin| bin.index + self.max_bins <= index)
        {
            self.bins.pop_front();
        }
    }

    /// Reserves space for at most `max_bins + 1` bins. Doubling would allocate up to twice as many.
    fn reserve_within_bound(&mut self) {
        let bin_count = self.bins.len();
        let bound = self.max_bins as usize + 1;
        if bin_count == self.bins.capacity() && bin_count * 2 > bound {
            self.bins
                .reserve_exact(bound.saturating_sub(bin_count).max(1));
        }
    }

    /// The stored bins, oldest first.
    pub fn bins(&self) -> impl Iterator<Item = &TimeBin> {
        self.bins.iter()
    }

    /// Adds the bins of another series of the same bin width to this one.
    pub fn merge(&mut self, other: &TimeSeries) {
        let mut bins: Vec<TimeBin> = self.bins.iter().chain(&other.bins).copied().collect();
        bins.sort_by_key(|bin| bin.index);
        bins.dedup_by(|bin, kept| {
            let same = bin.index == kept.index;
            if same {
                kept.add(bin);
            }
            same
        });
        let newest = bins.last().map_or(0, |bin| bin.index);
        bins.retain(|bin| bin.index + self.max_bins > newest);
        self.newest_bin_end = self.newest_bin_end.max(other.newest_bin_end);
        self.bins = bins.into();
    }
}
