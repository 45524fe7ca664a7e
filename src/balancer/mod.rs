//! The decisions of one agent.
//!
//! A caller asks [`Balancer::route`] where to forward a request, [`Balancer::on_attempt_end`] what
//! to do after an attempt, and [`Balancer::poll`] what is due and when to ask again.

mod admission;
mod build_evaluation;
mod endpoint_health;
mod endpoint_list;
mod reload;
mod rollout_votes;
mod routing;

use crate::interface::*;
use crate::model::*;
use rand::{seq::SliceRandom, Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const LEAST_OUTCOMES: f64 = 10.0;
const POPULAR: usize = 32; // a key met within so many requests is warm anywhere, and would swamp a home
const KIND_GAIN: f64 = 0.02;
const EVALUATION_INTERVAL: Duration = ms(100);
const FIRST_GUESS: f64 = 0.15; // of the latency objective: an answer before any has come
const GAP: Duration = ms(250); // between calls of a kind, doubled as they fail
const BLAME_GAIN: f64 = 0.15;
const RETRY_EACH: f64 = 0.1; // further attempts earned by each request
const RETRY_MOST: f64 = 20.0;
const RETRY_AFTER: Duration = ms(500);

/// One agent's decisions.
#[derive(Default)]
pub struct Balancer {
    pub(crate) at: Bounds,
    rng: Option<Pcg64Mcg>,
    classes: Vec<ClassState>,
    pub(crate) commands: BTreeMap<u64, Open>,
    pub(crate) fleet: Vec<Endpoint>,
    pub(crate) kinds: Vec<Kind>,
    load_report_requests: Vec<usize>, // for their load
    recent: Recent,
    pub(crate) builds: BTreeMap<u32, Build>,
    oldest: u32,                          // build that runs
    pub(crate) bound: BTreeMap<u64, u32>, // keys that a build on trial has answered
    pub(crate) rollout_status: Option<RolloutStatus>,
    beside: Beside,
    intake: Intake,
    drag: Drag,
    tenant_load: Vec<f64>,
    crossings: CrossZonePolicy,
    carried: Mean,        // answers of a warm endpoint in a survey
    sick_until: Duration, // single machines of the earlier build fail, too
    load: Load,
    votes: Votes,
    next_evaluation: Duration,
    resumed: Duration, // after this agent's last stall
    watch_at: Option<Duration>,
    watch_gap: Duration,
    /// Until when the list tells who left; then nothing is sent. Guards drains, denies while it is
    /// refused.
    list_valid_until: Option<Duration>,
    notes: Vec<String>,
}

impl Balancer {
    pub fn new(now: Duration, d: Settings) -> Balancer {
        let (mut rng, at) = (Pcg64Mcg::seed_from_u64(d.seed), Bounds::of(&d));
        Balancer {
            classes: d
                .classes
                .iter()
                .map(|l| ClassState::new(l, FIRST_GUESS))
                .collect(),
            tenant_load: vec![0.0; d.tenants.len()],
            beside: Beside {
                counts: vec![Count::default(); d.classes.len()],
                ..Beside::default()
            },
            votes: Votes {
                severe: rng.gen_bool(0.5),
                ..Votes::default()
            },
            watch_at: at
                .ask_within
                .map(|_| now + at.list_call_interval().mul_f64(rng.gen_range(0.0..1.0))),
            rng: Some(rng),
            at,
            load: Load {
                spare: RETRY_MOST,
                blame: 1.0,
                ..Load::default()
            },
            carried: Mean {
                now: 0.0,
                seen: 1.0 / KIND_GAIN,
            }, // from nothing: a start knows no pace
            ..Balancer::default()
        }
    }

    pub fn on_request(&mut self, now: Duration, id: u64, c: Request) {
        self.load.spare = (self.load.spare + RETRY_EACH).min(RETRY_MOST);
        self.intake.taken += if c.is_retry { 0.0 } else { 1.0 };
        let (slot, free) = (self.at.slot(c.class), self.at.free);
        self.builds
            .values_mut()
            .for_each(|b| b.tokens[slot] = (b.tokens[slot] + b.cap).min(free));
        c.tenant
            .and_then(|i| self.tenant_load.get_mut(i))
            .into_iter()
            .for_each(|l| *l += 1.0);
        let home = c
            .key
            .filter(|k| self.at.warm_keys && !self.recent.met(*k, POPULAR));
        self.commands.insert(
            id,
            Open {
                home,
                ..Open::new(now, &c)
            },
        );
    }

    /// What the platform says of the newest build.
    pub fn update_rollout(&mut self, n: RolloutStatus) {
        let known = self.rollout_status.as_ref().map(|o| o.build);
        if known > Some(n.build) {
            return;
        }
        if known != Some(n.build) {
            let stood = self
                .rollout_status
                .as_ref()
                .is_some_and(|o| o.phase == RolloutPhase::Released);
            self.classes
                .iter_mut()
                .for_each(|l| l.settle(stood, LEAST_OUTCOMES));
            self.drag = Drag::default();
            self.beside.counts.fill(Count::default());
            self.bound.retain(|_, b| *b >= n.build);
            let oldest = earlier(&self.builds, n.build);
            self.builds.retain(|b, _| *b >= oldest);
        }
        self.build(n.build);
        self.rollout_status = Some(n);
        self.set_caps();
    }

    /// What crossing means from now on. It weighs where requests go, after the rules and a trial's
    /// evidence.
    pub fn set_cross_zone_policy(&mut self, told: CrossZonePolicy) {
        self.crossings = told;
        let own = self.crossings.zones.get_mut(self.at.zone);
        own.into_iter().for_each(|c| {
            *c = ZonePolicy {
                weight: Some(1.0),
                ..ZonePolicy::default()
            }
        });
    }

    /// Sets until when the endpoint list holds; nothing is sent from then on. `None` where it holds
    /// without a limit.
    pub fn set_list_valid_until(&mut self, until: Option<Duration>) {
        self.list_valid_until = until;
    }

    /// Where to send this request now.
    pub fn route(&mut self, now: Duration, id: u64) -> Decision {
        self.resume(now);
        let Some(c) = self.commands.get(&id).filter(|c| !c.closed) else {
            return Decision::Await;
        };
        let (class, left) = (&self.classes[c.class], c.deadline.saturating_sub(now));
        let spent = c.attempts.len() >= self.at.attempts;
        let hopeless =
            left.as_secs_f64() < class.usual || c.forgotten(class.idempotency, now + self.at.tick);
        let (patience, late_after) = (self.patience(), self.late_after(class));
        let wait = patience.min(late_after);

        if let Some((attempt, d)) = c.out().last() {
            // It is out. Guards against endpoints that hang, vanish, pause or crawl: when one has
            // said nothing at all since, or is very late, an idempotent request goes to another.
            let twice = c.out().count() > 1;
            if class.idempotency == Idempotency::NonIdempotent
                || twice
                || spent
                || hopeless
                || self.load.spare < 1.0
            {
                return Decision::Await;
            }
            let sent = d.sent.max(self.resumed);
            let silent = now >= sent + patience && self.fleet[d.endpoint].silent(now, patience);
            let late = sent + late_after;
            if !silent && now < late {
                return Decision::Defer {
                    until: late.min(now + patience / 4).max(now + self.at.tick),
                };
            }
            if !self.at.hedging {
                return Decision::Cancel { attempt };
            }
            self.load.spare -= 1.0;
            return self.pick(now, id).map_or(Decision::Await, |[other, _]| {
                self.send(now, id, other, wait)
            });
        }
        // Overload: what is worth least is rejected before it costs anything.
        if left <= self.at.tick * 2 || spent || c.attempts.is_empty() && self.crowded(c) {
            return self.give_up(now, id);
        }
        // Unsent at half its time: its client may find another agent. Denies what might yet be
        // taken.
        let unsent = now + self.at.tick * 4 > c.half && !c.attempts.iter().any(|d| d.may_have_run);
        match self.pick(now, id) {
            Some(two) if self.ask(now, id, two) => Decision::Defer {
                until: now + self.at.tick * 2,
            },
            Some([chosen, _]) => self.send(now, id, chosen, wait),
            None if hopeless || unsent => self.give_up(now, id),
            None => Decision::Defer {
                until: now + self.at.tick * 4,
            },
        }
    }

    /// Whether an attempt still stands as it is about to be written: its connection may have come
    /// up late.
    pub fn attempt_allowed(&self, now: Duration, id: u64, nth: usize) -> bool {
        let Some(c) = self.commands.get(&id).filter(|c| now < c.deadline) else {
            return false;
        };
        let list_valid_until = self.list_valid_until.is_none_or(|t| now < t);
        let to = c.attempts.get(nth).and_then(|d| self.fleet.get(d.endpoint));
        list_valid_until
            && to.is_some_and(|a| {
                c.within_group(
                    nth,
                    self.classes[c.class].idempotency,
                    a,
                    now + self.at.tick,
                )
            })
    }

    /// What to do after an attempt ended; `closed` when the request has had its final answer.
    pub fn on_attempt_end(
        &mut self,
        now: Duration,
        id: u64,
        attempt: usize,
        end: AttemptEnd,
    ) -> Decision {
        self.resume(now);
        let Some(c) = self.commands.get_mut(&id) else {
            return Decision::Await;
        };
        let Some(d) = c.attempts.get_mut(attempt).filter(|d| d.out) else {
            return Decision::Await;
        };
        d.end(end.outcome);
        let (endpoint, build, class, key) = (d.endpoint, d.build, c.class, c.key);
        self.load.in_flight = self.load.in_flight.saturating_sub(1);
        // Guards against requests that fail anywhere: what fails at a second endpoint, too, is held
        // against neither. Should also spare a broken dependency; may spare a build that fails
        // nearly all of a class.
        let first = c.attempts[..attempt]
            .iter()
            .find(|d| d.failed)
            .map(|d| (d.endpoint, d.build));
        match (end.outcome, first) {
            (Outcome::Failed, Some((i, b))) => {
                self.load.blame *= 1.0 - BLAME_GAIN;
                let a = &mut self.fleet[i];
                if let Some(count) = a.counts.get_mut(class).filter(|_| a.build == b) {
                    count.failed = (count.failed - 1.0).max(0.0);
                    a.failing *= 0.85;
                }
            }
            (Outcome::Succeeded, Some(_)) => {
                self.load.blame += (1.0 - self.load.blame) * BLAME_GAIN
            }
            _ => {}
        }
        let weight = if first.is_some() {
            0.0
        } else {
            self.load.blame
        };
        self.on_load_report(now, endpoint, end.outcome, end.reported_load);
        if end.outcome == Outcome::Succeeded && self.resumed < now {
            self.hear(id, attempt, end.latency);
        }
        self.learn(now, endpoint, build, class, &end, weight);
        let by = build.max(self.fleet[endpoint].build);
        let binds = self.at.one_way && self.rollout_status.as_ref().is_none_or(|n| by >= n.build);
        self.bound.extend(
            key.filter(|_| binds && end.outcome == Outcome::Succeeded)
                .map(|k| (k, by)),
        );
        let c = &self.commands[&id];
        let other = c.out().next().map(|(nth, _)| nth);
        if end.request_closed || c.closed {
            self.close_request(id);
            let waste = other.filter(|_| self.at.withdraw);
            return waste.map_or(Decision::Await, |attempt| Decision::Cancel { attempt });
        }
        if other.is_some() {
            return Decision::Await;
        }
        let ran = c.attempts.iter().any(|d| d.may_have_run);
        let cost = if ran { 1.0 } else { 0.3 };
        let moot =
            end.outcome == Outcome::Failed && chance(&mut self.rng) > self.load.blame.max(0.2);
        let late = c.deadline.saturating_sub(now).as_secs_f64() < self.classes[class].usual * 0.5;
        let barred = ran && self.classes[class].idempotency == Idempotency::NonIdempotent;
        if late || barred || moot || self.load.spare < cost {
            return self.give_up(now, id);
        }
        self.load.spare -= cost;
        self.route(now, id)
    }

    /// What is due now, and when to ask again.
    pub fn poll(&mut self, now: Duration) -> PollResult {
        if now >= self.next_evaluation {
            self.weigh(now);
            self.fade(now);
            self.limit(now);
            self.judge(now);
            self.next_evaluation = now + EVALUATION_INTERVAL;
        }
        let watch = self.watch_at.take_if(|t| now >= *t).is_some();
        let until = self
            .watch_at
            .map_or(self.next_evaluation, |t| t.min(self.next_evaluation));
        let (load_report_requests, vote) = (
            std::mem::take(&mut self.load_report_requests),
            self.vote(now),
        );
        PollResult {
            next_poll: until,
            vote,
            open_watch: watch,
            load_report_requests,
            log_lines: std::mem::take(&mut self.notes),
        }
    }

    fn give_up(&mut self, now: Duration, id: u64) -> Decision {
        let Some(c) = self.commands.get(&id) else {
            return Decision::Await;
        };
        let deny = Decision::Reject {
            retry_after: self.at.retry_after.map(|most| most.min(RETRY_AFTER)),
        };
        let harmless = c.harmless(self.classes[c.class].idempotency, now + RETRY_AFTER);
        let answer = if harmless { deny } else { Decision::Fail };
        self.close_request(id);
        answer
    }

    pub fn close_request(&mut self, id: u64) {
        let Some(c) = self.commands.get_mut(&id) else {
            return;
        };
        c.closed = true;
        if c.attempts.iter().all(|d| !d.out) {
            self.commands.remove(&id);
        }
    }

    pub(crate) fn running(&self) -> impl Iterator<Item = (usize, &Endpoint)> {
        self.at
            .walk(&self.fleet)
            .iter()
            .enumerate()
            .filter(|(_, a)| a.standing == EndpointState::Running)
    }

    fn build(&mut self, number: u32) -> &mut Build {
        let (classes, slots) = (
            self.classes.len(),
            if self.at.by_class {
                self.classes.len()
            } else {
                1
            },
        );
        self.builds
            .entry(number)
            .or_insert_with(|| Build::new(classes, slots, self.at.free))
    }
}
