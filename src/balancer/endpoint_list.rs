//! Updates from the endpoint list, and the schedule of calls for it.

use super::{Balancer, MIN_CALL_GAP};
use crate::interface::{EndpointEntry, EndpointState};
use crate::model::EndpointType;
use std::time::Duration;

/// Divisor of the agent's call interval that gives the minimum delay of a call after a failure.
const RETRIES_PER_INTERVAL: u32 = 4;
/// Maximum delay between calls after failures, in multiples of the minimum gap, if the agent's call
/// interval is shorter.
const MAX_BACKOFF_GAPS: u32 = 8;
/// Growth factor of the delay between calls, as numerator and denominator.
const BACKOFF_GROWTH: (u32, u32) = (3, 2);
/// Minimum and spread of the random factor on the delay until the next call.
const BACKOFF_JITTER: (f64, f64) = (0.7, 0.6);

impl Balancer {
    /// Applies entries of the endpoint list. If the entries are `complete`, endpoints missing from
    /// them are gone.
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
        let mut is_listed = vec![false; self.fleet.len()];
        for entry in entries {
            if let Some(is_listed) = is_listed.get_mut(entry.endpoint) {
                *is_listed = true;
            }
        }
        for (index, _) in is_listed.iter().enumerate().filter(|(_, listed)| !*listed) {
            self.retire(index, EndpointState::Gone);
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
        let latency = self.initial_latency(entry.endpoint_type, entry.build);
        self.fleet.endpoint_mut(entry.endpoint).restart(
            entry,
            warming_since,
            first_attempts,
            latency,
        );
        self.outcomes.start(entry.endpoint, entry.build);
        let build = self.build_mut(entry.build);
        build.newest_start = build.newest_start.max(entry.started.unwrap_or_default());
    }

    /// Records that a call for the list failed or that a watch broke, and backs off exponentially,
    /// up to the agent's share of the call rate.
    ///
    /// Prevents all agents together from keeping a discovery service overloaded. May delay a list
    /// beyond the end of its lease.
    pub fn on_list_failure(&mut self, now: Duration) {
        let interval = self.parameters.list_call_interval();
        let backoff = self
            .list
            .backoff
            .max(MIN_CALL_GAP)
            .max(interval / RETRIES_PER_INTERVAL);
        let (min_factor, spread) = BACKOFF_JITTER;
        let jitter = min_factor + spread * self.random_fraction();
        self.list.next_call = Some(now + backoff.mul_f64(jitter));
        let (numerator, denominator) = BACKOFF_GROWTH;
        let longest = interval.max(MIN_CALL_GAP * MAX_BACKOFF_GAPS);
        self.list.backoff = (backoff * numerator / denominator).min(longest);
    }

    /// Whether the lease of the list is still valid. Nothing is sent once it has expired, which
    /// protects endpoints that have begun to drain since. Does harm by rejecting requests while
    /// discovery refuses the list.
    pub(super) fn is_list_valid(&self, now: Duration) -> bool {
        self.list.valid_until.is_none_or(|until| now < until)
    }
}
