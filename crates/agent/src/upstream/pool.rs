//! The pool of idle connections to endpoints.

use crate::observability::counters::Counters;
use crate::protocol::connection::Connection;
use crate::upstream::active_connection::ActiveConnection;
use crate::upstream::limits::ConnectionPermit;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tulipwall_discovery::clock::Clock;

/// The time after a response during which its connection is not reused. An unsolicited response may
/// follow some milliseconds after the expected one, and would be taken for the response to the next
/// request. Costs an additional connection where requests follow each other faster.
const REUSE_DELAY: Duration = Duration::from_millis(20);
/// The fraction of an endpoint's idle timeout after which the agent closes an idle connection
/// itself.
const IDLE_TIMEOUT_SHARE: f64 = 0.8;

/// A connection to an endpoint that is ready for a request, with its permit for a socket.
pub struct PooledConnection {
    connection: Connection,
    permit: ConnectionPermit,
    /// The earliest time at which the connection may have become idle: when it was opened, or when
    /// its last request was written. The time of reading the response would be too late, as this
    /// agent may have been stalled while the endpoint already counted the connection as idle.
    idle_since: Duration,
    reusable_at: Duration,
}

impl PooledConnection {
    /// Creates a pooled connection from one that has completed its startup at `now`.
    pub fn new(
        connection: Connection,
        permit: ConnectionPermit,
        now: Duration,
    ) -> PooledConnection {
        PooledConnection {
            connection,
            permit,
            idle_since: now,
            reusable_at: now,
        }
    }

    /// Creates a pooled connection from one on which a request was written at `request_at`, and the
    /// whole response received at `response_at`.
    pub(super) fn after_response(
        connection: Connection,
        permit: ConnectionPermit,
        request_at: Duration,
        response_at: Duration,
    ) -> PooledConnection {
        PooledConnection {
            connection,
            permit,
            idle_since: request_at,
            reusable_at: response_at + REUSE_DELAY,
        }
    }

    /// Begins an exchange: a request is written on the connection at `now`.
    pub fn begin_exchange(self, now: Duration) -> ActiveConnection {
        ActiveConnection::new(self.connection, self.permit, now)
    }
}

/// The idle connections to all endpoints. The work of its methods depends on the connections that
/// it holds, not on the number of listed endpoints.
pub struct ConnectionPool {
    idle: RefCell<IdleConnections>,
    max_idle: Cell<Duration>,
    clock: Rc<Clock>,
    counters: Rc<Counters>,
}

impl ConnectionPool {
    /// Creates an empty pool. `endpoint_idle_timeout` is the time after which endpoints close an
    /// idle connection.
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

    /// Sets the time after which endpoints close an idle connection.
    pub fn set_endpoint_idle_timeout(&self, endpoint_idle_timeout: Duration) {
        self.max_idle
            .set(endpoint_idle_timeout.mul_f64(IDLE_TIMEOUT_SHARE));
    }

    /// Takes an open connection that may be reused, the longest idle first; `None` if there is
    /// none. Connections that are found closed are counted and dropped.
    pub fn take(&self, endpoint: usize) -> Option<PooledConnection> {
        let now = self.clock.now();
        self.idle.borrow_mut().change(endpoint, |connections| {
            while let Some(reusable) = connections.iter().position(|c| now >= c.reusable_at) {
                let Some(connection) = connections.remove(reusable) else {
                    continue;
                };
                if self.is_expired(&connection, now) {
                    continue;
                }
                if connection.connection.is_open_and_quiet() {
                    return Some(connection);
                }
                self.counters.connections_found_closed.increment();
            }
            None
        })
    }

    /// Adds a connection for the endpoint's next request.
    pub fn put(&self, endpoint: usize, connection: PooledConnection) {
        let mut idle = self.idle.borrow_mut();
        idle.change(endpoint, |connections| connections.push_back(connection));
    }

    /// Closes all idle connections to this endpoint.
    pub fn close_all_to(&self, endpoint: usize) {
        self.idle.borrow_mut().change(endpoint, VecDeque::clear);
    }

    /// Closes the connections that the endpoint has closed, which are counted, and those that it is
    /// about to close because of their idle time.
    pub fn close_stale(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        for endpoint in idle.endpoints() {
            idle.change(endpoint, |connections| {
                connections.retain(|connection| {
                    let open = connection.connection.is_open_and_quiet();
                    if !open {
                        self.counters.connections_found_closed.increment();
                    }
                    open && !self.is_expired(connection, now)
                });
            });
        }
    }

    /// Closes the connection that has been idle the longest. Returns false if there is none.
    pub fn evict_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let Some(endpoint) = idle.longest_idle_endpoint() else {
            return false;
        };
        idle.change(endpoint, |connections| connections.pop_front().is_some())
    }

    /// Returns how often the connections of an endpoint were visited so far: a measure of work that
    /// does not depend on a clock.
    pub fn endpoints_visited(&self) -> u64 {
        self.idle.borrow().visited
    }

    fn is_expired(&self, connection: &PooledConnection, now: Duration) -> bool {
        now >= connection.idle_since + self.max_idle.get()
    }
}

/// The idle connections of the endpoints that have any.
#[derive(Default)]
struct IdleConnections {
    by_endpoint: HashMap<usize, VecDeque<PooledConnection>>, // in order of arrival, never empty
    longest_idle: BTreeSet<(Duration, usize)>, // first connection's `idle_since`, endpoint
    visited: u64,
}

impl IdleConnections {
    /// Applies `operation` to the idle connections of one endpoint, and updates `longest_idle`.
    fn change<T>(
        &mut self,
        endpoint: usize,
        operation: impl FnOnce(&mut VecDeque<PooledConnection>) -> T,
    ) -> T {
        self.visited += 1;
        let mut connections = self.by_endpoint.remove(&endpoint).unwrap_or_default();
        if let Some(first) = connections.front() {
            self.longest_idle.remove(&(first.idle_since, endpoint));
        }
        let result = operation(&mut connections);
        if let Some(first) = connections.front() {
            self.longest_idle.insert((first.idle_since, endpoint));
            self.by_endpoint.insert(endpoint, connections);
        }
        result
    }

    /// Returns the endpoints that have idle connections.
    fn endpoints(&self) -> Vec<usize> {
        self.by_endpoint.keys().copied().collect()
    }

    fn longest_idle_endpoint(&self) -> Option<usize> {
        self.longest_idle.first().map(|(_, endpoint)| *endpoint)
    }
}
