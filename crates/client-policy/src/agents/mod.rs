//! Selects the agent of each attempt, limits the calls to an agent that recovers from failures, and
//! paces new connections.
//!
//! Of the agents that admit a call, two are drawn at random and the one with fewer calls in flight
//! is chosen, so that a slow agent gets fewer calls without a latency measurement (power of two
//! choices). An agent that fails repeatedly is ejected for a time that doubles with each ejection,
//! with a jitter between half and the whole of it. Then it is probed with one call at a time, and
//! with twice as many after each success ([`health`]). The first reconnect after an agent was lost
//! is delayed by a random fraction of the reconnect spread, so that clients that were disconnected
//! at the same moment reconnect spread over that time without coordination ([`connecting`]).

mod connecting;
mod health;

pub use connecting::ConnectDecision;
pub use health::AgentHealth;

use crate::config::ConnectionPolicy;
use connecting::ConnectionGate;
use health::HealthTracker;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// The shortest wait for an agent, which keeps a waiting caller from busy-looping.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// The result of selecting an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Selection {
    /// The attempt goes to the agent with this index. The attempt counts as in flight until the
    /// caller reports its end to [`AgentSelector::on_attempt_end`].
    Agent(usize),
    /// No agent is available before this time, unless an attempt in flight ends earlier.
    NotBefore(Duration),
}

/// What the end of an attempt indicates about the health of its agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptSignal {
    /// The agent responded; a rejection counts as a response.
    Success,
    /// The agent failed.
    Failure,
    /// The attempt ended without information about the agent, for example because the caller gave
    /// up.
    Neutral,
}

/// Selects among the agents of a service and paces the connections to them.
#[derive(Debug)]
pub struct AgentSelector {
    policy: ConnectionPolicy,
    agents: Vec<AgentState>,
    rng: Pcg64Mcg,
}

#[derive(Debug)]
struct AgentState {
    in_flight: usize,
    health: HealthTracker,
    gate: ConnectionGate,
}

impl AgentState {
    fn admits_attempt(&self) -> bool {
        match self.health.state() {
            AgentHealth::Healthy => true,
            AgentHealth::Probing { max_in_flight } => self.in_flight < max_in_flight,
            AgentHealth::Ejected { .. } | AgentHealth::Draining { .. } => false,
        }
    }

    /// Returns when the agent may next admit an attempt; `None` if that depends on attempts in
    /// flight.
    fn available_at(&self, now: Duration) -> Option<Duration> {
        match self.health.state() {
            AgentHealth::Ejected { until } | AgentHealth::Draining { until } => {
                Some(until.max(self.gate.closed_until()))
            }
            AgentHealth::Healthy | AgentHealth::Probing { .. } => {
                let closed = self.gate.is_closed(now);
                closed.then(|| self.gate.closed_until())
            }
        }
    }
}

impl AgentSelector {
    /// Creates a selector for this many agents, all healthy. The seed determines every random
    /// choice.
    pub fn new(policy: ConnectionPolicy, agents: usize, seed: u64) -> AgentSelector {
        let new_agent = |_| AgentState {
            in_flight: 0,
            health: HealthTracker::new(),
            gate: ConnectionGate::new(&policy),
        };
        AgentSelector {
            agents: (0..agents).map(new_agent).collect(),
            policy,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Returns the health of this agent. An agent with an unknown index counts as healthy.
    pub fn health(&self, agent: usize) -> AgentHealth {
        let state = self.agents.get(agent);
        state.map_or(AgentHealth::Healthy, |state| state.health.state())
    }

    /// Returns the number of attempts in flight at this agent.
    pub fn in_flight(&self, agent: usize) -> usize {
        self.agents.get(agent).map_or(0, |state| state.in_flight)
    }

    /// Selects an agent for an attempt. The agent `excluded` is selected only if no other one is
    /// available.
    ///
    /// `has_idle_connection` returns whether the pool holds an idle connection to an agent. An
    /// agent without one is not selected while no new connection to it may be opened.
    pub fn select(
        &mut self,
        now: Duration,
        excluded: Option<usize>,
        has_idle_connection: impl Fn(usize) -> bool,
    ) -> Selection {
        for agent in &mut self.agents {
            agent.health.end_pause(now);
        }
        let reachable = self.reachable_agents(now, has_idle_connection);
        let others: Vec<usize> = reachable
            .iter()
            .copied()
            .filter(|agent| Some(*agent) != excluded)
            .collect();
        let candidates = if others.is_empty() { reachable } else { others };
        if candidates.is_empty() {
            return Selection::NotBefore(self.next_availability(now));
        }
        let agent = self.draw_less_loaded(&candidates);
        self.agents[agent].in_flight += 1;
        Selection::Agent(agent)
    }

    /// Records the end of an attempt at this agent.
    pub fn on_attempt_end(&mut self, now: Duration, agent: usize, signal: AttemptSignal) {
        let jitter = self.rng.gen_range(0.5..1.0);
        let Some(state) = self.agents.get_mut(agent) else {
            return;
        };
        state.in_flight = state.in_flight.saturating_sub(1);
        match signal {
            AttemptSignal::Success => {
                state.health.on_success();
                state.gate.on_success();
            }
            AttemptSignal::Failure => state.health.on_failure(now, jitter),
            AttemptSignal::Neutral => {}
        }
    }

    /// Records that the agent announced its shutdown, or closed all its connections between
    /// requests.
    pub fn on_draining(&mut self, now: Duration, agent: usize) {
        let reconnect_at = self.draw_reconnect_time(now, agent);
        if let Some(state) = self.agents.get_mut(agent) {
            state.health.on_draining(now);
            state.gate.close_until(reconnect_at);
        }
    }

    /// Records that the only connection to the agent was closed between requests. The agent may be
    /// lost, or may have evicted the idle connection to serve other clients.
    pub fn on_idle_close(&mut self, now: Duration, agent: usize) {
        let jitter = self.rng.gen_range(0.0..1.0);
        if let Some(state) = self.agents.get_mut(agent) {
            let spread = self.policy.reconnect_spread;
            state.gate.on_idle_close(now, spread, jitter);
        }
    }

    /// Records that the connections to the agent broke, or that it refused one. The next connection
    /// is opened at a random time within the reconnect spread, which doubles up to twice while the
    /// agent stays lost.
    pub fn on_connection_loss(&mut self, now: Duration, agent: usize) {
        let state = self.agents.get(agent);
        if state.is_some_and(|state| state.gate.is_closed(now)) {
            return;
        }
        let reconnect_at = self.draw_reconnect_time(now, agent);
        if let Some(state) = self.agents.get_mut(agent) {
            state.gate.on_loss(reconnect_at);
        }
    }

    /// Decides whether a connection to this agent may be opened now. If so, the caller must report
    /// the end of the connect to [`AgentSelector::on_connect_end`].
    pub fn try_connect(&mut self, now: Duration, agent: usize) -> ConnectDecision {
        match self.agents.get_mut(agent) {
            Some(state) => state.gate.try_connect(now, &self.policy),
            None => ConnectDecision::AtLimit,
        }
    }

    /// Records that opening a connection to this agent ended. With `connected` false, the agent
    /// counts as lost.
    pub fn on_connect_end(&mut self, now: Duration, agent: usize, connected: bool) {
        if let Some(state) = self.agents.get_mut(agent) {
            state.gate.on_connect_end();
        }
        if !connected {
            self.on_connection_loss(now, agent);
        }
    }

    /// Returns a random lifetime for a new connection, between 0.9 of the maximum and the maximum,
    /// so that connections opened together are not closed together.
    pub fn draw_connection_lifetime(&mut self) -> Duration {
        let fraction = self.rng.gen_range(0.9..1.0);
        self.policy.max_lifetime.mul_f64(fraction)
    }

    /// Returns the agents that admit an attempt and to which a connection is idle or may be opened.
    fn reachable_agents(
        &self,
        now: Duration,
        has_idle_connection: impl Fn(usize) -> bool,
    ) -> Vec<usize> {
        let reachable = |agent: &usize| {
            let state = &self.agents[*agent];
            let connectable = || !state.gate.is_closed(now) || has_idle_connection(*agent);
            state.admits_attempt() && connectable()
        };
        (0..self.agents.len()).filter(reachable).collect()
    }

    /// Draws two of the candidates at random and returns the one with fewer attempts in flight.
    /// `candidates` must not be empty.
    fn draw_less_loaded(&mut self, candidates: &[usize]) -> usize {
        let first = candidates[self.rng.gen_range(0..candidates.len())];
        let second = candidates[self.rng.gen_range(0..candidates.len())];
        if self.agents[second].in_flight < self.agents[first].in_flight {
            second
        } else {
            first
        }
    }

    /// Returns the earliest time at which a paused agent becomes available. Agents that are being
    /// probed have no such time: they become available when their attempts end.
    fn next_availability(&self, now: Duration) -> Duration {
        let times = self.agents.iter().filter_map(|a| a.available_at(now));
        let first = times.min().unwrap_or(now + health::MIN_EJECTION);
        first.max(now + MIN_WAIT)
    }

    fn draw_reconnect_time(&mut self, now: Duration, agent: usize) -> Duration {
        let state = self.agents.get(agent);
        let factor = state.map_or(1, |state| state.gate.spread_factor());
        let spread = self.policy.reconnect_spread.saturating_mul(factor);
        now + spread.mul_f64(self.rng.gen_range(0.0..1.0))
    }
}
