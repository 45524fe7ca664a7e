//! Decides whether a call is attempted again, and when.
//!
//! A non-idempotent request is sent again only if it provably never ran: its last byte was not
//! written, or the agent rejected it before it ran. A request that is deduplicated among all
//! endpoints may be sent again within its window, counted from the first attempt that may have run.
//! A request that is deduplicated within a zone or cell may not, because the next agent may choose
//! another zone or cell. An idempotent request may always be sent again.
//!
//! Each retry costs one token of its agent and one of the client. Successful requests earn tokens,
//! so that retries stay at a tenth of the successes and stop when nothing succeeds.

use crate::attempts::{AttemptHistory, AttemptOutcome, GiveUpReason};
use crate::config::RetryPolicy;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// The number of tokens that one retry costs.
const RETRY_COST: f64 = 1.0;
/// The backoff doubles at most this many times, which keeps the factor within 32 bits.
const MAX_DOUBLINGS: u32 = 20;

/// The decision after an attempt that returned no value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Attempt the call again at this time.
    RetryAt(Duration),
    /// Do not attempt the call again, for this reason.
    GiveUp(GiveUpReason),
}

/// Decides on the retries of one client and keeps its retry budget.
#[derive(Debug)]
pub struct RetryController {
    policy: RetryPolicy,
    client_tokens: f64,
    /// The retry tokens of each agent, indexed by agent.
    agent_tokens: Vec<f64>,
    rng: Pcg64Mcg,
}

impl RetryController {
    /// Creates a controller with a full retry budget. The seed determines the jitter of all
    /// backoffs.
    pub fn new(policy: RetryPolicy, agents: usize, seed: u64) -> RetryController {
        RetryController {
            client_tokens: policy.max_tokens,
            agent_tokens: vec![policy.max_tokens; agents],
            rng: Pcg64Mcg::seed_from_u64(seed),
            policy,
        }
    }

    /// Records a successful request at this agent, which earns `tokens_per_success` tokens.
    pub fn on_success(&mut self, agent: usize) {
        self.client_tokens = self.with_earned_tokens(self.client_tokens);
        if let Some(&tokens) = self.agent_tokens.get(agent) {
            self.agent_tokens[agent] = self.with_earned_tokens(tokens);
        }
    }

    /// Returns the client's remaining tokens, which bound the retries at all agents together.
    pub fn available_tokens(&self) -> f64 {
        self.client_tokens
    }

    /// Decides whether to retry after an attempt at this agent ended with this outcome. A retry
    /// spends a token, except for the single immediate resend after a stale connection.
    pub fn decide(
        &mut self,
        now: Duration,
        history: &mut AttemptHistory,
        agent: usize,
        outcome: AttemptOutcome,
    ) -> RetryDecision {
        match self.retry_time(now, history, agent, outcome) {
            Ok(at) => RetryDecision::RetryAt(at),
            Err(reason) => RetryDecision::GiveUp(reason),
        }
    }

    fn retry_time(
        &mut self,
        now: Duration,
        history: &mut AttemptHistory,
        agent: usize,
        outcome: AttemptOutcome,
    ) -> Result<Duration, GiveUpReason> {
        if outcome.may_have_executed() {
            history.mark_possibly_executed();
        }
        history.check_repeatable(now)?;
        // The agent closed an idle connection while the request was in transit. The request is
        // resent once, immediately, whatever the attempt limit and the retry budget.
        if outcome == AttemptOutcome::StaleConnection && history.take_resend() {
            return check_schedule(now, history);
        }
        if history.attempts >= self.policy.max_attempts {
            return Err(GiveUpReason::AttemptLimit);
        }
        let at = self.backoff_end(now, history, outcome)?;
        let at = check_schedule(at, history)?;
        self.spend_token(agent)?;
        Ok(at)
    }

    /// Computes the end of the backoff after this outcome: the agent's retry-after, if any, plus a
    /// random part of the client's own backoff.
    fn backoff_end(
        &mut self,
        now: Duration,
        history: &AttemptHistory,
        outcome: AttemptOutcome,
    ) -> Result<Duration, GiveUpReason> {
        let retry_after = match outcome {
            AttemptOutcome::Rejected { retry_after } => retry_after.unwrap_or_default(),
            _ => Duration::ZERO,
        };
        // Many clients may have received the same retry-after. To avoid a burst when it ends, they
        // spread over at least the same length of time again.
        let spread = self.max_backoff(history.attempts).max(retry_after);
        let jitter = spread.mul_f64(self.rng.gen_range(0.0..1.0));
        let earliest = now.saturating_add(retry_after);
        if earliest >= history.deadline {
            return Err(GiveUpReason::Deadline);
        }
        // The client's own backoff uses at most half of the remaining time, so that it never delays
        // a retry past the deadline.
        let latest = earliest + (history.deadline - earliest) / 2;
        Ok(earliest.saturating_add(jitter).min(latest))
    }

    /// Returns the upper bound of the backoff after this many attempts.
    fn max_backoff(&self, attempts: u32) -> Duration {
        let doublings = attempts.saturating_sub(1).min(MAX_DOUBLINGS);
        let doubled = self.policy.initial_backoff.saturating_mul(1 << doublings);
        doubled.min(self.policy.max_backoff)
    }

    fn with_earned_tokens(&self, tokens: f64) -> f64 {
        (tokens + self.policy.tokens_per_success).min(self.policy.max_tokens)
    }

    fn spend_token(&mut self, agent: usize) -> Result<(), GiveUpReason> {
        let agent_tokens = self.agent_tokens.get(agent).copied();
        let agent_tokens = agent_tokens.unwrap_or(self.client_tokens);
        if self.client_tokens < RETRY_COST || agent_tokens < RETRY_COST {
            return Err(GiveUpReason::RetryBudget);
        }
        self.client_tokens -= RETRY_COST;
        if let Some(tokens) = self.agent_tokens.get_mut(agent) {
            *tokens -= RETRY_COST;
        }
        Ok(())
    }
}

/// Returns `at` if the call may still be sent at that time.
fn check_schedule(at: Duration, history: &AttemptHistory) -> Result<Duration, GiveUpReason> {
    history.check_repeatable(at)?;
    if at >= history.deadline {
        return Err(GiveUpReason::Deadline);
    }
    Ok(at)
}
