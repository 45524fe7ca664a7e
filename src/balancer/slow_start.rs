//! What endpoints get that were started a short while ago.

use super::parameters::SlowStartParameters;
use super::{Balancer, EVALUATION_INTERVAL};
use crate::model::{Endpoint, SlowStartPace, SlowStartState, WarmingTimes};
use crate::stats::Ewma;
use std::time::Duration;

/// Gain of the pace of warm endpoints, each evaluation interval.
const PACE_GAIN: f64 = 0.02;
/// Endpoints for each warm one, at most, where the pace of the warm ones is taken.
const MAX_ENDPOINTS_PER_WARM: f64 = 4.0;
/// Least time, in seconds, that slow start is taken to last.
const MIN_DURATION: f64 = 0.001;
/// Least share at an evaluation that the growth of a share since then is reckoned from.
const MIN_EVALUATED_SHARE: f64 = 0.02;
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
        pace: SlowStartPace::default(),
    }
}

impl SlowStartParameters {
    /// Part of its full load that an endpoint may get: less while it warms up, by the slowest
    /// warming that the settings allow.
    fn load_share(&self, now: Duration, endpoint: &Endpoint) -> f64 {
        endpoint
            .warming_since
            .map_or(1.0, |since| self.share_of_age(now.saturating_sub(since)))
    }

    /// The same of an endpoint that has been warming up for this long.
    fn share_of_age(&self, age: Duration) -> f64 {
        let progress = age.as_secs_f64() / self.seconds();
        self.initial_share + (1.0 - self.initial_share) * progress.min(1.0)
    }

    /// Sum of the shares of all endpoints that are warming up.
    fn sum_of_shares(&self, now: Duration, warming: &WarmingTimes) -> f64 {
        let ages = warming.ages(now, Duration::from_secs_f64(self.seconds()));
        let older = ages.older as f64;
        let endpoints = older + ages.younger as f64;
        let progress = older + ages.younger_sum.as_secs_f64() / self.seconds();
        self.initial_share * endpoints + (1.0 - self.initial_share) * progress
    }

    /// Seconds that slow start lasts.
    fn seconds(&self) -> f64 {
        self.duration.as_secs_f64().max(MIN_DURATION)
    }
}

impl Balancer {
    /// Part of its full load that an endpoint may get.
    pub(super) fn slow_start_share(&self, now: Duration, endpoint: &Endpoint) -> f64 {
        self.parameters.slow_start.load_share(now, endpoint)
    }

    /// Sum of what the warming endpoints of a build may get, in full loads.
    pub(super) fn warming_capacity(&self, now: Duration, build: u32) -> f64 {
        let warming = self.fleet.index().warming(build);
        warming.map_or(0.0, |w| self.parameters.slow_start.sum_of_shares(now, w))
    }

    /// The most of its full load that a warming endpoint of this build may get.
    pub(super) fn max_warming_share(&self, now: Duration, build: u32) -> f64 {
        let warming = self.fleet.index().warming(build);
        let oldest = warming.and_then(WarmingTimes::oldest);
        oldest.map_or(1.0, |since| {
            let age = now.saturating_sub(since);
            self.parameters.slow_start.share_of_age(age)
        })
    }

    /// Factor by which the share of any warming endpoint has grown since the last evaluation, at
    /// the most.
    pub(super) fn max_share_growth(&self, now: Duration) -> f64 {
        let parameters = &self.parameters.slow_start;
        let next_evaluation = self.clock.next_evaluation;
        let since_evaluation = (now + EVALUATION_INTERVAL).saturating_sub(next_evaluation);
        let progress = since_evaluation.as_secs_f64() / parameters.seconds();
        let least = parameters.initial_share.max(MIN_EVALUATED_SHARE);
        1.0 + (1.0 - parameters.initial_share) * progress.min(1.0) / least
    }

    /// Attempts within the overload window that an endpoint of this throughput would get from this
    /// agent as a warming one that bears its full load.
    pub(super) fn full_quota(&self, throughput: f64) -> f64 {
        self.slow_start.pace.attempts_per_window(1.0, throughput)
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

    /// Sets the quota of the endpoints that are warming up, and ends the slow start of those that
    /// have warmed up. Walks no others.
    pub(super) fn update_slow_start_quotas(&mut self, now: Duration) {
        let pace = self.slow_start_pace();
        self.slow_start.pace = pace;
        let warming: Vec<usize> = self
            .fleet
            .index()
            .sets()
            .warming()
            .iter()
            .copied()
            .collect();
        self.fleet.count_scanned(warming.len());
        for index in warming {
            let (mut endpoint, hardware) = self.fleet.endpoint_and_type_mut(index);
            let parameters = &self.parameters.slow_start;
            update_quota(now, &mut endpoint, parameters, hardware.throughput, &pace);
        }
    }

    /// Puts a warm endpoint in slow start again, as of `since`, with these attempts.
    pub(super) fn return_to_slow_start(&mut self, index: usize, since: Duration, attempts: f64) {
        let pace = self.slow_start.pace;
        let evaluations = self.peer_latencies.evaluations;
        let (mut endpoint, hardware) = self.fleet.endpoint_and_type_mut(index);
        endpoint.warming_since = Some(since);
        let quota = &mut endpoint.slow_start;
        quota.attempts = attempts;
        if quota.evaluations < evaluations {
            quota.per_window = pace.attempts_per_window(1.0, hardware.throughput);
        }
    }

    fn slow_start_pace(&self) -> SlowStartPace {
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
fn update_quota(
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
    let share = parameters.load_share(now, endpoint);
    let per_window = pace.attempts_per_window(share, throughput);
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
