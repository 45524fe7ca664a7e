//! What endpoints get that were started a short while ago.

use super::parameters::SlowStartParameters;
use super::{Balancer, EVALUATION_INTERVAL};
use crate::model::{Endpoint, SlowStartState};
use crate::stats::Ewma;
use std::time::Duration;

/// Gain of the pace of warm endpoints, each evaluation interval.
const PACE_GAIN: f64 = 0.02;
/// Endpoints for each warm one, at most, where the pace of the warm ones is taken.
const MAX_ENDPOINTS_PER_WARM: f64 = 4.0;
/// Least time, in seconds, that slow start is taken to last.
const MIN_DURATION: f64 = 0.001;
/// Least quota, so that a burst is not owed for long.
const MIN_QUOTA: f64 = -1.0;

/// The pace at a start: none, which counts as if it were long known.
pub(super) fn initial() -> SlowStartState {
    SlowStartState {
        completed: 0.0,
        completed_per_interval: Ewma {
            value: 0.0,
            samples: 1.0 / PACE_GAIN,
        },
    }
}

impl SlowStartParameters {
    /// Part of its full load that an endpoint may get: less while it warms up, by the slowest
    /// warming that the settings allow.
    fn load_share(&self, now: Duration, endpoint: &Endpoint) -> f64 {
        let Some(since) = endpoint.warming_since else {
            return 1.0;
        };
        let age = now.saturating_sub(since).as_secs_f64();
        let progress = age / self.duration.as_secs_f64().max(MIN_DURATION);
        self.initial_share + (1.0 - self.initial_share) * progress.min(1.0)
    }
}

/// What warming endpoints may get at present.
pub(super) struct SlowStartPace {
    /// Answers in an evaluation interval for a full share.
    attempts_per_interval: f64,
    /// Evaluation intervals in the overload window.
    intervals_per_window: f64,
}

impl Balancer {
    /// Part of its full load that an endpoint may get.
    pub(super) fn slow_start_share(&self, now: Duration, endpoint: &Endpoint) -> f64 {
        self.parameters.slow_start.load_share(now, endpoint)
    }

    /// Takes in what warm endpoints answered in this interval, unless few of them are warm.
    pub(super) fn update_slow_start_pace(&mut self) {
        let endpoints = self.fleet.index().total();
        let warm = endpoints.warm as f64;
        let completed = std::mem::take(&mut self.slow_start.completed);
        if warm * MAX_ENDPOINTS_PER_WARM > endpoints.running as f64 {
            self.slow_start
                .completed_per_interval
                .update(completed / warm, PACE_GAIN);
        }
    }

    pub(super) fn slow_start_pace(&self) -> SlowStartPace {
        let parameters = &self.parameters.slow_start;
        let window = parameters.overload_window;
        SlowStartPace {
            attempts_per_interval: self.slow_start.completed_per_interval.value
                * self.cross_zone.policy.slow_start_factor
                * parameters.overload_share,
            intervals_per_window: window.div_duration_f64(EVALUATION_INTERVAL),
        }
    }
}

/// Sets what a warming endpoint may get from this agent: its part of what a warm one answers here,
/// beginning at a random point, so that the sum over all agents keeps to it.
///
/// Guards against a first attempt of every agent at once. Does harm where nearly all endpoints are
/// warming, as requests are rejected then.
pub(super) fn update_quota(
    now: Duration,
    endpoint: &mut Endpoint,
    parameters: &SlowStartParameters,
    throughput: f64,
    pace: &SlowStartPace,
) {
    let warm_after = parameters.duration;
    endpoint.warming_since = endpoint
        .warming_since
        .filter(|since| now < *since + warm_after);
    let per_window = parameters.load_share(now, endpoint)
        * throughput
        * pace.attempts_per_interval
        * pace.intervals_per_window;
    let quota = &mut endpoint.slow_start;
    let first_window = if quota.per_window > 0.0 {
        0.0
    } else {
        per_window
    };
    let earned =
        quota.attempts.max(MIN_QUOTA) + first_window + per_window / pace.intervals_per_window;
    quota.attempts = earned.min(1.0 + per_window);
    quota.per_window = per_window;
}
