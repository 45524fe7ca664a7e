//! What the balancer returns: decisions on requests, and the actions that are due at a poll.

use super::Vote;
use std::time::Duration;

/// What the caller must do with a request now.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send an attempt to this endpoint.
    Forward {
        /// Index of the endpoint.
        endpoint: usize,
        /// How long to wait for the endpoint's response, from now on.
        timeout: Duration,
        /// When to ask the balancer again if the attempt is still in flight by then. `None` if
        /// there is no need to.
        recheck_at: Option<Duration>,
    },
    /// Keep the request queued and ask the balancer again later.
    Defer {
        /// When to ask the balancer again.
        until: Duration,
    },
    /// Send the client a final rejection, which guarantees that the request had no effect.
    Reject {
        /// How long the client should wait before a retry. `None` if the response must not say.
        retry_after: Option<Duration>,
    },
    /// Send the client a final failure, which does not rule out that the request had an effect.
    Fail,
    /// Stop waiting for an attempt, because another one is expected to respond or the request has
    /// already been answered.
    Cancel {
        /// Index of the attempt within its request, from 0.
        attempt: usize,
    },
    /// Do nothing: an attempt is still in flight, or the client is owed no response.
    Await,
}

/// The actions that are due at a poll, and when to poll again.
#[derive(Clone, Debug, Default)]
pub struct PollResult {
    /// Latest time for the next poll.
    pub next_poll: Duration,
    /// Vote to send to the rollout platform. `None` if no vote is due.
    pub vote: Option<Vote>,
    /// Whether to request the endpoint list, or to open a watch on it where it is pushed.
    pub open_watch: bool,
    /// Indices of the endpoints to ask for a load report.
    pub load_report_requests: Vec<usize>,
    /// Lines to write to the operators' log.
    pub log_lines: Vec<String>,
}
