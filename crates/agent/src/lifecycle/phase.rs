//! The phases of the program, from start to exit, as states of one object.

use event_listener::{Event, EventListener};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

/// New clients still come for this long after SIGTERM.
pub const LEAVING: Duration = Duration::from_millis(550);
/// A client is asked to go only when it was idle for as long; sooner if it has never asked
/// anything. The longer this is, the fewer new ones a second find a place; the shorter, the more
/// requests cross with the end.
const IDLE_LEAST: Duration = Duration::from_millis(200);
const NEW_LEAST: Duration = Duration::from_millis(50);
/// SIGKILL comes no sooner than the longest expiry, of this at least, and somewhat more.
pub const LEAST_EXPIRY: Duration = Duration::from_secs(3);
/// For answers that are given at the expiry itself. With it the program ends before SIGKILL: 0.7 s
/// and the longest expiry after SIGTERM.
pub const LAST_WORDS: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Nothing to serve from is known yet: clients wait.
    Starting,
    Serving,
    /// Serving on under a configuration read anew, until each party was heard at its new address.
    Renewing,
    /// SIGTERM has come: all is served as before, for those who do not know yet.
    Leaving,
    /// No new clients; what is in hand is answered, and each connection ends once it is idle.
    Closing,
    Stopped,
}

/// Whom the agent hears of the endpoints and the builds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Party {
    Discovery,
    Platform,
}

pub struct Life {
    phase: Cell<Phase>,
    changed: Event,
    awaited: Cell<[bool; 2]>, // parties not yet heard at their new addresses
    idle: RefCell<BTreeMap<(Duration, u64), Event>>, // clients between requests, the first to go first
    idled: Cell<u64>,
    ends: Cell<Option<Duration>>, // when the last request does, known once it closes
    shut: Cell<bool>,             // the listener: all that had connected are taken in
}

/// A client's time between two requests; it may be asked to end its connection.
pub struct Idle<'a> {
    life: &'a Life,
    key: (Duration, u64),
    pub asked: EventListener,
}

impl Drop for Idle<'_> {
    fn drop(&mut self) {
        self.life.idle.borrow_mut().remove(&self.key);
    }
}

impl Life {
    pub fn start() -> Life {
        Life {
            phase: Cell::new(Phase::Starting),
            changed: Event::new(),
            awaited: Cell::default(),
            idle: RefCell::default(),
            idled: Cell::default(),
            ends: Cell::default(),
            shut: Cell::default(),
        }
    }

    /// A new configuration was read, also while another is under way: this party is to be heard at
    /// a new address, or is `gone`.
    pub fn moves(&self, party: Party, gone: bool) {
        self.awaits(party, !gone);
        if !gone && self.phase.get() == Phase::Serving {
            self.reach(Phase::Renewing);
        }
    }

    /// A party was heard at its new address.
    pub fn heard(&self, party: Party) {
        self.awaits(party, false);
    }

    fn awaits(&self, party: Party, awaited: bool) {
        let mut all = self.awaited.get();
        all[party as usize] = awaited;
        self.awaited.set(all);
        if all == [false; 2] && self.phase.get() == Phase::Renewing {
            log::info!(phase:? = Phase::Serving; "phase: {:?}", Phase::Serving);
            self.phase.set(Phase::Serving);
        }
    }

    /// Goes on to a later phase; back only from a new configuration.
    pub fn reach(&self, phase: Phase) {
        if phase > self.phase.get() {
            log::info!(phase:?; "phase: {phase:?}");
            self.phase.set(phase);
            self.changed.notify(usize::MAX);
            if phase >= Phase::Closing {
                for asked in self.idle.borrow().values() {
                    asked.notify(1);
                }
            }
        }
    }

    /// No new clients from now on, and no request is taken whose time goes beyond `ends`.
    pub fn close(&self, ends: Duration) {
        if self.ends.get().is_none() {
            self.ends.set(Some(ends));
            self.reach(Phase::Closing);
        }
    }

    /// Whether the program ends before this time.
    pub fn ends_before(&self, at: Duration) -> bool {
        self.ends.get().is_some_and(|ends| ends < at)
    }

    pub fn closes(&self) -> bool {
        self.phase.get() >= Phase::Closing
    }

    /// All that had connected are taken in, and nobody else can.
    pub fn shut(&self) {
        self.shut.set(true);
    }

    pub fn is_shut(&self) -> bool {
        self.shut.get()
    }

    pub async fn reached(&self, phase: Phase) {
        while self.phase.get() < phase {
            self.changed.listen().await;
        }
    }

    /// A client has no request in hand, `new` if it never had one; `None` when it is time to go.
    pub fn idle(&self, now: Duration, new: bool) -> Option<Idle<'_>> {
        if self.phase.get() >= Phase::Closing {
            return None;
        }
        let number = self.idled.get();
        self.idled.set(number + 1);
        let event = Event::new();
        let asked = event.listen();
        let key = (now + if new { NEW_LEAST } else { IDLE_LEAST }, number);
        self.idle.borrow_mut().insert(key, event);
        Some(Idle {
            life: self,
            key,
            asked,
        })
    }

    /// Asks the client that has been idle for longest to go; false when none was idle for a while.
    /// One that was not has likely written its next request already.
    pub fn evict_idle(&self, now: Duration) -> bool {
        let mut idle = self.idle.borrow_mut();
        let longest = idle.first_entry().filter(|e| now >= e.key().0);
        longest.map(|e| e.remove().notify(1)).is_some()
    }
}
