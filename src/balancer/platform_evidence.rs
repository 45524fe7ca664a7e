//! What the platform's counts over all agents say of a canary. All agents know the same.

use super::evidence::MIN_OUTCOMES;
use super::latency_regression::TOLERATED_LATENCY_RATIO;
use super::Balancer;
use crate::interface::PlatformCounts;
use crate::model::PlatformTotals;
use crate::stats::{chernoff_bound_of_mean, log_likelihood_ratio, Proportion};

/// Share of a class's attempts, beyond twice the earlier build's, from which on a canary fails.
const MAX_FAILED_SHARE: f64 = 0.06;
/// Multiple of the earlier build's share of failures that is no regression.
const MAX_FAILED_RATIO: f64 = 2.0;
/// How far beyond chance a difference must be, as a logarithm.
const SIGNIFICANCE_THRESHOLD: f64 = 6.0;
/// Multiple of the earlier build's latency from which on a canary is slow.
const MAX_LATENCY_RATIO: f64 = 1.6;

/// What the platform's counts say of a canary.
pub(super) struct PlatformFinding {
    /// What they show beyond chance, in words.
    pub regression: Option<&'static str>,
    /// Whether the canary is about as fast as the earlier build.
    pub is_latency_similar: bool,
}

impl Balancer {
    /// Takes in what the platform counted over all agents.
    pub fn on_platform_counts(&mut self, counts: &PlatformCounts) {
        let build = self.rollout.builds.get_mut(&counts.build);
        if let Some(totals) = build.and_then(|b| b.platform_totals.get_mut(counts.class)) {
            totals.add(counts);
        }
    }

    /// Compares a canary with the earlier build.
    pub(super) fn compare_platform_counts(&self, canary: u32, earlier: u32) -> PlatformFinding {
        let canary = self.platform_totals(canary);
        let earlier = self.platform_totals(earlier);
        let is_class_failing = canary.iter().zip(earlier).any(|(c, e)| is_failing(c, e));
        let is_failing = is_class_failing
            || is_failing(&PlatformTotals::sum(canary), &PlatformTotals::sum(earlier));
        let latency = PlatformTotals::compare_latency(canary, earlier);
        let is_slow = latency.ratio > MAX_LATENCY_RATIO
            && chernoff_bound_of_mean(latency.answers, latency.ratio / TOLERATED_LATENCY_RATIO)
                > SIGNIFICANCE_THRESHOLD;
        let regression = match (is_failing, is_slow) {
            (true, _) => Some("counted as failing"),
            (false, true) => Some("counted as slow"),
            (false, false) => None,
        };
        let is_latency_similar = self.parameters.rollout.platform_counts
            && (latency.answers < MIN_OUTCOMES || latency.ratio < TOLERATED_LATENCY_RATIO);
        PlatformFinding {
            regression,
            is_latency_similar,
        }
    }

    fn platform_totals(&self, build: u32) -> &[PlatformTotals] {
        let build = self.rollout.builds.get(&build);
        build.map_or(&[][..], |b| &b.platform_totals)
    }
}

fn is_failing(canary: &PlatformTotals, earlier: &PlatformTotals) -> bool {
    let failed = |totals: &PlatformTotals| Proportion {
        count: totals.failed,
        total: totals.attempts,
    };
    let earlier_share = MAX_FAILED_RATIO * earlier.failed / earlier.attempts.max(1.0);
    let tolerated = (earlier_share + MAX_FAILED_SHARE) * canary.attempts;
    log_likelihood_ratio(failed(canary), failed(earlier)) > SIGNIFICANCE_THRESHOLD
        && earlier.attempts >= MIN_OUTCOMES
        && canary.failed > tolerated
}
