//! The limit on all sockets, divided between clients and endpoints.

use event_listener::Event;
use std::cell::Cell;
use std::rc::Rc;

/// The number of descriptors that serve neither clients nor endpoints: standard streams, the
/// reactor, the signal pipe, the listener, discovery, the platform, and spare ones for the moments
/// in which one closes while another opens.
const OTHER_DESCRIPTORS: usize = 20;
/// The share of the remaining sockets for endpoints. Each client has at most one request in flight,
/// and few requests have two attempts. Less than half is enough, as some clients are idle.
const ENDPOINT_SHARE: f64 = 0.45;
/// One in this many sockets is for clients that are rejected because the client limit is reached.
const OVERFLOW_DIVISOR: usize = 32;
/// The minimum number of sockets for clients that are rejected.
const MIN_OVERFLOW: usize = 2;
/// The minimum number of sockets for clients and endpoints together.
const MIN_SOCKETS: usize = 4;
/// Client permits count as nearly exhausted once fewer than one in this many is free.
const NEARLY_FULL_DIVISOR: usize = 8;

/// A permit for one socket, which counts against its limit until the permit is dropped.
pub struct ConnectionPermit(Rc<Semaphore>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.held.set(self.0.held.get() - 1);
        self.0.freed.notify(1);
    }
}

/// Counts the permits held for one kind of socket, up to a limit that can change.
#[derive(Default)]
struct Semaphore {
    held: Cell<usize>,
    max: Cell<usize>,
    freed: Event,
}

impl Semaphore {
    fn is_exhausted(&self) -> bool {
        self.held.get() >= self.max.get()
    }

    fn try_acquire(self: &Rc<Semaphore>) -> Option<ConnectionPermit> {
        if self.is_exhausted() {
            return None;
        }
        self.held.set(self.held.get() + 1);
        Some(ConnectionPermit(self.clone()))
    }
}

/// The limits on client and endpoint sockets, and the permits that are held. Each client has at
/// most one request in flight, and each request at most two attempts.
pub struct ConnectionLimits {
    clients: Rc<Semaphore>,
    overflow: Rc<Semaphore>,
    endpoints: Rc<Semaphore>,
}

impl ConnectionLimits {
    /// Creates the limits from the total number of sockets.
    pub fn new(max_sockets: usize) -> ConnectionLimits {
        let limits = ConnectionLimits {
            clients: Rc::default(),
            overflow: Rc::default(),
            endpoints: Rc::default(),
        };
        limits.resize(max_sockets);
        limits
    }

    /// Replaces the total number of sockets. Sockets that are held beyond a lower limit stay open.
    pub fn resize(&self, max_sockets: usize) {
        let overflow = (max_sockets / OVERFLOW_DIVISOR).max(MIN_OVERFLOW);
        let shared = max_sockets
            .saturating_sub(OTHER_DESCRIPTORS + overflow)
            .max(MIN_SOCKETS);
        let endpoints = (shared as f64 * ENDPOINT_SHARE) as usize;
        self.overflow.max.set(overflow);
        self.clients.max.set(shared - endpoints);
        self.endpoints.max.set(endpoints);
    }

    /// Acquires a permit for a client; `None` if all are in use.
    pub fn client_permit(&self) -> Option<ConnectionPermit> {
        self.clients.try_acquire()
    }

    /// Acquires a permit for a client that is rejected because the client limit is reached; `None`
    /// if all of these are in use.
    pub fn overflow_permit(&self) -> Option<ConnectionPermit> {
        self.overflow.try_acquire()
    }

    /// Acquires a permit for a connection to an endpoint; `None` if all are in use.
    pub fn endpoint_permit(&self) -> Option<ConnectionPermit> {
        self.endpoints.try_acquire()
    }

    /// Returns the number of connected clients, without those that are rejected for lack of
    /// permits.
    pub fn client_count(&self) -> usize {
        self.clients.held.get()
    }

    /// Returns the number of open connections to endpoints.
    pub fn endpoint_connection_count(&self) -> usize {
        self.endpoints.held.get()
    }

    /// Returns whether no client is connected, including those that are rejected for lack of
    /// permits.
    pub fn is_without_clients(&self) -> bool {
        self.clients.held.get() + self.overflow.held.get() == 0
    }

    /// Returns the maximum number of connected clients.
    pub fn max_clients(&self) -> usize {
        self.clients.max.get()
    }

    /// Returns whether only the permits kept free for new clients are left, or fewer.
    pub fn is_nearly_full(&self) -> bool {
        self.clients.held.get() + self.reserved_client_permits() >= self.max_clients()
    }

    /// Returns the number of permits to keep free for new clients by closing idle ones.
    pub fn reserved_client_permits(&self) -> usize {
        self.max_clients() / NEARLY_FULL_DIVISOR
    }

    /// Waits until a client permit may be available.
    pub async fn client_permit_freed(&self) {
        let freed = self.clients.freed.listen();
        if self.clients.is_exhausted() {
            freed.await;
        }
    }

    /// Returns the maximum number of open connections to endpoints.
    pub fn max_endpoint_connections(&self) -> usize {
        self.endpoints.max.get()
    }
}
