//! Evidence on builds: how it ages, and what it amounts to.

use super::{Balancer, EVALUATION_INTERVAL};
use crate::interface::EndpointState;
use crate::model::OutcomeDecay;
use crate::stats::OutcomeCounts;
use std::time::Duration;

/// Outcomes below which nothing is concluded.
pub(super) const MIN_OUTCOMES: f64 = 10.0;
/// How long after its newest start a released build is evaluated.
pub(super) const EVALUATED_AFTER_START: Duration = Duration::from_millis(15_000);
/// Outcomes below which the baseline of an earlier build does not decay.
pub(super) const MIN_BASELINE_OUTCOMES: f64 = 20.0;
/// Seconds until outcomes weigh half.
const OUTCOME_HALF_LIFE: f64 = 10.0;
/// Outcomes of a class below which an endpoint forgets them: a single request after 200 s, so that
/// an endpoint remembers the classes of its last 200 s of requests (10 s more where there were twice
/// as many, and twice as many classes until they are looked through). Of 30,000 endpoints that all
/// forget one at once a sum loses 0.03 of a request at most, which decays.
pub(super) const NEGLIGIBLE_OUTCOMES: f64 = 1e-6;
/// Relative difference of two counts that is taken for rounding.
pub(super) const ROUNDING_ERROR: f64 = 1e-9;
/// Evaluation intervals, an hour, after which the sums over endpoints are taken anew.
pub(super) const REBUILD_INTERVALS: u64 = 36_000;
/// Seconds until what counts as of late weighs half.
const RECENT_HALF_LIFE: f64 = 2.0;
/// Seconds until the platform's counts weigh half, for both builds, so that they are of one time.
const PLATFORM_HALF_LIFE: f64 = 4.0;
/// Decay of latencies of late, each evaluation interval: answers of the last seconds.
const RECENT_LATENCY_DECAY: f64 = 0.96;
/// Latencies that are kept, however few answers come in a second.
const MIN_KEPT_LATENCIES: f64 = 40.0;
/// Endpoints of a canary above which a single one does not speak for its build.
pub(super) const MIN_ENDPOINTS_TO_DISCARD: usize = 2;

/// Factor of an evaluation interval for this half-life in seconds.
fn decay_factor(half_life: f64) -> f64 {
    0.5f64.powf(EVALUATION_INTERVAL.as_secs_f64() / half_life)
}

/// How the outcomes of endpoints lose weight.
pub(super) fn outcome_decay() -> OutcomeDecay {
    OutcomeDecay {
        factor: decay_factor(OUTCOME_HALF_LIFE),
        negligible: NEGLIGIBLE_OUTCOMES,
    }
}

impl Balancer {
    /// Takes in that a client reported an answer of this endpoint as wrong, `age` after it came.
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

    /// Whether the newest build runs, and is a canary or was started a short while ago.
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

    /// Lets all evidence age by one evaluation interval. The baseline of an earlier build does not
    /// once it is small; the newest build's evidence always does.
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

    /// Outcomes of a build by class. Lost attempts of an earlier build's ejected endpoints are left
    /// out: they are the endpoints' own.
    ///
    /// Guards against a faulty endpoint that speaks ill of its build: one of three or more of the
    /// newest build is left out that has most of the failures. Does harm where that one is the
    /// first to meet what its build does wrong.
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

    /// Leaves the outcomes of an endpoint that goes with its build, unless it was ejected.
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
