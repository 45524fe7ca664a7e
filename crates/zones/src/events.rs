//! Events that an agent reports about its attempts and connections.

use crate::budget::BudgetHold;
use crate::reason::OverBudgetReason;
use std::time::Duration;
use tulipwall::Outcome;

/// An attempt that is about to be sent.
#[derive(Clone, Copy, Debug)]
pub struct AttemptStart {
    /// The zone index of its endpoint.
    pub to: usize,
    /// The class index of its request.
    pub class: usize,
    /// The build number of its endpoint.
    pub build: u32,
    /// How many attempts of the same request preceded it.
    pub previous_attempts: usize,
    /// Whether another attempt of the same request is in flight.
    pub hedged: bool,
    /// Whether its build is a canary.
    pub is_canary: bool,
    /// Whether its request is deduplicated within a zone or cell where it may already have run.
    pub pinned_to_scope: bool,
}

/// The budget reservation of an attempt in flight, to be passed back when the attempt ends.
#[derive(Clone, Debug, PartialEq)]
pub struct Reservation {
    /// The zone index of its endpoint.
    pub to: usize,
    /// The class index of its request.
    pub class: usize,
    /// The build number of its endpoint.
    pub build: u32,
    /// Why it crossed although a budget was exhausted; `None` if no budget was.
    pub over_budget: Option<OverBudgetReason>,
    /// The amounts that it holds of the budgets.
    pub(crate) hold: BudgetHold,
}

/// The fault in the response on a connection that was lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ResponseFault {
    /// No fault in the bytes that were read.
    #[default]
    None,
    /// The response could not be parsed.
    Malformed,
    /// The response ended early.
    Truncated,
}

/// The result of one attempt, as observed on the socket.
#[derive(Clone, Copy, Debug)]
pub struct CompletedAttempt {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The fault in its response, if its connection was lost.
    pub fault: ResponseFault,
    /// Whether its last byte was written, which means that it may have run.
    pub fully_written: bool,
    /// Bytes written to the socket.
    pub bytes_sent: u64,
    /// Bytes read from the socket.
    pub bytes_received: u64,
    /// The time from the decision to send it until it ended.
    pub latency: Duration,
}

/// A connection that was opened, or that was closed while no attempt used it.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionTraffic {
    /// The zone index of its endpoint.
    pub to: usize,
    /// The build number of its endpoint.
    pub build: u32,
    /// Bytes written while no attempt used the connection.
    pub bytes_sent: u64,
    /// Bytes read while no attempt used the connection.
    pub bytes_received: u64,
    /// The time until the connection was ready for a request; `None` if it never was.
    pub handshake: Option<Duration>,
}
