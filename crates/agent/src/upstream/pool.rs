//! The pool of idle connections to endpoints.

use crate::observability::counters::Counters;
use crate::observability::logging::EXCHANGE;
use crate::protocol::connection::{Connection, IdleState};
use crate::upstream::active_connection::ActiveConnection;
use crate::upstream::limits::ConnectionPermit;
use crate::upstream::reuse_delay::ReuseDelays;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tulipwall_discovery::clock::Clock;

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
    /// When the last response was received; `None` if the connection has served no request.
    response_at: Option<Duration>,
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
            response_at: None,
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
            response_at: Some(response_at),
        }
    }

    /// Returns whether the connection has rested for `delay` since its last response.
    fn has_rested(&self, delay: Duration, now: Duration) -> bool {
        match self.response_at {
            Some(response_at) => now >= response_at + delay,
            None => true,
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
    reuse_delays: RefCell<ReuseDelays>,
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
            reuse_delays: RefCell::default(),
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

    /// Takes an open connection that has rested since its last response, the longest idle first;
    /// `None` if there is none. Connections that are found closed or with unsolicited data are
    /// counted and dropped.
    pub fn take(&self, endpoint: usize) -> Option<PooledConnection> {
        let now = self.clock.now();
        self.idle.borrow_mut().change(endpoint, |connections| loop {
            let delay = self.reuse_delays.borrow().delay(endpoint, now);
            let rested = connections.iter().position(|c| c.has_rested(delay, now))?;
            let connection = connections.remove(rested)?;
            if !self.is_expired(&connection, now) && self.is_usable(endpoint, &connection) {
                return Some(connection);
            }
        })
    }

    /// Adds a connection for the endpoint's next request.
    pub fn put(&self, endpoint: usize, connection: PooledConnection) {
        let mut idle = self.idle.borrow_mut();
        idle.change(endpoint, |connections| connections.push_back(connection));
    }

    /// Closes all idle connections to this endpoint, whose index may belong to another one from now
    /// on.
    pub fn close_all_to(&self, endpoint: usize) {
        self.idle.borrow_mut().change(endpoint, VecDeque::clear);
        self.reuse_delays.borrow_mut().forget(endpoint);
    }

    /// Lets connections to this endpoint rest for longer, as it has sent data that nothing asked
    /// for, or an invalid response.
    pub fn suspect(&self, endpoint: usize) {
        let now = self.clock.now();
        self.reuse_delays.borrow_mut().suspect(endpoint, now);
    }

    /// Closes the connections that the endpoint has closed or on which it has sent unsolicited
    /// data, which are counted, and those that it is about to close because of their idle time.
    pub fn close_stale(&self) {
        let now = self.clock.now();
        self.reuse_delays.borrow_mut().remove_expired(now);
        let mut idle = self.idle.borrow_mut();
        for endpoint in idle.endpoints() {
            idle.change(endpoint, |connections| {
                connections.retain(|connection| {
                    self.is_usable(endpoint, connection) && !self.is_expired(connection, now)
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

    /// Returns whether an idle connection is open and quiet, and counts it otherwise.
    fn is_usable(&self, endpoint: usize, pooled: &PooledConnection) -> bool {
        match pooled.connection.idle_state() {
            IdleState::Quiet => true,
            IdleState::Closed => {
                self.counters.connections_found_closed.increment();
                false
            }
            IdleState::DataReceived => {
                self.counters.responses_unsolicited.increment();
                self.suspect(endpoint);
                log::debug!(target: EXCHANGE, "connection {} is closed: data received at most {:?} after its response",
                    pooled.connection.number,
                    self.clock.now().saturating_sub(pooled.response_at.unwrap_or(pooled.idle_since)));
                false
            }
        }
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
