//! A day in simulated time: agents with the real decisions and the real zones against modelled
//! endpoints. It is played from a seed and a script, takes no real time to speak of, and checks the
//! five rules from outside: by what was taken, sent, run and answered, not by what an agent says.

use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;
use tulipwall::*;
use tulipwall_client_policy::{
    AttemptHistory, AttemptOutcome, RetryController, RetryDecision, RetryPolicy,
};
use tulipwall_zones::{
    AttemptStart, Budget, ClassProfile, CompletedAttempt, ConnectionTraffic, Link, Reservation,
    ResponseFault, RoutingPolicy, ZoneConfig, Zones,
};

/// Time at which a day begins, so that what began before has a time, too.
pub const ZERO: Duration = Duration::from_secs(3600);
/// How late a final answer may be, and how soon a drain must be heeded.
const SLACK: Duration = Duration::from_millis(50);
const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// A cold endpoint falls over when it gets so many times what it can do.
const FALL_MULTIPLE: f64 = 4.0;
/// What an attempt carries each way, in bytes.
pub const BYTES: (u64, u64) = (180, 420);

/// A modelled endpoint.
#[derive(Clone, Debug)]
pub struct Node {
    pub zone: usize,
    pub build: u32,
    pub cores: usize,
    /// What it takes of the usual work: 2.0 is half as quick.
    pub slowness: f64,
    /// Requests that may wait; what comes beyond is turned away.
    pub queue: usize,
    /// Answers that fail, 0 to 1.
    pub fails: f64,
    pub standing: EndpointState,
    pub started: Option<Duration>,
    /// Neither answers nor refuses.
    pub mute: bool,
}

impl Node {
    pub fn new(zone: usize, build: u32, cores: usize) -> Node {
        Node {
            zone,
            build,
            cores,
            slowness: 1.0,
            queue: 200,
            fails: 0.0,
            standing: EndpointState::Running,
            started: None,
            mute: false,
        }
    }
}

/// One agent: its zone, its part of the load, and what it is told of zones.
#[derive(Clone, Debug)]
pub struct Caller {
    pub zone: usize,
    pub part: f64,
    pub zoning: Option<ZoneConfig>,
}

/// What clients do with a request that was rejected or failed.
#[derive(Clone, Debug, PartialEq)]
pub enum Clients {
    /// Nothing: each request is asked for once.
    Open,
    /// Ask again after a fixed pause, so many times in all, whatever happened and whatever it
    /// costs.
    Naive { pause: Duration, tries: u32 },
    /// As the client library does, one client to each agent.
    Careful(RetryPolicy),
}

/// A build that the platform takes through its stages by the clock, which stands still while a hold
/// lasts.
#[derive(Clone, Debug)]
pub struct Offering {
    pub build: u32,
    pub at: Duration,
    pub caps: Vec<f64>,
    pub step: Duration,
    /// Its endpoints, which start in equal parts with the stages. Until then they must be listed as
    /// gone.
    pub nodes: Vec<usize>,
    /// Agents that must vote to send back.
    pub back_votes: usize,
}

/// What the agents are told wrongly, so that they break a rule and the checkers must see it.
/// Nothing by default.
#[derive(Clone, Debug, Default)]
pub struct Lies {
    /// How classes repeat, as the decisions think.
    pub idempotency: BTreeMap<usize, Idempotency>,
    /// Nothing that drains or goes is told.
    pub deaf: bool,
    /// Cold endpoints are told as warm.
    pub warm: bool,
    /// The cap that is told in the place of the one that holds.
    pub cap: Option<f64>,
}

/// The classes of a small service: idempotent views, messages deduplicated among all, payments that
/// never repeat.
pub fn classes() -> Vec<RequestClass> {
    let class = |latency_objective, priority_weight, idempotency| RequestClass {
        latency_objective: Duration::from_millis(latency_objective),
        priority_weight,
        idempotency,
    };
    let keyed = Idempotency::Keyed {
        scope: DeduplicationScope::All,
        window: Duration::from_secs(3),
    };
    vec![
        class(400, 3.0, Idempotency::Idempotent),
        class(400, 3.5, keyed),
        class(750, 9.0, Idempotency::NonIdempotent),
    ]
}

/// A deployment for days: crossing is priced, builds stand beside each other and pass by the clock,
/// hedged requests and withdrawals are allowed, a time to come back may be named.
pub fn deployment(classes: Vec<RequestClass>) -> Settings {
    let secs = Duration::from_secs;
    Settings {
        seed: 0,
        agents: 1,
        zone: 0,
        classes,
        tenants: Vec::new(),
        weight_by_work: false,
        list_polled: false,
        shared_discovery: false,
        max_poll_interval: secs(10),
        hedging: true,
        cancellation: true,
        retry_after: Some(secs(2)),
        max_attempts: 5,
        cross_zone_price: 0.04,
        slow_start_share: 0.3,
        slow_start_duration: secs(4),
        overload_window: secs(2),
        overload_factor: 3.0,
        load_probes: false,
        key_affinity: false,
        timer_granularity: Duration::from_millis(1),
        rollout: RolloutPolicy {
            caps: vec![0.08, 0.25, 0.6, 1.0],
            exposure_burst: 2.0,
            cap_per_class: false,
            guarded_stages: 0,
            sticky_builds: false,
            timed_stages: true,
            in_place: false,
            votes_to_roll_back: 1,
            votes_to_hold: 1,
            platform_counts: false,
            vote_ttl: secs(10),
            vote_timeout: Duration::from_millis(800),
            votes_per_second: 120.0,
            reported_error_share: 0.3,
        },
    }
}

/// Zones for an agent in `own` of so many, routed near first, without prices.
pub fn zoning(
    classes: &[RequestClass],
    own: usize,
    zones: usize,
    budgets: Vec<Budget>,
) -> ZoneConfig {
    ZoneConfig {
        local_zone: own,
        zone_count: zones,
        classes: classes
            .iter()
            .map(|l| ClassProfile {
                priority_weight: l.priority_weight,
                latency_objective: l.latency_objective,
            })
            .collect(),
        links: vec![Link::default(); zones + 1],
        budgets,
        routing: RoutingPolicy::LocalFirst,
    }
}

impl Day {
    /// A day without a script on [`classes`], build 41 released: ways of 2 ms between zones and of
    /// 0.15 ms within, work of 20 ms (payments 30), open clients.
    pub fn small(
        agents: Vec<Caller>,
        nodes: Vec<Node>,
        rate: f64,
        span: Duration,
        seed: u64,
    ) -> Day {
        let ms = Duration::from_millis;
        let zones = nodes
            .iter()
            .map(|n| n.zone)
            .chain(agents.iter().map(|a| a.zone))
            .max()
            .unwrap_or(0)
            + 2;
        let way = |from, to| {
            if from == to {
                Duration::from_micros(150)
            } else {
                ms(2)
            }
        };
        Day {
            deployment: deployment(classes()),
            agents,
            nodes,
            ways: (0..zones)
                .map(|from| (0..zones).map(|to| way(from, to)).collect())
                .collect(),
            work: vec![ms(20), ms(20), ms(30)],
            steady: 0.4,
            loss: 0.0,
            told_late: Duration::ZERO,
            classes: vec![(0.45, ms(1500)), (0.45, ms(1500)), (0.1, ms(2000))],
            rate,
            clients: Clients::Open,
            offering: None,
            lies: Lies::default(),
            watch: None,
            span,
            rollout_status: Some(RolloutStatus {
                build: 41,
                stage: 0,
                phase: RolloutPhase::Released,
                cap: 1.0,
                since: Duration::ZERO,
            }),
            script: Vec::new(),
            seed,
        }
    }
}

/// What became of an offered build.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Offered {
    /// When the first hold came, from the day's beginning, and in which stage.
    pub held: Option<(Duration, usize)>,
    pub back: Option<Duration>,
    pub released: Option<Duration>,
    /// How long holds stopped the clock.
    pub stood: Duration,
}

/// Something that happens.
#[derive(Clone, Debug)]
pub enum Change {
    /// What the list says of an endpoint from now on; a start now makes it cold.
    Lists(usize, EndpointState),
    Starts(usize),
    Moves(usize, usize),
    Slows(usize, f64),
    Fails(usize, f64),
    Mutes(usize, bool),
    RolloutStatus(RolloutStatus),
    /// Requests a second, over all agents.
    Rate(f64),
    Stalls(usize, Duration),
    Zoning(usize, ZoneConfig),
    /// One direction of the way between two zones.
    Link(usize, usize, Duration),
}

#[derive(Clone, Debug)]
pub struct Day {
    pub deployment: Settings,
    pub agents: Vec<Caller>,
    pub nodes: Vec<Node>,
    /// Delay from zone to zone, one way.
    pub ways: Vec<Vec<Duration>>,
    /// Mean work of each class.
    pub work: Vec<Duration>,
    /// The part of it that is always the same; the rest is exponential. 0 gives the queues of the
    /// textbook.
    pub steady: f64,
    /// What part of attempts, and of their answers, a way between two zones loses.
    pub loss: f64,
    /// How much later agents are told of lists and news.
    pub told_late: Duration,
    /// Weights of classes, and how long a request of each may take.
    pub classes: Vec<(f64, Duration)>,
    pub rate: f64,
    pub clients: Clients,
    pub offering: Option<Offering>,
    pub lies: Lies,
    /// A request of an agent whose life is written down: agent and number.
    pub watch: Option<(usize, u64)>,
    pub span: Duration,
    pub rollout_status: Option<RolloutStatus>,
    /// When, counted from the day's beginning, in any order.
    pub script: Vec<(Duration, Change)>,
    pub seed: u64,
}

/// What one agent did in one second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Second {
    pub taken: u64,
    /// Requests that came for the first time, and those of them satisfied within their latency
    /// objective.
    pub asked: u64,
    pub good: u64,
    pub near: u64,
    pub far: u64,
}

/// What came of a day.
#[derive(Debug)]
pub struct Played {
    pub taken: u64,
    pub succeeded: u64,
    /// Within their latency objective.
    pub in_time: u64,
    pub rejected: u64,
    pub scrapped: u64,
    pub never: u64,
    /// Microseconds to satisfied answers, also of single seconds.
    pub times: Histogram<u64>,
    pub second_times: Vec<Histogram<u64>>,
    pub seconds: Vec<Vec<Second>>, // by agent
    /// Crossings by agent and second: when, class, whether it was over a budget.
    pub crossings: Vec<Vec<(Duration, usize, Option<tulipwall_zones::OverBudgetReason>)>>,
    /// Broken rules.
    pub broken: Vec<String>,
    pub votes: Vec<(Duration, Vote)>,
    pub offered: Offered,
    /// The life of the request that was watched.
    pub life: Vec<String>,
    /// Events that were played.
    pub events: u64,
    /// Sends by endpoint.
    pub sends: Vec<u64>,
    /// The agents' zones at the end.
    pub zones: Vec<Option<Zones>>,
    /// All answers of the decisions, folded into one number: equal days give equal ones.
    pub digest: u64,
}

impl Played {
    /// Of all attempts, what crossed.
    pub fn crossed(&self) -> f64 {
        let sum =
            |of: fn(&Second) -> u64| self.seconds.iter().flatten().map(of).sum::<u64>() as f64;
        sum(|s| s.far) / (sum(|s| s.far) + sum(|s| s.near)).max(1.0)
    }

    /// The same between two times of the day.
    pub fn crossed_between(&self, from: u64, to: u64) -> f64 {
        let part = || {
            self.seconds
                .iter()
                .flat_map(|a| &a[from as usize..(to as usize).min(a.len())])
        };
        let (near, far) = (
            part().map(|s| s.near).sum::<u64>(),
            part().map(|s| s.far).sum::<u64>(),
        );
        far as f64 / (near + far).max(1) as f64
    }

    /// How often an agent changed sides in a minute: seconds with most across after seconds with
    /// hardly any, and back.
    pub fn turns_per_minute(&self) -> f64 {
        let (mut turns, mut minutes) = (0, 0.0);
        for agent in &self.seconds {
            let mut over = false;
            for s in agent.iter().filter(|s| s.near + s.far > 0) {
                let part = s.far as f64 / (s.near + s.far) as f64;
                if (over && part < 0.25) || (!over && part > 0.5) {
                    (over, turns) = (!over, turns + 1);
                }
            }
            minutes += agent.len() as f64 / 60.0;
        }
        f64::from(turns) / minutes.max(1e-9)
    }

    pub fn quantile_ms(&self, part: f64) -> f64 {
        self.times.value_at_quantile(part) as f64 / 1000.0
    }

    /// The same of requests answered between two seconds of the day.
    pub fn quantile_between(&self, part: f64, from: usize, to: usize) -> f64 {
        let mut all = histogram();
        self.second_times[from..to.min(self.second_times.len())]
            .iter()
            .for_each(|h| all.add(h).unwrap_or(()));
        all.value_at_quantile(part) as f64 / 1000.0
    }

    pub fn over(&self) -> usize {
        self.crossings
            .iter()
            .flatten()
            .filter(|c| c.2.is_some())
            .count()
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3)
        .unwrap_or_else(|_| unreachable!("bounds that are taken"))
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Script(usize),
    Arrive(usize),
    /// A client asks once more: agent, and the place of what it asks for.
    Again(usize, usize),
    Stage,
    Tell(usize),
    Tick(usize),
    Reach {
        agent: usize,
        id: u64,
        nth: usize,
        node: usize,
        life: u64,
    },
    Done {
        node: usize,
        life: u64,
        slot: u64,
    },
    Back {
        agent: usize,
        id: u64,
        nth: usize,
        how: How,
    },
    Look {
        agent: usize,
        id: u64,
        at: Duration,
    },
    TimeOut {
        agent: usize,
        id: u64,
        nth: usize,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum How {
    Succeeded,
    Failed,
    TurnedAway,
    Refused,
}

struct Out {
    node: usize,
    zone: usize,
    sent: Duration,
    ended: bool,
    ticket: Option<Reservation>,
    connected: bool,
}

struct Held {
    class: usize,
    taken: Duration,
    deadline: Duration,
    out: Vec<Out>,
    answered: bool,
    look: Option<Duration>,
    asking: Asking,
}

/// What agents are told, some time after it came to be.
#[derive(Clone, Debug)]
enum Tell {
    List(usize, EndpointEntry),
    RolloutStatus(RolloutStatus),
}

/// What a client wants, over all its tries.
#[derive(Clone, Debug)]
struct Asking {
    class: usize,
    first: Duration,
    key: Option<u64>,
    tries: AttemptHistory,
}

struct Runner {
    retries: RetryController,
    zone: usize,
    choice: Balancer,
    zones: Option<Zones>,
    held: BTreeMap<u64, Held>,
    next: u64,
    stalled: Duration,
    warm: Vec<bool>,                 // endpoints to which a connection is open
    told: BTreeMap<usize, Duration>, // when it heard that an endpoint drains or is gone
    exposed: f64, // the most attempts less cap times requests in any window that ends now
    cap: f64,
    exposing: bool,
}

struct Job {
    agent: usize,
    id: u64,
    nth: usize,
}

#[derive(Default)]
struct Running {
    life: u64,
    busy: BTreeMap<u64, Job>,
    waits: VecDeque<Job>,
    slots: u64,
    work: VecDeque<(Duration, f64)>, // what came to it while cold, in core-seconds
}

struct Stage {
    day: Day,
    now: Duration,
    rng: Pcg64Mcg,
    queue: BinaryHeap<std::cmp::Reverse<(Duration, u64, What)>>,
    order: u64,
    agents: Vec<Runner>,
    running: Vec<Running>,
    ran: BTreeMap<(usize, u64), Vec<(usize, Duration)>>, // node and when, of what may not simply repeat
    again: Vec<Asking>,
    free: Vec<usize>,                 // places in `again`
    stage: Option<(usize, Duration)>, // the one that is on, and how long it has run
    holds: Vec<Option<Duration>>,     // by agent: when its vote to hold lapses
    backs: Vec<bool>,
    /// What the platform says, and what agents were told of it.
    rollout_status: Option<RolloutStatus>,
    told: Option<RolloutStatus>,
    tells: Vec<Tell>,
    played: Played,
}

impl Day {
    /// Plays it.
    pub fn play(self) -> Played {
        let mut stage = Stage::new(self);
        stage.run();
        stage.played
    }
}

impl Stage {
    fn new(day: Day) -> Stage {
        let seconds = day.span.as_secs() as usize + 1;
        let mut agents = Vec::new();
        for (n, a) in day.agents.iter().enumerate() {
            let seed = day.seed.wrapping_mul(1_000_003).wrapping_add(n as u64);
            let agents_all = day.agents.len() as u32;
            let mut d = Settings {
                seed,
                zone: a.zone,
                agents: agents_all,
                ..day.deployment.clone()
            };
            day.lies
                .idempotency
                .iter()
                .for_each(|(class, idempotency)| d.classes[*class].idempotency = *idempotency);
            let mut choice = Balancer::new(ZERO, d);
            let entries: Vec<EndpointEntry> = (0..day.nodes.len())
                .map(|i| listed(&day.nodes, i))
                .collect();
            choice.update_endpoints(ZERO, &entries, true);
            if let Some(rollout_status) = &day.rollout_status {
                choice.update_rollout(rollout_status.clone());
            }
            let retrying = match &day.clients {
                Clients::Careful(by) => by.clone(),
                _ => RetryPolicy::default(),
            };
            agents.push(Runner {
                retries: RetryController::new(retrying, 1, seed),
                zone: a.zone,
                choice,
                zones: a.zoning.clone().map(|z| Zones::new(ZERO, z)),
                held: BTreeMap::new(),
                next: 0,
                stalled: ZERO,
                warm: vec![false; day.nodes.len()],
                told: BTreeMap::new(),
                exposed: 0.0,
                cap: 0.0,
                exposing: false,
            });
        }
        let played = Played {
            taken: 0,
            succeeded: 0,
            in_time: 0,
            rejected: 0,
            scrapped: 0,
            never: 0,
            times: histogram(),
            second_times: (0..seconds).map(|_| histogram()).collect(),
            seconds: vec![vec![Second::default(); seconds]; agents.len()],
            crossings: vec![Vec::new(); agents.len()],
            broken: Vec::new(),
            votes: Vec::new(),
            offered: Offered::default(),
            life: Vec::new(),
            events: 0,
            sends: vec![0; day.nodes.len()],
            zones: Vec::new(),
            digest: 0xcbf2_9ce4_8422_2325,
        };
        Stage {
            now: ZERO,
            rng: Pcg64Mcg::seed_from_u64(day.seed),
            queue: BinaryHeap::new(),
            order: 0,
            running: day.nodes.iter().map(|_| Running::default()).collect(),
            holds: vec![None; agents.len()],
            backs: vec![false; agents.len()],
            agents,
            ran: BTreeMap::new(),
            again: Vec::new(),
            free: Vec::new(),
            stage: None,
            rollout_status: day.rollout_status.clone(),
            told: day.rollout_status.clone(),
            tells: Vec::new(),
            played,
            day,
        }
    }

    fn at(&mut self, when: Duration, what: What) {
        self.order += 1;
        self.queue
            .push(std::cmp::Reverse((when.max(self.now), self.order, what)));
    }

    fn chance(&mut self) -> f64 {
        self.rng.gen_range(0.0..1.0)
    }

    fn run(&mut self) {
        for n in 0..self.day.script.len() {
            self.at(ZERO + self.day.script[n].0, What::Script(n));
        }
        self.caps();
        if let Some(at) = self.day.offering.as_ref().map(|o| o.at) {
            self.at(ZERO + at, What::Stage);
        }
        for agent in 0..self.agents.len() {
            self.at(
                ZERO + Duration::from_micros(137 * agent as u64),
                What::Tick(agent),
            );
            self.next_arrival(agent);
        }
        // Some seconds more, so that what was taken is answered.
        let end = ZERO + self.day.span + Duration::from_secs(5);
        while let Some(std::cmp::Reverse((when, _, what))) = self.queue.pop() {
            if when > end {
                break;
            }
            self.now = when;
            self.played.events += 1;
            let agent = match what {
                What::Arrive(a) | What::Again(a, _) | What::Tick(a) => Some(a),
                What::Back { agent, .. }
                | What::Look { agent, .. }
                | What::TimeOut { agent, .. } => Some(agent),
                _ => None,
            };
            // An agent that stands still finds all of it once it goes on, in its order.
            if let Some(until) = agent
                .map(|a| self.agents[a].stalled)
                .filter(|t| *t > self.now)
            {
                self.at(until, what);
                continue;
            }
            self.step(what);
        }
        for a in &mut self.agents {
            for (id, h) in a.held.iter().filter(|(_, h)| !h.answered) {
                self.played.never += 1;
                self.played.broken.push(format!(
                    "rule 1: command {id} of lane {} has no answer",
                    h.class
                ));
            }
            self.played.zones.push(a.zones.take());
        }
    }

    fn step(&mut self, what: What) {
        match what {
            What::Script(n) => {
                let change = self.day.script[n].1.clone();
                self.change(change);
            }
            What::Arrive(agent) => {
                self.arrive(agent);
                self.next_arrival(agent);
            }
            What::Again(agent, place) => {
                let asking = self.again[place].clone();
                self.free.push(place);
                self.take(agent, asking);
            }
            What::Stage => self.stage(),
            What::Tell(n) => self.told(n),
            What::Tick(agent) => {
                let (now, a) = (self.now, &mut self.agents[agent]);
                let due = a.choice.poll(now);
                if let Some(vote) = due.vote {
                    a.choice.on_vote_reply(now, VoteReply::Counted);
                    self.vote(agent, vote);
                }
                let a = &mut self.agents[agent];
                if let Some(z) = &mut a.zones {
                    let zone_capacities = a
                        .choice
                        .zone_capacities(now, z.config().zone_count_with_unnamed());
                    z.tick(now, &zone_capacities);
                    if let Some(told) = z.cross_zone_policy() {
                        a.choice.set_cross_zone_policy(told);
                    }
                }
                self.at(
                    due.next_poll.max(now + Duration::from_millis(1)),
                    What::Tick(agent),
                );
            }
            What::Reach {
                agent,
                id,
                nth,
                node,
                life,
            } => self.reach(agent, id, nth, node, life),
            What::Done { node, life, slot } => self.done(node, life, slot),
            What::Back {
                agent,
                id,
                nth,
                how,
            } => self.back(agent, id, nth, how),
            What::Look { agent, id, at } => {
                let due = self.agents[agent]
                    .held
                    .get(&id)
                    .is_some_and(|h| !h.answered && h.look == Some(at));
                if due {
                    let answer = self.agents[agent].choice.route(self.now, id);
                    self.obey(agent, id, answer);
                }
            }
            What::TimeOut { agent, id, nth } => {
                let out = |h: &Held| h.out.get(nth).is_some_and(|o| !o.ended);
                if self.agents[agent].held.get(&id).is_some_and(out) {
                    self.end(agent, id, nth, Outcome::TimedOut);
                }
            }
        }
    }

    fn next_arrival(&mut self, agent: usize) {
        let parts: f64 = self.day.agents.iter().map(|a| a.part).sum();
        let rate = self.day.rate * self.day.agents[agent].part / parts.max(1e-9);
        let gap = -(1.0 - self.chance()).ln() / rate.max(1e-6);
        let when = self.now + Duration::from_secs_f64(gap.min(1e6));
        if when < ZERO + self.day.span {
            self.at(when, What::Arrive(agent));
        }
    }

    fn second(&mut self, agent: usize) -> &mut Second {
        let second = (self.now - ZERO).as_secs() as usize;
        let seconds = &mut self.played.seconds[agent];
        let last = seconds.len() - 1;
        &mut seconds[second.min(last)]
    }

    fn arrive(&mut self, agent: usize) {
        let weights: f64 = self.day.classes.iter().map(|l| l.0).sum();
        let mut drawn = self.chance() * weights;
        let class = self.day.classes.iter().position(|l| {
            drawn -= l.0;
            drawn < 0.0
        });
        let class = class.unwrap_or(0);
        let key = Some(self.rng.gen_range(0..100_000));
        let (now, left) = (self.now, self.day.classes[class].1);
        // Clients of more than one try wait for as long again in all.
        let all = if self.day.clients == Clients::Open {
            left
        } else {
            left * 2
        };
        let tries = AttemptHistory::new(self.day.deployment.classes[class].idempotency, now + all);
        self.second(agent).asked += 1;
        self.take(
            agent,
            Asking {
                class,
                first: now,
                key,
                tries,
            },
        );
    }

    /// A request comes to an agent, for the first time or again.
    fn take(&mut self, agent: usize, mut asking: Asking) {
        let (class, key) = (asking.class, asking.key);
        let (now, a) = (self.now, &mut self.agents[agent]);
        let left = self.day.classes[class].1;
        asking.tries.on_attempt_start(now);
        let id = a.next;
        a.next += 1;
        let (deadline, out) = (now + left, Vec::new());
        let held = Held {
            class,
            taken: now,
            deadline,
            out,
            answered: false,
            look: None,
            asking,
        };
        a.held.insert(id, held);
        a.exposed = (a.exposed - a.cap).max(0.0);
        if let Some(z) = &mut a.zones {
            z.on_request(now, class);
        }
        a.choice.on_request(
            now,
            id,
            Request {
                class,
                tenant: None,
                key,
                time_left: left,
                estimated_work: None,
                is_retry: false,
            },
        );
        let answer = a.choice.route(now, id);
        self.played.taken += 1;
        self.second(agent).taken += 1;
        self.at(
            now + left + SLACK + Duration::from_millis(1),
            What::Look {
                agent,
                id,
                at: Duration::MAX,
            },
        );
        self.obey(agent, id, answer);
    }

    fn fold(&mut self, agent: usize, id: u64, answer: &Decision) {
        let (kind, what) = match answer {
            Decision::Forward {
                endpoint, timeout, ..
            } => (1, *endpoint as u64 ^ timeout.as_micros() as u64),
            Decision::Defer { until } => (2, until.as_micros() as u64),
            Decision::Reject { .. } => (3, 0),
            Decision::Fail => (4, 0),
            Decision::Cancel { attempt } => (5, *attempt as u64),
            Decision::Await => (6, 0),
        };
        let fold = |h: u64, n: u64| (h ^ n).wrapping_mul(0x0100_0000_01b3).rotate_left(23);
        self.played.digest = [agent as u64, id, kind, what]
            .into_iter()
            .fold(self.played.digest, fold);
        self.tell(agent, id, || format!("the decisions: {answer:?}"));
    }

    /// Writes down what happens to the request that is watched.
    fn tell(&mut self, agent: usize, id: u64, what: impl FnOnce() -> String) {
        if self.day.watch == Some((agent, id)) {
            let at = (self.now - ZERO).as_secs_f64();
            self.played.life.push(format!("{at:12.6} s  {}", what()));
        }
    }

    /// An agent's vote, as the platform takes it.
    fn vote(&mut self, agent: usize, vote: Vote) {
        let (now, life) = (self.now, self.day.deployment.rollout.vote_ttl);
        let stands = self
            .rollout_status
            .as_ref()
            .is_some_and(|n| (n.build, n.stage) == (vote.build, vote.stage));
        self.played.votes.push((now - ZERO, vote.clone()));
        if !stands {
            return;
        }
        self.holds[agent] = (vote.verdict == Verdict::Hold).then_some(now + life);
        if vote.verdict == Verdict::Hold && self.stage.is_some() {
            self.played
                .offered
                .held
                .get_or_insert((now - ZERO, vote.stage));
        }
        self.backs[agent] = vote.verdict == Verdict::RollBack;
        let (backs, need) = (
            self.backs.iter().filter(|b| **b).count(),
            self.day.offering.as_ref(),
        );
        if self.stage.is_some() && need.is_some_and(|o| backs >= o.back_votes.max(1)) {
            self.send_back();
        }
    }

    fn send_back(&mut self) {
        let Some(o) = self.day.offering.clone() else {
            return;
        };
        self.stage = None;
        self.played.offered.back = Some(self.now - ZERO);
        self.change(Change::RolloutStatus(RolloutStatus {
            build: o.build,
            stage: 0,
            phase: RolloutPhase::RollingBack,
            cap: 0.0,
            since: ZERO,
        }));
        o.nodes
            .iter()
            .for_each(|n| self.change(Change::Lists(*n, EndpointState::Gone)));
    }

    /// The platform's clock: a stage begins, runs on, or is over. It stands while a hold does.
    fn stage(&mut self) {
        let Some(o) = self.day.offering.clone() else {
            return;
        };
        let (now, look) = (self.now, Duration::from_millis(100));
        if self.played.offered.back.is_some() || self.played.offered.released.is_some() {
            return;
        }
        let held = self.holds.iter().flatten().any(|until| now < *until);
        let next = match self.stage {
            None => Some(0),
            Some((stage, ran)) if ran >= o.step => Some(stage + 1),
            Some((stage, ran)) => {
                self.played.offered.stood += if held { look } else { Duration::ZERO };
                self.stage = Some((stage, if held { ran } else { ran + look }));
                None
            }
        };
        match next {
            Some(stage) if stage < o.caps.len() => {
                self.stage = Some((stage, Duration::ZERO));
                let (from, to) = (
                    o.nodes.len() * stage / o.caps.len(),
                    o.nodes.len() * (stage + 1) / o.caps.len(),
                );
                o.nodes[from..to]
                    .iter()
                    .for_each(|n| self.change(Change::Starts(*n)));
                let (build, cap) = (o.build, o.caps[stage]);
                self.change(Change::RolloutStatus(RolloutStatus {
                    build,
                    stage,
                    phase: RolloutPhase::Canary,
                    cap,
                    since: ZERO,
                }));
            }
            Some(stage) => {
                self.stage = None;
                self.played.offered.released = Some(now - ZERO);
                let (build, stage) = (o.build, stage.saturating_sub(1));
                self.change(Change::RolloutStatus(RolloutStatus {
                    build,
                    stage,
                    phase: RolloutPhase::Released,
                    cap: 1.0,
                    since: ZERO,
                }));
                return;
            }
            None => {}
        }
        self.at(now + look, What::Stage);
    }

    /// A client was told that its request was rejected, or failed: it may ask again.
    fn ask_again(&mut self, agent: usize, id: u64, rejected: bool) {
        let Some(h) = self.agents[agent].held.get(&id) else {
            return;
        };
        let mut asking = h.asking.clone();
        let now = self.now;
        let at = match &self.day.clients {
            Clients::Open => return,
            Clients::Naive { pause, tries } => {
                let on = asking.tries.attempts < *tries && now + *pause < asking.tries.deadline;
                on.then_some(now + *pause)
            }
            Clients::Careful(_) => {
                let retry_after = self
                    .day
                    .deployment
                    .retry_after
                    .map(|t| t.min(Duration::from_millis(500)));
                let ended = if rejected {
                    AttemptOutcome::Rejected { retry_after }
                } else {
                    AttemptOutcome::Failed
                };
                match self.agents[agent]
                    .retries
                    .decide(now, &mut asking.tries, 0, ended)
                {
                    RetryDecision::RetryAt(at) => Some(at),
                    RetryDecision::GiveUp(_) => None,
                }
            }
        };
        if let Some(at) = at {
            let place = self.free.pop().unwrap_or(self.again.len());
            match self.again.get_mut(place) {
                Some(old) => *old = asking,
                None => self.again.push(asking),
            }
            self.at(at, What::Again(agent, place));
        }
    }

    fn obey(&mut self, agent: usize, id: u64, answer: Decision) {
        self.fold(agent, id, &answer);
        let now = self.now;
        match answer {
            Decision::Forward {
                endpoint,
                timeout,
                recheck_at: look,
            } => self.send(agent, id, endpoint, timeout, look),
            Decision::Defer { until } => self.look(agent, id, until),
            Decision::Reject { .. } => {
                let h = &self.agents[agent].held[&id];
                let idempotency = self.day.deployment.classes[h.class].idempotency;
                let ran = self.ran.get(&(agent, id)).is_some_and(|r| !r.is_empty());
                if ran && idempotency == Idempotency::NonIdempotent {
                    self.played
                        .broken
                        .push(format!("rule 2: command {id} was denied and had run"));
                }
                self.played.rejected += 1;
                self.ask_again(agent, id, true);
                self.answered(agent, id);
            }
            Decision::Fail => {
                self.played.scrapped += 1;
                self.ask_again(agent, id, false);
                self.answered(agent, id);
            }
            Decision::Cancel { attempt } => {
                let out = |h: &Held| h.out.get(attempt).is_some_and(|o| !o.ended);
                if self.agents[agent].held.get(&id).is_some_and(out) {
                    self.end(agent, id, attempt, Outcome::Cancelled);
                }
            }
            Decision::Await => {}
        }
        let late = self.agents[agent]
            .held
            .get(&id)
            .is_some_and(|h| !h.answered && now > h.deadline + SLACK);
        if late && self.agents[agent].stalled + SLACK < now {
            self.played
                .broken
                .push(format!("rule 1: command {id} is late"));
        }
    }

    fn look(&mut self, agent: usize, id: u64, at: Duration) {
        if let Some(h) = self.agents[agent].held.get_mut(&id) {
            h.look = Some(at);
            self.at(at, What::Look { agent, id, at });
        }
    }

    fn answered(&mut self, agent: usize, id: u64) {
        let Some(h) = self.agents[agent].held.get_mut(&id) else {
            return;
        };
        if h.answered {
            self.played
                .broken
                .push(format!("rule 1: command {id} has two answers"));
        }
        h.answered = true;
        if self.now > h.deadline + SLACK && self.agents[agent].stalled + SLACK < self.now {
            self.played
                .broken
                .push(format!("rule 1: command {id} was answered late"));
        }
        self.forget(agent, id);
    }

    fn forget(&mut self, agent: usize, id: u64) {
        let over = |h: &Held| h.answered && h.out.iter().all(|o| o.ended);
        if self.agents[agent].held.get(&id).is_some_and(over) {
            self.agents[agent].held.remove(&id);
        }
    }

    fn send(
        &mut self,
        agent: usize,
        id: u64,
        node: usize,
        timeout: Duration,
        look: Option<Duration>,
    ) {
        let now = self.now;
        let n = self.day.nodes[node].clone();
        self.played.sends[node] += 1;
        self.tell(agent, id, || {
            format!(
                "goes to appliance {node} of zone {}, build {}",
                n.zone, n.build
            )
        });
        self.check_send(agent, id, node, &n);
        let trial = self.on_trial(n.build);
        let a = &mut self.agents[agent];
        let Some(h) = a.held.get_mut(&id) else { return };
        let nth = h.out.len();
        let idempotency = self.day.deployment.classes[h.class].idempotency;
        let grouped = matches!(
            idempotency,
            Idempotency::Keyed {
                scope: DeduplicationScope::Zone | DeduplicationScope::Cell,
                ..
            }
        );
        let sending = AttemptStart {
            to: n.zone,
            class: h.class,
            build: n.build,
            previous_attempts: nth,
            hedged: h.out.iter().any(|o| !o.ended),
            is_canary: trial,
            pinned_to_scope: grouped && nth > 0 && self.ran.contains_key(&(agent, id)),
        };
        let choice = &a.choice;
        let ticket = a.zones.as_mut().map(|z| {
            let all = z.config().zone_count_with_unnamed();
            z.on_attempt(now, sending, || choice.zone_capacities(now, all))
        });
        if let Some(told) = a.zones.as_mut().and_then(Zones::cross_zone_policy) {
            a.choice.set_cross_zone_policy(told);
        }
        let far = n.zone != a.zone;
        if far {
            let over = ticket.as_ref().and_then(|t| t.over_budget);
            self.played.crossings[agent].push((now - ZERO, h.class, over));
        }
        let connected = std::mem::replace(&mut a.warm[node], true);
        h.out.push(Out {
            node,
            zone: n.zone,
            sent: now,
            ended: false,
            ticket,
            connected,
        });
        h.look = look;
        let zone = a.zone;
        let second = self.second(agent);
        if far {
            second.far += 1;
        } else {
            second.near += 1;
        }
        let way = self.day.ways[zone][n.zone];
        // A first connection goes there and back once before.
        let first = if connected {
            Duration::ZERO
        } else {
            way + self.day.ways[n.zone][zone]
        };
        let life = self.running[node].life;
        if !self.lost(zone, n.zone) {
            self.at(
                now + first + way,
                What::Reach {
                    agent,
                    id,
                    nth,
                    node,
                    life,
                },
            );
        }
        if !connected {
            if let Some(z) = &mut self.agents[agent].zones {
                z.on_connection(
                    now,
                    &ConnectionTraffic {
                        to: n.zone,
                        build: n.build,
                        bytes_sent: 60,
                        bytes_received: 60,
                        handshake: Some(first),
                    },
                );
            }
        }
        self.at(now + timeout, What::TimeOut { agent, id, nth });
        if let Some(at) = look {
            self.at(at, What::Look { agent, id, at });
        }
    }

    fn on_trial(&self, build: u32) -> bool {
        let on = |n: &RolloutStatus| {
            build > n.build || build == n.build && n.phase != RolloutPhase::Released
        };
        self.told.as_ref().is_some_and(on)
    }

    /// Rules 3, 4 (what comes to a cold one is checked as it comes) and 5.
    fn check_send(&mut self, agent: usize, id: u64, node: usize, n: &Node) {
        let (now, trial) = (self.now, self.on_trial(n.build));
        let free = self.day.deployment.rollout.exposure_burst;
        let a = &mut self.agents[agent];
        if a.told.get(&node).is_some_and(|t| now > *t + DRAIN_GRACE) {
            let what = format!(
                "rule 3: command {id} went to appliance {node}, {:?}",
                n.standing
            );
            self.played.broken.push(what);
        }
        if trial {
            a.exposed += 1.0;
            if a.exposed > free + 1e-6 {
                self.played.broken.push(format!(
                    "rule 5: agent {agent} exposes {:.2} above {free}",
                    a.exposed
                ));
            }
        }
        if let Some(h) = a.held.get(&id) {
            if h.answered {
                self.played
                    .broken
                    .push(format!("rule 1: command {id} went out after its answer"));
            }
        }
    }

    fn capacity(&self, node: usize) -> f64 {
        let (n, d) = (&self.day.nodes[node], &self.day.deployment);
        let ramp = match n.started {
            Some(started) => {
                let age = self.now.saturating_sub(started).as_secs_f64()
                    / d.slow_start_duration.as_secs_f64().max(1e-3);
                d.slow_start_share + (1.0 - d.slow_start_share) * age.min(1.0)
            }
            None => 1.0,
        };
        n.cores as f64 * ramp / n.slowness
    }

    fn reach(&mut self, agent: usize, id: u64, nth: usize, node: usize, life: u64) {
        let (now, n) = (self.now, self.day.nodes[node].clone());
        let class = self.agents[agent].held.get(&id).map(|h| h.class);
        let Some(class) = class else { return };
        if n.mute {
            return;
        }
        let refuse = |how| What::Back {
            agent,
            id,
            nth,
            how,
        };
        let back = now + self.day.ways[n.zone][self.agents[agent].zone];
        if n.standing == EndpointState::Gone || self.running[node].life != life {
            return self.at(back, refuse(How::Refused));
        }
        self.check_cold(node, class);
        let capacity = n.cores;
        if self.running[node].busy.len() >= capacity && self.running[node].waits.len() >= n.queue {
            return self.at(back, refuse(How::TurnedAway));
        }
        self.check_run(agent, id, class, node);
        let (busy, waits) = (
            self.running[node].busy.len(),
            self.running[node].waits.len(),
        );
        self.tell(agent, id, || {
            format!("has come to appliance {node}, where {busy} run and {waits} wait")
        });
        self.running[node].waits.push_back(Job { agent, id, nth });
        self.take_up(node);
    }

    /// Rule 4: what came to a cold endpoint in the window against what it can do now.
    fn check_cold(&mut self, node: usize, class: usize) {
        let (now, fall_for) = (self.now, self.day.deployment.overload_window);
        let cold = |s: Duration| now < s + self.day.deployment.slow_start_duration;
        if !self.day.nodes[node].started.is_some_and(cold) {
            return;
        }
        let capacity = self.capacity(node);
        let work = self.day.work[class].as_secs_f64();
        let came = &mut self.running[node].work;
        came.push_back((now, work));
        while came.front().is_some_and(|w| w.0 + fall_for < now) {
            came.pop_front();
        }
        let sum: f64 = came.iter().map(|w| w.1).sum();
        let slack = 3.0 * (work * sum).sqrt() + 3.0 * work;
        if sum > FALL_MULTIPLE * capacity * fall_for.as_secs_f64() + slack {
            self.played.broken.push(format!(
                "rule 4: cold appliance {node} got {sum:.2} core-seconds"
            ));
        }
    }

    /// Rule 2, where it runs.
    fn check_run(&mut self, agent: usize, id: u64, class: usize, node: usize) {
        let idempotency = self.day.deployment.classes[class].idempotency;
        if idempotency == Idempotency::Idempotent {
            return;
        }
        let (now, zone) = (self.now, self.day.nodes[node].zone);
        let ran = self.ran.entry((agent, id)).or_default();
        for (other, at) in ran.iter() {
            let apart = match idempotency {
                Idempotency::Keyed {
                    scope: group,
                    window,
                } => {
                    let far =
                        group != DeduplicationScope::All && self.day.nodes[*other].zone != zone;
                    far || now > *at + window + SLACK
                }
                _ => true,
            };
            if apart {
                self.played
                    .broken
                    .push(format!("rule 2: command {id} of lane {class} ran twice"));
            }
        }
        ran.push((node, now));
    }

    fn take_up(&mut self, node: usize) {
        while self.running[node].busy.len() < self.day.nodes[node].cores {
            let Some(job) = self.running[node].waits.pop_front() else {
                return;
            };
            let class = self.agents[job.agent].held.get(&job.id).map(|h| h.class);
            // It was withdrawn meanwhile.
            let Some(class) = class else { continue };
            let speed = self.capacity(node) / self.day.nodes[node].cores as f64;
            let mean = self.day.work[class].as_secs_f64();
            let took = Duration::from_secs_f64(mean * self.drawn() / speed);
            let (slot, life) = (self.running[node].slots, self.running[node].life);
            self.running[node].slots += 1;
            self.running[node].busy.insert(slot, job);
            self.at(self.now + took, What::Done { node, life, slot });
        }
    }

    /// The work of one request against the mean.
    fn drawn(&mut self) -> f64 {
        self.day.steady - (1.0 - self.day.steady) * (1.0 - self.chance()).ln()
    }

    /// Whether a way between two zones loses what goes over it now.
    fn lost(&mut self, from: usize, to: usize) -> bool {
        from != to && self.day.loss > 0.0 && self.chance() < self.day.loss
    }

    fn done(&mut self, node: usize, life: u64, slot: u64) {
        if self.running[node].life != life {
            return;
        }
        let Some(Job { agent, id, nth }) = self.running[node].busy.remove(&slot) else {
            return;
        };
        let fails = self.day.nodes[node].fails;
        let how = if self.chance() < fails {
            How::Failed
        } else {
            How::Succeeded
        };
        let (from, to) = (self.day.nodes[node].zone, self.agents[agent].zone);
        let way = self.day.ways[from][to];
        if !self.day.nodes[node].mute && !self.lost(from, to) {
            self.at(
                self.now + way,
                What::Back {
                    agent,
                    id,
                    nth,
                    how,
                },
            );
        }
        self.take_up(node);
    }

    fn back(&mut self, agent: usize, id: u64, nth: usize, how: How) {
        let out = |h: &Held| h.out.get(nth).is_some_and(|o| !o.ended);
        if !self.agents[agent].held.get(&id).is_some_and(out) {
            return;
        }
        let outcome = match how {
            How::Succeeded => Outcome::Succeeded,
            How::Failed => Outcome::Failed,
            How::TurnedAway => Outcome::Rejected,
            How::Refused => Outcome::ConnectFailed,
        };
        self.end(agent, id, nth, outcome);
    }

    fn end(&mut self, agent: usize, id: u64, nth: usize, outcome: Outcome) {
        let now = self.now;
        let a = &mut self.agents[agent];
        let Some(h) = a.held.get_mut(&id) else { return };
        let o = &mut h.out[nth];
        o.ended = true;
        let took = now.saturating_sub(o.sent);
        let written = outcome != Outcome::ConnectFailed && outcome != Outcome::NotSent;
        let back = if matches!(outcome, Outcome::Succeeded | Outcome::Failed) {
            BYTES.1
        } else {
            0
        };
        if !matches!(
            outcome,
            Outcome::Succeeded | Outcome::Failed | Outcome::Rejected
        ) {
            // Its connection is closed.
            a.warm[o.node] = false;
        }
        debug_assert!(o.zone <= self.day.ways.len() && (o.connected || nth < h.out.len()));
        let ticket = h.out[nth].ticket.take();
        if let (Some(z), Some(ticket)) = (&mut a.zones, ticket) {
            let out = if written { BYTES.0 } else { 0 };
            z.on_attempt_end(
                now,
                &ticket,
                &CompletedAttempt {
                    outcome,
                    fault: ResponseFault::None,
                    fully_written: written,
                    bytes_sent: out,
                    bytes_received: back,
                    latency: took,
                },
            );
        }
        let first = outcome == Outcome::Succeeded && !h.answered;
        let (taken, class, first_asked) = (h.taken, h.class, h.asking.first);
        let closed = h.answered || first;
        let answer = a.choice.on_attempt_end(
            now,
            id,
            nth,
            AttemptEnd {
                outcome,
                latency: took,
                request_closed: closed,
                reported_load: None,
            },
        );
        self.tell(agent, id, || {
            format!("delivery {nth} ended: {outcome:?} after {took:?}")
        });
        if first {
            let took = now.saturating_sub(taken);
            self.played.succeeded += 1;
            self.agents[agent].retries.on_success(0);
            let latency_objective = self.day.deployment.classes[class].latency_objective;
            self.played.in_time += u64::from(took <= latency_objective);
            if now.saturating_sub(first_asked) <= latency_objective {
                self.second(agent).good += 1;
            }
            let micros = took.as_micros().max(1) as u64;
            self.played.times.saturating_record(micros);
            let second =
                ((taken - ZERO).as_secs() as usize).min(self.played.second_times.len() - 1);
            self.played.second_times[second].saturating_record(micros);
            self.answered(agent, id);
        }
        self.obey(agent, id, answer);
        self.forget(agent, id);
    }

    /// The cap that binds each agent; a lower one is counted anew.
    fn caps(&mut self) {
        let cap = self.told.as_ref().map_or(0.0, |n| {
            if n.phase == RolloutPhase::Released {
                1.0
            } else {
                n.cap
            }
        });
        for a in &mut self.agents {
            if !a.exposing || cap < a.cap {
                a.exposed = 0.0;
            }
            (a.cap, a.exposing) = (cap, true);
        }
    }

    fn change(&mut self, change: Change) {
        let now = self.now;
        match change {
            Change::Lists(node, standing) => {
                self.day.nodes[node].standing = standing;
                if standing == EndpointState::Gone {
                    self.fall(node);
                }
                self.list(node);
            }
            Change::Starts(node) => {
                self.fall(node);
                let n = &mut self.day.nodes[node];
                (n.standing, n.started, n.mute) = (EndpointState::Running, Some(now), false);
                self.list(node);
            }
            Change::Moves(node, zone) => {
                self.fall(node);
                self.day.nodes[node].zone = zone;
                self.list(node);
            }
            Change::Slows(node, slowness) => self.day.nodes[node].slowness = slowness,
            Change::Fails(node, fails) => self.day.nodes[node].fails = fails,
            Change::Mutes(node, mute) => self.day.nodes[node].mute = mute,
            Change::RolloutStatus(rollout_status) => {
                let rollout_status = RolloutStatus {
                    since: now,
                    ..rollout_status
                };
                self.rollout_status = Some(rollout_status.clone());
                self.tell_later(Tell::RolloutStatus(rollout_status));
            }
            Change::Rate(rate) => self.day.rate = rate,
            Change::Stalls(agent, span) => self.agents[agent].stalled = now + span,
            Change::Zoning(agent, zoning) => {
                let a = &mut self.agents[agent];
                if let Some(z) = &mut a.zones {
                    // Zones and classes are those of before, which is all that is refused.
                    let classes = vec![IndexOrigin::Same; zoning.classes.len()];
                    z.reload(now, zoning, &classes);
                    if let Some(told) = z.cross_zone_policy() {
                        a.choice.set_cross_zone_policy(told);
                    }
                }
            }
            Change::Link(from, to, way) => self.day.ways[from][to] = way,
        }
    }

    /// What it had in hand is gone, its connections broken.
    fn fall(&mut self, node: usize) {
        let running = &mut self.running[node];
        running.life += 1;
        let busy = std::mem::take(&mut running.busy).into_values();
        let jobs: Vec<Job> = busy.chain(std::mem::take(&mut running.waits)).collect();
        for Job { agent, id, nth } in jobs {
            let out = |h: &Held| h.out.get(nth).is_some_and(|o| !o.ended);
            if self.agents[agent].held.get(&id).is_some_and(out) {
                self.end(agent, id, nth, Outcome::ConnectionLost);
            }
        }
        self.agents.iter_mut().for_each(|a| a.warm[node] = false);
    }

    fn list(&mut self, node: usize) {
        let entry = listed(&self.day.nodes, node);
        self.tell_later(Tell::List(node, entry));
    }

    fn tell_later(&mut self, tell: Tell) {
        self.tells.push(tell);
        let n = self.tells.len() - 1;
        if self.day.told_late.is_zero() {
            self.told(n);
        } else {
            self.at(self.now + self.day.told_late, What::Tell(n));
        }
    }

    fn told(&mut self, n: usize) {
        let now = self.now;
        let (node, mut entry) = match self.tells[n].clone() {
            Tell::List(node, entry) => (node, entry),
            Tell::RolloutStatus(rollout_status) => {
                self.told = Some(rollout_status.clone());
                self.caps();
                let cap = self.day.lies.cap.unwrap_or(rollout_status.cap);
                for a in &mut self.agents {
                    a.choice.update_rollout(RolloutStatus {
                        cap,
                        ..rollout_status.clone()
                    });
                }
                return;
            }
        };
        let lies = &self.day.lies;
        entry.started = entry.started.filter(|_| !lies.warm);
        let silent = lies.deaf && entry.state != EndpointState::Running;
        for a in &mut self.agents {
            if !silent {
                a.choice
                    .update_endpoints(now, std::slice::from_ref(&entry), false);
            }
            match entry.state {
                EndpointState::Running => drop(a.told.remove(&node)),
                _ => drop(a.told.entry(node).or_insert(now)),
            }
        }
    }
}

fn listed(nodes: &[Node], endpoint: usize) -> EndpointEntry {
    let n = &nodes[endpoint];
    EndpointEntry {
        endpoint,
        zone: n.zone,
        cell: endpoint as u64 % 3,
        identity: endpoint as u64,
        endpoint_type: 0,
        build: n.build,
        state: n.standing,
        started: n.started,
    }
}
