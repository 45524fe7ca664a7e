//! The health of one agent: ejection after consecutive failures, then probing with few calls.

use std::time::Duration;

/// The number of consecutive failures after which an agent is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// The maximum length of the first ejection. Each further ejection is up to twice as long.
pub const MIN_EJECTION: Duration = Duration::from_millis(100);
/// The limit on the doubled ejection time.
const MAX_EJECTION: Duration = Duration::from_secs(5);
/// How long an agent that is shutting down gets no attempts.
const DRAINING_PAUSE: Duration = Duration::from_secs(2);
/// A success while probing with a limit of at least this many attempts in flight makes the agent
/// healthy.
const MAX_PROBING_IN_FLIGHT: usize = 32;

/// Whether an agent gets attempts, and how many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgentHealth {
    /// The agent gets attempts without a limit of its own.
    Healthy,
    /// The agent returns from an ejection or a shutdown and gets few attempts at a time.
    Probing {
        /// The maximum number of attempts in flight.
        max_in_flight: usize,
    },
    /// The agent failed repeatedly and gets no attempts.
    Ejected {
        /// The time at which probing starts.
        until: Duration,
    },
    /// The agent is shutting down and gets no attempts.
    Draining {
        /// The time at which probing starts, as a successor may then listen at its address.
        until: Duration,
    },
}

/// Tracks the health of one agent from the results of its attempts.
#[derive(Debug)]
pub struct HealthTracker {
    state: AgentHealth,
    consecutive_failures: u32,
    next_ejection: Duration,
}

impl HealthTracker {
    /// Creates the tracker of an agent without attempts, which counts as healthy.
    pub fn new() -> HealthTracker {
        HealthTracker {
            state: AgentHealth::Healthy,
            consecutive_failures: 0,
            next_ejection: MIN_EJECTION,
        }
    }

    /// Returns the health as of the last recorded event.
    pub fn state(&self) -> AgentHealth {
        self.state
    }

    /// Starts to probe the agent if its ejection or draining pause has ended.
    pub fn end_pause(&mut self, now: Duration) {
        match self.state {
            AgentHealth::Ejected { until } | AgentHealth::Draining { until } if now >= until => {
                self.state = AgentHealth::Probing { max_in_flight: 1 };
            }
            _ => {}
        }
    }

    /// Records a successful attempt. While probing, this doubles the limit on attempts in flight.
    pub fn on_success(&mut self) {
        self.consecutive_failures = 0;
        self.next_ejection = MIN_EJECTION;
        if let AgentHealth::Probing { max_in_flight } = self.state {
            self.state = if max_in_flight >= MAX_PROBING_IN_FLIGHT {
                AgentHealth::Healthy
            } else {
                AgentHealth::Probing {
                    max_in_flight: max_in_flight * 2,
                }
            };
        }
    }

    /// Records a failed attempt, which may eject the agent. The length of the ejection is
    /// multiplied by `jitter`, which lies between 0.5 and 1.
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

    /// Records that the agent is shutting down.
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
