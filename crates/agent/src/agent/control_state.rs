//! State through which the balancer's poll, the configuration reload and the two control tasks
//! (discovery watch, platform session) communicate.

use event_listener::{Event, EventListener};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;
use tulipwall::Vote;

/// State shared with the control tasks.
///
/// A configuration reload writes the addresses; the balancer's poll writes the watch request and
/// the pending vote. The discovery watch and the platform session read them.
pub struct ControlState {
    /// The address of the discovery service.
    pub discovery: PeerAddress<SocketAddr>,
    /// The address of the rollout platform; `None` if none is configured.
    pub platform: PeerAddress<Option<SocketAddr>>,
    /// The signal on which the discovery watch starts.
    pub watch_request: WatchRequest,
    /// The vote that the platform session has not yet written.
    pub pending_vote: PendingVote,
}

impl ControlState {
    /// Creates the state with the addresses that were read at startup, without a watch request or a
    /// vote.
    pub fn new(discovery: SocketAddr, platform: Option<SocketAddr>) -> ControlState {
        ControlState {
            discovery: PeerAddress::new(discovery),
            platform: PeerAddress::new(platform),
            watch_request: WatchRequest::default(),
            pending_vote: PendingVote::default(),
        }
    }
}

/// The address of a control service, and a counter of the requests to restart its connection.
pub struct PeerAddress<T> {
    address: Cell<T>,
    changes: Cell<u64>,
    change_requested_at: Cell<Duration>,
    changed: Event,
}

impl<T: Copy + PartialEq> PeerAddress<T> {
    fn new(address: T) -> PeerAddress<T> {
        PeerAddress {
            address: Cell::new(address),
            changes: Cell::default(),
            change_requested_at: Cell::default(),
            changed: Event::new(),
        }
    }

    /// Returns the address in force.
    pub fn get(&self) -> T {
        self.address.get()
    }

    /// Replaces the address and returns whether it differs from the previous one. Does not announce
    /// the change.
    pub fn replace(&self, address: T) -> bool {
        self.address.replace(address) != address
    }

    /// Asks the task of this service to restart its connection, after a reload that was requested
    /// at `requested_at`.
    pub fn announce_change(&self, requested_at: Duration) {
        self.changes.set(self.changes.get() + 1);
        self.change_requested_at.set(requested_at);
        self.changed.notify(usize::MAX);
    }

    /// Returns how many changes were announced so far.
    pub fn changes(&self) -> u64 {
        self.changes.get()
    }

    /// Returns when the reload was requested that made the last change, on the agent's clock; zero
    /// before the first change.
    pub fn change_requested_at(&self) -> Duration {
        self.change_requested_at.get()
    }

    /// Waits until more than `seen` changes were announced.
    pub async fn changed_since(&self, seen: u64) {
        while self.changes.get() == seen {
            self.changed.listen().await;
        }
    }
}

/// The balancer's request to start the discovery watch. Requests that are repeated before the watch
/// receives them count as one.
#[derive(Default)]
pub struct WatchRequest {
    pending: Cell<bool>,
    raised: Event,
}

impl WatchRequest {
    /// Requests the watch and wakes the discovery task.
    pub fn raise(&self) {
        self.pending.set(true);
        self.raised.notify(1);
    }

    /// Withdraws a request that was not received yet.
    pub fn clear(&self) {
        self.pending.set(false);
    }

    /// Waits until the watch is requested, and clears the request.
    pub async fn received(&self) {
        while !self.pending.take() {
            self.raised.listen().await;
        }
    }
}

/// A vote with the time at which the balancer cast it.
pub struct CastVote {
    /// The verdict, with the build and the stage that it is about.
    pub vote: Vote,
    /// When the vote was cast, on the agent's clock.
    pub cast_at: Duration,
}

/// The vote that was cast and not yet written to the platform. A later vote replaces it.
#[derive(Default)]
pub struct PendingVote {
    vote: RefCell<Option<CastVote>>,
    cast: Event,
}

impl PendingVote {
    /// Stores a vote for the platform session and wakes that task.
    pub fn cast(&self, vote: Vote, now: Duration) {
        *self.vote.borrow_mut() = Some(CastVote { vote, cast_at: now });
        self.cast.notify(1);
    }

    /// Removes and returns the vote, so that it is written only once; `None` if there is none.
    pub fn take(&self) -> Option<CastVote> {
        self.vote.take()
    }

    /// Returns whether a vote is waiting to be written.
    pub fn is_some(&self) -> bool {
        self.vote.borrow().is_some()
    }

    /// Returns a listener that is ready once the next vote is cast.
    pub fn listen(&self) -> EventListener {
        self.cast.listen()
    }
}
