//! A client of `Choice` that keeps timers and commands in hand as an adapter does, and checks the rules as it goes.
#![allow(dead_code)] // each test file uses a part of it

use std::collections::BTreeMap;
use std::time::Duration;
use tulipwall::*;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn deployment(seed: u64) -> Deployment {
    let lane = |quoted, benefit, repeats| Lane {
        quoted: ms(quoted),
        benefit,
        repeats,
    };
    Deployment {
        seed,
        agents: 3,
        zone: 0,
        lanes: vec![
            lane(400, 2.0, Repeats::Idempotent),
            lane(
                400,
                2.0,
                Repeats::Deduplicated {
                    group: Group::Zone,
                    window: ms(900),
                },
            ),
            lane(600, 6.0, Repeats::Unrepeatable),
        ],
        customers: vec![Customer { share: 0.6 }, Customer { share: 0.4 }],
        benefit_by_work: false,
        list_asked: false,
        list_shared: false,
        ask_within: ms(10_000),
        second_copies: false,
        withdraw: true,
        come_back: Some(ms(2000)),
        deliveries: 4,
        crossing_price: 0.0,
        cold_share: 0.3,
        cold_for: ms(4000),
        fall_for: ms(2000),
        fall_multiple: 3.0,
        probes: false,
        warm_keys: false,
        tick: ms(5),
        rollout: Rollout {
            caps: vec![0.2, 0.5, 1.0],
            free: 2.0,
            by_lane: false,
            guarded_stages: 0,
            one_way: false,
            by_clock: true,
            in_place: false,
            back_votes: 1,
            hold_votes: 1,
            tallied: false,
            vote_life: ms(6000),
            vote_wait: ms(1000),
            votes_per_s: 40.0,
            flagged_share: 0.5,
        },
    }
}

pub fn listed(appliance: usize, build: u32, started: Option<u64>) -> Listed {
    let (zone, cell) = (appliance % 2, appliance as u64 % 3);
    Listed {
        appliance,
        zone,
        cell,
        mark: appliance as u64,
        kind: 0,
        build,
        standing: Standing::Running,
        started: started.map(ms),
    }
}

pub fn trial(build: u32, stage: usize, cap: f64) -> News {
    News {
        build,
        stage,
        phase: Phase::Trial,
        cap,
        began: ms(1000),
    }
}

#[derive(Clone, Debug)]
pub struct Out {
    pub appliance: usize,
    pub sent: Duration,
    pub ended: Option<Outcome>,
    give_up: Duration,
}

pub struct Held {
    pub lane: usize,
    pub expires: Duration,
    pub deliveries: Vec<Out>,
    pub answers: Vec<Answer>,
    pub look: Option<Duration>,
}

pub struct World {
    pub now: Duration,
    pub choice: Choice,
    pub d: Deployment,
    pub held: BTreeMap<u64, Held>,
    pub list: BTreeMap<usize, Listed>,
    pub told: Option<News>,
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
    pub fn new(d: Deployment) -> World {
        let now = ms(1000);
        let choice = Choice::new(now, d.clone());
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

    pub fn list(&mut self, entries: &[Listed]) {
        self.choice.list(self.now, entries, false);
        for e in entries {
            let old = self.list.insert(e.appliance, e.clone());
            if old.is_none_or(|o| {
                o.started != e.started || o.build != e.build || o.standing != e.standing
            }) {
                self.listed_at.insert(e.appliance, self.sends.len());
            }
        }
    }

    pub fn news(&mut self, n: News) {
        let lower = self
            .told
            .as_ref()
            .is_none_or(|o| o.build != n.build || n.cap < o.cap);
        if lower {
            self.counted_from = self.exposed.len();
        }
        self.choice.news(n.clone());
        self.told = Some(n);
    }

    /// Goes on under other settings; the rules are checked by these. What nobody could know before is checked from now
    /// on: exposure by lane where it was counted for all, a lower cap, and keys that bind one way.
    pub fn renew(&mut self, d: Deployment, by: &Numbering) {
        let (was, now) = (&self.d.rollout, &d.rollout);
        if now.by_lane && !was.by_lane || now.caps[0] < was.caps[0] {
            self.counted_from = self.exposed.len();
        }
        if now.one_way && !was.one_way {
            self.bound.clear();
        }
        self.choice.renew(self.now, &d, by);
        self.d = d;
    }

    pub fn on_trial(&self, build: u32) -> bool {
        match &self.told {
            Some(n) => build > n.build || build == n.build && n.phase != Phase::Released,
            None => self
                .list
                .values()
                .any(|l| l.build < build && l.standing == Standing::Running),
        }
    }

    pub fn take(&mut self, id: u64, lane: usize, left: Duration) -> Answer {
        let expires = self.now + left;
        let held = Held {
            lane,
            expires,
            deliveries: Vec::new(),
            answers: Vec::new(),
            look: None,
        };
        self.held.insert(id, held);
        self.taken.push((self.now, lane));
        let customer = Some(id as usize % 2);
        self.choice.take(
            self.now,
            id,
            Command {
                lane,
                customer,
                key: Some(id % 7),
                left,
                work: None,
                again: false,
            },
        );
        let answer = self.choice.place(self.now, id);
        self.obey(id, answer.clone());
        answer
    }

    /// Ends the oldest delivery that is out to `appliance`, if any.
    pub fn end_at(&mut self, appliance: usize, outcome: Outcome) -> bool {
        let out = |h: &Held| {
            h.deliveries
                .iter()
                .position(|d| d.ended.is_none() && d.appliance == appliance)
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
        h.deliveries[n].ended = Some(outcome);
        if outcome == Outcome::Satisfied && h.answers.is_empty() {
            h.answers.push(Answer::Wait);
        }
        let closed = !h.answers.is_empty();
        let build = self.list[&h.deliveries[n].appliance].build;
        if outcome == Outcome::Satisfied && self.told.as_ref().is_some_and(|t| build >= t.build) {
            self.bound.insert(id % 7, build);
        }
        let took = self.now - h.deliveries[n].sent;
        let answer = self.choice.after(
            self.now,
            id,
            n,
            End {
                outcome,
                took,
                closed,
                held: None,
            },
        );
        self.obey(id, answer);
    }

    fn obey(&mut self, id: u64, answer: Answer) {
        let h = self.held.get_mut(&id).unwrap();
        let (lane, now) = (h.lane, self.now);
        let ran = |d: &Out| d.ended.is_none_or(|o| !o.never_ran());
        match answer.clone() {
            Answer::Send {
                appliance,
                time_out,
                look,
            } => {
                assert!(
                    h.answers.is_empty(),
                    "nothing is sent after the final answer"
                );
                assert!(now < h.expires && h.deliveries.len() < self.d.deliveries);
                let out = h.deliveries.iter().filter(|d| d.ended.is_none()).count();
                assert!(out == 0 || self.d.second_copies && out == 1);
                let e = self.list[&appliance].clone();
                match self.d.lanes[lane].repeats {
                    Repeats::Idempotent => {}
                    Repeats::Unrepeatable => {
                        assert!(!h.deliveries.iter().any(ran), "it may have run")
                    }
                    Repeats::Deduplicated { group, window } => {
                        for d in h.deliveries.iter().filter(|d| ran(d)) {
                            let o = &self.list[&d.appliance];
                            let here = match group {
                                Group::All => true,
                                Group::Zone => o.zone == e.zone,
                                Group::Cell => o.cell == e.cell,
                            };
                            assert!(here && now < d.sent + window, "outside its group or window");
                        }
                    }
                }
                let news = self
                    .told
                    .as_ref()
                    .filter(|t| matches!(t.phase, Phase::Trial | Phase::Released));
                let floor =
                    news.filter(|t| self.bound.get(&(id % 7)).is_some_and(|b| *b >= t.build));
                assert!(
                    !self.d.rollout.one_way || floor.is_none_or(|t| e.build >= t.build),
                    "one way"
                );
                assert_eq!(
                    e.standing,
                    Standing::Running,
                    "nothing to a draining or gone appliance"
                );
                let give_up = h.expires.min(now + time_out);
                h.deliveries.push(Out {
                    appliance,
                    sent: now,
                    ended: None,
                    give_up,
                });
                h.look = look;
                self.sends.push((now, appliance));
                self.check_cold(&e);
                self.check_exposure(&e, lane);
            }
            Answer::NotYet { until } => {
                assert!(until > now);
                h.look = Some(until);
            }
            Answer::Deny { .. } => {
                let harmless = match self.d.lanes[lane].repeats {
                    Repeats::Idempotent => true,
                    // Its client may be back half a second later, and the repeat must be told as one then.
                    Repeats::Deduplicated {
                        group: Group::All,
                        window,
                    } => h
                        .deliveries
                        .iter()
                        .filter(|d| ran(d))
                        .all(|d| now + ms(500) < d.sent + window),
                    _ => !h.deliveries.iter().any(ran),
                };
                assert!(harmless, "denied though it may have run");
                h.answers.push(answer);
            }
            Answer::Scrap => h.answers.push(answer),
            Answer::Withdraw { delivery } => {
                if h.deliveries[delivery].ended.is_none() {
                    self.end(id, delivery, Outcome::Withdrawn);
                }
                return;
            }
            Answer::Wait => {}
        }
        assert!(self.held[&id].answers.len() <= 1, "one final answer");
    }

    fn check_cold(&self, e: &Listed) {
        if e.started.is_none_or(|s| s + self.d.cold_for <= self.now) {
            return;
        }
        let told = self.listed_at[&e.appliance];
        let recent = |t: Duration| t + self.d.fall_for > self.now && t <= self.now;
        let cold = |l: &Listed| l.started.is_some_and(|s| s + self.d.cold_for > self.now);
        let running = self
            .list
            .values()
            .filter(|l| l.standing == Standing::Running);
        let all = running.clone().count() as f64;
        let warm = (running.filter(|l| !cold(l)).count() as f64).max(all / 2.0);
        let here = self.sends[told..]
            .iter()
            .filter(|(t, i)| recent(*t) && *i == e.appliance)
            .count();
        // What went out in the busiest window so far: the pace of warm ones is remembered.
        let span = self.d.fall_for;
        let within = |from: Duration| {
            self.sends
                .iter()
                .filter(|s| s.0 >= from && s.0 < from + span)
                .count()
        };
        let most = self.sends.iter().map(|s| within(s.0)).max().unwrap_or(0) as f64;
        let part = 0.7 * self.d.fall_multiple;
        assert!(
            here as f64 <= 2.0 + 2.0 * part * most / warm,
            "cold appliance got {here}, all at most {most}"
        );
    }

    fn check_exposure(&mut self, e: &Listed, lane: usize) {
        if !self.on_trial(e.build) {
            return;
        }
        let r = &self.d.rollout;
        let news = self.told.as_ref().filter(|n| n.build == e.build);
        let (stage, cap) = news.map_or((0, r.caps[0]), |n| (n.stage, n.cap));
        assert!(cap > 0.0, "nothing at cap 0");
        assert!(
            stage >= r.guarded_stages || self.d.lanes[lane].repeats == Repeats::Idempotent,
            "guarded stage"
        );
        self.exposed.push((self.now, e.build, lane));
        let ours = |l: usize| !r.by_lane || l == lane;
        let counted = &self.exposed[self.counted_from..];
        let starts: Vec<Duration> = counted.iter().map(|x| x.0).collect();
        for from in starts.into_iter().filter(|t| *t + ms(3000) > self.now) {
            let sent = counted
                .iter()
                .filter(|x| x.0 >= from && x.1 == e.build && ours(x.2))
                .count() as f64;
            // Strictest: only commands that came after the window began, or in the same step.
            let came = self
                .taken
                .iter()
                .filter(|x| x.0 >= from && ours(x.1))
                .count() as f64;
            assert!(
                sent <= r.free + cap * came + 1e-9,
                "{sent} deliveries, {came} commands at {cap}"
            );
        }
    }

    /// Lets time pass in steps of one tick, as the adapter would: timers, time-outs, votes.
    pub fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += self.d.tick;
            let ids: Vec<u64> = self
                .held
                .iter()
                .filter(|h| h.1.busy())
                .map(|h| *h.0)
                .collect();
            for id in ids {
                let late = |d: &Out| d.ended.is_none() && self.now >= d.give_up;
                let over = self.held[&id].deliveries.iter().position(late);
                if let Some(n) = over {
                    self.end(id, n, Outcome::TimedOut);
                }
                let h = self.held.get_mut(&id).unwrap();
                let due = h.answers.is_empty() && h.look.is_some_and(|t| self.now >= t);
                if due {
                    h.look = None;
                    let answer = self.choice.place(self.now, id);
                    self.obey(id, answer);
                }
                let h = &self.held[&id];
                assert!(
                    !h.answers.is_empty() || self.now < h.expires + ms(20),
                    "command {id} was lost"
                );
            }
            if self.now >= self.wake {
                let due = self.choice.wait(self.now);
                assert!(due.until > self.now);
                self.wake = due.until;
                self.watches += usize::from(due.watch);
                self.notes.extend(due.notes);
                if let Some(v) = due.vote {
                    self.votes.push((self.now, v));
                }
            }
        }
    }

    /// `n` idempotent commands, each answered after `took` by `outcome` of the appliance it went to.
    pub fn serve(
        &mut self,
        n: u64,
        lane: usize,
        took: Duration,
        outcome: impl Fn(&Listed) -> Outcome,
    ) {
        for _ in 0..n {
            let id = self.held.len() as u64;
            self.take(id, lane, ms(1500));
            while let Some(n) = self.held[&id]
                .deliveries
                .iter()
                .position(|d| d.ended.is_none())
            {
                self.pass(took);
                let d = &self.held[&id].deliveries[n];
                if d.ended.is_none() {
                    let e = self.list[&d.appliance].clone();
                    self.end(id, n, outcome(&e));
                }
            }
            self.pass(self.d.tick);
        }
    }

    pub fn last_vote(&self) -> Option<Verdict> {
        self.votes.last().map(|v| v.1.verdict)
    }
}

impl Held {
    fn busy(&self) -> bool {
        self.answers.is_empty() || self.deliveries.iter().any(|d| d.ended.is_none())
    }
}
