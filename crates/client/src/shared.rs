//! What all calls of a client share.

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

/// The shared part of a client.
#[derive(Debug)]
pub struct Shared {
    pub config: ClientConfig,
    /// The zero of the times that the policies see.
    started_at: Instant,
    /// Makes the ids of this client differ from those of others.
    id_prefix: String,
    next_id: AtomicU64,
    state: Mutex<State>,
    /// Notified when a connection was put back, or a permit or guard was released.
    pub released: Event,
}

/// The mutable state of a client. It is locked for short sections and never across an `await`.
#[derive(Debug)]
pub struct State {
    pub retries: RetryController,
    pub agents: AgentSelector,
    pub concurrency: ConcurrencyLimit,
    /// By agent index.
    pub pools: Vec<Pool>,
    /// Calls that queue for a connection.
    pub queued: usize,
    /// The keys of deduplicated calls in flight.
    pub active_keys: BTreeSet<String>,
    pub counters: Counters,
    /// By class index.
    pub classes: Vec<ClassStats>,
}

impl Shared {
    /// The state of a client that has made no call.
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

    /// The locked state. A panic of another call leaves it usable: every section only moves
    /// counters and whole entries.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// The time that the policies see.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// The instant of a time that a policy named.
    pub fn instant(&self, time: Duration) -> Instant {
        self.started_at + time
    }

    /// Wakes all that wait for a connection or an agent.
    pub fn notify_released(&self) {
        self.released.notify(usize::MAX);
    }

    /// An id that no other attempt has.
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
            // Another seed, so that backoffs and the choice of agents are independent.
            agents: AgentSelector::new(config.connections.clone(), agents, seed ^ 1),
            concurrency: ConcurrencyLimit::new(config.concurrency.clone(), &config.classes),
            pools: (0..agents).map(|_| Pool::default()).collect(),
            queued: 0,
            active_keys: BTreeSet::new(),
            counters: Counters::default(),
            classes: config.classes.iter().map(class_stats).collect(),
        }
    }

    /// The counters and gauges as they stand.
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

    /// A connection to this agent was closed by it, or broke. If others that are idle are still
    /// open, that was all. If all are closed, the agent has gone, or is going.
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

    /// An agent for an attempt, another than `excluded` where there is one.
    pub fn select_agent(&mut self, now: Duration, excluded: Option<usize>) -> Selection {
        let pools = &self.pools;
        self.agents
            .select(now, excluded, |agent| pools[agent].has_idle())
    }

    /// Counts an attempt that ended without a value, and tells the policies but that of retries.
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
