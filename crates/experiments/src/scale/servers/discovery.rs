//! Discovery of one service.

use super::{PendingInput, ServerCounts, DELAY};
use crate::scale::agent::AgentInput;
use crate::scale::meter::ProcessorTimer;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tulipwall_testkit::{registry, Entry, Registry};

const HTTP_OK: u16 = 200;
const HTTP_UNAVAILABLE: u16 = 503;
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// A call of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Caller {
    /// Number of the agent.
    pub agent: usize,
    /// Number of the call, unique at its agent.
    pub call: u64,
}

/// A watch that waits for a change.
#[derive(Clone, Copy)]
struct ParkedWatch {
    known_version: u64,
    until: Duration,
}

/// When a version of the endpoint list came about.
#[derive(Clone, Copy, Debug)]
pub struct ListVersion {
    /// When.
    pub at: Duration,
    /// The version.
    pub version: u64,
}

/// Calls are paid for from a token bucket, which holds as much as a second fills.
struct CallBudget {
    per_second: f64,
    tokens: f64,
    refilled_at: Duration,
    /// Whether calls that continue a watch are paid for, too.
    every_call: bool,
}

impl CallBudget {
    /// Pays for a call; whether there was enough.
    fn try_acquire(&mut self, now: Duration, starts_watch: bool) -> bool {
        let refill = now.saturating_sub(self.refilled_at).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + refill).min(self.per_second);
        self.refilled_at = now.max(self.refilled_at);
        if !starts_watch && !self.every_call {
            return true;
        }
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Discovery of one service in simulated time.
pub struct SimulatedDiscovery {
    /// The endpoint list.
    pub registry: Registry,
    /// When each version came about.
    pub versions: Vec<ListVersion>,
    /// What it has answered.
    pub counts: ServerCounts,
    parked: BTreeMap<Caller, ParkedWatch>,
    /// Responses by the version that the caller knows; none for the whole list.
    responses: HashMap<Option<u64>, Arc<Vec<u8>>>,
    budget: CallBudget,
}

impl SimulatedDiscovery {
    /// Answers `call_budget` calls a second, and as many at once after a quiet second. Calls that
    /// continue a watch cost nothing, unless `every_call` does.
    pub fn new(call_budget: f64, every_call: bool) -> SimulatedDiscovery {
        SimulatedDiscovery {
            registry: Registry::default(),
            versions: Vec::new(),
            counts: ServerCounts::default(),
            parked: BTreeMap::new(),
            responses: HashMap::new(),
            budget: CallBudget {
                per_second: call_budget,
                tokens: call_budget,
                refilled_at: Duration::ZERO,
                every_call,
            },
        }
    }

    /// The whole list, as a configuration's `known`.
    pub fn known_list(&self) -> Arc<Vec<u8>> {
        Arc::new(self.registry.full_list(0).to_string().into_bytes())
    }

    fn response(&mut self, known_version: Option<u64>) -> Arc<Vec<u8>> {
        let registry = &self.registry;
        let response = self.responses.entry(known_version).or_insert_with(|| {
            let list = match known_version {
                Some(version) => registry.changes_since(version, 0),
                None => registry.full_list(0),
            };
            Arc::new(registry::http_response(&list).into_bytes())
        });
        response.clone()
    }

    fn respond(
        &mut self,
        now: Duration,
        caller: Caller,
        known_version: Option<u64>,
        inputs: &mut Vec<PendingInput>,
    ) {
        let bytes = self.response(known_version);
        self.counts.count_bytes(now, bytes.len());
        inputs.push(response_input(now, caller, HTTP_OK, bytes));
    }

    /// Handles a call, which starts a watch or continues one.
    pub fn on_call(
        &mut self,
        now: Duration,
        caller: Caller,
        path: &str,
        starts_watch: bool,
        inputs: &mut Vec<PendingInput>,
    ) {
        let timer = ProcessorTimer::start();
        if !self.budget.try_acquire(now, starts_watch) {
            self.counts.count_refusal(now);
            let refusal = Arc::new(REFUSAL.to_vec());
            inputs.push(response_input(now, caller, HTTP_UNAVAILABLE, refusal));
            return;
        }
        self.counts.count_call(now);
        match registry::parse_watch(path) {
            Some((known_version, wait)) if known_version >= self.registry.version => {
                let watch = ParkedWatch {
                    known_version,
                    until: now + wait,
                };
                self.parked.insert(caller, watch);
            }
            Some((known_version, _)) => self.respond(now, caller, Some(known_version), inputs),
            None => self.respond(now, caller, None, inputs),
        }
        self.counts.ns += timer.elapsed_ns();
    }

    /// The caller has closed the connection of its call.
    pub fn on_close(&mut self, caller: Caller) {
        self.parked.remove(&caller);
    }

    /// These agents are out of reach from now on.
    pub fn disconnect(&mut self, agents: &BTreeSet<usize>) {
        self.parked
            .retain(|caller, _| !agents.contains(&caller.agent));
    }

    /// Changes entries of the list, and tells all who watch it.
    pub fn change(&mut self, now: Duration, entries: Vec<Entry>, inputs: &mut Vec<PendingInput>) {
        let timer = ProcessorTimer::start();
        self.registry.update(entries);
        self.responses.clear();
        self.versions.push(ListVersion {
            at: now,
            version: self.registry.version,
        });
        for (caller, watch) in std::mem::take(&mut self.parked) {
            self.respond(now, caller, Some(watch.known_version), inputs);
        }
        self.counts.ns += timer.elapsed_ns();
    }

    /// Ends the watches whose wait is over by now.
    pub fn expire(&mut self, now: Duration, inputs: &mut Vec<PendingInput>) {
        let expired: Vec<(Caller, ParkedWatch)> = self
            .parked
            .iter()
            .filter(|(_, watch)| watch.until <= now)
            .map(|(caller, watch)| (*caller, *watch))
            .collect();
        for (caller, watch) in expired {
            self.parked.remove(&caller);
            self.respond(now, caller, Some(watch.known_version), inputs);
        }
    }
}

fn response_input(now: Duration, caller: Caller, status: u16, bytes: Arc<Vec<u8>>) -> PendingInput {
    PendingInput {
        at: now + DELAY,
        agent: caller.agent,
        input: AgentInput::DiscoveryResponse {
            call: caller.call,
            status,
            bytes,
        },
    }
}
