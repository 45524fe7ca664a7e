//! The phases of the program from start to exit, and the clients that are idle or whose requests
//! are incomplete.

use event_listener::{Event, EventListener};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

/// A client is asked to close its connection only after it has been idle for this long. A longer
/// time admits fewer new clients per second when sockets are scarce. With a shorter time, more
/// requests arrive just as their connection is closed.
const MIN_IDLE_TIME: Duration = Duration::from_millis(200);
/// Replaces [`MIN_IDLE_TIME`] for a client that has never sent a request.
const MIN_IDLE_TIME_BEFORE_FIRST_REQUEST: Duration = Duration::from_millis(50);

/// A phase of the program. A phase is only followed by a later one, except that
/// [`Phase::Reloading`] returns to [`Phase::Serving`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// No endpoints are known yet, so clients wait.
    Starting,
    /// All requests are served.
    Serving,
    /// All requests are served under a reloaded configuration, until each control service has been
    /// reached at its new address.
    Reloading,
    /// SIGTERM was received. All requests are served as before, as clients may not know yet that
    /// the program is shutting down.
    Draining,
    /// No new clients are accepted. Requests in progress are finished, and each connection is
    /// closed once it is idle.
    Terminating,
    /// The program exits.
    Stopped,
}

/// A service that tells the agent about endpoints or builds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlService {
    /// The discovery service, which sends the endpoint list.
    Discovery,
    /// The rollout platform, which sends the rollout status.
    Platform,
}

impl ControlService {
    const COUNT: usize = 2;
}

/// The order in which idle clients are asked to close: first those that never sent a request, then
/// by the earliest time at which they may be asked. A sequence number makes keys with equal times
/// distinct.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct IdleKey {
    after_first_request: bool,
    evictable_from: Duration,
    number: u64,
}

/// The current phase, and the clients that are idle or whose requests are incomplete.
pub struct Lifecycle {
    phase: Cell<Phase>,
    phase_changed: Event,
    /// By control service: whether it has a new address and was not reached there yet.
    awaiting_contact: Cell<[bool; ControlService::COUNT]>,
    idle_clients: RefCell<BTreeMap<IdleKey, Event>>,
    next_idle_number: Cell<u64>,
    /// The number of clients that have yet to send their first request or the rest of a message.
    incomplete_requests: Cell<usize>,
    /// When the last request ends at the latest; `None` before termination begins.
    ends_at: Cell<Option<Duration>>,
    /// Whether the listener is closed, with all clients accepted that had connected before.
    listener_closed: Cell<bool>,
}

/// The registration of an idle client, which may be asked to close its connection. Dropping this
/// ends the registration.
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

/// Counts a client that has yet to send its first request or the rest of a message, until dropped.
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
    /// Creates the state of a program in [`Phase::Starting`].
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

    /// Records that a reload has changed the address of `service`, which is now to be reached at
    /// the new one, or has `removed` it, so that it is no longer used. An earlier reload may still
    /// be in progress.
    pub fn on_address_change(&self, service: ControlService, removed: bool) {
        self.set_awaiting_contact(service, !removed);
        if !removed && self.phase.get() == Phase::Serving {
            self.advance_to(Phase::Reloading);
        }
    }

    /// Records that a control service was reached at its new address.
    pub fn on_contact(&self, service: ControlService) {
        self.set_awaiting_contact(service, false);
    }

    /// Also returns from [`Phase::Reloading`] to [`Phase::Serving`] if all services were reached.
    fn set_awaiting_contact(&self, service: ControlService, awaiting: bool) {
        let mut all = self.awaiting_contact.get();
        all[service as usize] = awaiting;
        self.awaiting_contact.set(all);
        if !all.contains(&true) && self.phase.get() == Phase::Reloading {
            log_phase(Phase::Serving);
            self.phase.set(Phase::Serving);
        }
    }

    /// Advances to `phase` if it is later than the current one. From [`Phase::Terminating`] on,
    /// asks all idle clients to close their connections.
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

    /// Begins termination: from now on no new clients are accepted, and no request with a deadline
    /// after `ends_at`. Only the first call has an effect.
    pub fn begin_termination(&self, ends_at: Duration) {
        if self.ends_at.get().is_none() {
            self.ends_at.set(Some(ends_at));
            self.advance_to(Phase::Terminating);
        }
    }

    /// Whether the program terminates and its last request ends before `time`.
    pub fn ends_before(&self, time: Duration) -> bool {
        self.ends_at.get().is_some_and(|ends_at| ends_at < time)
    }

    /// Whether the program is terminating and accepts no new clients.
    pub fn is_terminating(&self) -> bool {
        self.phase.get() >= Phase::Terminating
    }

    /// Records that the listener is closed and all clients that had connected before were accepted.
    pub fn mark_listener_closed(&self) {
        self.listener_closed.set(true);
    }

    /// Whether [`Lifecycle::mark_listener_closed`] was called.
    pub fn is_listener_closed(&self) -> bool {
        self.listener_closed.get()
    }

    /// Waits until `phase` or a later one is reached.
    pub async fn wait_for(&self, phase: Phase) {
        while self.phase.get() < phase {
            self.phase_changed.listen().await;
        }
    }

    /// Registers a client without a request in progress; `None` if the program is terminating, so
    /// that the connection is to be closed at once.
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

    /// Counts a client that has yet to send its first request or the rest of a message, until the
    /// guard is dropped.
    pub fn register_incomplete_request(&self) -> IncompleteRequestGuard<'_> {
        self.incomplete_requests
            .set(self.incomplete_requests.get() + 1);
        IncompleteRequestGuard(self)
    }

    /// Asks the client that has been idle for longest to close its connection; clients that never
    /// sent a request come before those that did. Returns false if none has been idle for long
    /// enough, as a client that became idle just now has likely written its next request already.
    ///
    /// While more than `max_incomplete_requests` clients have yet to send their first request or
    /// the rest of a message, no client that has sent a request is asked. This guards served
    /// clients against those that take up connections and send nothing or half a message, which
    /// lose their own connection within [`RECEIVE_TIMEOUT`]. Does harm where that many clients send
    /// their first request slowly, as new clients are rejected in the meantime once all connections
    /// are taken.
    ///
    /// [`RECEIVE_TIMEOUT`]: crate::server::limits::RECEIVE_TIMEOUT
    pub fn evict_idle_client(&self, now: Duration, max_incomplete_requests: usize) -> bool {
        let evictable = self.longest_idle(now, false).or_else(|| {
            let few_incomplete = self.incomplete_requests.get() <= max_incomplete_requests;
            few_incomplete
                .then(|| self.longest_idle(now, true))
                .flatten()
        });
        let Some(key) = evictable else {
            return false;
        };
        if let Some(close_request) = self.idle_clients.borrow_mut().remove(&key) {
            close_request.notify(1);
        }
        true
    }

    /// The client that has been idle for longest and for long enough to be asked to close, either
    /// among those that have sent a request or among those that have not.
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
