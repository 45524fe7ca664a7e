//! Soak of the rules on outdated lists: one agent among outages of discovery, kills, moves by SIGHUP
//! and silent watches, drawn from a seed, with drains announced before, during and after them.
//! Checked from outside: no endpoint receives a request once its drain is binding; an agent that has
//! its list serves through outages; an agent whose discovery is up serves.
//!
//! `LIST_SOAK_SEEDS=1-40 cargo test -p tulipwall-agent --test list_soak -- --nocapture` plays more
//! seeds, four at a time. Lists are pushed for even seeds and polled for odd ones.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};
use tulipwall_testkit::*;

const BINARY: &str = env!("CARGO_BIN_EXE_tulipwall-agent");
/// The seeds that are played unless `LIST_SOAK_SEEDS` says otherwise.
const DEFAULT_SEEDS: (u64, u64) = (1, 4);
/// The number of seeds that are played at the same time.
const JOBS: usize = 4;
const ENDPOINTS: usize = 30;
const CLIENTS: usize = 3;
const EVENTS: usize = 7;
const DEADLINE_MS: u32 = 1000;
const SERVICE_UNAVAILABLE: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
/// A change that a silent watch misses counts as announced this long after the silence began, and one
/// that discovery has while it can be reached this long after that.
const MAX_ANNOUNCEMENT_DELAY: Duration = ms(6000);
/// What discovery holds at a new address counts as announced this long after SIGHUP, where lists are
/// pushed.
const MAX_MOVE_DELAY: Duration = ms(4000);
/// Time after the announcement of a drain until nothing may be sent to its endpoint, with the 50 ms
/// that time limits are longer on sockets.
const GRACE: Duration = ms(300);
/// On a busy machine, the stand-ins may write a list, and note an attempt, this much late.
const STAND_IN_DELAY: Duration = ms(200);
/// A silent watch is open again after this time: 1.25 s until the silence shows, and three failing
/// connections of at most 0.25 s each.
const MAX_REOPENING_TIME: Duration = ms(2500);
/// An agent without a list has to serve within this time after discovery's return.
const MAX_RETURN_TIME: Duration = ms(500);

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The response that a client got, or the end of its connection.
#[derive(Clone, Copy, PartialEq)]
enum Outcome {
    Served,
    Rejected,
    Disconnected,
}

struct Observation {
    sent_at: Instant,
    outcome: Outcome,
}

/// A span in which an agent is expected to serve.
struct Expectation {
    from: Instant,
    until: Instant,
    reason: &'static str,
}

/// One seed's agent, its services and what is expected of it.
struct Play {
    rng: Pcg64Mcg,
    is_polled: bool,
    cluster: TestCluster,
    /// A second service with the same list under the same versions.
    second: Discovery,
    uses_second: bool,
    configuration: Value,
    agent: Option<AgentProcess>,
    /// The drained endpoints, each with the time from which nothing may be sent to it.
    drains: BTreeMap<String, Instant>,
    expectations: Vec<Expectation>,
    begun: Instant,
    /// The events so far, for the report of a violation.
    log: Vec<String>,
}

impl Play {
    fn new(seed: u64) -> Play {
        let cluster = TestCluster::new(&["a"], agent_process::classes()).unwrap();
        for n in 0..ENDPOINTS {
            cluster
                .add_endpoint(0, &format!("s-{n}"), 41, EndpointBehavior::default())
                .unwrap();
        }
        let second = Discovery::start(1).unwrap();
        for entry in cluster.discovery.entries() {
            second.update([entry]);
        }
        let is_polled = seed % 2 == 1;
        let mut configuration = cluster.configuration("n1", 0).unwrap();
        if is_polled {
            configuration["settings"]["discovery"] = "ask".into();
            configuration["settings"]["rules"]["must-ask-in-ms"] = 10_000.0.into();
        }
        let agent = AgentProcess::start(BINARY, configuration.clone(), &[]).unwrap();
        Play {
            rng: Pcg64Mcg::seed_from_u64(seed),
            is_polled,
            cluster,
            second,
            uses_second: false,
            configuration,
            agent: Some(agent),
            drains: BTreeMap::new(),
            expectations: Vec::new(),
            begun: Instant::now(),
            log: Vec::new(),
        }
    }

    fn note(&mut self, event: &str) {
        let at = self.begun.elapsed();
        self.log.push(format!("{at:.3?} {event}"));
    }

    fn current(&self) -> &Discovery {
        if self.uses_second {
            &self.second
        } else {
            &self.cluster.discovery
        }
    }

    /// Drains the next endpoint. Nothing may be sent to it from `announced_by` and the grace on.
    fn drain(&mut self, announced_by: Instant) {
        let id = self.note_drain(announced_by);
        announce(&self.cluster.discovery, &id);
        announce(&self.second, &id);
    }

    fn note_drain(&mut self, announced_by: Instant) -> String {
        let id = format!("s-{}", self.drains.len());
        let bound = announced_by + GRACE + STAND_IN_DELAY;
        self.drains.insert(id.clone(), bound);
        let due = bound.saturating_duration_since(self.begun);
        self.note(&format!("{id} drains, binding at {due:.3?}"));
        id
    }

    fn random_ms(&mut self, from: u64, to: u64) -> Duration {
        ms(self.rng.gen_range(from..to))
    }

    fn fault(&mut self) -> (DiscoveryBehavior, bool) {
        match self.rng.gen_range(0..4) {
            0 => (DiscoveryBehavior::Unresponsive, true),
            1 => (DiscoveryBehavior::ClosesConnections, true),
            2 => (DiscoveryBehavior::Sends(SERVICE_UNAVAILABLE.into()), false),
            _ => {
                let garbled = ScriptedServer::http_response("{\"version\": ");
                (DiscoveryBehavior::Sends(garbled), false)
            }
        }
    }

    /// Waits until the agent has an open watch again after a fault, and expects it to serve then.
    fn settle(&mut self) {
        self.note("discovery is up");
        let from = Instant::now()
            + if self.is_polled {
                ms(3500)
            } else {
                MAX_RETURN_TIME
            };
        let until = from + ms(700);
        self.expectations.push(Expectation {
            from,
            until,
            reason: "discovery is up",
        });
        sleep(until.saturating_duration_since(Instant::now()));
        if self.rng.gen_bool(0.4) {
            self.drain(Instant::now());
            sleep(ms(50));
        }
    }

    /// Discovery is down, refuses or sends garbage while the agent has its list.
    fn outage(&mut self) {
        let (behavior, is_unreachable) = self.fault();
        let begun = Instant::now();
        self.note(&format!("outage: {behavior:?}"));
        self.current().set_behavior(behavior);
        let duration = self.random_ms(300, 7500);
        sleep(duration);
        if is_unreachable && !self.is_polled {
            self.expectations.push(Expectation {
                from: begun,
                until: begun + duration,
                reason: "an outage under an agent that has its list",
            });
        }
        self.current().set_behavior(DiscoveryBehavior::Normal);
    }

    /// The agent is killed and starts again by its first list, perhaps in an outage.
    fn restart(&mut self) {
        self.note("killed");
        self.agent = None;
        sleep(ms(30));
        if self.rng.gen_bool(0.7) {
            self.drain(Instant::now());
        }
        sleep(ms(30));
        let fails = self.rng.gen_bool(0.7);
        if fails {
            let (behavior, _) = self.fault();
            self.note(&format!("outage: {behavior:?}"));
            self.current().set_behavior(behavior);
        }
        self.note("started");
        let agent = AgentProcess::start(BINARY, self.configuration.clone(), &[]).unwrap();
        self.agent = Some(agent);
        if fails {
            let duration = self.random_ms(300, 5000);
            sleep(duration);
            self.current().set_behavior(DiscoveryBehavior::Normal);
        }
    }

    /// SIGHUP moves the agent to the other service, which has announced a drain that this one has
    /// not, and perhaps does not send it.
    fn relocate(&mut self) {
        self.uses_second = !self.uses_second;
        self.note("moved");
        let moved = Instant::now();
        let delay = if self.is_polled {
            MAX_ANNOUNCEMENT_DELAY
        } else {
            MAX_MOVE_DELAY
        };
        let id = self.note_drain(moved + delay);
        announce(self.current(), &id);
        let fails = self.rng.gen_bool(0.7);
        if fails {
            let (behavior, _) = self.fault();
            self.note(&format!("outage: {behavior:?}"));
            self.current().set_behavior(behavior);
        }
        let address = self.current().address(0).to_string();
        self.configuration["discovery"] = address.into();
        if let Some(agent) = &self.agent {
            agent.reload(&self.configuration.to_string()).unwrap();
        }
        let duration = self.random_ms(500, 7500);
        sleep(duration);
        self.current().set_behavior(DiscoveryBehavior::Normal);
        let previous = if self.uses_second {
            &self.cluster.discovery
        } else {
            &self.second
        };
        announce(previous, &id);
    }

    /// The open watch falls silent, and discovery has a drain right after that. Where lists are
    /// polled, it would count as announced only 2 s after the wait of the call, up to 22 s later.
    fn silence(&mut self) {
        if self.is_polled {
            return self.outage();
        }
        let next = [
            ConnectionBehavior::Closed,
            ConnectionBehavior::Unanswered,
            ConnectionBehavior::AnsweredAfter(self.random_ms(50, 900)),
        ];
        let count = self.rng.gen_range(0..4);
        self.note(&format!("silence, then {:?}", &next[..count]));
        self.current()
            .silence_watches(next[..count].iter().cloned());
        self.drain(Instant::now() + MAX_ANNOUNCEMENT_DELAY);
        // Until the watch is open again, further drains would be missed by the silent one as well.
        sleep(MAX_REOPENING_TIME);
    }

    fn run(&mut self) {
        self.settle();
        for _ in 0..EVENTS {
            match self.rng.gen_range(0..5) {
                0 | 1 => self.restart(),
                2 => self.outage(),
                3 => self.relocate(),
                _ => self.silence(),
            }
            self.settle();
        }
        let last = self.drains.values().max().copied();
        let end = last.unwrap_or_else(Instant::now) + ms(500);
        sleep(end.saturating_duration_since(Instant::now()));
    }

    /// Returns the endpoints that received attempts once their drain was binding.
    fn late_attempts(&self) -> Vec<String> {
        let mut late = Vec::new();
        for (id, bound) in &self.drains {
            let queries = self.cluster.endpoint(id).unwrap().received_queries();
            let received = queries.iter().map(|query| query.at);
            let late_ones: Vec<Instant> = received.filter(|at| at > bound).collect();
            let span = late_ones.iter().min().zip(late_ones.iter().max());
            if let Some((first, last)) = span {
                let (count, first, last) = (late_ones.len(), *first - *bound, *last - *bound);
                late.push(format!(
                    "{id}: {count} attempts, {first:?} to {last:?} late"
                ));
            }
        }
        late
    }

    /// Returns the spans in which the agent should have served and rejected half of the requests or
    /// more, or got none.
    fn unserved(&self, observations: &[Observation]) -> Vec<String> {
        let mut unserved = Vec::new();
        for expectation in &self.expectations {
            let span = expectation.from..expectation.until;
            let in_span = || observations.iter().filter(|o| span.contains(&o.sent_at));
            let served = in_span().filter(|o| o.outcome == Outcome::Served).count();
            let rejected = in_span().filter(|o| o.outcome == Outcome::Rejected).count();
            if served <= rejected {
                let reason = expectation.reason;
                unserved.push(format!("{reason}: {served} served, {rejected} rejected"));
            }
        }
        unserved
    }
}

fn announce(discovery: &Discovery, id: &str) {
    discovery.update_entry(id, |entry| entry.state = "terminating".into());
}

fn connect(address: SocketAddr) -> io::Result<TestClient> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(runtime::TEST_TIMEOUT))?;
    stream.set_nodelay(true)?;
    stream.write_all(&pg::startup())?;
    let mut client = TestClient { stream };
    client.read_until_ready()?;
    Ok(client)
}

/// Sends requests one after another until `stop`, on a new connection after each lost one.
fn run_client(address: SocketAddr, stop: &AtomicBool) -> Vec<Observation> {
    let mut observations = Vec::new();
    let mut client = None;
    while !stop.load(Ordering::Relaxed) {
        if client.is_none() {
            client = connect(address).ok();
        }
        let sent_at = Instant::now();
        let reply = client.as_mut().map(|client: &mut TestClient| {
            client.send_query("view", DEADLINE_MS);
            client.read_reply()
        });
        let outcome = match reply {
            Some(Ok(Reply::Value(_))) => Outcome::Served,
            Some(Ok(_)) => Outcome::Rejected,
            Some(Err(_)) | None => {
                client = None;
                Outcome::Disconnected
            }
        };
        observations.push(Observation { sent_at, outcome });
        sleep(ms(10));
    }
    observations
}

/// Plays one seed and returns what was wrong.
fn play(seed: u64) -> Vec<String> {
    let mut play = Play::new(seed);
    let stop = AtomicBool::new(false);
    let address = play.agent.as_ref().unwrap().address().unwrap();
    let observations = std::thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| scope.spawn(|| run_client(address, &stop)))
            .collect();
        play.run();
        stop.store(true, Ordering::Relaxed);
        let joined = clients
            .into_iter()
            .flat_map(|client| client.join().unwrap());
        joined.collect::<Vec<Observation>>()
    });
    let count = |outcome| observations.iter().filter(|o| o.outcome == outcome).count();
    println!(
        "seed {seed}: {} drains, {} served, {} rejected",
        play.drains.len(),
        count(Outcome::Served),
        count(Outcome::Rejected)
    );
    let mut violations = play.late_attempts();
    violations.extend(play.unserved(&observations));
    if !violations.is_empty() {
        println!("seed {seed}: {:#?}", play.log);
        let log = play.agent.as_ref().map(AgentProcess::log);
        println!("seed {seed}: {}", log.unwrap_or_default());
    }
    violations
}

/// Reads the first and the last seed from a text such as `1-40` or `7`.
fn parse_seeds(text: &str) -> Option<(u64, u64)> {
    let (first, last) = text.split_once('-').unwrap_or((text, text));
    Some((first.trim().parse().ok()?, last.trim().parse().ok()?))
}

/// Guards against a list that lacks what counts as announced, after any order of outages, starts,
/// moves and silences.
#[test]
fn keeps_to_announced_drains_through_random_outages_starts_and_moves() {
    let (first, last) = match std::env::var("LIST_SOAK_SEEDS") {
        Ok(text) => parse_seeds(&text).expect("LIST_SOAK_SEEDS: expected a range such as 1-40"),
        Err(_) => DEFAULT_SEEDS,
    };
    let seeds: Vec<u64> = (first..=last).collect();
    let mut violations = Vec::new();
    for group in seeds.chunks(JOBS) {
        let played: Vec<_> = group
            .iter()
            .map(|seed| {
                (
                    *seed,
                    std::thread::spawn({
                        let seed = *seed;
                        move || play(seed)
                    }),
                )
            })
            .collect();
        for (seed, one) in played {
            let found = one.join().unwrap_or_else(|_| vec!["panicked".to_owned()]);
            violations.extend(found.into_iter().map(|text| format!("seed {seed}: {text}")));
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}
