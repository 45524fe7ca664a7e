//! The bound on all sockets, shared out between clients and endpoints.

use event_listener::Event;
use std::cell::Cell;
use std::rc::Rc;

/// Descriptors that are neither a client's nor an endpoint's: standard streams, the reactor's, the
/// signal pipe, the listener, discovery, the platform, and some room while one closes as another
/// opens.
const OTHER_DESCRIPTORS: usize = 20;
/// What part of the rest is for endpoints. Each client has at most one request out, a few have two
/// attempts: somewhat less than half, as some clients only hold their places.
const ENDPOINT_SHARE: f64 = 0.45;
/// One in so many sockets is for clients that are rejected because there is no room.
const OVERFLOW_SHARE: usize = 32;
/// There are at least as many of those.
const MIN_OVERFLOW: usize = 2;
/// Clients and endpoints have at least so many sockets together.
const MIN_SOCKETS: usize = 4;
/// Places for clients count as nearly all taken once fewer than one in so many is free.
const NEARLY_FULL_SHARE: usize = 8;

/// A socket that counts against its bound for as long as this lives.
pub struct ConnectionPermit(Rc<Bound>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.held.set(self.0.held.get() - 1);
        self.0.freed.notify(1);
    }
}

/// The sockets towards one side, and the bound on them.
#[derive(Default)]
struct Bound {
    held: Cell<usize>,
    max: Cell<usize>,
    freed: Event,
}

impl Bound {
    fn is_reached(&self) -> bool {
        self.held.get() >= self.max.get()
    }

    fn permit(self: &Rc<Bound>) -> Option<ConnectionPermit> {
        if self.is_reached() {
            return None;
        }
        self.held.set(self.held.get() + 1);
        Some(ConnectionPermit(self.clone()))
    }
}

/// How many sockets are held. Each client has at most one request out, each request at most two
/// attempts.
pub struct ConnectionLimits {
    clients: Rc<Bound>,
    overflow: Rc<Bound>,
    endpoints: Rc<Bound>,
}

impl ConnectionLimits {
    /// A bound of so many sockets on all.
    pub fn new(max_sockets: usize) -> ConnectionLimits {
        let limits = ConnectionLimits {
            clients: Rc::default(),
            overflow: Rc::default(),
            endpoints: Rc::default(),
        };
        limits.resize(max_sockets);
        limits
    }

    /// Another bound on all. Who holds a socket beyond a lower one keeps it.
    pub fn resize(&self, max_sockets: usize) {
        let overflow = (max_sockets / OVERFLOW_SHARE).max(MIN_OVERFLOW);
        let shared = max_sockets
            .saturating_sub(OTHER_DESCRIPTORS + overflow)
            .max(MIN_SOCKETS);
        let endpoints = (shared as f64 * ENDPOINT_SHARE) as usize;
        self.overflow.max.set(overflow);
        self.clients.max.set(shared - endpoints);
        self.endpoints.max.set(endpoints);
    }

    /// A place for a client; `None` where all are taken.
    pub fn client_permit(&self) -> Option<ConnectionPermit> {
        self.clients.permit()
    }

    /// A place for a client that is rejected because there is no room.
    pub fn overflow_permit(&self) -> Option<ConnectionPermit> {
        self.overflow.permit()
    }

    /// A place for a connection to an endpoint; `None` where all are taken.
    pub fn endpoint_permit(&self) -> Option<ConnectionPermit> {
        self.endpoints.permit()
    }

    /// How many clients are connected.
    pub fn client_count(&self) -> usize {
        self.clients.held.get()
    }

    /// No client is connected, nor one that is rejected because there is no room.
    pub fn is_without_clients(&self) -> bool {
        self.clients.held.get() + self.overflow.held.get() == 0
    }

    /// How many clients may be connected.
    pub fn max_clients(&self) -> usize {
        self.clients.max.get()
    }

    /// Hardly any place is left for further clients.
    pub fn is_nearly_full(&self) -> bool {
        self.clients.held.get() + self.reserved_client_permits() >= self.max_clients()
    }

    /// So many places are kept free for new clients, by closing idle ones.
    pub fn reserved_client_permits(&self) -> usize {
        self.max_clients() / NEARLY_FULL_SHARE
    }

    /// Ready once a client's place may be free.
    pub async fn client_permit_freed(&self) {
        let freed = self.clients.freed.listen();
        if self.clients.is_reached() {
            freed.await;
        }
    }

    /// How many connections to endpoints may be open.
    pub fn max_endpoint_connections(&self) -> usize {
        self.endpoints.max.get()
    }
}
