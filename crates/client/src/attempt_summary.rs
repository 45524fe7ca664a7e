//! The summary of a call's attempts that is part of its result.

use std::net::SocketAddr;
use std::time::Duration;

/// A summary of the attempts that were made for a call.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AttemptSummary {
    /// The agent of each attempt, in order. An agent may occur more than once.
    pub agents: Vec<SocketAddr>,
    /// How each attempt before the last one ended, by the names used in logs and counters.
    pub failures: Vec<&'static str>,
    /// Whether the request may have run at any of the agents.
    pub may_have_executed: bool,
    /// The time from the start of the call to its end.
    pub elapsed: Duration,
}
