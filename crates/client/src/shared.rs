//! The state that all calls of a client share.

use crate::pool::Pool;
use crate::stats::{ClassStats, ClientStats, Counters};
use event_listener::Event;
use rand::RngCore;
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tulipwall_client_policy::{
    AgentSelector, AttemptOutcome, ClientConfig, ConcurrencyLimit, RetryController, Selection,
};

/// The configuration and state of a client, shared by its handles and calls.
#[derive(Debug)]
pub struct Shared {
    pub config: ClientConfig,
    /// The origin of the times that are passed to the policies.
    started_at: Instant,
    /// A random prefix that makes the ids of this client differ from those of other clients.
    id_prefix: String,
    next_id: AtomicU64,
    state: Mutex<State>,
    /// Notified when a connection is returned to the pool, or a permit or guard is dropped.
    pub released: Event,
}

/// The mutable state of a client. It is locked only briefly and never across an `await`.
#[derive(Debug)]
pub struct State {
    pub retries: RetryController,
    pub agents: AgentSelector,
    pub concurrency: ConcurrencyLimit,
    /// The connection pools, indexed by agent.
    pub pools: Vec<Pool>,
    /// The number of calls that queue for a connection.
    pub queued: usize,
    /// The keys of deduplicated calls in flight.
    pub active_keys: BTreeSet<String>,
    pub counters: Counters,
    /// The statistics of each class, indexed by class.
    pub classes: Vec<ClassStats>,
}

impl Shared {
    /// Creates the state of a client that has made no call.
    pub fn new(config: ClientConfig) -> Shared {
        let mut rng = rand::thread_rng();
        let seed = rng.next_u64();
        Shared {
            state: Mutex::new(State::new(&config, seed)),
            config,
            started_at: Instant::now(),
            id_prefix: format!("{:016x}", rng.next_u64()),
            next_id: AtomicU64::new(0),
            released: Event::new(),
        }
    }

    /// Locks the state. A poisoned lock is ignored: the critical sections only update counters and
    /// whole entries, so that a panic of another call leaves the state consistent.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Returns the current time as passed to the policies: the time since the client's start.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Converts a time that a policy returned to an instant.
    pub fn instant(&self, time: Duration) -> Instant {
        self.started_at + time
    }

    /// Wakes all calls that wait for a connection or an agent.
    pub fn notify_released(&self) {
        self.released.notify(usize::MAX);
    }

    /// Returns a unique id, for an attempt or as a deduplication key.
    pub fn new_id(&self) -> String {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number:x}", self.id_prefix)
    }
}

impl State {
    fn new(config: &ClientConfig, seed: u64) -> State {
        let agents = config.agents.len();
        let class_stats = |class: &crate::RequestClass| ClassStats::new(&class.name);
        State {
            retries: RetryController::new(config.retry.clone(), agents, seed),
            // A different seed keeps the selection of agents independent of the backoffs.
            agents: AgentSelector::new(config.connections.clone(), agents, seed ^ 1),
            concurrency: ConcurrencyLimit::new(config.concurrency.clone(), &config.classes),
            pools: (0..agents).map(|_| Pool::default()).collect(),
            queued: 0,
            active_keys: BTreeSet::new(),
            counters: Counters::default(),
            classes: config.classes.iter().map(class_stats).collect(),
        }
    }

    /// Returns a snapshot of the counters and gauges.
    pub fn snapshot(&self) -> ClientStats {
        ClientStats {
            counters: self.counters.clone(),
            classes: self.classes.clone(),
            concurrency_limit: self.concurrency.limit(),
            in_flight: self.concurrency.in_flight(),
            retry_tokens: self.retries.available_tokens(),
            idle_connections: self.pools.iter().map(Pool::idle_count).collect(),
        }
    }

    /// Handles a connection that this agent closed or that broke. While another idle connection to
    /// the agent is still open, nothing else follows. If all are closed, the agent is lost or is
    /// shutting down.
    pub fn on_connection_broken(&mut self, now: Duration, agent: usize) {
        let idle_before = self.pools[agent].idle_count();
        let found_closed = self.pools[agent].remove_closed();
        self.counters.idle_found_closed += found_closed as u64;
        if found_closed < idle_before {
            return;
        }
        if idle_before == 0 {
            self.agents.on_idle_close(now, agent);
        } else if self.pools.len() > 1 {
            self.agents.on_draining(now, agent);
        } else {
            self.agents.on_connection_loss(now, agent);
        }
    }

    /// Selects an agent for an attempt. The agent `excluded` is selected only if no other one is
    /// available.
    pub fn select_agent(&mut self, now: Duration, excluded: Option<usize>) -> Selection {
        let pools = &self.pools;
        self.agents
            .select(now, excluded, |agent| pools[agent].has_idle())
    }

    /// Counts an attempt that returned no value, and updates all policies except the retry policy.
    pub fn on_attempt_failure(&mut self, now: Duration, agent: usize, outcome: AttemptOutcome) {
        self.counters.record_attempt_failure(outcome);
        match outcome {
            AttemptOutcome::Draining => self.agents.on_draining(now, agent),
            AttemptOutcome::ConnectionLost | AttemptOutcome::StaleConnection => {
                self.on_connection_broken(now, agent);
            }
            AttemptOutcome::Rejected { .. } | AttemptOutcome::TimedOut => {
                self.concurrency.on_overload(now);
            }
            AttemptOutcome::NotSent
            | AttemptOutcome::Failed
            | AttemptOutcome::MalformedResponse => {}
        }
    }

    /// Records a call that returned a value.
    pub fn on_call_success(
        &mut self,
        now: Duration,
        class: usize,
        attempts: u32,
        elapsed: Duration,
        latency_objective: Duration,
    ) {
        self.classes[class].record_success(attempts, elapsed);
        if elapsed <= latency_objective {
            self.concurrency.on_timely_response();
        } else {
            self.concurrency.on_overload(now);
        }
    }
}
