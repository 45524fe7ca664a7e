//! Connections to endpoints that wait for their next request, and the bound on all sockets.

use crate::protocol::connection::Connection;
use event_listener::Event;
use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

/// Descriptors that are neither a client's nor an endpoint's: standard streams, the reactor's, the
/// signal pipe, the listener, discovery, the platform, and some room while one closes as another
/// opens.
const OTHERS: usize = 20;
/// What part of the rest is for endpoints. Each client has a request out at most, a few have two:
/// somewhat less than half, as some clients only hold their places.
const ENDPOINTS: f64 = 0.45;

/// A socket that counts against the bound for as long as this lives.
pub struct Slot(Rc<Side>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.held.set(self.0.held.get() - 1);
        self.0.freed.notify(1);
    }
}

/// The sockets towards one side, and the bound on them.
struct Side {
    held: Cell<usize>,
    most: Cell<usize>,
    freed: Event,
}

impl Side {
    fn of(most: usize) -> Rc<Side> {
        Rc::new(Side {
            held: Cell::default(),
            most: Cell::new(most),
            freed: Event::new(),
        })
    }

    fn slot(self: &Rc<Side>) -> Option<Slot> {
        (self.held.get() < self.most.get()).then(|| {
            self.held.set(self.held.get() + 1);
            Slot(self.clone())
        })
    }
}

/// How many sockets are held. Each client has at most one request out, each request at most two
/// attempts.
pub struct Sockets {
    clients: Rc<Side>,
    overflow: Rc<Side>,
    endpoints: Rc<Side>,
}

impl Sockets {
    pub fn new(most: usize) -> Sockets {
        let sockets = Sockets {
            clients: Side::of(0),
            overflow: Side::of(0),
            endpoints: Side::of(0),
        };
        sockets.resize(most);
        sockets
    }

    /// Another bound on all. Who holds a socket beyond a lower one keeps it.
    pub fn resize(&self, most: usize) {
        let overflow = (most / 32).max(2);
        let room = most.saturating_sub(OTHERS + overflow).max(4);
        self.overflow.most.set(overflow);
        let endpoints = (room as f64 * ENDPOINTS) as usize;
        self.clients.most.set(room - endpoints);
        self.endpoints.most.set(endpoints);
    }

    /// A place for a client that is only told that there is none.
    pub fn overflow(&self) -> Option<Slot> {
        self.overflow.slot()
    }

    pub fn clients(&self) -> usize {
        self.clients.held.get()
    }

    /// No client is connected, nor one that is only told that there is no place.
    pub fn nobody(&self) -> bool {
        self.clients.held.get() + self.overflow.held.get() == 0
    }

    pub fn client(&self) -> Option<Slot> {
        self.clients.slot()
    }

    pub fn clients_most(&self) -> usize {
        self.clients.most.get()
    }

    /// Hardly any place is left for further clients.
    pub fn clients_crowd(&self) -> bool {
        let most = self.clients_most();
        self.clients.held.get() + most / 8 >= most
    }

    /// Ready once a client's slot may be free.
    pub async fn client_gone(&self) {
        let freed = self.clients.freed.listen();
        if self.clients.held.get() >= self.clients.most.get() {
            freed.await;
        }
    }

    pub fn max_endpoints(&self) -> usize {
        self.endpoints.most.get()
    }

    pub fn endpoint(&self) -> Option<Slot> {
        self.endpoints.slot()
    }
}

/// What belongs to nobody may come behind an answer, some milliseconds late: a connection that was
/// answered on rests for so long, as the next request's answer would be taken from it. Costs a
/// connection more where requests follow each other faster.
const RESTS: Duration = Duration::from_millis(20);

/// A connection to an endpoint, with its place among the sockets.
pub struct Held {
    pub connection: Connection,
    /// Its idle time began no sooner: when it was opened, or its last request written. By the
    /// endpoint's clock it may have begun before this agent, which may have stood still, heard the
    /// answer.
    since: Duration,
    rests_until: Duration,
    _slot: Slot,
}

impl Held {
    pub fn new(connection: Connection, slot: Slot, now: Duration) -> Held {
        Held {
            connection,
            since: now,
            rests_until: now,
            _slot: slot,
        }
    }

    /// A request goes out on it.
    pub fn asked(&mut self, now: Duration) {
        self.since = now;
    }

    /// Its answer has come whole.
    pub fn answered(&mut self, now: Duration) {
        self.rests_until = now + RESTS;
    }
}

pub struct Pools {
    idle: Vec<VecDeque<Held>>, // by endpoint, in the order they came
    idle_most: Duration,
}

impl Pools {
    /// `idle_most`: an endpoint closes what has been idle for so long.
    pub fn new(idle_most: Duration) -> Pools {
        Pools {
            idle: Vec::new(),
            idle_most: idle_most.mul_f64(0.8),
        }
    }

    /// The same, read anew.
    pub fn renew(&mut self, idle_most: Duration) {
        self.idle_most = idle_most.mul_f64(0.8);
    }

    /// An open connection that has rested, the longest idle first. With how many were found closed.
    pub fn take(&mut self, now: Duration, endpoint: usize) -> (Option<Held>, usize) {
        let Some(pool) = self.idle.get_mut(endpoint) else {
            return (None, 0);
        };
        let mut closed = 0;
        while let Some(rested) = pool.iter().position(|held| now >= held.rests_until) {
            match pool
                .remove(rested)
                .filter(|held| now < held.since + self.idle_most)
            {
                Some(held) if held.connection.is_open_and_quiet() => return (Some(held), closed),
                Some(_) => closed += 1,
                None => {}
            }
        }
        (None, closed)
    }

    pub fn put(&mut self, endpoint: usize, held: Held) {
        if self.idle.len() <= endpoint {
            self.idle.resize_with(endpoint + 1, VecDeque::new);
        }
        self.idle[endpoint].push_back(held);
    }

    /// Closes all that wait for this endpoint.
    pub fn forget(&mut self, endpoint: usize) {
        self.idle
            .get_mut(endpoint)
            .into_iter()
            .for_each(VecDeque::clear);
    }

    /// Closes what the other side has closed or is about to; says how many were found closed.
    pub fn sweep(&mut self, now: Duration) -> usize {
        let mut closed = 0;
        for pool in &mut self.idle {
            pool.retain(|held| {
                let quiet = held.connection.is_open_and_quiet();
                closed += usize::from(!quiet);
                quiet && now < held.since + self.idle_most
            });
        }
        closed
    }

    /// Closes the connection that has been idle for longest; false when there is none.
    pub fn evict_idle(&mut self) -> bool {
        let oldest = self
            .idle
            .iter_mut()
            .filter(|p| !p.is_empty())
            .min_by_key(|p| p[0].since);
        oldest.is_some_and(|p| p.pop_front().is_some())
    }
}
