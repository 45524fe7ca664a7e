//! Whether the newest build slows the whole fleet, old endpoints and new ones alike.
//!
//! Two measures: the share of fast answers, by build, against what was usual before the canary; and
//! all latencies of late against the baseline, by their mean.

use super::build_evaluation::SETTLED_AFTER_START;
use super::evidence::{EVALUATED_AFTER_START, MIN_OUTCOMES};
use super::Balancer;
use crate::interface::{RolloutPhase, RolloutStatus};
use crate::model::{ClassState, SpeedCounts};
use crate::stats::{chernoff_bound_of_fair_coin, chernoff_bound_of_mean};
use std::time::Duration;

/// Multiple of the usual latency that is excused: keys without affinity, young hardware, long
/// tails.
pub(super) const TOLERATED_LATENCY_RATIO: f64 = 1.4;
/// Step down of the median of a class, each answer below it while no canary runs.
const MEDIAN_STEP_DOWN: f64 = 0.97;
/// Step up of the median of a class, each answer above it while no canary runs.
const MEDIAN_STEP_UP: f64 = 1.03;
/// Share of fast answers, where half is usual, below which they count as gone.
const MIN_FAST_SHARE: f64 = 0.3;
/// The same for a canary that alone is slow, as a part of that share.
const SLOW_CANARY_FACTOR: f64 = 0.7;
/// The share above which the earlier build is as fast as usual, as a multiple of that share.
const FAST_EARLIER_FACTOR: f64 = 1.4;
/// The share above which an alarm ends, as a multiple of that share.
const ALARM_END_FACTOR: f64 = 1.2;
/// Factor on the canary's own share where an alarm ends.
const ALARM_CANARY_FACTOR: f64 = 1.4;
/// Part of the earlier build's share of fast answers below which a canary is slower.
const SLOWER_SHARE_RATIO: f64 = 0.8;
/// Bounds of a share of fast answers.
const FAST_SHARE_RANGE: (f64, f64) = (0.01, 0.49);
/// How far beyond chance the fast answers must be gone, as a logarithm; more the more agents look.
const ALARM_THRESHOLD: f64 = 6.0;
/// How far beyond the errors of as many agents as must agree all answers must be slow, as a
/// logarithm.
const AGREED_THRESHOLD: f64 = 1.0;
/// Growth of the requests that arrive from which on the load may be what slows answers.
const MAX_ARRIVAL_GROWTH: f64 = 1.2;
/// Part of the fleet's full load below which all answers are slow for the lack of capacity.
const MIN_FLEET_CAPACITY: f64 = 0.85;

/// Latencies of late against the baseline, over all classes.
struct FleetLatency {
    /// Share of answers of late that are faster than the median of the baseline.
    fast_share: f64,
    /// Mean latency of late against the baseline's.
    ratio: f64,
    /// Answers that this is known from, as both samples are small.
    samples: f64,
}

/// The share of fast answers of one build.
struct FastShare {
    share: f64,
    /// How far beyond chance it is below one half, as a logarithm.
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
    /// Counts once for each attempt whether it is faster than the median of its class.
    ///
    /// What is in flight for longer is not: where all is slow, the slowest answers come last, and
    /// many of their clients have left by then.
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

    /// Sets whether the newest build slows the fleet, `age` after its newest start.
    ///
    /// Guards against a build that slows old and new endpoints alike. Holds a good one where all is
    /// slow by chance.
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

    /// Counts what is in flight: the time it has been waiting, and that it is not fast.
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

    /// Whether all answers of late are slow against the baseline, surely enough for one of several
    /// agents that must agree: by their mean and, as some slow endpoints leave it alone, by the
    /// share of fast ones. Guards where no single agent sees enough to hold.
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

    /// Whether answers may be slow for the load. In place, what is still warming up is missed: its
    /// load slows all, as a rush does that many agents share. May pass over a bad build in a rush.
    fn is_short_of_capacity(&self, now: Duration) -> bool {
        let rollout = &self.parameters.rollout;
        let is_warming = rollout.in_place && self.excess_capacity(now) < 0.0;
        let growth = self.evaluation.arrivals.growth();
        is_warming || rollout.needs_agreement && growth >= MAX_ARRIVAL_GROWTH
    }

    /// Full loads of endpoints that the fleet bears beyond the least part of it.
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

    /// Sets the alarm. Right after more of the canary came up, the fast answers are gone, of the
    /// canary too: held at once, and rolled back where it takes others' places if that lasts. Slow
    /// endpoints or a slow network leave the fast half. Where nearly all of the canary's own are
    /// gone, it needs more work than the earlier build.
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

/// Compares the latencies of late with the baseline over all classes, in latency objectives, as a
/// class's own small baseline says little. The means are those of samples cut short: all time
/// waited, by the answers that came.
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
