//! A histogram of latencies whose counts decay.

const BUCKETS: usize = 64;
const BUCKETS_PER_OCTAVE: f64 = 4.0;

/// Counts of latencies in buckets of a quarter of an octave, from one millisecond on. Its size is
/// fixed, whatever it records.
#[derive(Clone)]
pub(crate) struct LatencyHistogram([f64; BUCKETS]);

impl Default for LatencyHistogram {
    fn default() -> LatencyHistogram {
        LatencyHistogram([0.0; BUCKETS])
    }
}

impl LatencyHistogram {
    /// Counts one latency.
    pub fn record(&mut self, seconds: f64) {
        let bucket = (seconds * 1000.0).max(1.0).log2() * BUCKETS_PER_OCTAVE;
        self.0[(bucket as usize).min(BUCKETS - 1)] += 1.0;
    }

    /// Multiplies all counts by `factor`.
    pub fn decay(&mut self, factor: f64) {
        for count in &mut self.0 {
            *count *= factor;
        }
    }

    /// Multiplies all counts by `factor`, then adds those of `other`.
    pub fn decay_and_add(&mut self, factor: f64, other: &LatencyHistogram) {
        for (count, added) in self.0.iter_mut().zip(&other.0) {
            *count = *count * factor + added;
        }
    }

    /// Decays towards a total of `target`, by a factor of `min_factor` at the least.
    pub fn decay_towards(&mut self, target: f64, min_factor: f64) {
        let total = self.total();
        if total > target {
            self.decay((target / total).max(min_factor));
        }
    }

    /// Sum of all counts.
    pub fn total(&self) -> f64 {
        self.0.iter().sum()
    }

    /// The first bucket above the median.
    pub fn bucket_above_median(&self) -> usize {
        let half = self.total() / 2.0;
        let mut below = 0.0;
        let reaches_half = |count: &f64| {
            below += count;
            below >= half
        };
        self.0.iter().position(reaches_half).unwrap_or(0) + 1
    }

    /// Sum of all latencies in milliseconds, each taken as the middle of its bucket.
    pub fn sum_millis(&self) -> f64 {
        self.0
            .iter()
            .enumerate()
            .map(|(bucket, count)| count * ((bucket as f64 + 0.5) / BUCKETS_PER_OCTAVE).exp2())
            .sum()
    }

    /// Sum of the counts from this bucket on.
    pub fn total_from(&self, bucket: usize) -> f64 {
        self.0.iter().skip(bucket).sum()
    }
}
