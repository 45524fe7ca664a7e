//! Evaluates a canary by the platform's outcome counts over all agents, which are the same for
//! every agent.

use super::evidence::MIN_OUTCOMES;
use super::latency_regression::TOLERATED_LATENCY_RATIO;
use super::Balancer;
use crate::interface::PlatformCounts;
use crate::model::PlatformTotals;
use crate::stats::{chernoff_bound_of_mean, log_likelihood_ratio, Proportion};

/// Share of failed attempts, beyond twice that of the earlier build, above which a canary fails.
const MAX_FAILED_SHARE: f64 = 0.06;
/// Multiple of the earlier build's share of failed attempts that is tolerated.
const MAX_FAILED_RATIO: f64 = 2.0;
/// Minimum significance of a difference, as a log-likelihood ratio or a negative log-probability.
const SIGNIFICANCE_THRESHOLD: f64 = 6.0;
/// Ratio to the earlier build's latency above which a canary is slow.
const MAX_LATENCY_RATIO: f64 = 1.6;

/// Result of evaluating a canary by the platform's counts.
pub(super) struct PlatformFinding {
    /// Description of a significant regression; `None` if there is none.
    pub regression: Option<&'static str>,
    /// Whether the platform's counts show no slowdown: the canary is about as fast as the earlier
    /// build or has too few responses to compare. False if the platform publishes no counts.
    pub is_latency_similar: bool,
}

impl Balancer {
    /// Adds the platform's counts over all agents to the totals of their build and class. Counts of
    /// an unknown build or class are ignored.
    pub fn on_platform_counts(&mut self, counts: &PlatformCounts) {
        let build = self.rollout.builds.get_mut(&counts.build);
        if let Some(totals) = build.and_then(|b| b.platform_totals.get_mut(counts.class)) {
            totals.add(counts);
        }
    }

    /// Compares the platform's counts for a canary with those for the earlier build.
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
