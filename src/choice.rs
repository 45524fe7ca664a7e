//! The decisions of one agent, asked by [`Choice::place`] (where to send this command, or not yet, or never),
//! [`Choice::after`] (what to do after this outcome) and [`Choice::wait`] (how long to wait, what is due).

mod renewal;

use crate::state::*;
use crate::types::*;
use rand::{seq::SliceRandom, Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const LEAST_FAILURES: f64 = 3.0;
const LEAST_OUTCOMES: f64 = 10.0;
const FAILED_SHARE: f64 = 0.04; // lower than it started: most bad builds fail under a fifth
const BASE_SHARE: f64 = 0.2;
const LOST_SHARE: f64 = 0.2; // a lost answer says less of a build than a failed one
const SETTLED: Duration = ms(6000);
const SERVED: Duration = ms(15_000); // since its newest start
const HALF_LIFE: f64 = 10.0; // seconds until evidence weighs half
const LATE_LIFE: f64 = 2.0; // the same for what counts as of late
const BESIDE: f64 = 3.0; // outcomes of the earlier build set against one of the trial of the same time
const LONG_AGO: [f64; 2] = [0.5, 0.2]; // what its others weigh, from before; less where it fails now
const KEEP: f64 = 20.0; // outcomes below which a baseline no longer fades
const BACK_WEIGHT: f64 = 12.0; // failures times the seconds for which they have shown
const BACK_FADE: f64 = 0.98; // each survey that shows none
const BACK_SHARE: f64 = 0.2; // of the places, once their earlier appliances are gone
const PACE_FADE: f64 = 0.96; // each survey: answers of the last seconds
const ENOUGH: f64 = 40.0; // answers that are kept of late, however few come in a second
const AGREED: f64 = 1.0; // beyond what so many agents as must agree would say by chance
const AGREED_FAILED: f64 = 3.0; // of failures, for each of those that must agree: few come by chance
const AGREED_WRONG: f64 = 1.0; // the same of wrong answers, which hardly come by chance at all
const LEAST_FLAGS: f64 = 1.8; // two, of which one may have faded
const GROWN: f64 = 1.2; // times the calm intake: what is slow then may be the load's
const ABLE: f64 = 0.85; // of the fleet's full load: with less, all are slow for that
const ALARM: f64 = 6.0;
const QUICK_SHARE: f64 = 0.3; // of answers quicker than half were before the trial
const CERTAIN: f64 = 3.0; // how far beyond chance, as a logarithm; more the more agents look
const LEFT: f64 = 0.05; // of their load, to appliances that go at the release
const TALLY_SHARE: f64 = 0.06; // of a lane's deliveries, beyond the earlier build's
const TALLY_LIFE: f64 = 4.0; // seconds until it weighs half, for both builds, so that it is of one time
const TALLY_APART: f64 = 6.0; // beyond chance, as a logarithm
const TALLY_SLOW: f64 = 1.6; // times the earlier build's time
const PACE_EXCUSED: f64 = 1.4; // times the usual: warm keys, young machines, long tails
const POPULAR: usize = 32; // a key met within so many commands is warm anywhere, and would swamp a home
const WARM: f64 = 0.7; // what the home of a key weighs, as it does less work for it
const HEAVY: f64 = 0.2; // of the quoted time: a hint of so much work
const RELAX: f64 = 1.0; // seconds in which a load report comes near the mean of its kind
const FRESH: Duration = ms(150); // a load report that is not asked for again
const KIND_GAIN: f64 = 0.02;
const SLOW_SHARE: f64 = 0.8; // of the earlier build's share of quick answers
const TRICKLE: f64 = 0.1; // of a fair share, so that a regressed build can show otherwise

const SURVEY: Duration = ms(100);
const ASIDE_FIRST: Duration = ms(500);
const ASIDE_MOST: Duration = ms(4000);
const FORGIVE: f64 = 0.01; // each survey, of what sets an appliance off from its fellows
const SICK_SHARE: f64 = 0.3;
const SICK_FOR: Duration = ms(8000);

const TARGET: f64 = 0.4; // of the quoted time: a mean answer that keeps nearly all within it
const EASY: f64 = 0.2; // of the quoted time: answers this quick need no bound
const FIRST_GUESS: f64 = 0.15; // of the quoted time: an answer before any has come
const FALLEN: f64 = 0.6; // of the highest limit of late
const RATE_GAIN: f64 = 0.2; // each survey
const GAP: Duration = ms(250); // between calls of a kind, doubled as they fail
const BLAME_GAIN: f64 = 0.15;
const RETRY_EACH: f64 = 0.1; // further deliveries earned by each command
const RETRY_MOST: f64 = 20.0;
const HEDGE: f64 = 0.45; // of the quoted time
const COME_BACK: Duration = ms(500);

/// One agent's decisions.
#[derive(Default)]
pub struct Choice {
    pub(crate) at: Bounds,
    rng: Option<Pcg64Mcg>,
    lanes: Vec<LaneView>,
    commands: BTreeMap<u64, Open>,
    pub(crate) fleet: Vec<Appliance>,
    pub(crate) kinds: Vec<Kind>,
    asks: Vec<usize>, // for their load
    recent: Recent,
    pub(crate) builds: BTreeMap<u32, Build>,
    oldest: u32,               // build that runs
    bound: BTreeMap<u64, u32>, // keys that a build on trial has answered
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
            lanes: d.lanes.iter().map(|l| LaneView::new(l, FIRST_GUESS)).collect(),
            customer_load: vec![0.0; d.customers.len()],
            beside: Beside { counts: vec![Count::default(); d.lanes.len()], ..Beside::default() },
            votes: Votes { severe: rng.gen_bool(0.5), ..Votes::default() },
            watch_at: at.ask_within.map(|_| now + at.call_share().mul_f64(rng.gen_range(0.0..1.0))),
            rng: Some(rng),
            at,
            load: Load { spare: RETRY_MOST, blame: 1.0, ..Load::default() },
            carried: Mean { now: 0.0, seen: 1.0 / KIND_GAIN }, // from nothing: a start knows no pace
            ..Choice::default()
        }
    }

    pub fn take(&mut self, now: Duration, id: u64, c: Command) {
        self.load.spare = (self.load.spare + RETRY_EACH).min(RETRY_MOST);
        self.intake.taken += if c.again { 0.0 } else { 1.0 };
        let (slot, free) = (self.at.slot(c.lane), self.at.free);
        self.builds.values_mut().for_each(|b| b.tokens[slot] = (b.tokens[slot] + b.cap).min(free));
        c.customer.and_then(|i| self.customer_load.get_mut(i)).into_iter().for_each(|l| *l += 1.0);
        let home = c.key.filter(|k| self.at.warm_keys && !self.recent.met(*k, POPULAR));
        self.commands.insert(id, Open { home, ..Open::new(now, &c) });
    }

    /// Guards against this agent's own stalls: what is found at once after one says nothing of anyone else.
    fn resume(&mut self, now: Duration) {
        if now > self.survey_at + SURVEY * 2 && self.resumed < now {
            self.resumed = now;
            self.fleet.iter_mut().for_each(|a| a.unheard = a.unheard.map(|_| now));
        }
    }

    /// Entries of the list; `complete` when whatever it lacks is gone.
    pub fn list(&mut self, now: Duration, entries: &[Listed], complete: bool) {
        self.watch_gap = GAP;
        if complete {
            let named: BTreeSet<usize> = entries.iter().map(|e| e.appliance).collect();
            (0..self.fleet.len()).filter(|i| !named.contains(i)).for_each(|i| self.retire(i, Standing::Gone));
        }
        for e in entries {
            self.fleet.resize_with(self.fleet.len().max(e.appliance + 1), Appliance::default);
            self.kinds.resize(self.kinds.len().max(e.kind + 1), Kind::default());
            let a = &self.fleet[e.appliance];
            let same = a.build == e.build && a.started == e.started && a.zone == e.zone;
            if e.standing == Standing::Running && a.standing == Standing::Running && same {
                continue;
            }
            self.retire(e.appliance, e.standing);
            if e.standing != Standing::Running {
                continue;
            }
            let (cold, quota) = (e.started.filter(|s| *s + self.at.cold_for > now), chance(&mut self.rng));
            let a = &mut self.fleet[e.appliance];
            *a = Appliance::listed(e, self.lanes.len(), a.in_flight, cold, quota);
            let b = self.build(e.build);
            b.newest = b.newest.max(e.started.unwrap_or_default());
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
            let stood = self.news.as_ref().is_some_and(|o| o.phase == Phase::Released);
            self.lanes.iter_mut().for_each(|l| l.settle(stood, LEAST_OUTCOMES));
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

    /// The platform's answer to the vote that is out.
    pub fn reply(&mut self, now: Duration, r: Reply) {
        let Some((vote, _)) = self.votes.pending.take() else { return };
        self.votes.gap = match r {
            Reply::Counted | Reply::Moot => GAP,
            Reply::Refused | Reply::Unknown => (self.votes.gap * 2).clamp(GAP, ms(2000)),
        };
        let lapsed = now.saturating_sub(self.at.vote_life);
        match (r, vote.verdict) {
            (Reply::Moot, _) | (Reply::Counted, Verdict::None) => self.votes.standing = None,
            (Reply::Counted, _) => self.votes.standing = Some((vote, now)),
            // It may count: it is cast again, and taken away if it is no longer meant.
            (Reply::Unknown, Verdict::Hold | Verdict::Back) => self.votes.standing = Some((vote, lapsed)),
            _ => {}
        }
        self.votes.at = now + self.votes.gap.max(Duration::from_secs_f64(self.at.vote_share.min(2.0)));
    }

    /// What crossing means from now on. It weighs where commands go, after the rules and a trial's evidence.
    pub fn crossings(&mut self, told: Crossings) {
        self.crossings = told;
        let own = self.crossings.zones.get_mut(self.at.zone);
        own.into_iter().for_each(|c| *c = Crossing { draw: Some(1.0), ..Crossing::default() });
    }

    pub fn rooms(&self, now: Duration, zones: usize) -> Vec<Room> {
        rooms(&self.fleet, &self.at, now, self.patience(), zones)
    }

    pub fn flag(&mut self, now: Duration, appliance: usize, lane: usize, age: Duration) {
        let own = |a: &&mut Appliance| a.started.unwrap_or_default() + age <= now;
        let count = self.fleet.get_mut(appliance).filter(own).and_then(|a| a.counts.get_mut(lane));
        count.into_iter().for_each(|c| c.flagged += 1.0);
    }

    /// An appliance answered, and told or did not tell what it holds.
    pub fn told(&mut self, now: Duration, i: usize, outcome: Outcome, held: Option<f64>) {
        let Some(a) = self.fleet.get_mut(i) else { return };
        a.asked = a.asked.filter(|_| outcome == Outcome::TimedOut);
        let Some(held) = held.filter(|h| (0.0..1e6).contains(h)) else { return };
        (a.held, a.since) = (Some((held, now)), 0.0);
        if a.cold_since.is_none() && a.standing == Standing::Running {
            self.kinds[a.kind].held.follow(held, KIND_GAIN);
        }
    }

    /// What the platform counted over all agents.
    pub fn tally(&mut self, t: &Tally) {
        let build = self.builds.get_mut(&t.build);
        build.and_then(|b| b.tallied.get_mut(t.lane)).into_iter().for_each(|s| s.add(t));
    }

    /// What the platform's counts show beyond chance: that the trial fails far more than the earlier build,
    /// in any lane or all, or takes far longer; and whether it takes as long. All agents know the same.
    fn tallied(&self, build: u32, earlier: u32) -> (Option<&'static str>, bool) {
        let of = |build| self.builds.get(&build).map_or(&[][..], |b| &b.tallied);
        let (t, e) = (of(build), of(earlier));
        let fails = |(t, e): (&Tallied, &Tallied)| {
            let most = (2.0 * e.failed / e.all.max(1.0) + TALLY_SHARE) * t.all;
            let far = apart((t.failed, t.all), (e.failed, e.all)) > TALLY_APART;
            far && e.all >= LEAST_OUTCOMES && t.failed > most
        };
        let failing = t.iter().zip(e).chain([(&Tallied::sum(t), &Tallied::sum(e))]).any(fails);
        let (answers, ratio) = Tallied::pace(t, e);
        let slow = ratio > TALLY_SLOW && strange(answers, ratio / PACE_EXCUSED) > TALLY_APART;
        let even = self.at.tallied && (answers < LEAST_OUTCOMES || ratio < PACE_EXCUSED);
        (failing.then_some("counted as failing").or(slow.then_some("counted as slow")), even)
    }

    /// Where to send this command now.
    pub fn place(&mut self, now: Duration, id: u64) -> Answer {
        self.resume(now);
        let Some(c) = self.commands.get(&id).filter(|c| !c.closed) else { return Answer::Wait };
        let (lane, left) = (&self.lanes[c.lane], c.expires.saturating_sub(now));
        let spent = c.deliveries.len() >= self.at.deliveries;
        let hopeless = left.as_secs_f64() < lane.usual || c.forgotten(lane.repeats, now + self.at.tick);

        if let Some(delivery) = c.deliveries.iter().rposition(|d| d.out) {
            // It is out. Guards against appliances that hang, vanish, pause or crawl: when one has said
            // nothing at all since, or is very late, a repeatable command goes to another.
            let twice = c.deliveries.iter().filter(|d| d.out).count() > 1;
            if lane.repeats == Repeats::Unrepeatable || twice || spent || hopeless || self.load.spare < 1.0 {
                return Answer::Wait;
            }
            let (d, patience) = (&c.deliveries[delivery], self.patience());
            let sent = d.sent.max(self.resumed);
            let silent = now >= sent + patience && self.fleet[d.appliance].silent(now, patience);
            let late = sent + self.late_after(lane);
            if !silent && now < late {
                return Answer::NotYet { until: late.min(now + patience / 4).max(now + self.at.tick) };
            }
            if !self.at.second_copies {
                return Answer::Withdraw { delivery };
            }
            self.load.spare -= 1.0;
            return self.pick(now, id).map_or(Answer::Wait, |[other, _]| self.send(now, id, other));
        }
        // Overload: what is worth least is denied before it costs anything.
        if left <= self.at.tick * 2 || spent || c.deliveries.is_empty() && self.crowded(c) {
            return self.give_up(now, id);
        }
        // Unsent at half its time: its client may find another agent. Denies what might yet be taken.
        let unsent = now + self.at.tick * 4 > c.half && !c.deliveries.iter().any(|d| d.may_have_run);
        match self.pick(now, id) {
            Some(two) if self.ask(now, id, two) => Answer::NotYet { until: now + self.at.tick * 2 },
            Some([chosen, _]) => self.send(now, id, chosen),
            None if hopeless || unsent => self.give_up(now, id),
            None => Answer::NotYet { until: now + self.at.tick * 4 },
        }
    }

    /// Whether a delivery still stands as it is about to be written: its connection may have come up late.
    pub fn holds(&self, now: Duration, id: u64, nth: usize) -> bool {
        let Some(c) = self.commands.get(&id).filter(|c| now < c.expires) else { return false };
        let vouched = self.vouched.is_none_or(|t| now < t);
        let to = c.deliveries.get(nth).and_then(|d| self.fleet.get(d.appliance));
        vouched && to.is_some_and(|a| c.within_group(nth, self.lanes[c.lane].repeats, a, now + self.at.tick))
    }

    /// What to do after a delivery ended; `closed` when the command has had its final answer.
    pub fn after(&mut self, now: Duration, id: u64, delivery: usize, end: End) -> Answer {
        self.resume(now);
        let Some(c) = self.commands.get_mut(&id) else { return Answer::Wait };
        let Some(d) = c.deliveries.get_mut(delivery).filter(|d| d.out) else { return Answer::Wait };
        d.end(end.outcome);
        let (appliance, build, lane, key) = (d.appliance, d.build, c.lane, c.key);
        self.load.in_flight = self.load.in_flight.saturating_sub(1);
        // Guards against commands that fail anywhere: what fails at a second appliance, too, is held against
        // neither. Should also spare a broken dependency; may spare a build that fails nearly all of a lane.
        let first = c.deliveries[..delivery].iter().find(|d| d.failed).map(|d| (d.appliance, d.build));
        match (end.outcome, first) {
            (Outcome::Failed, Some((i, b))) => {
                self.load.blame *= 1.0 - BLAME_GAIN;
                let a = &mut self.fleet[i];
                if let Some(count) = a.counts.get_mut(lane).filter(|_| a.build == b) {
                    count.failed = (count.failed - 1.0).max(0.0);
                    a.failing *= 0.85;
                }
            }
            (Outcome::Satisfied, Some(_)) => self.load.blame += (1.0 - self.load.blame) * BLAME_GAIN,
            _ => {}
        }
        let weight = if first.is_some() { 0.0 } else { self.load.blame };
        self.told(now, appliance, end.outcome, end.held);
        if end.outcome == Outcome::Satisfied && self.resumed < now {
            self.hear(id, delivery, end.took);
        }
        self.learn(now, appliance, build, lane, &end, weight);
        let by = build.max(self.fleet[appliance].build);
        let binds = self.at.one_way && self.news.as_ref().is_none_or(|n| by >= n.build);
        self.bound.extend(key.filter(|_| binds && end.outcome == Outcome::Satisfied).map(|k| (k, by)));
        let c = &self.commands[&id];
        let other = c.deliveries.iter().position(|d| d.out);
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
        let moot = end.outcome == Outcome::Failed && chance(&mut self.rng) > self.load.blame.max(0.2);
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
            self.survey(now);
            self.survey_at = now + SURVEY;
        }
        let watch = self.watch_at.take_if(|t| now >= *t).is_some();
        let until = self.watch_at.map_or(self.survey_at, |t| t.min(self.survey_at));
        let (asks, vote) = (std::mem::take(&mut self.asks), self.vote(now));
        Due { until, vote, watch, asks, notes: std::mem::take(&mut self.notes) }
    }

    pub fn kept(&self) -> [usize; 4] {
        [self.commands.len(), self.fleet.len(), self.builds.len(), self.bound.len()]
    }

    fn build(&mut self, number: u32) -> &mut Build {
        let (lanes, slots) = (self.lanes.len(), if self.at.by_lane { self.lanes.len() } else { 1 });
        self.builds.entry(number).or_insert_with(|| Build::new(lanes, slots, self.at.free))
    }

    pub(crate) fn on_trial(&self, build: u32) -> bool {
        let newer = |n: &News| build > n.build || build == n.build && n.phase != Phase::Released;
        self.news.as_ref().map_or(self.oldest < build, newer)
    }

    /// Whether the newest build runs, on trial or not long since its newest start.
    fn judged(&self, now: Duration) -> bool {
        let Some(n) = &self.news else { return false };
        let newest = self.builds.get(&n.build).map_or(Duration::ZERO, |b| b.newest);
        let fresh = !newest.is_zero() && now < newest + SERVED;
        (fresh || self.on_trial(n.build)) && self.running().any(|(_, a)| a.build == n.build)
    }

    /// Tokens: each command taken adds the cap, each delivery takes one, `free` at most are kept.
    fn set_caps(&mut self) {
        for (number, b) in &mut self.builds {
            b.cap = self.news.as_ref().filter(|n| n.build == *number).map_or(self.at.first_cap, |n| n.cap);
        }
    }

    fn may_expose(&self, build: u32, lane: usize) -> bool {
        let stage = self.news.as_ref().filter(|n| n.build == build).map_or(0, |n| n.stage);
        let open = stage >= self.at.guarded || self.lanes[lane].repeats == Repeats::Idempotent;
        let left = |b: &Build| b.cap > 0.0 && b.tokens[self.at.slot(lane)] >= 1.0;
        !self.on_trial(build) || open && self.builds.get(&build).is_some_and(left)
    }

    fn judge(&mut self, now: Duration) {
        let Some(n) = self.news.clone() else { return };
        let earlier = earlier(&self.builds, n.build);
        let was = self.builds.get(&n.build).is_some_and(|b| b.regressed);
        // Until the build has settled, a hold once placed is kept on half of what placed it.
        let age = self.builds.get(&n.build).map_or(SETTLED, |b| now.saturating_sub(b.newest));
        let ease = if was && age < SETTLED { 0.5 } else { 1.0 };
        let sure =
            if self.at.jury { AGREED_FAILED + self.at.one_of.ln() } else { CERTAIN + self.at.agents.ln() };
        let worth = 1.0 / self.at.flagged_share.clamp(0.1, 1.0);
        let (mut why, mut strength) = (None, 0.0f64);
        let (trial, before) = (self.totals(n.build), self.totals(earlier));
        let (pool, base, beside) = (Count::sum(&trial), Count::sum(&before), Count::sum(&self.beside.counts));
        let lanes = trial.iter().zip(&before).zip(&self.beside.counts).chain([((&pool, &base), &beside)]);
        // Guards, by the outcomes beside it, against troubles that meet both builds while the trial is on.
        // May let a bad build on longer where the earlier one gets little beside it.
        let ago = LONG_AGO[usize::from(beside.bad() + beside.flagged >= 0.5)];
        let mut whole = base;
        whole.mix(ago, &beside);
        for (lane, ((t, b), s)) in lanes.enumerate().filter(|_| pool.all() >= LEAST_OUTCOMES) {
            let (mut thin, mut known) = (*b, whole);
            thin.mix(ago, s);
            // Guards rare lanes, of which little is known: all lanes fill up. One never answered gates not.
            let lacks = b.all().min(1.0) * (KEEP - thin.all()).max(0.0) / whole.all().max(KEEP);
            known.mix(lacks, &thin);
            if let Some(what) = regressed([t, b, &known], worth, sure * ease, ease) {
                strength = strength.max(t.failed + t.flagged + t.lost);
                why = Some(format!("lane {lane} {what}, trial {t:.0?}, earlier {b:.0?}, beside {s:.0?}"));
            }
        }
        // Some sick machines add little towards sending back: only as much as the part that shows failures.
        let of_build = |(_, a): &(usize, &Appliance)| a.build == n.build;
        let held = self.running().filter(of_build).count().max(1) as f64;
        let showing = self.running().filter(of_build).filter(|(_, a)| Count::sum(&a.counts).shows());
        strength *= showing.count() as f64 / held;
        self.drags(now, &n);
        // Wrong answers come from no sick machine, and a right one is told as wrong but rarely.
        let apart = apart((pool.flagged, pool.satisfied), (base.flagged, base.satisfied));
        let wrong = pool.flagged >= LEAST_FLAGS && apart > AGREED_WRONG + self.at.one_of.ln();
        let open = n.phase == Phase::Trial || n.phase == Phase::Released && age < SERVED;
        let (tallied, even) = self.tallied(n.build, earlier);
        let agreed = open && (self.at.jury && (self.drag.slow && !even || wrong) || tallied.is_some());
        if agreed || n.phase == Phase::Trial && self.drag.alarm && !even {
            strength = if self.drag.alarm { LEAST_FAILURES / 2.0 } else { strength };
            let slows = if wrong { "wrong answers" } else { "the fleet slows with it" };
            why = Some(tallied.unwrap_or(slows).into());
        }
        let seen = why.is_some();
        if seen != was {
            let lift = || format!("lift: build {} shows no regression", n.build);
            self.notes.push(why.map_or_else(lift, |why| format!("regressed: build {}, {why}", n.build)));
        }
        let b = self.build(n.build);
        b.regressed = seen;
        b.shown = if seen { b.shown + strength * SURVEY.as_secs_f64() } else { b.shown * BACK_FADE };
        let lasting = seen && b.shown >= BACK_WEIGHT;
        // No hold spares small agents, gives back places or guards from wrong answers and a released build:
        // where several must agree, half of them send back at once, the others once their hold stands.
        let taken = self.at.in_place && held > BACK_SHARE * self.running().count() as f64;
        let held_first = self.votes.standing.as_ref().is_some_and(|(v, _)| v.build == n.build);
        let verdict = match n.phase {
            _ if agreed => Some(Verdict::Back),
            Phase::Released if lasting && age < SERVED => Some(Verdict::Back),
            Phase::Trial if lasting && taken || seen && wrong && held_first => Some(Verdict::Back),
            Phase::Trial if seen && self.at.jury && (self.votes.severe || held_first) => Some(Verdict::Back),
            Phase::Trial if seen => Some(Verdict::Hold),
            _ => None,
        };
        self.votes.want = verdict.map(|verdict| Vote { build: n.build, stage: n.stage, verdict });
    }

    /// Guards against a build that slows old and new alike. Holds a good one where all slows by chance.
    fn drags(&mut self, now: Duration, n: &News) {
        let started = n.phase == Phase::Trial && self.running().any(|(_, a)| a.build == n.build);
        let newest = self.builds.get(&n.build).map_or(now, |b| b.newest);
        // Guards where no agent sees enough to hold: all answers of late against the calm ones, by their mean
        // and, as some slow machines leave it alone, by the quick half. May pass over a bad build in a rush.
        self.lanes.iter_mut().for_each(|l| l.open = 0.0);
        self.commands.values().for_each(|c| self.lanes[c.lane].open += c.waits(now, self.resumed));
        let out = self.commands.iter().flat_map(|(id, c)| c.out().map(|(nth, d)| (*id, nth, d.sent)));
        for (id, nth, sent) in out.collect::<Vec<_>>() {
            self.hear(id, nth, now.saturating_sub(sent.max(self.resumed)));
        }
        let (quick, ratio, answers) = LaneView::slowed(&self.lanes);
        let beyond = if answers < LEAST_OUTCOMES { 0.0 } else { strange(answers, ratio / PACE_EXCUSED) };
        let sure = quick < QUICK_SHARE && beyond > AGREED + self.at.voice;
        // In place, what is still cold is missed: its load slows all, as a rush does that many agents share.
        let able = |(_, a): (usize, &Appliance)| self.at.ramp(now, a) - ABLE;
        let short = self.at.in_place && self.running().map(able).sum::<f64>() < 0.0;
        let short = short || self.at.jury && self.intake.grown() >= GROWN;
        let d = &mut self.drag;
        d.slow = sure && now < newest + SERVED && !short;
        // Right after more of it came up, the quick half of the answers is gone, of the trial too: held at
        // once, and sent back where its places are taken if that lasts. Slow machines or a slow way leave it.
        // If nearly all of the trial's own are gone, it needs more work than the earlier build.
        let ((share, gone), (own, apart)) = (d.quick_share(0), d.quick_share(1));
        let far = ALARM + self.at.agents.ln();
        let slow = own < QUICK_SHARE * 0.7 && share > QUICK_SHARE * 1.4 && apart > far;
        d.heavy |= started && own < share * SLOW_SHARE && apart > far;
        let gone = gone + if own < QUICK_SHARE { apart } else { 0.0 };
        let sudden = now < newest + SETTLED && !short && share < QUICK_SHARE && gone > far;
        d.alarm = started && (sudden || slow || d.alarm && share.min(own * 1.4) < QUICK_SHARE * 1.2);
    }

    /// Counts of a build by lane. Of an earlier build the lost answers of appliances set aside are left out.
    /// Guards against a sick machine that speaks ill of its build: one of three on trial with most failures.
    fn totals(&self, build: u32) -> Vec<Count> {
        let past = self.builds.get(&build).map(|b| b.past.clone());
        let mut sum = past.unwrap_or_else(|| vec![Count::default(); self.lanes.len()]);
        let newest = self.news.as_ref().is_some_and(|n| n.build == build);
        let each = || self.running().map(|r| r.1).filter(|a| a.build == build);
        let bad = |a: &Appliance| Count::sum(&a.counts).bad();
        let most = each().map(bad).sum::<f64>() / 2.0;
        let sick = newest && each().count() > 2;
        for a in each().filter(|a| !sick || bad(a) <= most) {
            let kept = if newest || a.aside.is_none() { 1.0 } else { 0.0 };
            sum.iter_mut().zip(&a.counts).for_each(|(s, c)| s.mix(1.0, &Count { lost: c.lost * kept, ..*c }));
        }
        sum
    }

    fn vote(&mut self, now: Duration) -> Option<Vote> {
        if self.votes.pending.as_ref().is_some_and(|(_, sent)| now >= *sent + self.at.vote_wait + GAP * 2) {
            self.reply(now, Reply::Unknown);
        }
        if self.votes.pending.is_some() || now < self.votes.at || !self.at.votes {
            return None;
        }
        let life = self.at.vote_life;
        let vote = match (&self.votes.want, &self.votes.standing) {
            (Some(w), Some((s, since))) if w == s && now < *since + life / 2 => return None,
            (Some(w), _) => w.clone(),
            (None, Some((s, since))) => {
                let on = |n: &News| n.build == s.build && n.phase == Phase::Trial;
                if !self.news.as_ref().is_some_and(on) || now > *since + life * 2 {
                    self.votes.standing = None;
                    return None;
                }
                Vote { verdict: Verdict::None, ..s.clone() }
            }
            (None, None) => return None,
        };
        self.votes.pending = Some((vote.clone(), now));
        Some(vote)
    }

    pub(crate) fn running(&self) -> impl Iterator<Item = (usize, &Appliance)> {
        self.at.walk(&self.fleet).iter().enumerate().filter(|(_, a)| a.standing == Standing::Running)
    }

    fn retire(&mut self, i: usize, standing: Standing) {
        let a = &mut self.fleet[i];
        let was = std::mem::replace(&mut a.standing, standing);
        if was == Standing::Running && a.aside.is_none() {
            let (past, counts) = (self.builds.get_mut(&a.build), std::mem::take(&mut a.counts));
            past.into_iter().flat_map(|b| &mut b.past).zip(&counts).for_each(|(p, c)| p.mix(1.0, c));
        }
    }

    /// Two random choices by commands in flight, among what this command may go to.
    fn pick(&mut self, now: Duration, id: u64) -> Option<[usize; 2]> {
        self.vouched.is_none_or(|t| now < t).then_some(())?;
        let (c, patience) = (&self.commands[&id], self.patience());
        let (repeats, again) = (self.lanes[c.lane].repeats, !c.deliveries.is_empty());
        let idempotent = repeats == Repeats::Idempotent;
        let bound = c.key.and_then(|k| self.bound.get(&k)).copied().unwrap_or(0);
        let lasts = |n: &&News| bound >= n.build && matches!(n.phase, Phase::Trial | Phase::Released);
        let floor = self.news.as_ref().filter(lasts).map_or(0, |n| n.build);
        let side = |zone: usize| match self.crossings.zones.get(zone) {
            Some(Crossing { draw: Some(draw), .. }) => *draw,
            _ if zone == self.at.zone => 1.0,
            _ => self.load.abroad,
        };
        // Earlier appliances that go at the release leave their load to those on trial, if none is doubted.
        let (mut all, mut places, mut fresh, mut fair) = (0.0, 0.0, 0.0, 0.0);
        for (_, a) in self.running() {
            (all, fair) = (all + 1.0, fair + side(a.zone));
            match self.on_trial(a.build) {
                true => fresh += self.at.ramp(now, a),
                false => places += 1.0,
            }
        }
        let fair = fair / f64::max(all, 1.0);
        let stays = self.at.in_place || self.builds.values().any(|b| b.regressed);
        let yields = if stays { 1.0 } else { (1.0 - fresh / f64::max(places, 1.0)).max(LEFT) };
        let heavy = c.work.is_some_and(|w| w.as_secs_f64() > self.lanes[c.lane].quoted * HEAVY);
        let mut pool: [Vec<(usize, f64, f64)>; 4] = Default::default();
        for (i, a) in self.running() {
            let fits = a.build >= floor && c.within_group(c.deliveries.len(), repeats, a, now + self.at.tick);
            if !fits || a.cold_since.is_some() && a.quota < 1.0 || !self.may_expose(a.build, c.lane) {
                continue;
            }
            let (ramp, trial) = (self.at.ramp(now, a), self.on_trial(a.build));
            let regressed = self.builds.get(&a.build).is_some_and(|b| b.regressed);
            // The build on trial gets an even share from every zone, a regressed one a trickle.
            let fair = if regressed { fair * TRICKLE } else { fair };
            let share = if trial { fair } else { side(a.zone) * yields };
            // Guards heavy commands against slow machines, quick at no load. Crowds the quick ones.
            let Kind { rate, slower, held, .. } = self.kinds[a.kind];
            let (quick, least) = if heavy { (slower.powi(-4), 1.0 + held.now) } else { (1.0, 0.0) };
            let draw = a.weight * rate * ramp * share * quick;
            let draw = if a.cold_since.is_some() { draw * (1.0 / a.turns).clamp(1.0, all) } else { draw };
            let tried = c.deliveries.iter().any(|d| d.appliance == i);
            let resting = a.aside.is_some_and(|t| now < t) || a.strikes > 1 && !idempotent;
            let second =
                trial && regressed && !idempotent || a.aside.is_some() && (!idempotent || a.in_flight > 0);
            // Where crossing is short it comes last of what can answer; no budget may leave a trial unjudged.
            let told = self.crossings.zones.get(a.zone);
            let spared = !trial && told.is_some_and(|t| t.spares(c.lane, again));
            let rank = match (resting || a.silent(now, patience), tried || second) {
                (true, _) => 3,
                (_, true) => 2,
                _ => usize::from(spared),
            };
            pool[rank].push((i, draw, self.busy(now, a).max(least) / (a.weight * rate * ramp)));
        }
        let (fit, rng) = (pool.iter().find(|p| !p.is_empty())?, self.rng.as_mut()?);
        let mut draw = || fit.choose_weighted(rng, |c| c.1).ok().or(fit.last());
        let (mut one, mut two) = (draw()?, draw()?);
        // A key's home is the same for all agents, by rendezvous hashing; it may be the busier one by a bit.
        let key = c.home.filter(|_| !again);
        let far = |k, a: &Appliance| rendezvous(k, a.mark, self.kinds[a.kind].step);
        let far = |k, f: &(usize, f64, f64)| far(k, &self.fleet[f.0]);
        let home = key.and_then(|k| fit.iter().min_by(|a, b| far(k, a).total_cmp(&far(k, b))));
        one = home.unwrap_or(one);
        if let Some(choices) = c.choices.filter(|_| !again) {
            let [a, b] = choices.map(|i| fit.iter().find(|f| f.0 == i));
            (one, two) = (a.or(b).unwrap_or(one), b.or(a).unwrap_or(two));
        }
        let cost = |f: &(usize, f64, f64)| f.2 * if home.map(|h| h.0) == Some(f.0) { WARM } else { 1.0 };
        Some(if cost(two) < cost(one) { [two.0, one.0] } else { [one.0, two.0] })
    }

    /// Commands in flight there: its own, or what the appliance said, near its kind's mean as that ages.
    fn busy(&self, now: Duration, a: &Appliance) -> f64 {
        let (Mean { now: mean, seen }, own) = (self.kinds[a.kind].held, a.in_flight as f64);
        if seen < 1.0 {
            return own;
        }
        let (held, at) = a.held.unwrap_or((mean, now));
        let held = mean + (held - mean) * (-now.saturating_sub(at).as_secs_f64() / RELAX).exp();
        1.0 + (held + a.since).max(own)
    }

    /// Whether the two choices are asked for what they hold before one is taken.
    fn ask(&mut self, now: Duration, id: u64, choices: [usize; 2]) -> bool {
        let c = self.commands.get_mut(&id).filter(|c| c.deliveries.is_empty() && c.choices.is_none());
        let Some(c) = c.filter(|_| self.at.probes && self.load.limit.is_some()) else { return false };
        c.choices = Some(choices);
        let known = |i: &usize| self.fleet[*i].held.map(|h| h.1).max(self.fleet[*i].asked);
        let due: Vec<usize> =
            choices.into_iter().filter(|i| known(i).is_none_or(|t| now > t + FRESH)).collect();
        due.iter().for_each(|i| self.fleet[*i].asked = Some(now));
        self.asks.extend(&due);
        !due.is_empty()
    }

    fn patience(&self) -> Duration {
        let high = self.lanes.iter().map(|l| l.high.max(l.usual * 2.3)).fold(0.0, f64::max);
        Duration::from_secs_f64((high * 2.0).clamp(0.1, 3.0))
    }

    /// When an answer counts as lost though its appliance speaks: early only where answers are quick, as
    /// copies slow all. Guards against ways that lose answers and slow machines; runs heavy commands twice.
    fn late_after(&self, l: &LaneView) -> Duration {
        match (self.at.second_copies, self.load.limit) {
            (true, None) => Duration::from_secs_f64((l.quoted * HEDGE).max(l.usual * 1.5)),
            (true, Some(_)) => self.patience() * 2,
            (false, _) => Duration::MAX / 4,
        }
    }

    fn send(&mut self, now: Duration, id: u64, i: usize) -> Answer {
        let Some(lane) = self.commands.get(&id).map(|c| c.lane) else { return Answer::Wait };
        let wait = self.patience().min(self.late_after(&self.lanes[lane]));
        let Some(c) = self.commands.get_mut(&id) else { return Answer::Wait };
        let (a, lane, left) = (&mut self.fleet[i], &self.lanes[lane], c.expires.saturating_sub(now));
        let again = c.deliveries.len() + 1 < self.at.deliveries && lane.repeats != Repeats::Unrepeatable;
        let soon = Duration::from_secs_f64((lane.usual * 6.0).max(lane.quoted * 0.8));
        let time_out = if again && !self.at.withdraw { soon.min(left) } else { left };
        let look = (again && self.at.withdraw).then_some(now + wait).filter(|t| *t < c.expires);
        let build = a.build;
        c.deliveries.push(a.send(i, now));
        self.load.in_flight += 1;
        let slot = self.at.slot(c.lane);
        if self.on_trial(build) {
            self.build(build).tokens[slot] -= 1.0;
        }
        Answer::Send { appliance: i, time_out, look }
    }

    /// Hears once of each delivery whether it is quicker than half of the answers are. What is out for longer
    /// is not: where all slows, the slowest answers come last, and many of their clients have left by then.
    fn hear(&mut self, id: u64, nth: usize, took: Duration) {
        let Some(c) = self.commands.get_mut(&id) else { return };
        let (d, lane) = (&mut c.deliveries[nth], c.lane);
        let a = &self.fleet[d.appliance];
        let way = self.crossings.zones.get(a.zone).map_or(0.0, |t| t.added.as_secs_f64());
        let quick = took.as_secs_f64() <= self.lanes[lane].half + way;
        if !a.warm_of(d.build) || !d.hear(quick) {
            return;
        }
        let (newest, near) = (self.news.as_ref().is_some_and(|n| d.build >= n.build), a.zone == self.at.zone);
        let quiet = !self.running().any(|(_, a)| self.on_trial(a.build));
        let step = if quick { 0.97 } else { 1.03 };
        self.lanes[lane].half *= if quiet { step } else { 1.0 };
        self.drag.hear(usize::from(newest), (!quiet && (newest || near)).then_some(quick));
    }

    fn learn(&mut self, now: Duration, i: usize, build: u32, lane: usize, end: &End, blame: f64) {
        let newest = self.news.as_ref().is_some_and(|n| build >= n.build);
        let round = self.fleet.len() as f64 / self.lanes.iter().map(|l| l.rate).sum::<f64>().max(1.0);
        let round = Duration::from_secs_f64(round).clamp(ASIDE_FIRST, ASIDE_MOST * 2);
        let way = self.crossings.zones.get(self.fleet[i].zone).map_or(0.0, |t| t.added.as_secs_f64());
        let (judged, trial, took) = (self.judged(now), self.on_trial(build), end.took.as_secs_f64());
        let (a, l) = (&mut self.fleet[i], &mut self.lanes[lane]);
        a.in_flight = a.in_flight.saturating_sub(1);
        if a.build != build || a.standing != Standing::Running {
            return;
        }
        // The earlier build's outcomes are weighed by what the trial gets at the same time.
        let [base, tried] = &mut self.beside.late;
        *(if newest { &mut *tried } else { &mut *base }) += 1.0;
        let weight = if newest { 0.0 } else { (BESIDE * *tried / base.max(1.0)).min(1.0) };
        let beside = &mut self.beside.counts[lane];
        // Lost, unless the appliance has answered others since: then this one was only heavy.
        let stalled = self.resumed == now;
        let mute = !stalled && a.unheard.is_some_and(|t| t + end.took <= now + self.at.tick);
        let mut lost = end.outcome == Outcome::NoConnection;
        match end.outcome {
            Outcome::Satisfied | Outcome::Failed | Outcome::TurnedAway => {
                if a.strikes > 2 && a.cold_since.is_none() {
                    // Back from silence: it may be a restart that the list has not told yet.
                    (a.cold_since, a.quota) = (Some(now), chance(&mut self.rng));
                }
                (a.unheard, a.strikes) = (Some(now), 0);
            }
            o if o == Outcome::NotSent || !mute && matches!(o, Outcome::TimedOut | Outcome::Withdrawn) => {}
            _ => {
                a.strikes += 1;
                a.counts[lane].lost += 1.0;
                beside.lost += weight;
                lost |= a.strikes > 1;
            }
        }
        let vain = !stalled && matches!(end.outcome, Outcome::TimedOut | Outcome::Withdrawn);
        l.waited += if vain { took } else { 0.0 };
        // Nothing out, nothing owed: after its rest one command tries whether it is back.
        a.unheard = a.unheard.filter(|_| a.in_flight > 0);
        l.done += if matches!(end.outcome, Outcome::Satisfied | Outcome::Failed) { 1.0 } else { 0.0 };
        if end.outcome == Outcome::Failed {
            a.failing += 0.15 * blame * (1.0 - a.failing);
            // Guards against machines that fail whatever they run: while some of the earlier build do, one of
            // the trial that fails as badly says nothing of its build. May let a bad build on for that time.
            let sick = newest && now < self.sick_until && a.failing > SICK_SHARE;
            a.counts.iter_mut().filter(|_| sick).for_each(|c| c.failed = 0.0);
            a.counts[lane].failed += if sick { 0.0 } else { blame };
            beside.failed += weight * blame;
            self.sick_until =
                if !newest && a.failing > SICK_SHARE { now + SICK_FOR } else { self.sick_until };
        }
        if end.outcome == Outcome::Satisfied {
            a.counts[lane].satisfied += 1.0;
            beside.satisfied += weight;
            a.failing *= 0.85;
            let x = (took / l.usual).min(10.0);
            if !stalled {
                follow(&mut l.high, took);
                follow(&mut a.high, x);
            }
            self.load.done += if a.cold_since.is_none() { 1.0 } else { 0.0 };
            if a.cold_since.is_none() && !stalled {
                self.kinds[a.kind].pace.follow(x, KIND_GAIN);
                // Guards a build that only other zones hold, as the way there is not its work, and agents
                // that some troubles leave the slower kind of machines only.
                let alike = (took - way).max(0.0) / self.kinds[a.kind].slower;
                (if judged { &mut l.late } else { &mut l.calm }).add(alike);
                if !trial {
                    l.seen = (l.seen + 1.0).min(50.0);
                    l.usual += (took.min(l.usual * 10.0) - l.usual) / l.seen;
                    let side = if a.zone == self.at.zone { &mut self.load.near } else { &mut self.load.far };
                    *side += (x - *side) * 0.03;
                }
            }
            if a.failing < SICK_SHARE && a.aside.take().is_some() {
                a.aside_for = ASIDE_FIRST;
                self.notes.extend(std::mem::take(&mut a.noted).then(|| format!("taken back: appliance {i}")));
            }
        }
        // A build on trial must be heard before its appliances rest, or it would never be judged.
        let heard = !newest || Count::sum(&a.counts).all() >= LEAST_OUTCOMES;
        if (lost || heard && a.failing > SICK_SHARE) && a.aside.is_none_or(|t| now >= t) {
            if a.aside_for > ASIDE_FIRST && !std::mem::replace(&mut a.noted, true) {
                self.notes.push(format!("set aside: appliance {i}, build {build}, after {:?}", end.outcome));
            }
            // Guards a quiet agent against dead machines whose rest is over whenever their turn comes.
            let dead = if end.outcome == Outcome::NoConnection { round } else { ASIDE_FIRST };
            a.aside = Some(now + a.aside_for.max(dead));
            a.aside_for = (a.aside_for * 2).clamp(ASIDE_FIRST * 2, ASIDE_MOST);
        }
    }

    fn survey(&mut self, now: Duration) {
        let [fade, tallied] = [HALF_LIFE, TALLY_LIFE].map(|life| 0.5f64.powf(SURVEY.as_secs_f64() / life));
        let trial = self.news.as_ref().map_or(0, |n| n.build);
        let old = |counts: &mut Vec<Count>, build: u32| {
            let fades = build >= trial || Count::sum(counts).all() > KEEP;
            counts.iter_mut().filter(|_| fades).for_each(|c| c.mix(fade, &Count::default()));
        };
        let warm = self.running().filter(|(_, a)| a.cold_since.is_none()).count() as f64;
        let (done, window) = (std::mem::take(&mut self.load.done), self.at.fall_for.div_duration_f64(SURVEY));
        if warm * 4.0 > self.running().count() as f64 {
            self.carried.follow(done / warm, KIND_GAIN);
        }
        let median = |of: &dyn Fn(&Appliance) -> bool| {
            let warm = self.running().filter(|(_, a)| a.cold_since.is_none() && of(a));
            let highs = sorted(warm.map(|(_, a)| a.high));
            highs.get(highs.len() / 2).copied().filter(|_| highs.len() > 2)
        };
        let all = median(&|_| true).unwrap_or(1.0);
        let side = |kind, newest| median(&|a| a.kind == kind && (a.build >= trial) == newest).unwrap_or(all);
        let fellows: Vec<_> = (0..self.kinds.len()).map(|k| [side(k, false), side(k, true)]).collect();
        Kind::weigh(&mut self.kinds);
        let carried = self.carried.now * self.crossings.cold * self.at.cold_part;
        for a in &mut self.fleet {
            a.cold_since = a.cold_since.filter(|t| now < *t + self.at.cold_for);
            // Cold: its part of what a warm one answers here, beginning by chance, so that the sum over all
            // agents keeps to it. Guards against a first delivery of each. Denies where nearly all are cold.
            let turns = self.at.ramp(now, a) * self.kinds[a.kind].rate * carried * window;
            let begins = if a.turns > 0.0 { 0.0 } else { turns };
            a.quota = (a.quota.max(-1.0) + begins + turns / window).min(1.0 + turns);
            a.turns = turns;
            let median = fellows[a.kind][usize::from(a.build >= trial)];
            let pace = (a.high / median).max(0.3);
            a.weight = if pace < 1.5 { pace.powf(-0.5) } else { 1.5f64.powf(1.5) * pace.powi(-2) };
            a.high += (median - a.high) * FORGIVE;
            old(&mut a.counts, a.build);
        }
        for (number, b) in &mut self.builds {
            old(&mut b.past, *number);
            b.tallied.iter_mut().for_each(|t| t.fade(tallied));
        }
        self.beside.fade(fade, 0.5f64.powf(SURVEY.as_secs_f64() / LATE_LIFE));
        let rate = self.lanes.iter().map(|l| l.rate).sum::<f64>() * SURVEY.as_secs_f64();
        let (judged, few) = (self.judged(now), (1.0 - rate / ENOUGH).max(PACE_FADE));
        self.drag.fade(few);
        self.intake.survey(judged, 1.0 - PACE_FADE, 1.0 - fade);
        self.lanes.iter_mut().for_each(|l| l.fade_times(judged, ENOUGH, fade, few));
        self.customer_load.iter_mut().for_each(|l| *l *= 0.98);
        let by = if self.load.near > self.load.far * 1.2 { 1.1 } else { 0.95 };
        self.load.abroad = if self.at.crossing { (self.load.abroad * by).clamp(0.03, 1.0) } else { 1.0 };
        // What may be in flight: the answers that come, times the mean answer time that is still good. Below
        // it, answers grow with what is sent; above it, only the waiting does. Quick answers need no limit.
        let (mut room, mut good) = (0.0, true);
        for l in &mut self.lanes {
            l.rate += (l.done / SURVEY.as_secs_f64() - l.rate) * RATE_GAIN;
            l.done = 0.0;
            l.least = (l.least * 1.002).min(l.usual);
            room += l.rate * (l.quoted * TARGET).max(l.least * 1.2);
            good &= l.usual < l.quoted * EASY;
        }
        let limit = room + room.sqrt() + 2.0;
        // Guards against a limit that falls with the rate it lets through, once the newest build is slow.
        let fell = limit < self.load.peak * FALLEN && self.drag.heavy && !good;
        self.lanes.iter_mut().filter(|_| fell).for_each(|l| l.least = l.usual);
        self.load.peak = if good || fell { limit } else { (self.load.peak * 0.998).max(limit) };
        self.load.limit = (!good).then_some(limit);
        let patience = self.patience();
        self.load.stuck = self.fleet.iter().filter(|a| a.silent(now, patience)).map(|a| a.in_flight).sum();
        self.judge(now);
    }

    fn crowded(&self, c: &Open) -> bool {
        let Some(limit) = self.load.limit else { return false };
        let density = |l: &LaneView| l.benefit / if self.at.by_work { 1.0 } else { l.least.max(1e-4) };
        let best = self.lanes.iter().map(density).fold(1e-9, f64::max);
        let total = self.customer_load.iter().sum::<f64>().max(1.0);
        let over = |i: usize| self.at.shares.get(i).is_some_and(|s| self.customer_load[i] > total * s * 1.15);
        let fair = if c.customer.is_some_and(over) { 0.8 } else { 1.0 };
        let room = (0.8 + 0.2 * density(&self.lanes[c.lane]) / best) * fair;
        self.load.in_flight.saturating_sub(self.load.stuck) as f64 >= limit * room
    }

    fn give_up(&mut self, now: Duration, id: u64) -> Answer {
        let Some(c) = self.commands.get(&id) else { return Answer::Wait };
        let deny = Answer::Deny { come_back: self.at.come_back.map(|most| most.min(COME_BACK)) };
        let harmless = c.harmless(self.lanes[c.lane].repeats, now + COME_BACK);
        let answer = if harmless { deny } else { Answer::Scrap };
        self.left(id);
        answer
    }

    pub fn left(&mut self, id: u64) {
        let Some(c) = self.commands.get_mut(&id) else { return };
        c.closed = true;
        if c.deliveries.iter().all(|d| !d.out) {
            self.commands.remove(&id);
        }
    }
}

/// Whether the build on trial regressed a lane that the earlier build satisfies: by its share, and beyond
/// what chance would show at any of the agents. `ease` is less where a hold stands.
fn regressed(of: [&Count; 3], worth: f64, least: f64, ease: f64) -> Option<&'static str> {
    let [t, b, base] = of;
    let strange = |of: fn(&Count) -> (f64, f64)| apart(of(t), of(base)) > least;
    // Answers that came and failed; lost ones do not blur this baseline.
    let came = |c: &Count| (c.failed + c.flagged * worth, c.satisfied + c.failed);
    let ((bad, all), (failed, of)) = (came(t), came(b));
    let seen = t.failed + t.flagged;
    let grave = seen >= LEAST_FAILURES * ease && bad > FAILED_SHARE * ease * all && failed < BASE_SHARE * of;
    if grave && strange(|c| (c.failed + c.flagged, c.satisfied + c.failed)) {
        return Some("failed");
    }
    // Guards against dead machines and lossy ways: what the earlier build loses, too, is not the trial's.
    let lost = t.bad() > LEAST_FAILURES * 2.0 * ease && t.bad() > LOST_SHARE * ease * t.all();
    (lost && strange(|c| (c.bad(), c.all())) && b.bad() < BASE_SHARE * b.all()).then_some("lost")
}

fn follow(high: &mut f64, x: f64) {
    *high = (*high * if x > *high { 1.135 } else { 0.985 }).clamp(0.001, 1000.0);
}
