//! The outcomes of the attempts of one call, and whether the call may be sent again.

use std::time::Duration;
use tulipwall::{DeduplicationScope, Idempotency};

/// How an attempt that returned no value ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The agent rejected the request before it ran, so a retry is safe.
    Rejected {
        /// How long the agent asks to wait before a retry; `None` if it did not say.
        retry_after: Option<Duration>,
    },
    /// The agent is shutting down (57P03) and rejected the request before it ran.
    Draining,
    /// The request was not written up to its last byte, because the connection was refused, could
    /// not be opened, or broke first. The request never ran.
    NotSent,
    /// A connection that had been used before was closed without a byte of a response: the agent
    /// may have closed it as idle while the request was in transit.
    StaleConnection,
    /// The connection broke after the whole request was written.
    ConnectionLost,
    /// The agent answered with an error that does not rule out that the request ran.
    Failed,
    /// The agent sent bytes that are not a valid response.
    MalformedResponse,
    /// No response arrived before the deadline.
    TimedOut,
}

impl AttemptOutcome {
    /// Returns whether the request may have run, or may still run.
    pub fn may_have_executed(self) -> bool {
        match self {
            AttemptOutcome::Rejected { .. } => false,
            AttemptOutcome::Draining | AttemptOutcome::NotSent => false,
            AttemptOutcome::StaleConnection
            | AttemptOutcome::ConnectionLost
            | AttemptOutcome::Failed
            | AttemptOutcome::MalformedResponse
            | AttemptOutcome::TimedOut => true,
        }
    }

    /// Returns the name used in logs, counters and the output of `tulipwall-call`.
    pub fn as_str(self) -> &'static str {
        match self {
            AttemptOutcome::Rejected { .. } => "denied",
            AttemptOutcome::Draining => "leaving",
            AttemptOutcome::NotSent => "not_sent",
            AttemptOutcome::StaleConnection => "crossed",
            AttemptOutcome::ConnectionLost => "broken",
            AttemptOutcome::Failed => "failed",
            AttemptOutcome::MalformedResponse => "garbage",
            AttemptOutcome::TimedOut => "late",
        }
    }
}

/// Why a call is not attempted again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// The request may have run and must not run twice.
    NotRepeatable,
    /// The request may have run, and the window in which the service recognizes a repeat has ended.
    DeduplicationWindowExpired,
    /// The call has used all attempts that the policy allows.
    AttemptLimit,
    /// The retry budget is exhausted.
    RetryBudget,
    /// The next attempt would start at or after the deadline of the call.
    Deadline,
}

impl GiveUpReason {
    /// Returns the name used in logs, counters and the output of `tulipwall-call`.
    pub fn as_str(self) -> &'static str {
        match self {
            GiveUpReason::NotRepeatable => "may_not_repeat",
            GiveUpReason::DeduplicationWindowExpired => "window_over",
            GiveUpReason::AttemptLimit => "tries",
            GiveUpReason::RetryBudget => "tokens",
            GiveUpReason::Deadline => "expiry",
        }
    }
}

/// The history of the attempts of one call.
#[derive(Clone, Debug)]
pub struct AttemptHistory {
    /// Whether the call may run more than once.
    pub idempotency: Idempotency,
    /// No attempt starts at or after this time.
    pub deadline: Duration,
    /// The number of attempts started, including the one in progress.
    pub attempts: u32,
    /// The start of the first attempt that may have run; `None` if no attempt can have run.
    pub possibly_executed_since: Option<Duration>,
    /// Whether the single immediate resend after a stale connection was used.
    resent: bool,
    attempt_started: Duration,
}

impl AttemptHistory {
    /// Creates the history of a call that has not been attempted.
    pub fn new(idempotency: Idempotency, deadline: Duration) -> AttemptHistory {
        AttemptHistory {
            idempotency,
            deadline,
            attempts: 0,
            possibly_executed_since: None,
            resent: false,
            attempt_started: Duration::ZERO,
        }
    }

    /// Records that an attempt starts at this time.
    pub fn on_attempt_start(&mut self, now: Duration) {
        self.attempts += 1;
        self.attempt_started = now;
    }

    /// Returns whether any attempt may have run.
    pub fn may_have_executed(&self) -> bool {
        self.possibly_executed_since.is_some()
    }

    /// Checks whether the call may be sent at this time. This must be checked again right before
    /// sending, because the deduplication window may have ended since the retry was scheduled.
    ///
    /// # Errors
    ///
    /// Returns the reason why the call must not be sent, if an earlier attempt may have run.
    pub fn check_repeatable(&self, now: Duration) -> Result<(), GiveUpReason> {
        let Some(executed_since) = self.possibly_executed_since else {
            return Ok(());
        };
        match self.idempotency {
            Idempotency::Idempotent => Ok(()),
            Idempotency::Keyed {
                scope: DeduplicationScope::All,
                window,
            } => {
                if now < executed_since + window {
                    Ok(())
                } else {
                    Err(GiveUpReason::DeduplicationWindowExpired)
                }
            }
            // The next agent may choose another zone or cell, where the key is unknown.
            Idempotency::Keyed { .. } | Idempotency::NonIdempotent => {
                Err(GiveUpReason::NotRepeatable)
            }
        }
    }

    /// Records that the current attempt may have run.
    pub(crate) fn mark_possibly_executed(&mut self) {
        self.possibly_executed_since
            .get_or_insert(self.attempt_started);
    }

    /// Consumes the single immediate resend after a stale connection. Returns whether it was still
    /// available.
    pub(crate) fn take_resend(&mut self) -> bool {
        let available = !self.resent;
        self.resent = true;
        available
    }
}
