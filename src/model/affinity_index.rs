//! Maps keys to their affinity endpoints, updated at each change of an endpoint.

use super::EndpointKey;
use crate::stats::{KindWeight, RankedMembers, RendezvousMember, RendezvousTree};
use std::collections::BTreeMap;

/// Endpoints that have the same weight in rendezvous hashing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AffinityGroup {
    /// Index of the zone of the endpoints.
    pub zone: usize,
    /// Index of the hardware type of the endpoints.
    pub endpoint_type: usize,
}

impl AffinityGroup {
    fn of(key: &EndpointKey) -> AffinityGroup {
        AffinityGroup {
            zone: key.zone,
            endpoint_type: key.endpoint_type,
        }
    }
}

/// The running endpoints, in a tree for rendezvous hashing of their identities.
///
/// The weights of the groups are given with each lookup, so that a changed weight needs no update
/// here. The number of groups is bounded by the number of zones times the number of hardware types,
/// both of which are bounded.
#[derive(Default)]
pub(crate) struct AffinityIndex {
    tree: RendezvousTree,
    groups: Vec<AffinityGroup>,
    group_indices: BTreeMap<AffinityGroup, usize>,
}

impl AffinityIndex {
    /// Updates the index after a change of one endpoint.
    pub fn update(&mut self, endpoint: usize, before: &EndpointKey, after: &EndpointKey) {
        let is_same = before.is_running() == after.is_running()
            && before.identity == after.identity
            && AffinityGroup::of(before) == AffinityGroup::of(after);
        if is_same {
            return;
        }
        if before.is_running() {
            let member = self.member(endpoint, before);
            self.tree.remove(&member);
        }
        if after.is_running() {
            let member = self.member(endpoint, after);
            self.tree.insert(member);
        }
    }

    /// Returns the endpoints for a key, best match first. In a large fleet `limit` bounds how many
    /// are considered, and all of them are in preferred groups.
    pub fn endpoints_for(
        &self,
        key: u64,
        weigh: impl Fn(&AffinityGroup) -> KindWeight,
        limit: u64,
    ) -> RankedMembers<'_> {
        self.tree.ranked(key, self.groups.iter().map(weigh), limit)
    }

    /// Returns how many tree nodes updates and lookups have visited so far.
    pub fn visited(&self) -> u64 {
        self.tree.visited()
    }

    /// Returns for how many tree nodes lookups have summed the weights of all kinds so far.
    pub fn summed(&self) -> u64 {
        self.tree.summed()
    }

    fn member(&mut self, endpoint: usize, key: &EndpointKey) -> RendezvousMember {
        let group = AffinityGroup::of(key);
        let next = self.groups.len();
        let kind = *self.group_indices.entry(group).or_insert(next);
        if kind == next {
            self.groups.push(group);
        }
        RendezvousMember {
            identity: key.identity,
            value: endpoint,
            kind,
        }
    }
}
