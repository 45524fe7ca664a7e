//! A driver of `Balancer` that keeps timers and requests in flight as an adapter does, and checks the
//! rules as it goes.
#![allow(dead_code)] // each test file uses a part of it

use std::collections::BTreeMap;
use std::time::Duration;
use tulipwall::*;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn default_settings(seed: u64) -> Settings {
    let class = |latency_objective, priority_weight, idempotency| RequestClass {
        latency_objective: ms(latency_objective),
        priority_weight,
        idempotency,
    };
    Settings {
        seed,
        agents: 3,
        zone: 0,
        classes: vec![
            class(400, 2.0, Idempotency::Idempotent),
            class(
                400,
                2.0,
                Idempotency::Keyed {
                    scope: DeduplicationScope::Zone,
                    window: ms(900),
                },
            ),
            class(600, 6.0, Idempotency::NonIdempotent),
        ],
        tenants: vec![Tenant { share: 0.6 }, Tenant { share: 0.4 }],
        weight_by_work: false,
        list_polled: false,
        shared_discovery: false,
        max_poll_interval: ms(10_000),
        hedging: false,
        cancellation: true,
        retry_after: Some(ms(2000)),
        max_attempts: 4,
        cross_zone_price: 0.0,
        slow_start_share: 0.3,
        slow_start_duration: ms(4000),
        overload_window: ms(2000),
        overload_factor: 3.0,
        load_probes: false,
        key_affinity: false,
        timer_granularity: ms(5),
        rollout: RolloutPolicy {
            caps: vec![0.2, 0.5, 1.0],
            exposure_burst: 2.0,
            cap_per_class: false,
            guarded_stages: 0,
            sticky_builds: false,
            timed_stages: true,
            in_place: false,
            votes_to_roll_back: 1,
            votes_to_hold: 1,
            platform_counts: false,
            vote_ttl: ms(6000),
            vote_timeout: ms(1000),
            votes_per_second: 40.0,
            reported_error_share: 0.5,
        },
    }
}

pub fn endpoint_entry(endpoint: usize, build: u32, started: Option<u64>) -> EndpointEntry {
    let (zone, cell) = (endpoint % 2, endpoint as u64 % 3);
    EndpointEntry {
        endpoint,
        zone,
        cell,
        identity: endpoint as u64,
        endpoint_type: 0,
        build,
        state: EndpointState::Running,
        started: started.map(ms),
    }
}

pub fn canary_status(build: u32, stage: usize, cap: f64) -> RolloutStatus {
    RolloutStatus {
        build,
        stage,
        phase: RolloutPhase::Canary,
        cap,
        since: ms(1000),
    }
}

/// Eight endpoints of build 7 that have answered, and two of build 8 as a canary, warm.
pub fn canary_rollout(change: fn(&mut Settings)) -> Harness {
    let mut d = default_settings(11);
    change(&mut d);
    let mut w = Harness::new(d);
    w.update_endpoints(
        &(0..8)
            .map(|i| endpoint_entry(i, 7, None))
            .collect::<Vec<_>>(),
    );
    w.update_rollout(RolloutStatus {
        phase: RolloutPhase::Released,
        ..canary_status(7, 0, 1.0)
    });
    w.serve(60, 0, ms(20), |_| Outcome::Succeeded);
    w.update_rollout(canary_status(8, 0, 0.5));
    w.update_endpoints(&[
        endpoint_entry(8, 8, Some(1100)),
        endpoint_entry(9, 8, Some(1100)),
    ]);
    w.advance(ms(4200));
    w
}

pub fn failing(build: u32) -> impl Fn(&EndpointEntry) -> Outcome {
    move |e| outcome_if(e.build == build, Outcome::Failed)
}

pub fn outcome_if(is: bool, outcome: Outcome) -> Outcome {
    if is {
        outcome
    } else {
        Outcome::Succeeded
    }
}

pub fn attempts_to(w: &Harness, build: u32) -> usize {
    w.forwarded
        .iter()
        .filter(|(_, i)| w.endpoints[i].build == build)
        .count()
}

#[derive(Clone, Debug)]
pub struct SentAttempt {
    pub endpoint: usize,
    pub sent: Duration,
    pub ended: Option<Outcome>,
    times_out_at: Duration,
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
    pub fn end_at(&mut self, endpoint: usize, outcome: Outcome) -> bool {
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

    fn apply(&mut self, id: u64, answer: Decision) {
        let h = self.requests.get_mut(&id).unwrap();
        let (class, now) = (h.class, self.now);
        let ran = |d: &SentAttempt| d.ended.is_none_or(|o| !o.never_ran());
        match answer.clone() {
            Decision::Forward {
                endpoint,
                timeout,
                recheck_at,
            } => {
                assert!(
                    h.answers.is_empty(),
                    "nothing is sent after the final answer"
                );
                assert!(now < h.deadline && h.attempts.len() < self.settings.max_attempts);
                let in_flight = h.attempts.iter().filter(|d| d.ended.is_none()).count();
                assert!(in_flight == 0 || self.settings.hedging && in_flight == 1);
                let e = self.endpoints[&endpoint].clone();
                match self.settings.classes[class].idempotency {
                    Idempotency::Idempotent => {}
                    Idempotency::NonIdempotent => {
                        assert!(!h.attempts.iter().any(ran), "it may have run")
                    }
                    Idempotency::Keyed {
                        scope: group,
                        window,
                    } => {
                        for d in h.attempts.iter().filter(|d| ran(d)) {
                            let o = &self.endpoints[&d.endpoint];
                            let here = match group {
                                DeduplicationScope::All => true,
                                DeduplicationScope::Zone => o.zone == e.zone,
                                DeduplicationScope::Cell => o.cell == e.cell,
                            };
                            assert!(here && now < d.sent + window, "outside its group or window");
                        }
                    }
                }
                let rollout_status = self
                    .status
                    .as_ref()
                    .filter(|t| matches!(t.phase, RolloutPhase::Canary | RolloutPhase::Released));
                let floor = rollout_status.filter(|t| {
                    self.sticky_builds
                        .get(&(id % 7))
                        .is_some_and(|b| *b >= t.build)
                });
                assert!(
                    !self.settings.rollout.sticky_builds
                        || floor.is_none_or(|t| e.build >= t.build),
                    "sticky build"
                );
                assert_eq!(
                    e.state,
                    EndpointState::Running,
                    "nothing to a draining or gone endpoint"
                );
                let times_out_at = h.deadline.min(now + timeout);
                h.attempts.push(SentAttempt {
                    endpoint,
                    sent: now,
                    ended: None,
                    times_out_at,
                });
                h.recheck_at = recheck_at;
                self.forwarded.push((now, endpoint));
                self.check_slow_start(&e);
                self.check_exposure(&e, class);
            }
            Decision::Defer { until } => {
                assert!(until > now);
                h.recheck_at = Some(until);
            }
            Decision::Reject { .. } => {
                let is_safe = match self.settings.classes[class].idempotency {
                    Idempotency::Idempotent => true,
                    // Its client may retry half a second later, and the repeat must be recognized
                    // then.
                    Idempotency::Keyed {
                        scope: DeduplicationScope::All,
                        window,
                    } => h
                        .attempts
                        .iter()
                        .filter(|d| ran(d))
                        .all(|d| now + ms(500) < d.sent + window),
                    _ => !h.attempts.iter().any(ran),
                };
                assert!(is_safe, "rejected though it may have run");
                h.answers.push(answer);
            }
            Decision::Fail => h.answers.push(answer),
            Decision::Cancel { attempt } => {
                if h.attempts[attempt].ended.is_none() {
                    self.end_attempt(id, attempt, Outcome::Cancelled);
                }
                return;
            }
            Decision::Await => {}
        }
        assert!(self.requests[&id].answers.len() <= 1, "one final answer");
    }

    fn check_slow_start(&self, e: &EndpointEntry) {
        if e.started
            .is_none_or(|s| s + self.settings.slow_start_duration <= self.now)
        {
            return;
        }
        let since_listed = self.listed_at[&e.endpoint];
        let recent = |t: Duration| t + self.settings.overload_window > self.now && t <= self.now;
        let is_warming = |l: &EndpointEntry| {
            l.started
                .is_some_and(|s| s + self.settings.slow_start_duration > self.now)
        };
        let running = self
            .endpoints
            .values()
            .filter(|l| l.state == EndpointState::Running);
        let all = running.clone().count() as f64;
        let warm = (running.filter(|l| !is_warming(l)).count() as f64).max(all / 2.0);
        let here = self.forwarded[since_listed..]
            .iter()
            .filter(|(t, i)| recent(*t) && *i == e.endpoint)
            .count();
        // Attempts in the busiest window so far: the pace of warm endpoints is remembered.
        let span = self.settings.overload_window;
        let within = |from: Duration| {
            self.forwarded
                .iter()
                .filter(|s| s.0 >= from && s.0 < from + span)
                .count()
        };
        let most = self
            .forwarded
            .iter()
            .map(|s| within(s.0))
            .max()
            .unwrap_or(0) as f64;
        let part = 0.7 * self.settings.overload_factor;
        assert!(
            here as f64 <= 2.0 + 2.0 * part * most / warm,
            "an endpoint in slow start got {here}, all at most {most}"
        );
    }

    fn check_exposure(&mut self, e: &EndpointEntry, class: usize) {
        if !self.is_canary(e.build) {
            return;
        }
        let r = &self.settings.rollout;
        let rollout_status = self.status.as_ref().filter(|n| n.build == e.build);
        let (stage, cap) = rollout_status.map_or((0, r.caps[0]), |n| (n.stage, n.cap));
        assert!(cap > 0.0, "nothing at cap 0");
        assert!(
            stage >= r.guarded_stages
                || self.settings.classes[class].idempotency == Idempotency::Idempotent,
            "guarded stage"
        );
        self.canary_attempts.push((self.now, e.build, class));
        let ours = |l: usize| !r.cap_per_class || l == class;
        let counted = &self.canary_attempts[self.exposure_counted_from..];
        let starts: Vec<Duration> = counted.iter().map(|x| x.0).collect();
        for from in starts.into_iter().filter(|t| *t + ms(3000) > self.now) {
            let sent = counted
                .iter()
                .filter(|x| x.0 >= from && x.1 == e.build && ours(x.2))
                .count() as f64;
            // Strictest: only requests that came after the window began, or in the same step.
            let came = self
                .arrivals
                .iter()
                .filter(|x| x.0 >= from && ours(x.1))
                .count() as f64;
            assert!(
                sent <= r.exposure_burst + cap * came + 1e-9,
                "{sent} attempts, {came} requests at {cap}"
            );
        }
    }

    /// Lets time pass in steps of one tick, as the adapter would: timers, time-outs, votes.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += self.settings.timer_granularity;
            let ids: Vec<u64> = self
                .requests
                .iter()
                .filter(|h| h.1.busy())
                .map(|h| *h.0)
                .collect();
            for id in ids {
                let late = |d: &SentAttempt| d.ended.is_none() && self.now >= d.times_out_at;
                let over = self.requests[&id].attempts.iter().position(late);
                if let Some(n) = over {
                    self.end_attempt(id, n, Outcome::TimedOut);
                }
                let h = self.requests.get_mut(&id).unwrap();
                let due = h.answers.is_empty() && h.recheck_at.is_some_and(|t| self.now >= t);
                if due {
                    h.recheck_at = None;
                    let answer = self.balancer.route(self.now, id);
                    self.apply(id, answer);
                }
                let h = &self.requests[&id];
                assert!(
                    !h.answers.is_empty() || self.now < h.deadline + ms(20),
                    "request {id} was lost"
                );
            }
            if self.now >= self.next_poll {
                let due = self.balancer.poll(self.now);
                assert!(due.next_poll > self.now);
                self.next_poll = due.next_poll;
                self.list_calls += usize::from(due.open_watch);
                self.log_lines.extend(due.log_lines);
                if let Some(v) = due.vote {
                    self.votes.push((self.now, v));
                }
            }
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
