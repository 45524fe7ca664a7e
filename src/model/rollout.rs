//! What is remembered of the rollout of builds.

use super::BuildState;
use crate::interface::{RolloutPhase, RolloutStatus};
use std::collections::BTreeMap;

/// The builds that run, and what the platform says of the newest one.
#[derive(Default)]
pub(crate) struct RolloutState {
    /// State of the newest build, as the platform said last.
    pub status: Option<RolloutStatus>,
    /// Builds by number.
    pub builds: BTreeMap<u32, BuildState>,
    /// The oldest build that runs.
    pub oldest_build: u32,
}

impl RolloutState {
    /// Whether this build is a canary: newer than the released one.
    pub fn is_canary(&self, build: u32) -> bool {
        match &self.status {
            Some(status) if build == status.build => status.phase != RolloutPhase::Released,
            Some(status) => build > status.build,
            None => build > self.oldest_build,
        }
    }

    /// Whether this build is the one that the platform names newest, or a newer one.
    pub fn is_newest(&self, build: u32) -> bool {
        self.status.as_ref().is_some_and(|s| build >= s.build)
    }

    /// Number of the newest build that the platform names, 0 where it has named none.
    pub fn newest_build(&self) -> u32 {
        self.status.as_ref().map_or(0, |s| s.build)
    }

    /// What the platform says of this build, if it is the newest one.
    pub fn status_of(&self, build: u32) -> Option<&RolloutStatus> {
        self.status.as_ref().filter(|s| s.build == build)
    }

    /// Stage of this build's rollout; the first one where the platform has said nothing of it.
    pub fn stage_of(&self, build: u32) -> usize {
        self.status_of(build).map_or(0, |s| s.stage)
    }

    /// The newest build before this one, 0 where there is none.
    pub fn build_before(&self, build: u32) -> u32 {
        self.builds
            .range(..build)
            .next_back()
            .map_or(0, |(number, _)| *number)
    }

    /// Whether the evidence shows a regression of this build.
    pub fn is_regressed(&self, build: u32) -> bool {
        self.builds.get(&build).is_some_and(|b| b.regressed)
    }
}
