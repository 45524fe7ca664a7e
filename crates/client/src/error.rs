//! Why a call has no value.

use crate::attempt_summary::AttemptSummary;
use crate::limits::{MAX_NAME_BYTES, MAX_VALUE_BYTES};
use std::time::Duration;
use thiserror::Error;

/// Why a call has no value.
///
/// The texts are part of the output of `tulipwall-call`.
#[derive(Clone, Debug, PartialEq, Error)]
#[non_exhaustive]
pub enum CallError {
    /// It did not run, or a repeat is harmless: the caller may ask again.
    #[error("denied{}", retry_after_clause(*.retry_after))]
    Rejected {
        /// The time before which the caller should not ask again, where one is known.
        retry_after: Option<Duration>,
        /// The attempts that were made.
        attempts: AttemptSummary,
    },
    /// It failed. Where `attempts.may_have_executed` is set and the class is not idempotent, it
    /// must not be asked again.
    #[error("scrapped ({code}); {}", execution_clause(.attempts))]
    Failed {
        /// The code of the agent's error (SQLSTATE), or the name of what ended the last attempt.
        code: String,
        /// The attempts that were made.
        attempts: AttemptSummary,
    },
    /// Its timeout is over.
    #[error("expired; {}", execution_clause(.attempts))]
    DeadlineExceeded {
        /// The attempts that were made.
        attempts: AttemptSummary,
    },
    /// More calls are in flight than the agents bear, or queue than may queue: it was not sent.
    #[error("shed: more calls are in flight than the agents bear")]
    Overloaded,
    /// The call itself is wrong; it was not sent.
    #[error("faulty call: {0}")]
    InvalidCall(#[from] InvalidCall),
}

impl CallError {
    /// The attempts that were made, where the call came to any.
    pub fn attempts(&self) -> Option<&AttemptSummary> {
        match self {
            CallError::Rejected { attempts, .. }
            | CallError::Failed { attempts, .. }
            | CallError::DeadlineExceeded { attempts } => Some(attempts),
            CallError::Overloaded | CallError::InvalidCall(_) => None,
        }
    }

    /// The name in the output of `tulipwall-call`.
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
        Some(retry_after) => format!("; come back after {retry_after:?}"),
        None => String::new(),
    }
}

fn execution_clause(attempts: &AttemptSummary) -> &'static str {
    if attempts.may_have_executed {
        "it may have run"
    } else {
        "it never ran"
    }
}

/// What is wrong with a call.
///
/// The texts name a field as the input of `tulipwall-call` does.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum InvalidCall {
    /// A name that is empty, too long, or has other than the allowed characters.
    #[error("{field}: 1 to {MAX_NAME_BYTES} letters, digits or any of _-.: are wanted")]
    Name {
        /// The field of the call.
        field: &'static str,
    },
    /// The value that is to be written is too long.
    #[error("value: {MAX_VALUE_BYTES} bytes at most are wanted")]
    ValueTooLong,
    /// The caller does not wait at all.
    #[error("expiry: more than nothing is wanted")]
    ZeroTimeout,
    /// The service has no class of this name.
    #[error("lane: '{class}' is not one of this service")]
    UnknownClass {
        /// The name that was given.
        class: String,
    },
    /// A call with the same deduplication key is in flight.
    #[error("key: another call with it is in hand")]
    KeyInUse,
}
