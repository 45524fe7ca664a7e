//! Whether a call is attempted again, and when.
//!
//! A non-idempotent request is sent again only if it provably never ran: its last byte was not
//! written, or the agent rejected it before it ran. A request deduplicated among all endpoints may
//! be sent again within its window, counted from the first attempt that may have run; one
//! deduplicated within a zone or cell may not, as the next agent may choose another. Idempotent
//! requests may always. Each retry costs a token of its agent and one of the client; tokens are
//! earned by successful requests, so that retries stay a tenth of what succeeds and cease when
//! nothing does.

use crate::attempts::{AttemptHistory, AttemptOutcome, GiveUpReason};
use crate::config::RetryPolicy;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Tokens that one retry costs.
const RETRY_COST: f64 = 1.0;
/// The backoff is doubled this many times at most, which keeps the factor within 32 bits.
const MAX_DOUBLINGS: u32 = 20;

/// What follows an attempt that ended without a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// The call is attempted again at this time.
    RetryAt(Duration),
    /// The call is not attempted again.
    GiveUp(GiveUpReason),
}

/// Decides the retries of one client and accounts for their budget.
#[derive(Debug)]
pub struct RetryController {
    policy: RetryPolicy,
    client_tokens: f64,
    /// By agent index.
    agent_tokens: Vec<f64>,
    rng: Pcg64Mcg,
}

impl RetryController {
    /// A controller with a full budget. The seed determines the jitter of all backoffs.
    pub fn new(policy: RetryPolicy, agents: usize, seed: u64) -> RetryController {
        RetryController {
            client_tokens: policy.max_tokens,
            agent_tokens: vec![policy.max_tokens; agents],
            rng: Pcg64Mcg::seed_from_u64(seed),
            policy,
        }
    }

    /// A request succeeded at this agent: it earns a part of a token.
    pub fn on_success(&mut self, agent: usize) {
        self.client_tokens = self.earn(self.client_tokens);
        if let Some(&tokens) = self.agent_tokens.get(agent) {
            self.agent_tokens[agent] = self.earn(tokens);
        }
    }

    /// Tokens left for retries at all agents together.
    pub fn available_tokens(&self) -> f64 {
        self.client_tokens
    }

    /// Decides what follows an attempt at this agent that ended so. Spends a token if the call is
    /// attempted again.
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
        // The agent closed an idle connection while the request was on its way: it is sent once
        // more at once, outside all counts.
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

    /// When the backoff after this outcome ends: the agent's own retry-after, and a random part of
    /// the backoff beyond it.
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
        // Many clients were given the same retry-after: beyond it they spread over as long again.
        let spread = self.max_backoff(history.attempts).max(retry_after);
        let jitter = spread.mul_f64(self.rng.gen_range(0.0..1.0));
        let earliest = now.saturating_add(retry_after);
        if earliest >= history.deadline {
            return Err(GiveUpReason::Deadline);
        }
        // The client's own backoff takes half of the time that is left at most, so that it never
        // costs the last chance.
        let latest = earliest + (history.deadline - earliest) / 2;
        Ok(earliest.saturating_add(jitter).min(latest))
    }

    /// The longest backoff after this many attempts.
    fn max_backoff(&self, attempts: u32) -> Duration {
        let doublings = attempts.saturating_sub(1).min(MAX_DOUBLINGS);
        let doubled = self.policy.initial_backoff.saturating_mul(1 << doublings);
        doubled.min(self.policy.max_backoff)
    }

    fn earn(&self, tokens: f64) -> f64 {
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

/// This time, if the call may still be sent then.
fn check_schedule(at: Duration, history: &AttemptHistory) -> Result<Duration, GiveUpReason> {
    history.check_repeatable(at)?;
    if at >= history.deadline {
        return Err(GiveUpReason::Deadline);
    }
    Ok(at)
}
