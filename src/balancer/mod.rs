//! The decisions of one agent, asked by [`Choice::place`] (where to send this command, or not yet, or never),
//! [`Choice::after`] (what to do after this outcome) and [`Choice::wait`] (how long to wait, what is due).

mod admission;
mod build_evaluation;
mod endpoint_health;
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
const POPULAR: usize = 32; // a key met within so many commands is warm anywhere, and would swamp a home
const KIND_GAIN: f64 = 0.02;
const SURVEY: Duration = ms(100);
const FIRST_GUESS: f64 = 0.15; // of the quoted time: an answer before any has come
const GAP: Duration = ms(250); // between calls of a kind, doubled as they fail
const BLAME_GAIN: f64 = 0.15;
const RETRY_EACH: f64 = 0.1; // further deliveries earned by each command
const RETRY_MOST: f64 = 20.0;
const COME_BACK: Duration = ms(500);

/// One agent's decisions.
#[derive(Default)]
pub struct Choice {
    pub(crate) at: Bounds,
    rng: Option<Pcg64Mcg>,
    lanes: Vec<LaneView>,
    pub(crate) commands: BTreeMap<u64, Open>,
    pub(crate) fleet: Vec<Appliance>,
    pub(crate) kinds: Vec<Kind>,
    asks: Vec<usize>, // for their load
    recent: Recent,
    pub(crate) builds: BTreeMap<u32, Build>,
    oldest: u32,                          // build that runs
    pub(crate) bound: BTreeMap<u64, u32>, // keys that a build on trial has answered
    pub(crate) news: Option<News>,
    beside: Beside,
    intake: Intake,
    drag: Drag,
    customer_load: Vec<f64>,
    crossings: Crossings,
    carried: Mean,        // answers of a warm appliance in a survey
    sick_until: Duration, // single machines of the earlier build fail, too
    load: Load,
    votes: Votes,
    survey_at: Duration,
    resumed: Duration, // after this agent's last stall
    watch_at: Option<Duration>,
    watch_gap: Duration,
    /// Until when the list tells who left; then nothing is sent. Guards drains, denies while it is refused.
    pub vouched: Option<Duration>,
    notes: Vec<String>,
}

impl Choice {
    pub fn new(now: Duration, d: Deployment) -> Choice {
        let (mut rng, at) = (Pcg64Mcg::seed_from_u64(d.seed), Bounds::of(&d));
        Choice {
            lanes: d
                .lanes
                .iter()
                .map(|l| LaneView::new(l, FIRST_GUESS))
                .collect(),
            customer_load: vec![0.0; d.customers.len()],
            beside: Beside {
                counts: vec![Count::default(); d.lanes.len()],
                ..Beside::default()
            },
            votes: Votes {
                severe: rng.gen_bool(0.5),
                ..Votes::default()
            },
            watch_at: at
                .ask_within
                .map(|_| now + at.call_share().mul_f64(rng.gen_range(0.0..1.0))),
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
            ..Choice::default()
        }
    }

    pub fn take(&mut self, now: Duration, id: u64, c: Command) {
        self.load.spare = (self.load.spare + RETRY_EACH).min(RETRY_MOST);
        self.intake.taken += if c.again { 0.0 } else { 1.0 };
        let (slot, free) = (self.at.slot(c.lane), self.at.free);
        self.builds
            .values_mut()
            .for_each(|b| b.tokens[slot] = (b.tokens[slot] + b.cap).min(free));
        c.customer
            .and_then(|i| self.customer_load.get_mut(i))
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

    /// Entries of the list; `complete` when whatever it lacks is gone.
    pub fn list(&mut self, now: Duration, entries: &[Listed], complete: bool) {
        self.watch_gap = GAP;
        if complete {
            let named: BTreeSet<usize> = entries.iter().map(|e| e.appliance).collect();
            (0..self.fleet.len())
                .filter(|i| !named.contains(i))
                .for_each(|i| self.retire(i, Standing::Gone));
        }
        for e in entries {
            self.fleet
                .resize_with(self.fleet.len().max(e.appliance + 1), Appliance::default);
            self.kinds
                .resize(self.kinds.len().max(e.kind + 1), Kind::default());
            let (a, runs) = (&self.fleet[e.appliance], e.standing == Standing::Running);
            let same = (a.standing, a.build, a.started, a.zone)
                == (e.standing, e.build, e.started, e.zone);
            if !runs || !same {
                self.retire(e.appliance, e.standing);
            }
            if runs && !same {
                let cold = e.started.filter(|s| *s + self.at.cold_for > now);
                self.fleet[e.appliance].start(e, self.lanes.len(), cold, chance(&mut self.rng));
                let b = self.build(e.build);
                b.newest = b.newest.max(e.started.unwrap_or_default());
            }
        }
        self.oldest = self.running().map(|(_, a)| a.build).min().unwrap_or(0);
        self.set_caps();
    }

    /// A list call failed, or the watch broke: ask again, less and less often, down to the agent's share of
    /// the calls. Guards against a discovery that all keep overbooked. May delay a list beyond `vouched`.
    pub fn list_failed(&mut self, now: Duration) {
        let gap = self.watch_gap.max(GAP).max(self.at.call_share() / 4);
        self.watch_at = Some(now + gap.mul_f64(0.7 + 0.6 * chance(&mut self.rng)));
        self.watch_gap = (gap * 3 / 2).min(self.at.call_share().max(GAP * 8));
    }

    /// What the platform says of the newest build.
    pub fn news(&mut self, n: News) {
        let known = self.news.as_ref().map(|o| o.build);
        if known > Some(n.build) {
            return;
        }
        if known != Some(n.build) {
            let stood = self
                .news
                .as_ref()
                .is_some_and(|o| o.phase == Phase::Released);
            self.lanes
                .iter_mut()
                .for_each(|l| l.settle(stood, LEAST_OUTCOMES));
            self.drag = Drag::default();
            self.beside.counts.fill(Count::default());
            self.bound.retain(|_, b| *b >= n.build);
            let oldest = earlier(&self.builds, n.build);
            self.builds.retain(|b, _| *b >= oldest);
        }
        self.build(n.build);
        self.news = Some(n);
        self.set_caps();
    }

    fn retire(&mut self, i: usize, standing: Standing) {
        let a = &mut self.fleet[i];
        let was = std::mem::replace(&mut a.standing, standing);
        if was == Standing::Running && a.aside.is_none() {
            let (past, counts) = (self.builds.get_mut(&a.build), std::mem::take(&mut a.counts));
            past.into_iter()
                .flat_map(|b| &mut b.past)
                .zip(&counts)
                .for_each(|(p, c)| p.mix(1.0, c));
        }
    }

    /// What crossing means from now on. It weighs where commands go, after the rules and a trial's evidence.
    pub fn crossings(&mut self, told: Crossings) {
        self.crossings = told;
        let own = self.crossings.zones.get_mut(self.at.zone);
        own.into_iter().for_each(|c| {
            *c = Crossing {
                draw: Some(1.0),
                ..Crossing::default()
            }
        });
    }

    /// Where to send this command now.
    pub fn place(&mut self, now: Duration, id: u64) -> Answer {
        self.resume(now);
        let Some(c) = self.commands.get(&id).filter(|c| !c.closed) else {
            return Answer::Wait;
        };
        let (lane, left) = (&self.lanes[c.lane], c.expires.saturating_sub(now));
        let spent = c.deliveries.len() >= self.at.deliveries;
        let hopeless =
            left.as_secs_f64() < lane.usual || c.forgotten(lane.repeats, now + self.at.tick);
        let (patience, late_after) = (self.patience(), self.late_after(lane));
        let wait = patience.min(late_after);

        if let Some((delivery, d)) = c.out().last() {
            // It is out. Guards against appliances that hang, vanish, pause or crawl: when one has said
            // nothing at all since, or is very late, a repeatable command goes to another.
            let twice = c.out().count() > 1;
            if lane.repeats == Repeats::Unrepeatable
                || twice
                || spent
                || hopeless
                || self.load.spare < 1.0
            {
                return Answer::Wait;
            }
            let sent = d.sent.max(self.resumed);
            let silent = now >= sent + patience && self.fleet[d.appliance].silent(now, patience);
            let late = sent + late_after;
            if !silent && now < late {
                return Answer::NotYet {
                    until: late.min(now + patience / 4).max(now + self.at.tick),
                };
            }
            if !self.at.second_copies {
                return Answer::Withdraw { delivery };
            }
            self.load.spare -= 1.0;
            return self
                .pick(now, id)
                .map_or(Answer::Wait, |[other, _]| self.send(now, id, other, wait));
        }
        // Overload: what is worth least is denied before it costs anything.
        if left <= self.at.tick * 2 || spent || c.deliveries.is_empty() && self.crowded(c) {
            return self.give_up(now, id);
        }
        // Unsent at half its time: its client may find another agent. Denies what might yet be taken.
        let unsent =
            now + self.at.tick * 4 > c.half && !c.deliveries.iter().any(|d| d.may_have_run);
        match self.pick(now, id) {
            Some(two) if self.ask(now, id, two) => Answer::NotYet {
                until: now + self.at.tick * 2,
            },
            Some([chosen, _]) => self.send(now, id, chosen, wait),
            None if hopeless || unsent => self.give_up(now, id),
            None => Answer::NotYet {
                until: now + self.at.tick * 4,
            },
        }
    }

    /// Whether a delivery still stands as it is about to be written: its connection may have come up late.
    pub fn holds(&self, now: Duration, id: u64, nth: usize) -> bool {
        let Some(c) = self.commands.get(&id).filter(|c| now < c.expires) else {
            return false;
        };
        let vouched = self.vouched.is_none_or(|t| now < t);
        let to = c
            .deliveries
            .get(nth)
            .and_then(|d| self.fleet.get(d.appliance));
        vouched
            && to.is_some_and(|a| {
                c.within_group(nth, self.lanes[c.lane].repeats, a, now + self.at.tick)
            })
    }

    /// What to do after a delivery ended; `closed` when the command has had its final answer.
    pub fn after(&mut self, now: Duration, id: u64, delivery: usize, end: End) -> Answer {
        self.resume(now);
        let Some(c) = self.commands.get_mut(&id) else {
            return Answer::Wait;
        };
        let Some(d) = c.deliveries.get_mut(delivery).filter(|d| d.out) else {
            return Answer::Wait;
        };
        d.end(end.outcome);
        let (appliance, build, lane, key) = (d.appliance, d.build, c.lane, c.key);
        self.load.in_flight = self.load.in_flight.saturating_sub(1);
        // Guards against commands that fail anywhere: what fails at a second appliance, too, is held against
        // neither. Should also spare a broken dependency; may spare a build that fails nearly all of a lane.
        let first = c.deliveries[..delivery]
            .iter()
            .find(|d| d.failed)
            .map(|d| (d.appliance, d.build));
        match (end.outcome, first) {
            (Outcome::Failed, Some((i, b))) => {
                self.load.blame *= 1.0 - BLAME_GAIN;
                let a = &mut self.fleet[i];
                if let Some(count) = a.counts.get_mut(lane).filter(|_| a.build == b) {
                    count.failed = (count.failed - 1.0).max(0.0);
                    a.failing *= 0.85;
                }
            }
            (Outcome::Satisfied, Some(_)) => {
                self.load.blame += (1.0 - self.load.blame) * BLAME_GAIN
            }
            _ => {}
        }
        let weight = if first.is_some() {
            0.0
        } else {
            self.load.blame
        };
        self.told(now, appliance, end.outcome, end.held);
        if end.outcome == Outcome::Satisfied && self.resumed < now {
            self.hear(id, delivery, end.took);
        }
        self.learn(now, appliance, build, lane, &end, weight);
        let by = build.max(self.fleet[appliance].build);
        let binds = self.at.one_way && self.news.as_ref().is_none_or(|n| by >= n.build);
        self.bound.extend(
            key.filter(|_| binds && end.outcome == Outcome::Satisfied)
                .map(|k| (k, by)),
        );
        let c = &self.commands[&id];
        let other = c.out().next().map(|(nth, _)| nth);
        if end.closed || c.closed {
            self.left(id);
            let waste = other.filter(|_| self.at.withdraw);
            return waste.map_or(Answer::Wait, |delivery| Answer::Withdraw { delivery });
        }
        if other.is_some() {
            return Answer::Wait;
        }
        let ran = c.deliveries.iter().any(|d| d.may_have_run);
        let cost = if ran { 1.0 } else { 0.3 };
        let moot =
            end.outcome == Outcome::Failed && chance(&mut self.rng) > self.load.blame.max(0.2);
        let late = c.expires.saturating_sub(now).as_secs_f64() < self.lanes[lane].usual * 0.5;
        let barred = ran && self.lanes[lane].repeats == Repeats::Unrepeatable;
        if late || barred || moot || self.load.spare < cost {
            return self.give_up(now, id);
        }
        self.load.spare -= cost;
        self.place(now, id)
    }

    /// What is due now, and when to ask again.
    pub fn wait(&mut self, now: Duration) -> Due {
        if now >= self.survey_at {
            self.weigh(now);
            self.fade(now);
            self.limit(now);
            self.judge(now);
            self.survey_at = now + SURVEY;
        }
        let watch = self.watch_at.take_if(|t| now >= *t).is_some();
        let until = self
            .watch_at
            .map_or(self.survey_at, |t| t.min(self.survey_at));
        let (asks, vote) = (std::mem::take(&mut self.asks), self.vote(now));
        Due {
            until,
            vote,
            watch,
            asks,
            notes: std::mem::take(&mut self.notes),
        }
    }

    fn give_up(&mut self, now: Duration, id: u64) -> Answer {
        let Some(c) = self.commands.get(&id) else {
            return Answer::Wait;
        };
        let deny = Answer::Deny {
            come_back: self.at.come_back.map(|most| most.min(COME_BACK)),
        };
        let harmless = c.harmless(self.lanes[c.lane].repeats, now + COME_BACK);
        let answer = if harmless { deny } else { Answer::Scrap };
        self.left(id);
        answer
    }

    pub fn left(&mut self, id: u64) {
        let Some(c) = self.commands.get_mut(&id) else {
            return;
        };
        c.closed = true;
        if c.deliveries.iter().all(|d| !d.out) {
            self.commands.remove(&id);
        }
    }

    pub(crate) fn running(&self) -> impl Iterator<Item = (usize, &Appliance)> {
        self.at
            .walk(&self.fleet)
            .iter()
            .enumerate()
            .filter(|(_, a)| a.standing == Standing::Running)
    }

    fn build(&mut self, number: u32) -> &mut Build {
        let (lanes, slots) = (
            self.lanes.len(),
            if self.at.by_lane { self.lanes.len() } else { 1 },
        );
        self.builds
            .entry(number)
            .or_insert_with(|| Build::new(lanes, slots, self.at.free))
    }
}
