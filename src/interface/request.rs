//! Requests and the outcomes of their attempts.

use std::time::Duration;

/// A request as it arrives.
#[derive(Clone, Debug)]
pub struct Request {
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant, where it names one.
    pub tenant: Option<usize>,
    /// Hash of its idempotency or affinity key: equal keys give equal numbers at every agent.
    pub key: Option<u64>,
    /// Time left until its deadline.
    pub time_left: Duration,
    /// A rough hint of the work it costs, where the client gave one.
    pub estimated_work: Option<Duration>,
    /// Whether the client marked it as a retry.
    pub is_retry: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint answered with success.
    Succeeded,
    /// The endpoint answered with an error.
    Failed,
    /// The endpoint rejected it before any work was done.
    Rejected,
    /// No answer came in time.
    TimedOut,
    /// No connection to the endpoint came up.
    ConnectFailed,
    /// The connection broke while the answer was awaited.
    ConnectionLost,
    /// This agent stopped waiting.
    Cancelled,
    /// This agent never wrote it.
    NotSent,
}

impl Outcome {
    /// Whether the attempt provably had no effect.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// The end of one attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub latency: Duration,
    /// Whether its request has had the final answer.
    pub request_closed: bool,
    /// Requests in flight that the endpoint reported with its answer, late and rounded.
    pub reported_load: Option<f64>,
}
