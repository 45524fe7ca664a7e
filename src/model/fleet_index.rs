//! Data about the endpoints that is updated at each change of one, so that no lookup has to visit
//! all endpoints.

use super::{
    AffinityIndex, Endpoint, EndpointGroup, EndpointSets, MemberLists, WarmingTimes, ZoneMembers,
};
use crate::interface::EndpointState;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The attributes of an endpoint that the fleet index depends on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct EndpointKey {
    /// Whether it is running, draining or gone.
    pub state: EndpointState,
    /// Identifier for rendezvous hashing, the same at every agent.
    pub identity: u64,
    /// Index of its zone.
    pub zone: usize,
    /// Identifier of its cell.
    pub cell: u64,
    /// Index of its hardware type.
    pub endpoint_type: usize,
    /// Number of the build that it runs.
    pub build: u32,
    /// Whether it is past slow start.
    pub is_warm: bool,
    /// When it began to warm up. `None` after slow start.
    pub warming_since: Option<Duration>,
    /// Whether its slow-start quota allows an attempt.
    pub has_quota: bool,
    /// Whether it has lost more than one attempt since its last response.
    pub has_repeated_faults: bool,
    /// Whether it has attempts in flight.
    pub is_busy: bool,
    /// Start of the current period with attempts in flight and no response. `None` if there is no
    /// such period.
    pub silent_since: Option<Duration>,
    /// When it may be tried again after an ejection. `None` if it is not ejected or has recovered
    /// since.
    pub ejected_until: Option<Duration>,
}

impl EndpointKey {
    /// Returns whether it accepts requests.
    pub fn is_running(&self) -> bool {
        self.state == EndpointState::Running
    }

    /// Returns its build and when it began to warm up, if it is running and in slow start.
    fn warming(&self) -> Option<(u32, Duration)> {
        let since = self.warming_since.filter(|_| self.is_running())?;
        Some((self.build, since))
    }

    /// Returns its cell if it is running.
    fn running_cell(&self) -> Option<u64> {
        self.is_running().then_some(self.cell)
    }

    /// Returns when its ejection ends, if it is running and was ejected.
    fn running_ejection(&self) -> Option<Duration> {
        self.ejected_until.filter(|_| self.is_running())
    }

    /// Returns the attributes that determine the counts it belongs to, if it is running.
    fn count_key(&self) -> Option<(u32, usize, bool)> {
        self.is_running()
            .then_some((self.build, self.zone, self.is_warm))
    }
}

/// Number of endpoints in some category.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct EndpointCount {
    /// Number of running endpoints.
    pub running: usize,
    /// Number of running endpoints past slow start.
    pub warm: usize,
}

impl EndpointCount {
    fn add(&mut self, key: &EndpointKey) {
        self.running += 1;
        self.warm += usize::from(key.is_warm);
    }

    fn remove(&mut self, key: &EndpointKey) {
        self.running = self.running.saturating_sub(1);
        self.warm = self.warm.saturating_sub(usize::from(key.is_warm));
    }
}

/// Counts and lists of endpoints by the attributes that decisions depend on.
#[derive(Default)]
pub(crate) struct FleetIndex {
    total: EndpointCount,
    by_build: BTreeMap<u32, EndpointCount>,
    by_zone: BTreeMap<usize, EndpointCount>,
    groups: MemberLists<EndpointGroup>,
    cells: MemberLists<u64>,
    /// Endpoints in slow start, by build.
    warming: BTreeMap<u32, WarmingTimes>,
    /// Ejections not yet known to have ended, ordered by their end, with the index of the endpoint.
    ejections: BTreeSet<(Duration, usize)>,
    affinity: AffinityIndex,
    sets: EndpointSets,
    zone_members: ZoneMembers,
}

impl FleetIndex {
    /// Updates all counts and lists after a change of one endpoint.
    pub fn update(&mut self, endpoint: usize, before: &EndpointKey, after: &EndpointKey) {
        self.update_counts(before, after);
        self.update_cells(endpoint, before, after);
        self.update_warming(endpoint, before, after);
        self.update_groups(endpoint, before, after);
        self.sets.update(endpoint, before, after);
        self.zone_members.update(endpoint, before, after);
        self.affinity.update(endpoint, before, after);
    }

    fn update_counts(&mut self, before: &EndpointKey, after: &EndpointKey) {
        if before.count_key() == after.count_key() {
            return;
        }
        if before.is_running() {
            self.total.remove(before);
            remove_from(&mut self.by_build, before.build, before);
            remove_from(&mut self.by_zone, before.zone, before);
        }
        if after.is_running() {
            self.total.add(after);
            self.by_build.entry(after.build).or_default().add(after);
            self.by_zone.entry(after.zone).or_default().add(after);
        }
    }

    fn update_cells(&mut self, endpoint: usize, before: &EndpointKey, after: &EndpointKey) {
        let (before, after) = (before.running_cell(), after.running_cell());
        if before == after {
            return;
        }
        if let Some(cell) = before {
            self.cells.remove(&cell, endpoint);
        }
        if let Some(cell) = after {
            self.cells.insert(cell, endpoint);
        }
    }

    fn update_warming(&mut self, endpoint: usize, before: &EndpointKey, after: &EndpointKey) {
        let (before, after) = (before.warming(), after.warming());
        if before == after {
            return;
        }
        if let Some((build, since)) = before {
            if let Some(times) = self.warming.get_mut(&build) {
                times.remove(since, endpoint);
                if times.is_empty() {
                    self.warming.remove(&build);
                }
            }
        }
        if let Some((build, since)) = after {
            self.warming
                .entry(build)
                .or_default()
                .insert(since, endpoint);
        }
    }

    fn update_groups(&mut self, endpoint: usize, before: &EndpointKey, after: &EndpointKey) {
        let (ejected_before, ejected_after) = (before.running_ejection(), after.running_ejection());
        let was_ejected =
            ejected_before.is_some_and(|until| self.ejections.contains(&(until, endpoint)));
        let mut is_ejected = was_ejected;
        if ejected_before != ejected_after {
            if let Some(until) = ejected_before {
                self.ejections.remove(&(until, endpoint));
            }
            if let Some(until) = ejected_after {
                self.ejections.insert((until, endpoint));
            }
            is_ejected = ejected_after.is_some();
        }
        let group_before = EndpointGroup::of(before, was_ejected);
        let group_after = EndpointGroup::of(after, is_ejected);
        self.move_endpoint(endpoint, group_before, group_after);
    }

    fn move_endpoint(
        &mut self,
        endpoint: usize,
        from: Option<EndpointGroup>,
        to: Option<EndpointGroup>,
    ) {
        if from == to {
            return;
        }
        if let Some(group) = from {
            self.groups.remove(&group, endpoint);
        }
        if let Some(group) = to {
            self.groups.insert(group, endpoint);
        }
    }

    /// Moves the endpoints whose ejection has ended by `now` to their new group, and returns how
    /// many there were. Each ejection is processed only once.
    pub fn end_ejections(&mut self, now: Duration, endpoints: &[Endpoint]) -> usize {
        let mut ended = 0;
        while let Some((_, endpoint)) = self.ejections.first().filter(|(until, _)| *until <= now) {
            let endpoint = *endpoint;
            self.ejections.pop_first();
            ended += 1;
            if let Some(key) = endpoints.get(endpoint).map(Endpoint::key) {
                let from = EndpointGroup::of(&key, true);
                let to = EndpointGroup::of(&key, false);
                self.move_endpoint(endpoint, from, to);
            }
        }
        ended
    }

    /// Returns the sets of endpoints that evaluations visit.
    pub fn sets(&self) -> &EndpointSets {
        &self.sets
    }

    /// Returns the counts over all endpoints.
    pub fn total(&self) -> EndpointCount {
        self.total
    }

    /// Returns the affinity index of the running endpoints.
    pub fn affinity(&self) -> &AffinityIndex {
        &self.affinity
    }

    /// Returns the counts of one build.
    pub fn of_build(&self, build: u32) -> EndpointCount {
        self.by_build.get(&build).copied().unwrap_or_default()
    }

    /// Returns the builds of the running endpoints, oldest first.
    pub fn builds(&self) -> impl Iterator<Item = u32> + '_ {
        self.by_build.keys().copied()
    }

    /// Returns the zones that have running endpoints, with their counts.
    pub fn zones(&self) -> impl Iterator<Item = (usize, EndpointCount)> + '_ {
        self.by_zone.iter().map(|(zone, count)| (*zone, *count))
    }

    /// Returns the counts of one zone.
    pub fn of_zone(&self, zone: usize) -> EndpointCount {
        self.by_zone.get(&zone).copied().unwrap_or_default()
    }

    /// Returns the endpoints by zone.
    pub fn zone_members(&self) -> &ZoneMembers {
        &self.zone_members
    }

    /// Returns the start times of a build's endpoints in slow start, or `None` if there are none.
    pub fn warming(&self, build: u32) -> Option<&WarmingTimes> {
        self.warming.get(&build)
    }

    /// Returns the groups of endpoints that may receive requests, with their members.
    pub fn groups(&self) -> impl Iterator<Item = (&EndpointGroup, &[usize])> {
        self.groups.iter()
    }

    /// Returns the running endpoints of a cell.
    pub fn cell(&self, cell: u64) -> &[usize] {
        self.cells.get(&cell)
    }
}

fn remove_from<K: Ord>(counts: &mut BTreeMap<K, EndpointCount>, of: K, key: &EndpointKey) {
    if let Some(count) = counts.get_mut(&of) {
        count.remove(key);
        if count.running == 0 {
            counts.remove(&of);
        }
    }
}
