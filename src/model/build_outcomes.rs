//! Sums of the outcomes of a build's endpoints, kept up to date at each change of one of them.

use super::OutcomeDecay;
use crate::stats::OutcomeCounts;
use std::cmp::Ordering;
use std::collections::BTreeSet;

/// Sum over endpoints of the outcomes of one class.
#[derive(Clone, Copy, Debug, Default)]
struct ClassSum {
    counts: OutcomeCounts,
    /// Endpoints that the counts are of.
    endpoints: usize,
}

/// Sums over endpoints that decay alike, by class.
#[derive(Debug, Default)]
pub(crate) struct OutcomeSums {
    /// By class, up to the last one that any endpoint was sent requests of.
    by_class: Vec<ClassSum>,
    /// The evaluation interval that the sums have decayed to.
    interval: u64,
}

impl OutcomeSums {
    /// Lets the sums decay up to this evaluation interval.
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

    /// Adds what an endpoint has of a class; `is_new` where it had nothing of it before.
    pub fn add(&mut self, class: usize, counts: &OutcomeCounts, is_new: bool) {
        if class >= self.by_class.len() {
            self.by_class.resize(class + 1, ClassSum::default());
        }
        let sum = &mut self.by_class[class];
        sum.counts.decay_and_add(1.0, counts);
        sum.endpoints += usize::from(is_new);
    }

    /// Takes off all that an endpoint has of a class.
    ///
    /// Where no endpoint is left there is exactly nothing: what rounding leaves would let a class
    /// pass for one that the build was sent requests of.
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

    /// Factor by which the sums decay up to this evaluation interval.
    pub fn factor_to(&self, interval: u64, decay: &OutcomeDecay) -> f64 {
        decay.factor_after(interval - self.interval)
    }

    /// Endpoints that were sent requests of a class.
    pub fn endpoints(&self, class: usize) -> usize {
        self.by_class.get(class).map_or(0, |sum| sum.endpoints)
    }
}

/// Failures of an endpoint on a scale on which common decay leaves their order as it is: the
/// logarithm of what they would be without any decay since the first evaluation interval.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FailureRank(f64);

impl FailureRank {
    /// The rank of so many failures now; `None` where there are none.
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
    /// Those whose outcomes decay.
    pub decaying: OutcomeSums,
    /// Those whose outcomes are kept as they are.
    pub kept: OutcomeSums,
    /// How many there are.
    pub endpoints: usize,
    /// How many have shown failures.
    pub failing: usize,
    /// Those of the newest build that failed or lost attempts, by how many.
    by_failures: BTreeSet<(FailureRank, usize)>,
    /// Sum of their failures.
    failures: f64,
    /// The evaluation interval that this sum has decayed to.
    failures_at: u64,
}

impl BuildOutcomes {
    /// Ranks an endpoint with so many failures; `None` where it has none.
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

    /// Takes an endpoint with so many failures off the ranked ones.
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

    /// The ranked endpoint with the most failures.
    pub fn most_failing(&self) -> Option<usize> {
        self.by_failures.last().map(|(_, endpoint)| *endpoint)
    }

    /// How many endpoints are ranked.
    pub fn ranked(&self) -> usize {
        self.by_failures.len()
    }

    /// Sum of the failures of the ranked endpoints at this evaluation interval.
    pub fn ranked_failures(&self, interval: u64, decay: &OutcomeDecay) -> f64 {
        self.failures * decay.factor_after(interval - self.failures_at)
    }
}
