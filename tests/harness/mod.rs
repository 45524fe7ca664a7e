//! A driver of `Balancer` that keeps timers and requests in flight as an adapter does, and checks the
//! rules as it goes.
#![allow(dead_code)] // each test file uses a part of it

mod fixtures;
pub mod fleet;
mod rules;

pub use fixtures::*;
use std::collections::BTreeMap;
use std::time::Duration;
use tulipwall::*;

#[derive(Clone, Debug)]
pub struct SentAttempt {
    pub endpoint: usize,
    pub sent: Duration,
    pub ended: Option<Outcome>,
    pub times_out_at: Duration,
}

pub struct TrackedRequest {
    pub class: usize,
    pub deadline: Duration,
    pub attempts: Vec<SentAttempt>,
    pub answers: Vec<Decision>,
    pub recheck_at: Option<Duration>,
}

pub struct Harness {
    pub now: Duration,
    pub balancer: Balancer,
    pub settings: Settings,
    pub requests: BTreeMap<u64, TrackedRequest>,
    pub endpoints: BTreeMap<usize, EndpointEntry>,
    pub status: Option<RolloutStatus>,
    pub votes: Vec<(Duration, Vote)>,
    pub list_calls: usize,
    pub log_lines: Vec<String>,
    pub forwarded: Vec<(Duration, usize)>,
    canary_attempts: Vec<(Duration, u32, usize)>,
    arrivals: Vec<(Duration, usize)>,
    sticky_builds: BTreeMap<u64, u32>,
    exposure_counted_from: usize,
    listed_at: BTreeMap<usize, usize>,
    next_poll: Duration,
}

impl Harness {
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
            listed_at: BTreeMap::new(),
            next_poll: now,
        }
    }

    pub fn update_endpoints(&mut self, entries: &[EndpointEntry]) {
        self.balancer.update_endpoints(self.now, entries, false);
        for e in entries {
            let old = self.endpoints.insert(e.endpoint, e.clone());
            if old
                .is_none_or(|o| o.started != e.started || o.build != e.build || o.state != e.state)
            {
                self.listed_at.insert(e.endpoint, self.forwarded.len());
            }
        }
    }

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

    /// Reloads the settings; the rules are checked by these. What nobody could know before is
    /// checked from now on: exposure by class where it was counted for all, a lower cap, and
    /// sticky builds.
    pub fn reload(&mut self, d: Settings, by: &IndexMapping) {
        let (was, now) = (&self.settings.rollout, &d.rollout);
        if now.cap_per_class && !was.cap_per_class || now.caps[0] < was.caps[0] {
            self.exposure_counted_from = self.canary_attempts.len();
        }
        if now.sticky_builds && !was.sticky_builds {
            self.sticky_builds.clear();
        }
        self.balancer.reload(self.now, &d, by);
        self.settings = d;
    }

    pub fn is_canary(&self, build: u32) -> bool {
        match &self.status {
            Some(n) => build > n.build || build == n.build && n.phase != RolloutPhase::Released,
            None => self
                .endpoints
                .values()
                .any(|l| l.build < build && l.state == EndpointState::Running),
        }
    }

    pub fn send_request(&mut self, id: u64, class: usize, left: Duration) -> Decision {
        let deadline = self.now + left;
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
                time_left: left,
                estimated_work: None,
                is_retry: false,
            },
        );
        let answer = self.balancer.route(self.now, id);
        self.apply(id, answer.clone());
        answer
    }

    /// Ends the oldest attempt in flight to `endpoint`, if any.
    pub fn end_oldest_attempt(&mut self, endpoint: usize, outcome: Outcome) -> bool {
        let in_flight = |h: &TrackedRequest| {
            h.attempts
                .iter()
                .position(|d| d.ended.is_none() && d.endpoint == endpoint)
        };
        let found = self
            .requests
            .iter()
            .find_map(|(id, h)| in_flight(h).map(|n| (*id, n)));
        if let Some((id, n)) = found {
            self.end_attempt(id, n, outcome);
        }
        found.is_some()
    }

    pub fn end_attempt(&mut self, id: u64, n: usize, outcome: Outcome) {
        let h = self.requests.get_mut(&id).unwrap();
        h.attempts[n].ended = Some(outcome);
        if outcome == Outcome::Succeeded && h.answers.is_empty() {
            h.answers.push(Decision::Await);
        }
        let closed = !h.answers.is_empty();
        let build = self.endpoints[&h.attempts[n].endpoint].build;
        if outcome == Outcome::Succeeded && self.status.as_ref().is_some_and(|t| build >= t.build) {
            self.sticky_builds.insert(id % 7, build);
        }
        let took = self.now - h.attempts[n].sent;
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
        assert!(self.requests[&id].answers.len() <= 1, "one final answer");
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

    /// Lets time pass in steps of one tick, as the adapter would: timers, time-outs, votes.
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
            "request {id} was lost"
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

    /// `n` idempotent requests, each answered after `took` by `outcome` of the endpoint it went to.
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

    pub fn last_verdict(&self) -> Option<Verdict> {
        self.votes.last().map(|v| v.1.verdict)
    }
}

impl TrackedRequest {
    fn busy(&self) -> bool {
        self.answers.is_empty() || self.attempts.iter().any(|d| d.ended.is_none())
    }
}
