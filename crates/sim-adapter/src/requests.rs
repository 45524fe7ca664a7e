//! The open requests of one instance, with the simulator's names for them and the balancer's ids.

use std::collections::{BTreeMap, HashMap};

/// The open requests of one instance. A request stays open until the client has its response or is
/// gone, and no attempt is in flight.
#[derive(Default)]
pub struct RequestTable {
    ids: HashMap<String, u64>,
    open: BTreeMap<u64, OpenRequest>,
    next_id: u64,
}

struct OpenRequest {
    name: String,
    attempts_in_flight: usize,
    /// Whether the client has its response or is gone. Attempts may still be in flight.
    closed: bool,
}

impl RequestTable {
    /// Adds a request and returns its id.
    pub fn insert(&mut self, name: &str) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.ids.insert(name.to_owned(), id);
        let request = OpenRequest {
            name: name.to_owned(),
            attempts_in_flight: 0,
            closed: false,
        };
        self.open.insert(id, request);
        id
    }

    /// Returns the id of the open request with this name.
    pub fn id(&self, name: &str) -> Option<u64> {
        self.ids.get(name).copied()
    }

    /// Returns the name of the open request with this id.
    pub fn name(&self, id: u64) -> Option<&str> {
        self.open.get(&id).map(|request| request.name.as_str())
    }

    /// Whether the request is still waiting for its response.
    pub fn awaits_response(&self, id: u64) -> bool {
        self.open.get(&id).is_some_and(|request| !request.closed)
    }

    /// Records that an attempt for this request was sent.
    pub fn on_attempt_start(&mut self, id: u64) {
        if let Some(request) = self.open.get_mut(&id) {
            request.attempts_in_flight += 1;
        }
    }

    /// Records the end of an attempt. `closed` says whether its response was sent to the client.
    pub fn on_attempt_end(&mut self, id: u64, closed: bool) {
        if let Some(request) = self.open.get_mut(&id) {
            request.attempts_in_flight = request.attempts_in_flight.saturating_sub(1);
            request.closed |= closed;
        }
    }

    /// Records that the client has its response or is gone.
    pub fn close(&mut self, id: u64) {
        if let Some(request) = self.open.get_mut(&id) {
            request.closed = true;
        }
    }

    /// Removes the request if it is closed and no attempt is in flight.
    pub fn remove_if_done(&mut self, id: u64) {
        let is_done = |request: &OpenRequest| request.closed && request.attempts_in_flight == 0;
        if !self.open.get(&id).is_some_and(is_done) {
            return;
        }
        if let Some(request) = self.open.remove(&id) {
            self.ids.remove(&request.name);
        }
    }
}
