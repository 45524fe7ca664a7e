//! Evidence on builds: how it decays and which outcomes it consists of.

use super::{Balancer, EVALUATION_INTERVAL};
use crate::interface::EndpointState;
use crate::model::OutcomeDecay;
use crate::stats::OutcomeCounts;
use std::time::Duration;

/// Number of outcomes below which no conclusion is drawn.
pub(super) const MIN_OUTCOMES: f64 = 10.0;
/// Time after a released build's newest start during which the build is still evaluated.
pub(super) const EVALUATED_AFTER_START: Duration = Duration::from_millis(15_000);
/// Number of outcomes below which the baseline of an earlier build does not decay.
pub(super) const MIN_BASELINE_OUTCOMES: f64 = 20.0;
/// Half-life of outcomes, in seconds.
const OUTCOME_HALF_LIFE: f64 = 10.0;
/// Number of outcomes of a class below which an endpoint forgets the class.
///
/// A single request decays to this value in 200 s, so an endpoint remembers the classes of its
/// requests of the last 200 s (10 s more for twice as many requests, and up to twice as many
/// classes until they are pruned). If 30,000 endpoints forget a class at once, a sum loses at most
/// 0.03 of a request, and this error decays.
pub(super) const NEGLIGIBLE_OUTCOMES: f64 = 1e-6;
/// Relative difference of two counts that is attributed to rounding.
pub(super) const ROUNDING_ERROR: f64 = 1e-9;
/// Number of evaluation intervals, one hour, after which the sums over endpoints are recomputed.
pub(super) const REBUILD_INTERVALS: u64 = 36_000;
/// Half-life of recent attempt counts, in seconds.
const RECENT_HALF_LIFE: f64 = 2.0;
/// Half-life of the platform's counts, in seconds. It is the same for both builds, so that their
/// counts cover the same period.
const PLATFORM_HALF_LIFE: f64 = 4.0;
/// Minimum decay factor of recent latencies per evaluation interval, which keeps the responses of
/// the last few seconds.
const RECENT_LATENCY_DECAY: f64 = 0.96;
/// Number of latencies that the recent and baseline samples keep even at a low response rate.
const MIN_KEPT_LATENCIES: f64 = 40.0;
/// Number of endpoints of a canary above which the outcomes of a single endpoint may be discarded,
/// as it does not represent its build.
pub(super) const MIN_ENDPOINTS_TO_DISCARD: usize = 2;

/// Decay factor per evaluation interval for a half-life in seconds.
fn decay_factor(half_life: f64) -> f64 {
    0.5f64.powf(EVALUATION_INTERVAL.as_secs_f64() / half_life)
}

/// Returns how the outcomes of endpoints decay: the factor per evaluation interval, and the number
/// below which the outcomes of a class may be dropped.
pub(super) fn outcome_decay() -> OutcomeDecay {
    OutcomeDecay {
        factor: decay_factor(OUTCOME_HALF_LIFE),
        negligible: NEGLIGIBLE_OUTCOMES,
    }
}

impl Balancer {
    /// Records that a client reported a response of this endpoint as wrong, `age` after the
    /// response. Ignored if the endpoint has restarted since, or if the endpoint or class is
    /// unknown.
    pub fn on_client_reported_error(
        &mut self,
        now: Duration,
        endpoint: usize,
        class: usize,
        age: Duration,
    ) {
        let Some(known) = self.fleet.get(endpoint) else {
            return;
        };
        let answered_since_start = known.started.unwrap_or_default() + age <= now;
        if !answered_since_start || class >= self.classes.len() {
            return;
        }
        let reported = OutcomeCounts {
            reported: 1.0,
            ..OutcomeCounts::default()
        };
        self.outcomes.add(endpoint, class, &reported);
    }

    /// Whether the newest build is running and is either a canary or was started recently.
    pub(super) fn is_evaluating(&self, now: Duration) -> bool {
        let Some(status) = &self.rollout.status else {
            return false;
        };
        let build = status.build;
        let started = self.rollout.builds.get(&build).map(|b| b.newest_start);
        let is_fresh = started
            .is_some_and(|started| !started.is_zero() && now < started + EVALUATED_AFTER_START);
        (is_fresh || self.rollout.is_canary(build))
            && self.fleet.index().of_build(build).running > 0
    }

    /// Decays all evidence by one evaluation interval. The baseline of an earlier build stops
    /// decaying once it is small; the evidence on the newest build always decays.
    pub(super) fn decay_evidence(&mut self, now: Duration) {
        let outcome_decay = decay_factor(OUTCOME_HALF_LIFE);
        self.decay_outcomes(outcome_decay);
        let platform_decay = decay_factor(PLATFORM_HALF_LIFE);
        for build in self.rollout.builds.values_mut() {
            for totals in &mut build.platform_totals {
                totals.decay(platform_decay);
            }
        }
        self.evaluation
            .peers
            .decay(outcome_decay, decay_factor(RECENT_HALF_LIFE));
        self.decay_latencies(now, outcome_decay);
    }

    fn decay_outcomes(&mut self, factor: f64) {
        let newest_build = self.rollout.newest_build();
        for (number, build) in &mut self.rollout.builds {
            let departed = &mut build.departed_outcomes;
            if *number >= newest_build
                || OutcomeCounts::sum(departed).total() > MIN_BASELINE_OUTCOMES
            {
                for counts in departed {
                    counts.decay(factor);
                }
            }
        }
        let scanned = self.outcomes.end_interval();
        self.fleet.count_scanned(scanned);
    }

    fn decay_latencies(&mut self, now: Duration, baseline_decay: f64) {
        let rate = self.classes.iter().map(|c| c.answer_rate).sum::<f64>();
        let answers = rate * EVALUATION_INTERVAL.as_secs_f64();
        let is_evaluating = self.is_evaluating(now);
        let recent_decay = (1.0 - answers / MIN_KEPT_LATENCIES).max(RECENT_LATENCY_DECAY);
        self.evaluation.latency.earlier.decay(recent_decay);
        self.evaluation.latency.newest.decay(recent_decay);
        self.evaluation.arrivals.end_interval(
            is_evaluating,
            1.0 - RECENT_LATENCY_DECAY,
            1.0 - baseline_decay,
        );
        for class in &mut self.classes {
            class.decay_latencies(
                is_evaluating,
                MIN_KEPT_LATENCIES,
                baseline_decay,
                recent_decay,
            );
        }
    }

    /// Outcomes of a build by class. Attempts lost at ejected endpoints of an earlier build are
    /// left out, as the endpoints are to blame rather than the build.
    ///
    /// If the newest build has three or more endpoints, one with most of the failures is left out,
    /// so that a single faulty endpoint does not count against its build. Does harm if that
    /// endpoint is the first one to hit a fault of the build.
    pub(super) fn outcomes_of(&self, build: u32) -> Vec<OutcomeCounts> {
        let is_newest = self.rollout.status_of(build).is_some();
        let mut sums = self.outcomes.sums_of(build, self.classes.len(), is_newest);
        if let Some(build) = self.rollout.builds.get(&build) {
            for (sum, departed) in sums.iter_mut().zip(&build.departed_outcomes) {
                sum.decay_and_add(1.0, departed);
            }
        }
        sums
    }

    /// Sets the state of an endpoint whose run has ended, and adds its outcomes to those of its
    /// build unless the endpoint was ejected.
    pub(super) fn retire(&mut self, index: usize, state: EndpointState) {
        let mut endpoint = self.fleet.endpoint_mut(index);
        let before = std::mem::replace(&mut endpoint.state, state);
        let was_ejected = endpoint.ejection.until.is_some();
        let build = endpoint.build;
        drop(endpoint);
        if before != EndpointState::Running {
            return;
        }
        let outcomes = self.outcomes.stop(index);
        if was_ejected {
            return;
        }
        let Some(build) = self.rollout.builds.get_mut(&build) else {
            return;
        };
        for (class, counts) in outcomes {
            if let Some(departed) = build.departed_outcomes.get_mut(class) {
                departed.decay_and_add(1.0, &counts);
            }
        }
    }
}
