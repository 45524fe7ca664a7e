//! Plays an installation of hollow agents: threads with agents of their own, in steps no longer
//! than anything takes to come to them, so that the outcome is the same on any number of threads.

use super::hollow::{Counts, Hollow, Mail, Post, Truth};
use super::meter::{clock_cost, Meter, KINDS, WORKS};
use super::servers::{pass, Discovery, Letter, Platform, Served, WAY};
use super::size::{Size, FORCE_MOST};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tulipwall_discovery::clock::{Clock, START_OFFSET};
use tulipwall_testkit::RolloutStatus;

/// Unix time, in milliseconds, at which simulated time begins.
const START_MS: u64 = 1_790_000_000_000;
/// A change counts as told after so long, whether it came or not.
const TOLD_MOST: Duration = Duration::from_secs(6);

/// What happens to the installation.
#[derive(Clone, Debug)]
pub enum Happens {
    /// SIGHUP to these agents.
    Reload(Vec<usize>),
    Restart(Vec<usize>),
    /// The machines of these endpoints vanish, or are back.
    Down(Vec<usize>, bool),
    /// Discovery lists these so: their state, a new build, a start just now.
    List {
        endpoints: Vec<usize>,
        state: &'static str,
        build: Option<u32>,
        started: bool,
    },
    /// The platform tells of a build at each service.
    RolloutStatus {
        build: u32,
        stage: usize,
        phase: &'static str,
        cap: f64,
    },
    /// The regions lose each other, or have each other again.
    Cut(bool),
}

#[derive(Clone, Debug)]
pub struct Play {
    pub size: Size,
    pub seed: u64,
    pub cores: usize,
    /// Before anything counts.
    pub warm: Duration,
    pub span: Duration,
    /// Counted from the end of the warm-up.
    pub events: Vec<(Duration, Happens)>,
    /// Each agent holds its settings by itself, as a process does.
    pub own: bool,
}

/// What was measured. Bytes and messages are those on the agents' wires, both ways; TCP's own are
/// not counted.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcome {
    pub agents: usize,
    pub seconds: f64,
    /// By kind of work: how often, and nanoseconds of the thread's clock. All agents.
    pub work: BTreeMap<&'static str, super::meter::Sum>,
    /// By kind of message: how many, and bytes. All agents.
    pub traffic: BTreeMap<&'static str, super::meter::Sum>,
    pub commands: u64,
    #[serde(rename = "satisfied")]
    pub succeeded: u64,
    #[serde(rename = "deliveries")]
    pub attempts: u64,
    pub looks: u64,
    pub surveys: u64,
    /// The most that any agent keeps: requests, endpoints, builds, keys, listed.
    pub kept: [usize; 5],
    /// An agent's part of a core, on the mean and in the worst second of any; then without
    /// decisions for requests.
    pub core: f64,
    pub core_worst: f64,
    pub control_core: f64,
    pub control_core_worst: f64,
    /// Bytes a second of an agent, on the mean and in the worst second of any.
    pub bytes: f64,
    pub bytes_worst: f64,
    /// All discoveries together, a second: calls answered, refused, bytes, and in the worst second.
    pub calls: f64,
    pub calls_worst: f64,
    pub refused: u64,
    pub discovery_bytes: f64,
    pub discovery_bytes_worst: f64,
    /// Processor time of the fake for discovery, parts of a core.
    pub discovery_core: f64,
    pub platform_bytes: f64,
    pub platform_calls: f64,
    /// Seconds from a change of the list until an agent knew it: the mean, the longest; how many
    /// agents' changes were told later than counts as told, or never.
    pub heard_mean: f64,
    pub heard_most: f64,
    pub heard_late: u64,
    /// Seconds from a SIGHUP until all was heard anew, the longest; how many took longer than the
    /// letter allows, or were not through at the end.
    pub renewed_most: f64,
    pub renewed_late: u64,
    /// Bytes of memory that the agents took, by the process's resident set; zero where it was not
    /// looked at.
    pub memory: f64,
}

impl Outcome {
    /// Of two plays of the same, which count the same, the lesser times: what else ran on the
    /// machine only adds.
    pub fn least(mut self, other: &Outcome) -> Outcome {
        for (name, sum) in &mut self.work {
            sum.total = other
                .work
                .get(name)
                .map_or(sum.total, |o| o.total.min(sum.total));
        }
        (self.core, self.core_worst) = (
            self.core.min(other.core),
            self.core_worst.min(other.core_worst),
        );
        self.control_core = self.control_core.min(other.control_core);
        self.control_core_worst = self.control_core_worst.min(other.control_core_worst);
        self
    }
}

/// What agents sent in a step: when, which of them, what.
type Posts = Vec<(Duration, usize, Post)>;

enum Order {
    Step(Duration, Arc<Vec<Truth>>, Vec<Letter>),
    Count(Duration),
}

struct Played {
    number: usize,
    meter: Meter,
    counts: Counts,
}

/// One thread's agents, until the orders end.
fn work(
    play: &Play,
    which: Vec<usize>,
    known: &[Arc<Vec<u8>>],
    orders: &Receiver<Order>,
    done: &Sender<Posts>,
) -> Result<Vec<Played>, String> {
    let (clock, cost) = (Rc::new(Clock::starting_at_unix_ms(START_MS)), clock_cost());
    let shared = Rc::new(play.size.site()?);
    let mut agents: BTreeMap<usize, Hollow> = BTreeMap::new();
    for number in which {
        let site = if play.own {
            Rc::new(play.size.site()?)
        } else {
            shared.clone()
        };
        let mut hollow = Hollow::start(
            number,
            play.size,
            site,
            clock.clone(),
            play.seed,
            START_OFFSET,
        );
        hollow.meter.clock = cost;
        hollow.restart(START_OFFSET, &known[play.size.service_of(number)]);
        agents.insert(number, hollow);
    }
    let mut first: Vec<_> = agents
        .values_mut()
        .flat_map(|a| std::mem::take(&mut a.posts))
        .collect();
    while let Ok(order) = orders.recv() {
        match order {
            Order::Count(now) => agents.values_mut().for_each(|a| a.count_from(now)),
            Order::Step(until, truth, mail) => {
                let mut by: BTreeMap<usize, Vec<(Duration, Mail)>> = BTreeMap::new();
                mail.into_iter()
                    .for_each(|(at, agent, mail)| by.entry(agent).or_default().push((at, mail)));
                let mut posts = std::mem::take(&mut first);
                for (number, agent) in &mut agents {
                    let mail = by.remove(number).unwrap_or_default();
                    agent.step(until, &truth[play.size.service_of(*number)], mail);
                    posts.append(&mut agent.posts);
                }
                if done.send(posts).is_err() {
                    break;
                }
            }
        }
    }
    Ok(agents
        .into_values()
        .map(|mut a| {
            a.finish();
            Played {
                number: a.number,
                meter: a.meter,
                counts: a.counts,
            }
        })
        .collect())
}

impl Play {
    /// Plays it.
    ///
    /// # Errors
    /// The settings cannot be read, or a thread ended early.
    pub fn run(&self) -> Result<Outcome, String> {
        let size = self.size;
        let zero = Instant::now();
        let mut discoveries: Vec<Discovery> = (0..size.services)
            .map(|_| Discovery::new(size.budget(), size.every_call))
            .collect();
        let rollout_status = RolloutStatus::now(41, 0, "released", 1.0);
        let mut platforms: Vec<Platform> = (0..size.services)
            .map(|_| Platform::new(zero, rollout_status.clone()))
            .collect();
        for (s, d) in discoveries.iter_mut().enumerate() {
            d.registry.update(size.of_service(s).map(|a| size.entry(a)));
        }
        let known: Vec<Arc<Vec<u8>>> = discoveries.iter().map(Discovery::known).collect();
        let before = resident();
        let cores = self.cores.clamp(1, size.agents.max(1));
        std::thread::scope(|scope| {
            let (mut orders, mut replies, mut threads) = (Vec::new(), Vec::new(), Vec::new());
            for core in 0..cores {
                let which: Vec<usize> = (0..size.agents).filter(|a| a % cores == core).collect();
                let ((order, obey), (done, reply), known) = (channel(), channel(), &known);
                threads.push(scope.spawn(move || work(self, which, known, &obey, &done)));
                orders.push(order);
                replies.push(reply);
            }
            let led = self.lead(&mut discoveries, &mut platforms, &orders, &replies);
            let memory = resident() - before;
            drop(orders);
            let mut played = Vec::new();
            for thread in threads {
                played.extend(thread.join().map_err(|_| "a thread of agents failed")??);
            }
            led?;
            Ok(self.sum(&played, &discoveries, &platforms, memory))
        })
    }

    /// The servers' side and the time: all but the agents.
    fn lead(
        &self,
        ds: &mut [Discovery],
        ps: &mut [Platform],
        orders: &[Sender<Order>],
        replies: &[Receiver<Posts>],
    ) -> Result<(), String> {
        let (size, from) = (self.size, START_OFFSET + self.warm);
        let mut truth = Arc::new(vec![
            Truth {
                down: vec![false; size.endpoints],
                cut: false
            };
            size.services
        ]);
        let mut events: Vec<_> = self.events.iter().map(|(at, e)| (from + *at, e)).collect();
        events.sort_by_key(|e| e.0);
        let mut events = events.into_iter().peekable();
        let (mut now, end, mut pinged, mut counts) =
            (START_OFFSET, from + self.span, START_OFFSET, false);
        let mut letters: Vec<Letter> = Vec::new();
        while now < end {
            let until = now + WAY;
            if !counts && now >= from {
                counts = true;
                orders.iter().for_each(|o| drop(o.send(Order::Count(from))));
                ds.iter_mut()
                    .for_each(|d| (d.from, d.served) = (from, Served::default()));
                ps.iter_mut()
                    .for_each(|p| (p.from, p.served) = (from, Served::default()));
            }
            letters.sort_by_key(|l| (l.0, l.1));
            let mut mail: Vec<Vec<Letter>> = orders.iter().map(|_| Vec::new()).collect();
            let later = letters.partition_point(|l| l.0 < until);
            letters
                .drain(..later)
                .for_each(|l| mail[l.1 % orders.len()].push(l));
            for (order, mail) in orders.iter().zip(mail) {
                order
                    .send(Order::Step(until, truth.clone(), mail))
                    .map_err(|_| "a thread of agents ended early")?;
            }
            let mut posts = Vec::new();
            for reply in replies {
                posts.extend(reply.recv().map_err(|_| "a thread of agents ended early")?);
            }
            posts.sort_by_key(|p| (p.0, p.1));
            let away = |agent: usize| truth[0].cut && size.region(size.zone(agent)) == 1;
            for (at, agent, post) in posts {
                let s = size.service_of(agent);
                if !away(agent) {
                    pass(at, agent, post, &mut ds[s], &mut ps[s], &mut letters);
                }
            }
            for d in ds.iter_mut() {
                d.expire(until, &mut letters);
            }
            now = until;
            if now >= pinged + Duration::from_secs(1) {
                pinged = now;
                ps.iter_mut().for_each(|p| p.ping(now, &mut letters));
            }
            while let Some((_, event)) = events.next_if(|e| e.0 <= now) {
                self.happens(now, event, &mut truth, ds, ps, &mut letters);
            }
        }
        Ok(())
    }

    fn happens(
        &self,
        now: Duration,
        event: &Happens,
        truth: &mut Arc<Vec<Truth>>,
        ds: &mut [Discovery],
        ps: &mut [Platform],
        letters: &mut Vec<Letter>,
    ) {
        let size = self.size;
        let agents = |out: &mut Vec<Letter>, which: &[usize], mail: &dyn Fn(usize) -> Mail| {
            out.extend(which.iter().map(|a| (now, *a, mail(size.service_of(*a)))));
        };
        match event {
            Happens::Reload(which) => agents(letters, which, &|_| Mail::Reload),
            Happens::Restart(which) => {
                let all: BTreeSet<usize> = which.iter().map(|a| size.service_of(*a)).collect();
                let known: BTreeMap<usize, _> =
                    all.into_iter().map(|s| (s, ds[s].known())).collect();
                agents(letters, which, &|s| Mail::Restart {
                    known: known[&s].clone(),
                });
            }
            Happens::Down(which, down) => {
                for t in Arc::make_mut(truth) {
                    which.iter().for_each(|a| t.down[*a] = *down);
                }
            }
            Happens::List {
                endpoints,
                state,
                build,
                started,
            } => {
                let mut by: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
                let service =
                    |a: usize| (0..size.services).find(|s| size.of_service(*s).contains(&a));
                for a in endpoints {
                    by.entry(service(*a).unwrap_or_default())
                        .or_default()
                        .push(*a);
                }
                for (s, which) in by {
                    let entry = |a: usize| {
                        let mut e = size.entry(a);
                        e = ds[s].registry.get(&e.id).cloned().unwrap_or(e);
                        e.state = (*state).to_owned();
                        e.build = build.unwrap_or(e.build);
                        let begun = START_MS + (now - START_OFFSET).as_millis() as u64;
                        e.started_ms = if *started { begun } else { e.started_ms };
                        e
                    };
                    let entries = which.into_iter().map(entry).collect();
                    ds[s].change(now, entries, letters);
                }
            }
            Happens::RolloutStatus {
                build,
                stage,
                phase,
                cap,
            } => {
                let rollout_status = RolloutStatus::now(*build, *stage, phase, *cap);
                ps.iter_mut()
                    .for_each(|p| p.rollout_status(now, rollout_status.clone(), letters));
            }
            Happens::Cut(cut) => {
                Arc::make_mut(truth).iter_mut().for_each(|t| t.cut = *cut);
                let away: BTreeSet<usize> = (0..size.agents)
                    .filter(|a| size.region(size.zone(*a)) == 1)
                    .collect();
                ds.iter_mut().for_each(|d| d.lost(&away));
                ps.iter_mut().for_each(|p| p.lost(&away));
                letters.retain(|l| !away.contains(&l.1));
            }
        }
    }

    fn sum(&self, played: &[Played], ds: &[Discovery], ps: &[Platform], memory: f64) -> Outcome {
        let (agents, seconds) = (played.len() as f64, self.span.as_secs_f64());
        let mut o = Outcome {
            agents: played.len(),
            seconds,
            memory,
            ..Outcome::default()
        };
        let whole = self.span.as_secs() as usize; // a part of a second is no second
        let (mut ns, mut control, mut lags) = (0, 0, Vec::new());
        for p in played {
            for ((_, name), sum) in WORKS.iter().zip(&p.meter.work) {
                add(o.work.entry(name).or_default(), sum);
            }
            for ((_, name), sum) in KINDS.iter().zip(&p.meter.traffic) {
                add(o.traffic.entry(name).or_default(), sum);
            }
            let c = &p.counts;
            (o.commands, o.succeeded) = (o.commands + c.commands, o.succeeded + c.succeeded);
            (o.attempts, o.looks, o.surveys) = (
                o.attempts + c.attempts,
                o.looks + c.looks,
                o.surveys + c.surveys,
            );
            o.kept
                .iter_mut()
                .zip(c.kept)
                .for_each(|(most, n)| *most = n.max(*most));
            for s in p.meter.seconds.iter().take(whole) {
                (ns, control) = (ns + s.ns, control + s.control_ns);
                o.core_worst = o.core_worst.max(s.ns as f64 / 1e9);
                o.control_core_worst = o.control_core_worst.max(s.control_ns as f64 / 1e9);
                o.bytes_worst = o.bytes_worst.max(s.bytes as f64);
            }
            lags.extend(self.heard(p, &ds[self.size.service_of(p.number)]));
            let renewed = c.renewed.iter().map(Duration::as_secs_f64);
            o.renewed_most = renewed.clone().fold(o.renewed_most, f64::max);
            o.renewed_late += renewed.filter(|s| *s > FORCE_MOST.as_secs_f64()).count() as u64;
        }
        let reloads = self.events.iter().map(|e| {
            if let Happens::Reload(who) = &e.1 {
                who.len()
            } else {
                0
            }
        });
        let through = played.iter().map(|p| p.counts.renewed.len()).sum::<usize>();
        o.renewed_late += reloads.sum::<usize>().saturating_sub(through) as u64;
        (o.core, o.control_core) = (
            ns as f64 / 1e9 / seconds / agents,
            control as f64 / 1e9 / seconds / agents,
        );
        o.bytes = o.traffic.values().map(|s| s.total as f64).sum::<f64>() / seconds / agents;
        o.heard_mean = lags.iter().flatten().sum::<f64>() / lags.len().max(1) as f64;
        o.heard_most = lags.iter().flatten().copied().fold(0.0, f64::max);
        o.heard_late = lags
            .iter()
            .filter(|l| l.is_none_or(|l| l > TOLD_MOST.as_secs_f64()))
            .count() as u64;
        let worst = |of: &dyn Fn(usize) -> u64| (0..whole).map(of).max().unwrap_or_default() as f64;
        let at = |series: &[u64], second: usize| series.get(second).copied().unwrap_or_default();
        let d = |of: &dyn Fn(&Served) -> f64| ds.iter().map(|d| of(&d.served)).sum::<f64>();
        o.calls = d(&|s| s.calls.iter().sum::<u64>() as f64) / seconds;
        o.calls_worst = worst(&|n| ds.iter().map(|d| at(&d.served.calls, n)).sum());
        o.refused = ds.iter().map(|d| d.served.refused).sum();
        o.discovery_bytes = d(&|s| s.bytes.iter().sum::<u64>() as f64) / seconds;
        o.discovery_bytes_worst = worst(&|n| ds.iter().map(|d| at(&d.served.bytes, n)).sum());
        o.discovery_core = d(&|s| s.ns as f64) / 1e9 / seconds;
        o.platform_bytes = ps.iter().flat_map(|p| &p.served.bytes).sum::<u64>() as f64 / seconds;
        o.platform_calls = ps.iter().flat_map(|p| &p.served.calls).sum::<u64>() as f64 / seconds;
        o
    }

    /// Seconds until this agent knew each change of its list, from its return where it was out of
    /// reach; nothing where it never did. What came in the last moments had no time to come, and
    /// says nothing.
    fn heard(&self, p: &Played, d: &Discovery) -> Vec<Option<f64>> {
        let (from, end) = (
            START_OFFSET + self.warm,
            START_OFFSET + self.warm + self.span,
        );
        let away = self.size.region(self.size.zone(p.number)) == 1;
        let back = self
            .events
            .iter()
            .find(|e| away && matches!(e.1, Happens::Cut(false)))
            .map(|e| from + e.0);
        let told = d
            .changed
            .iter()
            .filter(|c| c.0 >= from && c.0.max(back.unwrap_or_default()) + TOLD_MOST <= end);
        told.map(|(at, version)| {
            let learnt = p
                .counts
                .learnt
                .iter()
                .find(|l| l.1 >= *version && l.0 >= *at);
            learnt.map(|l| {
                l.0.saturating_sub(back.map_or(*at, |back| back.max(*at)))
                    .as_secs_f64()
            })
        })
        .collect()
    }
}

fn add(to: &mut super::meter::Sum, sum: &super::meter::Sum) {
    (to.count, to.total) = (to.count + sum.count, to.total + sum.total);
}

/// Bytes of this process in memory.
pub fn resident() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text
        .lines()
        .find(|l| l.starts_with("VmRSS:"))
        .unwrap_or_default();
    line.split_whitespace()
        .nth(1)
        .and_then(|n| n.parse::<f64>().ok())
        .map_or(0.0, |kb| kb * 1024.0)
}
