//! What a call went through.

use std::net::SocketAddr;
use std::time::Duration;

/// The attempts that were made for a call.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AttemptSummary {
    /// The agents that were tried, in their order; an agent may come again.
    pub agents: Vec<SocketAddr>,
    /// How each attempt but the last ended, as logs and counters name it.
    pub failures: Vec<&'static str>,
    /// Whether the request may have run at any of the agents.
    pub may_have_executed: bool,
    /// From the beginning of the call to its end.
    pub elapsed: Duration,
}
