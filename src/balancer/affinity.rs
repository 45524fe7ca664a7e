//! Maps keys to their affinity endpoints and their sticky builds.

use super::Balancer;
use crate::interface::{Outcome, RolloutPhase};
use crate::model::{ActiveRequest, AffinityGroup, EndedAttempt};
use crate::stats::{KindWeight, RankedMembers};

/// Number of recent requests within which a repeated key counts as popular: every endpoint then
/// serves it fast, and it would overload a single one.
const POPULAR_WITHIN: usize = 32;
/// Maximum number of affinity endpoints tried for a key in a fleet too large to rank in full. With
/// half of the endpoints unavailable, one key in 256 finds none.
const MAX_AFFINITY_ENDPOINTS: u64 = 8;

impl Balancer {
    /// The key by which a request is routed to an affinity endpoint. `None` if it has no key, key
    /// affinity is off, or the key is too popular for a single endpoint.
    pub(super) fn affinity_key(&mut self, key: Option<u64>) -> Option<u64> {
        let key = key.filter(|_| self.parameters.key_affinity)?;
        let is_popular = self.affinity.recent_keys.insert(key, POPULAR_WITHIN);
        (!is_popular).then_some(key)
    }

    /// The affinity endpoint for the first attempt of a request: the first endpoint in the order of
    /// its key for which `may_be_used` holds. In a large fleet, zones that are a last resort for
    /// the request come last.
    ///
    /// Returns `None` for a retry or a request without an affinity key, or if no endpoint may be
    /// used; in a large fleet also if none of the few endpoints tried for the key may be used.
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

    /// The running endpoints of a key, in the order of rendezvous hashing by their identities and
    /// hardware types, so that all agents compute the same order.
    ///
    /// Yields all running endpoints in a small fleet; in a large one only a few, all of them in
    /// preferred zones.
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

    /// Number of nodes of the affinity index visited so far, to look up or update the endpoints of
    /// keys: a measure of work that does not depend on a clock.
    pub fn affinity_nodes_visited(&self) -> u64 {
        self.fleet.index().affinity().visited()
    }

    /// Number of nodes of the affinity index whose weights were summed over all zones and hardware
    /// types, for lookups.
    pub fn affinity_nodes_summed(&self) -> u64 {
        self.fleet.index().affinity().summed()
    }

    fn rounded_throughput(&self, endpoint_type: usize) -> f64 {
        let hardware = self.fleet.types.get(endpoint_type);
        hardware.map_or(1.0, |hardware| hardware.rounded_throughput)
    }

    /// Records which build answered a key, if the key must not return to an earlier build.
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

    /// The oldest build that may serve a request: the newest build if it has answered the request's
    /// key and is not being rolled back, otherwise any build (0).
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
