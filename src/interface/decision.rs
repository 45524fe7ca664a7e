//! What the balancer answers.

use super::Vote;
use std::time::Duration;

/// What to do with a request now.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Forward it to this endpoint.
    Forward {
        /// Index of the endpoint.
        endpoint: usize,
        /// How long to wait for the endpoint's answer.
        timeout: Duration,
        /// When to ask the balancer again if the attempt is still in flight then.
        recheck_at: Option<Duration>,
    },
    /// Keep it queued and ask again.
    Defer {
        /// When to ask again.
        until: Duration,
    },
    /// Answer finally with a rejection, which promises that the request had no effect.
    Reject {
        /// How long the client should wait before a retry, where that may be named.
        retry_after: Option<Duration>,
    },
    /// Answer finally with a failure, which promises nothing about effects.
    Fail,
    /// Stop waiting for an attempt: another one will answer, or the request has been answered.
    Cancel {
        /// Number of the attempt within its request.
        attempt: usize,
    },
    /// Do nothing: an attempt is still in flight, or no answer is owed.
    Await,
}

/// What is due at a poll, and when to poll again.
#[derive(Clone, Debug, Default)]
pub struct PollResult {
    /// When to poll next, at the latest.
    pub next_poll: Duration,
    /// A vote to send to the rollout platform.
    pub vote: Option<Vote>,
    /// Whether a call for the endpoint list should be made or a watch opened.
    pub open_watch: bool,
    /// Endpoints to ask for their load.
    pub load_report_requests: Vec<usize>,
    /// Lines for the operators' log.
    pub log_lines: Vec<String>,
}
