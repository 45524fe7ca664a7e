//! What passes between the balancer's poll, the configuration reload and the two control tasks
//! (discovery watch, platform session).

use event_listener::{Event, EventListener};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;
use tulipwall::Vote;

/// State shared with the control tasks.
///
/// Addresses are written by a configuration reload; the watch request and the pending vote by the
/// balancer's poll. The discovery watch and the platform session read them.
pub struct ControlState {
    /// Where discovery is.
    pub discovery: PeerAddress<SocketAddr>,
    /// Where the rollout platform is, if there is one.
    pub platform: PeerAddress<Option<SocketAddr>>,
    /// Asks the discovery watch to begin.
    pub watch_request: WatchRequest,
    /// The vote that the platform session has yet to write.
    pub pending_vote: PendingVote,
}

impl ControlState {
    /// The addresses that were read at the start; nothing is asked for yet.
    pub fn new(discovery: SocketAddr, platform: Option<SocketAddr>) -> ControlState {
        ControlState {
            discovery: PeerAddress::new(discovery),
            platform: PeerAddress::new(platform),
            watch_request: WatchRequest::default(),
            pending_vote: PendingVote::default(),
        }
    }
}

/// The address of a peer, and how often its connection was to be restarted.
pub struct PeerAddress<T> {
    address: Cell<T>,
    changes: Cell<u64>,
    changed: Event,
}

impl<T: Copy + PartialEq> PeerAddress<T> {
    fn new(address: T) -> PeerAddress<T> {
        PeerAddress {
            address: Cell::new(address),
            changes: Cell::default(),
            changed: Event::new(),
        }
    }

    /// The address in force.
    pub fn get(&self) -> T {
        self.address.get()
    }

    /// Puts an address in force; whether it differs from the one before. Does not announce it.
    pub fn replace(&self, address: T) -> bool {
        self.address.replace(address) != address
    }

    /// Asks the peer's task to restart its connection.
    pub fn announce_change(&self) {
        self.changes.set(self.changes.get() + 1);
        self.changed.notify(usize::MAX);
    }

    /// How many changes were announced so far.
    pub fn changes(&self) -> u64 {
        self.changes.get()
    }

    /// Ready once more changes than `seen` were announced.
    pub async fn changed_since(&self, seen: u64) {
        while self.changes.get() == seen {
            self.changed.listen().await;
        }
    }
}

/// The balancer's request that the discovery watch begins; repeated requests count as one.
#[derive(Default)]
pub struct WatchRequest {
    pending: Cell<bool>,
    raised: Event,
}

impl WatchRequest {
    /// Asks for the watch.
    pub fn raise(&self) {
        self.pending.set(true);
        self.raised.notify(1);
    }

    /// Withdraws the request.
    pub fn clear(&self) {
        self.pending.set(false);
    }

    /// Ready once the watch is asked for; takes the request.
    pub async fn received(&self) {
        while !self.pending.take() {
            self.raised.listen().await;
        }
    }
}

/// A vote with the time at which the balancer cast it.
pub struct CastVote {
    /// The vote.
    pub vote: Vote,
    /// When it was cast, on the agent's clock.
    pub cast_at: Duration,
}

/// The vote that is cast and not yet written to the platform; a later one takes its place.
#[derive(Default)]
pub struct PendingVote {
    vote: RefCell<Option<CastVote>>,
    cast: Event,
}

impl PendingVote {
    /// Leaves a vote for the platform session.
    pub fn cast(&self, vote: Vote, now: Duration) {
        *self.vote.borrow_mut() = Some(CastVote { vote, cast_at: now });
        self.cast.notify(1);
    }

    /// Takes the vote, so that it is written once.
    pub fn take(&self) -> Option<CastVote> {
        self.vote.take()
    }

    /// Whether a vote waits to be written.
    pub fn is_some(&self) -> bool {
        self.vote.borrow().is_some()
    }

    /// Ready once the next vote is cast.
    pub fn listen(&self) -> EventListener {
        self.cast.listen()
    }
}
