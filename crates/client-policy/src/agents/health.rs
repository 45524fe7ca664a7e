//! The health of one agent: ejection after consecutive failures, probing with few calls afterwards.

use std::time::Duration;

/// Consecutive failures after which an agent is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// The first ejection lasts up to this long; each further one twice as long.
pub const MIN_EJECTION: Duration = Duration::from_millis(100);
/// The limit on the doubled ejection.
const MAX_EJECTION: Duration = Duration::from_secs(5);
/// How long an agent that shuts down is passed over.
const DRAINING_PAUSE: Duration = Duration::from_secs(2);
/// A probe that succeeds while this many attempts are admitted ends the probing.
const HEALTHY_FROM: usize = 32;

/// Whether an agent gets attempts, and how many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgentHealth {
    /// It gets attempts without a limit of its own.
    Healthy,
    /// It returns from a pause and gets few attempts at a time.
    Probing {
        /// Attempts in flight at most.
        max_in_flight: usize,
    },
    /// It failed again and again and gets no attempts.
    Ejected {
        /// When it is probed again.
        until: Duration,
    },
    /// It shuts down and gets no attempts.
    Draining {
        /// When it is probed, as its successor may be there.
        until: Duration,
    },
}

/// Follows the health of one agent by how its attempts end.
#[derive(Debug)]
pub struct HealthTracker {
    state: AgentHealth,
    consecutive_failures: u32,
    next_ejection: Duration,
}

impl HealthTracker {
    /// The health of an agent that was not tried yet.
    pub fn new() -> HealthTracker {
        HealthTracker {
            state: AgentHealth::Healthy,
            consecutive_failures: 0,
            next_ejection: MIN_EJECTION,
        }
    }

    /// The health as of the last event.
    pub fn state(&self) -> AgentHealth {
        self.state
    }

    /// Begins to probe an agent whose pause is over.
    pub fn end_pause(&mut self, now: Duration) {
        match self.state {
            AgentHealth::Ejected { until } | AgentHealth::Draining { until } if now >= until => {
                self.state = AgentHealth::Probing { max_in_flight: 1 };
            }
            _ => {}
        }
    }

    /// An attempt succeeded: admits twice as many while probing.
    pub fn on_success(&mut self) {
        self.consecutive_failures = 0;
        self.next_ejection = MIN_EJECTION;
        if let AgentHealth::Probing { max_in_flight } = self.state {
            self.state = if max_in_flight >= HEALTHY_FROM {
                AgentHealth::Healthy
            } else {
                AgentHealth::Probing {
                    max_in_flight: max_in_flight * 2,
                }
            };
        }
    }

    /// `jitter`: the part of the ejection's length that is taken, if it comes to one.
    pub fn on_failure(&mut self, now: Duration, jitter: f64) {
        if let AgentHealth::Probing { .. } = self.state {
            self.eject(now, jitter);
            return;
        }
        self.consecutive_failures += 1;
        let ejected = matches!(self.state, AgentHealth::Ejected { .. });
        if self.consecutive_failures >= FAILURES_TO_EJECT && !ejected {
            self.eject(now, jitter);
        }
    }

    /// The agent shuts down.
    pub fn on_draining(&mut self, now: Duration) {
        self.state = AgentHealth::Draining {
            until: now + DRAINING_PAUSE,
        };
    }

    fn eject(&mut self, now: Duration, jitter: f64) {
        self.state = AgentHealth::Ejected {
            until: now + self.next_ejection.mul_f64(jitter),
        };
        self.next_ejection = (self.next_ejection * 2).min(MAX_EJECTION);
        self.consecutive_failures = 0;
    }
}
