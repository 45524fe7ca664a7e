//! The one owner of the `Balancer`: all calls of the agent pass here, with the
//! time.

use crate::observability::counters::Counters;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tulipwall::*;
use tulipwall_discovery::clock::Clock;

/// The balancer behind a shared reference.
///
/// Written by client connections (requests and ends of attempts) and by the control tasks (endpoint
/// list, rollout, votes); read by the same and by the admin endpoint.
pub struct BalancerHandle {
    balancer: RefCell<Balancer>,
    clock: Rc<Clock>,
    counters: Rc<Counters>,
    next_request: Cell<u64>,
    open_ids: RefCell<HashSet<String>>, // the clients' ids of active requests
    rollout: RefCell<Option<RolloutStatus>>,
    rollout_revision: Cell<u64>, // how often the rollout status changed
    shadow: RefCell<Option<ShadowEvaluator>>,
    shadowed_requests: RefCell<HashMap<u64, ShadowedRequest>>, // active ones, while there is a shadow
}

/// What the shadow evaluation needs of an active request.
#[derive(Clone, Copy)]
struct ShadowedRequest {
    class: usize,
    key: Option<u64>,
}

/// The balancer's number of a request that has come in, and where it goes first.
pub struct AdmittedRequest {
    /// The number that all later calls name.
    pub id: u64,
    /// What is to be done with it.
    pub decision: Decision,
}

/// A request is open under its client's id for as long as this lives.
pub struct OpenRequestGuard<'a> {
    handle: &'a BalancerHandle,
    id: String,
}

impl Drop for OpenRequestGuard<'_> {
    fn drop(&mut self) {
        self.handle.open_ids.borrow_mut().remove(&self.id);
    }
}

/// How an attempt ended.
pub struct AttemptResult {
    /// Which of its request's attempts it is.
    pub attempt: usize,
    /// When it was decided.
    pub sent: Duration,
    /// How it ended.
    pub outcome: Outcome,
    /// Whether its request has its final response.
    pub request_closed: bool,
}

impl BalancerHandle {
    /// A balancer under these settings.
    pub fn new(settings: Settings, clock: Rc<Clock>, counters: Rc<Counters>) -> BalancerHandle {
        BalancerHandle {
            balancer: RefCell::new(Balancer::new(clock.now(), settings)),
            clock,
            counters,
            next_request: Cell::default(),
            open_ids: RefCell::default(),
            rollout: RefCell::default(),
            rollout_revision: Cell::default(),
            shadow: RefCell::default(),
            shadowed_requests: RefCell::default(),
        }
    }

    /// Nothing while another request is open under this id: its responses could not be distinguished.
    pub fn open_request(&self, id: &str) -> Option<OpenRequestGuard<'_>> {
        let inserted = self.open_ids.borrow_mut().insert(id.to_owned());
        inserted.then(|| OpenRequestGuard {
            handle: self,
            id: id.to_owned(),
        })
    }

    /// A request has come in.
    pub fn on_request(&self, request: Request) -> AdmittedRequest {
        let id = self.next_request.get();
        self.next_request.set(id + 1);
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

    /// Decides again on an active request.
    pub fn route(&self, id: u64) -> Decision {
        let now = self.clock.now();
        let decision = self.balancer.borrow_mut().route(now, id);
        self.observe_decision(now, id, &decision);
        decision
    }

    /// An attempt has ended.
    pub fn on_attempt_end(&self, id: u64, result: AttemptResult) -> Decision {
        self.counters.attempt_ended(result.outcome);
        let now = self.clock.now();
        let end = AttemptEnd {
            outcome: result.outcome,
            latency: now.saturating_sub(result.sent),
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

    /// The request needs no further attempts.
    pub fn close_request(&self, id: u64) {
        self.balancer.borrow_mut().close_request(id);
        self.shadowed_requests.borrow_mut().remove(&id);
    }

    /// Whether an attempt that was decided may still be written.
    pub fn attempt_allowed(&self, id: u64, attempt: usize) -> bool {
        let now = self.clock.now();
        self.balancer.borrow().attempt_allowed(now, id, attempt)
    }

    /// An endpoint reported how many requests it holds.
    pub fn on_load_report(&self, endpoint: usize, load: f64) {
        let now = self.clock.now();
        self.balancer
            .borrow_mut()
            .on_load_report(now, endpoint, Outcome::Succeeded, Some(load));
    }

    /// Discovery responded; `changes` are the endpoints that are listed otherwise than before.
    pub fn update_endpoints(&self, changes: &[EndpointEntry]) {
        self.counters.lists_received.increment();
        self.balancer
            .borrow_mut()
            .update_endpoints(self.clock.now(), changes, false);
    }

    /// Discovery did not respond.
    pub fn on_list_failure(&self) {
        self.counters.list_failures.increment();
        self.balancer.borrow_mut().on_list_failure(self.clock.now());
    }

    /// Until when the endpoint list is valid; `None` without a limit.
    pub fn set_list_valid_until(&self, until: Option<Duration>) {
        self.balancer.borrow_mut().set_list_valid_until(until);
    }

    /// The platform reported the status of a rollout.
    pub fn update_rollout(&self, status: RolloutStatus) {
        self.counters.rollout_updates.increment();
        let before = self.rollout.replace(Some(status.clone()));
        if !before.is_some_and(|before| says_the_same(&before, &status)) {
            self.rollout_revision.set(self.rollout_revision.get() + 1);
        }
        self.balancer.borrow_mut().update_rollout(status);
    }

    /// Whether this build is under evaluation, as far as the rollout status goes.
    pub fn is_canary(&self, build: u32) -> bool {
        match self.rollout.borrow().as_ref() {
            Some(rollout) if build == rollout.build => rollout.phase != RolloutPhase::Released,
            Some(rollout) => build > rollout.build,
            None => false,
        }
    }

    /// The newest build that the platform reported.
    pub fn newest_rollout_build(&self) -> Option<u32> {
        self.rollout.borrow().as_ref().map(|rollout| rollout.build)
    }

    /// How often the rollout status has changed: an attempt notes it as it is decided.
    pub fn rollout_revision(&self) -> u64 {
        self.rollout_revision.get()
    }

    /// Whether an attempt to `build` that was decided at `revision` still goes by the rollout
    /// status it was decided on.
    pub fn rollout_allows(&self, build: u32, revision: u64) -> bool {
        if revision == self.rollout_revision.get() {
            return true;
        }
        match self.rollout.borrow().as_ref() {
            Some(rollout) => build < rollout.build,
            None => false,
        }
    }

    /// Puts a cross-zone policy in force.
    pub fn set_cross_zone_policy(&self, policy: CrossZonePolicy) {
        self.balancer.borrow_mut().set_cross_zone_policy(policy);
    }

    /// The capacity of each of so many zones.
    pub fn zone_capacities(&self, zones: usize) -> Vec<ZoneCapacity> {
        let now = self.clock.now();
        self.balancer.borrow().zone_capacities(now, zones)
    }

    /// Counts of the endpoints of one zone.
    pub fn zone_counts(&self, zone: usize) -> ZoneCounts {
        let now = self.clock.now();
        self.balancer.borrow().zone_counts(now, zone)
    }

    /// A client reported an error of an endpoint, `age` ago.
    pub fn on_client_reported_error(&self, endpoint: usize, class: usize, age: Duration) {
        self.balancer
            .borrow_mut()
            .on_client_reported_error(self.clock.now(), endpoint, class, age);
    }

    /// The platform reported its counts of a build.
    pub fn on_platform_counts(&self, counts: &PlatformCounts) {
        self.balancer.borrow_mut().on_platform_counts(counts);
    }

    /// The platform replied to a vote, or never will.
    pub fn on_vote_reply(&self, reply: VoteReply) {
        self.balancer
            .borrow_mut()
            .on_vote_reply(self.clock.now(), reply);
    }

    /// Advances the balancer to the present; says what is due.
    pub fn poll(&self) -> PollResult {
        self.balancer.borrow_mut().poll(self.clock.now())
    }

    /// The indices that active requests count in.
    pub fn indices_in_use(&self) -> IndicesInUse {
        self.balancer.borrow().indices_in_use()
    }

    /// From now on these settings decide, with indices as `mapping` says; `moved_zones` are
    /// endpoints whose zone has another index.
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

    /// Requests, endpoints, builds and keys that the balancer keeps.
    pub fn retained_counts(&self) -> [usize; 4] {
        self.balancer.borrow().retained_counts()
    }

    /// From now on these alternative settings are evaluated beside those in force, or none.
    pub fn evaluate_alternative(
        &self,
        present: &Settings,
        alternative: Option<&AlternativeSettings>,
    ) {
        *self.shadow.borrow_mut() = alternative.map(|a| ShadowEvaluator::new(present, a));
        self.shadowed_requests.borrow_mut().clear();
    }

    /// Where the alternative settings would have decided otherwise so far; nothing while none are
    /// evaluated.
    pub fn divergences(&self) -> Option<Divergences> {
        let shadow = self.shadow.borrow();
        shadow.as_ref().map(ShadowEvaluator::divergences)
    }

    /// Counts where the alternative settings would have decided otherwise.
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

/// Whether two statuses say the same of a rollout, leaving aside since when.
fn says_the_same(a: &RolloutStatus, b: &RolloutStatus) -> bool {
    a.build == b.build
        && a.stage == b.stage
        && a.phase == b.phase
        && a.cap.to_bits() == b.cap.to_bits()
}
