//! The endpoints that discovery lists, with the small indices by which the balancer knows them.

use crate::clock::Clock;
use crate::list_response::{EndpointRecord, ListResponse};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use tulipwall::{EndpointEntry, EndpointState};
use tulipwall_config::{stable_hash, ServiceConfig};

/// The most endpoint types that are told apart; further ones count as the last.
const MAX_ENDPOINT_TYPES: usize = 16;

/// The endpoints that discovery listed, by index.
///
/// The index of an endpoint that is gone is reused once no attempt holds it (see
/// [`EndpointTable::hold_index`]), so the table grows with what runs and not with what ever ran.
#[derive(Default)]
pub struct EndpointTable {
    indices: HashMap<String, usize>,
    entries: Vec<TableEntry>,
    endpoint_types: Vec<String>,
    /// The version of the last list that could be read as a whole; 0 before the first.
    pub version: u64,
}

struct TableEntry {
    id: String,
    address: SocketAddr,
    zone_name: String,
    zone: usize,
    build: u32,
    state: EndpointState,
    started_ms: Option<u64>,
    /// The newest version that said that it drains or is gone; 0 while it runs.
    stopped_at_version: u64,
    /// Cloned by each attempt to it.
    holders: Rc<()>,
}

/// Keeps the index of an endpoint from being reused for as long as it lives.
#[derive(Clone, Debug)]
pub struct IndexGuard {
    _holder: Rc<()>,
}

/// Where an attempt goes: one build at one address.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptTarget {
    /// The endpoint's index.
    pub endpoint: usize,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// The index of its zone; the number of named zones for one that the settings do not have.
    pub zone: usize,
    /// The build that it runs.
    pub build: u32,
}

/// What a response changed.
#[derive(Debug, Default)]
pub struct AppliedList {
    /// The endpoints that it lists, in the form of the balancer.
    pub entries: Vec<EndpointEntry>,
    /// The endpoints whose idle connections are of no more use.
    pub stale_endpoints: Vec<usize>,
}

/// A response while it is applied.
struct Application<'a> {
    version: u64,
    service: &'a ServiceConfig,
    clock: &'a Clock,
    listed: BTreeSet<usize>,
    applied: AppliedList,
}

impl EndpointTable {
    /// Applies a response. One that could not be read as a whole does not change the version, so
    /// that all of it is asked for again.
    pub fn apply(
        &mut self,
        response: ListResponse,
        service: &ServiceConfig,
        clock: &Clock,
    ) -> AppliedList {
        if response.first_error.is_none() {
            self.version = response.version;
        }
        let mut application = Application {
            version: response.version,
            service,
            clock,
            listed: BTreeSet::new(),
            applied: AppliedList::default(),
        };
        for record in response.endpoints {
            self.apply_record(record, &mut application);
        }
        for id in &response.unreadable_ids {
            if let Some(endpoint) = self.index(id) {
                self.drain_unreadable(endpoint, &mut application);
            }
        }
        if response.complete {
            self.remove_unlisted(&mut application);
        }
        application.applied
    }

    fn apply_record(&mut self, record: EndpointRecord, application: &mut Application) {
        let zone = zone_index(application.service, &record.zone);
        let Some(endpoint) = self.index_or_insert(&record, zone) else {
            return;
        };
        let endpoint_type = self.endpoint_type_index(&record.endpoint_type);
        let entry = &mut self.entries[endpoint];
        let is_same = entry.is_same_build_and_place(&record, zone);
        let state = entry.state_after(&record, is_same, application.version);
        let started = record
            .started_ms
            .and_then(|ms| application.clock.from_unix_ms(ms));
        application.listed.insert(endpoint);
        if !is_same || state != EndpointState::Running {
            application.applied.stale_endpoints.push(endpoint);
        }
        application.applied.entries.push(EndpointEntry {
            endpoint,
            zone,
            cell: record.cell,
            identity: stable_hash(&record.id),
            endpoint_type,
            build: record.build,
            state,
            started,
        });
        entry.update(record, zone, state, application.version);
    }

    /// An endpoint whose entry cannot be read gets no attempts until it can be.
    fn drain_unreadable(&mut self, endpoint: usize, application: &mut Application) {
        let entry = &mut self.entries[endpoint];
        if entry.state == EndpointState::Running {
            entry.stop(EndpointState::Draining, application.version);
        }
        application.listed.insert(endpoint);
        application.applied.stale_endpoints.push(endpoint);
        application.applied.entries.push(EndpointEntry {
            endpoint,
            zone: entry.zone,
            cell: 0,
            identity: stable_hash(&entry.id),
            endpoint_type: 0,
            build: entry.build,
            state: entry.state,
            started: None,
        });
    }

    /// An endpoint that a complete list lacks is gone.
    fn remove_unlisted(&mut self, application: &mut Application) {
        for (endpoint, entry) in self.entries.iter_mut().enumerate() {
            if application.listed.contains(&endpoint) {
                continue;
            }
            entry.stop(EndpointState::Gone, application.version);
            application.applied.stale_endpoints.push(endpoint);
        }
    }

    /// Zones have other indices under new settings: returns the endpoints whose zone has, each with
    /// the zone's new index.
    pub fn update_zones(&mut self, service: &ServiceConfig) -> Vec<(usize, usize)> {
        let mut moved = Vec::new();
        for (endpoint, entry) in self.entries.iter_mut().enumerate() {
            let zone = zone_index(service, &entry.zone_name);
            if entry.zone != zone {
                entry.zone = zone;
                moved.push((endpoint, zone));
            }
        }
        moved
    }

    fn endpoint_type_index(&mut self, name: &str) -> usize {
        let known = self.endpoint_types.iter().position(|known| known == name);
        if let Some(index) = known {
            return index;
        }
        if self.endpoint_types.len() < MAX_ENDPOINT_TYPES {
            self.endpoint_types.push(name.to_owned());
        }
        self.endpoint_types.len() - 1
    }

    /// The index of a listed endpoint, which gets one if it has none; `None` for one that went
    /// before it was known.
    fn index_or_insert(&mut self, record: &EndpointRecord, zone: usize) -> Option<usize> {
        if let Some(index) = self.index(&record.id) {
            return Some(index);
        }
        if record.state == EndpointState::Gone {
            return None;
        }
        let entry = TableEntry::new(record, zone);
        let reusable = self.entries.iter().position(TableEntry::is_reusable);
        let index = match reusable {
            Some(index) => {
                let replaced = std::mem::replace(&mut self.entries[index], entry);
                self.indices.remove(&replaced.id);
                index
            }
            None => {
                self.entries.push(entry);
                self.entries.len() - 1
            }
        };
        self.indices.insert(record.id.clone(), index);
        Some(index)
    }

    /// The builds of all endpoints that are not gone.
    pub fn builds(&self) -> BTreeSet<u32> {
        self.entries
            .iter()
            .filter(|entry| entry.state != EndpointState::Gone)
            .map(|entry| entry.build)
            .collect()
    }

    /// How many indices there are, with those of endpoints that are gone.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no endpoint was ever listed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Keeps the index with its endpoint for as long as the guard lives.
    pub fn hold_index(&self, endpoint: usize) -> Option<IndexGuard> {
        let entry = self.entries.get(endpoint)?;
        Some(IndexGuard {
            _holder: Rc::clone(&entry.holders),
        })
    }

    /// Whether any endpoint runs.
    pub fn has_running(&self) -> bool {
        self.entries
            .iter()
            .any(|entry| entry.state == EndpointState::Running)
    }

    /// The index of the endpoint with this id.
    pub fn index(&self, id: &str) -> Option<usize> {
        self.indices.get(id).copied()
    }

    /// The id of the endpoint at this index, which must be in the table.
    pub fn id(&self, endpoint: usize) -> &str {
        &self.entries[endpoint].id
    }

    /// All endpoints that run.
    pub fn targets(&self) -> Vec<AttemptTarget> {
        (0..self.entries.len())
            .filter_map(|endpoint| self.target(endpoint))
            .collect()
    }

    /// Where to reach the endpoint; `None` unless it runs.
    pub fn target(&self, endpoint: usize) -> Option<AttemptTarget> {
        let entry = self.entries.get(endpoint)?;
        if entry.state != EndpointState::Running {
            return None;
        }
        Some(AttemptTarget {
            endpoint,
            address: entry.address,
            zone: entry.zone,
            build: entry.build,
        })
    }
}

impl TableEntry {
    fn new(record: &EndpointRecord, zone: usize) -> TableEntry {
        TableEntry {
            id: record.id.clone(),
            address: record.address,
            zone_name: record.zone.clone(),
            zone,
            build: record.build,
            state: record.state,
            started_ms: record.started_ms,
            stopped_at_version: 0,
            holders: Rc::default(),
        }
    }

    fn is_reusable(&self) -> bool {
        self.state == EndpointState::Gone && Rc::strong_count(&self.holders) == 1
    }

    fn is_same_build_and_place(&self, record: &EndpointRecord, zone: usize) -> bool {
        self.address == record.address && self.zone == zone && self.build == record.build
    }

    /// The state after a record. Another instance of discovery may hold an older list, in which an
    /// endpoint that has stopped since still runs: it stays stopped until a newer list, or
    /// another start of the endpoint, says otherwise. That does harm to one that is called back
    /// within the same version.
    fn state_after(&self, record: &EndpointRecord, is_same: bool, version: u64) -> EndpointState {
        let is_older =
            version < self.stopped_at_version && is_same && record.started_ms <= self.started_ms;
        let would_resume =
            record.state == EndpointState::Running && self.state != EndpointState::Running;
        if is_older && would_resume {
            return self.state;
        }
        record.state
    }

    fn update(&mut self, record: EndpointRecord, zone: usize, state: EndpointState, version: u64) {
        self.address = record.address;
        self.zone_name = record.zone;
        self.zone = zone;
        self.build = record.build;
        self.started_ms = record.started_ms;
        if state == EndpointState::Running {
            self.state = state;
            self.stopped_at_version = 0;
        } else {
            self.stop(state, version);
        }
    }

    fn stop(&mut self, state: EndpointState, version: u64) {
        self.state = state;
        self.stopped_at_version = self.stopped_at_version.max(version);
    }
}

/// The index of a zone; that behind all named ones for a zone that the settings do not have.
fn zone_index(service: &ServiceConfig, name: &str) -> usize {
    service.zone_index(name).unwrap_or(service.zones.len())
}
