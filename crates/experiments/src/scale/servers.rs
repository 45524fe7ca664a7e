//! Discovery and the platform of one service in simulated time, by the fakes' own logic, and what
//! they are asked.

use super::hollow::{Mail, Post};
use super::meter::{cpu, Kind};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tulipwall_testkit::platform::{notification, RolloutService};
use tulipwall_testkit::{registry, Entry, Registry, RolloutStatus};

/// How long anything takes to come to an agent. As long as a step, so that agents are played by
/// themselves meanwhile.
pub const WAY: Duration = Duration::from_millis(25);

/// Calls answered and refused, and bytes sent, by second.
#[derive(Clone, Debug, Default)]
pub struct Served {
    pub calls: Vec<u64>,
    pub refused: u64,
    pub bytes: Vec<u64>,
    /// Processor time of the fake, in ns.
    pub ns: u64,
}

impl Served {
    fn at(series: &mut Vec<u64>, now: Duration, from: Duration) -> Option<&mut u64> {
        let second = now.checked_sub(from)?.as_secs() as usize;
        if series.len() <= second {
            series.resize(second + 1, 0);
        }
        series.get_mut(second)
    }
}

/// For an agent: when, which one, what.
pub type Letter = (Duration, usize, Mail);

pub struct Discovery {
    pub registry: Registry,
    /// When each version came about.
    pub changed: Vec<(Duration, u64)>,
    pub served: Served,
    pub from: Duration,                              // nothing counts before
    parked: BTreeMap<(usize, u64), (u64, Duration)>, // by agent and call: the version it knows, and how long it waits
    bodies: HashMap<Option<u64>, Arc<Vec<u8>>>,
    budget: f64,
    every: bool, // call is paid for
    tokens: f64,
    filled: Duration,
}

impl Discovery {
    /// Answers `budget` calls a second, and as many at once after a quiet second. What goes on with
    /// a watch costs nothing, unless `every` call does.
    pub fn new(budget: f64, every: bool) -> Discovery {
        Discovery {
            registry: Registry::default(),
            changed: Vec::new(),
            served: Served::default(),
            from: Duration::ZERO,
            parked: BTreeMap::new(),
            bodies: HashMap::new(),
            budget,
            every,
            tokens: budget,
            filled: Duration::ZERO,
        }
    }

    /// The whole list, as a configuration's `known`.
    pub fn known(&self) -> Arc<Vec<u8>> {
        Arc::new(self.registry.full_list(0).to_string().into_bytes())
    }

    fn body(&mut self, after: Option<u64>) -> Arc<Vec<u8>> {
        let registry = &self.registry;
        let body = self.bodies.entry(after).or_insert_with(|| {
            let list = after.map_or_else(
                || registry.full_list(0),
                |after| registry.changes_since(after, 0),
            );
            Arc::new(registry::http_response(&list).into_bytes())
        });
        body.clone()
    }

    fn answer(
        &mut self,
        now: Duration,
        agent: usize,
        call: u64,
        after: Option<u64>,
        out: &mut Vec<Letter>,
    ) {
        let bytes = self.body(after);
        if let Some(sum) = Served::at(&mut self.served.bytes, now, self.from) {
            *sum += bytes.len() as u64;
        }
        out.push((
            now + WAY,
            agent,
            Mail::Told {
                call,
                status: 200,
                bytes,
            },
        ));
    }

    /// A call, that `begins` a watch or goes on with one.
    pub fn asked(
        &mut self,
        now: Duration,
        who: (usize, u64),
        path: &str,
        begins: bool,
        out: &mut Vec<Letter>,
    ) {
        let (begun, (agent, call), paid) = (cpu(), who, begins || self.every);
        let filled = now.saturating_sub(self.filled).as_secs_f64() * self.budget;
        (self.tokens, self.filled) = (
            (self.tokens + filled).min(self.budget),
            now.max(self.filled),
        );
        if paid && self.tokens < 1.0 {
            self.served.refused += u64::from(now >= self.from);
            let refusal = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_vec();
            out.push((
                now + WAY,
                agent,
                Mail::Told {
                    call,
                    status: 503,
                    bytes: Arc::new(refusal),
                },
            ));
            return;
        }
        self.tokens -= if paid { 1.0 } else { 0.0 };
        if let Some(calls) = Served::at(&mut self.served.calls, now, self.from) {
            *calls += 1;
        }
        match registry::parse_watch(path) {
            Some((after, wait)) if after >= self.registry.version => {
                self.parked.insert((agent, call), (after, now + wait));
            }
            Some((after, _)) => self.answer(now, agent, call, Some(after), out),
            None => self.answer(now, agent, call, None, out),
        }
        self.served.ns += cpu() - begun;
    }

    pub fn dropped(&mut self, agent: usize, call: u64) {
        self.parked.remove(&(agent, call));
    }

    /// These agents are out of reach from now on.
    pub fn lost(&mut self, agents: &BTreeSet<usize>) {
        self.parked.retain(|(agent, _), _| !agents.contains(agent));
    }

    pub fn change(&mut self, now: Duration, entries: Vec<Entry>, out: &mut Vec<Letter>) {
        let begun = cpu();
        self.registry.update(entries);
        self.bodies.clear();
        self.changed.push((now, self.registry.version));
        for ((agent, call), (after, _)) in std::mem::take(&mut self.parked) {
            self.answer(now, agent, call, Some(after), out);
        }
        self.served.ns += cpu() - begun;
    }

    /// Ends the watches whose wait is over by `now`.
    pub fn expire(&mut self, now: Duration, out: &mut Vec<Letter>) {
        let over: Vec<_> = self
            .parked
            .iter()
            .filter(|(_, w)| w.1 <= now)
            .map(|(k, w)| (*k, w.0))
            .collect();
        for ((agent, call), after) in over {
            self.parked.remove(&(agent, call));
            self.answer(now, agent, call, Some(after), out);
        }
    }
}

pub struct Platform {
    desk: RolloutService,
    watching: BTreeSet<usize>,
    zero: Instant, // of simulated time
    pub served: Served,
    pub from: Duration,
}

impl Platform {
    pub fn new(zero: Instant, rollout_status: RolloutStatus) -> Platform {
        let (watching, served) = (BTreeSet::new(), Served::default());
        Platform {
            desk: RolloutService::new(rollout_status),
            watching,
            zero,
            served,
            from: Duration::ZERO,
        }
    }

    fn say(
        &mut self,
        now: Duration,
        agent: usize,
        kind: Kind,
        line: &Arc<Vec<u8>>,
        out: &mut Vec<Letter>,
    ) {
        if let Some(sum) = Served::at(&mut self.served.bytes, now, self.from) {
            *sum += line.len() as u64;
        }
        out.push((
            now + WAY,
            agent,
            Mail::Line {
                kind,
                bytes: line.clone(),
            },
        ));
    }

    fn all(&mut self, now: Duration, kind: Kind, line: &Value, out: &mut Vec<Letter>) {
        let (line, agents) = (written(line), std::mem::take(&mut self.watching));
        agents
            .iter()
            .for_each(|agent| self.say(now, *agent, kind, &line, out));
        self.watching = agents;
    }

    pub fn called(&mut self, now: Duration, agent: usize, line: &str, out: &mut Vec<Letter>) {
        let begun = cpu();
        if let Some(calls) = Served::at(&mut self.served.calls, now, self.from) {
            *calls += 1;
        }
        let call: Value = serde_json::from_str(line).unwrap_or_default();
        let heeded = self.desk.handle_call(self.zero + now, &call);
        self.say(now, agent, Kind::Answered, &written(&heeded.reply), out);
        if heeded.subscribes {
            self.watching.insert(agent);
            let rollout_status = written(&self.desk.rollout_status.notification(self.zero + now));
            self.say(now, agent, Kind::RolloutStatus, &rollout_status, out);
        }
        if let Some(rollout_status) = heeded.rollout_status {
            self.rollout_status(now, rollout_status, out);
        }
        self.served.ns += cpu() - begun;
    }

    pub fn rollout_status(
        &mut self,
        now: Duration,
        rollout_status: RolloutStatus,
        out: &mut Vec<Letter>,
    ) {
        self.desk.rollout_status = RolloutStatus {
            since: self.zero + now,
            ..rollout_status
        };
        let line = self.desk.rollout_status.notification(self.zero + now);
        self.all(now, Kind::RolloutStatus, &line, out);
    }

    pub fn ping(&mut self, now: Duration, out: &mut Vec<Letter>) {
        self.all(now, Kind::Ping, &notification("ping", json!({})), out);
    }

    pub fn lost(&mut self, agents: &BTreeSet<usize>) {
        self.watching.retain(|agent| !agents.contains(agent));
    }
}

fn written(line: &Value) -> Arc<Vec<u8>> {
    Arc::new(format!("{line}\n").into_bytes())
}

/// Passes on what an agent sent.
pub fn pass(
    now: Duration,
    agent: usize,
    post: Post,
    d: &mut Discovery,
    p: &mut Platform,
    out: &mut Vec<Letter>,
) {
    match post {
        Post::Ask { call, path, begins } => d.asked(now, (agent, call), &path, begins, out),
        Post::Drop { call } => d.dropped(agent, call),
        Post::Open { line } | Post::Vote { line } => p.called(now, agent, &line, out),
    }
}
