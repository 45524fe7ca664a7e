//! A fake endpoint that speaks PostgreSQL's protocol. It listens once for each zone that calls it,
//! so that the link from there can be slow, cut and counted apart.

mod behavior;
mod session;

pub use behavior::{EndpointBehavior, Link, ResponseBehavior};

use crate::runtime::{self, lock_unpoisoned, TerminationSignal};
use async_executor::Task;
use async_lock::Semaphore;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Queries that are kept one by one, at most.
const MAX_RECEIVED: usize = 1_000_000;

/// The name under which bytes are counted that belong to no query.
pub const CONNECTIONS: &str = "(connections)";

/// One query that came whole.
#[derive(Clone, Debug)]
pub struct ReceivedQuery {
    /// When it had come.
    pub at: Instant,
    /// Index of the caller's zone.
    pub from_zone: usize,
    /// Its request class, as its comment names it.
    pub class: String,
    /// The id of its request.
    pub id: String,
    /// The key by which repetitions are recognized, where there is one.
    pub key: Option<String>,
    /// Its whole text.
    pub statement: String,
    /// It was run, whatever became of its answer.
    pub ran: bool,
    /// How long after its answer was begun another one behind it was written, once it was.
    pub duplicate_delay: Option<Duration>,
}

/// What passed on one link and class, counted at this end of the wire.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TransferCounts {
    /// Queries that came whole.
    pub attempts: u64,
    /// Bytes that came.
    pub read: u64,
    /// Bytes that were sent.
    pub written: u64,
}

#[derive(Default)]
struct State {
    behavior: EndpointBehavior,
    links: Vec<Link>, // by zone of the caller
    received: Vec<ReceivedQuery>,
    counts: BTreeMap<(usize, String), TransferCounts>, // by zone of the caller and class
}

struct Shared {
    state: Mutex<State>,
    cores: Semaphore,
    random: Mutex<Pcg64Mcg>,
}

/// A fake endpoint. It stops when it is dropped.
pub struct Endpoint {
    shared: Arc<Shared>,
    addresses: Vec<SocketAddr>,
    connections: Arc<TerminationSignal>,
    listeners: Mutex<Vec<Task<()>>>,
}

impl Endpoint {
    /// Listens for callers of `zones` zones; `seed` is that of its draws.
    pub fn start(zones: usize, behavior: EndpointBehavior, seed: u64) -> io::Result<Endpoint> {
        let shared = Arc::new(Shared {
            cores: Semaphore::new(behavior.cores.max(1)),
            state: Mutex::new(State {
                behavior,
                links: vec![Link::default(); zones],
                ..State::default()
            }),
            random: Mutex::new(Pcg64Mcg::seed_from_u64(seed)),
        });
        let mut endpoint = Endpoint {
            shared,
            addresses: Vec::new(),
            connections: Arc::default(),
            listeners: Mutex::default(),
        };
        endpoint.addresses = endpoint.listen(&vec![runtime::ANY_PORT; zones])?;
        Ok(endpoint)
    }

    fn listen(&self, addresses: &[SocketAddr]) -> io::Result<Vec<SocketAddr>> {
        let shared = self.shared.clone();
        let serve = move |zone, stream| session::serve(shared.clone(), zone, stream);
        let bound = runtime::listen_by_zone(addresses, &self.connections, serve)?;
        lock_unpoisoned(&self.listeners).extend(bound.tasks);
        Ok(bound.addresses)
    }

    /// Where callers of a zone reach it.
    pub fn address(&self, from: usize) -> SocketAddr {
        self.addresses[from]
    }

    /// Changes how it behaves from now on.
    pub fn update_behavior(&self, change: impl FnOnce(&mut EndpointBehavior)) {
        change(&mut self.shared.state().behavior);
    }

    /// Sets the link from a zone.
    pub fn set_link(&self, from: usize, link: Link) {
        self.shared.state().links[from] = link;
    }

    /// Its connections are reset, new ones refused.
    pub fn crash(&self) {
        lock_unpoisoned(&self.listeners).clear();
        self.connections.end();
    }

    /// Listens again at its addresses.
    pub fn restart(&self) -> io::Result<()> {
        self.listen(&self.addresses).map(drop)
    }

    /// The queries that came whole, in their order.
    pub fn received_queries(&self) -> Vec<ReceivedQuery> {
        self.shared.state().received.clone()
    }

    /// How many queries came whole.
    pub fn received_count(&self) -> usize {
        self.shared.state().received.len()
    }

    /// By zone of the caller and class, [`CONNECTIONS`] for what belongs to no query.
    pub fn transfer_counts(&self) -> BTreeMap<(usize, String), TransferCounts> {
        self.shared.state().counts.clone()
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.crash();
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        lock_unpoisoned(&self.state)
    }

    fn count(&self, from: usize, class: &str, add: impl FnOnce(&mut TransferCounts)) {
        let mut state = self.state();
        add(state.counts.entry((from, class.to_owned())).or_default());
    }

    fn link(&self, from: usize) -> Link {
        self.state().links[from]
    }

    /// Keeps a query and returns its place among those that are kept.
    fn record(&self, query: ReceivedQuery) -> usize {
        let mut state = self.state();
        if state.received.len() < MAX_RECEIVED {
            state.received.push(query);
        }
        state.received.len() - 1
    }

    /// What is done with the next query.
    fn draw_response(&self) -> ResponseBehavior {
        let behavior = self.state().behavior.clone();
        let mut left = lock_unpoisoned(&self.random).gen_range(0.0..1.0);
        for (response, probability) in &behavior.random_responses {
            left -= probability;
            if left < 0.0 {
                return *response;
            }
        }
        behavior.response
    }
}
