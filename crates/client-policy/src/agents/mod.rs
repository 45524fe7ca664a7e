//! Which agent an attempt goes to, how gently an agent that failed is probed, and when a new
//! connection may be opened.
//!
//! Of the agents that admit a call, two are drawn and the one with fewer calls in flight is taken,
//! so that a slow agent gets fewer calls without being measured (power of two choices). An agent
//! that fails again and again is ejected for a time that doubles, by chance between half and the
//! whole of it; then it gets one call at a time, and twice as many with each that succeeds
//! ([`health`]). The first new connection after an agent was lost waits for a random part of the
//! reconnect spread, so that clients that were all cut off at the same moment return spread over it
//! without knowing of each other ([`connecting`]).

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

/// The shortest wait for an agent, so that a caller that waits never spins.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// What comes of asking for an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Selection {
    /// An attempt at the agent with this index has begun; its end is owed to
    /// [`AgentSelector::on_attempt_end`].
    Agent(usize),
    /// No agent before this time, unless an attempt ends before.
    NotBefore(Duration),
}

/// What the end of an attempt says of its agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptSignal {
    /// The agent responded, be it with a rejection.
    Success,
    /// The agent failed.
    Failure,
    /// Nothing, as when the caller gave up.
    Neutral,
}

/// Chooses among the agents of a service and paces the connections to them.
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

    /// When the agent may next admit an attempt, where that is known ahead.
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
    /// A selector among this many agents, all healthy. The seed determines every random choice.
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

    /// The health of this agent.
    pub fn health(&self, agent: usize) -> AgentHealth {
        let state = self.agents.get(agent);
        state.map_or(AgentHealth::Healthy, |state| state.health.state())
    }

    /// Attempts in flight at this agent.
    pub fn in_flight(&self, agent: usize) -> usize {
        self.agents.get(agent).map_or(0, |state| state.in_flight)
    }

    /// Draws an agent for an attempt, another than `excluded` where there is one.
    ///
    /// `has_idle_connection` tells of an agent whether a connection to it waits for a request:
    /// without one, an agent to which no connection may be opened yet cannot be reached.
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

    /// An attempt at this agent has ended.
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

    /// The agent said that it shuts down, or closed all its connections between requests.
    pub fn on_draining(&mut self, now: Duration, agent: usize) {
        let reconnect_at = self.draw_reconnect_time(now, agent);
        if let Some(state) = self.agents.get_mut(agent) {
            state.health.on_draining(now);
            state.gate.close_until(reconnect_at);
        }
    }

    /// The only connection to the agent was closed between requests: the agent may have gone, or
    /// made room for other clients.
    pub fn on_idle_close(&mut self, now: Duration, agent: usize) {
        let jitter = self.rng.gen_range(0.0..1.0);
        if let Some(state) = self.agents.get_mut(agent) {
            let spread = self.policy.reconnect_spread;
            state.gate.on_idle_close(now, spread, jitter);
        }
    }

    /// The connections to the agent broke, or it refused one: the next is opened at a time drawn
    /// from the reconnect spread, which doubles up to twice while the agent stays lost.
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

    /// Whether a connection to this agent may be opened now.
    pub fn try_connect(&mut self, now: Duration, agent: usize) -> ConnectDecision {
        match self.agents.get_mut(agent) {
            Some(state) => state.gate.try_connect(now, &self.policy),
            None => ConnectDecision::AtLimit,
        }
    }

    /// A connection that was being opened is open, or could not be opened.
    pub fn on_connect_end(&mut self, now: Duration, agent: usize, connected: bool) {
        if let Some(state) = self.agents.get_mut(agent) {
            state.gate.on_connect_end();
        }
        if !connected {
            self.on_connection_loss(now, agent);
        }
    }

    /// The lifetime of a new connection: its maximum, less up to a tenth by chance, so that
    /// connections opened together are not closed together.
    pub fn draw_connection_lifetime(&mut self) -> Duration {
        let part = self.rng.gen_range(0.9..1.0);
        self.policy.max_lifetime.mul_f64(part)
    }

    /// The agents that admit an attempt and to which a connection is there or may be opened.
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

    /// Of two agents drawn from the candidates, which are not empty, the one with fewer attempts in
    /// flight.
    fn draw_less_loaded(&mut self, candidates: &[usize]) -> usize {
        let first = candidates[self.rng.gen_range(0..candidates.len())];
        let second = candidates[self.rng.gen_range(0..candidates.len())];
        if self.agents[second].in_flight < self.agents[first].in_flight {
            second
        } else {
            first
        }
    }

    /// The first time at which an agent that is paused becomes available. Agents that are being
    /// probed become available as their attempts end.
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
