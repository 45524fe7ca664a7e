//! The externally observable rules of the service, and their violations.

use std::time::Duration;
use thiserror::Error;
use tulipwall::EndpointState;

/// A rule violation that a checker observed.
///
/// The rules, by number:
///
/// 1. Each request gets exactly one answer, in time, and no attempt of it is sent afterwards.
/// 2. A request that is not idempotent runs once, unless endpoints deduplicate the repetition.
/// 3. No attempt is sent to an endpoint that is known to be draining or gone.
/// 4. An endpoint in slow start is not overloaded.
/// 5. A canary gets no more requests than its cap and a small burst.
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
    /// Rule 1: a decision was made for a request that is still open past its deadline.
    #[error("rule 1: request {request} is open past its deadline")]
    OpenPastDeadline {
        /// Id of the request at its agent.
        request: u64,
    },
    /// Rule 1: an answer was given past the request's deadline.
    #[error("rule 1: request {request} was answered past its deadline")]
    AnsweredLate {
        /// Id of the request at its agent.
        request: u64,
    },
    /// Rule 1: a request was answered more than once.
    #[error("rule 1: request {request} was answered more than once")]
    AnsweredTwice {
        /// Id of the request at its agent.
        request: u64,
    },
    /// Rule 1: an attempt was sent after the request's answer.
    #[error("rule 1: an attempt of request {request} was sent after its answer")]
    SentAfterAnswer {
        /// Id of the request at its agent.
        request: u64,
    },
    /// Rule 2: a request ran again where the repetition was not deduplicated.
    #[error("rule 2: request {request} of class {class} ran more than once")]
    RanTwice {
        /// Id of the request at its agent.
        request: u64,
        /// Index of its class.
        class: usize,
    },
    /// Rule 2: the client was told that a retry is safe although the request had run.
    #[error("rule 2: request {request} was rejected although it had run")]
    RejectedAfterRun {
        /// Id of the request at its agent.
        request: u64,
    },
    /// Rule 3: an attempt was sent to an endpoint that the agent knew to be draining or gone.
    #[error("rule 3: request {request} was sent to endpoint {endpoint} in state {state:?}")]
    SentToLeaving {
        /// Id of the request at its agent.
        request: u64,
        /// Index of the endpoint.
        endpoint: usize,
        /// The endpoint's true state.
        state: EndpointState,
    },
    /// Rule 4: an endpoint in slow start was overloaded.
    #[error("rule 4: endpoint {endpoint} in slow start got {work:.2} core-seconds in {window:?}")]
    SlowStartOverload {
        /// Index of the endpoint.
        endpoint: usize,
        /// Work that arrived within the window, in core-seconds.
        work: f64,
        /// The overload window of the settings.
        window: Duration,
    },
    /// Rule 5: an agent sent more attempts to a canary than its cap and burst allow.
    #[error("rule 5: agent {agent} exceeds the cap by {exposed:.2} attempts, burst {burst}")]
    Overexposure {
        /// Index of the agent.
        agent: usize,
        /// Attempts beyond the cap.
        exposed: f64,
        /// Attempts beyond the cap that are allowed.
        burst: f64,
    },
}
