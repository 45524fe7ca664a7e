//! What a [`Balancer`](crate::Balancer) remembers, grouped by how long it lives: one attempt, one
//! request, one endpoint, one build, the instance. Plain data; every decision on it is in
//! `choice.rs` and `choice/`.

use crate::interface::*;
use crate::Balancer;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

pub(crate) const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub(crate) fn chance(rng: &mut Option<Pcg64Mcg>) -> f64 {
    rng.as_mut().map_or(0.0, |r| r.gen_range(0.0..1.0))
}

pub(crate) fn sorted(values: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values
}

/// A mean that follows what is new, faster while little is known.
#[derive(Clone, Copy, Default)]
pub(crate) struct Mean {
    pub now: f64,
    pub seen: f64,
}

impl Mean {
    pub fn follow(&mut self, x: f64, gain: f64) {
        self.seen += 1.0;
        self.now += (x - self.now) * gain.max(1.0 / self.seen);
    }
}

/// The keys of the last requests.
#[derive(Default)]
pub(crate) struct Recent(VecDeque<u64>);

impl Recent {
    /// Whether this one is among the last so many; from now on it is.
    pub fn met(&mut self, key: u64, most: usize) -> bool {
        let met = self.0.contains(&key);
        self.0.push_back(key);
        self.0.drain(..self.0.len().saturating_sub(most));
        met
    }
}

/// What this agent has out, and what it may have.
#[derive(Default)]
pub(crate) struct Load {
    pub in_flight: usize,
    pub stuck: usize,
    pub peak: f64, // the highest limit of late
    pub done: f64, // answers of warm endpoints in this survey
    pub limit: Option<f64>,
    pub spare: f64, // further attempts earned
    pub blame: f64, // the part of failures that were the endpoint's, not the request's
    pub near: f64,  // answer times of the own zone and of the others, against the usual
    pub far: f64,
    pub abroad: f64,
}

/// The vote that is meant, the one that stands and the one that is out.
#[derive(Default)]
pub(crate) struct Votes {
    pub want: Option<Vote>,
    pub standing: Option<(Vote, Duration)>,
    pub pending: Option<(Vote, Duration)>,
    pub severe: bool, // sends back where others only hold
    pub at: Duration,
    pub gap: Duration,
}

/// Answer times counted by size, a quarter of an octave each: their sum fades, and what is kept
/// does not grow.
#[derive(Clone)]
pub(crate) struct Times([f64; 64]);

impl Default for Times {
    fn default() -> Times {
        Times([0.0; 64])
    }
}

impl Times {
    pub fn add(&mut self, seconds: f64) {
        let size = (seconds * 1000.0).max(1.0).log2() * 4.0;
        self.0[(size as usize).min(63)] += 1.0;
    }
    pub fn fade(&mut self, by: f64) {
        self.0.iter_mut().for_each(|n| *n *= by);
    }
    /// Fades them to so many, by `least` at most.
    pub fn keep(&mut self, most: f64, least: f64) {
        let all = self.all();
        if all > most {
            self.fade((most / all).max(least));
        }
    }
    pub fn all(&self) -> f64 {
        self.0.iter().sum()
    }
    /// The first size above the smaller half of them.
    pub fn middle(&self) -> usize {
        let (half, mut below) = (self.all() / 2.0, 0.0);
        let over = |n: &f64| {
            below += n;
            below >= half
        };
        self.0.iter().position(over).unwrap_or(0) + 1
    }
    /// Of all of them together, in milliseconds, by the middle of each size.
    pub fn sum(&self) -> f64 {
        self.0
            .iter()
            .enumerate()
            .map(|(i, n)| n * ((i as f64 + 0.5) / 4.0).exp2())
            .sum()
    }
    pub fn from(&self, size: usize) -> f64 {
        self.0.iter().skip(size).sum()
    }
}

/// Evidence in one class. Flagged answers are failures; each stands for those that nobody reported.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Count {
    pub succeeded: f64,
    pub failed: f64,
    pub flagged: f64,
    pub lost: f64,
}

impl Count {
    /// Fades by `by`, then adds `o`.
    pub fn mix(&mut self, by: f64, o: &Count) {
        self.succeeded = self.succeeded * by + o.succeeded;
        self.failed = self.failed * by + o.failed;
        self.flagged = self.flagged * by + o.flagged;
        self.lost = self.lost * by + o.lost;
    }
    /// One that is faded by `by`, with `o` added.
    pub fn mixed(mut self, by: f64, o: &Count) -> Count {
        self.mix(by, o);
        self
    }
    pub fn sum(of: &[Count]) -> Count {
        let mut sum = Count::default();
        of.iter().for_each(|c| sum.mix(1.0, c));
        sum
    }
    pub fn bad(&self) -> f64 {
        self.failed + self.lost
    }
    pub fn shows(&self) -> bool {
        self.bad() + self.flagged > 0.0
    }
    pub fn all(&self) -> f64 {
        self.succeeded + self.failed + self.lost
    }
}

pub(crate) struct Attempt {
    pub endpoint: usize,
    pub build: u32,
    pub zone: usize,
    pub cell: u64,
    pub sent: Duration,
    pub out: bool,
    pub may_have_run: bool,
    pub failed: bool,
    heard: bool, // whether it was quick
}

pub(crate) struct Open {
    pub class: usize,
    pub tenant: Option<usize>,
    pub key: Option<u64>,
    pub deadline: Duration,
    pub half: Duration, // of its time is over
    pub attempts: Vec<Attempt>,
    pub closed: bool,
    pub choices: Option<[usize; 2]>, // asked for their load
    pub home: Option<u64>,           // the key, where it has one
    pub work: Option<Duration>,      // as its client hints
}

#[derive(Default)]
pub(crate) struct Endpoint {
    pub standing: EndpointState,
    pub zone: usize,
    pub cell: u64,
    pub mark: u64,
    pub kind: usize,
    pub build: u32,
    pub started: Option<Duration>,
    pub warming_since: Option<Duration>,
    pub in_flight: usize,
    pub unheard: Option<Duration>, // since when it owes a sign of life
    pub strikes: u32,              // lost answers in a row
    pub aside: Option<Duration>,
    pub aside_for: Duration,
    pub noted: bool, // in a report line
    pub failing: f64,
    pub high: f64, // a high quantile of its answer times
    pub weight: f64,
    pub counts: Vec<Count>,
    pub quota: f64,                    // attempts that it may get while cold,
    pub turns: f64,                    // and how many within the time that topples one
    pub held: Option<(f64, Duration)>, // requests that it said it held, and when
    pub since: f64,                    // sent to it from here since then
    pub asked: Option<Duration>,       // for its load, and not yet heard
}

/// Machines of one kind: their answer times against the usual, and what they say they hold.
#[derive(Clone, Copy)]
pub(crate) struct Kind {
    pub pace: Mean,
    pub held: Mean,
    pub rate: f64, // what one of them gets done against the mean of all kinds, by Little's law,
    pub step: f64, // the same in steps of half an octave, so that agents find the same,
    pub slower: f64, // and its answer times
}

impl Default for Kind {
    fn default() -> Kind {
        Kind {
            pace: Mean::default(),
            held: Mean::default(),
            rate: 1.0,
            step: 1.0,
            slower: 1.0,
        }
    }
}

impl Kind {
    /// Sets all kinds against their mean, once enough is known of them.
    pub fn weigh(kinds: &mut [Kind]) {
        let known = |k: &Kind, n: f64| (n > 9.0).then_some(k.pace.now.max(0.05));
        let rate =
            |k: &Kind| known(k, k.pace.seen.min(k.held.seen)).map(|pace| (k.held.now + 1.0) / pace);
        let pace = |k: &Kind| known(k, k.pace.seen);
        let mean = |of: &dyn Fn(&Kind) -> Option<f64>| {
            let all: Vec<f64> = kinds.iter().filter_map(of).collect();
            all.iter().sum::<f64>() / all.len().max(1) as f64
        };
        let (rates, paces) = (mean(&rate), mean(&pace));
        for k in kinds {
            k.rate = rate(k).map_or(1.0, |r| r / rates);
            k.step = ((k.rate.log2() * 2.0).round() / 2.0).exp2();
            k.slower = pace(k).map_or(1.0, |p| p / paces);
        }
    }
}

#[derive(Default)]
pub(crate) struct Build {
    pub tokens: Vec<f64>,
    pub cap: f64,
    pub past: Vec<Count>, // of endpoints that have gone
    pub newest: Duration,
    pub regressed: bool,
    pub shown: f64, // failures times the seconds for which they showed, fading
    pub tallied: Vec<Tallied>, // by class
}

/// What the platform counted of a class over all agents, fading.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tallied {
    pub all: f64,
    pub failed: f64,
    pub took: f64, // seconds of those that did not fail, all together
}

impl Tallied {
    pub fn add(&mut self, t: &PlatformCounts) {
        if !t.attempts.is_finite() || !t.failed.is_finite() {
            return;
        }
        let (all, failed) = (
            t.attempts.max(0.0),
            t.failed.clamp(0.0, t.attempts.max(0.0)),
        );
        (self.all, self.failed) = (self.all + all, self.failed + failed);
        self.took += (all - failed) * t.mean_latency.as_secs_f64();
    }
    pub fn fade(&mut self, by: f64) {
        (self.all, self.failed, self.took) = (self.all * by, self.failed * by, self.took * by);
    }
    pub fn sum(of: &[Tallied]) -> Tallied {
        let add = |a: Tallied, b: &Tallied| Tallied {
            all: a.all + b.all,
            failed: a.failed + b.failed,
            took: a.took + b.took,
        };
        of.iter().fold(Tallied::default(), add)
    }
    /// Of a build on trial against the earlier one, by class: answers, and their mean time against
    /// that one's.
    pub fn pace(trial: &[Tallied], earlier: &[Tallied]) -> (f64, f64) {
        let (mut answers, mut took) = (0.0, 0.0);
        for (t, e) in trial.iter().zip(earlier).filter(|(_, e)| e.took > 0.0) {
            answers += t.all - t.failed;
            took += t.took / (e.took / (e.all - e.failed));
        }
        (answers, took / answers.max(1e-9))
    }
}

/// What the earlier build did while the trial got its traffic, so that troubles that meet both are
/// seen in both.
#[derive(Default)]
pub(crate) struct Beside {
    pub counts: Vec<Count>,
    pub late: [f64; 2], // outcomes of late: of earlier builds, of the trial
}

impl Beside {
    pub fn fade(&mut self, by: f64, late: f64) {
        self.counts
            .iter_mut()
            .for_each(|c| c.mix(by, &Count::default()));
        self.late.iter_mut().for_each(|n| *n *= late);
    }
}

/// Requests taken in a survey: of late, and while no build was judged.
#[derive(Default)]
pub(crate) struct Intake {
    pub taken: f64,
    late: f64,
    calm: f64,
    surveys: f64,
}

impl Intake {
    /// At each survey; the mean of late follows by `gain`, the calm one by `least` once it knows as
    /// much.
    pub fn survey(&mut self, judged: bool, gain: f64, least: f64) {
        let taken = std::mem::take(&mut self.taken);
        self.late += (taken - self.late) * gain;
        if !judged {
            self.surveys += 1.0;
            self.calm += (taken - self.calm) * least.max(1.0 / self.surveys);
        }
    }
    /// How many times the calm intake that of late is.
    pub fn grown(&self) -> f64 {
        self.late / self.calm.max(1e-6)
    }
}

/// Whether a build on trial drags the whole fleet down.
#[derive(Default)]
pub(crate) struct Drag {
    pub quick: [f64; 2], // answers of the earlier build and of the trial quicker than half were before,
    pub seen: [f64; 2],  // of those seen of late
    pub alarm: bool,
    pub heavy: bool, // its own quick answers were fewer than the earlier build's, beyond chance
    pub slow: bool,  // all answers, surely enough for one of several that must agree
}

#[derive(Clone, Default)]
pub(crate) struct ClassState {
    pub latency_objective: f64,
    pub priority_weight: f64,
    pub idempotency: Idempotency,
    pub seen: f64,  // answers, fifty at most
    pub usual: f64, // seconds of an answer now,
    pub least: f64, // at its lowest of late,
    pub half: f64,  // quicker than half of the answers before the trial
    pub high: f64,
    pub done: f64,
    pub rate: f64,
    pub calm: Times,      // answer times while no build was judged,
    pub late: Times,      // and of late, while one is
    pub calm_waited: f64, // seconds, for answers that never came
    pub waited: f64,      // the same of late
    pub open: f64,        // and for what is still out
}

/// What was read, in the form the decisions use.
#[derive(Default)]
pub(crate) struct Bounds {
    pub zone: usize,
    pub tick: Duration,
    pub attempts: usize,
    pub hedging: bool,
    pub withdraw: bool,
    pub retry_after: Option<Duration>,
    pub by_work: bool,
    pub crossing: bool,               // it costs something
    pub ask_within: Option<Duration>, // where the list must be asked
    pub list_shared: bool,
    pub warm_up_share: f64,
    pub warm_up: Duration,
    pub fall_for: Duration,
    pub cold_part: f64, // of what a warm one carries: half of what topples it
    pub probes: bool,
    pub warm_keys: bool,
    pub shares: Vec<f64>, // of the tenants
    pub first_cap: f64,
    pub free: f64,
    pub by_class: bool,
    pub guarded: usize,
    pub one_way: bool,
    pub votes: bool,
    pub in_place: bool,
    pub tallied: bool, // the platform counts outcomes for all
    pub jury: bool,    // several agents must agree to send back
    pub one_of: f64,   // how many agents there are for each of these
    pub voice: f64, // how sure each must be, as a logarithm, so that these are hardly as many by chance
    pub vote_life: Duration,
    pub vote_wait: Duration,
    pub vote_share: f64, // seconds between votes that leave the others theirs
    pub flag_worth: f64, // failures that one reported answer stands for
    pub agents: f64,
    pub looks: Cell<u64>, // at endpoints, by all walks so far
}

impl ClassState {
    /// What `seen` begins with: how many answers the first guess is worth.
    pub const UNSEEN: f64 = 5.0;

    pub fn new(l: &RequestClass, guess: f64) -> ClassState {
        let latency_objective = l.latency_objective.as_secs_f64();
        let (usual, priority_weight, idempotency) =
            (latency_objective * guess, l.priority_weight, l.idempotency);
        let view = ClassState {
            latency_objective,
            priority_weight,
            idempotency,
            usual,
            least: usual,
            ..ClassState::default()
        };
        ClassState {
            half: usual * 0.7,
            high: usual * 2.0,
            seen: ClassState::UNSEEN,
            ..view
        }
    }
}

impl ClassState {
    /// Fades the answer times of late, or the calm ones to so many.
    pub fn fade_times(&mut self, judged: bool, most: f64, least: f64, late: f64) {
        if !judged {
            let before = self.calm.all();
            self.calm.keep(most, least);
            self.calm_waited *= self.calm.all() / before.max(1e-9);
        }
        self.late.fade(if judged { late } else { 0.0 });
        self.waited *= if judged { late } else { 0.0 };
    }

    /// Another build is judged from now on: where the build before it `stood`, what was answered of
    /// late, and waited for in vain, is the calm sample, in the place of the older one once there
    /// is `enough` of it. What the fleet bore under that build, slow or not, is nothing the next
    /// one does.
    pub fn settle(&mut self, stood: bool, enough: f64) {
        let (late, waited) = (
            std::mem::take(&mut self.late),
            std::mem::take(&mut self.waited),
        );
        if stood {
            let kept = if late.all() < enough { 1.0 } else { 0.0 };
            self.calm
                .0
                .iter_mut()
                .zip(&late.0)
                .for_each(|(c, l)| *c = *c * kept + l);
            self.calm_waited = self.calm_waited * kept + waited;
        }
    }

    /// Of the answers of late: the share quicker than half of the calm ones of their class, their
    /// mean time against the calm ones' in quoted times, as a class's own few calm ones tell
    /// little, and how many this is known from, as both samples are small. The mean is that of a
    /// sample cut short: all time waited, by the answers that came.
    pub fn slowed(classes: &[ClassState]) -> (f64, f64, f64) {
        let (mut slow, mut all, mut took, mut calm, mut usual) = (0.0, 1e-9, 0.0, 1e-9, 1e-9);
        for l in classes.iter().filter(|l| l.latency_objective > 0.0) {
            slow += l.late.from(l.calm.middle());
            let waited = (l.waited + l.open) * 1000.0;
            (all, took) = (
                all + l.late.all(),
                took + (l.late.sum() + waited) / l.latency_objective,
            );
            (calm, usual) = (
                calm + l.calm.all(),
                usual + (l.calm.sum() + l.calm_waited * 1000.0) / l.latency_objective,
            );
        }
        (
            1.0 - slow / all,
            took / all / (usual / calm),
            all * calm / (all + calm),
        )
    }
}

impl Drag {
    /// An answer; whether it was quick, where that is counted.
    pub fn hear(&mut self, side: usize, quick: Option<bool>) {
        self.quick[side] += if quick == Some(true) { 1.0 } else { 0.0 };
        self.seen[side] += if quick.is_some() { 1.0 } else { 0.0 };
    }
    pub fn fade(&mut self, by: f64) {
        self.quick
            .iter_mut()
            .chain(&mut self.seen)
            .for_each(|n| *n *= by);
    }
    /// The share of quick answers, and the same bound on it where half is usual.
    pub fn quick_share(&self, side: usize) -> (f64, f64) {
        let (quick, seen) = (self.quick[side], self.seen[side]);
        let share = (quick / seen.max(1.0)).clamp(0.01, 0.49);
        (
            share,
            seen * (share * (2.0 * share).ln() + (1.0 - share) * (2.0 - 2.0 * share).ln()),
        )
    }
}

/// Chernoff's bound, as a logarithm, on a mean of so many long-tailed times that is `ratio` times
/// the usual.
pub(crate) fn strange(answers: f64, ratio: f64) -> f64 {
    answers * (ratio - 1.0 - ratio.ln())
}

/// Weighted rendezvous hashing: how far an endpoint of this mark and weight is from a key.
fn rendezvous(key: u64, mark: u64, weight: f64) -> f64 {
    let mut n = key ^ mark.rotate_left(32);
    for factor in [0xff51_afd7_ed55_8ccd, 0xc4ce_b9fe_1a85_ec53] {
        n = (n ^ n >> 33).wrapping_mul(factor);
    }
    let share = ((n ^ n >> 33) >> 11) as f64 / (1u64 << 53) as f64;
    -share.max(1e-18).ln() / weight.max(1e-9)
}

/// By Poisson: one in a thousand times as many as must agree err at once.
fn voice(agents: u32, needed: u32) -> f64 {
    let needed = needed.clamp(1, 10_000);
    let factorial: f64 = (1..=needed).map(|i| f64::from(i).ln()).sum();
    f64::from(agents.max(1)).ln() - (0.001f64.ln() + factorial) / f64::from(needed)
}

/// The newest build before this one.
pub(crate) fn earlier(builds: &BTreeMap<u32, Build>, build: u32) -> u32 {
    builds
        .range(..build)
        .next_back()
        .map_or(0, |(number, _)| *number)
}

/// How far two samples speak for two shares and not for one, as the logarithm of their likelihood
/// ratio; 0 where the first share is not the higher one. It also weighs that the second is known
/// from few.
pub(crate) fn apart((bad, all): (f64, f64), (base, of): (f64, f64)) -> f64 {
    if all <= 0.0 || of <= 0.0 || bad * of <= base * all {
        return 0.0;
    }
    let likely = |bad: f64, all: f64, share: f64| {
        let term = |n: f64, p: f64| if n > 0.0 { n * p.max(1e-9).ln() } else { 0.0 };
        term(bad, share) + term(all - bad, 1.0 - share)
    };
    let both = (bad + base) / (all + of);
    let each = likely(bad, all, bad / all) + likely(base, of, base / of);
    each - likely(bad + base, all + of, both)
}

/// Shortest time between two calls of one agent for the endpoint list, so that all agents together
/// keep to the rate that the discovery service bears. Zero where calls cost it nothing.
pub fn list_call_interval(settings: &Settings) -> Duration {
    Bounds::of(settings).list_call_interval()
}

impl Bounds {
    /// What part of its full load an endpoint may get: less while cold, by the slowest warming
    /// allowed.
    pub fn ramp(&self, now: Duration, a: &Endpoint) -> f64 {
        let Some(since) = a.warming_since else {
            return 1.0;
        };
        let age = now.saturating_sub(since).as_secs_f64() / self.warm_up.as_secs_f64().max(0.001);
        self.warm_up_share + (1.0 - self.warm_up_share) * age.min(1.0)
    }

    /// How far apart the calls of one agent are where all agents together keep to the platform's
    /// rate, the only one that is told for calls; at most half of the time within which the list
    /// must be asked for. None where they cost discovery nothing.
    pub fn list_call_interval(&self) -> Duration {
        let most = self
            .ask_within
            .filter(|_| self.list_shared)
            .unwrap_or_default()
            / 2;
        Duration::from_secs_f64(self.vote_share.clamp(0.0, 3600.0)).min(most)
    }

    /// Counts the endpoints that a walk has before it: what walks cost is told without a clock. One
    /// that ends early counts as whole.
    pub fn walk<'a>(&self, fleet: &'a [Endpoint]) -> &'a [Endpoint] {
        self.looks
            .set(self.looks.get().wrapping_add(fleet.len() as u64));
        fleet
    }

    /// Where the cap counts an attempt of this class.
    pub fn slot(&self, class: usize) -> usize {
        if self.by_class {
            class
        } else {
            0
        }
    }

    pub fn of(d: &Settings) -> Bounds {
        let r = &d.rollout;
        Bounds {
            zone: d.zone,
            tick: d.timer_granularity,
            attempts: d.max_attempts,
            hedging: d.hedging,
            withdraw: d.cancellation,
            retry_after: d.retry_after,
            by_work: d.weight_by_work,
            crossing: d.cross_zone_price > 0.0,
            list_shared: d.shared_discovery,
            ask_within: d.list_polled.then_some(d.max_poll_interval),
            warm_up_share: d.slow_start_share,
            warm_up: d.slow_start_duration,
            fall_for: d.overload_window,
            cold_part: (d.overload_factor * 0.7).clamp(0.1, 3.0),
            probes: d.load_probes,
            warm_keys: d.key_affinity,
            shares: d.tenants.iter().map(|c| c.share).collect(),
            first_cap: r.caps.first().copied().unwrap_or(0.0),
            free: r.exposure_burst,
            by_class: r.cap_per_class,
            guarded: r.guarded_stages,
            one_way: r.sticky_builds,
            votes: r.timed_stages,
            in_place: r.in_place,
            tallied: r.platform_counts,
            jury: r.votes_to_roll_back > 1,
            voice: voice(d.agents, r.votes_to_roll_back),
            one_of: f64::from(d.agents).max(1.0) / f64::from(r.votes_to_roll_back.max(1)),
            vote_life: r.vote_ttl,
            vote_wait: r.vote_timeout,
            vote_share: f64::from(d.agents) / r.votes_per_second.max(0.001),
            flag_worth: 1.0 / r.reported_error_share.clamp(0.1, 1.0),
            agents: f64::from(d.agents).max(1.0),
            looks: Cell::default(),
        }
    }
}

impl Balancer {
    /// Endpoints that all walks over them have had before them so far: a count of work that no
    /// clock blurs.
    pub fn endpoints_scanned(&self) -> u64 {
        self.at.looks.get()
    }

    /// How many requests, endpoints, builds and bound keys are kept.
    pub fn retained_counts(&self) -> [usize; 4] {
        [
            self.commands.len(),
            self.fleet.len(),
            self.builds.len(),
            self.bound.len(),
        ]
    }

    /// What each of so many zones holds now.
    pub fn zone_capacities(&self, now: Duration, zones: usize) -> Vec<ZoneCapacity> {
        let (mut zone_capacities, patience) =
            (vec![ZoneCapacity::default(); zones], self.patience());
        for a in &self.fleet {
            let Some(room) = zone_capacities
                .get_mut(a.zone)
                .filter(|_| a.standing != EndpointState::Gone)
            else {
                continue;
            };
            room.in_flight += a.in_flight;
            if a.standing == EndpointState::Draining {
                room.draining += 1;
                continue;
            }
            room.running += 1;
            if a.aside.is_none() && !a.silent(now, patience) {
                room.responsive += 1;
                room.warm += usize::from(a.warming_since.is_none());
                room.capacity += a.weight * self.at.ramp(now, a);
            }
        }
        zone_capacities
    }

    /// How far an endpoint is from a key, by its mark and kind: all agents find the same one
    /// nearest.
    pub(crate) fn distance(&self, key: u64, a: &Endpoint) -> f64 {
        rendezvous(key, a.mark, self.kinds[a.kind].step)
    }
}

impl Attempt {
    pub fn to(endpoint: usize, a: &Endpoint, sent: Duration) -> Attempt {
        let (build, zone, cell) = (a.build, a.zone, a.cell);
        Attempt {
            endpoint,
            build,
            zone,
            cell,
            sent,
            out: true,
            may_have_run: false,
            failed: false,
            heard: false,
        }
    }

    /// It ended so.
    pub fn end(&mut self, outcome: Outcome) {
        (self.out, self.may_have_run, self.failed) =
            (false, !outcome.never_ran(), outcome == Outcome::Failed);
    }

    /// Whether this is new of it: that it was quick, which is known once it has ended, or that it
    /// is not.
    pub fn hear(&mut self, quick: bool) -> bool {
        let known = self.heard || self.out && quick;
        self.heard |= !known;
        !known
    }
}

impl Open {
    /// Whether its attempt of number `nth` may go to `a` beside all others that may have run:
    /// inside their group, and before it forgets them.
    pub fn within_group(
        &self,
        nth: usize,
        idempotency: Idempotency,
        a: &Endpoint,
        at: Duration,
    ) -> bool {
        let Idempotency::Keyed {
            scope: group,
            window,
        } = idempotency
        else {
            return true;
        };
        let others = self
            .attempts
            .iter()
            .enumerate()
            .filter(|(n, d)| *n != nth && (d.out || d.may_have_run));
        others.map(|(_, d)| d).all(|d| {
            let here = match group {
                DeduplicationScope::All => true,
                DeduplicationScope::Zone => d.zone == a.zone,
                DeduplicationScope::Cell => d.cell == a.cell,
            };
            here && at < d.sent + window
        })
    }

    /// The attempts that are out, with their numbers.
    pub fn out(&self) -> impl Iterator<Item = (usize, &Attempt)> {
        self.attempts.iter().enumerate().filter(|(_, d)| d.out)
    }

    /// Seconds for which its attempts have been out, none of them from before `resumed`.
    pub fn waits(&self, now: Duration, resumed: Duration) -> f64 {
        self.out()
            .map(|(_, d)| now.saturating_sub(d.sent.max(resumed)).as_secs_f64())
            .sum()
    }

    /// Whether repeats of what may have run are not told from it any more: nothing further may go
    /// out, anywhere.
    pub fn forgotten(&self, idempotency: Idempotency, at: Duration) -> bool {
        let Idempotency::Keyed { window, .. } = idempotency else {
            return false;
        };
        self.attempts
            .iter()
            .any(|d| (d.out || d.may_have_run) && at >= d.sent + window)
    }

    /// Whether a retry by the client, which comes until `back`, would be harmless.
    pub fn harmless(&self, idempotency: Idempotency, back: Duration) -> bool {
        let mut ran = self.attempts.iter().filter(|d| d.out || d.may_have_run);
        match idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed {
                scope: group,
                window,
            } => ran.all(|d| group == DeduplicationScope::All && back < d.sent + window),
            Idempotency::NonIdempotent => ran.next().is_none(),
        }
    }

    pub fn new(now: Duration, c: &Request) -> Open {
        let (class, tenant, key) = (c.class, c.tenant, c.key);
        Open {
            class,
            tenant,
            key,
            deadline: now + c.time_left,
            half: now + c.time_left / 2,
            attempts: Vec::new(),
            closed: false,
            choices: None,
            home: None,
            work: c.estimated_work,
        }
    }
}

impl Endpoint {
    pub fn silent(&self, now: Duration, patience: Duration) -> bool {
        self.unheard.is_some_and(|t| now >= t + patience)
    }

    /// Whether it is the same one that ran this build, and warm.
    pub fn warm_of(&self, build: u32) -> bool {
        self.build == build
            && self.standing == EndpointState::Running
            && self.warming_since.is_none()
    }

    /// One more attempt, to this one of number `i`.
    pub fn send(&mut self, i: usize, now: Duration) -> Attempt {
        self.in_flight += 1;
        self.since += 1.0;
        self.unheard.get_or_insert(now);
        self.quota -= 1.0;
        Attempt::to(i, self, now)
    }

    /// From now on it is what the list says. Requests in flight stay; all else is forgotten.
    pub fn start(
        &mut self,
        e: &EndpointEntry,
        classes: usize,
        warming_since: Option<Duration>,
        quota: f64,
    ) {
        *self = Endpoint {
            standing: e.state,
            zone: e.zone,
            cell: e.cell,
            mark: e.identity,
            kind: e.endpoint_type,
            build: e.build,
            started: e.started,
            warming_since,
            quota,
            in_flight: self.in_flight,
            high: 1.0,
            weight: 1.0,
            counts: vec![Count::default(); classes],
            ..Endpoint::default()
        };
    }
}

impl Build {
    pub fn new(classes: usize, slots: usize, free: f64) -> Build {
        let (none, tallied) = (
            vec![Count::default(); classes],
            vec![Tallied::default(); classes],
        );
        Build {
            tokens: vec![free; slots],
            past: none,
            tallied,
            ..Build::default()
        }
    }
}
