//! What is remembered of votes on the newest build.

use crate::interface::Vote;
use std::time::Duration;

/// A vote, and when it was sent or began to count.
#[derive(Clone)]
pub(crate) struct SentVote {
    /// The vote.
    pub vote: Vote,
    /// When it was sent, or began to count.
    pub at: Duration,
}

/// The vote that is meant, the one that counts and the one that is in flight.
#[derive(Default)]
pub(crate) struct VoteState {
    /// The vote that the evidence asks for.
    pub wanted: Option<Vote>,
    /// The vote that counts at the platform.
    pub standing: Option<SentVote>,
    /// The vote whose reply is awaited.
    pub pending: Option<SentVote>,
    /// Whether this agent votes to roll back where the others only hold. Drawn once.
    pub rolls_back_first: bool,
    /// When the next vote may be sent.
    pub next_at: Duration,
    /// Least time between two votes, longer after refusals.
    pub backoff: Duration,
}
