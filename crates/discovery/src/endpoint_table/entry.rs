//! One entry of the endpoint table, and how discovery's records update it.

use super::index_hold::IndexHold;
use crate::list_response::EndpointRecord;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tulipwall::{EndpointEntry, EndpointState};

/// What the table knows about one endpoint.
pub(super) struct TableEntry {
    pub(super) id: Rc<str>,
    pub(super) address: SocketAddr,
    pub(super) zone_name: Arc<str>,
    /// The endpoint as last listed, in the balancer's format.
    pub(super) listed: EndpointEntry,
    /// The endpoint's last start, in Unix time milliseconds; `None` means long ago.
    started_ms: Option<u64>,
    /// The newest list version that reported the endpoint as draining or gone; 0 while it is
    /// running.
    stopped_at_version: u64,
    /// The number of the last response that lists the endpoint, as counted by the table.
    pub(super) listed_in_response: u64,
    /// Keeps the endpoint's index from being reused; every attempt to the endpoint clones it.
    pub(super) hold: Rc<IndexHold>,
}

impl TableEntry {
    /// Creates the entry of a new endpoint from its record in a list of the given version.
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

    /// Whether the record has the build, the address and the zone of this entry. `zone` is the
    /// index of the record's zone.
    pub(super) fn has_same_build_and_location(&self, record: &EndpointRecord, zone: usize) -> bool {
        self.address == record.address
            && self.listed.zone == zone
            && self.listed.build == record.build
    }

    /// Returns the endpoint's state after a record is applied. `is_same` says whether the record
    /// has the entry's build, address and zone.
    ///
    /// Another discovery instance may serve an older list, in which an endpoint that has since
    /// stopped is still running. The endpoint stays stopped until a newer list or another start of
    /// the endpoint says otherwise. This does harm to an endpoint that is put back into service
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

    /// Applies a record of the given version; `listed` is the record in the balancer's format.
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

    /// Marks the endpoint as draining or gone from this version on.
    pub(super) fn stop(&mut self, state: EndpointState, version: u64) {
        self.listed.state = state;
        self.stopped_at_version = self.stopped_at_version.max(version);
    }
}
