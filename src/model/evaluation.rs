//! What is remembered for the evaluation of the newest build.

use crate::stats::OutcomeCounts;
use std::time::Duration;

/// Evidence on the newest build that belongs to no single endpoint.
#[derive(Default)]
pub(crate) struct EvaluationState {
    /// Outcomes of the earlier build at the same time.
    pub peers: PeerOutcomes,
    /// Requests that arrive.
    pub arrivals: ArrivalRate,
    /// Whether the newest build slows the whole fleet.
    pub latency: LatencyRegression,
    /// Until when endpoints of the earlier build are known to fail, too.
    pub faulty_endpoints_until: Duration,
}

/// Outcomes of the earlier build while the newest one got its traffic, so that a fault which meets
/// both is seen in both.
#[derive(Default)]
pub(crate) struct PeerOutcomes {
    /// By class: outcomes of the earlier build.
    pub outcomes: Vec<OutcomeCounts>,
    /// Attempts of late to the earlier build.
    pub recent_earlier: f64,
    /// Attempts of late to the newest one.
    pub recent_newest: f64,
}

impl PeerOutcomes {
    /// Multiplies the outcomes by `factor` and the attempts of late by `recent_factor`.
    pub fn decay(&mut self, factor: f64, recent_factor: f64) {
        for outcomes in &mut self.outcomes {
            outcomes.decay(factor);
        }
        self.recent_earlier *= recent_factor;
        self.recent_newest *= recent_factor;
    }

    /// Counts one attempt that ended.
    pub fn count_attempt(&mut self, is_newest: bool) {
        let recent = if is_newest {
            &mut self.recent_newest
        } else {
            &mut self.recent_earlier
        };
        *recent += 1.0;
    }
}

/// Requests that arrive in an evaluation interval, retries left out.
#[derive(Default)]
pub(crate) struct ArrivalRate {
    /// Those of the present interval.
    pub arrived: f64,
    recent: f64,
    baseline: f64,
    baseline_intervals: f64,
}

impl ArrivalRate {
    /// Ends an evaluation interval. The baseline follows only while no build is being evaluated, by
    /// `baseline_gain` once it is known from that many intervals.
    pub fn end_interval(&mut self, is_evaluating: bool, recent_gain: f64, baseline_gain: f64) {
        let arrived = std::mem::take(&mut self.arrived);
        self.recent += (arrived - self.recent) * recent_gain;
        if !is_evaluating {
            self.baseline_intervals += 1.0;
            let gain = baseline_gain.max(1.0 / self.baseline_intervals);
            self.baseline += (arrived - self.baseline) * gain;
        }
    }

    /// Requests of late, divided by the baseline.
    pub fn growth(&self) -> f64 {
        self.recent / self.baseline.max(1e-6)
    }
}

/// How many answers were fast.
#[derive(Clone, Copy, Default)]
pub(crate) struct SpeedCounts {
    /// Answers faster than the median before the canary.
    pub fast: f64,
    /// All answers.
    pub answers: f64,
}

impl SpeedCounts {
    /// Multiplies both counts by `factor`.
    pub fn decay(&mut self, factor: f64) {
        self.fast *= factor;
        self.answers *= factor;
    }

    /// Counts one answer.
    pub fn record(&mut self, is_fast: bool) {
        if is_fast {
            self.fast += 1.0;
        }
        self.answers += 1.0;
    }
}

/// Whether the newest build slows the whole fleet.
#[derive(Default)]
pub(crate) struct LatencyRegression {
    /// Answers of the earlier build of late.
    pub earlier: SpeedCounts,
    /// Answers of the newest build of late.
    pub newest: SpeedCounts,
    /// Whether fast answers are gone, beyond chance.
    pub alarm: bool,
    /// Whether the newest build had fewer fast answers than the earlier one, beyond chance.
    pub is_newest_slower: bool,
    /// Whether all answers are slow, surely enough for one of several agents that must agree.
    pub is_fleet_slower: bool,
}
