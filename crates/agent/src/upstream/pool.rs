//! Connections to endpoints that wait for their next request.

use crate::observability::counters::Counters;
use crate::protocol::connection::Connection;
use crate::upstream::limits::ConnectionPermit;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tulipwall_discovery::clock::Clock;

/// A response without a request may come behind the awaited one, some milliseconds late: a connection
/// rests for so long after its response, as it would be taken for that of the next request. Costs a
/// connection more where requests follow each other faster.
const REST_AFTER_RESPONSE: Duration = Duration::from_millis(20);
/// The part of an endpoint's idle timeout after which a connection is closed from this side.
const IDLE_TIMEOUT_SHARE: f64 = 0.8;

/// A connection to an endpoint, with its place among the sockets.
pub struct PooledConnection {
    /// The connection.
    pub connection: Connection,
    /// Its idle time began no sooner: when it was opened, or its last request written. By the
    /// endpoint's clock it may have begun before this agent, which may have been stalled, read the
    /// response.
    idle_since: Duration,
    rests_until: Duration,
    _permit: ConnectionPermit,
}

impl PooledConnection {
    /// A connection that was opened at `now`.
    pub fn new(
        connection: Connection,
        permit: ConnectionPermit,
        now: Duration,
    ) -> PooledConnection {
        PooledConnection {
            connection,
            idle_since: now,
            rests_until: now,
            _permit: permit,
        }
    }

    /// A request goes out on it.
    pub fn on_request(&mut self, now: Duration) {
        self.idle_since = now;
    }

    /// Its response has come in whole.
    pub fn on_response(&mut self, now: Duration) {
        self.rests_until = now + REST_AFTER_RESPONSE;
    }

    fn is_open(&self) -> bool {
        self.connection.is_open_and_quiet()
    }
}

/// The idle connections to all endpoints. What it does goes by the connections that it holds, not by
/// the endpoints that are listed.
pub struct ConnectionPool {
    idle: RefCell<IdleConnections>,
    max_idle: Cell<Duration>,
    clock: Rc<Clock>,
    counters: Rc<Counters>,
}

impl ConnectionPool {
    /// An empty pool. An endpoint closes what has been idle for its idle timeout.
    pub fn new(
        endpoint_idle_timeout: Duration,
        clock: Rc<Clock>,
        counters: Rc<Counters>,
    ) -> ConnectionPool {
        let pool = ConnectionPool {
            idle: RefCell::default(),
            max_idle: Cell::default(),
            clock,
            counters,
        };
        pool.set_endpoint_idle_timeout(endpoint_idle_timeout);
        pool
    }

    /// The endpoints' idle timeout from now on.
    pub fn set_endpoint_idle_timeout(&self, endpoint_idle_timeout: Duration) {
        self.max_idle
            .set(endpoint_idle_timeout.mul_f64(IDLE_TIMEOUT_SHARE));
    }

    /// An open connection that has rested, the longest idle first. Those that are found closed are
    /// counted and dropped.
    pub fn take(&self, endpoint: usize) -> Option<PooledConnection> {
        let now = self.clock.now();
        self.idle.borrow_mut().change(endpoint, |connections| {
            while let Some(rested) = connections.iter().position(|c| now >= c.rests_until) {
                let Some(connection) = connections.remove(rested) else {
                    continue;
                };
                if self.is_expired(&connection, now) {
                    continue;
                }
                if connection.is_open() {
                    return Some(connection);
                }
                self.counters.connections_found_closed.increment();
            }
            None
        })
    }

    /// Keeps a connection for the endpoint's next request.
    pub fn put(&self, endpoint: usize, connection: PooledConnection) {
        let mut idle = self.idle.borrow_mut();
        idle.change(endpoint, |connections| connections.push_back(connection));
    }

    /// Closes all that wait for this endpoint.
    pub fn close_all_to(&self, endpoint: usize) {
        self.idle.borrow_mut().change(endpoint, VecDeque::clear);
    }

    /// Closes what the other side has closed, which is counted, or is about to.
    pub fn close_stale(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        for endpoint in idle.endpoints() {
            idle.change(endpoint, |connections| {
                connections.retain(|connection| {
                    let open = connection.is_open();
                    if !open {
                        self.counters.connections_found_closed.increment();
                    }
                    open && !self.is_expired(connection, now)
                });
            });
        }
    }

    /// Closes the connection that has been idle for longest; false when there is none.
    pub fn evict_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let Some(endpoint) = idle.longest_idle_endpoint() else {
            return false;
        };
        idle.change(endpoint, |connections| connections.pop_front().is_some())
    }

    /// How many endpoints' connections were looked at so far: a measure of work that does not depend
    /// on a clock.
    pub fn endpoints_visited(&self) -> u64 {
        self.idle.borrow().visited
    }

    fn is_expired(&self, connection: &PooledConnection, now: Duration) -> bool {
        now >= connection.idle_since + self.max_idle.get()
    }
}

/// Idle connections of the endpoints that have any.
#[derive(Default)]
struct IdleConnections {
    by_endpoint: HashMap<usize, VecDeque<PooledConnection>>, // in the order they came, never empty
    longest_idle: BTreeSet<(Duration, usize)>, // of each endpoint's first: idle since, endpoint
    visited: u64,
}

impl IdleConnections {
    /// Changes what waits for one endpoint.
    fn change<T>(
        &mut self,
        endpoint: usize,
        work: impl FnOnce(&mut VecDeque<PooledConnection>) -> T,
    ) -> T {
        self.visited += 1;
        let mut connections = self.by_endpoint.remove(&endpoint).unwrap_or_default();
        if let Some(first) = connections.front() {
            self.longest_idle.remove(&(first.idle_since, endpoint));
        }
        let result = work(&mut connections);
        if let Some(first) = connections.front() {
            self.longest_idle.insert((first.idle_since, endpoint));
            self.by_endpoint.insert(endpoint, connections);
        }
        result
    }

    /// The endpoints that connections wait for.
    fn endpoints(&self) -> Vec<usize> {
        self.by_endpoint.keys().copied().collect()
    }

    fn longest_idle_endpoint(&self) -> Option<usize> {
        self.longest_idle.first().map(|(_, endpoint)| *endpoint)
    }
}
