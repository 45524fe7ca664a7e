//! The endpoints that discovery lists, and the small indices that the balancer uses for them.
//!
//! Applying a response visits one table entry for each entry of the response. A complete list also
//! visits every entry of the table, to find the endpoints that it no longer contains. No other step
//! of applying a response iterates over the table.

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

/// Maximum number of endpoint types that are distinguished; further types count as the last one.
const MAX_ENDPOINT_TYPES: usize = 16;

/// The endpoints that discovery listed, by index.
///
/// The index of an endpoint that is gone is reused once no attempt holds it (see
/// [`EndpointTable::hold_index`]), so the table's size depends on the endpoints that exist now, not
/// on all that ever existed.
#[derive(Default)]
pub struct EndpointTable {
    indices: HashMap<Rc<str>, usize>,
    entries: EntryStore,
    endpoint_types: Vec<String>,
    /// The number of responses applied so far.
    responses: u64,
    /// The version of the last list that was read without errors; 0 before the first one.
    pub version: u64,
}

/// The destination of an attempt: one build at one address.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptTarget {
    /// The endpoint's index.
    pub endpoint: usize,
    /// The address on which the endpoint accepts connections.
    pub address: SocketAddr,
    /// The index of the endpoint's zone. A zone that is not in the settings has the number of named
    /// zones as its index.
    pub zone: usize,
    /// The build that the endpoint runs.
    pub build: u32,
}

/// The result of applying a response to the table.
#[derive(Debug, Default)]
pub struct AppliedList {
    /// The endpoints that the response lists, in the balancer's format.
    pub entries: Vec<EndpointEntry>,
    /// The indices of endpoints whose idle connections must no longer be used.
    pub stale_endpoints: Vec<usize>,
    /// The positions in `entries` of those that differ from what was listed before.
    changed: Vec<usize>,
    /// The endpoints that are gone because a complete list does not contain them.
    removed: Vec<EndpointEntry>,
}

impl AppliedList {
    /// Returns only the entries that differ from the responses before, as an incremental update:
    /// endpoints missing from a complete list are included as gone, unchanged ones are left out.
    pub fn into_changes(self) -> Vec<EndpointEntry> {
        let all_entries_changed =
            self.removed.is_empty() && self.changed.len() == self.entries.len();
        if all_entries_changed {
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

/// State that is shared by the steps of applying one response.
struct ApplyContext<'a> {
    version: u64,
    service: &'a ServiceConfig,
    clock: &'a Clock,
    applied: AppliedList,
}

impl EndpointTable {
    /// Applies a response. If some of its entries could not be read, the version stays unchanged,
    /// so that the whole response is requested again.
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
        let mut context = ApplyContext {
            version: response.version,
            service,
            clock,
            applied: AppliedList::default(),
        };
        let records = response.endpoints.len();
        context.applied.entries.reserve(records);
        if response.complete {
            self.reserve(records);
        }
        for record in response.endpoints {
            self.apply_record(record, &mut context);
        }
        for id in &response.unreadable_ids {
            if let Some(endpoint) = self.index(id) {
                self.drain_unreadable(endpoint, &mut context);
            }
        }
        if response.complete {
            self.remove_unlisted(&mut context);
        }
        context.applied
    }

    /// Reserves space for this number of endpoints at once, rather than growing by doubling.
    fn reserve(&mut self, endpoints: usize) {
        let additional = endpoints.saturating_sub(self.entries.len());
        self.entries.reserve(additional);
        self.indices.reserve(additional);
    }

    fn apply_record(&mut self, record: EndpointRecord, context: &mut ApplyContext) {
        match self.index(&record.id) {
            Some(endpoint) => self.update_known(endpoint, record, context),
            // The endpoint was gone before the table first saw it, so there is nothing to record.
            None if record.state == EndpointState::Gone => {}
            None => self.insert_new(record, context),
        }
    }

    fn update_known(
        &mut self,
        endpoint: usize,
        record: EndpointRecord,
        context: &mut ApplyContext,
    ) {
        let mut listed = self.balancer_entry(endpoint, &record, context);
        let response = self.responses;
        let applied = &mut context.applied;
        let version = context.version;
        self.entries.update(endpoint, |entry| {
            let is_same = entry.has_same_build_and_location(&record, listed.zone);
            listed.state = entry.state_after(&record, is_same, version);
            let is_changed = entry.listed != listed;
            let is_stale = !is_same || listed.state != EndpointState::Running;
            applied.push(listed.clone(), is_changed, is_stale);
            entry.update(record, listed, version);
            entry.listed_in_response = response;
        });
    }

    /// Adds an endpoint that is not in the table and assigns it an index.
    fn insert_new(&mut self, record: EndpointRecord, context: &mut ApplyContext) {
        let endpoint = self.entries.take_free_index();
        let listed = self.balancer_entry(endpoint, &record, context);
        let is_stale = listed.state != EndpointState::Running;
        context.applied.push(listed.clone(), true, is_stale);
        let hold = self.entries.hold(endpoint);
        let mut entry = TableEntry::new(record, listed, context.version, hold);
        entry.listed_in_response = self.responses;
        let id = Rc::clone(&entry.id);
        if let Some(replaced) = self.entries.insert(endpoint, entry) {
            self.indices.remove(&replaced.id);
        }
        self.indices.insert(id, endpoint);
    }

    /// Converts a record to the balancer's format.
    fn balancer_entry(
        &mut self,
        endpoint: usize,
        record: &EndpointRecord,
        context: &ApplyContext,
    ) -> EndpointEntry {
        let started = record
            .started_ms
            .and_then(|ms| context.clock.from_unix_ms(ms));
        EndpointEntry {
            endpoint,
            zone: zone_index(context.service, &record.zone),
            cell: record.cell,
            identity: stable_hash(&record.id),
            endpoint_type: self.endpoint_type_index(&record.endpoint_type),
            build: record.build,
            state: record.state,
            started,
        }
    }

    /// Drains an endpoint whose entry cannot be read: it gets no attempts until its entry is
    /// readable.
    fn drain_unreadable(&mut self, endpoint: usize, context: &mut ApplyContext) {
        let response = self.responses;
        let version = context.version;
        let applied = &mut context.applied;
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

    /// Marks the endpoints that a complete list does not contain as gone.
    fn remove_unlisted(&mut self, context: &mut ApplyContext) {
        let response = self.responses;
        let version = context.version;
        let applied = &mut context.applied;
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

    /// Recomputes the zone indices after a change of the settings. Returns each endpoint whose zone
    /// index changed, with the new index.
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

    /// Returns the builds of all endpoints that are not gone.
    pub fn builds(&self) -> BTreeSet<u32> {
        self.entries.builds()
    }

    /// Returns the number of indices, including those of endpoints that are gone.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no endpoint was ever listed.
    pub fn is_empty(&self) -> bool {
        self.entries.len() == 0
    }

    /// Returns how many entry accesses were made so far, for any purpose. This measures the work
    /// independently of the machine.
    pub fn entry_visits(&self) -> u64 {
        self.entries.visits()
    }

    /// Keeps the index assigned to its endpoint until the guard is dropped. Returns `None` for an
    /// index that is not in the table.
    pub fn hold_index(&self, endpoint: usize) -> Option<IndexGuard> {
        let entry = self.entries.get(endpoint)?;
        Some(IndexGuard::new(&entry.hold))
    }

    /// Whether any endpoint is running.
    pub fn has_running(&self) -> bool {
        self.entries.has_running()
    }

    /// Returns the index of the endpoint with this id; `None` if the id is not in the table.
    pub fn index(&self, id: &str) -> Option<usize> {
        self.indices.get(id).copied()
    }

    /// Returns the id of the endpoint at this index; empty for an index that is not in the table.
    pub fn id(&self, endpoint: usize) -> &str {
        self.entries.get(endpoint).map_or("", |entry| &entry.id)
    }

    /// Returns the attempt targets of all running endpoints.
    pub fn targets(&self) -> Vec<AttemptTarget> {
        self.entries.iter().filter_map(target).collect()
    }

    /// Returns the endpoint's attempt target; `None` unless the endpoint is running.
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

/// Returns the index of a zone. A zone that is not in the settings gets the index after all named
/// zones.
fn zone_index(service: &ServiceConfig, name: &str) -> usize {
    service.zone_index(name).unwrap_or(service.zones.len())
}
