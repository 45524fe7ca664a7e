//! The random draws of a simulation, all from one seeded generator.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Lower limit, in requests per second, on the rate used for drawing gaps. Prevents a division by
/// zero.
const MIN_RATE: f64 = 1e-6;
/// Upper limit on a drawn gap, in seconds.
const MAX_GAP_SECONDS: f64 = 1e6;

/// A seeded random number generator.
pub struct Random(Pcg64Mcg);

impl Random {
    /// Creates a generator. Equal seeds give equal draws.
    pub fn new(seed: u64) -> Random {
        Random(Pcg64Mcg::seed_from_u64(seed))
    }

    /// Draws a uniform number from 0 to 1, excluding 1.
    pub fn uniform(&mut self) -> f64 {
        self.0.gen_range(0.0..1.0)
    }

    /// Draws a uniform integer below `limit`.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0.gen_range(0..limit)
    }

    /// Draws the gap to the next event of a Poisson process with `rate` events per second.
    pub fn arrival_gap(&mut self, rate: f64) -> Duration {
        let gap = -(1.0 - self.uniform()).ln() / rate.max(MIN_RATE);
        Duration::from_secs_f64(gap.min(MAX_GAP_SECONDS))
    }

    /// Draws the work of one request relative to the mean: `fixed_share` of it is constant, the
    /// rest exponentially distributed.
    pub fn work_factor(&mut self, fixed_share: f64) -> f64 {
        fixed_share - (1.0 - fixed_share) * (1.0 - self.uniform()).ln()
    }

    /// Draws an index by weight. Returns 0 if rounding errors leave no index.
    pub fn weighted_index(&mut self, weights: impl Iterator<Item = f64> + Clone) -> usize {
        let total: f64 = weights.clone().sum();
        let mut remaining = self.uniform() * total;
        let mut candidates = weights;
        let index = candidates.position(|weight| {
            remaining -= weight;
            remaining < 0.0
        });
        index.unwrap_or(0)
    }
}
