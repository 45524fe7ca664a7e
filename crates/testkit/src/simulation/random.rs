//! The random draws of a simulation, all from one seeded generator.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Gaps are drawn as if at least this many requests came a second.
const MIN_RATE: f64 = 1e-6;
/// No gap is longer, in seconds.
const MAX_GAP_SECONDS: f64 = 1e6;

/// A seeded source of draws.
pub struct Random(Pcg64Mcg);

impl Random {
    /// Equal seeds give equal draws.
    pub fn new(seed: u64) -> Random {
        Random(Pcg64Mcg::seed_from_u64(seed))
    }

    /// Uniform in 0 to 1, without 1.
    pub fn uniform(&mut self) -> f64 {
        self.0.gen_range(0.0..1.0)
    }

    /// A whole number below `limit`.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0.gen_range(0..limit)
    }

    /// The gap to the next of events that come by chance, so many a second in the mean.
    pub fn arrival_gap(&mut self, rate: f64) -> Duration {
        let gap = -(1.0 - self.uniform()).ln() / rate.max(MIN_RATE);
        Duration::from_secs_f64(gap.min(MAX_GAP_SECONDS))
    }

    /// The work of one request against the mean: this share is fixed, the rest exponential.
    pub fn work_factor(&mut self, fixed_share: f64) -> f64 {
        fixed_share - (1.0 - fixed_share) * (1.0 - self.uniform()).ln()
    }

    /// An index, drawn by weight; 0 where rounding leaves none.
    pub fn weighted_index(&mut self, weights: impl Iterator<Item = f64> + Clone) -> usize {
        let total: f64 = weights.clone().sum();
        let mut left = self.uniform() * total;
        let mut drawn = weights;
        let index = drawn.position(|weight| {
            left -= weight;
            left < 0.0
        });
        index.unwrap_or(0)
    }
}
