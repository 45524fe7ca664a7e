//! What an agent reports of its attempts and connections.

use crate::budget::BudgetHold;
use crate::reason::OverBudgetReason;
use std::time::Duration;
use tulipwall::Outcome;

/// An attempt that is about to be sent.
#[derive(Clone, Copy, Debug)]
pub struct AttemptStart {
    /// The zone of its endpoint.
    pub to: usize,
    /// The class of its request.
    pub class: usize,
    /// The build of its endpoint.
    pub build: u32,
    /// How many attempts of its request came before.
    pub previous_attempts: usize,
    /// Another attempt of its request is in flight.
    pub hedged: bool,
    /// Its build is a canary.
    pub is_canary: bool,
    /// Its request is deduplicated within a zone or cell, and may have run there.
    pub pinned_to_scope: bool,
}

/// An attempt in flight, to be handed back when it ends.
#[derive(Clone, Debug, PartialEq)]
pub struct Reservation {
    /// The zone of its endpoint.
    pub to: usize,
    /// The class of its request.
    pub class: usize,
    /// The build of its endpoint.
    pub build: u32,
    /// Why it crossed although a budget was exhausted; `None` where none was.
    pub over_budget: Option<OverBudgetReason>,
    /// What it holds of the budgets.
    pub(crate) hold: BudgetHold,
}

/// What was wrong with the response of a connection that was lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ResponseFault {
    /// Nothing, as far as it was read.
    #[default]
    None,
    /// It could not be parsed.
    Malformed,
    /// It stopped short of its end.
    Truncated,
}

/// How one attempt ended, as seen on the socket.
#[derive(Clone, Copy, Debug)]
pub struct CompletedAttempt {
    /// Its outcome.
    pub outcome: Outcome,
    /// What was wrong with its response.
    pub fault: ResponseFault,
    /// Its last byte was written, so that it may have run.
    pub fully_written: bool,
    /// Bytes written.
    pub bytes_sent: u64,
    /// Bytes read.
    pub bytes_received: u64,
    /// From the decision to send it until it ended.
    pub latency: Duration,
}

/// A connection that was opened, or that was closed while no attempt used it.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionTraffic {
    /// The zone of its endpoint.
    pub to: usize,
    /// The build of its endpoint.
    pub build: u32,
    /// Bytes written.
    pub bytes_sent: u64,
    /// Bytes read.
    pub bytes_received: u64,
    /// How long it took until it was ready for a request; `None` where it never was.
    pub handshake: Option<Duration>,
}
