//! What is kept up to date about the endpoints at each change, so that nobody walks over them.

use super::AffinityIndex;
use crate::interface::EndpointState;
use std::collections::BTreeMap;
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
    /// Index of its hardware type.
    pub endpoint_type: usize,
    /// The build that it runs.
    pub build: u32,
    /// Whether it is past slow start.
    pub is_warm: bool,
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

/// Counts of the endpoints, by what matters to decisions.
#[derive(Default)]
pub(crate) struct FleetIndex {
    total: EndpointCount,
    by_build: BTreeMap<u32, EndpointCount>,
    affinity: AffinityIndex,
}

impl FleetIndex {
    /// Takes in a change of one endpoint.
    pub fn update(&mut self, endpoint: usize, before: &EndpointKey, after: &EndpointKey) {
        if before.is_running() {
            self.remove(before);
        }
        if after.is_running() {
            self.add(after);
        }
        self.affinity.update(endpoint, before, after);
    }

    fn add(&mut self, key: &EndpointKey) {
        self.total.add(key);
        self.by_build.entry(key.build).or_default().add(key);
    }

    fn remove(&mut self, key: &EndpointKey) {
        self.total.remove(key);
        if let Some(count) = self.by_build.get_mut(&key.build) {
            count.remove(key);
            if count.running == 0 {
                self.by_build.remove(&key.build);
            }
        }
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
}
