//! The open requests of one instance: the wire's names on one side, the balancer's ids on the
//! other.

use std::collections::{BTreeMap, HashMap};

/// The open requests of one instance.
#[derive(Default)]
pub struct RequestTable {
    ids: HashMap<String, u64>,
    open: BTreeMap<u64, OpenRequest>,
    next_id: u64,
}

struct OpenRequest {
    name: String,
    attempts_out: usize,
    /// The client has its response; attempts may still be out.
    closed: bool,
}

impl RequestTable {
    /// Adds a request; its id.
    pub fn insert(&mut self, name: &str) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.ids.insert(name.to_owned(), id);
        let request = OpenRequest {
            name: name.to_owned(),
            attempts_out: 0,
            closed: false,
        };
        self.open.insert(id, request);
        id
    }

    /// The id of the request with this name.
    pub fn id(&self, name: &str) -> Option<u64> {
        self.ids.get(name).copied()
    }

    /// The name of the request with this id.
    pub fn name(&self, id: u64) -> Option<&str> {
        self.open.get(&id).map(|request| request.name.as_str())
    }

    /// Whether the request still waits for its response.
    pub fn awaits_response(&self, id: u64) -> bool {
        self.open.get(&id).is_some_and(|request| !request.closed)
    }

    /// An attempt of this request is out.
    pub fn on_attempt_start(&mut self, id: u64) {
        if let Some(request) = self.open.get_mut(&id) {
            request.attempts_out += 1;
        }
    }

    /// `closed`: whether this attempt's response went to the client.
    pub fn on_attempt_end(&mut self, id: u64, closed: bool) {
        if let Some(request) = self.open.get_mut(&id) {
            request.attempts_out = request.attempts_out.saturating_sub(1);
            request.closed |= closed;
        }
    }

    /// The client has its response, or has gone.
    pub fn close(&mut self, id: u64) {
        if let Some(request) = self.open.get_mut(&id) {
            request.closed = true;
        }
    }

    /// Forgets the request if it is closed and no attempt is out.
    pub fn remove_if_done(&mut self, id: u64) {
        let done = |request: &OpenRequest| request.closed && request.attempts_out == 0;
        if !self.open.get(&id).is_some_and(done) {
            return;
        }
        if let Some(request) = self.open.remove(&id) {
            self.ids.remove(&request.name);
        }
    }
}
