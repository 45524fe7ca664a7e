//! The endpoints that the endpoint list has named.

use super::{Endpoint, EndpointKey, EndpointType, FleetIndex};
use crate::interface::EndpointState;
use std::cell::Cell;
use std::ops::{Deref, DerefMut};
use std::time::Duration;

/// All endpoints and their hardware types, by index.
#[derive(Default)]
pub(crate) struct Fleet {
    /// Hardware types, by index.
    pub types: Vec<EndpointType>,
    /// Endpoints, by index. Endpoints that left the list keep their index.
    endpoints: Vec<Endpoint>,
    index: FleetIndex,
    scanned: Cell<u64>,
    full_walks: Cell<u64>,
}

impl Fleet {
    /// Returns the number of endpoints that were ever listed.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Adds endpoints in the state `Gone` until there are `endpoints` of them.
    pub fn extend_to(&mut self, endpoints: usize) {
        if endpoints > self.endpoints.len() {
            self.endpoints.resize_with(endpoints, Endpoint::default);
        }
    }

    /// Returns an endpoint, or `None` if the index is not known.
    pub fn get(&self, index: usize) -> Option<&Endpoint> {
        self.endpoints.get(index)
    }

    /// Returns an endpoint. Panics if the index is not known.
    pub fn endpoint(&self, index: usize) -> &Endpoint {
        &self.endpoints[index]
    }

    /// Returns an endpoint for modification, or `None` if the index is not known.
    pub fn get_mut(&mut self, index: usize) -> Option<EndpointMut<'_>> {
        let endpoint = self.endpoints.get_mut(index)?;
        Some(EndpointMut {
            endpoint_index: index,
            before: endpoint.key(),
            endpoint,
            index: &mut self.index,
        })
    }

    /// Returns an endpoint for modification. Panics if the index is not known.
    pub fn endpoint_mut(&mut self, index: usize) -> EndpointMut<'_> {
        let endpoint = &mut self.endpoints[index];
        EndpointMut {
            endpoint_index: index,
            before: endpoint.key(),
            endpoint,
            index: &mut self.index,
        }
    }

    /// Returns an endpoint and its hardware type for modification. Panics if the index is not
    /// known.
    pub fn endpoint_and_type_mut(&mut self, index: usize) -> (EndpointMut<'_>, &mut EndpointType) {
        let endpoint = &mut self.endpoints[index];
        let hardware = &mut self.types[endpoint.endpoint_type];
        let endpoint = EndpointMut {
            endpoint_index: index,
            before: endpoint.key(),
            endpoint,
            index: &mut self.index,
        };
        (endpoint, hardware)
    }

    /// Returns all endpoints that were ever listed, and counts them as scanned.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.count_scanned(self.endpoints.len());
        self.endpoints.iter()
    }

    /// Returns the running endpoints. Counts all endpoints as scanned even if the caller stops
    /// early, as a measure of work that does not depend on a clock.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Endpoint)> {
        self.iter()
            .enumerate()
            .filter(|(_, endpoint)| endpoint.state == EndpointState::Running)
    }

    /// Returns the index that is updated at each change of an endpoint.
    pub fn index(&self) -> &FleetIndex {
        &self.index
    }

    /// Updates the index for the ejections that have ended by `now`.
    pub fn end_ejections(&mut self, now: Duration) {
        let ended = self.index.end_ejections(now, &self.endpoints);
        self.count_scanned(ended);
    }

    /// Adds to the number of endpoints that were examined.
    pub fn count_scanned(&self, endpoints: usize) {
        let scanned = self.scanned.get().wrapping_add(endpoints as u64);
        self.scanned.set(scanned);
    }

    /// Returns how many endpoints have been examined so far.
    pub fn scanned(&self) -> u64 {
        self.scanned.get()
    }

    /// Counts a decision that examined all endpoints.
    pub fn count_full_walk(&self) {
        self.full_walks.set(self.full_walks.get().wrapping_add(1));
    }

    /// Returns how many decisions have examined all endpoints so far.
    pub fn full_walks(&self) -> u64 {
        self.full_walks.get()
    }

    /// Resets the counts of scanned endpoints and of decisions that examined all endpoints to zero.
    pub fn reset_scanned(&mut self) {
        self.scanned.set(0);
        self.full_walks.set(0);
    }
}

/// An endpoint that is being modified. The fleet index is updated when this guard is dropped.
pub(crate) struct EndpointMut<'a> {
    endpoint_index: usize,
    before: EndpointKey,
    endpoint: &'a mut Endpoint,
    index: &'a mut FleetIndex,
}

impl Deref for EndpointMut<'_> {
    type Target = Endpoint;

    fn deref(&self) -> &Endpoint {
        self.endpoint
    }
}

impl DerefMut for EndpointMut<'_> {
    fn deref_mut(&mut self) -> &mut Endpoint {
        self.endpoint
    }
}

impl Drop for EndpointMut<'_> {
    fn drop(&mut self) {
        let after = self.endpoint.key();
        if after != self.before {
            self.index.update(self.endpoint_index, &self.before, &after);
        }
    }
}
