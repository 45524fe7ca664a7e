//! What the endpoint list says, and when it is called for again.

use super::{Balancer, MIN_CALL_GAP};
use crate::interface::{EndpointEntry, EndpointState};
use crate::model::EndpointType;
use std::collections::BTreeSet;
use std::time::Duration;

/// Part of the agent's interval between calls that a call after a failure waits for, at the least.
const RETRIES_PER_INTERVAL: u32 = 4;
/// Longest time between calls after failures, in least gaps, where the agent's interval is shorter.
const MAX_BACKOFF_GAPS: u32 = 8;
/// Factor by which the time between calls grows, as a fraction.
const BACKOFF_GROWTH: (u32, u32) = (3, 2);
/// Bounds of the random factor on the time to the next call: the least, and what chance adds.
const BACKOFF_JITTER: (f64, f64) = (0.7, 0.6);

impl Balancer {
    /// Takes in entries of the endpoint list. Where they are `complete`, endpoints that they lack
    /// are gone.
    pub fn update_endpoints(&mut self, now: Duration, entries: &[EndpointEntry], complete: bool) {
        self.list.backoff = MIN_CALL_GAP;
        if complete {
            self.retire_missing(entries);
        }
        for entry in entries {
            self.update_endpoint(now, entry);
        }
        self.rollout.oldest_build = self.fleet.index().builds().next().unwrap_or(0);
        self.set_exposure_caps();
    }

    fn retire_missing(&mut self, entries: &[EndpointEntry]) {
        let listed: BTreeSet<usize> = entries.iter().map(|e| e.endpoint).collect();
        for index in 0..self.fleet.len() {
            if !listed.contains(&index) {
                self.retire(index, EndpointState::Gone);
            }
        }
    }

    fn update_endpoint(&mut self, now: Duration, entry: &EndpointEntry) {
        self.extend_fleet_for(entry);
        let known = self.fleet.endpoint(entry.endpoint);
        let is_running = entry.state == EndpointState::Running;
        let is_same = known.state == entry.state
            && known.build == entry.build
            && known.started == entry.started
            && known.zone == entry.zone;
        if !is_running || !is_same {
            self.retire(entry.endpoint, entry.state);
        }
        if is_running && !is_same {
            self.restart_endpoint(now, entry);
        }
    }

    fn extend_fleet_for(&mut self, entry: &EndpointEntry) {
        self.fleet.extend_to(entry.endpoint + 1);
        let types = self.fleet.types.len().max(entry.endpoint_type + 1);
        self.fleet.types.resize(types, EndpointType::default());
    }

    fn restart_endpoint(&mut self, now: Duration, entry: &EndpointEntry) {
        let warm_after = self.parameters.slow_start.duration;
        let warming_since = entry.started.filter(|s| *s + warm_after > now);
        let first_attempts = self.random_fraction();
        let classes = self.classes.len();
        self.fleet.endpoint_mut(entry.endpoint).restart(
            entry,
            classes,
            warming_since,
            first_attempts,
        );
        let build = self.build_mut(entry.build);
        build.newest_start = build.newest_start.max(entry.started.unwrap_or_default());
    }

    /// Takes in that a call for the list failed or a watch broke: the next call comes later and
    /// later, up to the agent's share of the calls.
    ///
    /// Guards against a discovery service that all agents keep overloaded. May delay a list beyond
    /// the end of its lease.
    pub fn on_list_failure(&mut self, now: Duration) {
        let interval = self.parameters.list_call_interval();
        let backoff = self
            .list
            .backoff
            .max(MIN_CALL_GAP)
            .max(interval / RETRIES_PER_INTERVAL);
        let (least, spread) = BACKOFF_JITTER;
        let jitter = least + spread * self.random_fraction();
        self.list.next_call = Some(now + backoff.mul_f64(jitter));
        let (numerator, denominator) = BACKOFF_GROWTH;
        let longest = interval.max(MIN_CALL_GAP * MAX_BACKOFF_GAPS);
        self.list.backoff = (backoff * numerator / denominator).min(longest);
    }

    /// Whether the lease of the list holds. Nothing is sent once it does not: guards endpoints that
    /// have begun to drain since. Rejects requests while the list is refused.
    pub(super) fn is_list_valid(&self, now: Duration) -> bool {
        self.list.valid_until.is_none_or(|until| now < until)
    }
}
