//! Until when the endpoint list that is known may be acted on.

use crate::watch_timer::WatchEnd;
use std::time::Duration;
use tulipwall::Settings;

/// An agent is held to a change this long after discovery had it and could be reached, however its
/// calls have failed.
const CHANGE_GRACE: Duration = Duration::from_millis(6000);
/// An agent is held to a change this long after the wait of a call, where that is later.
const WAIT_GRACE: Duration = Duration::from_millis(2000);

/// The lease of the list that is known, where lists are polled: until it ends the list has every
/// change that the agent is held to. Beyond, the agent may be held to one that it never learned of,
/// so nothing is sent until discovery answers again.
///
/// With N agents, a discovery that begins B watches a second, and S = N / B, every agent is
/// answered within S of calling at once, and a little for calls in vain, if calls are frequent
/// enough to fill what discovery bears. First calls after a start are spread over the agent's share
/// of the calls (N / the rate in the settings, at most half of the poll interval); where that is
/// over 3 s, over three quarters of it and 3 s at least. Those at a new address are spread over the
/// share or 2 s, those after a silence of all over nearly twice the poll interval. After a refusal
/// the next call comes a quarter of the share later (0.25 s at least), times a random factor from
/// 0.7 to 1.3, then half as much more each time, up to the share (2 s at least). So every agent is
/// answered within the 6 s while S is up to 3 s. Beyond that the last are not, and their leases end
/// until they are. A discovery that does not answer at all is no refusal: agents are not held to
/// what it has.
pub struct ListLease {
    /// `None` where lists are pushed: there the list that is known is always acted on.
    valid_until: Option<Duration>,
    /// When the current watch, or the call that is to begin it, was begun.
    watch_began: Duration,
    /// The current watch was answered.
    watch_was_answered: bool,
    /// Some call was answered with a list.
    was_ever_answered: bool,
    /// Some call was refused.
    was_ever_refused: bool,
}

impl ListLease {
    /// The lease after a start, by the configured list. The age of that list is unknown: the
    /// process before this one may have been refused for long, and this one is held to what it
    /// missed from its first moment. So there is no lease until a first call was answered, or has
    /// shown that discovery cannot be reached. That does harm where the list lacks nothing.
    pub fn new(settings: &Settings, now: Duration) -> ListLease {
        ListLease {
            valid_until: settings.shared_discovery.then_some(now),
            watch_began: now,
            watch_was_answered: false,
            was_ever_answered: false,
            was_ever_refused: false,
        }
    }

    /// Continues under reloaded settings. Where lists were pushed before and are polled now, the
    /// agent is held to what it missed 6 s from now.
    pub fn reload(&mut self, settings: &Settings, now: Duration) {
        self.valid_until = if settings.shared_discovery {
            Some(self.valid_until.unwrap_or(now + CHANGE_GRACE))
        } else {
            None
        };
    }

    /// When the lease ends; `None` where lists are pushed, and it never does.
    pub fn valid_until(&self) -> Option<Duration> {
        self.valid_until
    }

    /// A call goes out that is to begin a watch.
    pub fn on_watch_begin(&mut self, now: Duration) {
        self.watch_began = now;
        self.watch_was_answered = false;
    }

    /// A response came, and the next call may wait for `wait`.
    pub fn on_response(&mut self, now: Duration, wait: Duration) {
        let renewed_until = now + CHANGE_GRACE.max(wait + WAIT_GRACE);
        self.valid_until = self.valid_until.map(|_| renewed_until);
        self.watch_was_answered = true;
        self.was_ever_answered = true;
    }

    /// Discovery has a new address, where the watch ends.
    pub fn on_address_change(&mut self, now: Duration) {
        self.valid_until = self.valid_until.map(|until| until.min(now + CHANGE_GRACE));
        self.watch_was_answered = false;
    }

    /// The watch, or the call that was to begin it, failed.
    pub fn on_watch_end(&mut self, now: Duration, end: WatchEnd) {
        self.was_ever_refused |= end == WatchEnd::Refused;
        if let Some(until) = self.valid_until {
            self.valid_until = Some(if self.watch_was_answered {
                valid_until_after_watch(until, now, end)
            } else {
                self.valid_until_after_first_call(until, now, end)
            });
        }
        self.watch_was_answered = false;
    }

    /// The end of the lease after a call failed that was to begin a watch.
    fn valid_until_after_first_call(
        &self,
        until: Duration,
        now: Duration,
        end: WatchEnd,
    ) -> Duration {
        match end {
            WatchEnd::TimedOut | WatchEnd::Disconnected => {
                // Discovery could not be reached as the call went out. If a first call after the
                // start was refused, it is there, and its absence now extends nothing.
                let extends = self.was_ever_answered || !self.was_ever_refused;
                if extends {
                    until.max(self.watch_began + CHANGE_GRACE)
                } else {
                    until
                }
            }
            WatchEnd::Refused if !self.was_ever_answered => until.min(now),
            WatchEnd::Refused | WatchEnd::Malformed => until,
        }
    }
}

/// The end of the lease after a watch failed that had been answered.
fn valid_until_after_watch(until: Duration, now: Duration, end: WatchEnd) -> Duration {
    match end {
        // Since when it was silent is not known; its wait bounds how long that may be.
        WatchEnd::TimedOut => until,
        WatchEnd::Disconnected | WatchEnd::Refused | WatchEnd::Malformed => now + CHANGE_GRACE,
    }
}
