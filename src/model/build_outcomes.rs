//! Sums of the outcomes of a build's endpoints, updated at each change of an endpoint.

use super::OutcomeDecay;
use crate::stats::OutcomeCounts;
use std::cmp::Ordering;
use std::collections::BTreeSet;

/// Sum of the outcomes of one class over several endpoints.
#[derive(Clone, Copy, Debug, Default)]
struct ClassSum {
    counts: OutcomeCounts,
    /// Number of endpoints in the sum.
    endpoints: usize,
}

/// Sums by class over endpoints whose outcomes decay in the same way.
#[derive(Debug, Default)]
pub(crate) struct OutcomeSums {
    /// Sums by class, up to the highest class index for which an endpoint has outcomes.
    by_class: Vec<ClassSum>,
    /// Evaluation interval up to which the decay has been applied.
    interval: u64,
}

impl OutcomeSums {
    /// Applies the decay up to this evaluation interval.
    pub fn decay_to(&mut self, interval: u64, decay: &OutcomeDecay) {
        let age = interval - self.interval;
        self.interval = interval;
        if age == 0 {
            return;
        }
        let factor = decay.factor_after(age);
        for sum in &mut self.by_class {
            sum.counts.decay(factor);
        }
    }

    /// Adds outcomes of one endpoint and class. `is_new` says that the endpoint had none of this
    /// class before.
    pub fn add(&mut self, class: usize, counts: &OutcomeCounts, is_new: bool) {
        if class >= self.by_class.len() {
            self.by_class.resize(class + 1, ClassSum::default());
        }
        let sum = &mut self.by_class[class];
        sum.counts.decay_and_add(1.0, counts);
        sum.endpoints += usize::from(is_new);
    }

    /// Subtracts all outcomes of one endpoint and class.
    ///
    /// When no endpoint is left, the sum is set to exactly zero: a rounding error would make the
    /// build look as if it had been sent requests of the class.
    pub fn remove(&mut self, class: usize, counts: &OutcomeCounts) {
        let Some(sum) = self.by_class.get_mut(class) else {
            return;
        };
        sum.endpoints = sum.endpoints.saturating_sub(1);
        sum.counts = if sum.endpoints == 0 {
            OutcomeCounts::default()
        } else {
            sum.counts.minus(counts)
        };
    }

    /// Adds the sums, multiplied by `factor`, to `outcomes`.
    pub fn add_to(&self, outcomes: &mut [OutcomeCounts], factor: f64) {
        for (outcomes, sum) in outcomes.iter_mut().zip(&self.by_class) {
            outcomes.decay_and_add(1.0, &sum.counts.scaled(factor));
        }
    }

    /// Returns the decay factor from the last update of the sums to this evaluation interval.
    pub fn factor_to(&self, interval: u64, decay: &OutcomeDecay) -> f64 {
        decay.factor_after(interval - self.interval)
    }

    /// Returns the number of endpoints that have outcomes of a class.
    pub fn endpoints(&self, class: usize) -> usize {
        self.by_class.get(class).map_or(0, |sum| sum.endpoints)
    }
}

/// Failures of an endpoint on a scale whose order is not affected by the decay that all endpoints
/// share: the logarithm of the number of failures without any decay since the first evaluation
/// interval.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FailureRank(f64);

impl FailureRank {
    /// Returns the rank of this number of failures now, or `None` if there are none.
    pub fn new(failures: f64, interval: u64, decay: &OutcomeDecay) -> Option<FailureRank> {
        (failures > 0.0).then(|| FailureRank(failures.ln() - interval as f64 * decay.factor.ln()))
    }
}

impl PartialEq for FailureRank {
    fn eq(&self, other: &FailureRank) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for FailureRank {}

impl PartialOrd for FailureRank {
    fn partial_cmp(&self, other: &FailureRank) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for FailureRank {
    fn cmp(&self, other: &FailureRank) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// Sums over the running endpoints of one build.
#[derive(Debug, Default)]
pub(crate) struct BuildOutcomes {
    /// Sums over the endpoints whose outcomes decay.
    pub decaying: OutcomeSums,
    /// Sums over the endpoints whose outcomes no longer decay.
    pub kept: OutcomeSums,
    /// Number of running endpoints.
    pub endpoints: usize,
    /// Number of endpoints that have had failures.
    pub failing: usize,
    /// Endpoints of the newest build with failed or lost attempts, ordered by how many of them.
    by_failures: BTreeSet<(FailureRank, usize)>,
    /// Sum of the failures of the ranked endpoints.
    failures: f64,
    /// Evaluation interval up to which the decay has been applied to `failures`.
    failures_at: u64,
}

impl BuildOutcomes {
    /// Ranks an endpoint by its failures and returns the rank, or `None` if it has no failures.
    pub fn rank(
        &mut self,
        endpoint: usize,
        failures: f64,
        interval: u64,
        decay: &OutcomeDecay,
    ) -> Option<FailureRank> {
        let rank = FailureRank::new(failures, interval, decay)?;
        self.by_failures.insert((rank, endpoint));
        self.failures = self.ranked_failures(interval, decay) + failures;
        self.failures_at = interval;
        Some(rank)
    }

    /// Removes an endpoint with this rank and number of failures from the ranking.
    pub fn remove_ranked(
        &mut self,
        endpoint: usize,
        rank: FailureRank,
        failures: f64,
        interval: u64,
        decay: &OutcomeDecay,
    ) {
        self.by_failures.remove(&(rank, endpoint));
        let left = self.ranked_failures(interval, decay) - failures;
        self.failures = left.max(0.0);
        self.failures_at = interval;
    }

    /// Returns the ranked endpoint with the most failures, or `None` if no endpoint is ranked.
    pub fn most_failing(&self) -> Option<usize> {
        self.by_failures.last().map(|(_, endpoint)| *endpoint)
    }

    /// Returns the number of ranked endpoints.
    pub fn ranked(&self) -> usize {
        self.by_failures.len()
    }

    /// Returns the sum of the failures of the ranked endpoints at this evaluation interval.
    pub fn ranked_failures(&self, interval: u64, decay: &OutcomeDecay) -> f64 {
        self.failures * decay.factor_after(interval - self.failures_at)
    }
}
