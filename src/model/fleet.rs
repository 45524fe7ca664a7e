//! The endpoints, as the endpoint list names them.

use super::{Endpoint, EndpointType};
use crate::interface::EndpointState;
use std::cell::Cell;

/// All endpoints and their hardware types, by index.
#[derive(Default)]
pub(crate) struct Fleet {
    /// Endpoints, by index. Those that left the list keep their place.
    pub endpoints: Vec<Endpoint>,
    /// Hardware types, by index.
    pub types: Vec<EndpointType>,
    scanned: Cell<u64>,
}

impl Fleet {
    /// The endpoints that run. Counts all endpoints as scanned, also where the caller stops early:
    /// a measure of work that does not depend on a clock.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Endpoint)> {
        let scanned = self.scanned.get().wrapping_add(self.endpoints.len() as u64);
        self.scanned.set(scanned);
        self.endpoints
            .iter()
            .enumerate()
            .filter(|(_, endpoint)| endpoint.state == EndpointState::Running)
    }

    /// Endpoints that were scanned so far.
    pub fn scanned(&self) -> u64 {
        self.scanned.get()
    }

    /// Starts the count of scanned endpoints anew.
    pub fn reset_scanned(&mut self) {
        self.scanned.set(0);
    }
}
