//! The endpoints, as the endpoint list names them.

use super::{Endpoint, EndpointKey, EndpointType, FleetIndex};
use crate::interface::EndpointState;
use std::cell::Cell;
use std::ops::{Deref, DerefMut};

/// All endpoints and their hardware types, by index.
#[derive(Default)]
pub(crate) struct Fleet {
    /// Hardware types, by index.
    pub types: Vec<EndpointType>,
    /// Endpoints, by index. Those that left the list keep their place.
    endpoints: Vec<Endpoint>,
    index: FleetIndex,
    scanned: Cell<u64>,
}

impl Fleet {
    /// Endpoints that were ever listed.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Adds endpoints that are gone until there are so many.
    pub fn extend_to(&mut self, endpoints: usize) {
        if endpoints > self.endpoints.len() {
            self.endpoints.resize_with(endpoints, Endpoint::default);
        }
    }

    /// An endpoint, where its index is known.
    pub fn get(&self, index: usize) -> Option<&Endpoint> {
        self.endpoints.get(index)
    }

    /// An endpoint by an index that is known to be valid.
    pub fn endpoint(&self, index: usize) -> &Endpoint {
        &self.endpoints[index]
    }

    /// An endpoint to change, where its index is known.
    pub fn get_mut(&mut self, index: usize) -> Option<EndpointMut<'_>> {
        let endpoint = self.endpoints.get_mut(index)?;
        Some(EndpointMut {
            number: index,
            before: endpoint.key(),
            endpoint,
            index: &mut self.index,
        })
    }

    /// An endpoint to change, by an index that is known to be valid.
    pub fn endpoint_mut(&mut self, index: usize) -> EndpointMut<'_> {
        let endpoint = &mut self.endpoints[index];
        EndpointMut {
            number: index,
            before: endpoint.key(),
            endpoint,
            index: &mut self.index,
        }
    }

    /// An endpoint to change together with its hardware type.
    pub fn endpoint_and_type_mut(&mut self, index: usize) -> (EndpointMut<'_>, &mut EndpointType) {
        let endpoint = &mut self.endpoints[index];
        let hardware = &mut self.types[endpoint.endpoint_type];
        let endpoint = EndpointMut {
            number: index,
            before: endpoint.key(),
            endpoint,
            index: &mut self.index,
        };
        (endpoint, hardware)
    }

    /// Changes all endpoints that were ever listed, which counts them as scanned.
    pub fn for_each_mut(&mut self, mut change: impl FnMut(&mut Endpoint, &[EndpointType])) {
        self.count_scanned(self.endpoints.len());
        for number in 0..self.endpoints.len() {
            let types = &self.types;
            let mut endpoint = EndpointMut {
                number,
                before: self.endpoints[number].key(),
                endpoint: &mut self.endpoints[number],
                index: &mut self.index,
            };
            change(&mut endpoint, types);
        }
    }

    /// All endpoints that were ever listed. Counts them as scanned.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.count_scanned(self.endpoints.len());
        self.endpoints.iter()
    }

    /// The endpoints that run. Counts all endpoints as scanned, also where the caller stops early:
    /// a measure of work that does not depend on a clock.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Endpoint)> {
        self.iter()
            .enumerate()
            .filter(|(_, endpoint)| endpoint.state == EndpointState::Running)
    }

    /// What is kept up to date about the endpoints at each change.
    pub fn index(&self) -> &FleetIndex {
        &self.index
    }

    /// Counts endpoints that were looked at.
    pub fn count_scanned(&self, endpoints: usize) {
        let scanned = self.scanned.get().wrapping_add(endpoints as u64);
        self.scanned.set(scanned);
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

/// An endpoint that is being changed. The index of the fleet follows when this is dropped.
pub(crate) struct EndpointMut<'a> {
    number: usize,
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
            self.index.update(self.number, &self.before, &after);
        }
    }
}
