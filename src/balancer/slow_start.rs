//! Slow start: limits on the load of endpoints that were started recently.

use super::parameters::SlowStartParameters;
use super::{Balancer, EVALUATION_INTERVAL};
use crate::model::{Endpoint, SlowStartPace, SlowStartState, WarmingTimes};
use crate::stats::Ewma;
use std::time::Duration;

/// Smoothing gain of the pace of warm endpoints, per evaluation interval.
const PACE_GAIN: f64 = 0.02;
/// Maximum number of endpoints per warm one at which the pace of the warm ones is updated.
const MAX_ENDPOINTS_PER_WARM: f64 = 4.0;
/// Lower bound of the duration of slow start, in seconds.
const MIN_DURATION: f64 = 0.001;
/// Lower bound of the share at the last evaluation from which the growth of a share is computed.
const MIN_EVALUATED_SHARE: f64 = 0.02;
/// Lower bound of the quota, so that a burst does not delay further attempts for long.
const MIN_QUOTA: f64 = -1.0;

/// Initial pace: zero, weighted as if it were based on many samples.
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
    /// Share of its full load that an endpoint may get. It is reduced while the endpoint warms up,
    /// according to the slowest warming that the settings allow.
    fn load_share(&self, now: Duration, endpoint: &Endpoint) -> f64 {
        endpoint
            .warming_since
            .map_or(1.0, |since| self.share_at_age(now.saturating_sub(since)))
    }

    /// Share of its full load that an endpoint may get after warming up for `age`.
    fn share_at_age(&self, age: Duration) -> f64 {
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

    /// Duration of slow start in seconds, at least the lower bound.
    fn seconds(&self) -> f64 {
        self.duration.as_secs_f64().max(MIN_DURATION)
    }
}

impl Balancer {
    /// Share of its full load that an endpoint may get.
    pub(super) fn slow_start_share(&self, now: Duration, endpoint: &Endpoint) -> f64 {
        self.parameters.slow_start.load_share(now, endpoint)
    }

    /// Capacity of the warming endpoints of a build, in full loads.
    pub(super) fn warming_capacity(&self, now: Duration, build: u32) -> f64 {
        let warming = self.fleet.index().warming(build);
        warming.map_or(0.0, |w| self.parameters.slow_start.sum_of_shares(now, w))
    }

    /// Upper bound of the share of its full load that a warming endpoint of this build may get.
    pub(super) fn max_warming_share(&self, now: Duration, build: u32) -> f64 {
        let warming = self.fleet.index().warming(build);
        let oldest = warming.and_then(WarmingTimes::oldest);
        oldest.map_or(1.0, |since| {
            let age = now.saturating_sub(since);
            self.parameters.slow_start.share_at_age(age)
        })
    }

    /// Upper bound of the factor by which the share of a warming endpoint has grown since the last
    /// evaluation.
    pub(super) fn max_share_growth(&self, now: Duration) -> f64 {
        let parameters = &self.parameters.slow_start;
        let next_evaluation = self.clock.next_evaluation;
        let since_evaluation = (now + EVALUATION_INTERVAL).saturating_sub(next_evaluation);
        let progress = since_evaluation.as_secs_f64() / parameters.seconds();
        let least = parameters.initial_share.max(MIN_EVALUATED_SHARE);
        1.0 + (1.0 - parameters.initial_share) * progress.min(1.0) / least
    }

    /// Number of attempts within the overload window that this agent would send to a warming
    /// endpoint of this throughput at its full load.
    pub(super) fn full_quota(&self, throughput: f64) -> f64 {
        self.slow_start.pace.attempts_per_window(1.0, throughput)
    }

    /// Updates the pace from the responses of warm endpoints in this interval, unless too few
    /// endpoints are warm.
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

    /// Updates the quotas of warming endpoints, and ends the slow start of those that have warmed
    /// up. Scans only warming endpoints.
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

    /// Puts a warm endpoint back into slow start as of `since`, with a quota of `attempts` to begin
    /// with.
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

/// Updates the number of attempts that this agent may send to a warming endpoint: a share of the
/// rate of a warm endpoint at this agent. The quota begins at a random point, so that the sum over
/// all agents stays within the limit.
///
/// Prevents all agents from sending a first attempt at the same time. Does harm if nearly all
/// endpoints are warming, as requests are rejected then.
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
