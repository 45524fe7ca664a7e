//! Exposure cap: how many attempts may go to a canary, by a token bucket per build.
//!
//! Each arriving request adds a fraction of a token that equals the cap, the largest share of
//! requests that the canary may get. Each attempt to the canary spends one token. The bucket holds
//! at most the configured burst.

use super::Balancer;
use crate::interface::Idempotency;

impl Balancer {
    /// Adds tokens to the bucket of each build for a request of this class.
    pub(super) fn refill_exposure_tokens(&mut self, class: usize) {
        let slot = self.parameters.exposure_slot(class);
        let burst = self.parameters.rollout.exposure_burst;
        for build in self.rollout.builds.values_mut() {
            let tokens = &mut build.exposure_tokens[slot];
            *tokens = (*tokens + build.cap).min(burst);
        }
    }

    /// Spends a token on an attempt if the build is a canary.
    pub(super) fn spend_exposure_token(&mut self, build: u32, class: usize) {
        if self.rollout.is_canary(build) {
            let slot = self.parameters.exposure_slot(class);
            self.build_mut(build).exposure_tokens[slot] -= 1.0;
        }
    }

    /// Sets the cap of each build: the cap that the platform reports for the newest build, and the
    /// cap of the first stage for builds that it has not reported.
    pub(super) fn set_exposure_caps(&mut self) {
        let first_cap = self.parameters.rollout.first_cap;
        let status = self.rollout.status.as_ref();
        for (number, build) in &mut self.rollout.builds {
            let named = status.filter(|s| s.build == *number);
            build.cap = named.map_or(first_cap, |s| s.cap);
        }
    }

    /// Whether an attempt of this class may go to this build now. In guarded stages, a canary takes
    /// idempotent classes only.
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
