//! The lease of the endpoint list, as the discovery watch last published it.

use event_listener::Event;
use std::cell::Cell;
use std::time::Duration;
use tulipwall_discovery::list_lease::{LeaseEnd, LeaseEndReason};

/// The end of the list's lease. The discovery watch writes it; the start, the log of expirations and
/// the counters read it. The balancer gets the same time through
/// [`Agent::publish_list_lease`](crate::agent::Agent::publish_list_lease).
pub struct PublishedLease {
    end: Cell<Option<LeaseEnd>>,
    changed: Event,
}

impl PublishedLease {
    /// Creates the lease of a process that started at `now`: expired, as no list was received yet.
    pub fn new(now: Duration) -> PublishedLease {
        PublishedLease {
            end: Cell::new(Some(LeaseEnd {
                at: now,
                reason: LeaseEndReason::NoListSinceStart,
            })),
            changed: Event::new(),
        }
    }

    /// Replaces the end of the lease; `None` if it has no end.
    pub fn set(&self, end: Option<LeaseEnd>) {
        if self.end.replace(end) != end {
            self.changed.notify(usize::MAX);
        }
    }

    /// Returns when and why the lease ends; `None` if it has no end.
    pub fn end(&self) -> Option<LeaseEnd> {
        self.end.get()
    }

    /// Returns the end of the lease if that has passed; `None` while the lease is valid.
    pub fn expired(&self, now: Duration) -> Option<LeaseEnd> {
        self.end.get().filter(|end| end.at <= now)
    }

    /// Describes whether requests may be sent by the list, for the lines of counters.
    pub fn summary(&self, now: Duration) -> String {
        match self.expired(now) {
            Some(end) => {
                let expired = now.saturating_sub(end.at);
                format!("list: expired for {expired:.1?}: {}", end.reason)
            }
            None => "list: valid".to_owned(),
        }
    }

    /// Waits until the end of the lease is replaced by another.
    pub async fn changed(&self) {
        self.changed.listen().await;
    }
}
