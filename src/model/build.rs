//! What is remembered of one build.

use crate::interface::PlatformCounts;
use crate::stats::OutcomeCounts;
use std::time::Duration;

/// Exposure of one build and the evidence against it.
#[derive(Default)]
pub(crate) struct BuildState {
    /// Attempts that may still go to it as a canary, by slot of the exposure cap.
    pub exposure_tokens: Vec<f64>,
    /// Tokens earned by each request.
    pub cap: f64,
    /// By class: outcomes at endpoints that have gone since.
    pub departed_outcomes: Vec<OutcomeCounts>,
    /// When its newest endpoint was started.
    pub newest_start: Duration,
    /// Whether the evidence shows a regression.
    pub regressed: bool,
    /// Failures times the seconds for which they have shown; decays while none show.
    pub regression_evidence: f64,
    /// By class: what the platform counted over all agents.
    pub platform_totals: Vec<PlatformTotals>,
}

impl BuildState {
    /// A build of which nothing is known, with this burst in each slot of the exposure cap.
    pub fn new(classes: usize, slots: usize, exposure_burst: f64) -> BuildState {
        BuildState {
            exposure_tokens: vec![exposure_burst; slots],
            departed_outcomes: vec![OutcomeCounts::default(); classes],
            platform_totals: vec![PlatformTotals::default(); classes],
            ..BuildState::default()
        }
    }
}

/// What the platform counted of one class over all agents; decays.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PlatformTotals {
    /// Attempts.
    pub attempts: f64,
    /// Attempts that did not succeed.
    pub failed: f64,
    /// Sum of the latencies of the others, in seconds.
    pub latency_sum: f64,
}

/// Latency of one build against another's.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LatencyComparison {
    /// Answers that it is known from.
    pub answers: f64,
    /// Mean latency divided by the other's.
    pub ratio: f64,
}

impl PlatformTotals {
    /// Adds a report. One that holds no numbers is left out: it would hide all others.
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

    /// Sum over classes.
    pub fn sum(totals: &[PlatformTotals]) -> PlatformTotals {
        let add = |sum: PlatformTotals, one: &PlatformTotals| PlatformTotals {
            attempts: sum.attempts + one.attempts,
            failed: sum.failed + one.failed,
            latency_sum: sum.latency_sum + one.latency_sum,
        };
        totals.iter().fold(PlatformTotals::default(), add)
    }

    /// Mean latency of a canary against the earlier build's of the same classes.
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
