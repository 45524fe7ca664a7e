//! The rules of the service as they are seen from outside, and what breaks them.

use std::time::Duration;
use thiserror::Error;
use tulipwall::EndpointState;

/// A broken rule: what a checker observed that must never happen.
///
/// The rules, by number:
///
/// 1. Each request gets exactly one answer, in time, and is not sent after it.
/// 2. What may not simply be repeated runs once.
/// 3. Nothing is sent to an endpoint that is known to drain or to be gone.
/// 4. An endpoint in slow start is not overloaded.
/// 5. A build on trial gets no more than its cap and a small burst.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum Violation {
    /// Rule 1: a request was never answered.
    #[error("rule 1: request {request} of class {class} has no answer")]
    Unanswered {
        /// Id of the request at its agent.
        request: u64,
        /// Index of its class.
        class: usize,
    },
    /// Rule 1: a decision was taken for a request that is open past its deadline.
    #[error("rule 1: request {request} is late")]
    OpenPastDeadline {
        /// Id of the request at its agent.
        request: u64,
    },
    /// Rule 1: an answer came past the request's deadline.
    #[error("rule 1: request {request} was answered late")]
    AnsweredLate {
        /// Id of the request at its agent.
        request: u64,
    },
    /// Rule 1: a request was answered more than once.
    #[error("rule 1: request {request} has two answers")]
    AnsweredTwice {
        /// Id of the request at its agent.
        request: u64,
    },
    /// Rule 1: an attempt was sent after the request's answer.
    #[error("rule 1: request {request} was sent after its answer")]
    SentAfterAnswer {
        /// Id of the request at its agent.
        request: u64,
    },
    /// Rule 2: a request ran where a repetition has an effect of its own.
    #[error("rule 2: request {request} of class {class} ran twice")]
    RanTwice {
        /// Id of the request at its agent.
        request: u64,
        /// Index of its class.
        class: usize,
    },
    /// Rule 2: the client was told that a retry is safe, though the request had run.
    #[error("rule 2: request {request} was rejected and had run")]
    RejectedAfterRun {
        /// Id of the request at its agent.
        request: u64,
    },
    /// Rule 3: an attempt went to an endpoint that had been reported as leaving.
    #[error("rule 3: request {request} went to endpoint {endpoint}, {state:?}")]
    SentToLeaving {
        /// Id of the request at its agent.
        request: u64,
        /// Index of the endpoint.
        endpoint: usize,
        /// The endpoint's true state.
        state: EndpointState,
    },
    /// Rule 4: an endpoint in slow start got more work than it stands.
    #[error("rule 4: endpoint {endpoint} in slow start got {work:.2} core-seconds in {window:?}")]
    SlowStartOverload {
        /// Index of the endpoint.
        endpoint: usize,
        /// Work that came within the window, in core-seconds.
        work: f64,
        /// The overload window of the settings.
        window: Duration,
    },
    /// Rule 5: an agent sent more to a build on trial than its cap allows.
    #[error("rule 5: agent {agent} exposes {exposed:.2} above {burst}")]
    Overexposure {
        /// Index of the agent.
        agent: usize,
        /// Attempts beyond the cap.
        exposed: f64,
        /// Attempts beyond the cap that are allowed.
        burst: f64,
    },
}
