//! When a new connection to one agent may be opened: not before its reconnect time, few at once,
//! and at a limited rate.

use crate::config::ConnectionPolicy;
use std::time::Duration;

/// An agent that closes an idle connection again within this time, and was reached in between,
/// evicts idle connections in favour of other clients, rather than being lost.
const EVICTION_REPEAT_WINDOW: Duration = Duration::from_secs(30);
/// The part of the reconnect spread that is used for an agent that evicts idle connections.
const EVICTION_SPREAD_PART: f64 = 0.1;
/// The reconnect spread doubles this many times at most while an agent stays lost.
const MAX_SPREAD_DOUBLINGS: u32 = 2;
/// Tokens that opening one connection costs.
const CONNECT_COST: f64 = 1.0;
/// The lowest rate that is divided by, in connections per second.
const MIN_RATE: f64 = 1e-3;
/// The longest wait for a token.
const MAX_TOKEN_WAIT_SECONDS: f64 = 60.0;
/// Added to the wait for a token, so that rounding never makes it end just before the token.
const TOKEN_WAIT_MARGIN: Duration = Duration::from_micros(1);

/// Whether a new connection may be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectDecision {
    /// Now; its end is owed to [`on_connect_end`](super::AgentSelector::on_connect_end).
    Connect,
    /// Not before this time.
    NotBefore(Duration),
    /// Not before another that is being opened ends.
    AtLimit,
}

/// Paces the new connections to one agent.
#[derive(Debug)]
pub struct ConnectionGate {
    connecting: usize,
    tokens: f64,
    refilled_at: Duration,
    /// No new connection before this time.
    closed_until: Duration,
    consecutive_losses: u32,
    last_idle_close: Option<Duration>,
}

impl ConnectionGate {
    /// A gate that is open, with all tokens.
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

    /// Whether no connection may be opened yet.
    pub fn is_closed(&self, now: Duration) -> bool {
        now < self.closed_until
    }

    /// When the gate opens, or opened.
    pub fn closed_until(&self) -> Duration {
        self.closed_until
    }

    /// Closes the gate until this time, or longer where it is closed for longer.
    pub fn close_until(&mut self, until: Duration) {
        self.closed_until = self.closed_until.max(until);
    }

    /// The factor on the reconnect spread after the losses so far.
    pub fn spread_factor(&self) -> u32 {
        1 << self.consecutive_losses.min(MAX_SPREAD_DOUBLINGS)
    }

    /// An attempt at the agent succeeded: it is no longer lost.
    pub fn on_success(&mut self) {
        self.consecutive_losses = 0;
    }

    /// The agent was lost; the next connection is opened at this time.
    pub fn on_loss(&mut self, reconnect_at: Duration) {
        self.closed_until = reconnect_at;
        self.consecutive_losses += 1;
    }

    /// The only connection was closed between requests. The first time in a while the next one
    /// waits as after a loss; when that happens again soon the agent evicts idle connections,
    /// and the next connection is opened within a tenth of the spread.
    pub fn on_idle_close(&mut self, now: Duration, spread: Duration, jitter: f64) {
        let previous = self.last_idle_close.replace(now);
        let is_eviction = previous.is_some_and(|at| now < at + EVICTION_REPEAT_WINDOW);
        let part = if is_eviction {
            jitter * EVICTION_SPREAD_PART
        } else {
            jitter
        };
        self.close_until(now + spread.mul_f64(part));
    }

    /// Whether a connection may be opened now; it is counted then.
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

    /// A connection is no longer being opened.
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
