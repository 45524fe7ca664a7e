//! The state of rollouts as the rollout platform reports it, and the votes that agents send.

use std::time::Duration;

/// State of the rollout of the newest build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutPhase {
    /// The build is a canary: a cap for each stage limits its share of requests.
    Canary,
    /// Its endpoints are being switched back to the earlier build.
    RollingBack,
    /// It passed all stages and serves without a cap.
    Released,
    /// The rollback to the earlier build is complete.
    RolledBack,
}

/// The rollout of the newest build as the platform reports it.
#[derive(Clone, Debug)]
pub struct RolloutStatus {
    /// Number of the newest build.
    pub build: u32,
    /// Current stage of its rollout, from 0.
    pub stage: usize,
    /// Current phase of its rollout.
    pub phase: RolloutPhase,
    /// Largest share of requests that the build may receive, 0 to 1.
    pub cap: f64,
    /// When the rollout entered this state.
    pub since: Duration,
}

/// The action on a build that an agent votes for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Stop the timer that advances the stages.
    Hold,
    /// Roll back to the earlier build.
    RollBack,
    /// Withdraw this agent's earlier vote.
    Withdraw,
}

/// One agent's vote on the newest build.
#[derive(Clone, Debug, PartialEq)]
pub struct Vote {
    /// Number of the build.
    pub build: u32,
    /// Stage of the rollout when the vote was formed.
    pub stage: usize,
    /// Action that the agent votes for.
    pub verdict: Verdict,
}

/// The platform's reply to a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteReply {
    /// The platform counts the vote.
    Counted,
    /// The vote arrived too late to have an effect.
    Moot,
    /// The platform refused the vote.
    Refused,
    /// No reply was received, so it is not known whether the vote counts.
    Unknown,
}

/// Outcomes of one build and class that the platform counted in a sample of the attempts of all
/// agents.
#[derive(Clone, Debug)]
pub struct PlatformCounts {
    /// Number of the build.
    pub build: u32,
    /// Index of the request class.
    pub class: usize,
    /// Number of attempts in the sample.
    pub attempts: f64,
    /// Number of attempts in the sample that did not succeed.
    pub failed: f64,
    /// Mean latency of the attempts that succeeded.
    pub mean_latency: Duration,
    /// Time since the sample was taken.
    pub age: Duration,
}
