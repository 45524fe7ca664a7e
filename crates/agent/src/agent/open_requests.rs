//! The ids of requests that are open, and of those that may have run although their client may not
//! know how they ended.
//!
//! A client chooses the id of a request and may send it again on another connection, for instance
//! after it has left. Requests that must not run twice are refused then.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;
use std::time::Duration;

/// How long an id is remembered that may have run: longer than clients try again.
const RETENTION: Duration = Duration::from_secs(60);
/// The number of remembered ids, some 0.5 MB. With more, the oldest are forgotten early.
const MAX_REMEMBERED: usize = 8192;

/// Why a request is not opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// Another request with the same id is open, or one of its attempts is still in flight after
    /// its client has left.
    StillOpen,
    /// A request with the same id may have run, must not run twice, and its client has left.
    MayHaveRun,
}

/// The registry of request ids. Cheap to clone; all clones share it.
#[derive(Clone, Default)]
pub struct OpenRequests(Rc<Registry>);

#[derive(Default)]
struct Registry {
    hasher: RandomState,
    state: RefCell<State>,
}

#[derive(Default)]
struct State {
    /// Hashes of the ids of open requests.
    open: HashSet<u64>,
    /// By the hash of the id: what is known of a request that may have run.
    remembered: HashMap<u64, Remembered>,
    /// The remembered hashes, each with the time at which it is forgotten, oldest first.
    expirations: VecDeque<(Duration, u64)>,
    /// The numbers of the clients' connections that are open.
    clients: HashSet<u64>,
}

/// A request that may have run and must not run twice.
struct Remembered {
    /// The number of the connection on which it was sent.
    client: u64,
    forget_at: Duration,
}

impl State {
    fn forget_expired(&mut self, now: Duration) {
        while let Some((forget_at, id_hash)) = self.expirations.front().copied() {
            if forget_at > now && self.expirations.len() <= MAX_REMEMBERED {
                return;
            }
            self.expirations.pop_front();
            let is_current = |remembered: &Remembered| remembered.forget_at == forget_at;
            if self.remembered.get(&id_hash).is_some_and(is_current) {
                self.remembered.remove(&id_hash);
            }
        }
    }
}

impl OpenRequests {
    /// Registers a client's connection by its number, until the guard is dropped.
    pub fn register_client(&self, client: u64) -> ClientGuard {
        self.0.state.borrow_mut().clients.insert(client);
        ClientGuard {
            requests: self.clone(),
            client,
        }
    }

    /// Opens a request of a client's connection. Fails while another request is open under its id,
    /// as their responses could not be distinguished, and if one has run whose client has left
    /// since: it can't know how that ended.
    pub fn open(&self, id: &str, client: u64, now: Duration) -> Result<OpenRequest, OpenError> {
        let id_hash = self.0.hasher.hash_one(id);
        let mut state = self.0.state.borrow_mut();
        state.forget_expired(now);
        if let Some(earlier) = state.remembered.get(&id_hash) {
            if !state.clients.contains(&earlier.client) {
                return Err(OpenError::MayHaveRun);
            }
        }
        if !state.open.insert(id_hash) {
            return Err(OpenError::StillOpen);
        }
        Ok(OpenRequest {
            requests: self.clone(),
            id_hash,
            client,
        })
    }

    /// Returns the numbers of open and of remembered requests.
    pub fn counts(&self) -> [usize; 2] {
        let state = self.0.state.borrow();
        [state.open.len(), state.remembered.len()]
    }
}

/// Keeps a request registered as open until it is dropped.
pub struct OpenRequest {
    requests: OpenRequests,
    id_hash: u64,
    client: u64,
}

impl OpenRequest {
    /// Remembers that the request may have run and must not run again once its client has left.
    pub fn remember(&self, now: Duration) {
        let forget_at = now + RETENTION;
        let mut state = self.requests.0.state.borrow_mut();
        let remembered = Remembered {
            client: self.client,
            forget_at,
        };
        state.remembered.insert(self.id_hash, remembered);
        state.expirations.push_back((forget_at, self.id_hash));
        state.forget_expired(now);
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let mut state = self.requests.0.state.borrow_mut();
        state.open.remove(&self.id_hash);
    }
}

/// Keeps a client's connection registered until it is dropped.
pub struct ClientGuard {
    requests: OpenRequests,
    client: u64,
}

impl Drop for ClientGuard {
    fn drop(&mut self) {
        let mut state = self.requests.0.state.borrow_mut();
        state.clients.remove(&self.client);
    }
}
