//! Simulated clients: what they want, over all their tries, and when they retry.

use super::ClientBehavior;
use std::time::Duration;
use tulipwall_client_policy::{AttemptHistory, AttemptOutcome, RetryController, RetryDecision};

/// No client waits longer than this before a retry, whatever the agent asks for.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(500);

/// What a client wants, over all its tries.
#[derive(Clone, Debug)]
pub(super) struct ClientRequest {
    pub class: usize,
    /// When it was first asked for.
    pub first_asked: Duration,
    pub key: Option<u64>,
    pub tries: AttemptHistory,
}

/// How a try ended without success.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TryFailure {
    /// A retry is safe.
    Rejected,
    /// Nothing is known of what became of it.
    Failed,
}

/// When the client retries; `None` where it gives up.
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
            let ended = match failure {
                TryFailure::Rejected => AttemptOutcome::Rejected {
                    retry_after: retry_after.map(|after| after.min(MAX_RETRY_AFTER)),
                },
                TryFailure::Failed => AttemptOutcome::Failed,
            };
            match retries.decide(now, &mut request.tries, 0, ended) {
                RetryDecision::RetryAt(at) => Some(at),
                RetryDecision::GiveUp(_) => None,
            }
        }
    }
}

/// Requests whose clients wait to retry, in slots that are used again.
#[derive(Default)]
pub(super) struct PendingRetries {
    slots: Vec<ClientRequest>,
    free: Vec<usize>,
}

impl PendingRetries {
    /// Keeps a request and returns its slot.
    pub fn insert(&mut self, request: ClientRequest) -> usize {
        let slot = self.free.pop().unwrap_or(self.slots.len());
        match self.slots.get_mut(slot) {
            Some(place) => *place = request,
            None => self.slots.push(request),
        }
        slot
    }

    /// Takes the request of a slot.
    pub fn take(&mut self, slot: usize) -> ClientRequest {
        self.free.push(slot);
        self.slots[slot].clone()
    }
}
