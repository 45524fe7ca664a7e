//! Tracks until when the current endpoint list may be used.

use crate::watch_timer::WatchEnd;
use std::time::Duration;
use tulipwall::Settings;

/// An agent must comply with a change from this long after discovery had it and was reachable,
/// however the agent's calls have failed.
const CHANGE_GRACE: Duration = Duration::from_millis(6000);
/// An agent must comply with a change from this long after the wait of a call ended, if that is
/// later than the time given by [`CHANGE_GRACE`].
const WAIT_GRACE: Duration = Duration::from_millis(2000);

/// The lease of the current endpoint list, where lists are polled. Until the lease ends, the list
/// contains every change that the agent must comply with. After that, there may be a change that
/// the agent must comply with but never received, so it sends nothing until discovery answers
/// again.
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
/// agents are not, and their leases stay expired until they are answered. A discovery that does not
/// answer at all does not count as refusing: agents need not comply with the changes it has.
pub struct ListLease {
    /// When the lease ends; `None` where lists are pushed, since the current list is always used
    /// there.
    valid_until: Option<Duration>,
    /// When the current watch, or the call that is meant to begin one, was started.
    watch_began: Duration,
    /// Whether the current watch has received a response.
    watch_was_answered: bool,
    /// Whether any call so far was answered with a list.
    was_ever_answered: bool,
    /// Whether any call so far was refused.
    was_ever_refused: bool,
}

impl ListLease {
    /// Creates the lease for the configured list, with which the agent starts at `now`.
    ///
    /// The age of that list is unknown: the previous process may have been refused for a long time,
    /// and this one must comply with the changes it missed from the start. So the lease is expired
    /// until a first call is answered, or fails in a way that shows that discovery is unreachable.
    /// This does harm if the list is in fact up to date.
    pub fn new(settings: &Settings, now: Duration) -> ListLease {
        ListLease {
            valid_until: settings.shared_discovery.then_some(now),
            watch_began: now,
            watch_was_answered: false,
            was_ever_answered: false,
            was_ever_refused: false,
        }
    }

    /// Applies reloaded settings. If lists were pushed before and are polled now, the lease ends in
    /// 6 s, when the agent must comply with the changes that it missed.
    pub fn reload(&mut self, settings: &Settings, now: Duration) {
        self.valid_until = if settings.shared_discovery {
            Some(self.valid_until.unwrap_or(now + CHANGE_GRACE))
        } else {
            None
        };
    }

    /// Returns when the lease ends; `None` where lists are pushed, since the lease never ends
    /// there.
    pub fn valid_until(&self) -> Option<Duration> {
        self.valid_until
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
        self.valid_until = self.valid_until.map(|_| renewed_until);
        self.watch_was_answered = true;
        self.was_ever_answered = true;
    }

    /// Records that the address of discovery changed, which ends the watch and may shorten the
    /// lease.
    pub fn on_address_change(&mut self, now: Duration) {
        self.valid_until = self.valid_until.map(|until| until.min(now + CHANGE_GRACE));
        self.watch_was_answered = false;
    }

    /// Updates the lease after the watch, or the call that was meant to begin it, failed.
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

    /// Returns the end of the lease after a call failed that was meant to begin a watch.
    fn valid_until_after_first_call(
        &self,
        until: Duration,
        now: Duration,
        end: WatchEnd,
    ) -> Duration {
        match end {
            WatchEnd::TimedOut | WatchEnd::Disconnected => {
                // Discovery was unreachable when the call was sent. But if the first answer after
                // the start was a refusal, discovery exists, and that it is unreachable now must
                // not extend the lease.
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

/// Returns the end of the lease after a watch failed that had received a response.
fn valid_until_after_watch(until: Duration, now: Duration, end: WatchEnd) -> Duration {
    match end {
        // It is not known when discovery stopped responding. The wait of the call limits how long
        // ago that may be, and the lease already accounts for it.
        WatchEnd::TimedOut => until,
        WatchEnd::Disconnected | WatchEnd::Refused | WatchEnd::Malformed => now + CHANGE_GRACE,
    }
}
