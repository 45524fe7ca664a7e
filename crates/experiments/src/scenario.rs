//! A scenario: the world, what varies, and over how many seeds.

use kdl::KdlNode;
use std::time::Duration;
use tulipwall::{DeduplicationScope, Idempotency};
use tulipwall_config::{ConfigDiagnostic, KdlReader, SourceLocation};

/// What may vary. Numbers but for `clients` and `routing`.
pub const KEYS: [&str; 11] = [
    "agents",
    "rate",
    "slowness",
    "fails",
    "clients",
    "routing",
    "share",
    "step",
    "spread",
    "loss",
    "told-late-ms",
];

#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    pub name: String,
    pub seeds: u64,
    pub span: Duration,
    /// Requests a second, over all agents.
    pub rate: f64,
    pub agents: usize,
    /// Of agents' parts of the load: 0 for equal ones, 1 for the largest twice the mean.
    pub spread: f64,
    pub classes: Vec<RequestClass>,
    pub zones: Vec<Zone>,
    /// One way each, from zone to zone; others take half a millisecond.
    pub ways: Vec<(usize, usize, Duration)>,
    pub clients: ClientKind,
    pub near_first: bool,
    /// The part of work that is always the same, 0 to 1; the rest is exponential.
    pub steady: f64,
    /// What ways between zones lose of attempts and of answers, 0 to 1.
    pub loss: f64,
    /// How much later agents are told of lists and news.
    pub told_late: Duration,
    /// A budget for crossing, as a share of what is taken.
    pub share: Option<f64>,
    pub offer: Option<Offer>,
    pub faults: Vec<ConfigError>,
    pub vary: Vec<Vary>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    pub name: String,
    pub idempotency: Idempotency,
    pub work: Duration,
    pub latency_objective: Duration,
    pub expiry: Duration,
    pub priority_weight: f64,
    pub weight: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    pub name: String,
    pub endpoints: usize,
    pub cores: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientKind {
    Open,
    Naive,
    Careful,
}

/// A build that is offered.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    pub at: Duration,
    /// What its endpoints take of the usual work.
    pub slowness: f64,
    pub fails: f64,
    pub stages: Vec<f64>,
    pub step: Duration,
    /// Its endpoints, in turn in each zone.
    pub endpoints: usize,
}

#[derive(Clone, Debug, PartialEq)]
pub struct ConfigError {
    pub at: Duration,
    /// It ends after so long; drained and gone ones return cold.
    pub lasts: Option<Duration>,
    pub zone: Option<usize>,
    /// How many of its endpoints, from the first on.
    pub most: usize,
    pub kind: FaultKind,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    Slow(f64),
    Fail(f64),
    Drain,
    Gone,
    Mute,
    /// All agents stand still.
    Stall,
    /// The load is so many times the usual.
    Burst(f64),
}

/// What varies, and its values.
#[derive(Clone, Debug, PartialEq)]
pub struct Vary {
    pub key: String,
    pub values: Vec<Value>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Number(f64),
    Word(String),
}

impl std::fmt::Display for Value {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Value::Number(n) => write!(f, "{n}"),
            Value::Word(w) => f.write_str(w),
        }
    }
}

impl Scenario {
    /// Reads a scenario's text; all that is wrong with it otherwise, in the order of its lines.
    pub fn read(text: &str) -> Result<Scenario, Vec<ConfigDiagnostic>> {
        let mut r = KdlReader::new(text);
        let document = r.document();
        let node = r
            .nodes(document.as_ref(), "the file", &["experiment"], &[])
            .first()
            .copied();
        let scenario = node.and_then(|node| experiment(&mut r, node));
        if node.is_none() && !r.has_diagnostics() {
            r.report(
                SourceLocation { line: 1, column: 1 },
                "experiment",
                "one is wanted".into(),
            );
        }
        match scenario {
            Some(s) if !r.has_diagnostics() => Ok(s),
            _ => Err(r.into_diagnostics()),
        }
    }

    /// Every combination of what varies, the first key slowest.
    pub fn points(&self) -> Vec<Vec<(String, Value)>> {
        let mut points = vec![Vec::new()];
        for v in &self.vary {
            let with = |p: &Vec<(String, Value)>| {
                let each = |value: &Value| [&p[..], &[(v.key.clone(), value.clone())]].concat();
                v.values.iter().map(each).collect::<Vec<_>>()
            };
            points = points.iter().flat_map(with).collect();
        }
        points
    }

    /// The same with these values in their places.
    pub fn at(&self, point: &[(String, Value)]) -> Scenario {
        let mut s = self.clone();
        for (key, value) in point {
            match (key.as_str(), value) {
                ("agents", Value::Number(n)) => s.agents = *n as usize,
                ("rate", Value::Number(n)) => s.rate = *n,
                ("spread", Value::Number(n)) => s.spread = *n,
                ("loss", Value::Number(n)) => s.loss = n.min(1.0),
                ("told-late-ms", Value::Number(n)) => {
                    s.told_late = Duration::from_secs_f64(n / 1000.0)
                }
                ("share", Value::Number(n)) => s.share = Some(*n),
                ("slowness", Value::Number(n)) => s.offer.iter_mut().for_each(|o| o.slowness = *n),
                ("fails", Value::Number(n)) => s.offer.iter_mut().for_each(|o| o.fails = *n),
                ("step", Value::Number(n)) => {
                    s.offer
                        .iter_mut()
                        .for_each(|o| o.step = Duration::from_secs_f64(*n));
                }
                ("clients", Value::Word(w)) => s.clients = kind(w).unwrap_or(s.clients),
                ("routing", Value::Word(w)) => s.near_first = w == "near-first",
                _ => {}
            }
        }
        s
    }

    /// Bytes that one run takes at most, about: what agents know of endpoints, and what is in
    /// flight.
    pub fn memory(&self) -> f64 {
        let nodes = self.zones.iter().map(|z| z.endpoints).sum::<usize>()
            + self.offer.as_ref().map_or(0, |o| o.endpoints);
        let (agents, classes) = (self.agents as f64, self.classes.len() as f64);
        let known = agents * nodes as f64 * (400.0 + 40.0 * classes);
        // Each second has a histogram, each agent each second its counts.
        let seconds = self.span.as_secs_f64() + 1.0;
        let longest = self
            .classes
            .iter()
            .map(|l| l.expiry.as_secs_f64())
            .fold(0.0, f64::max);
        known + seconds * 200_000.0 + agents * seconds * 40.0 + self.rate * longest * 2000.0
    }
}

fn kind(word: &str) -> Option<ClientKind> {
    let kinds = [
        ("open", ClientKind::Open),
        ("naive", ClientKind::Naive),
        ("careful", ClientKind::Careful),
    ];
    kinds.into_iter().find(|k| k.0 == word).map(|k| k.1)
}

fn experiment(r: &mut KdlReader, node: &KdlNode) -> Option<Scenario> {
    let name = r
        .arguments(node, 1, &[])
        .into_iter()
        .find_map(|e| r.entry_text(e, "experiment"))?;
    let mut s = Scenario {
        name,
        seeds: 5,
        span: Duration::from_secs(30),
        rate: 500.0,
        agents: 3,
        spread: 0.0,
        classes: Vec::new(),
        zones: Vec::new(),
        ways: Vec::new(),
        clients: ClientKind::Open,
        near_first: false,
        steady: 0.4,
        loss: 0.0,
        told_late: Duration::ZERO,
        share: None,
        offer: None,
        faults: Vec::new(),
        vary: Vec::new(),
    };
    let once = [
        "seeds",
        "span",
        "rate",
        "agents",
        "spread",
        "clients",
        "routing",
        "share",
        "offer",
        "steady",
        "loss",
        "told-late",
    ];
    let nodes = r.nodes(
        node.children(),
        "experiment",
        &once,
        &["lane", "zone", "way", "fault", "vary"],
    );
    // Zones first: others name them.
    for node in nodes.iter().filter(|n| n.name().value() == "zone") {
        let at = r.location(node);
        let Some(zone) = zone(r, node) else { continue };
        if s.zones.iter().any(|z| z.name == zone.name) {
            r.report(
                at,
                "zone",
                format!("the name '{}' stands twice", zone.name).into(),
            );
        }
        s.zones.push(zone);
    }
    for node in nodes {
        match node.name().value() {
            "seeds" => s.seeds = r.number(node, 1.0, 10_000.0).map_or(5, |n| n as u64),
            "span" => s.span = r.duration(node, Duration::from_secs(1)).unwrap_or(s.span),
            "rate" => s.rate = r.number(node, 0.1, 1e7).unwrap_or(s.rate),
            "agents" => s.agents = r.number(node, 1.0, 1e5).map_or(3, |n| n as usize),
            "spread" => s.spread = r.number(node, 0.0, 1.0).unwrap_or(0.0),
            "clients" => {
                let kinds = [ClientKind::Open, ClientKind::Naive, ClientKind::Careful];
                s.clients = r
                    .keyword(node, &["open", "naive", "careful"])
                    .map_or(ClientKind::Open, |n| kinds[n]);
            }
            "routing" => s.near_first = r.keyword(node, &["as-ever", "near-first"]) == Some(1),
            "share" => s.share = r.number(node, 0.0, 1.0),
            "steady" => s.steady = r.number(node, 0.0, 1.0).unwrap_or(s.steady),
            "loss" => s.loss = r.number(node, 0.0, 1.0).unwrap_or(0.0),
            "told-late" => s.told_late = r.duration(node, Duration::ZERO).unwrap_or(Duration::ZERO),
            "offer" => s.offer = Some(offer(r, node)),
            "lane" => s.classes.extend(class(r, node)),
            "way" => s.ways.extend(way(r, node, &s.zones)),
            "fault" => s.faults.extend(fault(r, node, &s.zones)),
            "vary" => s.vary.extend(vary(r, node)),
            _ => {}
        }
    }
    for (key, missing) in [("lane", s.classes.is_empty()), ("zone", s.zones.is_empty())] {
        if missing && !r.has_diagnostics_for(key) {
            r.report(r.location(node), key, "one or more are wanted".into());
        }
    }
    let offers = ["slowness", "fails", "step"];
    if s.offer.is_none() && s.vary.iter().any(|v| offers.contains(&v.key.as_str())) {
        r.report(
            r.location(node),
            "vary",
            "an offer is wanted for what varies of it".into(),
        );
    }
    Some(s)
}

fn zone(r: &mut KdlReader, node: &KdlNode) -> Option<Zone> {
    let name = r
        .arguments(node, 1, &[])
        .into_iter()
        .find_map(|e| r.entry_text(e, "zone"))?;
    let mut zone = Zone {
        name,
        endpoints: 1,
        cores: 1,
    };
    for node in r.nodes(node.children(), "zone", &["appliances", "cores"], &[]) {
        let count = r.number(node, 0.0, 1e5).map_or(1, |n| n as usize);
        match node.name().value() {
            "appliances" => zone.endpoints = count,
            _ => zone.cores = count.max(1),
        }
    }
    Some(zone)
}

fn class(r: &mut KdlReader, node: &KdlNode) -> Option<RequestClass> {
    let name = r
        .arguments(node, 1, &[])
        .into_iter()
        .find_map(|e| r.entry_text(e, "lane"))?;
    let ms = Duration::from_millis;
    let mut class = RequestClass {
        name,
        idempotency: Idempotency::Idempotent,
        work: ms(20),
        latency_objective: ms(400),
        expiry: ms(1500),
        priority_weight: 1.0,
        weight: 1.0,
    };
    let known = ["repeats", "work", "quoted", "expiry", "benefit", "weight"];
    for node in r.nodes(node.children(), "lane", &known, &[]) {
        match node.name().value() {
            "repeats" => {
                let window = Duration::from_secs(3);
                let kinds = [
                    Idempotency::Idempotent,
                    Idempotency::Keyed {
                        scope: DeduplicationScope::All,
                        window,
                    },
                    Idempotency::NonIdempotent,
                ];
                let word = r.keyword(node, &["idempotent", "deduplicated", "unrepeatable"]);
                class.idempotency = word.map_or(class.idempotency, |n| kinds[n]);
            }
            "work" => {
                class.work = r
                    .duration(node, Duration::from_micros(1))
                    .unwrap_or(class.work)
            }
            "quoted" => {
                class.latency_objective = r.duration(node, ms(1)).unwrap_or(class.latency_objective)
            }
            "expiry" => class.expiry = r.duration(node, ms(1)).unwrap_or(class.expiry),
            "benefit" => class.priority_weight = r.number(node, 0.0, 1e9).unwrap_or(1.0),
            _ => class.weight = r.number(node, 0.0, 1e9).unwrap_or(1.0),
        }
    }
    Some(class)
}

fn named(
    r: &mut KdlReader,
    at: SourceLocation,
    key: &str,
    name: &str,
    zones: &[Zone],
) -> Option<usize> {
    let found = zones.iter().position(|z| z.name == name);
    if found.is_none() {
        let known: Vec<&str> = zones.iter().map(|z| z.name.as_str()).collect();
        r.report(
            at,
            key,
            format!("no zone '{name}'; known are {}", known.join(", ")).into(),
        );
    }
    found
}

fn way(r: &mut KdlReader, node: &KdlNode, zones: &[Zone]) -> Option<(usize, usize, Duration)> {
    let at = r.location(node);
    let ends: Vec<String> = r
        .arguments(node, 2, &[])
        .into_iter()
        .filter_map(|e| r.entry_text(e, "way"))
        .collect();
    let delay = r
        .nodes(node.children(), "way", &["delay"], &[])
        .first()
        .copied();
    let delay = delay.and_then(|n| r.duration(n, Duration::ZERO));
    let [from, to]: [String; 2] = ends.try_into().ok()?;
    let ends = (
        named(r, at, "way", &from, zones),
        named(r, at, "way", &to, zones),
    );
    if delay.is_none() {
        r.report(at, "way", "a delay is wanted in it".into());
    }
    Some((ends.0?, ends.1?, delay?))
}

fn offer(r: &mut KdlReader, node: &KdlNode) -> Offer {
    r.arguments(node, 0, &[]);
    let secs = Duration::from_secs;
    let mut o = Offer {
        at: secs(5),
        slowness: 1.0,
        fails: 0.0,
        stages: vec![0.1, 0.5, 1.0],
        step: secs(5),
        endpoints: 3,
    };
    for node in r.nodes(
        node.children(),
        "offer",
        &["at", "slowness", "fails", "stages", "step", "appliances"],
        &[],
    ) {
        match node.name().value() {
            "at" => o.at = r.duration(node, Duration::ZERO).unwrap_or(o.at),
            "slowness" => o.slowness = r.number(node, 0.1, 100.0).unwrap_or(1.0),
            "fails" => o.fails = r.number(node, 0.0, 1.0).unwrap_or(0.0),
            "step" => {
                o.step = r
                    .duration(node, Duration::from_millis(100))
                    .unwrap_or(o.step)
            }
            "appliances" => o.endpoints = r.number(node, 1.0, 1e5).map_or(3, |n| n as usize),
            _ => {
                let caps = r.numbers(node, 0.0, 1.0);
                o.stages = if caps.is_empty() { o.stages } else { caps };
            }
        }
    }
    o
}

fn fault(r: &mut KdlReader, node: &KdlNode, zones: &[Zone]) -> Option<ConfigError> {
    let at = r.location(node);
    r.arguments(node, 0, &[]);
    let mut f = ConfigError {
        at: Duration::ZERO,
        lasts: None,
        zone: None,
        most: usize::MAX,
        kind: FaultKind::Drain,
    };
    let mut kinds = Vec::new();
    let known = [
        "at",
        "for",
        "zone",
        "appliances",
        "slow",
        "fail",
        "burst",
        "kind",
    ];
    for node in r.nodes(node.children(), "fault", &known, &[]) {
        let place = r.location(node);
        match node.name().value() {
            "at" => f.at = r.duration(node, Duration::ZERO)?,
            "for" => f.lasts = r.duration(node, Duration::from_millis(1)),
            "zone" => {
                f.zone = r
                    .text(node)
                    .and_then(|name| named(r, place, "zone", &name, zones))
            }
            "appliances" => f.most = r.number(node, 1.0, 1e5).map_or(usize::MAX, |n| n as usize),
            "slow" => kinds.extend(r.number(node, 0.01, 1e4).map(FaultKind::Slow)),
            "fail" => kinds.extend(r.number(node, 0.0, 1.0).map(FaultKind::Fail)),
            "burst" => kinds.extend(r.number(node, 0.0, 1e4).map(FaultKind::Burst)),
            _ => {
                let all = [
                    FaultKind::Drain,
                    FaultKind::Gone,
                    FaultKind::Mute,
                    FaultKind::Stall,
                ];
                kinds.extend(
                    r.keyword(node, &["drain", "gone", "mute", "stall"])
                        .map(|n| all[n]),
                );
            }
        }
    }
    if kinds.len() != 1 {
        r.report(
            at,
            "fault",
            "one of slow, fail, burst or kind is wanted in it".into(),
        );
    }
    f.kind = kinds.first().copied()?;
    Some(f)
}

fn vary(r: &mut KdlReader, node: &KdlNode) -> Option<Vary> {
    let mut entries = node.entries().iter().filter(|e| e.name().is_none());
    let at = r.location(node);
    let Some(key) = entries.next().and_then(|e| r.entry_text(e, "vary")) else {
        r.report(at, "vary", "a key and its values are wanted".into());
        return None;
    };
    if !KEYS.contains(&key.as_str()) {
        r.report(
            at,
            "vary",
            format!("'{key}' is not among {}", KEYS.join(", ")).into(),
        );
        return None;
    }
    let mut values = Vec::new();
    for entry in entries {
        let word = |words: &[&str]| {
            entry
                .value()
                .as_string()
                .filter(|w| words.contains(w))
                .map(str::to_owned)
        };
        let value = match key.as_str() {
            "clients" => word(&["open", "naive", "careful"]).map(Value::Word),
            "routing" => word(&["as-ever", "near-first"]).map(Value::Word),
            "agents" => r.entry_number(entry, "vary", 1.0, 1e5).map(Value::Number),
            _ => r.entry_number(entry, "vary", 0.0, 1e7).map(Value::Number),
        };
        if value.is_none() && matches!(key.as_str(), "clients" | "routing") {
            r.report(
                at,
                "vary",
                format!("a word that {key} does not have").into(),
            );
        }
        values.extend(value);
    }
    if values.is_empty() {
        r.report(at, "vary", "one value or more are wanted".into());
        return None;
    }
    Some(Vary { key, values })
}
