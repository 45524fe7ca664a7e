//! The sole owner of the agent's `Balancer`. Every call to the balancer goes through
//! [`BalancerHandle`], which supplies the current time.

use crate::observability::counters::Counters;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tulipwall::*;
use tulipwall_discovery::clock::Clock;

/// Shared access to the balancer, its clock and the shadow evaluation.
///
/// Client connections (requests and ends of attempts) and the control tasks (endpoint list,
/// rollout, votes) write to it; the same tasks and the admin endpoint read it.
pub struct BalancerHandle {
    balancer: RefCell<Balancer>,
    clock: Rc<Clock>,
    counters: Rc<Counters>,
    next_request_id: Cell<u64>,
    rollout: RefCell<Option<RolloutStatus>>,
    rollout_revision: Cell<u64>, // number of changes of the rollout status so far
    shadow: RefCell<Option<ShadowEvaluator>>,
    shadowed_requests: RefCell<HashMap<u64, ShadowedRequest>>, // by id; empty without a shadow
}

/// The properties of an active request that the shadow evaluation needs.
#[derive(Clone, Copy)]
struct ShadowedRequest {
    class: usize,
    key: Option<u64>,
}

/// A request that the balancer has accepted, with the first decision about it.
pub struct AdmittedRequest {
    /// The balancer's number for the request, which all later calls about it must pass.
    pub id: u64,
    /// What to do with the request first.
    pub decision: Decision,
}

/// The result of an attempt, as it is reported to the balancer.
pub struct AttemptResult {
    /// The index of the attempt within its request, from 0.
    pub attempt: usize,
    /// When the balancer decided on the attempt, on the agent's clock.
    pub decided_at: Duration,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Whether the request already has its final response.
    pub request_closed: bool,
}

impl BalancerHandle {
    /// Creates a balancer with the given settings and without endpoints.
    pub fn new(settings: Settings, clock: Rc<Clock>, counters: Rc<Counters>) -> BalancerHandle {
        BalancerHandle {
            balancer: RefCell::new(Balancer::new(clock.now(), settings)),
            clock,
            counters,
            next_request_id: Cell::default(),
            rollout: RefCell::default(),
            rollout_revision: Cell::default(),
            shadow: RefCell::default(),
            shadowed_requests: RefCell::default(),
        }
    }

    /// Passes a new request to the balancer and returns its number and the first decision.
    pub fn on_request(&self, request: Request) -> AdmittedRequest {
        let id = self.next_request_id.get();
        self.next_request_id.set(id + 1);
        self.counters.requests_taken.increment();
        let now = self.clock.now();
        let shadowed = ShadowedRequest {
            class: request.class,
            key: request.key,
        };
        self.balancer.borrow_mut().on_request(now, id, request);
        if let Some(shadow) = self.shadow.borrow_mut().as_mut() {
            shadow.on_request(&self.balancer.borrow(), shadowed.class);
            self.shadowed_requests.borrow_mut().insert(id, shadowed);
        }
        let decision = self.balancer.borrow_mut().route(now, id);
        self.observe_decision(now, id, &decision);
        AdmittedRequest { id, decision }
    }

    /// Asks the balancer for another decision on an active request.
    pub fn route(&self, id: u64) -> Decision {
        let now = self.clock.now();
        let decision = self.balancer.borrow_mut().route(now, id);
        self.observe_decision(now, id, &decision);
        decision
    }

    /// Reports the end of an attempt to the balancer and returns the next decision on its request.
    pub fn on_attempt_end(&self, id: u64, result: AttemptResult) -> Decision {
        self.counters.attempt_ended(result.outcome);
        let now = self.clock.now();
        let end = AttemptEnd {
            outcome: result.outcome,
            latency: now.saturating_sub(result.decided_at),
            request_closed: result.request_closed,
            reported_load: None,
        };
        let decision = self
            .balancer
            .borrow_mut()
            .on_attempt_end(now, id, result.attempt, end);
        self.observe_decision(now, id, &decision);
        if result.request_closed {
            self.shadowed_requests.borrow_mut().remove(&id);
        }
        decision
    }

    /// Tells the balancer that the request needs no further attempts.
    pub fn close_request(&self, id: u64) {
        self.balancer.borrow_mut().close_request(id);
        self.shadowed_requests.borrow_mut().remove(&id);
    }

    /// Returns whether an attempt that the balancer has decided on may still be written to its
    /// endpoint.
    pub fn attempt_allowed(&self, id: u64, attempt: usize) -> bool {
        let now = self.clock.now();
        self.balancer.borrow().attempt_allowed(now, id, attempt)
    }

    /// Passes on the number of requests in flight that an endpoint reported.
    pub fn on_load_report(&self, endpoint: usize, load: f64) {
        let now = self.clock.now();
        self.balancer
            .borrow_mut()
            .on_load_report(now, endpoint, Outcome::Succeeded, Some(load));
    }

    /// Applies a response of discovery. `changes` holds the endpoints whose entries differ from the
    /// previous list.
    pub fn update_endpoints(&self, changes: &[EndpointEntry]) {
        self.counters.lists_received.increment();
        self.balancer
            .borrow_mut()
            .update_endpoints(self.clock.now(), changes, false);
    }

    /// Records that discovery did not respond.
    pub fn on_list_failure(&self) {
        self.counters.list_failures.increment();
        self.balancer.borrow_mut().on_list_failure(self.clock.now());
    }

    /// Sets the time until which the endpoint list is valid, on the agent's clock; `None` means
    /// without limit.
    pub fn set_list_valid_until(&self, until: Option<Duration>) {
        self.balancer.borrow_mut().set_list_valid_until(until);
    }

    /// Applies a rollout status that the platform reported.
    pub fn update_rollout(&self, status: RolloutStatus) {
        self.counters.rollout_updates.increment();
        let before = self.rollout.replace(Some(status.clone()));
        if !before.is_some_and(|before| is_same_rollout_state(&before, &status)) {
            self.rollout_revision.set(self.rollout_revision.get() + 1);
        }
        self.balancer.borrow_mut().update_rollout(status);
    }

    /// Returns whether `build` is under evaluation according to the last rollout status; `false`
    /// before the first one.
    pub fn is_canary(&self, build: u32) -> bool {
        match self.rollout.borrow().as_ref() {
            Some(rollout) if build == rollout.build => rollout.phase != RolloutPhase::Released,
            Some(rollout) => build > rollout.build,
            None => false,
        }
    }

    /// Returns the build of the last rollout status; `None` before the first one.
    pub fn newest_rollout_build(&self) -> Option<u32> {
        self.rollout.borrow().as_ref().map(|rollout| rollout.build)
    }

    /// Returns how often the rollout status has changed so far. An attempt records this revision
    /// when it is decided on.
    pub fn rollout_revision(&self) -> u64 {
        self.rollout_revision.get()
    }

    /// Returns whether the current rollout status still allows an attempt to `build` that was
    /// decided on at `revision`: either the status is unchanged since, or the build is older than
    /// the one being rolled out.
    pub fn rollout_allows(&self, build: u32, revision: u64) -> bool {
        if revision == self.rollout_revision.get() {
            return true;
        }
        match self.rollout.borrow().as_ref() {
            Some(rollout) => build < rollout.build,
            None => false,
        }
    }

    /// Replaces the cross-zone policy.
    pub fn set_cross_zone_policy(&self, policy: CrossZonePolicy) {
        self.balancer.borrow_mut().set_cross_zone_policy(policy);
    }

    /// Returns the current capacity of the first `zones` zones, by zone index.
    pub fn zone_capacities(&self, zones: usize) -> Vec<ZoneCapacity> {
        let now = self.clock.now();
        self.balancer.borrow().zone_capacities(now, zones)
    }

    /// Returns the current counts of the endpoints in one zone.
    pub fn zone_counts(&self, zone: usize) -> ZoneCounts {
        let now = self.clock.now();
        self.balancer.borrow().zone_counts(now, zone)
    }

    /// Records that a client reported a response of this endpoint as wrong, `age` after the
    /// response.
    pub fn on_client_reported_error(&self, endpoint: usize, class: usize, age: Duration) {
        self.balancer
            .borrow_mut()
            .on_client_reported_error(self.clock.now(), endpoint, class, age);
    }

    /// Applies the counts of a build that the platform reported.
    pub fn on_platform_counts(&self, counts: &PlatformCounts) {
        self.balancer.borrow_mut().on_platform_counts(counts);
    }

    /// Applies the platform's reply to a vote. Also called when no reply will come.
    pub fn on_vote_reply(&self, reply: VoteReply) {
        self.balancer
            .borrow_mut()
            .on_vote_reply(self.clock.now(), reply);
    }

    /// Advances the balancer to the current time and returns what is due.
    pub fn poll(&self) -> PollResult {
        self.balancer.borrow_mut().poll(self.clock.now())
    }

    /// Returns the indices that active requests still refer to.
    pub fn indices_in_use(&self) -> IndicesInUse {
        self.balancer.borrow().indices_in_use()
    }

    /// Replaces the settings. `mapping` maps old indices to new ones; `moved_zones` lists the
    /// endpoints whose zone index changed, each with its new index. A shadow evaluation continues
    /// with `alternative` and keeps its counts.
    pub fn reload(
        &self,
        settings: &Settings,
        mapping: &IndexMapping,
        moved_zones: &[(usize, usize)],
        alternative: Option<&AlternativeSettings>,
    ) {
        let mut balancer = self.balancer.borrow_mut();
        balancer.reload(self.clock.now(), settings, mapping);
        balancer.reassign_zones(moved_zones);
        if let (Some(shadow), Some(alternative)) = (self.shadow.borrow_mut().as_mut(), alternative)
        {
            shadow.reload(settings, alternative);
        }
    }

    /// Returns the numbers of requests, endpoints, builds and keys that the balancer retains.
    pub fn retained_counts(&self) -> [usize; 4] {
        self.balancer.borrow().retained_counts()
    }

    /// Starts the shadow evaluation of `alternative` against the settings in force, or stops it
    /// for `None`.
    pub fn evaluate_alternative(
        &self,
        current: &Settings,
        alternative: Option<&AlternativeSettings>,
    ) {
        *self.shadow.borrow_mut() = alternative.map(|a| ShadowEvaluator::new(current, a));
        self.shadowed_requests.borrow_mut().clear();
    }

    /// Returns how often the alternative settings would have decided differently so far; `None`
    /// while none are evaluated.
    pub fn divergences(&self) -> Option<Divergences> {
        let shadow = self.shadow.borrow();
        shadow.as_ref().map(ShadowEvaluator::divergences)
    }

    /// Passes a decision to the shadow evaluation, which counts where the alternative settings
    /// would have decided differently.
    fn observe_decision(&self, now: Duration, id: u64, decision: &Decision) {
        let mut shadow = self.shadow.borrow_mut();
        let Some(shadow) = shadow.as_mut() else {
            return;
        };
        match decision {
            Decision::Forward { endpoint, .. } => {
                let request = self.shadowed_requests.borrow().get(&id).copied();
                if let Some(ShadowedRequest { class, key }) = request {
                    shadow.on_attempt(now, &self.balancer.borrow(), class, key, *endpoint);
                }
            }
            Decision::Reject { .. } | Decision::Fail => {
                self.shadowed_requests.borrow_mut().remove(&id);
            }
            Decision::Defer { .. } | Decision::Cancel { .. } | Decision::Await => {}
        }
    }
}

/// Returns whether two statuses describe the same state of a rollout; `since` is not compared.
fn is_same_rollout_state(a: &RolloutStatus, b: &RolloutStatus) -> bool {
    a.build == b.build
        && a.stage == b.stage
        && a.phase == b.phase
        && a.cap.to_bits() == b.cap.to_bits()
}
