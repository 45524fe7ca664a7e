//! The state of one build.

use crate::interface::PlatformCounts;
use crate::stats::OutcomeCounts;
use std::time::Duration;

/// Exposure of one build as a canary, and the evidence for or against it.
#[derive(Default)]
pub(crate) struct BuildState {
    /// Attempts that it may still receive as a canary, by slot of the exposure cap: one slot per
    /// class if the cap applies per class, else a single one.
    pub exposure_tokens: Vec<f64>,
    /// Tokens that each request adds, 0 to 1.
    pub cap: f64,
    /// Outcomes at endpoints that have left the list or run another build by now, by class.
    pub departed_outcomes: Vec<OutcomeCounts>,
    /// Start time of its most recently started endpoint.
    pub newest_start: Duration,
    /// Whether the evidence shows a regression.
    pub regressed: bool,
    /// Strength of the regression, in failures, integrated over the seconds for which it has
    /// persisted. Decays while there is no regression.
    pub regression_evidence: f64,
    /// Outcomes that the platform counted over all agents, by class.
    pub platform_totals: Vec<PlatformTotals>,
}

impl BuildState {
    /// Creates the state of a build without any outcomes, with a full `exposure_burst` in each slot
    /// of the exposure cap.
    pub fn new(classes: usize, slots: usize, exposure_burst: f64) -> BuildState {
        BuildState {
            exposure_tokens: vec![exposure_burst; slots],
            departed_outcomes: vec![OutcomeCounts::default(); classes],
            platform_totals: vec![PlatformTotals::default(); classes],
            ..BuildState::default()
        }
    }
}

/// Outcomes of one class that the platform counted over all agents. The totals decay.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PlatformTotals {
    /// Number of attempts.
    pub attempts: f64,
    /// Number of attempts that did not succeed.
    pub failed: f64,
    /// Sum of the latencies of the successful attempts, in seconds.
    pub latency_sum: f64,
}

/// Latency of one build relative to another.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LatencyComparison {
    /// Number of successful attempts that the ratio is based on.
    pub answers: f64,
    /// Mean latency divided by that of the other build.
    pub ratio: f64,
}

impl PlatformTotals {
    /// Adds the counts of a report. Ignores a report with values that are not finite: they would
    /// hide the counts of all other reports.
    pub fn add(&mut self, counts: &PlatformCounts) {
        if !counts.attempts.is_finite() || !counts.failed.is_finite() {
            return;
        }
        let attempts = counts.attempts.max(0.0);
        let failed = counts.failed.clamp(0.0, attempts);
        self.attempts += attempts;
        self.failed += failed;
        self.latency_sum += (attempts - failed) * counts.mean_latency.as_secs_f64();
    }

    /// Multiplies all counts by `factor`.
    pub fn decay(&mut self, factor: f64) {
        self.attempts *= factor;
        self.failed *= factor;
        self.latency_sum *= factor;
    }

    /// Returns the sum over all classes.
    pub fn sum(totals: &[PlatformTotals]) -> PlatformTotals {
        let add = |sum: PlatformTotals, one: &PlatformTotals| PlatformTotals {
            attempts: sum.attempts + one.attempts,
            failed: sum.failed + one.failed,
            latency_sum: sum.latency_sum + one.latency_sum,
        };
        totals.iter().fold(PlatformTotals::default(), add)
    }

    /// Compares the mean latency of a canary with that of the earlier build, class by class.
    pub fn compare_latency(
        canary: &[PlatformTotals],
        earlier: &[PlatformTotals],
    ) -> LatencyComparison {
        let mut answers = 0.0;
        let mut latency_sum = 0.0;
        let comparable = canary
            .iter()
            .zip(earlier)
            .filter(|(_, e)| e.latency_sum > 0.0);
        for (canary, earlier) in comparable {
            answers += canary.attempts - canary.failed;
            latency_sum +=
                canary.latency_sum / (earlier.latency_sum / (earlier.attempts - earlier.failed));
        }
        LatencyComparison {
            answers,
            ratio: latency_sum / answers.max(1e-9),
        }
    }
}
