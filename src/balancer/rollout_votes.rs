//! Which vote is cast, cast again or taken back.

use super::*;

impl Balancer {
    pub(super) fn vote(&mut self, now: Duration) -> Option<Vote> {
        if self
            .votes
            .pending
            .as_ref()
            .is_some_and(|(_, sent)| now >= *sent + self.at.vote_wait + GAP * 2)
        {
            self.on_vote_reply(now, VoteReply::Unknown);
        }
        if self.votes.pending.is_some() || now < self.votes.at || !self.at.votes {
            return None;
        }
        let (life, want) = (self.at.vote_life, self.votes.want.clone());
        let on = |v: &Vote| {
            self.rollout_status
                .as_ref()
                .is_some_and(|n| n.build == v.build && n.phase == RolloutPhase::Canary)
        };
        let moot =
            |(v, at): &mut (Vote, Duration)| want.is_none() && (!on(v) || now > *at + life * 2);
        self.votes.standing.take_if(moot);
        let vote = match (want, &self.votes.standing) {
            (Some(w), Some((s, at))) if w == *s && now < *at + life / 2 => return None,
            (Some(w), _) => w,
            (None, Some((s, _))) => Vote {
                verdict: Verdict::Withdraw,
                ..s.clone()
            },
            (None, None) => return None,
        };
        self.votes.pending = Some((vote.clone(), now));
        Some(vote)
    }

    /// The platform's answer to the vote that is out.
    pub fn on_vote_reply(&mut self, now: Duration, r: VoteReply) {
        let Some((vote, _)) = self.votes.pending.take() else {
            return;
        };
        self.votes.gap = match r {
            VoteReply::Counted | VoteReply::Moot => GAP,
            VoteReply::Refused | VoteReply::Unknown => (self.votes.gap * 2).clamp(GAP, ms(2000)),
        };
        let lapsed = now.saturating_sub(self.at.vote_life);
        self.votes.standing = match (r, vote.verdict) {
            (VoteReply::Moot, _) | (VoteReply::Counted, Verdict::Withdraw) => None,
            (VoteReply::Counted, _) => Some((vote, now)),
            // It may count: it is cast again, and taken away if it is no longer meant.
            (VoteReply::Unknown, Verdict::Hold | Verdict::RollBack) => Some((vote, lapsed)),
            _ => self.votes.standing.take(),
        };
        self.votes.at = now
            + self
                .votes
                .gap
                .max(Duration::from_secs_f64(self.at.vote_share.min(2.0)));
    }
}
