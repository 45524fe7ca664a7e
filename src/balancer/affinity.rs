//! Which endpoint or build a key belongs to.

use super::Balancer;
use crate::interface::{Outcome, RolloutPhase};
use crate::model::{ActiveRequest, AffinityGroup, EndedAttempt};
use crate::stats::{KindWeight, RankedMembers};

/// Requests within which a key that is met again counts as popular: any endpoint serves it fast,
/// and it would overload a single one.
const POPULAR_WITHIN: usize = 32;
/// Endpoints of a key that are asked for at the most, in a fleet too large to go by all of them. With
/// half of the endpoints out of use one key of 256 has none.
const MAX_AFFINITY_ENDPOINTS: u64 = 8;

impl Balancer {
    /// The key of a request, where it is to go to the key's affinity endpoint.
    pub(super) fn affinity_key(&mut self, key: Option<u64>) -> Option<u64> {
        let key = key.filter(|_| self.parameters.key_affinity)?;
        let is_popular = self.affinity.recent_keys.insert(key, POPULAR_WITHIN);
        (!is_popular).then_some(key)
    }

    /// The affinity endpoint of a request that is sent for the first time: the first one of its
    /// key that may be used for it. Zones that are a last resort for it come last in a large fleet.
    ///
    /// `None` where no endpoint may be used; in a large fleet also where none of the few that the
    /// key is looked for at may be.
    pub(super) fn affinity_endpoint_where(
        &self,
        request: &ActiveRequest,
        may_be_used: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let is_retry = !request.attempts.is_empty();
        let key = request.affinity_key.filter(|_| !is_retry)?;
        let is_preferred = |zone| !self.is_last_resort(zone, request.class, is_retry);
        let first_used = |mut endpoints: RankedMembers| endpoints.find(|e| may_be_used(*e));
        first_used(self.endpoints_of_key(key, is_preferred))
            .or_else(|| first_used(self.endpoints_of_key(key, |_| true)))
    }

    /// The running endpoints of a key, the first one first, by their identities and hardware types:
    /// all agents find the same order.
    ///
    /// In a small fleet these are all of them, in a large one a few, in preferred zones only.
    pub(crate) fn endpoints_of_key(
        &self,
        key: u64,
        is_preferred_zone: impl Fn(usize) -> bool,
    ) -> RankedMembers<'_> {
        let kind_weight = |group: &AffinityGroup| KindWeight {
            weight: self.rounded_throughput(group.endpoint_type),
            is_preferred: is_preferred_zone(group.zone),
        };
        let affinity = self.fleet.index().affinity();
        affinity.endpoints_for(key, kind_weight, MAX_AFFINITY_ENDPOINTS)
    }

    /// Nodes that were visited so far to find the endpoints of keys: a measure of work that does not
    /// depend on a clock.
    pub fn affinity_nodes_visited(&self) -> u64 {
        self.fleet.index().affinity().visited()
    }

    /// Those of them whose weights were summed up over all zones and hardware types.
    pub fn affinity_nodes_summed(&self) -> u64 {
        self.fleet.index().affinity().summed()
    }

    fn rounded_throughput(&self, endpoint_type: usize) -> f64 {
        let hardware = self.fleet.types.get(endpoint_type);
        hardware.map_or(1.0, |hardware| hardware.rounded_throughput)
    }

    /// Remembers which build answered a key, where it may not return to an earlier one.
    pub(super) fn record_sticky_build(&mut self, ended: &EndedAttempt, outcome: Outcome) {
        let build = ended.build.max(self.fleet.endpoint(ended.endpoint).build);
        let status = self.rollout.status.as_ref();
        let is_sticky =
            self.parameters.rollout.sticky_builds && status.is_none_or(|s| build >= s.build);
        if !is_sticky || outcome != Outcome::Succeeded {
            return;
        }
        if let Some(key) = ended.key {
            self.affinity.sticky_builds.insert(key, build);
        }
    }

    /// The oldest build that may serve a request: the newest one where that has answered its key,
    /// unless it is being taken back.
    pub(super) fn minimum_build(&self, request: &ActiveRequest) -> u32 {
        let sticky_build = request
            .key
            .and_then(|key| self.affinity.sticky_builds.get(&key))
            .copied()
            .unwrap_or(0);
        match &self.rollout.status {
            Some(status)
                if sticky_build >= status.build
                    && matches!(status.phase, RolloutPhase::Canary | RolloutPhase::Released) =>
            {
                status.build
            }
            _ => 0,
        }
    }
}
