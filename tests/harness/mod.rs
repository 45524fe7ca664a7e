//! Drives a `Balancer` the way an adapter does: keeps track of time, timers and requests in flight,
//! and checks the invariants at every decision.
#![allow(dead_code)] // no test file uses all of the harness

mod fixtures;
pub mod fleet;
mod rules;

pub use fixtures::*;
use std::collections::BTreeMap;
use std::time::Duration;
use tulipwall::*;

/// An attempt that the balancer decided to send.
#[derive(Clone, Debug)]
pub struct SentAttempt {
    /// Index of the endpoint.
    pub endpoint: usize,
    /// When the attempt was sent.
    pub sent: Duration,
    /// How the attempt ended. `None` while it is in flight.
    pub ended: Option<Outcome>,
    /// When the harness ends the attempt as timed out.
    pub times_out_at: Duration,
}

/// A request and what the balancer decided on it.
pub struct TrackedRequest {
    /// Index of the request class.
    pub class: usize,
    /// When the request must have its final answer.
    pub deadline: Duration,
    /// Attempts in the order in which they were sent.
    pub attempts: Vec<SentAttempt>,
    /// Final decisions; `Decision::Await` stands for a success. A request gets exactly one.
    pub answers: Vec<Decision>,
    /// When to ask the balancer again. `None` if it did not ask for that.
    pub recheck_at: Option<Duration>,
}

/// One balancer with simulated time, requests and endpoints.
pub struct Harness {
    /// Current simulated time.
    pub now: Duration,
    /// The balancer under test.
    pub balancer: Balancer,
    /// Settings by which the invariants are checked.
    pub settings: Settings,
    /// All requests sent so far, by identifier.
    pub requests: BTreeMap<u64, TrackedRequest>,
    /// Endpoints as last listed, by index.
    pub endpoints: BTreeMap<usize, EndpointEntry>,
    /// Last rollout status. `None` before the first one.
    pub status: Option<RolloutStatus>,
    /// Votes that the balancer cast, with their times.
    pub votes: Vec<(Duration, Vote)>,
    /// How often the balancer asked for the endpoint list.
    pub list_calls: usize,
    /// Log lines that the balancer returned.
    pub log_lines: Vec<String>,
    /// Time and endpoint of each attempt.
    pub forwarded: Vec<(Duration, usize)>,
    /// Time, build and class of each attempt that went to a canary.
    canary_attempts: Vec<(Duration, u32, usize)>,
    /// Time and class of each request.
    arrivals: Vec<(Duration, usize)>,
    /// Build that last answered each key, among the rollout's build and newer ones.
    sticky_builds: BTreeMap<u64, u32>,
    /// Index of the first of `canary_attempts` that counts as exposure.
    exposure_counted_from: usize,
    /// Length of `forwarded` when each endpoint was last listed with a change.
    forwarded_when_listed: BTreeMap<usize, usize>,
    /// When to poll the balancer next.
    next_poll: Duration,
}

impl Harness {
    /// Creates a balancer without endpoints and without a rollout.
    pub fn new(settings: Settings) -> Harness {
        let now = ms(1000);
        let balancer = Balancer::new(now, settings.clone());
        Harness {
            now,
            balancer,
            settings,
            requests: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            status: None,
            votes: Vec::new(),
            list_calls: 0,
            log_lines: Vec::new(),
            forwarded: Vec::new(),
            canary_attempts: Vec::new(),
            arrivals: Vec::new(),
            sticky_builds: BTreeMap::new(),
            exposure_counted_from: 0,
            forwarded_when_listed: BTreeMap::new(),
            next_poll: now,
        }
    }

    /// Adds or changes these endpoints; the others stay as they are.
    pub fn update_endpoints(&mut self, entries: &[EndpointEntry]) {
        self.balancer.update_endpoints(self.now, entries, false);
        for e in entries {
            let old = self.endpoints.insert(e.endpoint, e.clone());
            if old
                .is_none_or(|o| o.started != e.started || o.build != e.build || o.state != e.state)
            {
                self.forwarded_when_listed
                    .insert(e.endpoint, self.forwarded.len());
            }
        }
    }

    /// Passes on a rollout status. Exposure is counted anew for the first status, for another build
    /// and for a lower cap.
    pub fn update_rollout(&mut self, n: RolloutStatus) {
        let restarts_count = self
            .status
            .as_ref()
            .is_none_or(|o| o.build != n.build || n.cap < o.cap);
        if restarts_count {
            self.exposure_counted_from = self.canary_attempts.len();
        }
        self.balancer.update_rollout(n.clone());
        self.status = Some(n);
    }

    /// Reloads the settings and checks the invariants by them from now on. Rules that the balancer
    /// did not have before apply only to later attempts: exposure per class that was counted for all
    /// classes together, a lower cap, and sticky builds.
    pub fn reload(&mut self, d: Settings, mapping: &IndexMapping) {
        let (was, now) = (&self.settings.rollout, &d.rollout);
        if now.cap_per_class && !was.cap_per_class || now.caps[0] < was.caps[0] {
            self.exposure_counted_from = self.canary_attempts.len();
        }
        if now.sticky_builds && !was.sticky_builds {
            self.sticky_builds.clear();
        }
        self.balancer.reload(self.now, &d, mapping);
        self.settings = d;
    }

    /// Whether this build is a canary: by the rollout status a build that is not released yet, and
    /// before the first status any build newer than that of a running endpoint.
    pub fn is_canary(&self, build: u32) -> bool {
        match &self.status {
            Some(n) => build > n.build || build == n.build && n.phase != RolloutPhase::Released,
            None => self
                .endpoints
                .values()
                .any(|l| l.build < build && l.state == EndpointState::Running),
        }
    }

    /// Sends a request that has the time `remaining` until its deadline, and returns the first
    /// decision on it.
    pub fn send_request(&mut self, id: u64, class: usize, remaining: Duration) -> Decision {
        let deadline = self.now + remaining;
        let request = TrackedRequest {
            class,
            deadline,
            attempts: Vec::new(),
            answers: Vec::new(),
            recheck_at: None,
        };
        self.requests.insert(id, request);
        self.arrivals.push((self.now, class));
        let tenant = Some(id as usize % 2);
        self.balancer.on_request(
            self.now,
            id,
            Request {
                class,
                tenant,
                key: Some(id % 7),
                time_left: remaining,
                estimated_work: None,
                is_retry: false,
            },
        );
        let answer = self.balancer.route(self.now, id);
        self.apply(id, answer.clone());
        answer
    }

    /// Ends the oldest attempt in flight to `endpoint`. Returns whether there was one.
    pub fn end_oldest_attempt(&mut self, endpoint: usize, outcome: Outcome) -> bool {
        let in_flight = |tracked: &TrackedRequest| {
            tracked
                .attempts
                .iter()
                .position(|d| d.ended.is_none() && d.endpoint == endpoint)
        };
        let found = self
            .requests
            .iter()
            .find_map(|(id, tracked)| in_flight(tracked).map(|n| (*id, n)));
        if let Some((id, n)) = found {
            self.end_attempt(id, n, outcome);
        }
        found.is_some()
    }

    /// Ends attempt `n` of a request and applies the decision that follows.
    pub fn end_attempt(&mut self, id: u64, n: usize, outcome: Outcome) {
        let tracked = self.requests.get_mut(&id).unwrap();
        tracked.attempts[n].ended = Some(outcome);
        if outcome == Outcome::Succeeded && tracked.answers.is_empty() {
            tracked.answers.push(Decision::Await);
        }
        let closed = !tracked.answers.is_empty();
        let build = self.endpoints[&tracked.attempts[n].endpoint].build;
        if outcome == Outcome::Succeeded && self.status.as_ref().is_some_and(|t| build >= t.build) {
            self.sticky_builds.insert(id % 7, build);
        }
        let took = self.now - tracked.attempts[n].sent;
        let answer = self.balancer.on_attempt_end(
            self.now,
            id,
            n,
            AttemptEnd {
                outcome,
                latency: took,
                request_closed: closed,
                reported_load: None,
            },
        );
        self.apply(id, answer);
    }

    fn apply(&mut self, id: u64, decision: Decision) {
        match decision {
            Decision::Forward {
                endpoint,
                timeout,
                recheck_at,
            } => self.forward(id, endpoint, timeout, recheck_at),
            Decision::Defer { until } => {
                assert!(until > self.now);
                self.request_mut(id).recheck_at = Some(until);
            }
            Decision::Reject { .. } => {
                self.check_rejection(&self.requests[&id]);
                self.request_mut(id).answers.push(decision);
            }
            Decision::Fail => self.request_mut(id).answers.push(decision),
            Decision::Cancel { attempt } => {
                if self.requests[&id].attempts[attempt].ended.is_none() {
                    self.end_attempt(id, attempt, Outcome::Cancelled);
                }
                return;
            }
            Decision::Await => {}
        }
        assert!(
            self.requests[&id].answers.len() <= 1,
            "more than one final answer"
        );
    }

    fn request_mut(&mut self, id: u64) -> &mut TrackedRequest {
        self.requests.get_mut(&id).unwrap()
    }

    fn forward(
        &mut self,
        id: u64,
        endpoint: usize,
        timeout: Duration,
        recheck_at: Option<Duration>,
    ) {
        let now = self.now;
        let entry = self.endpoints[&endpoint].clone();
        self.check_attempt(id, &entry);
        let request = self.request_mut(id);
        let class = request.class;
        request.attempts.push(SentAttempt {
            endpoint,
            sent: now,
            ended: None,
            times_out_at: request.deadline.min(now + timeout),
        });
        request.recheck_at = recheck_at;
        self.forwarded.push((now, endpoint));
        self.check_slow_start(&entry);
        self.check_exposure(&entry, class);
    }

    /// Advances the time in steps of the timer granularity and, as an adapter does, runs the timers,
    /// times out attempts and polls the balancer.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += self.settings.timer_granularity;
            let busy = self.requests.iter().filter(|(_, r)| r.busy());
            let busy: Vec<u64> = busy.map(|(id, _)| *id).collect();
            for id in busy {
                self.tick_request(id);
            }
            if self.now >= self.next_poll {
                self.poll();
            }
        }
    }

    fn tick_request(&mut self, id: u64) {
        let is_late = |a: &SentAttempt| a.ended.is_none() && self.now >= a.times_out_at;
        if let Some(number) = self.requests[&id].attempts.iter().position(is_late) {
            self.end_attempt(id, number, Outcome::TimedOut);
        }
        let now = self.now;
        let request = self.request_mut(id);
        let is_due = request.answers.is_empty() && request.recheck_at.is_some_and(|t| now >= t);
        if is_due {
            request.recheck_at = None;
            let decision = self.balancer.route(now, id);
            self.apply(id, decision);
        }
        let request = &self.requests[&id];
        assert!(
            !request.answers.is_empty() || self.now < request.deadline + ms(20),
            "request {id} has no answer 20 ms after its deadline"
        );
    }

    fn poll(&mut self) {
        let due = self.balancer.poll(self.now);
        assert!(due.next_poll > self.now);
        self.next_poll = due.next_poll;
        self.list_calls += usize::from(due.open_watch);
        self.log_lines.extend(due.log_lines);
        if let Some(vote) = due.vote {
            self.votes.push((self.now, vote));
        }
    }

    /// Sends `n` requests of a class one after another. Each attempt ends after `took` with the
    /// `outcome` of its endpoint.
    pub fn serve(
        &mut self,
        n: u64,
        class: usize,
        took: Duration,
        outcome: impl Fn(&EndpointEntry) -> Outcome,
    ) {
        for _ in 0..n {
            let id = self.requests.len() as u64;
            self.send_request(id, class, ms(1500));
            while let Some(n) = self.requests[&id]
                .attempts
                .iter()
                .position(|d| d.ended.is_none())
            {
                self.advance(took);
                let d = &self.requests[&id].attempts[n];
                if d.ended.is_none() {
                    let e = self.endpoints[&d.endpoint].clone();
                    self.end_attempt(id, n, outcome(&e));
                }
            }
            self.advance(self.settings.timer_granularity);
        }
    }

    /// Verdict of the last vote. `None` if there was no vote.
    pub fn last_verdict(&self) -> Option<Verdict> {
        self.votes.last().map(|v| v.1.verdict)
    }
}

impl TrackedRequest {
    /// Whether the request has no final answer yet or attempts in flight.
    fn busy(&self) -> bool {
        self.answers.is_empty() || self.attempts.iter().any(|d| d.ended.is_none())
    }
}
