//! Paces new connections to one agent: none before the reconnect time, few at the same time, and at
//! a limited rate.

use crate::config::ConnectionPolicy;
use std::time::Duration;

/// An agent that closes an idle connection twice within this time, and was reached in between, is
/// taken to evict idle connections in favor of other clients rather than to be lost.
const EVICTION_REPEAT_WINDOW: Duration = Duration::from_secs(30);
/// The fraction of the reconnect spread that applies to an agent that evicts idle connections.
const EVICTION_SPREAD_FRACTION: f64 = 0.1;
/// The reconnect spread doubles at most this many times while an agent stays lost.
const MAX_SPREAD_DOUBLINGS: u32 = 2;
/// The number of tokens that opening one connection costs.
const CONNECT_COST: f64 = 1.0;
/// A lower bound on the connect rate, in connections per second, that avoids a division by zero.
const MIN_RATE: f64 = 1e-3;
/// The longest wait for a token.
const MAX_TOKEN_WAIT_SECONDS: f64 = 60.0;
/// Added to the wait for a token, so that rounding never ends the wait just before the token is
/// there.
const TOKEN_WAIT_MARGIN: Duration = Duration::from_micros(1);

/// Whether a new connection may be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectDecision {
    /// The connection may be opened now. The caller must report the end of the connect to
    /// [`on_connect_end`](super::AgentSelector::on_connect_end).
    Connect,
    /// No connection may be opened before this time.
    NotBefore(Duration),
    /// The maximum number of connections is being opened. One of these has to finish first.
    AtLimit,
}

/// Paces the new connections to one agent.
#[derive(Debug)]
pub struct ConnectionGate {
    connecting: usize,
    tokens: f64,
    refilled_at: Duration,
    /// No new connection is opened before this time.
    closed_until: Duration,
    consecutive_losses: u32,
    last_idle_close: Option<Duration>,
}

impl ConnectionGate {
    /// Creates an open gate with a full token bucket.
    pub fn new(policy: &ConnectionPolicy) -> ConnectionGate {
        ConnectionGate {
            connecting: 0,
            tokens: policy.max_connecting as f64,
            refilled_at: Duration::ZERO,
            closed_until: Duration::ZERO,
            consecutive_losses: 0,
            last_idle_close: None,
        }
    }

    /// Returns whether the reconnect time is still ahead, so that no connection may be opened.
    pub fn is_closed(&self, now: Duration) -> bool {
        now < self.closed_until
    }

    /// Returns the time when the gate opens; a time in the past if the gate is open.
    pub fn closed_until(&self) -> Duration {
        self.closed_until
    }

    /// Closes the gate at least until this time. A later end that was set before stays.
    pub fn close_until(&mut self, until: Duration) {
        self.closed_until = self.closed_until.max(until);
    }

    /// Returns the factor on the reconnect spread, which doubles with each consecutive loss.
    pub fn spread_factor(&self) -> u32 {
        1 << self.consecutive_losses.min(MAX_SPREAD_DOUBLINGS)
    }

    /// Records a successful attempt, which ends a sequence of losses.
    pub fn on_success(&mut self) {
        self.consecutive_losses = 0;
    }

    /// Records that the agent was lost. The next connection may be opened at `reconnect_at`.
    pub fn on_loss(&mut self, reconnect_at: Duration) {
        self.closed_until = reconnect_at;
        self.consecutive_losses += 1;
    }

    /// Records that the only connection was closed between requests. The first time, the reconnect
    /// is delayed as after a loss. If it happens again within [`EVICTION_REPEAT_WINDOW`], the agent
    /// evicts idle connections, and the reconnect is delayed by at most a tenth of the spread.
    pub fn on_idle_close(&mut self, now: Duration, spread: Duration, jitter: f64) {
        let previous = self.last_idle_close.replace(now);
        let is_eviction = previous.is_some_and(|at| now < at + EVICTION_REPEAT_WINDOW);
        let fraction = if is_eviction {
            jitter * EVICTION_SPREAD_FRACTION
        } else {
            jitter
        };
        self.close_until(now + spread.mul_f64(fraction));
    }

    /// Decides whether a connection may be opened now. If so, it counts as being opened and spends
    /// a token.
    pub fn try_connect(&mut self, now: Duration, policy: &ConnectionPolicy) -> ConnectDecision {
        if self.is_closed(now) {
            return ConnectDecision::NotBefore(self.closed_until);
        }
        let max_connecting = policy.max_connecting.max(1);
        self.refill(now, policy.connects_per_second, max_connecting as f64);
        if self.connecting >= max_connecting {
            return ConnectDecision::AtLimit;
        }
        if self.tokens < CONNECT_COST {
            let missing = CONNECT_COST - self.tokens;
            let wait = missing / policy.connects_per_second.max(MIN_RATE);
            let wait = Duration::from_secs_f64(wait.min(MAX_TOKEN_WAIT_SECONDS));
            return ConnectDecision::NotBefore(now + wait + TOKEN_WAIT_MARGIN);
        }
        self.tokens -= CONNECT_COST;
        self.connecting += 1;
        ConnectDecision::Connect
    }

    /// Records that opening a connection has ended.
    pub fn on_connect_end(&mut self) {
        self.connecting = self.connecting.saturating_sub(1);
    }

    fn refill(&mut self, now: Duration, rate: f64, max_tokens: f64) {
        let elapsed = now.saturating_sub(self.refilled_at);
        let earned = elapsed.as_secs_f64() * rate;
        self.tokens = (self.tokens + earned).min(max_tokens);
        self.refilled_at = now;
    }
}
