//! Requests and the outcomes of their attempts.

use std::time::Duration;

/// A request on its arrival at the agent.
#[derive(Clone, Debug)]
pub struct Request {
    /// Index of its request class.
    pub class: usize,
    /// Index of its tenant. `None` if the request names no tenant.
    pub tenant: Option<usize>,
    /// Hash of its idempotency or affinity key: equal keys have equal hashes at every agent. `None`
    /// if the request has no key.
    pub key: Option<u64>,
    /// Time left until its deadline.
    pub time_left: Duration,
    /// The client's rough estimate of the work that the request causes. `None` if it gave none.
    pub estimated_work: Option<Duration>,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint responded with success.
    Succeeded,
    /// The endpoint responded with an error.
    Failed,
    /// The endpoint rejected the attempt before it did any work.
    Rejected,
    /// The endpoint did not respond in time.
    TimedOut,
    /// No connection to the endpoint could be established.
    ConnectFailed,
    /// The connection was lost while the response was pending.
    ConnectionLost,
    /// This agent cancelled the attempt.
    Cancelled,
    /// This agent did not write the attempt to a connection.
    NotSent,
}

impl Outcome {
    /// Whether the outcome proves that the attempt had no effect.
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
    /// Its outcome.
    pub outcome: Outcome,
    /// Time between the sending of the attempt and its end.
    pub latency: Duration,
    /// Whether the final response to its request has already been sent.
    pub request_closed: bool,
    /// Number of requests in flight that the endpoint reported with its response. The figure is
    /// delayed and rounded. `None` if it reported none.
    pub reported_load: Option<f64>,
}
