//! Which endpoints a key belongs to, kept up to date at each change of the fleet.

use super::EndpointKey;
use crate::stats::{KindWeight, RankedMembers, RendezvousMember, RendezvousTree};
use std::collections::BTreeMap;

/// Endpoints that weigh the same for a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AffinityGroup {
    /// Index of their zone.
    pub zone: usize,
    /// Index of their hardware type.
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

/// The running endpoints, by rendezvous hashing of their identities.
///
/// The weight of a group is given with each question, so that a change of it costs nothing here.
/// There are as many groups as zones times hardware types at most, both of which are bounded.
#[derive(Default)]
pub(crate) struct AffinityIndex {
    tree: RendezvousTree,
    groups: Vec<AffinityGroup>,
    numbers: BTreeMap<AffinityGroup, usize>,
}

impl AffinityIndex {
    /// Takes in a change of one endpoint.
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

    /// The endpoints for a key, the first one first. A large fleet names only so many, and only of
    /// preferred groups.
    pub fn endpoints_for(
        &self,
        key: u64,
        weigh: impl Fn(&AffinityGroup) -> KindWeight,
        limit: u64,
    ) -> RankedMembers<'_> {
        self.tree.ranked(key, self.groups.iter().map(weigh), limit)
    }

    /// Nodes that were visited so far, by changes and by questions.
    pub fn visited(&self) -> u64 {
        self.tree.visited()
    }

    /// Nodes whose weights were summed up over the kinds so far, by questions.
    pub fn summed(&self) -> u64 {
        self.tree.summed()
    }

    fn member(&mut self, endpoint: usize, key: &EndpointKey) -> RendezvousMember {
        let group = AffinityGroup::of(key);
        let next = self.groups.len();
        let kind = *self.numbers.entry(group).or_insert(next);
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
