//! The state of the rollout of builds.

use super::BuildState;
use crate::interface::{RolloutPhase, RolloutStatus};
use std::collections::BTreeMap;

/// The running builds, and the rollout of the newest one as reported by the platform.
#[derive(Default)]
pub(crate) struct RolloutState {
    /// Last reported rollout of the newest build. `None` before the first report.
    pub status: Option<RolloutStatus>,
    /// State of each build, by build number.
    pub builds: BTreeMap<u32, BuildState>,
    /// Number of the oldest running build.
    pub oldest_build: u32,
}

impl RolloutState {
    /// Returns whether a build is a canary, that is, newer than the released build.
    pub fn is_canary(&self, build: u32) -> bool {
        match &self.status {
            Some(status) if build == status.build => status.phase != RolloutPhase::Released,
            Some(status) => build > status.build,
            None => build > self.oldest_build,
        }
    }

    /// Returns whether a build is the one that the platform reports as newest, or a newer one.
    pub fn is_newest(&self, build: u32) -> bool {
        self.status.as_ref().is_some_and(|s| build >= s.build)
    }

    /// Returns the number of the newest build that the platform has reported, or 0 if it has
    /// reported none.
    pub fn newest_build(&self) -> u32 {
        self.status.as_ref().map_or(0, |s| s.build)
    }

    /// Returns the reported rollout of a build, or `None` if it is not the newest build.
    pub fn status_of(&self, build: u32) -> Option<&RolloutStatus> {
        self.status.as_ref().filter(|s| s.build == build)
    }

    /// Returns the rollout stage of a build, or 0 if the platform has not reported one.
    pub fn stage_of(&self, build: u32) -> usize {
        self.status_of(build).map_or(0, |s| s.stage)
    }

    /// Returns the newest build older than this one, or 0 if there is none.
    pub fn build_before(&self, build: u32) -> u32 {
        self.builds
            .range(..build)
            .next_back()
            .map_or(0, |(number, _)| *number)
    }

    /// Returns whether the evidence shows a regression of this build.
    pub fn is_regressed(&self, build: u32) -> bool {
        self.builds.get(&build).is_some_and(|b| b.regressed)
    }
}
