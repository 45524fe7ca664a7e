//! How many attempts may go to a canary: a token bucket by build.
//!
//! Each request that arrives earns the cap, each attempt to the canary costs one token, and the
//! burst of the settings is the most that is kept.

use super::Balancer;
use crate::interface::Idempotency;

impl Balancer {
    /// Earns tokens for a request of this class, for each build.
    pub(super) fn refill_exposure_tokens(&mut self, class: usize) {
        let slot = self.parameters.exposure_slot(class);
        let burst = self.parameters.rollout.exposure_burst;
        for build in self.rollout.builds.values_mut() {
            let tokens = &mut build.exposure_tokens[slot];
            *tokens = (*tokens + build.cap).min(burst);
        }
    }

    /// Spends a token on an attempt, where the build is a canary.
    pub(super) fn spend_exposure_token(&mut self, build: u32, class: usize) {
        if self.rollout.is_canary(build) {
            let slot = self.parameters.exposure_slot(class);
            self.build_mut(build).exposure_tokens[slot] -= 1.0;
        }
    }

    /// Sets the cap of each build: the platform's for the newest one, that of the first stage for
    /// builds that it has not named.
    pub(super) fn set_exposure_caps(&mut self) {
        let first_cap = self.parameters.rollout.first_cap;
        let status = self.rollout.status.as_ref();
        for (number, build) in &mut self.rollout.builds {
            let named = status.filter(|s| s.build == *number);
            build.cap = named.map_or(first_cap, |s| s.cap);
        }
    }

    /// Whether an attempt of this class may go to this build now.
    pub(super) fn may_expose(&self, build: u32, class: usize) -> bool {
        if !self.rollout.is_canary(build) {
            return true;
        }
        let is_unguarded = self.rollout.stage_of(build) >= self.parameters.rollout.guarded_stages
            || self.classes[class].rules.idempotency == Idempotency::Idempotent;
        let slot = self.parameters.exposure_slot(class);
        let builds = &self.rollout.builds;
        is_unguarded
            && builds
                .get(&build)
                .is_some_and(|b| b.cap > 0.0 && b.exposure_tokens[slot] >= 1.0)
    }
}
