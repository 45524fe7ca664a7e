//! Logs since when discovery has been unavailable and how it fails.

use super::call::CallError;
use std::time::Duration;
use tulipwall_discovery::watch_timer::WatchEnd;

/// The log of one agent's outages of discovery.
#[derive(Default)]
pub struct OutageLog {
    /// Since when discovery has been unavailable; `None` while it responds.
    unavailable_since: Option<Duration>,
    /// The kinds of failure since then. Each kind is logged once, as a broken connection could
    /// otherwise hide a list that cannot be parsed.
    logged_ends: Vec<WatchEnd>,
}

impl OutageLog {
    /// Logs a failed call, unless a failure of its kind was logged in this outage.
    pub fn on_failure(&mut self, now: Duration, error: &CallError) {
        let end = error.watch_end();
        if self.unavailable_since.is_none() {
            log::warn!("discovery: {error}; calling again");
            self.unavailable_since = Some(now);
            self.logged_ends = vec![end];
        } else if !self.logged_ends.contains(&end) {
            log::warn!("discovery: then {error}");
            self.logged_ends.push(end);
        }
    }

    /// Logs the end of the outage, if there is one.
    pub fn on_response(&mut self, now: Duration) {
        if let Some(since) = self.unavailable_since.take() {
            let unavailable = now.saturating_sub(since);
            log::info!(unavailable_ms = unavailable.as_millis() as u64;
                "discovery: responding again after {unavailable:.1?}");
        }
    }
}
