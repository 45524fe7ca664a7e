//! Simulated discovery of one service.

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

/// Identifies a call of an agent to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Caller {
    /// Number of the agent.
    pub agent: usize,
    /// Number of the call, unique at its agent.
    pub call: u64,
}

/// A watch that waits for a change of the list.
#[derive(Clone, Copy)]
struct ParkedWatch {
    /// Version of the list that the caller knows.
    known_version: u64,
    /// Time at which the watch ends without a change.
    until: Duration,
}

/// A version of the endpoint list and the time of the change that created it.
#[derive(Clone, Copy, Debug)]
pub struct ListVersion {
    /// Simulated time of the change.
    pub at: Duration,
    /// Version number.
    pub version: u64,
}

/// A token bucket that limits the rate of calls. Its capacity is the refill of one second.
struct CallBudget {
    per_second: f64,
    tokens: f64,
    refilled_at: Duration,
    /// Whether calls that continue a watch consume a token, too.
    every_call: bool,
}

impl CallBudget {
    /// Takes a token for a call if the call needs one. Returns whether the call is within the
    /// limit.
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
    /// The current endpoint list.
    pub registry: Registry,
    /// All versions of the list, in the order of their times.
    pub versions: Vec<ListVersion>,
    /// Calls and bytes that it has answered.
    pub counts: ServerCounts,
    parked: BTreeMap<Caller, ParkedWatch>,
    /// Cached responses by the version that the caller knows; the key `None` is the whole list.
    responses: HashMap<Option<u64>, Arc<Vec<u8>>>,
    budget: CallBudget,
}

impl SimulatedDiscovery {
    /// Creates a discovery that answers `call_budget` calls a second, with bursts of the same
    /// number after a second without calls. Calls that continue a watch are not limited, unless
    /// `every_call` is set.
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

    /// Returns the whole list as JSON, as in the field `known` of a configuration.
    pub fn known_list(&self) -> Arc<Vec<u8>> {
        Arc::new(self.registry.full_list(0).to_string().into_bytes())
    }

    /// Returns the response to a caller that knows this version of the list, from the cache if
    /// possible.
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

    /// Handles a call: refuses it if it exceeds the limit, responds if the caller's version is out
    /// of date, and otherwise keeps it waiting for a change.
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

    /// Ends the watch of a caller that has closed its connection.
    pub fn on_close(&mut self, caller: Caller) {
        self.parked.remove(&caller);
    }

    /// Closes the connections of agents that can no longer be reached, which ends their watches.
    pub fn disconnect(&mut self, agents: &BTreeSet<usize>) {
        self.parked
            .retain(|caller, _| !agents.contains(&caller.agent));
    }

    /// Changes entries of the list and responds to all waiting watches.
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

    /// Responds to the watches whose wait has ended.
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

/// Returns a response to a call as an input of the calling agent, after the network delay.
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
