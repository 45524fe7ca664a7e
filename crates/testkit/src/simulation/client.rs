//! Simulated clients: their requests, over all retries, and when they retry.

use super::ClientBehavior;
use std::time::Duration;
use tulipwall_client_policy::{AttemptHistory, AttemptOutcome, RetryController, RetryDecision};

/// Upper limit on the delay before a retry that an agent can ask a client for.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A client's request, over its first try and all retries.
#[derive(Clone, Debug)]
pub(super) struct ClientRequest {
    pub class: usize,
    /// When the client first sent the request.
    pub first_sent: Duration,
    pub key: Option<u64>,
    pub tries: AttemptHistory,
}

/// How a try of a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TryFailure {
    /// A retry is safe.
    Rejected,
    /// It is unknown whether the request ran.
    Failed,
}

/// Returns when the client retries; `None` if it gives up.
pub(super) fn retry_at(
    behavior: &ClientBehavior,
    retries: &mut RetryController,
    now: Duration,
    request: &mut ClientRequest,
    failure: TryFailure,
    retry_after: Option<Duration>,
) -> Option<Duration> {
    match behavior {
        ClientBehavior::NoRetries => None,
        ClientBehavior::FixedRetries {
            pause,
            max_attempts,
        } => {
            let at = now + *pause;
            let allowed = request.tries.attempts < *max_attempts && at < request.tries.deadline;
            allowed.then_some(at)
        }
        ClientBehavior::PolicyRetries(_) => {
            let outcome = match failure {
                TryFailure::Rejected => AttemptOutcome::Rejected {
                    retry_after: retry_after.map(|after| after.min(MAX_RETRY_AFTER)),
                },
                TryFailure::Failed => AttemptOutcome::Failed,
            };
            match retries.decide(now, &mut request.tries, 0, outcome) {
                RetryDecision::RetryAt(at) => Some(at),
                RetryDecision::GiveUp(_) => None,
            }
        }
    }
}

/// Requests whose clients wait to retry, in reusable slots.
#[derive(Default)]
pub(super) struct PendingRetries {
    slots: Vec<ClientRequest>,
    free: Vec<usize>,
}

impl PendingRetries {
    /// Stores a request and returns its slot.
    pub fn insert(&mut self, request: ClientRequest) -> usize {
        let slot = self.free.pop().unwrap_or(self.slots.len());
        match self.slots.get_mut(slot) {
            Some(place) => *place = request,
            None => self.slots.push(request),
        }
        slot
    }

    /// Removes the request from a slot and returns it.
    pub fn take(&mut self, slot: usize) -> ClientRequest {
        self.free.push(slot);
        self.slots[slot].clone()
    }
}
