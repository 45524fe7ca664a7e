//! What the rollout platform says of builds, and the votes that agents send to it.

use std::time::Duration;

/// State of the rollout of the newest build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutPhase {
    /// The build is a canary: its share of requests is capped by stage.
    Canary,
    /// Its endpoints are being returned to the earlier build.
    RollingBack,
    /// It passed all stages.
    Released,
    /// It has been taken back.
    RolledBack,
}

/// What the platform says of the newest build.
#[derive(Clone, Debug)]
pub struct RolloutStatus {
    /// Number of the build.
    pub build: u32,
    /// Stage of its rollout, from 0.
    pub stage: usize,
    /// Phase of its rollout.
    pub phase: RolloutPhase,
    /// Largest share of requests that the build may get, 0 to 1.
    pub cap: f64,
    /// When this state began.
    pub since: Duration,
}

/// What an agent asks the platform to do with a build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Stop the rollout's clock.
    Hold,
    /// Return to the earlier build.
    RollBack,
    /// Withdraw the vote that stands.
    Withdraw,
}

/// One agent's vote on the newest build.
#[derive(Clone, Debug, PartialEq)]
pub struct Vote {
    /// The build it is about.
    pub build: u32,
    /// The stage it was formed in.
    pub stage: usize,
    /// What it asks for.
    pub verdict: Verdict,
}

/// What became of the vote in flight, as far as the platform says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteReply {
    /// It counts.
    Counted,
    /// It came too late to matter.
    Moot,
    /// The platform did not take it.
    Refused,
    /// No reply came.
    Unknown,
}

/// What the platform counted for one build and class in a sample of all agents' attempts.
#[derive(Clone, Debug)]
pub struct PlatformCounts {
    /// The build.
    pub build: u32,
    /// Index of the class.
    pub class: usize,
    /// Attempts in the sample.
    pub attempts: f64,
    /// Those of them that did not succeed.
    pub failed: f64,
    /// Mean latency of the others.
    pub mean_latency: Duration,
    /// Time since the sample was taken.
    pub age: Duration,
}
