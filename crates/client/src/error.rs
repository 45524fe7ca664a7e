//! The errors of calls.

use crate::attempt_summary::AttemptSummary;
use crate::limits::{MAX_NAME_BYTES, MAX_VALUE_BYTES};
use std::time::Duration;
use thiserror::Error;

/// Why a call returned no value.
///
/// The messages are part of the output of `tulipwall-call`.
#[derive(Clone, Debug, PartialEq, Error)]
#[non_exhaustive]
pub enum CallError {
    /// The call was rejected. It did not run or is idempotent, so that the caller may repeat it.
    #[error("denied{}", retry_after_clause(*.retry_after))]
    Rejected {
        /// How long the caller should wait before it repeats the call; `None` if unknown.
        retry_after: Option<Duration>,
        /// The attempts that were made.
        attempts: AttemptSummary,
    },
    /// The call failed. If `attempts.may_have_executed` is set and the class is not idempotent, the
    /// call must not be repeated.
    #[error("scrapped ({code}); {}", execution_clause(.attempts))]
    Failed {
        /// The SQLSTATE of the agent's error, or the name of what ended the call, for example the
        /// outcome of the last attempt.
        code: String,
        /// The attempts that were made.
        attempts: AttemptSummary,
    },
    /// The timeout of the call has elapsed.
    #[error("expired; {}", execution_clause(.attempts))]
    DeadlineExceeded {
        /// The attempts that were made.
        attempts: AttemptSummary,
    },
    /// The concurrency limit was reached, or no connection became available in the queue. The call
    /// was not sent.
    #[error("shed: too many calls are in flight or queued")]
    Overloaded,
    /// The call is invalid and was not sent.
    #[error("faulty call: {0}")]
    InvalidCall(#[from] InvalidCall),
}

impl CallError {
    /// Returns the attempts that were made; `None` if the call was not admitted.
    pub fn attempts(&self) -> Option<&AttemptSummary> {
        match self {
            CallError::Rejected { attempts, .. }
            | CallError::Failed { attempts, .. }
            | CallError::DeadlineExceeded { attempts } => Some(attempts),
            CallError::Overloaded | CallError::InvalidCall(_) => None,
        }
    }

    /// Returns the name of the error in the output of `tulipwall-call`.
    pub fn as_str(&self) -> &'static str {
        match self {
            CallError::Rejected { .. } => "denied",
            CallError::Failed { .. } => "scrapped",
            CallError::DeadlineExceeded { .. } => "expired",
            CallError::Overloaded => "shed",
            CallError::InvalidCall(_) => "faulty",
        }
    }
}

fn retry_after_clause(retry_after: Option<Duration>) -> String {
    match retry_after {
        Some(retry_after) => format!("; retry after {retry_after:?}"),
        None => String::new(),
    }
}

fn execution_clause(attempts: &AttemptSummary) -> &'static str {
    if attempts.may_have_executed {
        "the request may have run"
    } else {
        "the request never ran"
    }
}

/// Why a call is invalid.
///
/// The messages use the field names of the input of `tulipwall-call`.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum InvalidCall {
    /// A name is empty, is too long, or contains a character that is not allowed.
    #[error("{field}: expected 1 to {MAX_NAME_BYTES} letters, digits or any of _-.:")]
    Name {
        /// The field that holds the name.
        field: &'static str,
    },
    /// The value to write is too long.
    #[error("value: expected at most {MAX_VALUE_BYTES} bytes")]
    ValueTooLong,
    /// The timeout of the call is zero.
    #[error("expiry: expected a duration above zero")]
    ZeroTimeout,
    /// The service has no class with this name.
    #[error("lane: the service has no class '{class}'")]
    UnknownClass {
        /// The unknown class name.
        class: String,
    },
    /// A call with the same deduplication key is in flight.
    #[error("key: another call with it is in hand")]
    KeyInUse,
}
