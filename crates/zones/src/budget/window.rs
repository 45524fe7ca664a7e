//! Spending and requests over a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

/// The number of bins per window. The sums cover one bin more, so that no window exceeds the limit.
const BINS_PER_WINDOW: u32 = 32;

#[derive(Clone, Copy, Debug, Default)]
struct WindowBin {
    index: u64,
    spent: f64,
    requests: f64,
}

/// Sums of the spending and of the requests received in the sliding window that ends now.
#[derive(Clone, Debug)]
pub(super) struct SpendingWindow {
    bin_width: Duration,
    bins: VecDeque<WindowBin>,
    newest_bin_end: Duration,
    spent: f64,
    requests: f64,
}

impl SpendingWindow {
    /// Creates an empty window of this length.
    pub(super) fn new(length: Duration) -> SpendingWindow {
        SpendingWindow {
            bin_width: length / BINS_PER_WINDOW,
            bins: VecDeque::new(),
            newest_bin_end: Duration::ZERO,
            spent: 0.0,
            requests: 0.0,
        }
    }

    /// Creates a window in which `amount` was spent evenly up to now.
    pub(super) fn evenly_spent(now: Duration, length: Duration, amount: f64) -> SpendingWindow {
        let mut window = SpendingWindow::new(length);
        let spent_per_bin = amount / f64::from(BINS_PER_WINDOW + 1);
        let newest = window.bin_index(now);
        let oldest = newest.saturating_sub(u64::from(BINS_PER_WINDOW));
        for index in oldest..=newest {
            window.bins.push_back(WindowBin {
                index,
                spent: spent_per_bin,
                requests: 0.0,
            });
        }
        window.spent = spent_per_bin * window.bins.len() as f64;
        window
    }

    /// The amount spent in the window.
    pub(super) fn spent(&self) -> f64 {
        self.spent
    }

    /// The number of requests received in the window.
    pub(super) fn requests(&self) -> f64 {
        self.requests
    }

    pub(super) fn add_spending(&mut self, now: Duration, amount: f64) {
        self.advance(now);
        if let Some(bin) = self.bins.back_mut() {
            bin.spent += amount;
        }
        self.spent += amount;
    }

    pub(super) fn add_request(&mut self, now: Duration) {
        self.advance(now);
        if let Some(bin) = self.bins.back_mut() {
            bin.requests += 1.0;
        }
        self.requests += 1.0;
    }

    /// Drops the bins that have left the window.
    pub(super) fn advance(&mut self, now: Duration) {
        if now < self.newest_bin_end && !self.bins.is_empty() {
            return;
        }
        let index = self.bin_index(now);
        self.newest_bin_end = self.bin_width * (index as u32).saturating_add(1);
        self.bins.push_back(WindowBin {
            index,
            ..WindowBin::default()
        });
        while self
            .bins
            .front()
            .is_some_and(|bin| is_expired(bin.index, index))
        {
            self.bins.pop_front();
        }
        self.recompute_sums();
    }

    /// Changes the length of the window. Past spending is moved to the new bins and still counts.
    pub(super) fn resize(&mut self, now: Duration, length: Duration) {
        let former_width = self.bin_width.as_micros() as u64;
        let former_bins = std::mem::take(&mut self.bins);
        self.newest_bin_end = Duration::ZERO;
        self.bin_width = length / BINS_PER_WINDOW;
        let newest = self.bin_index(now);
        for bin in former_bins {
            let start = Duration::from_micros(former_width.saturating_mul(bin.index));
            let index = self.bin_index(start.min(now));
            if is_expired(index, newest) {
                continue;
            }
            match self.bins.back_mut().filter(|last| last.index >= index) {
                Some(last) => {
                    last.spent += bin.spent;
                    last.requests += bin.requests;
                }
                None => self.bins.push_back(WindowBin { index, ..bin }),
            }
        }
        self.recompute_sums();
    }

    fn bin_index(&self, now: Duration) -> u64 {
        let width = self.bin_width.as_micros().max(1);
        (now.as_micros() / width) as u64
    }

    /// Sums all bins from scratch, so that rounding errors do not accumulate.
    fn recompute_sums(&mut self) {
        self.spent = self.bins.iter().fold(0.0, |sum, bin| sum + bin.spent);
        self.requests = self.bins.iter().fold(0.0, |sum, bin| sum + bin.requests);
    }
}

fn is_expired(index: u64, newest: u64) -> bool {
    index + u64::from(BINS_PER_WINDOW) < newest
}
