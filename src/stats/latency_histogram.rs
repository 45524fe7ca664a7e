//! A histogram of latencies whose counts decay.

use std::sync::LazyLock;

const BUCKETS: usize = 64;
const BUCKETS_PER_OCTAVE: f64 = 4.0;
/// A total below this is set to zero. It is too small to change any sum that it is added to, and
/// arithmetic with even smaller numbers is slow.
const NEGLIGIBLE_TOTAL: f64 = 1e-100;

/// Centers of the buckets, in milliseconds.
static BUCKET_MIDDLES: LazyLock<[f64; BUCKETS]> = LazyLock::new(|| {
    std::array::from_fn(|bucket| ((bucket as f64 + 0.5) / BUCKETS_PER_OCTAVE).exp2())
});

/// Counts of latencies in buckets of a quarter of an octave, starting at one millisecond. Its size
/// is constant. An empty histogram costs almost nothing to decay or to sum up.
#[derive(Clone)]
pub(crate) struct LatencyHistogram {
    counts: [f64; BUCKETS],
    /// Sum of the counts, added up in the order of the buckets.
    total: f64,
}

impl Default for LatencyHistogram {
    fn default() -> LatencyHistogram {
        LatencyHistogram {
            counts: [0.0; BUCKETS],
            total: 0.0,
        }
    }
}

impl LatencyHistogram {
    /// Counts one latency.
    pub fn record(&mut self, seconds: f64) {
        let bucket = (seconds * 1000.0).max(1.0).log2() * BUCKETS_PER_OCTAVE;
        self.counts[(bucket as usize).min(BUCKETS - 1)] += 1.0;
        self.update_total();
    }

    /// Multiplies all counts by `factor`.
    pub fn decay(&mut self, factor: f64) {
        if self.is_empty() {
            return;
        }
        for count in &mut self.counts {
            *count *= factor;
        }
        self.update_total();
    }

    /// Multiplies all counts by `factor`, then adds those of `other`.
    pub fn decay_and_add(&mut self, factor: f64, other: &LatencyHistogram) {
        for (count, added) in self.counts.iter_mut().zip(&other.counts) {
            *count = *count * factor + added;
        }
        self.update_total();
    }

    /// Decays the counts towards a total of `target`, but by no factor smaller than `min_factor`.
    pub fn decay_towards(&mut self, target: f64, min_factor: f64) {
        let total = self.total;
        if total > target {
            self.decay((target / total).max(min_factor));
        }
    }

    /// Returns the sum of all counts.
    pub fn total(&self) -> f64 {
        self.total
    }

    /// Returns whether all counts are zero.
    pub fn is_empty(&self) -> bool {
        self.total == 0.0
    }

    /// Returns the index of the first bucket above the median.
    pub fn bucket_above_median(&self) -> usize {
        let half = self.total / 2.0;
        let mut below = 0.0;
        let reaches_half = |count: &f64| {
            below += count;
            below >= half
        };
        self.counts.iter().position(reaches_half).unwrap_or(0) + 1
    }

    /// Returns the sum of all latencies in milliseconds, where each latency counts as the center of
    /// its bucket.
    pub fn sum_millis(&self) -> f64 {
        if self.is_empty() {
            return 0.0;
        }
        let counts = self.counts.iter().zip(BUCKET_MIDDLES.iter());
        counts.map(|(count, middle)| count * middle).sum()
    }

    /// Returns the sum of the counts in this bucket and all higher ones.
    pub fn total_from(&self, bucket: usize) -> f64 {
        if self.is_empty() {
            return 0.0;
        }
        self.counts.iter().skip(bucket).sum()
    }

    fn update_total(&mut self) {
        self.total = self.counts.iter().sum();
        if self.total < NEGLIGIBLE_TOTAL {
            *self = LatencyHistogram::default();
        }
    }
}
