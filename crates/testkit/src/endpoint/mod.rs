//! A fake endpoint that speaks the PostgreSQL protocol. It has one listener for each calling zone,
//! so that the link from that zone can be delayed, cut and counted separately.

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

/// Upper limit on the queries that are recorded individually.
const MAX_RECEIVED: usize = 1_000_000;

/// The class name under which bytes are counted that belong to no query.
pub const CONNECTIONS: &str = "(connections)";

/// A query that was received in full.
#[derive(Clone, Debug)]
pub struct ReceivedQuery {
    /// When the last byte was received.
    pub at: Instant,
    /// Index of the caller's zone.
    pub from_zone: usize,
    /// The request class named in the query's comment; empty if it names none.
    pub class: String,
    /// The request id in the query's comment; empty if it names none.
    pub id: String,
    /// The deduplication key in the query's comment; `None` for a query without one.
    pub key: Option<String>,
    /// The full text of the query, comment included.
    pub statement: String,
    /// Whether the endpoint runs the query, even if the answer is never sent.
    pub ran: bool,
    /// Time from the start of the answer to the end of a duplicate answer; `None` until one was
    /// written.
    pub duplicate_delay: Option<Duration>,
}

/// Traffic of one link and class, counted at the endpoint's end of the connection.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TransferCounts {
    /// Queries that were received in full.
    pub attempts: u64,
    /// Bytes that were received.
    pub read: u64,
    /// Bytes that were sent.
    pub written: u64,
}

#[derive(Default)]
struct State {
    behavior: EndpointBehavior,
    links: Vec<Link>, // by the caller's zone
    received: Vec<ReceivedQuery>,
    counts: BTreeMap<(usize, String), TransferCounts>, // by the caller's zone and class
}

struct Shared {
    state: Mutex<State>,
    cores: Semaphore,
    random: Mutex<Pcg64Mcg>,
}

/// A fake endpoint. Dropping it closes its listeners and connections.
pub struct Endpoint {
    shared: Arc<Shared>,
    addresses: Vec<SocketAddr>,
    connections: Arc<TerminationSignal>,
    listeners: Mutex<Vec<Task<()>>>,
}

impl Endpoint {
    /// Starts an endpoint with one listener for each of `zones` zones. `seed` seeds its random
    /// draws.
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

    /// Returns the address for callers in zone `from`.
    pub fn address(&self, from: usize) -> SocketAddr {
        self.addresses[from]
    }

    /// Changes the behavior for further queries.
    pub fn update_behavior(&self, change: impl FnOnce(&mut EndpointBehavior)) {
        change(&mut self.shared.state().behavior);
    }

    /// Sets the link for callers in zone `from`.
    pub fn set_link(&self, from: usize, link: Link) {
        self.shared.state().links[from] = link;
    }

    /// Closes all connections and listeners, so that new connections are refused.
    pub fn crash(&self) {
        lock_unpoisoned(&self.listeners).clear();
        self.connections.end();
    }

    /// Listens again on the same addresses after [`Endpoint::crash`].
    pub fn restart(&self) -> io::Result<()> {
        self.listen(&self.addresses).map(drop)
    }

    /// Returns the queries that were received in full, in order of arrival.
    pub fn received_queries(&self) -> Vec<ReceivedQuery> {
        self.shared.state().received.clone()
    }

    /// Returns how many queries were received in full.
    pub fn received_count(&self) -> usize {
        self.shared.state().received.len()
    }

    /// Returns the traffic by the caller's zone and class. Bytes that belong to no query are listed
    /// under [`CONNECTIONS`].
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

    /// Records a query and returns its index among the recorded ones.
    fn record(&self, query: ReceivedQuery) -> usize {
        let mut state = self.state();
        if state.received.len() < MAX_RECEIVED {
            state.received.push(query);
        }
        state.received.len() - 1
    }

    /// Draws the behavior for the next query.
    fn draw_response(&self) -> ResponseBehavior {
        let behavior = self.state().behavior.clone();
        let mut remaining = lock_unpoisoned(&self.random).gen_range(0.0..1.0);
        for (response, probability) in &behavior.random_responses {
            remaining -= probability;
            if remaining < 0.0 {
                return *response;
            }
        }
        behavior.response
    }
}
