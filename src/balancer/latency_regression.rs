//! Detects whether the newest build slows down the whole fleet, endpoints of the earlier build
//! included.
//!
//! Two measures are used: the share of fast responses per build, compared with the share before the
//! canary, and the mean of all recent latencies, compared with the baseline.

use super::build_evaluation::SETTLED_AFTER_START;
use super::evidence::{EVALUATED_AFTER_START, MIN_OUTCOMES};
use super::Balancer;
use crate::interface::{RolloutPhase, RolloutStatus};
use crate::model::{ClassState, SpeedCounts};
use crate::stats::{chernoff_bound_of_fair_coin, chernoff_bound_of_mean};
use std::time::Duration;

/// Multiple of the usual latency that is tolerated, because keys without affinity, new hardware and
/// long tails add latency.
pub(super) const TOLERATED_LATENCY_RATIO: f64 = 1.4;
/// Factor on the median latency of a class for each response below it while no canary runs.
const MEDIAN_STEP_DOWN: f64 = 0.97;
/// Factor on the median latency of a class for each response above it while no canary runs.
const MEDIAN_STEP_UP: f64 = 1.03;
/// Share of fast responses below which they count as gone; one half is normal.
const MIN_FAST_SHARE: f64 = 0.3;
/// Factor on that share below which a canary counts as slow on its own.
const SLOW_CANARY_FACTOR: f64 = 0.7;
/// Factor on that share above which the earlier build counts as fast as usual.
const FAST_EARLIER_FACTOR: f64 = 1.4;
/// Factor on that share above which an alarm ends.
const ALARM_END_FACTOR: f64 = 1.2;
/// Factor on the canary's share of fast responses in the check whether an alarm ends.
const ALARM_CANARY_FACTOR: f64 = 1.4;
/// Ratio to the earlier build's share of fast responses below which a canary is slower.
const SLOWER_SHARE_RATIO: f64 = 0.8;
/// Bounds of the share of fast responses.
const FAST_SHARE_RANGE: (f64, f64) = (0.01, 0.49);
/// Significance of the lack of fast responses that raises an alarm, as a negative log-probability;
/// it increases with the number of agents, as each of them may err.
const ALARM_THRESHOLD: f64 = 6.0;
/// Margin by which the significance of slow responses must exceed the agreement threshold, which
/// covers joint errors of the agents that must agree, as a negative log-probability.
const AGREED_THRESHOLD: f64 = 1.0;
/// Ratio of arriving requests to the baseline from which on the load may be what slows responses
/// down.
const MAX_ARRIVAL_GROWTH: f64 = 1.2;
/// Share of the fleet's full load below which a lack of capacity slows all responses down.
const MIN_FLEET_CAPACITY: f64 = 0.85;

/// Recent latencies relative to the baseline, over all classes.
struct FleetLatency {
    /// Share of recent responses that are faster than the median of the baseline.
    fast_share: f64,
    /// Ratio of the recent mean latency to the baseline's.
    ratio: f64,
    /// Effective number of responses in this comparison: the product of both sample sizes divided by
    /// their sum, because either sample may be small.
    samples: f64,
}

/// Share of fast responses of one build.
struct FastShare {
    share: f64,
    /// Significance of the deviation from one half, as a negative log-probability.
    significance: f64,
}

impl FastShare {
    fn of(counts: &SpeedCounts) -> FastShare {
        let (min, max) = FAST_SHARE_RANGE;
        let share = (counts.fast / counts.answers.max(1.0)).clamp(min, max);
        FastShare {
            share,
            significance: chernoff_bound_of_fair_coin(counts.answers, share),
        }
    }
}

impl Balancer {
    /// Counts each attempt once as faster or slower than the median of its class.
    ///
    /// An attempt in flight for longer than the median counts as slow at once: if everything is
    /// slow, the slowest responses arrive last, when many of their clients have already left.
    pub(super) fn count_speed(&mut self, id: u64, number: usize, elapsed: Duration) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let attempt = &mut request.attempts[number];
        let endpoint = self.fleet.endpoint(attempt.endpoint);
        let median = &mut self.classes[request.class].latency.median;
        let added_latency = self.cross_zone.added_latency(endpoint.zone);
        let is_fast = elapsed.as_secs_f64() <= *median + added_latency;
        if !endpoint.runs_warm(attempt.build) || !attempt.count_speed_once(is_fast) {
            return;
        }
        let mut builds = self.fleet.index().builds();
        if !builds.any(|build| self.rollout.is_canary(build)) {
            *median *= if is_fast {
                MEDIAN_STEP_DOWN
            } else {
                MEDIAN_STEP_UP
            };
            return;
        }
        let latency = &mut self.evaluation.latency;
        if self.rollout.is_newest(attempt.build) {
            latency.newest.record(is_fast);
        } else if endpoint.zone == self.parameters.zone {
            latency.earlier.record(is_fast);
        }
    }

    /// Updates whether the newest build slows down the fleet, `age` after its newest start.
    ///
    /// Guards against a build that slows down endpoints of both builds. Does harm by holding a good
    /// build if everything is slow by chance.
    pub(super) fn update_latency_regression(
        &mut self,
        now: Duration,
        status: &RolloutStatus,
        age: Duration,
    ) {
        let is_running_canary = status.phase == RolloutPhase::Canary
            && self.fleet.index().of_build(status.build).running > 0;
        self.count_in_flight(now);
        let is_fresh = age < EVALUATED_AFTER_START;
        let is_slow = is_fresh && self.is_fleet_slow();
        let is_overloaded = self.is_short_of_capacity(now);
        let latency = &mut self.evaluation.latency;
        latency.is_fleet_slower = is_slow && !is_overloaded;
        self.update_alarm(is_running_canary, is_overloaded, age);
    }

    /// Records the attempts in flight: the time they have been waiting, and that those beyond the
    /// median are not fast.
    fn count_in_flight(&mut self, now: Duration) {
        for class in &mut self.classes {
            class.in_flight_seconds = 0.0;
        }
        let resumed_at = self.clock.resumed_at;
        let mut waiting = Vec::new();
        for (id, request) in &self.requests {
            self.classes[request.class].in_flight_seconds +=
                request.in_flight_seconds(now, resumed_at);
            let in_flight = request.in_flight();
            waiting.extend(in_flight.map(|(number, a)| (*id, number, a.sent_at)));
        }
        for (id, number, sent_at) in waiting {
            self.count_speed(id, number, now.saturating_sub(sent_at.max(resumed_at)));
        }
    }

    /// Whether all recent responses are slow compared with the baseline, with enough significance
    /// for one of several agents that must agree.
    ///
    /// Checks the mean and, because a few slow endpoints do not change it, the share of fast
    /// responses. Guards against regressions for which no single agent has enough evidence to hold.
    fn is_fleet_slow(&self) -> bool {
        let latency = compare_with_baseline(&self.classes);
        let significance = if latency.samples < MIN_OUTCOMES {
            0.0
        } else {
            chernoff_bound_of_mean(latency.samples, latency.ratio / TOLERATED_LATENCY_RATIO)
        };
        let threshold = AGREED_THRESHOLD + self.parameters.rollout.agreement_threshold;
        latency.fast_share < MIN_FAST_SHARE && significance > threshold
    }

    /// Whether responses may be slow because of the load. During an in-place rollout, endpoints
    /// that are still warming up are missing capacity, which slows down all responses. So does a
    /// load peak that many agents share. May overlook a bad build during a load peak.
    fn is_short_of_capacity(&self, now: Duration) -> bool {
        let rollout = &self.parameters.rollout;
        let is_warming = rollout.in_place && self.excess_capacity(now) < 0.0;
        let growth = self.evaluation.arrivals.growth();
        is_warming || rollout.needs_agreement && growth >= MAX_ARRIVAL_GROWTH
    }

    /// Capacity of the fleet beyond the minimum share of its full load, in full loads of one
    /// endpoint; negative if it lacks capacity.
    pub(super) fn excess_capacity(&self, now: Duration) -> f64 {
        let index = self.fleet.index();
        let warm = index.total().warm as f64 * (1.0 - MIN_FLEET_CAPACITY);
        let warming = index.sets().warming();
        self.fleet.count_scanned(warming.len());
        let shares = warming
            .iter()
            .map(|endpoint| self.slow_start_share(now, self.fleet.endpoint(*endpoint)));
        warm + shares.map(|share| share - MIN_FLEET_CAPACITY).sum::<f64>()
    }

    /// Updates the latency alarm, which holds a canary at once and rolls back an in-place canary if
    /// the alarm lasts.
    ///
    /// The alarm is raised if fast responses of the earlier build are gone soon after more of the
    /// canary has started; a lack of the canary's own fast responses adds to the significance. Slow
    /// endpoints or a slow network would not affect the faster half of the responses. The alarm is
    /// also raised if only the canary's fast responses are nearly all gone, as it then needs more
    /// work than the earlier build.
    fn update_alarm(&mut self, is_running_canary: bool, is_overloaded: bool, age: Duration) {
        let threshold = ALARM_THRESHOLD + self.parameters.agents.ln();
        let latency = &mut self.evaluation.latency;
        let earlier = FastShare::of(&latency.earlier);
        let newest = FastShare::of(&latency.newest);
        let is_newest_significant = newest.significance > threshold;
        latency.is_newest_slower |= is_running_canary
            && newest.share < earlier.share * SLOWER_SHARE_RATIO
            && is_newest_significant;
        let is_newest_slow = newest.share < MIN_FAST_SHARE * SLOW_CANARY_FACTOR
            && earlier.share > MIN_FAST_SHARE * FAST_EARLIER_FACTOR
            && is_newest_significant;
        let newest_evidence = if newest.share < MIN_FAST_SHARE {
            newest.significance
        } else {
            0.0
        };
        let is_sudden = age < SETTLED_AFTER_START
            && !is_overloaded
            && earlier.share < MIN_FAST_SHARE
            && earlier.significance + newest_evidence > threshold;
        let lowest_share = earlier.share.min(newest.share * ALARM_CANARY_FACTOR);
        let is_lasting = latency.alarm && lowest_share < MIN_FAST_SHARE * ALARM_END_FACTOR;
        latency.alarm = is_running_canary && (is_sudden || is_newest_slow || is_lasting);
    }
}

/// Compares recent latencies with the baseline over all classes, in units of the latency
/// objectives, because the small baseline of a single class says little. The samples are censored,
/// so the means are the total time waited divided by the number of responses.
fn compare_with_baseline(classes: &[ClassState]) -> FleetLatency {
    let mut slow = 0.0;
    let mut recent_answers = 1e-9;
    let mut recent_time = 0.0;
    let mut baseline_answers = 1e-9;
    let mut baseline_time = 1e-9;
    for class in classes.iter().filter(|c| c.rules.latency_objective > 0.0) {
        let objective = class.rules.latency_objective;
        let recent = &class.recent;
        let baseline = &class.baseline;
        if !recent.histogram.is_empty() {
            let above_median = baseline.histogram.bucket_above_median();
            slow += recent.histogram.total_from(above_median);
        }
        let waited = (recent.unanswered_seconds + class.in_flight_seconds) * 1000.0;
        recent_answers += recent.histogram.total();
        recent_time += (recent.histogram.sum_millis() + waited) / objective;
        baseline_answers += baseline.histogram.total();
        baseline_time +=
            (baseline.histogram.sum_millis() + baseline.unanswered_seconds * 1000.0) / objective;
    }
    FleetLatency {
        fast_share: 1.0 - slow / recent_answers,
        ratio: recent_time / recent_answers / (baseline_time / baseline_answers),
        samples: recent_answers * baseline_answers / (recent_answers + baseline_answers),
    }
}
