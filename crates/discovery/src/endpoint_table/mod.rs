//! The endpoints that discovery lists, with the small indices by which the balancer knows them.
//!
//! A response is taken in by as many visits of entries as it has entries; one that lists every
//! endpoint also visits those that it lacks. Nothing else walks the table.

mod entry;
mod index_hold;
mod store;

pub use index_hold::IndexGuard;

use crate::clock::Clock;
use crate::list_response::{EndpointRecord, ListResponse};
use entry::TableEntry;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use store::EntryStore;
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
    indices: HashMap<Rc<str>, usize>,
    entries: EntryStore,
    endpoint_types: Vec<String>,
    /// How many responses were applied.
    responses: u64,
    /// The version of the last list that could be read as a whole; 0 before the first.
    pub version: u64,
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
    /// The positions of those entries that differ from what was listed of the endpoint before.
    changed: Vec<usize>,
    /// The endpoints that are gone because a complete list lacks them.
    removed: Vec<EndpointEntry>,
}

impl AppliedList {
    /// What differs from all responses before, in the form of a change: endpoints that a complete
    /// list lacks are among it as gone, those that it lists as before are not.
    pub fn into_changes(self) -> Vec<EndpointEntry> {
        let is_all_new = self.removed.is_empty() && self.changed.len() == self.entries.len();
        if is_all_new {
            return self.entries;
        }
        let mut changes = self.removed;
        let changed = self.changed.iter().map(|position| &self.entries[*position]);
        changes.extend(changed.cloned());
        changes
    }

    fn push(&mut self, entry: EndpointEntry, is_changed: bool, is_stale: bool) {
        if is_changed {
            self.changed.push(self.entries.len());
        }
        if is_stale {
            self.stale_endpoints.push(entry.endpoint);
        }
        self.entries.push(entry);
    }
}

/// A response while it is applied.
struct Application<'a> {
    version: u64,
    service: &'a ServiceConfig,
    clock: &'a Clock,
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
        self.responses += 1;
        let mut application = Application {
            version: response.version,
            service,
            clock,
            applied: AppliedList::default(),
        };
        let records = response.endpoints.len();
        application.applied.entries.reserve(records);
        if response.complete {
            self.reserve(records);
        }
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

    /// Makes room for so many endpoints at once, rather than by doubling what there is.
    fn reserve(&mut self, endpoints: usize) {
        let additional = endpoints.saturating_sub(self.entries.len());
        self.entries.reserve(additional);
        self.indices.reserve(additional);
    }

    fn apply_record(&mut self, record: EndpointRecord, application: &mut Application) {
        match self.index(&record.id) {
            Some(endpoint) => self.update_known(endpoint, record, application),
            // It went before it was known.
            None if record.state == EndpointState::Gone => {}
            None => self.insert_new(record, application),
        }
    }

    fn update_known(
        &mut self,
        endpoint: usize,
        record: EndpointRecord,
        application: &mut Application,
    ) {
        let mut listed = self.balancer_entry(endpoint, &record, application);
        let response = self.responses;
        let applied = &mut application.applied;
        let version = application.version;
        self.entries.update(endpoint, |entry| {
            let is_same = entry.is_same_build_and_place(&record, listed.zone);
            listed.state = entry.state_after(&record, is_same, version);
            let is_changed = entry.listed != listed;
            let is_stale = !is_same || listed.state != EndpointState::Running;
            applied.push(listed.clone(), is_changed, is_stale);
            entry.update(record, listed, version);
            entry.listed_in_response = response;
        });
    }

    /// Gives an endpoint an index that was not known.
    fn insert_new(&mut self, record: EndpointRecord, application: &mut Application) {
        let endpoint = self.entries.take_free_index();
        let listed = self.balancer_entry(endpoint, &record, application);
        let is_stale = listed.state != EndpointState::Running;
        application.applied.push(listed.clone(), true, is_stale);
        let hold = self.entries.hold(endpoint);
        let mut entry = TableEntry::new(record, listed, application.version, hold);
        entry.listed_in_response = self.responses;
        let id = Rc::clone(&entry.id);
        if let Some(replaced) = self.entries.insert(endpoint, entry) {
            self.indices.remove(&replaced.id);
        }
        self.indices.insert(id, endpoint);
    }

    /// A record in the form of the balancer.
    fn balancer_entry(
        &mut self,
        endpoint: usize,
        record: &EndpointRecord,
        application: &Application,
    ) -> EndpointEntry {
        let started = record
            .started_ms
            .and_then(|ms| application.clock.from_unix_ms(ms));
        EndpointEntry {
            endpoint,
            zone: zone_index(application.service, &record.zone),
            cell: record.cell,
            identity: stable_hash(&record.id),
            endpoint_type: self.endpoint_type_index(&record.endpoint_type),
            build: record.build,
            state: record.state,
            started,
        }
    }

    /// An endpoint whose entry cannot be read gets no attempts until it can be.
    fn drain_unreadable(&mut self, endpoint: usize, application: &mut Application) {
        let response = self.responses;
        let version = application.version;
        let applied = &mut application.applied;
        self.entries.update(endpoint, |entry| {
            let before = entry.listed.clone();
            if entry.is_running() {
                entry.stop(EndpointState::Draining, version);
            }
            entry.listed.cell = 0;
            entry.listed.endpoint_type = 0;
            entry.listed.started = None;
            entry.listed_in_response = response;
            applied.push(entry.listed.clone(), entry.listed != before, true);
        });
    }

    /// An endpoint that a complete list lacks is gone.
    fn remove_unlisted(&mut self, application: &mut Application) {
        let response = self.responses;
        let version = application.version;
        let applied = &mut application.applied;
        for endpoint in 0..self.entries.len() {
            self.entries.update(endpoint, |entry| {
                if entry.listed_in_response == response {
                    return;
                }
                let was_gone = entry.is_gone();
                entry.stop(EndpointState::Gone, version);
                if !was_gone {
                    applied.stale_endpoints.push(endpoint);
                    applied.removed.push(entry.listed.clone());
                }
            });
        }
    }

    /// Zones have other indices under new settings: returns the endpoints whose zone has, each with
    /// the zone's new index.
    pub fn update_zones(&mut self, service: &ServiceConfig) -> Vec<(usize, usize)> {
        let mut moved = Vec::new();
        for endpoint in 0..self.entries.len() {
            self.entries.update(endpoint, |entry| {
                let zone = zone_index(service, &entry.zone_name);
                if entry.listed.zone != zone {
                    entry.listed.zone = zone;
                    moved.push((endpoint, zone));
                }
            });
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

    /// The builds of all endpoints that are not gone.
    pub fn builds(&self) -> BTreeSet<u32> {
        self.entries.builds()
    }

    /// How many indices there are, with those of endpoints that are gone.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no endpoint was ever listed.
    pub fn is_empty(&self) -> bool {
        self.entries.len() == 0
    }

    /// How many entries were visited so far, whatever for: a measure of work that does not depend
    /// on the machine.
    pub fn entry_visits(&self) -> u64 {
        self.entries.visits()
    }

    /// Keeps the index with its endpoint for as long as the guard lives.
    pub fn hold_index(&self, endpoint: usize) -> Option<IndexGuard> {
        let entry = self.entries.get(endpoint)?;
        Some(IndexGuard::new(&entry.hold))
    }

    /// Whether any endpoint runs.
    pub fn has_running(&self) -> bool {
        self.entries.has_running()
    }

    /// The index of the endpoint with this id.
    pub fn index(&self, id: &str) -> Option<usize> {
        self.indices.get(id).copied()
    }

    /// The id of the endpoint at this index; empty for an index that is not in the table.
    pub fn id(&self, endpoint: usize) -> &str {
        self.entries.get(endpoint).map_or("", |entry| &entry.id)
    }

    /// All endpoints that run.
    pub fn targets(&self) -> Vec<AttemptTarget> {
        self.entries.iter().filter_map(target).collect()
    }

    /// Where to reach the endpoint; `None` unless it runs.
    pub fn target(&self, endpoint: usize) -> Option<AttemptTarget> {
        target(self.entries.get(endpoint)?)
    }
}

fn target(entry: &TableEntry) -> Option<AttemptTarget> {
    entry.is_running().then_some(AttemptTarget {
        endpoint: entry.listed.endpoint,
        address: entry.address,
        zone: entry.listed.zone,
        build: entry.listed.build,
    })
}

/// The index of a zone; that behind all named ones for a zone that the settings do not have.
fn zone_index(service: &ServiceConfig, name: &str) -> usize {
    service.zone_index(name).unwrap_or(service.zones.len())
}
