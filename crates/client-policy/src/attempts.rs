//! How the attempts of one call ended, and whether the call may be sent once more.

use std::time::Duration;
use tulipwall::{DeduplicationScope, Idempotency};

/// How one attempt ended without a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The agent rejected it before it ran: a retry is safe.
    Rejected {
        /// The time before which the agent wants no retry, where it named one.
        retry_after: Option<Duration>,
    },
    /// The agent shuts down (57P03) and rejected it before it ran.
    Draining,
    /// Not written to its last byte, as the connection was refused, never opened, or broke before.
    /// It never ran.
    NotSent,
    /// The connection, used before, was closed without a byte of a response: the agent may have
    /// closed it as idle while the request was on its way.
    StaleConnection,
    /// Written whole, then the connection broke.
    ConnectionLost,
    /// The agent answered with an error that does not exclude that it ran.
    Failed,
    /// What came is no response.
    MalformedResponse,
    /// Nothing came before the deadline.
    TimedOut,
}

impl AttemptOutcome {
    /// Whether the request may have run, or may yet.
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

    /// The name in logs, counters and the output of `tulipwall-call`.
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
    /// It may have run, and must not run twice.
    NotRepeatable,
    /// It may have run, and the window in which the service recognizes its repeats is over.
    DeduplicationWindowExpired,
    /// It was attempted as often as the policy allows.
    AttemptLimit,
    /// The retry budget is spent.
    RetryBudget,
    /// The next attempt would begin at its deadline or later.
    Deadline,
}

impl GiveUpReason {
    /// The name in logs, counters and the output of `tulipwall-call`.
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

/// The attempts of one call so far.
#[derive(Clone, Debug)]
pub struct AttemptHistory {
    /// Whether the call may run more than once.
    pub idempotency: Idempotency,
    /// No attempt begins at this time or later.
    pub deadline: Duration,
    /// Attempts begun, the one that is out among them.
    pub attempts: u32,
    /// When the first attempt that may have run began.
    pub possibly_executed_since: Option<Duration>,
    /// Whether the one immediate resend after a stale connection was used.
    resent: bool,
    attempt_started: Duration,
}

impl AttemptHistory {
    /// The history of a call that was not attempted yet.
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

    /// An attempt begins.
    pub fn on_attempt_start(&mut self, now: Duration) {
        self.attempts += 1;
        self.attempt_started = now;
    }

    /// Whether any attempt may have run.
    pub fn may_have_executed(&self) -> bool {
        self.possibly_executed_since.is_some()
    }

    /// Whether the call may be sent at this time. Has to be asked again when it is sent, as its
    /// deduplication window may have ended since a retry was scheduled.
    ///
    /// # Errors
    ///
    /// Why it may not, if an earlier attempt may have run.
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
            // The next agent may choose another zone or cell, which does not know the key.
            Idempotency::Keyed { .. } | Idempotency::NonIdempotent => {
                Err(GiveUpReason::NotRepeatable)
            }
        }
    }

    /// Remembers that the attempt that is out may have run.
    pub(crate) fn mark_possibly_executed(&mut self) {
        self.possibly_executed_since
            .get_or_insert(self.attempt_started);
    }

    /// Uses the one immediate resend after a stale connection; whether it was still there.
    pub(crate) fn take_resend(&mut self) -> bool {
        let available = !self.resent;
        self.resent = true;
        available
    }
}
