//! The routing, retry and rollout decisions of one agent.
//!
//! A caller asks [`Balancer::route`] where to forward a request, [`Balancer::on_attempt_end`] what
//! to do after an attempt, and [`Balancer::poll`] which periodic work is due and when to poll
//! again. This file holds most of the public API; each submodule implements one concern.

mod admission;
mod affinity;
mod build_evaluation;
mod candidate_weights;
mod candidates;
mod cross_zone;
mod endpoint_draw;
mod endpoint_health;
mod endpoint_list;
mod endpoint_weights;
mod evidence;
mod exposure;
mod hedging;
mod latency_regression;
mod load_reports;
mod outcome_evidence;
mod outcome_regression;
mod parameters;
mod peer_medians;
mod platform_evidence;
mod preference;
mod reload;
mod request_class;
mod retries;
mod rollout_votes;
mod routing;
mod selection;
mod slow_start;

#[cfg(test)]
#[path = "../../tests/unit/balancer/mod.rs"]
mod tests;

pub use parameters::list_call_interval;

use crate::interface::{
    AttemptEnd, Decision, Outcome, PollResult, Request, RolloutPhase, RolloutStatus, Settings,
};
use crate::model::{
    ActiveRequest, AdmissionState, AffinityState, BuildState, ClassState, ClockState,
    CrossZoneState, EvaluationState, Fleet, LatencyRegression, ListState, PeerLatencies,
    PeerOutcomes, PendingOutput, RetryState, RolloutState, SlowStartState, VoteState,
};
use crate::stats::{DecayingCounts, MaxTree, OutcomeCounts};
use evidence::MIN_OUTCOMES;
use outcome_evidence::OutcomeEvidence;
use parameters::Parameters;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval at which evidence is evaluated and the limit of attempts in flight is updated.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between two calls for the endpoint list or between two votes; failures extend it.
const MIN_CALL_GAP: Duration = Duration::from_millis(250);

/// Expected share of agents that vote to roll back at once where the others only vote to hold at
/// first.
const ROLL_BACK_FIRST_SHARE: f64 = 0.5;

/// Makes the routing, retry and rollout decisions of one agent.
///
/// Its state is grouped by concern, and each group is changed mainly by the submodule of that
/// concern.
pub struct Balancer {
    parameters: Parameters,
    rng: Pcg64Mcg,
    classes: Vec<ClassState>,
    /// High latency of each class in seconds, to look up the highest one.
    highest_latency: MaxTree,
    requests: BTreeMap<u64, ActiveRequest>,
    pub(crate) fleet: Fleet,
    pub(crate) rollout: RolloutState,
    admission: AdmissionState,
    affinity: AffinityState,
    clock: ClockState,
    cross_zone: CrossZoneState,
    evaluation: EvaluationState,
    list: ListState,
    outcomes: OutcomeEvidence,
    output: PendingOutput,
    peer_latencies: PeerLatencies,
    retries: RetryState,
    slow_start: SlowStartState,
    votes: VoteState,
}

impl Balancer {
    /// Creates a balancer that knows no endpoint and no build yet.
    pub fn new(now: Duration, settings: Settings) -> Balancer {
        let mut rng = Pcg64Mcg::seed_from_u64(settings.seed);
        let parameters = Parameters::from(&settings);
        let votes = VoteState {
            rolls_back_first: rng.gen_bool(ROLL_BACK_FIRST_SHARE),
            ..VoteState::default()
        };
        let list = ListState {
            next_call: parameters.list_poll_interval.map(|_| {
                now + parameters
                    .list_call_interval()
                    .mul_f64(rng.gen_range(0.0..1.0))
            }),
            ..ListState::default()
        };
        let classes: Vec<ClassState> = settings
            .classes
            .iter()
            .map(request_class::initial)
            .collect();
        let mut balancer = Balancer {
            highest_latency: hedging::highest_latency(&classes),
            classes,
            requests: BTreeMap::new(),
            fleet: Fleet::default(),
            rollout: RolloutState::default(),
            admission: AdmissionState {
                tenant_load: DecayingCounts::new(settings.tenants.len()),
                ..AdmissionState::default()
            },
            affinity: AffinityState::default(),
            clock: ClockState::default(),
            cross_zone: CrossZoneState::default(),
            evaluation: EvaluationState {
                peers: PeerOutcomes {
                    outcomes: vec![OutcomeCounts::default(); settings.classes.len()],
                    ..PeerOutcomes::default()
                },
                ..EvaluationState::default()
            },
            list,
            outcomes: OutcomeEvidence::new(),
            output: PendingOutput::default(),
            peer_latencies: PeerLatencies::default(),
            retries: retries::initial(),
            slow_start: slow_start::initial(),
            votes,
            parameters,
            rng,
        };
        balancer.summarize_classes();
        balancer
    }

    /// Registers a request that has arrived; [`Balancer::route`] decides on it under the same `id`.
    pub fn on_request(&mut self, now: Duration, id: u64, request: Request) {
        self.refill_retry_budget();
        if !request.is_retry {
            self.evaluation.arrivals.arrived += 1.0;
        }
        self.refill_exposure_tokens(request.class);
        self.count_tenant(request.tenant);
        let affinity_key = self.affinity_key(request.key);
        let request = ActiveRequest::new(now, &request, affinity_key);
        self.requests.insert(id, request);
    }

    /// Applies a status report of the rollout platform on the newest build. A report on a build
    /// older than the newest known one is ignored.
    pub fn update_rollout(&mut self, status: RolloutStatus) {
        let known = self.rollout.status.as_ref().map(|s| s.build);
        if known > Some(status.build) {
            return;
        }
        if known != Some(status.build) {
            self.regroup_peers(status.build);
            self.begin_evaluation(status.build);
        }
        self.build_mut(status.build);
        self.rollout.status = Some(status);
        self.set_exposure_caps();
    }

    /// Starts the evaluation of a new newest build: discards the evidence on the previous one and,
    /// if that was released, takes its latencies into the baseline.
    fn begin_evaluation(&mut self, build: u32) {
        let status = self.rollout.status.as_ref();
        let released = status.is_some_and(|s| s.phase == RolloutPhase::Released);
        for class in &mut self.classes {
            class.freeze_baseline(released, MIN_OUTCOMES);
        }
        self.evaluation.latency = LatencyRegression::default();
        self.evaluation
            .peers
            .outcomes
            .fill(OutcomeCounts::default());
        self.outcomes.set_newest_build(build);
        self.fleet.count_scanned(self.fleet.len());
        self.affinity.sticky_builds.retain(|_, b| *b >= build);
        let earlier = self.rollout.build_before(build);
        self.rollout.builds.retain(|b, _| *b >= earlier);
    }

    /// Sets when the lease of the endpoint list expires; from then on no request is forwarded.
    /// `None` means that the list does not expire.
    pub fn set_list_valid_until(&mut self, until: Option<Duration>) {
        self.list.valid_until = until;
    }

    /// Decides what to do with a request now: forward, defer, reject or fail it, cancel its
    /// attempt, or keep waiting. A request that is unknown or closed gets [`Decision::Await`].
    pub fn route(&mut self, now: Duration, id: u64) -> Decision {
        self.detect_stall(now);
        let Some(request) = self.requests.get(&id).filter(|r| !r.closed) else {
            return Decision::Await;
        };
        let limits = self.limits(now, request);
        if request.in_flight().next().is_some() {
            return self.recheck_attempt(now, id, &limits);
        }
        if self.is_rejected_at_once(now, request, &limits) {
            return self.give_up(now, id);
        }
        self.start_attempt(now, id, &limits)
    }

    /// Whether a planned attempt may still be written, as its connection may have been established
    /// late. Checks the deadline, the lease of the endpoint list and the deduplication of the
    /// request's other attempts.
    pub fn attempt_allowed(&self, now: Duration, id: u64, attempt: usize) -> bool {
        let Some(request) = self.requests.get(&id).filter(|r| now < r.deadline) else {
            return false;
        };
        let Some(planned) = request.attempts.get(attempt) else {
            return false;
        };
        let Some(endpoint) = self.fleet.get(planned.endpoint) else {
            return false;
        };
        let idempotency = self.classes[request.class].rules.idempotency;
        let written_at = now + self.parameters.timer_granularity;
        self.is_list_valid(now)
            && request.is_deduplicated_at(attempt, idempotency, endpoint, written_at)
    }

    /// Records the end of an attempt and decides what to do with its request. An attempt that is
    /// unknown or has already ended gets [`Decision::Await`].
    pub fn on_attempt_end(
        &mut self,
        now: Duration,
        id: u64,
        attempt: usize,
        end: AttemptEnd,
    ) -> Decision {
        self.detect_stall(now);
        let Some(ended) = self.end_attempt(id, attempt, end.outcome) else {
            return Decision::Await;
        };
        let fault_weight = self.attribute_fault(&ended, end.outcome);
        self.on_load_report(now, ended.endpoint, end.outcome, end.reported_load);
        if end.outcome == Outcome::Succeeded && self.clock.resumed_at < now {
            self.count_speed(id, attempt, end.latency);
        }
        self.record_attempt(now, &ended, &end, fault_weight);
        self.record_sticky_build(&ended, end.outcome);
        self.after_attempt(now, id, &end)
    }

    /// Runs the work that is due at `now` and returns its output, with the time of the next poll.
    pub fn poll(&mut self, now: Duration) -> PollResult {
        if now >= self.clock.next_evaluation {
            self.evaluate(now);
            self.clock.next_evaluation = now + EVALUATION_INTERVAL;
        }
        let open_watch = self.list.next_call.take_if(|at| now >= *at).is_some();
        let next_evaluation = self.clock.next_evaluation;
        let next_call = self.list.next_call;
        PollResult {
            next_poll: next_call.map_or(next_evaluation, |at| at.min(next_evaluation)),
            vote: self.next_vote(now),
            open_watch,
            load_report_requests: std::mem::take(&mut self.output.load_report_requests),
            log_lines: std::mem::take(&mut self.output.log_lines),
        }
    }

    /// Updates weights, slow-start quotas, the limit of attempts in flight and the rollout verdict
    /// from the evidence of the last interval.
    fn evaluate(&mut self, now: Duration) {
        self.update_slow_start_pace();
        self.update_endpoint_weights();
        self.update_slow_start_quotas(now);
        self.decay_evidence(now);
        self.update_remote_weight();
        self.update_limit(now);
        self.evaluate_canary(now);
    }

    /// Marks a request as answered. It is forgotten once it has no attempt in flight.
    pub fn close_request(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.closed = true;
        if request.in_flight().next().is_none() {
            self.requests.remove(&id);
        }
    }

    /// Number of endpoints scanned since the last reload, over all traversals: a measure of work
    /// that does not depend on a clock.
    pub fn endpoints_scanned(&self) -> u64 {
        self.fleet.scanned()
    }

    /// Number of decisions since the last reload that scanned all endpoints, because random draws
    /// found none that may take the request.
    pub fn full_walks(&self) -> u64 {
        self.fleet.full_walks()
    }

    /// Numbers of requests, endpoints, builds and keys with a sticky build that are kept in memory,
    /// in this order.
    pub fn retained_counts(&self) -> [usize; 4] {
        [
            self.requests.len(),
            self.fleet.len(),
            self.rollout.builds.len(),
            self.affinity.sticky_builds.len(),
        ]
    }

    /// Draws a random number in `[0, 1)`.
    fn random_fraction(&mut self) -> f64 {
        self.rng.gen_range(0.0..1.0)
    }

    /// State of a build; it is created if nothing is known of the build yet.
    fn build_mut(&mut self, number: u32) -> &mut BuildState {
        let classes = self.classes.len();
        let slots = self.parameters.exposure_slots(classes);
        let burst = self.parameters.rollout.exposure_burst;
        self.rollout
            .builds
            .entry(number)
            .or_insert_with(|| BuildState::new(classes, slots, burst))
    }
}
