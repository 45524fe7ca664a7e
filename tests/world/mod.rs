//! A client of `Balancer` that keeps timers and requests in hand as an adapter does, and checks the
//! rules as it goes.
#![allow(dead_code)] // each test file uses a part of it

use std::collections::BTreeMap;
use std::time::Duration;
use tulipwall::*;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn deployment(seed: u64) -> Settings {
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

pub fn listed(endpoint: usize, build: u32, started: Option<u64>) -> EndpointEntry {
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

pub fn trial(build: u32, stage: usize, cap: f64) -> RolloutStatus {
    RolloutStatus {
        build,
        stage,
        phase: RolloutPhase::Canary,
        cap,
        since: ms(1000),
    }
}

#[derive(Clone, Debug)]
pub struct Out {
    pub endpoint: usize,
    pub sent: Duration,
    pub ended: Option<Outcome>,
    give_up: Duration,
}

pub struct Held {
    pub class: usize,
    pub deadline: Duration,
    pub attempts: Vec<Out>,
    pub answers: Vec<Decision>,
    pub look: Option<Duration>,
}

pub struct World {
    pub now: Duration,
    pub choice: Balancer,
    pub d: Settings,
    pub held: BTreeMap<u64, Held>,
    pub list: BTreeMap<usize, EndpointEntry>,
    pub told: Option<RolloutStatus>,
    pub votes: Vec<(Duration, Vote)>,
    pub watches: usize,
    pub notes: Vec<String>,
    pub sends: Vec<(Duration, usize)>,
    exposed: Vec<(Duration, u32, usize)>,
    taken: Vec<(Duration, usize)>,
    bound: BTreeMap<u64, u32>,
    counted_from: usize,
    listed_at: BTreeMap<usize, usize>,
    wake: Duration,
}

impl World {
    pub fn new(d: Settings) -> World {
        let now = ms(1000);
        let choice = Balancer::new(now, d.clone());
        World {
            now,
            choice,
            d,
            held: BTreeMap::new(),
            list: BTreeMap::new(),
            told: None,
            votes: Vec::new(),
            watches: 0,
            notes: Vec::new(),
            sends: Vec::new(),
            exposed: Vec::new(),
            taken: Vec::new(),
            bound: BTreeMap::new(),
            counted_from: 0,
            listed_at: BTreeMap::new(),
            wake: now,
        }
    }

    pub fn list(&mut self, entries: &[EndpointEntry]) {
        self.choice.update_endpoints(self.now, entries, false);
        for e in entries {
            let old = self.list.insert(e.endpoint, e.clone());
            if old
                .is_none_or(|o| o.started != e.started || o.build != e.build || o.state != e.state)
            {
                self.listed_at.insert(e.endpoint, self.sends.len());
            }
        }
    }

    pub fn rollout_status(&mut self, n: RolloutStatus) {
        let lower = self
            .told
            .as_ref()
            .is_none_or(|o| o.build != n.build || n.cap < o.cap);
        if lower {
            self.counted_from = self.exposed.len();
        }
        self.choice.update_rollout(n.clone());
        self.told = Some(n);
    }

    /// Goes on under other settings; the rules are checked by these. What nobody could know before
    /// is checked from now on: exposure by class where it was counted for all, a lower cap, and
    /// keys that bind one way.
    pub fn renew(&mut self, d: Settings, by: &IndexMapping) {
        let (was, now) = (&self.d.rollout, &d.rollout);
        if now.cap_per_class && !was.cap_per_class || now.caps[0] < was.caps[0] {
            self.counted_from = self.exposed.len();
        }
        if now.sticky_builds && !was.sticky_builds {
            self.bound.clear();
        }
        self.choice.reload(self.now, &d, by);
        self.d = d;
    }

    pub fn on_trial(&self, build: u32) -> bool {
        match &self.told {
            Some(n) => build > n.build || build == n.build && n.phase != RolloutPhase::Released,
            None => self
                .list
                .values()
                .any(|l| l.build < build && l.state == EndpointState::Running),
        }
    }

    pub fn take(&mut self, id: u64, class: usize, left: Duration) -> Decision {
        let deadline = self.now + left;
        let held = Held {
            class,
            deadline,
            attempts: Vec::new(),
            answers: Vec::new(),
            look: None,
        };
        self.held.insert(id, held);
        self.taken.push((self.now, class));
        let tenant = Some(id as usize % 2);
        self.choice.on_request(
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
        let answer = self.choice.route(self.now, id);
        self.obey(id, answer.clone());
        answer
    }

    /// Ends the oldest attempt that is out to `endpoint`, if any.
    pub fn end_at(&mut self, endpoint: usize, outcome: Outcome) -> bool {
        let out = |h: &Held| {
            h.attempts
                .iter()
                .position(|d| d.ended.is_none() && d.endpoint == endpoint)
        };
        let found = self
            .held
            .iter()
            .find_map(|(id, h)| out(h).map(|n| (*id, n)));
        if let Some((id, n)) = found {
            self.end(id, n, outcome);
        }
        found.is_some()
    }

    pub fn end(&mut self, id: u64, n: usize, outcome: Outcome) {
        let h = self.held.get_mut(&id).unwrap();
        h.attempts[n].ended = Some(outcome);
        if outcome == Outcome::Succeeded && h.answers.is_empty() {
            h.answers.push(Decision::Await);
        }
        let closed = !h.answers.is_empty();
        let build = self.list[&h.attempts[n].endpoint].build;
        if outcome == Outcome::Succeeded && self.told.as_ref().is_some_and(|t| build >= t.build) {
            self.bound.insert(id % 7, build);
        }
        let took = self.now - h.attempts[n].sent;
        let answer = self.choice.on_attempt_end(
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
        self.obey(id, answer);
    }

    fn obey(&mut self, id: u64, answer: Decision) {
        let h = self.held.get_mut(&id).unwrap();
        let (class, now) = (h.class, self.now);
        let ran = |d: &Out| d.ended.is_none_or(|o| !o.never_ran());
        match answer.clone() {
            Decision::Forward {
                endpoint,
                timeout,
                recheck_at: look,
            } => {
                assert!(
                    h.answers.is_empty(),
                    "nothing is sent after the final answer"
                );
                assert!(now < h.deadline && h.attempts.len() < self.d.max_attempts);
                let out = h.attempts.iter().filter(|d| d.ended.is_none()).count();
                assert!(out == 0 || self.d.hedging && out == 1);
                let e = self.list[&endpoint].clone();
                match self.d.classes[class].idempotency {
                    Idempotency::Idempotent => {}
                    Idempotency::NonIdempotent => {
                        assert!(!h.attempts.iter().any(ran), "it may have run")
                    }
                    Idempotency::Keyed {
                        scope: group,
                        window,
                    } => {
                        for d in h.attempts.iter().filter(|d| ran(d)) {
                            let o = &self.list[&d.endpoint];
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
                    .told
                    .as_ref()
                    .filter(|t| matches!(t.phase, RolloutPhase::Canary | RolloutPhase::Released));
                let floor = rollout_status
                    .filter(|t| self.bound.get(&(id % 7)).is_some_and(|b| *b >= t.build));
                assert!(
                    !self.d.rollout.sticky_builds || floor.is_none_or(|t| e.build >= t.build),
                    "one way"
                );
                assert_eq!(
                    e.state,
                    EndpointState::Running,
                    "nothing to a draining or gone appliance"
                );
                let give_up = h.deadline.min(now + timeout);
                h.attempts.push(Out {
                    endpoint,
                    sent: now,
                    ended: None,
                    give_up,
                });
                h.look = look;
                self.sends.push((now, endpoint));
                self.check_cold(&e);
                self.check_exposure(&e, class);
            }
            Decision::Defer { until } => {
                assert!(until > now);
                h.look = Some(until);
            }
            Decision::Reject { .. } => {
                let harmless = match self.d.classes[class].idempotency {
                    Idempotency::Idempotent => true,
                    // Its client may be back half a second later, and the repeat must be told as
                    // one then.
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
                assert!(harmless, "denied though it may have run");
                h.answers.push(answer);
            }
            Decision::Fail => h.answers.push(answer),
            Decision::Cancel { attempt } => {
                if h.attempts[attempt].ended.is_none() {
                    self.end(id, attempt, Outcome::Cancelled);
                }
                return;
            }
            Decision::Await => {}
        }
        assert!(self.held[&id].answers.len() <= 1, "one final answer");
    }

    fn check_cold(&self, e: &EndpointEntry) {
        if e.started
            .is_none_or(|s| s + self.d.slow_start_duration <= self.now)
        {
            return;
        }
        let told = self.listed_at[&e.endpoint];
        let recent = |t: Duration| t + self.d.overload_window > self.now && t <= self.now;
        let cold = |l: &EndpointEntry| {
            l.started
                .is_some_and(|s| s + self.d.slow_start_duration > self.now)
        };
        let running = self
            .list
            .values()
            .filter(|l| l.state == EndpointState::Running);
        let all = running.clone().count() as f64;
        let warm = (running.filter(|l| !cold(l)).count() as f64).max(all / 2.0);
        let here = self.sends[told..]
            .iter()
            .filter(|(t, i)| recent(*t) && *i == e.endpoint)
            .count();
        // What went out in the busiest window so far: the pace of warm ones is remembered.
        let span = self.d.overload_window;
        let within = |from: Duration| {
            self.sends
                .iter()
                .filter(|s| s.0 >= from && s.0 < from + span)
                .count()
        };
        let most = self.sends.iter().map(|s| within(s.0)).max().unwrap_or(0) as f64;
        let part = 0.7 * self.d.overload_factor;
        assert!(
            here as f64 <= 2.0 + 2.0 * part * most / warm,
            "cold appliance got {here}, all at most {most}"
        );
    }

    fn check_exposure(&mut self, e: &EndpointEntry, class: usize) {
        if !self.on_trial(e.build) {
            return;
        }
        let r = &self.d.rollout;
        let rollout_status = self.told.as_ref().filter(|n| n.build == e.build);
        let (stage, cap) = rollout_status.map_or((0, r.caps[0]), |n| (n.stage, n.cap));
        assert!(cap > 0.0, "nothing at cap 0");
        assert!(
            stage >= r.guarded_stages
                || self.d.classes[class].idempotency == Idempotency::Idempotent,
            "guarded stage"
        );
        self.exposed.push((self.now, e.build, class));
        let ours = |l: usize| !r.cap_per_class || l == class;
        let counted = &self.exposed[self.counted_from..];
        let starts: Vec<Duration> = counted.iter().map(|x| x.0).collect();
        for from in starts.into_iter().filter(|t| *t + ms(3000) > self.now) {
            let sent = counted
                .iter()
                .filter(|x| x.0 >= from && x.1 == e.build && ours(x.2))
                .count() as f64;
            // Strictest: only requests that came after the window began, or in the same step.
            let came = self
                .taken
                .iter()
                .filter(|x| x.0 >= from && ours(x.1))
                .count() as f64;
            assert!(
                sent <= r.exposure_burst + cap * came + 1e-9,
                "{sent} deliveries, {came} commands at {cap}"
            );
        }
    }

    /// Lets time pass in steps of one tick, as the adapter would: timers, time-outs, votes.
    pub fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += self.d.timer_granularity;
            let ids: Vec<u64> = self
                .held
                .iter()
                .filter(|h| h.1.busy())
                .map(|h| *h.0)
                .collect();
            for id in ids {
                let late = |d: &Out| d.ended.is_none() && self.now >= d.give_up;
                let over = self.held[&id].attempts.iter().position(late);
                if let Some(n) = over {
                    self.end(id, n, Outcome::TimedOut);
                }
                let h = self.held.get_mut(&id).unwrap();
                let due = h.answers.is_empty() && h.look.is_some_and(|t| self.now >= t);
                if due {
                    h.look = None;
                    let answer = self.choice.route(self.now, id);
                    self.obey(id, answer);
                }
                let h = &self.held[&id];
                assert!(
                    !h.answers.is_empty() || self.now < h.deadline + ms(20),
                    "command {id} was lost"
                );
            }
            if self.now >= self.wake {
                let due = self.choice.poll(self.now);
                assert!(due.next_poll > self.now);
                self.wake = due.next_poll;
                self.watches += usize::from(due.open_watch);
                self.notes.extend(due.log_lines);
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
            let id = self.held.len() as u64;
            self.take(id, class, ms(1500));
            while let Some(n) = self.held[&id]
                .attempts
                .iter()
                .position(|d| d.ended.is_none())
            {
                self.pass(took);
                let d = &self.held[&id].attempts[n];
                if d.ended.is_none() {
                    let e = self.list[&d.endpoint].clone();
                    self.end(id, n, outcome(&e));
                }
            }
            self.pass(self.d.timer_granularity);
        }
    }

    pub fn last_vote(&self) -> Option<Verdict> {
        self.votes.last().map(|v| v.1.verdict)
    }
}

impl Held {
    fn busy(&self) -> bool {
        self.answers.is_empty() || self.attempts.iter().any(|d| d.ended.is_none())
    }
}
