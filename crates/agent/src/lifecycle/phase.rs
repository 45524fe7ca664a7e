//! The phases of the program from start to exit, and who waits for them.

use event_listener::{Event, EventListener};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

/// A client is asked to close its connection only after it was idle for as long. The longer this
/// is, the fewer new clients a second find a place; the shorter, the more requests cross with the
/// end of their connection.
const MIN_IDLE_TIME: Duration = Duration::from_millis(200);
/// The same for a client that has never sent a request.
const MIN_IDLE_TIME_BEFORE_FIRST_REQUEST: Duration = Duration::from_millis(50);
/// A phase of the program. Phases are only left for later ones, except for [`Phase::Reloading`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Nothing to serve from is known yet: clients wait.
    Starting,
    /// All is served.
    Serving,
    /// All is served under a configuration read anew, until each control service was reached at
    /// its new address.
    Reloading,
    /// SIGTERM has come: all is served as before, for clients that do not know yet.
    Draining,
    /// No new clients; requests in progress are finished, and each connection ends once it is
    /// idle.
    Terminating,
    /// The program ends.
    Stopped,
}

/// A service that the agent learns the endpoints or the builds from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlService {
    /// The discovery service.
    Discovery,
    /// The rollout platform.
    Platform,
}

impl ControlService {
    const COUNT: usize = 2;
}

/// Orders idle clients: those that never sent a request first, then by when they may first be asked
/// to close; the number tells equal times apart.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct IdleKey {
    after_first_request: bool,
    evictable_from: Duration,
    number: u64,
}

/// The current phase, and the clients that are idle.
pub struct Lifecycle {
    phase: Cell<Phase>,
    phase_changed: Event,
    /// By control service: whether it was not yet reached at its new address.
    awaiting_contact: Cell<[bool; ControlService::COUNT]>,
    idle_clients: RefCell<BTreeMap<IdleKey, Event>>,
    next_idle_number: Cell<u64>,
    /// How many clients owe their first request or the rest of a message.
    incomplete_requests: Cell<usize>,
    /// When the last request ends; known once the program terminates.
    ends_at: Cell<Option<Duration>>,
    /// Whether the listener is closed and all clients that had connected were accepted.
    listener_closed: Cell<bool>,
}

/// A client between two requests; it may be asked to close its connection.
pub struct IdleClientGuard<'a> {
    lifecycle: &'a Lifecycle,
    key: IdleKey,
    /// Notified when the client is to close its connection.
    pub close_requested: EventListener,
}

impl Drop for IdleClientGuard<'_> {
    fn drop(&mut self) {
        self.lifecycle.idle_clients.borrow_mut().remove(&self.key);
    }
}

/// A client that owes its first request or the rest of a message.
pub struct IncompleteRequestGuard<'a>(&'a Lifecycle);

impl Drop for IncompleteRequestGuard<'_> {
    fn drop(&mut self) {
        let incomplete_requests = &self.0.incomplete_requests;
        incomplete_requests.set(incomplete_requests.get() - 1);
    }
}

impl Default for Lifecycle {
    fn default() -> Lifecycle {
        Lifecycle::new()
    }
}

impl Lifecycle {
    /// In [`Phase::Starting`].
    pub fn new() -> Lifecycle {
        Lifecycle {
            phase: Cell::new(Phase::Starting),
            phase_changed: Event::new(),
            awaiting_contact: Cell::default(),
            idle_clients: RefCell::default(),
            next_idle_number: Cell::default(),
            incomplete_requests: Cell::default(),
            ends_at: Cell::default(),
            listener_closed: Cell::default(),
        }
    }

    /// A configuration with another address for `service` was read, also while another reload is
    /// under way: it is to be reached there, or is not used any more where it was `removed`.
    pub fn on_address_change(&self, service: ControlService, removed: bool) {
        self.set_awaiting_contact(service, !removed);
        if !removed && self.phase.get() == Phase::Serving {
            self.advance_to(Phase::Reloading);
        }
    }

    /// A control service was reached at its new address.
    pub fn on_contact(&self, service: ControlService) {
        self.set_awaiting_contact(service, false);
    }

    fn set_awaiting_contact(&self, service: ControlService, awaiting: bool) {
        let mut all = self.awaiting_contact.get();
        all[service as usize] = awaiting;
        self.awaiting_contact.set(all);
        if !all.contains(&true) && self.phase.get() == Phase::Reloading {
            log_phase(Phase::Serving);
            self.phase.set(Phase::Serving);
        }
    }

    /// Goes on to `phase` if that is a later one.
    pub fn advance_to(&self, phase: Phase) {
        if phase <= self.phase.get() {
            return;
        }
        log_phase(phase);
        self.phase.set(phase);
        self.phase_changed.notify(usize::MAX);
        if phase >= Phase::Terminating {
            for close_request in self.idle_clients.borrow().values() {
                close_request.notify(1);
            }
        }
    }

    /// From now on there are no new clients, and no request with a deadline after `ends_at` is
    /// taken. Only the first call counts.
    pub fn begin_termination(&self, ends_at: Duration) {
        if self.ends_at.get().is_none() {
            self.ends_at.set(Some(ends_at));
            self.advance_to(Phase::Terminating);
        }
    }

    /// Whether the program ends before `time`.
    pub fn ends_before(&self, time: Duration) -> bool {
        self.ends_at.get().is_some_and(|ends_at| ends_at < time)
    }

    /// Whether no new clients are accepted any more.
    pub fn is_terminating(&self) -> bool {
        self.phase.get() >= Phase::Terminating
    }

    /// All clients that had connected were accepted, and nobody else can connect.
    pub fn mark_listener_closed(&self) {
        self.listener_closed.set(true);
    }

    /// Whether [`Lifecycle::mark_listener_closed`] was called.
    pub fn is_listener_closed(&self) -> bool {
        self.listener_closed.get()
    }

    /// Ready once `phase` or a later one is reached.
    pub async fn wait_for(&self, phase: Phase) {
        while self.phase.get() < phase {
            self.phase_changed.listen().await;
        }
    }

    /// Registers a client without a request in progress; `None` when it is to close its connection
    /// at once.
    pub fn register_idle_client(
        &self,
        now: Duration,
        before_first_request: bool,
    ) -> Option<IdleClientGuard<'_>> {
        if self.is_terminating() {
            return None;
        }
        let number = self.next_idle_number.get();
        self.next_idle_number.set(number + 1);
        let close_request = Event::new();
        let close_requested = close_request.listen();
        let min_idle_time = if before_first_request {
            MIN_IDLE_TIME_BEFORE_FIRST_REQUEST
        } else {
            MIN_IDLE_TIME
        };
        let key = IdleKey {
            after_first_request: !before_first_request,
            evictable_from: now + min_idle_time,
            number,
        };
        self.idle_clients.borrow_mut().insert(key, close_request);
        Some(IdleClientGuard {
            lifecycle: self,
            key,
            close_requested,
        })
    }

    /// Counts a client that owes its first request or the rest of a message, for as long as it does.
    pub fn register_incomplete_request(&self) -> IncompleteRequestGuard<'_> {
        self.incomplete_requests
            .set(self.incomplete_requests.get() + 1);
        IncompleteRequestGuard(self)
    }

    /// Asks the longest idle client to close its connection, one that never sent a request before
    /// one that did; false when none was idle for long enough: one that was not has likely written
    /// its next request already.
    ///
    /// While more than `max_incomplete_requests` owe a message no client that sent a request is asked.
    /// Guards served clients against those that take the places and send nothing, or half a
    /// message: these lose their own within [`RECEIVE_TIMEOUT`]. Does harm where that many send
    /// their first request slowly: new clients are rejected meanwhile once all places are taken.
    ///
    /// [`RECEIVE_TIMEOUT`]: crate::server::limits::RECEIVE_TIMEOUT
    pub fn evict_idle_client(&self, now: Duration, max_incomplete_requests: usize) -> bool {
        let evictable = self.longest_idle(now, false).or_else(|| {
            let few_owe = self.incomplete_requests.get() <= max_incomplete_requests;
            few_owe.then(|| self.longest_idle(now, true)).flatten()
        });
        let Some(key) = evictable else {
            return false;
        };
        if let Some(close_request) = self.idle_clients.borrow_mut().remove(&key) {
            close_request.notify(1);
        }
        true
    }

    /// Of the clients that sent a request, or of those that did not, the one that has been idle for
    /// longest, if that is long enough to ask it to close.
    fn longest_idle(&self, now: Duration, after_first_request: bool) -> Option<IdleKey> {
        let first = IdleKey {
            after_first_request,
            evictable_from: Duration::ZERO,
            number: 0,
        };
        let last = IdleKey {
            after_first_request,
            evictable_from: now,
            number: u64::MAX,
        };
        let idle_clients = self.idle_clients.borrow();
        let (key, _) = idle_clients.range(first..=last).next()?;
        Some(*key)
    }
}

fn log_phase(phase: Phase) {
    log::info!(phase:?; "phase: {phase:?}");
}
