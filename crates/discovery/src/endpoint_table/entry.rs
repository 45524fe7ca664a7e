//! One entry of the endpoint table.

use super::index_hold::IndexHold;
use crate::list_response::EndpointRecord;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tulipwall::{EndpointEntry, EndpointState};

/// What is known of one endpoint.
pub(super) struct TableEntry {
    pub(super) id: Rc<str>,
    pub(super) address: SocketAddr,
    pub(super) zone_name: Arc<str>,
    /// What was last listed of it, in the form of the balancer.
    pub(super) listed: EndpointEntry,
    started_ms: Option<u64>,
    /// The newest version that said that it drains or is gone; 0 while it runs.
    stopped_at_version: u64,
    /// The last response that lists it, by the table's own count.
    pub(super) listed_in_response: u64,
    /// Cloned by each attempt to it.
    pub(super) hold: Rc<IndexHold>,
}

impl TableEntry {
    /// An endpoint that was not known, as a record of the given version lists it.
    pub(super) fn new(
        record: EndpointRecord,
        listed: EndpointEntry,
        version: u64,
        hold: Rc<IndexHold>,
    ) -> TableEntry {
        let is_running = listed.state == EndpointState::Running;
        TableEntry {
            id: Rc::from(record.id),
            address: record.address,
            zone_name: record.zone,
            listed,
            started_ms: record.started_ms,
            stopped_at_version: if is_running { 0 } else { version },
            listed_in_response: 0,
            hold,
        }
    }

    pub(super) fn state(&self) -> EndpointState {
        self.listed.state
    }

    pub(super) fn is_running(&self) -> bool {
        self.state() == EndpointState::Running
    }

    pub(super) fn is_gone(&self) -> bool {
        self.state() == EndpointState::Gone
    }

    pub(super) fn is_same_build_and_place(&self, record: &EndpointRecord, zone: usize) -> bool {
        self.address == record.address
            && self.listed.zone == zone
            && self.listed.build == record.build
    }

    /// The state after a record. Another instance of discovery may hold an older list, in which an
    /// endpoint that has stopped since still runs: it stays stopped until a newer list, or
    /// another start of the endpoint, says otherwise. That does harm to one that is called back
    /// within the same version.
    pub(super) fn state_after(
        &self,
        record: &EndpointRecord,
        is_same: bool,
        version: u64,
    ) -> EndpointState {
        let is_older =
            version < self.stopped_at_version && is_same && record.started_ms <= self.started_ms;
        let would_resume = record.state == EndpointState::Running && !self.is_running();
        if is_older && would_resume {
            return self.state();
        }
        record.state
    }

    /// Takes in a record of the given version, which lists it as `listed`.
    pub(super) fn update(&mut self, record: EndpointRecord, listed: EndpointEntry, version: u64) {
        self.address = record.address;
        self.zone_name = record.zone;
        self.started_ms = record.started_ms;
        let state = listed.state;
        self.listed = listed;
        if state == EndpointState::Running {
            self.stopped_at_version = 0;
        } else {
            self.stop(state, version);
        }
    }

    /// From this version on it drains or is gone.
    pub(super) fn stop(&mut self, state: EndpointState, version: u64) {
        self.listed.state = state;
        self.stopped_at_version = self.stopped_at_version.max(version);
    }
}
