//! Which endpoint or build a key belongs to.

use super::Balancer;
use crate::interface::{Outcome, RolloutPhase};
use crate::model::{ActiveRequest, EndedAttempt, Endpoint};
use crate::stats::rendezvous_distance;

/// Requests within which a key that is met again counts as popular: any endpoint serves it fast,
/// and it would overload a single one.
const POPULAR_WITHIN: usize = 32;

impl Balancer {
    /// The key of a request, where it is to go to the key's affinity endpoint.
    pub(super) fn affinity_key(&mut self, key: Option<u64>) -> Option<u64> {
        let key = key.filter(|_| self.parameters.key_affinity)?;
        let is_popular = self.affinity.recent_keys.insert(key, POPULAR_WITHIN);
        (!is_popular).then_some(key)
    }

    /// Distance of an endpoint from a key, by its identity and hardware type: all agents find the
    /// same one nearest.
    pub(crate) fn key_distance(&self, key: u64, endpoint: &Endpoint) -> f64 {
        let weight = self.fleet.types[endpoint.endpoint_type].rounded_throughput;
        rendezvous_distance(key, endpoint.identity, weight)
    }

    /// The affinity endpoint of a key: the nearest running one that is a candidate.
    pub(super) fn affinity_endpoint(
        &self,
        key: u64,
        is_candidate: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let mut nearest: Option<(usize, f64)> = None;
        for (index, endpoint) in self.fleet.running() {
            let distance = self.key_distance(key, endpoint);
            let is_nearer = nearest.is_none_or(|(_, least)| distance.total_cmp(&least).is_lt());
            if is_nearer && is_candidate(index) {
                nearest = Some((index, distance));
            }
        }
        nearest.map(|(index, _)| index)
    }

    /// Remembers which build answered a key, where it may not return to an earlier one.
    pub(super) fn bind_key(&mut self, ended: &EndedAttempt, outcome: Outcome) {
        let build = ended.build.max(self.fleet.endpoint(ended.endpoint).build);
        let status = self.rollout.status.as_ref();
        let binds =
            self.parameters.rollout.sticky_builds && status.is_none_or(|s| build >= s.build);
        if !binds || outcome != Outcome::Succeeded {
            return;
        }
        if let Some(key) = ended.key {
            self.affinity.sticky_builds.insert(key, build);
        }
    }

    /// The oldest build that may serve a request: the newest one where that has answered its key,
    /// unless it is being taken back.
    pub(super) fn minimum_build(&self, request: &ActiveRequest) -> u32 {
        let bound_build = request
            .key
            .and_then(|key| self.affinity.sticky_builds.get(&key))
            .copied()
            .unwrap_or(0);
        match &self.rollout.status {
            Some(status)
                if bound_build >= status.build
                    && matches!(status.phase, RolloutPhase::Canary | RolloutPhase::Released) =>
            {
                status.build
            }
            _ => 0,
        }
    }
}
