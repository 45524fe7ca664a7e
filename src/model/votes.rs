//! The state of this agent's votes on the newest build.

use crate::interface::Vote;
use std::time::Duration;

/// A vote that was sent.
#[derive(Clone)]
pub(crate) struct SentVote {
    /// The vote.
    pub vote: Vote,
    /// When it was sent or, once the platform has counted it, when it began to count.
    pub at: Duration,
}

/// The desired vote, the vote in force and the vote in flight.
#[derive(Default)]
pub(crate) struct VoteState {
    /// The vote that the evidence calls for. `None` if there is no reason to vote.
    pub wanted: Option<Vote>,
    /// The vote that the platform currently counts.
    pub standing: Option<SentVote>,
    /// The vote whose reply is pending.
    pub pending: Option<SentVote>,
    /// Whether this agent votes to roll back when others only vote to hold at first. Drawn at
    /// random once.
    pub rolls_back_first: bool,
    /// When the next vote may be sent.
    pub next_at: Duration,
    /// Shortest time between two votes. Grows after refusals.
    pub backoff: Duration,
}
