//! State for the evaluation of the newest build.

use crate::stats::OutcomeCounts;
use std::time::Duration;

/// Evidence on the newest build that is not kept by endpoint.
#[derive(Default)]
pub(crate) struct EvaluationState {
    /// Outcomes of the earlier build in the same period.
    pub peers: PeerOutcomes,
    /// Rate of arriving requests.
    pub arrivals: ArrivalRate,
    /// Evidence that the newest build slows the whole fleet.
    pub latency: LatencyRegression,
    /// Until this time, endpoints of the earlier build are considered to be failing as well.
    pub faulty_endpoints_until: Duration,
}

/// Outcomes of the earlier build from the period in which the newest one received traffic. A fault
/// that affects both builds is then visible in both.
#[derive(Default)]
pub(crate) struct PeerOutcomes {
    /// Outcomes of the earlier build, by class.
    pub outcomes: Vec<OutcomeCounts>,
    /// Number of recent attempts to the earlier build.
    pub recent_earlier: f64,
    /// Number of recent attempts to the newest build.
    pub recent_newest: f64,
}

impl PeerOutcomes {
    /// Multiplies the outcomes by `factor` and the numbers of recent attempts by `recent_factor`.
    pub fn decay(&mut self, factor: f64, recent_factor: f64) {
        for outcomes in &mut self.outcomes {
            outcomes.decay(factor);
        }
        self.recent_earlier *= recent_factor;
        self.recent_newest *= recent_factor;
    }

    /// Counts an attempt that has ended.
    pub fn count_attempt(&mut self, is_newest: bool) {
        let recent = if is_newest {
            &mut self.recent_newest
        } else {
            &mut self.recent_earlier
        };
        *recent += 1.0;
    }
}

/// Number of requests that arrive per evaluation interval, without retries.
#[derive(Default)]
pub(crate) struct ArrivalRate {
    /// Requests in the current interval so far.
    pub arrived: f64,
    recent: f64,
    baseline: f64,
    baseline_intervals: f64,
}

impl ArrivalRate {
    /// Ends an evaluation interval. The baseline is updated only while no build is being evaluated:
    /// as a plain mean over the intervals at first, later by `baseline_gain`.
    pub fn end_interval(&mut self, is_evaluating: bool, recent_gain: f64, baseline_gain: f64) {
        let arrived = std::mem::take(&mut self.arrived);
        self.recent += (arrived - self.recent) * recent_gain;
        if !is_evaluating {
            self.baseline_intervals += 1.0;
            let gain = baseline_gain.max(1.0 / self.baseline_intervals);
            self.baseline += (arrived - self.baseline) * gain;
        }
    }

    /// Returns the recent rate divided by the baseline.
    pub fn growth(&self) -> f64 {
        self.recent / self.baseline.max(1e-6)
    }
}

/// Number of fast responses among all responses.
#[derive(Clone, Copy, Default)]
pub(crate) struct SpeedCounts {
    /// Responses faster than the median from before the canary.
    pub fast: f64,
    /// All responses.
    pub answers: f64,
}

impl SpeedCounts {
    /// Multiplies both counts by `factor`.
    pub fn decay(&mut self, factor: f64) {
        self.fast *= factor;
        self.answers *= factor;
    }

    /// Counts one response.
    pub fn record(&mut self, is_fast: bool) {
        if is_fast {
            self.fast += 1.0;
        }
        self.answers += 1.0;
    }
}

/// Evidence that the newest build slows the whole fleet.
#[derive(Default)]
pub(crate) struct LatencyRegression {
    /// Recent responses of the earlier build.
    pub earlier: SpeedCounts,
    /// Recent responses of the newest build.
    pub newest: SpeedCounts,
    /// Whether fast responses have become rare, to a statistically significant degree.
    pub alarm: bool,
    /// Whether the newest build had a lower share of fast responses than the earlier one, to a
    /// statistically significant degree.
    pub is_newest_slower: bool,
    /// Whether all responses are slow, with enough certainty for one of the several agents that
    /// must agree.
    pub is_fleet_slower: bool,
}
