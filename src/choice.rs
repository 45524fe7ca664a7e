//! The decisions of one agent. Interface: `lib.rs`, `types.rs`; nothing is decided elsewhere.
//!
//! Asked by three calls: [`Choice::place`] (where to send this command, or not yet, or never),
//! [`Choice::after`] (what to do after this outcome) and [`Choice::wait`] (how long to wait, with the
//! vote, probes and list call now due). Told facts by `take`, `begun`, `left`, `list`, `list_failed`,
//! `news`, `reply`, `tally`, `flag` and `probed`. Each agent has a `Choice` of its own.

use crate::types::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

// Verdict. The design's form; the shares were lowered because bad builds fail far less than a fifth.
const LEAST_FAILURES: f64 = 3.0;
const LEAST_OUTCOMES: f64 = 10.0;
const FAILED_SHARE: f64 = 0.04;
const LOST_SHARE: f64 = 0.2; // answers that never came say less of a build than answers that failed
const SLOW_AT: f64 = 1.6; // times the usual of its kind, on every appliance of the build, two at least
const SLOW_TIMES: f64 = 25.0; // answers of each appliance
const SETTLED: Duration = Duration::from_secs(6);
const HALF_LIFE: f64 = 10.0; // seconds after which evidence weighs half
const KEEP: f64 = 20.0; // a baseline is not forgotten below this many outcomes
const BACK_FAILURES: f64 = 6.0;
const BACK_SHARE: f64 = 0.4; // of the fleet on a regressed build: a hold no longer protects
                             // Health.
const SURVEY: Duration = ms(100);
const ASIDE_FIRST: Duration = ms(500);
const ASIDE_MOST: Duration = ms(4000);
const SICK_SHARE: f64 = 0.3;
// Load.
const TARGET: f64 = 0.3; // of the quoted time, the mean answer that still keeps nearly all within it
const RATE_OVER: f64 = 0.5; // seconds over which answers are counted
const RETRY_EACH: f64 = 0.1; // further deliveries earned by each command
const RETRY_MOST: f64 = 20.0;

/// Evidence in one lane. Flagged answers are failures too; each stands for those that nobody reported.
#[derive(Clone, Debug, Default)]
struct Count {
    satisfied: f64,
    failed: f64,
    flagged: f64,
    lost: f64,
}

impl Count {
    fn add(&mut self, o: &Count) {
        self.satisfied += o.satisfied;
        self.failed += o.failed;
        self.flagged += o.flagged;
        self.lost += o.lost;
    }
    fn fade(&mut self, by: f64) {
        for v in [&mut self.satisfied, &mut self.failed, &mut self.flagged, &mut self.lost] {
            *v *= by;
        }
    }
    fn answered(&self) -> f64 {
        self.satisfied + self.failed
    }
    fn all(&self) -> f64 {
        self.answered() + self.lost
    }
}

/// A nine-tenths quantile that follows its samples.
#[derive(Clone, Debug)]
struct High(f64);

impl High {
    fn see(&mut self, x: f64) {
        self.0 = (self.0 * if x > self.0 { 1.135 } else { 0.985 }).clamp(0.05, 50.0);
    }
}

struct Delivery {
    appliance: usize,
    build: u32,
    zone: usize,
    cell: u64,
    sent: Duration,
    out: bool,
    may_have_run: bool,
}

struct Open {
    lane: usize,
    customer: Option<usize>,
    key: Option<u64>,
    expires: Duration,
    deliveries: Vec<Delivery>,
    closed: bool,
}

struct Appliance {
    standing: Standing,
    zone: usize,
    cell: u64,
    kind: usize,
    build: u32,
    started: Option<Duration>,
    cold_since: Option<Duration>,
    in_flight: usize,
    unheard: Option<Duration>, // when the oldest delivery since the last sign of life went out
    strikes: u32,              // lost answers in a row
    aside: Option<Duration>,
    aside_for: Duration,
    failing: f64,
    high: High,
    weight: f64,
    counts: Vec<Count>,
    timed: f64, // answers since warm, fading, and the sum of their times against the usual
    pace: f64,
    sends: VecDeque<Duration>, // while cold, within the fall window
}

struct Build {
    tokens: Vec<f64>,
    cap: f64,
    past: Vec<Count>, // of appliances that have gone
    tally: Vec<Count>,
    newest: Duration,
    regressed: bool,
    proven: bool,
}

struct LaneView {
    quoted: f64,
    benefit: f64,
    repeats: Repeats,
    usual: f64, // seconds of an answer
    least: f64, // the lowest that has been
    high: High,
    done: f64,
    rate: f64,
}

/// One agent's decisions.
pub struct Choice {
    d: Deployment,
    rng: Pcg64Mcg,
    lanes: Vec<LaneView>,
    commands: BTreeMap<u64, Open>,
    fleet: Vec<Option<Appliance>>,
    builds: BTreeMap<u32, Build>,
    bound: BTreeSet<u64>,
    news: Option<News>,
    kind_pace: Vec<f64>,
    customer_load: Vec<f64>,
    warm_sends: VecDeque<Duration>,
    in_flight: usize,
    limit: f64,
    stuck: usize,
    spare: f64,
    near: f64,
    far: f64,
    abroad: f64,
    want: Option<Vote>,
    standing: Option<(Vote, Duration)>,
    pending: Option<(Vote, Duration)>,
    vote_at: Duration,
    vote_gap: Duration,
    survey_at: Duration,
    watch_at: Option<Duration>,
    watch_gap: Duration,
    notes: Vec<String>,
}

impl Choice {
    pub fn new(now: Duration, d: Deployment) -> Choice {
        let lanes = d
            .lanes
            .iter()
            .map(|l| LaneView {
                quoted: l.quoted.as_secs_f64(),
                benefit: l.benefit,
                repeats: l.repeats,
                usual: l.quoted.as_secs_f64() * 0.2,
                least: l.quoted.as_secs_f64() * 0.2,
                high: High(l.quoted.as_secs_f64() * 0.4),
                done: 0.0,
                rate: 0.0,
            })
            .collect();
        Choice {
            rng: Pcg64Mcg::seed_from_u64(d.seed),
            lanes,
            commands: BTreeMap::new(),
            fleet: Vec::new(),
            builds: BTreeMap::new(),
            bound: BTreeSet::new(),
            news: None,
            kind_pace: Vec::new(),
            customer_load: vec![0.0; d.customers.len()],
            warm_sends: VecDeque::new(),
            in_flight: 0,
            limit: f64::INFINITY,
            stuck: 0,
            spare: RETRY_MOST,
            near: 1.0,
            far: 1.0,
            abroad: if d.crossing_price > 0.0 { 0.1 } else { 1.0 },
            want: None,
            standing: None,
            pending: None,
            vote_at: now,
            vote_gap: ms(250),
            survey_at: now,
            watch_at: d.list_asked.then_some(now),
            watch_gap: ms(250),
            notes: Vec::new(),
            d,
        }
    }

    // ---- facts ----

    /// A command has come in.
    pub fn take(&mut self, now: Duration, id: u64, c: Command) {
        self.spare = (self.spare + RETRY_EACH).min(RETRY_MOST);
        for b in self.builds.values_mut() {
            let slot = if b.tokens.len() > 1 { c.lane } else { 0 };
            b.tokens[slot] = (b.tokens[slot] + b.cap).min(self.d.rollout.free);
        }
        if let Some(l) = c.customer.and_then(|i| self.customer_load.get_mut(i)) {
            *l += 1.0;
        }
        let open = Open {
            lane: c.lane,
            customer: c.customer,
            key: c.key,
            expires: now + c.left,
            deliveries: Vec::new(),
            closed: false,
        };
        self.commands.insert(id, open);
    }

    /// The answer of a streamed command has begun: it belongs to the client now.
    pub fn begun(&mut self, id: u64) {
        if let Some(c) = self.commands.get_mut(&id) {
            c.closed = true;
        }
    }

    /// The client has gone.
    pub fn left(&mut self, id: u64) {
        self.close(id);
    }

    /// Entries of the list; `complete` when whatever it lacks is gone.
    pub fn list(&mut self, now: Duration, entries: &[Listed], complete: bool) {
        self.watch_gap = ms(250);
        if complete {
            let named: BTreeSet<usize> = entries.iter().map(|e| e.appliance).collect();
            for i in 0..self.fleet.len() {
                if !named.contains(&i) {
                    self.retire(i, Standing::Gone);
                }
            }
        }
        for e in entries {
            if self.fleet.len() <= e.appliance {
                self.fleet.resize_with(e.appliance + 1, || None);
            }
            if self.kind_pace.len() <= e.kind {
                self.kind_pace.resize(e.kind + 1, 1.0);
            }
            if e.standing != Standing::Running {
                self.retire(e.appliance, e.standing);
                continue;
            }
            let same = self.fleet[e.appliance].as_ref().is_some_and(|a| {
                a.build == e.build && a.started == e.started && a.standing == Standing::Running
            });
            if same {
                continue;
            }
            self.retire(e.appliance, Standing::Gone);
            let in_flight = self.fleet[e.appliance].as_ref().map_or(0, |a| a.in_flight);
            let cold_since = e.started.filter(|s| *s + self.d.cold_for > now);
            self.fleet[e.appliance] = Some(Appliance {
                standing: Standing::Running,
                zone: e.zone,
                cell: e.cell,
                kind: e.kind,
                build: e.build,
                started: e.started,
                cold_since,
                in_flight,
                unheard: None,
                strikes: 0,
                aside: None,
                aside_for: ASIDE_FIRST,
                failing: 0.0,
                high: High(2.0),
                weight: 1.0,
                counts: vec![Count::default(); self.lanes.len()],
                timed: 0.0,
                pace: 0.0,
                sends: VecDeque::new(),
            });
            let started = e.started.unwrap_or_default();
            let b = self.build(e.build);
            b.newest = b.newest.max(started);
        }
        self.set_caps();
    }

    /// A list call failed, or the watch broke: ask again, less and less often.
    pub fn list_failed(&mut self, now: Duration) {
        if self.d.list_asked {
            let wait = self.watch_gap.mul_f64(self.rng.gen_range(0.7..1.3));
            self.watch_at = Some(now + wait);
            self.watch_gap = (self.watch_gap * 2).min(self.d.ask_within / 5);
        }
    }

    /// What the platform says of the newest build.
    pub fn news(&mut self, now: Duration, n: News) {
        if self.news.as_ref().is_some_and(|o| o.build > n.build) {
            return;
        }
        if self.news.is_none() && n.phase == Phase::Trial && self.d.rollout.by_clock {
            // Guards against a vote that this agent cast before a restart and has forgotten; costs one call.
            let v = Vote { build: n.build, stage: n.stage, verdict: Verdict::Hold };
            self.standing = Some((v, now));
        }
        self.build(n.build);
        self.news = Some(n);
        self.set_caps();
    }

    /// The platform's answer to the vote that is out.
    pub fn reply(&mut self, now: Duration, r: Reply) {
        let Some((vote, _)) = self.pending.take() else { return };
        self.vote_gap = match r {
            Reply::Counted | Reply::Moot => ms(250),
            Reply::Refused | Reply::Unknown => (self.vote_gap * 2).min(ms(2000)),
        };
        match (r, vote.verdict) {
            (Reply::Counted, Verdict::None) | (Reply::Moot, _) => self.standing = None,
            (Reply::Counted, _) => self.standing = Some((vote, now)),
            // It may count: it is cast again, and taken away if it is no longer meant.
            (Reply::Unknown, Verdict::Hold | Verdict::Back) => {
                self.standing = Some((vote, now.saturating_sub(self.d.rollout.vote_life)))
            }
            _ => {}
        }
        let share = Duration::from_secs_f64(f64::from(self.d.agents) / self.d.rollout.votes_per_s.max(0.1));
        self.vote_at = now + self.vote_gap.max(share.min(ms(2000)));
    }

    /// The platform's sampled count of a build in a lane.
    pub fn tally(&mut self, t: Tally) {
        let lanes = self.lanes.len();
        let b = self.build(t.build);
        if t.lane < lanes {
            b.tally[t.lane].satisfied += t.deliveries - t.failed;
            b.tally[t.lane].failed += t.failed;
        }
    }

    /// A client found an answer of this appliance wrong: a satisfied outcome was a failed one.
    pub fn flag(&mut self, appliance: usize, lane: usize, age: Duration, now: Duration) {
        if let Some(Some(a)) = self.fleet.get_mut(appliance) {
            if a.started.unwrap_or_default() + age <= now && lane < a.counts.len() {
                a.counts[lane].flagged += 1.0;
            }
        }
    }

    /// A probe has come back.
    pub fn probed(&mut self, now: Duration, appliance: usize, well: bool) {
        if let Some(Some(a)) = self.fleet.get_mut(appliance) {
            if !well && a.aside.is_some() {
                a.aside = Some(now + a.aside_for);
            }
        }
    }

    // ---- the three calls ----

    /// Where to send this command now.
    pub fn place(&mut self, now: Duration, id: u64) -> Answer {
        let Some(c) = self.commands.get(&id) else { return Answer::Wait };
        if c.closed {
            return Answer::Wait;
        }
        let (lane, out) = (c.lane, c.deliveries.iter().filter(|d| d.out).count());
        let left = c.expires.saturating_sub(now);
        let first = c.deliveries.is_empty();
        let again = matches!(self.lanes[lane].repeats, Repeats::Idempotent | Repeats::Deduplicated { .. });

        // A delivery that is out: when its appliance has gone silent, or is very late, try another one.
        if out > 0 {
            if !again || out > 1 || self.spare < 1.0 || c.deliveries.len() >= self.d.deliveries {
                return Answer::Wait;
            }
            let patience = self.patience();
            let Some(delivery) = c.deliveries.iter().rposition(|d| d.out) else { return Answer::Wait };
            let sent = c.deliveries[delivery].sent;
            let silent =
                now >= sent + patience && self.silent(c.deliveries[delivery].appliance, now, patience);
            if !silent && (!self.d.second_copies || now < sent + patience * 2) {
                return Answer::NotYet { until: now + patience / 4 };
            }
            if left.as_secs_f64() < self.lanes[lane].usual {
                return Answer::Wait;
            }
            if !self.d.second_copies {
                return Answer::Withdraw { delivery };
            }
        } else if left <= self.d.tick * 2 || c.deliveries.len() >= self.d.deliveries {
            return self.give_up(id);
        }
        // Overload: what is worth least is denied before it costs anything.
        if first && self.crowded(id) {
            return self.give_up(id);
        }
        let Some(chosen) = self.pick(now, id) else {
            if out > 0 {
                return Answer::Wait;
            }
            let lasting = left.as_secs_f64() < self.lanes[lane].usual;
            return if lasting { self.give_up(id) } else { Answer::NotYet { until: now + self.d.tick * 4 } };
        };
        if out > 0 {
            self.spare -= 1.0;
        }
        self.send(now, id, chosen)
    }

    /// What to do after a delivery ended; `closed` when the command has had its final answer.
    pub fn after(
        &mut self,
        now: Duration,
        id: u64,
        delivery: usize,
        outcome: Outcome,
        took: Duration,
        closed: bool,
    ) -> Answer {
        let Some(c) = self.commands.get_mut(&id) else { return Answer::Wait };
        let Some(d) = c.deliveries.get_mut(delivery) else { return Answer::Wait };
        if !d.out {
            return Answer::Wait;
        }
        d.out = false;
        d.may_have_run = !outcome.never_ran();
        let (appliance, build, lane) = (d.appliance, d.build, c.lane);
        let key = c.key.filter(|_| outcome == Outcome::Satisfied);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.learn(now, appliance, build, lane, outcome, took);
        if let Some(k) = key {
            if self.d.rollout.one_way && self.on_trial(build) {
                self.bound.insert(k);
            }
        }
        let c = &self.commands[&id];
        if closed || c.closed {
            let other = c.deliveries.iter().position(|d| d.out);
            self.close(id);
            return match other {
                Some(delivery) if self.d.second_copies => Answer::Withdraw { delivery },
                _ => Answer::Wait,
            };
        }
        if c.deliveries.iter().any(|d| d.out) {
            return Answer::Wait;
        }
        let ran = c.deliveries.iter().any(|d| d.may_have_run);
        let left = c.expires.saturating_sub(now).as_secs_f64();
        let spent = if ran { 1.0 } else { 0.3 };
        let hopeless = left < self.lanes[lane].usual * 0.5 || self.spare < spent;
        if hopeless || ran && self.lanes[lane].repeats == Repeats::Unrepeatable {
            return self.give_up(id);
        }
        self.spare -= spent;
        self.place(now, id)
    }

    /// What is due now, and when to ask again.
    pub fn wait(&mut self, now: Duration) -> Due {
        let mut due = Due::default();
        if now >= self.survey_at {
            self.survey(now);
            self.survey_at = now + SURVEY;
        }
        if self.watch_at.is_some_and(|t| now >= t) {
            self.watch_at = None;
            due.watch = true;
        }
        due.vote = self.vote(now);
        due.notes = std::mem::take(&mut self.notes);
        due.until = self.watch_at.map_or(self.survey_at, |t| t.min(self.survey_at));
        due
    }

    // ---- builds, exposure, votes ----

    fn build(&mut self, number: u32) -> &mut Build {
        let slots = if self.d.rollout.by_lane { self.lanes.len() } else { 1 };
        let (free, lanes) = (self.d.rollout.free, self.lanes.len());
        self.builds.entry(number).or_insert_with(|| Build {
            tokens: vec![free; slots],
            cap: 0.0,
            past: vec![Count::default(); lanes],
            tally: vec![Count::default(); lanes],
            newest: Duration::ZERO,
            regressed: false,
            proven: false,
        })
    }

    fn on_trial(&self, build: u32) -> bool {
        match &self.news {
            Some(n) => build > n.build || build == n.build && n.phase != Phase::Released,
            None => self.running().any(|(_, a)| a.build < build),
        }
    }

    fn stage(&self, build: u32) -> usize {
        self.news.as_ref().filter(|n| n.build == build).map_or(0, |n| n.stage)
    }

    /// Tokens: each command taken adds the cap, each delivery takes one, never more than `free` are kept.
    /// This bounds every window, also one that begins after the arrivals that paid for a delivery.
    fn set_caps(&mut self) {
        let first = self.d.rollout.caps.first().copied().unwrap_or(0.0);
        for (number, b) in &mut self.builds {
            b.cap = match &self.news {
                Some(n) if n.build == *number => n.cap,
                _ => first,
            };
        }
    }

    fn may_expose(&self, build: u32, lane: usize) -> bool {
        if !self.on_trial(build) {
            return true;
        }
        let guarded = self.stage(build) < self.d.rollout.guarded_stages;
        if guarded && self.lanes[lane].repeats != Repeats::Idempotent {
            return false;
        }
        self.builds.get(&build).is_some_and(|b| {
            let slot = if b.tokens.len() > 1 { lane } else { 0 };
            b.cap > 0.0 && b.tokens[slot] >= 1.0
        })
    }

    /// The verdict on the newest build against the build before it.
    fn judge(&mut self, now: Duration) {
        let Some(n) = self.news.clone() else { return };
        let earlier = self.builds.keys().rev().copied().find(|b| *b < n.build);
        let trial = self.totals(n.build);
        let base = earlier.map_or_else(|| vec![Count::default(); self.lanes.len()], |b| self.totals(b));
        let newest = self.builds.get(&n.build).map_or(Duration::ZERO, |b| b.newest);
        let was = self.builds.get(&n.build).is_some_and(|b| b.regressed);
        let outcomes: f64 = trial.iter().map(Count::all).sum();
        let mut seen = false;
        let mut worst: f64 = 0.0;
        if outcomes >= LEAST_OUTCOMES {
            // Until it has settled, a hold once placed is kept on half of what placed it.
            let ease = if was && now < newest + SETTLED { 0.5 } else { 1.0 };
            for (lane, (t, b)) in trial.iter().zip(&base).enumerate() {
                let share = self.d.rollout.flagged_share.clamp(0.1, 1.0);
                let Some(why) = regressed(t, b, share, ease) else { continue };
                worst = worst.max(t.failed + t.flagged + t.lost);
                seen = true;
                if !was {
                    self.notes.push(format!(
                        "regressed: build {} lane {lane} {why}: failed {:.0} flagged {:.0} lost {:.0} of {:.0}, earlier {:.0} {:.0} {:.0} of {:.0}",
                        n.build, t.failed, t.flagged, t.lost, t.all(), b.failed, b.flagged, b.lost, b.all()
                    ));
                }
            }
        }
        if !seen && self.slow(n.build, earlier.unwrap_or(0), if was { 0.8 } else { 1.0 }) {
            seen = true;
            worst = BACK_FAILURES;
            if !was {
                self.notes.push(format!("regressed: build {} slow on every appliance", n.build));
            }
        }
        if was && !seen {
            self.notes.push(format!("lift: build {} shows no regression", n.build));
        }
        let running = self.running().count().max(1) as f64;
        let share = self.running().filter(|(_, a)| a.build == n.build).count() as f64 / running;
        let b = self.build(n.build);
        b.regressed = seen;
        b.proven = !seen && outcomes >= 3.0 * LEAST_OUTCOMES;
        // A hold cannot protect from a build that is released, or that most of the fleet runs.
        let exposed = n.phase == Phase::Released || share > BACK_SHARE;
        let verdict = match n.phase {
            Phase::Trial | Phase::Released if seen && exposed && worst >= BACK_FAILURES => {
                Some(Verdict::Back)
            }
            Phase::Trial if seen => Some(Verdict::Hold),
            _ => None,
        };
        self.want = verdict.map(|verdict| Vote { build: n.build, stage: n.stage, verdict });
    }

    /// Guards against a build that needs more work but fails nothing: all its appliances, two at least, are
    /// slower than three quarters of the earlier build's now, so one slowed machine is no slow build.
    fn slow(&self, build: u32, earlier: u32, ease: f64) -> bool {
        let paces = |b: u32| {
            let timed = self.running().filter(|(_, a)| a.build == b && a.timed >= SLOW_TIMES);
            let mut paces: Vec<f64> = timed.map(|(_, a)| a.pace / a.timed).collect();
            paces.sort_by(f64::total_cmp);
            paces
        };
        let (trial, base) = (paces(build), paces(earlier));
        trial.len() > 1 && base.len() > 2 && trial[0] > SLOW_AT * ease * base[base.len() * 3 / 4].max(1.0)
    }

    /// Counts of a build by lane. Appliances that are set aside are left out of an earlier build, and of
    /// the newest one where it has healthy ones: a sick machine says nothing of its build.
    fn totals(&self, build: u32) -> Vec<Count> {
        let mut sum = match self.builds.get(&build) {
            Some(b) => b.past.clone(),
            None => vec![Count::default(); self.lanes.len()],
        };
        let newest = self.news.as_ref().is_some_and(|n| n.build == build);
        let healthy = self.running().filter(|(_, a)| a.build == build && a.aside.is_none()).count();
        for (_, a) in self.running().filter(|(_, a)| a.build == build) {
            if a.aside.is_none() || newest && healthy == 0 {
                sum.iter_mut().zip(&a.counts).for_each(|(s, c)| s.add(c));
            }
        }
        sum
    }

    fn vote(&mut self, now: Duration) -> Option<Vote> {
        if let Some((_, sent)) = self.pending {
            if now < sent + self.d.rollout.vote_wait + ms(500) {
                return None;
            }
            self.reply(now, Reply::Unknown);
        }
        if now < self.vote_at || !self.d.rollout.by_clock {
            return None;
        }
        let life = self.d.rollout.vote_life;
        let vote = match (&self.want, &self.standing) {
            (Some(w), Some((s, since))) if w == s && now < *since + life / 2 => return None,
            (Some(w), _) => w.clone(),
            (None, Some((s, since))) => {
                let current =
                    self.news.as_ref().is_some_and(|n| n.build == s.build && n.phase == Phase::Trial);
                if !current || now > *since + life * 2 {
                    self.standing = None;
                    return None;
                }
                Vote { verdict: Verdict::None, ..s.clone() }
            }
            (None, None) => return None,
        };
        self.pending = Some((vote.clone(), now));
        Some(vote)
    }

    // ---- appliances ----

    fn running(&self) -> impl Iterator<Item = (usize, &Appliance)> {
        let all = self.fleet.iter().enumerate().filter_map(|(i, a)| a.as_ref().map(|a| (i, a)));
        all.filter(|(_, a)| a.standing == Standing::Running)
    }

    /// Nothing more goes to an appliance that drains or is gone; what it showed of its build is kept.
    fn retire(&mut self, i: usize, standing: Standing) {
        let Some(Some(a)) = self.fleet.get_mut(i) else { return };
        if a.standing == Standing::Running && a.aside.is_none() {
            let (number, counts) = (a.build, a.counts.clone());
            let b = self.build(number);
            b.past.iter_mut().zip(&counts).for_each(|(p, c)| p.add(c));
        }
        if let Some(Some(a)) = self.fleet.get_mut(i) {
            a.standing = standing;
        }
    }

    /// Two random choices by commands in flight, among what this command may go to.
    fn pick(&mut self, now: Duration, id: u64) -> Option<usize> {
        let c = &self.commands[&id];
        let patience = self.patience();
        let idempotent = self.lanes[c.lane].repeats == Repeats::Idempotent;
        let bound = c.key.is_some_and(|k| self.bound.contains(&k));
        let newest_bound = self.news.as_ref().filter(|n| matches!(n.phase, Phase::Trial | Phase::Released));
        let floor = if bound { newest_bound.map_or(0, |n| n.build) } else { 0 };
        let mut pool: [Vec<(usize, f64, f64)>; 3] = Default::default();
        let window_start = now.saturating_sub(self.d.fall_for);
        let warm = self.running().filter(|(_, a)| a.cold_since.is_none()).count().max(1) as f64;
        let carried = self.warm_sends.iter().filter(|t| **t > window_start).count() as f64 / warm;
        let near = self.running().filter(|(_, a)| a.zone == self.d.zone).count() as f64;
        let all = self.running().count().max(1) as f64;
        let fair = (near + (all - near) * self.abroad) / all;
        for (i, a) in self.running() {
            if a.build < floor || !self.may_expose(a.build, c.lane) || !self.same_group(c, a, now) {
                continue;
            }
            let ramp = self.ramp(now, a);
            if a.cold_since.is_some() {
                // Cold: no more than its part of what a warm one carries from here, so that the sum over
                // all agents keeps to that part too, however unequal they are.
                let sent = a.sends.iter().filter(|t| **t > window_start).count() as f64;
                if sent >= ramp * carried {
                    continue;
                }
            }
            let trial = self.on_trial(a.build);
            let view = self.builds.get(&a.build);
            let mut draw = a.weight * ramp;
            if trial {
                // From every zone alike, at what an appliance gets on the whole.
                draw *= if view.is_some_and(|b| b.regressed) { fair * 0.1 } else { fair };
            } else if a.zone != self.d.zone {
                draw *= self.abroad;
            }
            let tried = c.deliveries.iter().any(|d| d.appliance == i);
            let silent = self.silent(i, now, patience);
            let unproven = trial && !idempotent && !view.is_some_and(|b| b.proven);
            let rank = if a.aside.is_some_and(|t| now < t) || silent || a.strikes > 1 && !idempotent {
                2
            } else if tried || unproven || a.aside.is_some() && (!idempotent || a.in_flight > 0) {
                1
            } else {
                0
            };
            pool[rank].push((i, draw, (a.in_flight as f64 + 1.0) / (a.weight * ramp)));
        }
        let fair = pool.iter().find(|p| !p.is_empty())?;
        let one = draw(&mut self.rng, fair)?;
        let two = draw(&mut self.rng, fair)?;
        Some(if two.2 < one.2 { two.0 } else { one.0 })
    }

    fn same_group(&self, c: &Open, a: &Appliance, now: Duration) -> bool {
        let Repeats::Deduplicated { group, window } = self.lanes[c.lane].repeats else { return true };
        c.deliveries.iter().filter(|d| d.out || d.may_have_run).all(|d| {
            let here = match group {
                Group::All => true,
                Group::Zone => d.zone == a.zone,
                Group::Cell => d.cell == a.cell,
            };
            here && now + self.d.tick < d.sent + window
        })
    }

    /// What part of its full load an appliance may get: less while cold, by the slowest warming allowed.
    fn ramp(&self, now: Duration, a: &Appliance) -> f64 {
        let Some(since) = a.cold_since else { return 1.0 };
        let age = now.saturating_sub(since).as_secs_f64() / self.d.cold_for.as_secs_f64().max(0.001);
        self.d.cold_share + (1.0 - self.d.cold_share) * age.min(1.0)
    }

    /// How long an appliance may say nothing at all before it counts as silent.
    fn patience(&self) -> Duration {
        let high = self.lanes.iter().map(|l| l.high.0.max(l.usual * 2.3)).fold(0.0, f64::max);
        Duration::from_secs_f64((high * 2.0).clamp(0.1, 3.0))
    }

    fn silent(&self, i: usize, now: Duration, patience: Duration) -> bool {
        let a = self.fleet.get(i).and_then(Option::as_ref);
        a.is_none_or(|a| a.unheard.is_some_and(|t| now >= t + patience))
    }

    fn send(&mut self, now: Duration, id: u64, i: usize) -> Answer {
        let idle = Answer::Wait;
        let patience = self.patience();
        let (Some(c), Some(Some(a))) = (self.commands.get_mut(&id), self.fleet.get_mut(i)) else {
            return idle;
        };
        let lane = &self.lanes[c.lane];
        let left = c.expires.saturating_sub(now);
        let again = c.deliveries.len() + 1 < self.d.deliveries && lane.repeats != Repeats::Unrepeatable;
        let soon = Duration::from_secs_f64((lane.usual * 6.0).max(lane.quoted * 0.8));
        let time_out = if again && !self.d.withdraw { soon.min(left) } else { left };
        let look = (again && self.d.withdraw).then_some(now + patience);
        let d = Delivery {
            appliance: i,
            build: a.build,
            zone: a.zone,
            cell: a.cell,
            sent: now,
            out: true,
            may_have_run: false,
        };
        c.deliveries.push(d);
        a.in_flight += 1;
        a.unheard.get_or_insert(now);
        let (build, lane) = (a.build, c.lane);
        let old = now.saturating_sub(self.d.fall_for);
        let log = if a.cold_since.is_some() { &mut a.sends } else { &mut self.warm_sends };
        log.push_back(now);
        while log.front().is_some_and(|t| *t <= old) {
            log.pop_front();
        }
        self.in_flight += 1;
        if self.on_trial(build) {
            if let Some(b) = self.builds.get_mut(&build) {
                let slot = if b.tokens.len() > 1 { lane } else { 0 };
                b.tokens[slot] -= 1.0;
            }
        }
        Answer::Send { appliance: i, time_out, look: look.filter(|t| *t < now + left) }
    }

    /// What one outcome says of its appliance, its build and its lane.
    fn learn(&mut self, now: Duration, i: usize, build: u32, lane: usize, outcome: Outcome, took: Duration) {
        let trial = self.on_trial(build);
        let l = &mut self.lanes[lane];
        let took = took.as_secs_f64();
        if matches!(outcome, Outcome::Satisfied | Outcome::Failed) {
            l.done += 1.0;
            l.high.see(took);
        }
        let Some(Some(a)) = self.fleet.get_mut(i) else { return };
        a.in_flight = a.in_flight.saturating_sub(1);
        if a.build != build || a.standing != Standing::Running {
            return;
        }
        let x = took / l.usual;
        let mute = a.unheard.is_some_and(|t| t.as_secs_f64() <= now.as_secs_f64() - took + 0.001);
        let count = &mut a.counts[lane];
        match outcome {
            Outcome::Satisfied | Outcome::Failed | Outcome::TurnedAway => {
                if a.strikes > 2 && a.cold_since.is_none() {
                    // Back from silence: it may be a restart that the list has not told yet.
                    a.cold_since = Some(now);
                }
                a.unheard = (a.in_flight > 0).then_some(now);
                a.strikes = 0;
            }
            // Lost, unless the appliance has answered others since: then this one was only heavy.
            Outcome::TimedOut | Outcome::Withdrawn if !mute => {}
            Outcome::TimedOut | Outcome::Withdrawn | Outcome::NoConnection | Outcome::Broken => {
                a.strikes += 1;
                count.lost += 1.0;
                a.high.see(x.max(2.0));
            }
            Outcome::NotSent => {}
        }
        match outcome {
            Outcome::Satisfied => {
                count.satisfied += 1.0;
                a.failing *= 0.85;
                a.high.see(x);
                if a.cold_since.is_none() {
                    let kind = &mut self.kind_pace[a.kind];
                    a.timed += 1.0;
                    a.pace += x.min(10.0) / *kind;
                    if !trial {
                        *kind += (x.min(10.0) - *kind) * 0.01;
                        l.usual += (took.min(l.usual * 10.0) - l.usual) * 0.02;
                        let side = if a.zone == self.d.zone { &mut self.near } else { &mut self.far };
                        *side += (x.min(10.0) - *side) * 0.03;
                    }
                }
                if a.failing < SICK_SHARE && a.aside.take().is_some() {
                    a.aside_for = ASIDE_FIRST;
                    self.notes.push(format!("back: appliance {i}"));
                }
            }
            Outcome::Failed => {
                count.failed += 1.0;
                a.failing += 0.15 * (1.0 - a.failing);
            }
            _ => {}
        }
        let lost = mute && a.strikes > 1 || outcome == Outcome::NoConnection;
        if (lost && outcome != Outcome::Satisfied || a.failing > SICK_SHARE)
            && a.aside.is_none_or(|t| now >= t)
        {
            if a.aside.is_none() {
                self.notes.push(format!("aside: appliance {i} build {build} after {outcome:?}"));
            }
            a.aside = Some(now + a.aside_for);
            a.aside_for = (a.aside_for * 2).min(ASIDE_MOST);
        }
    }

    /// The regular look at everything: weights, load, the verdict.
    fn survey(&mut self, now: Duration) {
        let fade = 0.5f64.powf(SURVEY.as_secs_f64() / HALF_LIFE);
        let mut highs: Vec<f64> =
            self.running().filter(|(_, a)| a.cold_since.is_none()).map(|(_, a)| a.high.0).collect();
        highs.sort_by(f64::total_cmp);
        let median = highs.get(highs.len() / 2).copied().unwrap_or(2.0);
        for a in self.fleet.iter_mut().flatten() {
            if a.cold_since.is_some_and(|t| now >= t + self.d.cold_for) {
                a.cold_since = None;
                a.sends.clear();
            }
            // Its high quantile against its fellows': at its like it draws fully, above it by the square.
            let pace = (a.high.0 / median.max(0.01)).max(0.3);
            a.weight = if pace < 1.5 { pace.powf(-0.5) } else { 1.5f64.powf(1.5) * pace.powi(-2) };
            let all: f64 = a.counts.iter().map(Count::all).sum();
            if all > KEEP {
                a.counts.iter_mut().for_each(|c| c.fade(fade));
            }
            a.timed *= fade;
            a.pace *= fade;
        }
        for b in self.builds.values_mut() {
            let all: f64 = b.past.iter().map(Count::all).sum();
            if all > KEEP {
                b.past.iter_mut().for_each(|c| c.fade(fade));
            }
        }
        self.customer_load.iter_mut().for_each(|l| *l *= 0.98);
        if self.d.crossing_price > 0.0 {
            let by = if self.near > self.far * 1.2 { 1.1 } else { 0.95 };
            self.abroad = (self.abroad * by).clamp(0.03, 1.0);
        }
        // What may be in flight: the answers that come, times the mean answer time that is still good. Below
        // it, answers grow with what is sent; above it, only the waiting does.
        let gain = (SURVEY.as_secs_f64() / RATE_OVER).min(1.0);
        let mut room = 0.0;
        for l in &mut self.lanes {
            l.rate += (l.done / SURVEY.as_secs_f64() - l.rate) * gain;
            l.done = 0.0;
            l.least = (l.least * 1.002).min(l.usual);
            room += l.rate * (l.quoted * TARGET).max(l.least * 1.2);
        }
        let patience = self.patience();
        let stuck = |i: &usize| self.silent(*i, now, patience);
        self.stuck = (0..self.fleet.len())
            .filter(stuck)
            .filter_map(|i| self.fleet[i].as_ref())
            .map(|a| a.in_flight)
            .sum();
        self.limit = room + room.sqrt() + 2.0;
        self.judge(now);
    }

    // ---- giving up ----

    /// Whether the load leaves no room for a command of this lane and customer.
    fn crowded(&self, id: u64) -> bool {
        let Some(c) = self.commands.get(&id) else { return false };
        let density =
            |l: &LaneView| if self.d.benefit_by_work { l.benefit } else { l.benefit / l.usual.max(1e-4) };
        let best = self.lanes.iter().map(density).fold(0.0, f64::max).max(1e-9);
        let mut room = 0.8 + 0.2 * density(&self.lanes[c.lane]) / best;
        let total: f64 = self.customer_load.iter().sum::<f64>().max(1.0);
        if let Some(i) = c.customer.filter(|i| *i < self.d.customers.len()) {
            if self.customer_load[i] / total > self.d.customers[i].share * 1.15 {
                room *= 0.8;
            }
        }
        (self.in_flight - self.stuck.min(self.in_flight)) as f64 >= self.limit * room
    }

    fn give_up(&mut self, id: u64) -> Answer {
        let Some(c) = self.commands.get(&id) else { return Answer::Wait };
        let ran = c.deliveries.iter().any(|d| d.out || d.may_have_run);
        let harmless = match self.lanes[c.lane].repeats {
            Repeats::Idempotent => true,
            Repeats::Deduplicated { group, .. } => !ran || group == Group::All,
            Repeats::Unrepeatable => !ran,
        };
        self.close(id);
        if harmless {
            Answer::Deny { come_back: self.d.come_back.map(|most| most.min(ms(500))) }
        } else {
            Answer::Scrap
        }
    }

    fn close(&mut self, id: u64) {
        if let Some(c) = self.commands.get_mut(&id) {
            c.closed = true;
            if c.deliveries.iter().all(|d| !d.out) {
                self.commands.remove(&id);
            }
        }
    }
}

/// Whether the build on trial regressed a lane that the earlier build satisfies.
fn regressed(t: &Count, b: &Count, flagged_share: f64, ease: f64) -> Option<&'static str> {
    let worse = |seen: f64, bad: f64, of: f64, base_bad: f64, base_of: f64, share: f64| {
        seen >= LEAST_FAILURES * ease
            && bad > share * ease * of
            && base_of >= 1.0
            && base_bad < share * base_of
    };
    // Answers that came and failed; lost ones do not blur this baseline.
    let bad = |c: &Count| c.failed + c.flagged / flagged_share;
    if worse(t.failed + t.flagged, bad(t), t.answered(), bad(b), b.answered(), FAILED_SHARE) {
        return Some("failed");
    }
    if worse(t.failed + t.lost, t.failed + t.lost, t.all(), b.failed + b.lost, b.all(), LOST_SHARE) {
        return Some("lost");
    }
    None
}

fn draw(rng: &mut Pcg64Mcg, from: &[(usize, f64, f64)]) -> Option<(usize, f64, f64)> {
    let total: f64 = from.iter().map(|c| c.1).sum();
    let mut at = rng.gen_range(0.0..1.0) * total;
    for c in from {
        at -= c.1;
        if at <= 0.0 {
            return Some(*c);
        }
    }
    from.last().copied()
}
