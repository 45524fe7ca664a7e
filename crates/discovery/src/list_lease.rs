//! Tracks until when the current endpoint list may be used.

use crate::watch_timer::WatchEnd;
use std::fmt;
use std::time::Duration;
use tulipwall::Settings;

/// An agent must comply with a change from this long after discovery had it and was reachable,
/// however the agent's calls have failed.
const CHANGE_GRACE: Duration = Duration::from_millis(6000);
/// An agent must comply with a change from this long after the wait of a call ended, if that is
/// later than the time given by [`CHANGE_GRACE`].
const WAIT_GRACE: Duration = Duration::from_millis(2000);
/// Where lists are pushed, an agent must comply with the list at a new address from this long after
/// it was told of the address.
const PUSHED_ADDRESS_CHANGE_GRACE: Duration = Duration::from_millis(4000);

/// Why the lease of the list ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseEndReason {
    /// No list was received since the process started.
    NoListSinceStart,
    /// No list was received since the address of discovery, or the way to get lists, changed.
    NoListSinceAddressChange,
    /// Discovery refused the last call that could have brought a list.
    Refused,
    /// The last response that could have brought a list could not be read.
    Malformed,
    /// Discovery has not responded.
    NoResponse,
}

impl fmt::Display for LeaseEndReason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            LeaseEndReason::NoListSinceStart => "no list was received since the start",
            LeaseEndReason::NoListSinceAddressChange => {
                "no list was received since its address changed"
            }
            LeaseEndReason::Refused => "it refuses calls",
            LeaseEndReason::Malformed => "its responses cannot be read",
            LeaseEndReason::NoResponse => "it does not respond",
        })
    }
}

/// The end of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseEnd {
    /// When the lease ends, on the agent's clock.
    pub at: Duration,
    /// Why it ends.
    pub reason: LeaseEndReason,
}

/// The lease of the current endpoint list. Until the lease ends, the list contains every change
/// that the agent must comply with. After that, there may be a change that the agent must comply
/// with but never received, so it sends nothing until discovery answers again.
///
/// # Start
///
/// The age of the configured list is unknown: the previous process may have missed changes, and the
/// new one must comply with them from its start. So the lease is expired until discovery answers
/// with a list, however calls fail until then.
///
/// # Address changes
///
/// What discovery holds at a new address may differ from the list that the agent has, so the lease
/// ends 4 s or, where lists are polled, 6 s after the agent was told of the address, however calls
/// fail until then. A change between pushed and polled lists counts as one of the address.
///
/// # Outages
///
/// Once a list was received from the current address, the lease outlasts an outage: a discovery that cannot be reached, or
/// that does not answer at all, announces nothing.
///
/// - Where lists are pushed, the lease has no end while discovery is unreachable.
/// - Where they are polled, a call that finds discovery unreachable extends the lease to 6 s after
///   the beginning of that call.
///
/// # Responses without a list
///
/// A discovery that refuses a call, or whose response cannot be read, is reachable, so changes that
/// it has count as announced within 6 s. From then on failing calls do not renew the lease, also
/// those that do not reach discovery. Where lists are pushed, the lease ends 6 s after the list was
/// last known to be complete.
///
/// # Refusals where lists are polled
///
/// Let N be the number of agents, B the number of watches that discovery can begin per second, and
/// S = N / B. If all agents call at once, and often enough to use the full capacity of discovery,
/// every agent is answered within S plus a short time for refused calls.
///
/// - First calls after a start are spread over the agent's call interval: N divided by the rate in
///   the settings, at most half of the poll interval. If the call interval exceeds 3 s, they are
///   spread over three quarters of it, but at least over 3 s.
/// - First calls at a new address are spread over the call interval, at most over 2 s.
/// - Calls after the watches of all agents fell silent are spread over nearly twice the poll
///   interval.
/// - After a refusal, the next call follows after a quarter of the call interval (at least 0.25 s),
///   multiplied by a random factor from 0.7 to 1.3. Each further delay is half as long again, up to
///   the call interval (or 2 s if that is longer).
///
/// So every agent is answered within the 6 s as long as S is at most 3 s. If S is longer, the last
/// agents are not, and their leases stay expired until they are answered.
pub struct ListLease {
    is_polled: bool,
    /// When the lease ends; `None` if it has no end.
    end: Option<LeaseEnd>,
    /// Whether the lease outlasts an outage of discovery: a list was received from the current
    /// address, and discovery was not reached without receiving one since.
    outlasts_outage: bool,
    /// When the list was last known to be complete: at the last response, or when a watch ended that
    /// had not fallen silent.
    complete_until: Duration,
    /// When the current watch, or the call that is meant to begin one, was started.
    watch_began: Duration,
    /// Whether the current watch has received a response.
    watch_was_answered: bool,
}

impl ListLease {
    /// Creates the lease for the configured list, with which the agent starts at `now`. It is
    /// expired. This does harm if the list is in fact up to date.
    pub fn new(settings: &Settings, now: Duration) -> ListLease {
        ListLease {
            is_polled: settings.shared_discovery,
            end: Some(LeaseEnd {
                at: now,
                reason: LeaseEndReason::NoListSinceStart,
            }),
            outlasts_outage: false,
            complete_until: now,
            watch_began: now,
            watch_was_answered: false,
        }
    }

    /// Applies settings that were reloaded at `now`.
    pub fn reload(&mut self, settings: &Settings, now: Duration) {
        let was_polled = std::mem::replace(&mut self.is_polled, settings.shared_discovery);
        if self.is_polled != was_polled {
            self.on_address_change(now);
        }
    }

    /// Returns when and why the lease ends; `None` if it has no end.
    pub fn end(&self) -> Option<LeaseEnd> {
        self.end
    }

    /// Returns when the lease ends; `None` if it has no end.
    pub fn valid_until(&self) -> Option<Duration> {
        self.end.map(|end| end.at)
    }

    /// Records that a call is sent that is meant to begin a watch.
    pub fn on_watch_begin(&mut self, now: Duration) {
        self.watch_began = now;
        self.watch_was_answered = false;
    }

    /// Renews the lease after a response with a list. `wait` is how long discovery may hold the
    /// next call.
    pub fn on_response(&mut self, now: Duration, wait: Duration) {
        let renewed_until = now + CHANGE_GRACE.max(wait + WAIT_GRACE);
        self.end = self.is_polled.then_some(LeaseEnd {
            at: renewed_until,
            reason: LeaseEndReason::NoResponse,
        });
        self.outlasts_outage = true;
        self.complete_until = now;
        self.watch_was_answered = true;
    }

    /// Records that the agent was told at `told_at` of a new address of discovery, which ends the
    /// watch and may shorten the lease.
    pub fn on_address_change(&mut self, told_at: Duration) {
        let grace = if self.is_polled {
            CHANGE_GRACE
        } else {
            PUSHED_ADDRESS_CHANGE_GRACE
        };
        self.end_by(told_at + grace, LeaseEndReason::NoListSinceAddressChange);
        if let Some(end) = &mut self.end {
            if end.reason != LeaseEndReason::NoListSinceStart {
                end.reason = LeaseEndReason::NoListSinceAddressChange;
            }
        }
        self.outlasts_outage = false;
        self.watch_was_answered = false;
    }

    /// Records that the agent ended its watch at the same address, to begin another one.
    pub fn on_watch_restart(&mut self, now: Duration) {
        if self.is_polled {
            self.end_by(now + CHANGE_GRACE, LeaseEndReason::NoResponse);
        }
        self.watch_was_answered = false;
    }

    /// Updates the lease after the watch, or the call that was meant to begin it, failed.
    pub fn on_watch_end(&mut self, now: Duration, end: WatchEnd) {
        let was_answered = std::mem::take(&mut self.watch_was_answered);
        if !self.outlasts_outage {
            return;
        }
        // It is not known when a silent discovery stopped responding. The wait of the call limits
        // how long ago that may be, and the lease already accounts for it.
        if was_answered && end != WatchEnd::TimedOut {
            self.on_watch_closed(now);
        }
        match end {
            WatchEnd::Refused => self.on_reached_without_list(LeaseEndReason::Refused),
            WatchEnd::Malformed => self.on_reached_without_list(LeaseEndReason::Malformed),
            WatchEnd::TimedOut | WatchEnd::Disconnected if !was_answered => self.on_unreachable(),
            WatchEnd::TimedOut | WatchEnd::Disconnected | WatchEnd::PartlyMalformed => {}
        }
    }

    /// Updates the lease after a watch ended that had brought all changes until then.
    fn on_watch_closed(&mut self, now: Duration) {
        self.complete_until = now;
        if self.is_polled {
            self.end = Some(LeaseEnd {
                at: now + CHANGE_GRACE,
                reason: LeaseEndReason::NoResponse,
            });
        }
    }

    /// Updates the lease after a call reached discovery but brought no list.
    fn on_reached_without_list(&mut self, reason: LeaseEndReason) {
        self.outlasts_outage = false;
        if !self.is_polled {
            self.end_by(self.complete_until + CHANGE_GRACE, reason);
        }
        if let Some(end) = &mut self.end {
            end.reason = reason;
        }
    }

    /// Renews the lease after a call that was meant to begin a watch did not reach discovery.
    fn on_unreachable(&mut self) {
        let renewed_until = self.watch_began + CHANGE_GRACE;
        if let Some(end) = &mut self.end {
            end.at = end.at.max(renewed_until);
        }
    }

    /// Ends the lease at `at` unless it ends earlier.
    fn end_by(&mut self, at: Duration, reason: LeaseEndReason) {
        if self.end.is_none_or(|end| at < end.at) {
            self.end = Some(LeaseEnd { at, reason });
        }
    }
}
