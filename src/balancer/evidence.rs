//! Evidence on builds: how it ages, and what it amounts to.

use super::{Balancer, EVALUATION_INTERVAL};
use crate::interface::EndpointState;
use crate::model::Endpoint;
use crate::stats::OutcomeCounts;
use std::time::Duration;

/// Outcomes below which nothing is concluded.
pub(super) const MIN_OUTCOMES: f64 = 10.0;
/// How long after its newest start a released build is evaluated.
pub(super) const EVALUATED_AFTER_START: Duration = Duration::from_millis(15_000);
/// Outcomes below which the baseline of an earlier build does not decay.
pub(super) const KEPT_BASELINE: f64 = 20.0;
/// Seconds until outcomes weigh half.
const OUTCOME_HALF_LIFE: f64 = 10.0;
/// Seconds until what counts as of late weighs half.
const RECENT_HALF_LIFE: f64 = 2.0;
/// Seconds until the platform's counts weigh half, for both builds, so that they are of one time.
const PLATFORM_HALF_LIFE: f64 = 4.0;
/// Decay of latencies of late, each evaluation interval: answers of the last seconds.
const RECENT_LATENCY_DECAY: f64 = 0.96;
/// Latencies that are kept, however few answers come in a second.
const KEPT_LATENCIES: f64 = 40.0;
/// Endpoints of a canary above which a single one does not speak for its build.
const MIN_ENDPOINTS_TO_DISCARD: usize = 2;

/// Factor of an evaluation interval for this half-life in seconds.
fn decay_factor(half_life: f64) -> f64 {
    0.5f64.powf(EVALUATION_INTERVAL.as_secs_f64() / half_life)
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
        let Some(mut endpoint) = self.fleet.get_mut(endpoint) else {
            return;
        };
        let answered_since_start = endpoint.started.unwrap_or_default() + age <= now;
        if !answered_since_start {
            return;
        }
        if let Some(outcomes) = endpoint.outcomes.get_mut(class) {
            outcomes.reported += 1.0;
        }
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
        let decay = |outcomes: &mut [OutcomeCounts], build: u32| {
            if build >= newest_build || OutcomeCounts::sum(outcomes).total() > KEPT_BASELINE {
                for counts in outcomes {
                    counts.decay(factor);
                }
            }
        };
        self.fleet.for_each_mut(|endpoint, _| {
            let build = endpoint.build;
            decay(&mut endpoint.outcomes, build);
        });
        for (number, build) in &mut self.rollout.builds {
            decay(&mut build.departed_outcomes, *number);
        }
    }

    fn decay_latencies(&mut self, now: Duration, baseline_decay: f64) {
        let rate = self.classes.iter().map(|c| c.answer_rate).sum::<f64>();
        let answers = rate * EVALUATION_INTERVAL.as_secs_f64();
        let is_evaluating = self.is_evaluating(now);
        let recent_decay = (1.0 - answers / KEPT_LATENCIES).max(RECENT_LATENCY_DECAY);
        self.evaluation.latency.earlier.decay(recent_decay);
        self.evaluation.latency.newest.decay(recent_decay);
        self.evaluation.arrivals.end_interval(
            is_evaluating,
            1.0 - RECENT_LATENCY_DECAY,
            1.0 - baseline_decay,
        );
        for class in &mut self.classes {
            class.decay_latencies(is_evaluating, KEPT_LATENCIES, baseline_decay, recent_decay);
        }
    }

    /// Outcomes of a build by class. Lost attempts of an earlier build's ejected endpoints are left
    /// out: they are the endpoints' own.
    ///
    /// Guards against a faulty endpoint that speaks ill of its build: one of three or more of the
    /// newest build is left out that has most of the failures. Does harm where that one is the
    /// first to meet what its build does wrong.
    pub(super) fn outcomes_of(&self, build: u32) -> Vec<OutcomeCounts> {
        let departed = self.rollout.builds.get(&build);
        let mut sums = departed.map_or_else(
            || vec![OutcomeCounts::default(); self.classes.len()],
            |b| b.departed_outcomes.clone(),
        );
        let is_newest = self.rollout.status_of(build).is_some();
        let failures = |e: &Endpoint| OutcomeCounts::sum(&e.outcomes).failed_or_lost();
        let half = self.running_build(build).map(failures).sum::<f64>() / 2.0;
        let discards =
            is_newest && self.fleet.index().of_build(build).running > MIN_ENDPOINTS_TO_DISCARD;
        for endpoint in self.running_build(build) {
            if discards && failures(endpoint) > half {
                continue;
            }
            let keeps_lost = is_newest || endpoint.ejection.until.is_none();
            for (sum, counts) in sums.iter_mut().zip(&endpoint.outcomes) {
                let lost = if keeps_lost { counts.lost } else { 0.0 };
                sum.decay_and_add(1.0, &OutcomeCounts { lost, ..*counts });
            }
        }
        sums
    }

    /// Endpoints of a build that run.
    pub(super) fn running_build(&self, build: u32) -> impl Iterator<Item = &Endpoint> {
        let running = self.fleet.running().map(|(_, endpoint)| endpoint);
        running.filter(move |endpoint| endpoint.build == build)
    }

    /// Leaves the outcomes of an endpoint that goes with its build, unless it was ejected.
    pub(super) fn retire(&mut self, index: usize, state: EndpointState) {
        let mut endpoint = self.fleet.endpoint_mut(index);
        let before = std::mem::replace(&mut endpoint.state, state);
        if before != EndpointState::Running || endpoint.ejection.until.is_some() {
            return;
        }
        let outcomes = std::mem::take(&mut endpoint.outcomes);
        let Some(build) = self.rollout.builds.get_mut(&endpoint.build) else {
            return;
        };
        for (departed, counts) in build.departed_outcomes.iter_mut().zip(&outcomes) {
            departed.decay_and_add(1.0, counts);
        }
    }
}
