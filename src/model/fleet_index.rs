//! What is kept up to date about the endpoints at each change, so that nobody walks over them.

use super::{
    AffinityIndex, Endpoint, EndpointGroup, EndpointSets, MemberLists, WarmingTimes, ZoneMembers,
};
use crate::interface::EndpointState;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What the index of the fleet knows an endpoint by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct EndpointKey {
    /// Whether it may be sent requests.
    pub state: EndpointState,
    /// Number that identifies it at every agent.
    pub identity: u64,
    /// Index of its zone.
    pub zone: usize,
    /// Number of its cell.
    pub cell: u64,
    /// Index of its hardware type.
    pub endpoint_type: usize,
    /// The build that it runs.
    pub build: u32,
    /// Whether it is past slow start.
    pub is_warm: bool,
    /// Since when it is warming up; `None` past slow start.
    pub warming_since: Option<Duration>,
    /// Whether slow start leaves it an attempt.
    pub has_quota: bool,
    /// Whether it lost more than one attempt since its last answer.
    pub has_repeated_faults: bool,
    /// Whether it has attempts in flight.
    pub is_busy: bool,
    /// Since when it has attempts in flight and said nothing.
    pub silent_since: Option<Duration>,
    /// When it may be tried again after an ejection.
    pub ejected_until: Option<Duration>,
}

impl EndpointKey {
    /// Whether it may be sent requests.
    pub fn is_running(&self) -> bool {
        self.state == EndpointState::Running
    }

    /// The build that it runs and since when it warms up, where it runs and does.
    fn warming(&self) -> Option<(u32, Duration)> {
        let since = self.warming_since.filter(|_| self.is_running())?;
        Some((self.build, since))
    }

    /// Its cell, where it runs.
    fn running_cell(&self) -> Option<u64> {
        self.is_running().then_some(self.cell)
    }

    /// When its ejection ends, where it runs and was ejected.
    fn running_ejection(&self) -> Option<Duration> {
        self.ejected_until.filter(|_| self.is_running())
    }

    /// What it counts under, where it runs.
    fn counted(&self) -> Option<(u32, usize, bool)> {
        self.is_running()
            .then_some((self.build, self.zone, self.is_warm))
    }
}

/// How many endpoints there are of a kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct EndpointCount {
    /// Those that run.
    pub running: usize,
    /// Those that run and are past slow start.
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

/// Counts and lists of the endpoints, by what matters to decisions.
#[derive(Default)]
pub(crate) struct FleetIndex {
    total: EndpointCount,
    by_build: BTreeMap<u32, EndpointCount>,
    by_zone: BTreeMap<usize, EndpointCount>,
    groups: MemberLists<EndpointGroup>,
    cells: MemberLists<u64>,
    /// By build: endpoints that are warming up.
    warming: BTreeMap<u32, WarmingTimes>,
    /// Ejections that were not found to be over yet, by their end.
    ejections: BTreeSet<(Duration, usize)>,
    affinity: AffinityIndex,
    sets: EndpointSets,
    zone_members: ZoneMembers,
}

impl FleetIndex {
    /// Takes in a change of one endpoint.
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
        if before.counted() == after.counted() {
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

    /// Takes in that time has passed: ejections that are over. How many they were; each one costs
    /// once.
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

    /// Sets of endpoints that evaluations walk.
    pub fn sets(&self) -> &EndpointSets {
        &self.sets
    }

    /// All endpoints.
    pub fn total(&self) -> EndpointCount {
        self.total
    }

    /// The running endpoints, by the keys that are theirs.
    pub fn affinity(&self) -> &AffinityIndex {
        &self.affinity
    }

    /// Endpoints of one build.
    pub fn of_build(&self, build: u32) -> EndpointCount {
        self.by_build.get(&build).copied().unwrap_or_default()
    }

    /// Builds that any endpoint runs, the oldest first.
    pub fn builds(&self) -> impl Iterator<Item = u32> + '_ {
        self.by_build.keys().copied()
    }

    /// Zones that any endpoint runs in, with its endpoints.
    pub fn zones(&self) -> impl Iterator<Item = (usize, EndpointCount)> + '_ {
        self.by_zone.iter().map(|(zone, count)| (*zone, *count))
    }

    /// Running endpoints of a zone.
    pub fn of_zone(&self, zone: usize) -> EndpointCount {
        self.by_zone.get(&zone).copied().unwrap_or_default()
    }

    /// Endpoints by zone.
    pub fn zone_members(&self) -> &ZoneMembers {
        &self.zone_members
    }

    /// Endpoints of a build that are warming up, where there are any.
    pub fn warming(&self, build: u32) -> Option<&WarmingTimes> {
        self.warming.get(&build)
    }

    /// The groups of endpoints that may get a request, with their members.
    pub fn groups(&self) -> impl Iterator<Item = (&EndpointGroup, &[usize])> {
        self.groups.iter()
    }

    /// The running endpoints of a cell.
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
