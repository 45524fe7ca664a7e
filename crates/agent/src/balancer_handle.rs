//! The one owner of the `Balancer`: all that the agent tells and asks it passes here, with the
//! time.

use crate::observability::counters::Counters;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tulipwall::*;
use tulipwall_discovery::clock::Clock;

pub struct Hand {
    choice: RefCell<Balancer>,
    clock: Rc<Clock>,
    counters: Rc<Counters>,
    taken: Cell<u64>,
    open: RefCell<HashSet<String>>, // the ids of requests in hand
    rollout_status: RefCell<Option<RolloutStatus>>,
    turns: Cell<u64>, // how often the news changed
    watch: RefCell<Option<ShadowEvaluator>>,
    keys: RefCell<HashMap<u64, (usize, Option<u64>)>>, // class and key of requests in hand, while something is watched
}

/// A request is open under its id for as long as this lives.
pub struct Opened<'a>(&'a Hand, String);

impl Drop for Opened<'_> {
    fn drop(&mut self) {
        self.0.open.borrow_mut().remove(&self.1);
    }
}

impl Hand {
    /// Nothing while another request is open under this id: its answers could not be told apart.
    pub fn open(&self, id: &str) -> Option<Opened<'_>> {
        self.open
            .borrow_mut()
            .insert(id.to_owned())
            .then(|| Opened(self, id.to_owned()))
    }

    pub fn new(deployment: Settings, clock: Rc<Clock>, counters: Rc<Counters>) -> Hand {
        Hand {
            choice: RefCell::new(Balancer::new(clock.now(), deployment)),
            clock,
            counters,
            taken: Cell::default(),
            open: RefCell::default(),
            rollout_status: RefCell::default(),
            turns: Cell::default(),
            watch: RefCell::default(),
            keys: RefCell::default(),
        }
    }

    /// A request has come in: its number, and where to send it.
    pub fn take(&self, command: Request) -> (u64, Decision) {
        let id = self.taken.get();
        self.taken.set(id + 1);
        self.counters.requests_taken.increment();
        let (now, class, key) = (self.clock.now(), command.class, command.key);
        self.choice.borrow_mut().on_request(now, id, command);
        if let Some(watch) = self.watch.borrow_mut().as_mut() {
            watch.on_request(&self.choice.borrow(), class);
            self.keys.borrow_mut().insert(id, (class, key));
        }
        let answer = self.choice.borrow_mut().route(now, id);
        (id, self.watched(now, id, answer))
    }

    pub fn place(&self, id: u64) -> Decision {
        let now = self.clock.now();
        let answer = self.choice.borrow_mut().route(now, id);
        self.watched(now, id, answer)
    }

    /// Counts where the watched settings would have decided otherwise; the answer stands as it is.
    fn watched(&self, now: Duration, id: u64, answer: Decision) -> Decision {
        if let Some(watch) = self.watch.borrow_mut().as_mut() {
            let known = self.keys.borrow().get(&id).copied();
            match (&answer, known) {
                (Decision::Forward { endpoint, .. }, Some((class, key))) => {
                    watch.on_attempt(now, &self.choice.borrow(), class, key, *endpoint);
                }
                (Decision::Reject { .. } | Decision::Fail, _) => {
                    self.keys.borrow_mut().remove(&id);
                }
                _ => {}
            }
        }
        answer
    }

    /// From now on this shape is watched, or none.
    pub fn watch(&self, present: &Settings, shape: Option<&AlternativeSettings>) {
        *self.watch.borrow_mut() = shape.map(|s| ShadowEvaluator::new(present, s));
        self.keys.borrow_mut().clear();
    }

    /// What requests in hand count in.
    pub fn indices_in_use(&self) -> IndicesInUse {
        self.choice.borrow().indices_in_use()
    }

    /// From now on these settings decide, numbered as `by` says; `zones` are endpoints whose zone
    /// has another number.
    pub fn renew(
        &self,
        d: &Settings,
        by: &IndexMapping,
        zones: &[(usize, usize)],
        shape: Option<&AlternativeSettings>,
    ) {
        let mut choice = self.choice.borrow_mut();
        choice.reload(self.clock.now(), d, by);
        choice.reassign_zones(zones);
        if let (Some(watch), Some(shape)) = (self.watch.borrow_mut().as_mut(), shape) {
            watch.reload(d, shape);
        }
    }

    /// Where the watched settings would have decided otherwise so far; nothing while none are
    /// watched.
    pub fn otherwise(&self) -> Option<Divergences> {
        self.watch.borrow().as_ref().map(|w| w.divergences())
    }

    /// An endpoint said how many requests it holds.
    pub fn told(&self, endpoint: usize, held: f64) {
        self.choice.borrow_mut().on_load_report(
            self.clock.now(),
            endpoint,
            Outcome::Succeeded,
            Some(held),
        );
    }

    /// An attempt that was decided at `sent` has ended.
    pub fn after(
        &self,
        id: u64,
        attempt: usize,
        sent: Duration,
        outcome: Outcome,
        closed: bool,
    ) -> Decision {
        self.counters.attempt_ended(outcome);
        let now = self.clock.now();
        let end = AttemptEnd {
            outcome,
            latency: now.saturating_sub(sent),
            request_closed: closed,
            reported_load: None,
        };
        let answer = self
            .choice
            .borrow_mut()
            .on_attempt_end(now, id, attempt, end);
        let answer = self.watched(now, id, answer);
        if closed {
            self.keys.borrow_mut().remove(&id);
        }
        answer
    }

    /// The client went away.
    pub fn left(&self, id: u64) {
        self.choice.borrow_mut().close_request(id);
        self.keys.borrow_mut().remove(&id);
    }

    pub fn list(&self, entries: &[EndpointEntry], complete: bool) {
        self.counters.lists_received.increment();
        self.choice
            .borrow_mut()
            .update_endpoints(self.clock.now(), entries, complete);
    }

    pub fn list_failed(&self) {
        self.counters.list_failures.increment();
        self.choice.borrow_mut().on_list_failure(self.clock.now());
    }

    /// Until when the list tells all that counts as told.
    pub fn vouch(&self, until: Option<Duration>) {
        self.choice.borrow_mut().set_list_valid_until(until);
    }

    pub fn rollout_status(&self, rollout_status: RolloutStatus) {
        self.counters.rollout_updates.increment();
        let told = |n: &RolloutStatus| (n.build, n.stage, n.phase, n.cap.to_bits());
        if self.rollout_status.borrow().as_ref().map(told) != Some(told(&rollout_status)) {
            self.turns.set(self.turns.get() + 1);
        }
        *self.rollout_status.borrow_mut() = Some(rollout_status.clone());
        self.choice.borrow_mut().update_rollout(rollout_status);
    }

    /// Whether this build is on trial, as far as the news go.
    pub fn on_trial(&self, build: u32) -> bool {
        let rollout_status = self.rollout_status.borrow();
        rollout_status.as_ref().is_some_and(|n| {
            build > n.build || build == n.build && n.phase != RolloutPhase::Released
        })
    }

    /// The newest build that the platform told of.
    pub fn newest(&self) -> Option<u32> {
        self.rollout_status.borrow().as_ref().map(|n| n.build)
    }

    pub fn crossings(&self, told: CrossZonePolicy) {
        self.choice.borrow_mut().set_cross_zone_policy(told);
    }

    pub fn zone_capacities(&self, zones: usize) -> Vec<ZoneCapacity> {
        self.choice
            .borrow()
            .zone_capacities(self.clock.now(), zones)
    }

    /// What the news stood at when an attempt was decided.
    pub fn turn(&self) -> u64 {
        self.turns.get()
    }

    /// Whether an attempt to `build` decided at `turn` still goes by the news it was decided on.
    pub fn stands(&self, build: u32, turn: u64) -> bool {
        turn == self.turns.get()
            || self
                .rollout_status
                .borrow()
                .as_ref()
                .is_some_and(|n| build < n.build)
    }

    /// Whether an attempt that was decided may still be written.
    pub fn holds(&self, id: u64, attempt: usize) -> bool {
        self.choice
            .borrow()
            .attempt_allowed(self.clock.now(), id, attempt)
    }

    pub fn flag(&self, endpoint: usize, class: usize, age: Duration) {
        self.choice
            .borrow_mut()
            .on_client_reported_error(self.clock.now(), endpoint, class, age);
    }

    pub fn tally(&self, tally: &PlatformCounts) {
        self.choice.borrow_mut().on_platform_counts(tally);
    }

    pub fn reply(&self, reply: VoteReply) {
        self.choice
            .borrow_mut()
            .on_vote_reply(self.clock.now(), reply);
    }

    /// Requests, endpoints, builds and keys that the module keeps.
    pub fn kept(&self) -> [usize; 4] {
        self.choice.borrow().retained_counts()
    }

    pub fn wait(&self) -> PollResult {
        self.choice.borrow_mut().poll(self.clock.now())
    }
}
