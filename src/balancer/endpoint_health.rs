//! Endpoint health: what the responses of an endpoint, and missing responses, say about it.

use super::endpoint_weights::ENDPOINT_TYPE_GAIN;
use super::evidence::MIN_OUTCOMES;
use super::{Balancer, EVALUATION_INTERVAL};
use crate::interface::{AttemptEnd, EndpointState, Outcome};
use crate::model::EndedAttempt;
use crate::stats::OutcomeCounts;
use std::time::Duration;

/// Number of evaluation intervals by which a poll must be overdue to count as a stall of this
/// agent.
const STALL_INTERVALS: u32 = 2;
/// Number of outcomes of the earlier build that count per outcome of the newest build in the same
/// period.
const PEERS_PER_ATTEMPT: f64 = 3.0;
/// Gain of an endpoint's failure rate per failure.
const FAILURE_RATE_GAIN: f64 = 0.15;
/// Decay factor of an endpoint's failure rate per success.
pub(super) const FAILURE_RATE_DECAY: f64 = 0.85;
/// Failure rate above which an endpoint is ejected.
const EJECTION_FAILURE_RATE: f64 = 0.3;
/// Number of consecutive faults above which an endpoint is ejected.
const EJECTION_FAULTS: u32 = 1;
/// Number of consecutive faults above which an endpoint that responds again is assumed to have
/// restarted.
const RESTART_FAULTS: u32 = 2;
/// Duration of the first ejection.
const MIN_EJECTION: Duration = Duration::from_millis(500);
/// Maximum duration of an ejection, except for unreachable endpoints.
const MAX_EJECTION: Duration = Duration::from_millis(4000);
/// Factor by which each ejection is longer than the previous one.
const EJECTION_GROWTH: u32 = 2;
/// Maximum duration of the ejection of an unreachable endpoint, as a multiple of the maximum
/// ejection.
const MAX_UNREACHABLE_EJECTIONS: u32 = 2;
/// Time after a failure of a failing endpoint of the earlier build during which the failures of
/// failing endpoints of the newest build do not count against that build.
const FAULTY_ENDPOINTS_FOR: Duration = Duration::from_millis(8000);
/// Maximum number of samples over which the mean latency of a class is averaged.
const MAX_LATENCY_SAMPLES: f64 = 50.0;
/// Multiple of the mean latency at which single latencies are capped.
const MAX_LATENCY_RATIO: f64 = 10.0;
/// Factor on a high quantile for each value above it.
const HIGH_QUANTILE_STEP_UP: f64 = 1.135;
/// Factor on a high quantile for each value below it. Both factors balance if about one value in
/// ten is above the quantile.
const HIGH_QUANTILE_STEP_DOWN: f64 = 0.985;
/// Bounds of a high quantile, in seconds or as a ratio.
const HIGH_QUANTILE_RANGE: (f64, f64) = (0.001, 1000.0);

/// The end of an attempt, with the context in which it counts as evidence.
struct Observation {
    now: Duration,
    /// Index of the endpoint.
    endpoint: usize,
    build: u32,
    class: usize,
    outcome: Outcome,
    /// Time since the attempt was sent.
    elapsed: Duration,
    /// Whether the build is the newest one.
    is_newest: bool,
    is_canary: bool,
    /// Whether the newest build is being evaluated.
    is_evaluating: bool,
    /// Whether this agent has just resumed after a stall.
    after_stall: bool,
    /// Weight of a failure as evidence against the endpoint, 0 to 1.
    fault_weight: f64,
    /// Weight of the outcome among the newest build's peers, 0 to 1.
    peer_weight: f64,
}

impl Balancer {
    /// Detects that this agent has stalled, and restarts the silence of all endpoints with attempts
    /// in flight.
    ///
    /// Prevents a stall of the agent from counting against endpoints: what it observes right after
    /// one says nothing about them. Does harm if an endpoint has gone silent during the stall,
    /// which is detected later.
    pub(super) fn detect_stall(&mut self, now: Duration) {
        let overdue = self.clock.next_evaluation + EVALUATION_INTERVAL * STALL_INTERVALS;
        if now <= overdue || self.clock.resumed_at >= now {
            return;
        }
        self.clock.resumed_at = now;
        let awaiting_response: Vec<usize> = self
            .fleet
            .index()
            .sets()
            .awaiting_response()
            .iter()
            .copied()
            .collect();
        self.fleet.count_scanned(awaiting_response.len());
        for index in awaiting_response {
            let mut endpoint = self.fleet.endpoint_mut(index);
            let silent_since = &mut endpoint.health.silent_since;
            *silent_since = silent_since.map(|_| now);
        }
    }

    /// Records the end of an attempt as evidence on its endpoint, class, hardware type and build.
    pub(super) fn record_attempt(
        &mut self,
        now: Duration,
        ended: &EndedAttempt,
        end: &AttemptEnd,
        fault_weight: f64,
    ) {
        let is_evaluating = self.is_evaluating(now);
        let mut endpoint = self.fleet.endpoint_mut(ended.endpoint);
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        if endpoint.build != ended.build || endpoint.state != EndpointState::Running {
            return;
        }
        drop(endpoint);
        let is_newest = self.rollout.is_newest(ended.build);
        self.evaluation.peers.count_attempt(is_newest);
        let observation = Observation {
            now,
            endpoint: ended.endpoint,
            build: ended.build,
            class: ended.class,
            outcome: end.outcome,
            elapsed: end.latency,
            is_newest,
            is_canary: self.rollout.is_canary(ended.build),
            is_evaluating,
            after_stall: self.clock.resumed_at == now,
            fault_weight,
            peer_weight: self.peer_weight(is_newest),
        };
        let is_lost = self.record_liveness(&observation);
        self.record_wait(&observation);
        match observation.outcome {
            Outcome::Failed => self.record_failure(&observation),
            Outcome::Succeeded => self.record_success(&observation),
            _ => {}
        }
        self.eject_if_faulty(&observation, is_lost);
    }

    /// Weight of an outcome among the newest build's peers. Outcomes of the earlier build count in
    /// proportion to the traffic of the newest one in the same period.
    fn peer_weight(&self, is_newest: bool) -> f64 {
        if is_newest {
            return 0.0;
        }
        let peers = &self.evaluation.peers;
        (PEERS_PER_ATTEMPT * peers.recent_newest / peers.recent_earlier.max(1.0)).min(1.0)
    }

    /// Records whether the endpoint has responded. Returns whether it seems to be lost.
    fn record_liveness(&mut self, observation: &Observation) -> bool {
        let is_fault = match observation.outcome {
            Outcome::Succeeded | Outcome::Failed | Outcome::Rejected => {
                self.record_answer(observation);
                false
            }
            Outcome::NotSent => false,
            Outcome::ConnectFailed | Outcome::ConnectionLost => true,
            Outcome::TimedOut | Outcome::Cancelled => self.was_silent(observation),
        };
        let is_repeatedly_lost = is_fault && self.record_fault(observation);
        // Without attempts in flight, no response is due: after its ejection, a single request
        // finds out whether the endpoint is back.
        let mut endpoint = self.fleet.endpoint_mut(observation.endpoint);
        if endpoint.in_flight == 0 {
            endpoint.health.silent_since = None;
        }
        is_repeatedly_lost || observation.outcome == Outcome::ConnectFailed
    }

    /// Records a response. An endpoint that responds after several faults may have restarted before
    /// the list reports it, so it returns to slow start.
    fn record_answer(&mut self, observation: &Observation) {
        let endpoint = self.fleet.endpoint(observation.endpoint);
        if endpoint.health.consecutive_faults > RESTART_FAULTS && endpoint.is_warm() {
            let attempts = self.random_fraction();
            self.return_to_slow_start(observation.endpoint, observation.now, attempts);
        }
        let mut endpoint = self.fleet.endpoint_mut(observation.endpoint);
        endpoint.health.silent_since = Some(observation.now);
        endpoint.health.consecutive_faults = 0;
    }

    /// Whether the endpoint has been silent since the attempt was sent. If it has responded to
    /// other requests since, only this request was slow.
    fn was_silent(&self, observation: &Observation) -> bool {
        let health = &self.fleet.endpoint(observation.endpoint).health;
        let latest = observation.now + self.parameters.timer_granularity;
        let is_silent_since = |since: Duration| since + observation.elapsed <= latest;
        !observation.after_stall && health.silent_since.is_some_and(is_silent_since)
    }

    /// Counts a lost attempt. Returns whether several were lost in a row.
    fn record_fault(&mut self, observation: &Observation) -> bool {
        let mut endpoint = self.fleet.endpoint_mut(observation.endpoint);
        endpoint.health.consecutive_faults += 1;
        let is_repeatedly_lost = endpoint.health.consecutive_faults > EJECTION_FAULTS;
        drop(endpoint);
        let lost = OutcomeCounts {
            lost: 1.0,
            ..OutcomeCounts::default()
        };
        self.outcomes
            .add(observation.endpoint, observation.class, &lost);
        let peers = &mut self.evaluation.peers.outcomes[observation.class];
        peers.lost += observation.peer_weight;
        is_repeatedly_lost
    }

    /// Counts responses of the class, and the time waited for responses that never came.
    fn record_wait(&mut self, observation: &Observation) {
        let class = &mut self.classes[observation.class];
        match observation.outcome {
            Outcome::TimedOut | Outcome::Cancelled if !observation.after_stall => {
                class.recent.unanswered_seconds += observation.elapsed.as_secs_f64();
            }
            Outcome::Succeeded | Outcome::Failed => class.answered += 1.0,
            _ => {}
        }
    }

    /// Records a failed response as evidence against the endpoint and its build.
    ///
    /// While endpoints of the earlier build fail as well, an endpoint of the newest build that
    /// fails as badly does not count against its build: this prevents a rollback because of
    /// hardware that fails whatever it runs. May keep a bad build running for that time.
    fn record_failure(&mut self, observation: &Observation) {
        let weight = observation.fault_weight;
        let mut endpoint = self.fleet.endpoint_mut(observation.endpoint);
        let rate = &mut endpoint.health.failure_rate;
        *rate += FAILURE_RATE_GAIN * weight * (1.0 - *rate);
        let is_failing = *rate > EJECTION_FAILURE_RATE;
        drop(endpoint);
        let is_endpoint_fault = observation.is_newest
            && observation.now < self.evaluation.faulty_endpoints_until
            && is_failing;
        if is_endpoint_fault {
            self.outcomes.clear_failed(observation.endpoint);
        } else {
            let failed = OutcomeCounts {
                failed: weight,
                ..OutcomeCounts::default()
            };
            self.outcomes
                .add(observation.endpoint, observation.class, &failed);
        }
        let peers = &mut self.evaluation.peers.outcomes[observation.class];
        peers.failed += observation.peer_weight * weight;
        if !observation.is_newest && is_failing {
            self.evaluation.faulty_endpoints_until = observation.now + FAULTY_ENDPOINTS_FOR;
        }
    }

    fn record_success(&mut self, observation: &Observation) {
        let mut endpoint = self.fleet.endpoint_mut(observation.endpoint);
        endpoint.health.failure_rate *= FAILURE_RATE_DECAY;
        let is_warm = endpoint.is_warm();
        drop(endpoint);
        let succeeded = OutcomeCounts {
            succeeded: 1.0,
            ..OutcomeCounts::default()
        };
        self.outcomes
            .add(observation.endpoint, observation.class, &succeeded);
        self.evaluation.peers.outcomes[observation.class].succeeded += observation.peer_weight;
        if is_warm {
            self.slow_start.completed += 1.0;
        }
        if !observation.after_stall {
            self.observe_latency(observation, is_warm);
        }
        self.readmit(observation.endpoint);
    }

    fn observe_latency(&mut self, observation: &Observation, is_warm: bool) {
        let class = &mut self.classes[observation.class];
        let latency = observation.elapsed.as_secs_f64();
        let ratio = (latency / class.latency.mean).min(MAX_LATENCY_RATIO);
        update_high_quantile(&mut class.latency.high_quantile, latency);
        let endpoint = self.fleet.endpoint(observation.endpoint);
        let mut endpoint_latency = self.endpoint_latency(endpoint);
        update_high_quantile(&mut endpoint_latency, ratio);
        self.set_endpoint_latency(observation.endpoint, endpoint_latency);
        if is_warm {
            self.observe_warm_latency(observation, latency, ratio);
        }
        self.update_highest_latency(observation.class);
    }

    fn observe_warm_latency(&mut self, observation: &Observation, latency: f64, ratio: f64) {
        let (endpoint, hardware) = self.fleet.endpoint_and_type_mut(observation.endpoint);
        let zone = endpoint.zone;
        drop(endpoint);
        let class = &mut self.classes[observation.class];
        hardware.latency_ratio.update(ratio, ENDPOINT_TYPE_GAIN);
        // Subtracts the latency of the round trip to other zones, which would count against a build
        // that runs only there. Divides by the relative latency of the hardware type, because
        // faults may leave an agent only the slower hardware.
        let own_latency = (latency - self.cross_zone.added_latency(zone)).max(0.0);
        let sample = if observation.is_evaluating {
            &mut class.recent
        } else {
            &mut class.baseline
        };
        sample
            .histogram
            .record(own_latency / hardware.relative_latency);
        if observation.is_canary {
            return;
        }
        let mean = &mut class.latency.mean;
        class.latency.samples = (class.latency.samples + 1.0).min(MAX_LATENCY_SAMPLES);
        *mean += (latency.min(*mean * MAX_LATENCY_RATIO) - *mean) / class.latency.samples;
        self.observe_zone_latency(zone, ratio);
    }

    /// Ends the ejection of an endpoint that responds successfully again.
    fn readmit(&mut self, index: usize) {
        let mut endpoint = self.fleet.endpoint_mut(index);
        let is_healthy = endpoint.health.failure_rate < EJECTION_FAILURE_RATE;
        let ejection = &mut endpoint.ejection;
        if !is_healthy || ejection.until.take().is_none() {
            return;
        }
        ejection.duration = MIN_EJECTION;
        self.outcomes.set_ejected(index, false);
        if std::mem::take(&mut ejection.logged) {
            let line = format!("readmitted: endpoint {index}");
            self.output.log_lines.push(line);
        }
    }

    /// Ejects an endpoint that is lost or fails often, for longer each time. An endpoint of the
    /// newest build must have had enough outcomes to be ejected for failures; otherwise that build
    /// would never be evaluated.
    fn eject_if_faulty(&mut self, observation: &Observation, is_lost: bool) {
        let duration_if_unreachable = self.unreachable_ejection(observation.outcome);
        let index = observation.endpoint;
        let mut endpoint = self.fleet.endpoint_mut(index);
        let is_known =
            !observation.is_newest || self.outcomes.total_of(index).total() >= MIN_OUTCOMES;
        let is_failing = is_known && endpoint.health.failure_rate > EJECTION_FAILURE_RATE;
        let ejection = &mut endpoint.ejection;
        let may_eject = ejection.until.is_none_or(|until| observation.now >= until);
        if !may_eject || !is_lost && !is_failing {
            return;
        }
        let is_repeated = ejection.duration > MIN_EJECTION;
        if is_repeated && !std::mem::replace(&mut ejection.logged, true) {
            self.output.log_lines.push(format!(
                "ejected: endpoint {index}, build {}, after {:?}",
                observation.build, observation.outcome
            ));
        }
        let duration = ejection.duration.max(duration_if_unreachable);
        ejection.until = Some(observation.now + duration);
        self.outcomes.set_ejected(index, true);
        ejection.duration = (ejection.duration * EJECTION_GROWTH)
            .clamp(MIN_EJECTION * EJECTION_GROWTH, MAX_EJECTION);
    }

    /// Minimum duration of an ejection after this outcome.
    ///
    /// For an unreachable endpoint it is the time of one round over all endpoints. Otherwise, on an
    /// agent with little traffic, the ejection would always have ended by the endpoint's next turn.
    /// Does harm if the endpoint is back at once: it waits for a whole round.
    fn unreachable_ejection(&self, outcome: Outcome) -> Duration {
        if outcome != Outcome::ConnectFailed {
            return MIN_EJECTION;
        }
        let round = self.fleet.len() as f64 / self.admission.answer_rate.max(1.0);
        Duration::from_secs_f64(round).clamp(MIN_EJECTION, MAX_EJECTION * MAX_UNREACHABLE_EJECTIONS)
    }
}

/// Moves the estimate of a high quantile one step up or down towards `value`, within its range.
pub(super) fn update_high_quantile(high_quantile: &mut f64, value: f64) {
    let step = if value > *high_quantile {
        HIGH_QUANTILE_STEP_UP
    } else {
        HIGH_QUANTILE_STEP_DOWN
    };
    let (min, max) = HIGH_QUANTILE_RANGE;
    *high_quantile = (*high_quantile * step).clamp(min, max);
}
