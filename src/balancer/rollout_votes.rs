//! Decides which vote is sent, renewed or withdrawn.

use super::{Balancer, MIN_CALL_GAP};
use crate::interface::{RolloutPhase, Verdict, Vote, VoteReply};
use crate::model::SentVote;
use std::time::Duration;

/// Growth factor of the time between two votes for each refusal or missing reply.
const VOTE_BACKOFF_GROWTH: u32 = 2;
/// Maximum backoff between two votes after refusals or missing replies.
const MAX_VOTE_BACKOFF: Duration = Duration::from_millis(2000);
/// Upper bound, in seconds, of the interval between votes that leaves the other agents their share
/// of calls.
const MAX_VOTE_INTERVAL: f64 = 2.0;
/// Time beyond the timeout after which the reply to a vote is given up, in multiples of the minimum
/// gap between calls.
const REPLY_GRACE_GAPS: u32 = 2;
/// Number of times that a vote is renewed within its time to live.
const RENEWALS_PER_TTL: u32 = 2;
/// Number of times to live after which a standing vote is forgotten.
const EXPIRY_IN_TTLS: u32 = 2;

impl Balancer {
    /// The vote to send now, if any.
    pub(super) fn next_vote(&mut self, now: Duration) -> Option<Vote> {
        self.expire_pending_vote(now);
        let may_vote = self.parameters.rollout.timed_stages
            && self.votes.pending.is_none()
            && now >= self.votes.next_at;
        if !may_vote {
            return None;
        }
        self.expire_moot_vote(now);
        let vote = self.due_vote(now)?;
        self.votes.pending = Some(SentVote {
            vote: vote.clone(),
            at: now,
        });
        Some(vote)
    }

    fn expire_pending_vote(&mut self, now: Duration) {
        let timeout = self.parameters.rollout.vote_timeout + MIN_CALL_GAP * REPLY_GRACE_GAPS;
        let pending = self.votes.pending.as_ref();
        if pending.is_some_and(|p| now >= p.at + timeout) {
            self.on_vote_reply(now, VoteReply::Unknown);
        }
    }

    /// Forgets the standing vote if it is no longer wanted and has no effect any more, because its
    /// canary has ended or the vote has expired.
    fn expire_moot_vote(&mut self, now: Duration) {
        if self.votes.wanted.is_some() {
            return;
        }
        let expires_after = self.parameters.rollout.vote_ttl * EXPIRY_IN_TTLS;
        let status = self.rollout.status.as_ref();
        let is_moot = |standing: &mut SentVote| {
            let is_open = status
                .is_some_and(|s| s.build == standing.vote.build && s.phase == RolloutPhase::Canary);
            !is_open || now > standing.at + expires_after
        };
        self.votes.standing.take_if(is_moot);
    }

    /// Returns the vote to send now, or `None` if nothing has to be sent.
    ///
    /// The wanted vote is due if it differs from the standing vote or has to be renewed. If no vote
    /// is wanted but one stands, a withdrawal is due.
    fn due_vote(&self, now: Duration) -> Option<Vote> {
        let standing = self.votes.standing.as_ref();
        let Some(wanted) = &self.votes.wanted else {
            return standing.map(|s| Vote {
                verdict: Verdict::Withdraw,
                ..s.vote.clone()
            });
        };
        let renewed_after = self.parameters.rollout.vote_ttl / RENEWALS_PER_TTL;
        let stands = standing.is_some_and(|s| *wanted == s.vote && now < s.at + renewed_after);
        (!stands).then(|| wanted.clone())
    }

    /// Applies the platform's reply to the vote in flight; ignored if no vote is in flight.
    pub fn on_vote_reply(&mut self, now: Duration, reply: VoteReply) {
        let Some(SentVote { vote, .. }) = self.votes.pending.take() else {
            return;
        };
        let backoff = self.votes.backoff;
        self.votes.backoff = match reply {
            VoteReply::Counted | VoteReply::Moot => MIN_CALL_GAP,
            VoteReply::Refused | VoteReply::Unknown => {
                (backoff * VOTE_BACKOFF_GROWTH).clamp(MIN_CALL_GAP, MAX_VOTE_BACKOFF)
            }
        };
        let rollout = &self.parameters.rollout;
        let lapsed_at = now.saturating_sub(rollout.vote_ttl);
        self.votes.standing = match (reply, vote.verdict) {
            (VoteReply::Moot, _) | (VoteReply::Counted, Verdict::Withdraw) => None,
            (VoteReply::Counted, _) => Some(SentVote { vote, at: now }),
            // The vote may have been counted, so it is sent again, or withdrawn if it is no longer
            // wanted.
            (VoteReply::Unknown, Verdict::Hold | Verdict::RollBack) => Some(SentVote {
                vote,
                at: lapsed_at,
            }),
            _ => self.votes.standing.take(),
        };
        let interval = Duration::from_secs_f64(rollout.vote_interval.min(MAX_VOTE_INTERVAL));
        self.votes.next_at = now + self.votes.backoff.max(interval);
    }
}
