//! Weights and counts of endpoints by zone, for cross-zone traffic.

use super::peer_medians::sampled_members;
use super::Balancer;
use crate::interface::{CrossZonePolicy, EndpointState, ZoneCapacity, ZoneCounts, ZonePolicy};
use crate::model::Endpoint;
use std::time::Duration;

/// Ratio of local to remote latency beyond which remote endpoints gain weight.
const SLOW_LOCAL_ZONE_RATIO: f64 = 1.2;
/// Growth factor of the weight of remote endpoints per evaluation interval while the own zone is
/// slow.
const REMOTE_WEIGHT_GROWTH: f64 = 1.1;
/// Decay factor of that weight per evaluation interval otherwise.
const REMOTE_WEIGHT_DECAY: f64 = 0.95;
/// Minimum weight of a remote endpoint, so that its latency stays known.
const MIN_REMOTE_WEIGHT: f64 = 0.03;
/// Smoothing gain of the mean latencies of local and remote endpoints, per response.
const ZONE_LATENCY_GAIN: f64 = 0.03;

impl Balancer {
    /// Sets the policy for forwarding to other zones. It guides where requests go within what the
    /// rules and the evidence on a canary allow. The entry for the own zone is ignored.
    pub fn set_cross_zone_policy(&mut self, policy: CrossZonePolicy) {
        self.cross_zone.policy = policy;
        if let Some(own) = self.cross_zone.policy.zones.get_mut(self.parameters.zone) {
            *own = ZonePolicy {
                weight: Some(1.0),
                ..ZonePolicy::default()
            };
        }
    }

    /// Counts of the endpoints of a zone now. Scans only endpoints with attempts in flight.
    pub fn zone_counts(&self, now: Duration, zone: usize) -> ZoneCounts {
        let mut counts = self.in_service_counts(zone);
        for endpoint in self
            .endpoints_awaiting_response()
            .filter(|e| e.zone == zone)
        {
            self.count_awaiting_response(now, endpoint, &mut counts);
        }
        counts
    }

    /// Counts and capacity of each of the first `zones` zones now. Scans endpoints with attempts in
    /// flight and at most 512 others of each zone.
    pub fn zone_capacities(&self, now: Duration, zones: usize) -> Vec<ZoneCapacity> {
        let mut counts: Vec<ZoneCounts> = (0..zones).map(|z| self.in_service_counts(z)).collect();
        for endpoint in self.endpoints_awaiting_response() {
            if let Some(counts) = counts.get_mut(endpoint.zone) {
                self.count_awaiting_response(now, endpoint, counts);
            }
        }
        let with_capacity = |(zone, counts): (usize, ZoneCounts)| ZoneCapacity {
            running: counts.running,
            draining: counts.draining,
            responsive: counts.responsive,
            warm: counts.warm,
            capacity: self.zone_capacity(now, zone, counts.responsive),
            in_flight: counts.in_flight,
        };
        counts.into_iter().enumerate().map(with_capacity).collect()
    }

    /// Counts of a zone as if none of its endpoints had attempts in flight.
    fn in_service_counts(&self, zone: usize) -> ZoneCounts {
        let index = self.fleet.index();
        let members = index.zone_members();
        let warm = members.warm(zone).len();
        ZoneCounts {
            running: index.of_zone(zone).running,
            draining: members.draining(zone),
            responsive: warm + members.warming(zone).len(),
            warm,
            in_flight: 0,
        }
    }

    fn endpoints_awaiting_response(&self) -> impl Iterator<Item = &Endpoint> {
        let awaiting_response = self.fleet.index().sets().awaiting_response();
        self.fleet.count_scanned(awaiting_response.len());
        awaiting_response
            .iter()
            .map(|index| self.fleet.endpoint(*index))
    }

    /// Adds an endpoint with attempts in flight to the counts of its zone.
    fn count_awaiting_response(&self, now: Duration, endpoint: &Endpoint, counts: &mut ZoneCounts) {
        if endpoint.state == EndpointState::Gone {
            return;
        }
        counts.in_flight += endpoint.in_flight;
        let is_in_service = endpoint.is_running() && endpoint.ejection.until.is_none();
        if is_in_service && endpoint.is_unresponsive(now, self.stall_timeout()) {
            counts.responsive = counts.responsive.saturating_sub(1);
            counts.warm = counts.warm.saturating_sub(usize::from(endpoint.is_warm()));
        }
    }

    /// Capacity of the `responsive` endpoints of a zone: their sum or, in large zones, the mean of
    /// a sample times their number. All calls between two evaluations use the same sample.
    ///
    /// Avoids a scan of the fleet ten times per second. Does harm if the endpoints differ widely:
    /// the standard deviation of the estimate per endpoint is that of single endpoints divided by
    /// `sqrt(512)`. It is at most 4.1% of the capacity of as many warm endpoints, as the standard
    /// deviation of single ones is at most half the range of weights.
    fn zone_capacity(&self, now: Duration, zone: usize, responsive: usize) -> f64 {
        let members = self.fleet.index().zone_members();
        let lists = [members.warm(zone), members.warming(zone)];
        let stall_timeout = self.stall_timeout();
        let mut sum = 0.0;
        let mut sampled = 0;
        let mut scanned = 0;
        for index in sampled_members(&lists, self.peer_latencies.evaluations) {
            scanned += 1;
            let endpoint = self.fleet.endpoint(index);
            if endpoint.is_unresponsive(now, stall_timeout) {
                continue;
            }
            sampled += 1;
            sum += self.endpoint_weight(endpoint) * self.slow_start_share(now, endpoint);
        }
        self.fleet.count_scanned(scanned);
        sum * (responsive as f64 / f64::from(sampled.max(1)))
    }

    /// Weight of the endpoints of a zone relative to local ones.
    pub(super) fn zone_weight(&self, zone: usize) -> f64 {
        let policy = self.cross_zone.policy.zones.get(zone);
        if let Some(weight) = policy.and_then(|p| p.weight) {
            return weight;
        }
        if zone == self.parameters.zone {
            1.0
        } else {
            self.cross_zone.remote_weight
        }
    }

    /// Whether a zone is used only if no local endpoint can take an attempt of this class.
    pub(super) fn is_last_resort(&self, zone: usize, class: usize, is_retry: bool) -> bool {
        let policy = self.cross_zone.policy.zones.get(zone);
        policy.is_some_and(|p| p.is_last_resort(class, is_retry))
    }

    /// Records the latency of a response as a ratio to the mean latency of its class.
    pub(super) fn observe_zone_latency(&mut self, zone: usize, ratio: f64) {
        let mean = if zone == self.parameters.zone {
            &mut self.cross_zone.local_latency_ratio
        } else {
            &mut self.cross_zone.remote_latency_ratio
        };
        *mean += (ratio - *mean) * ZONE_LATENCY_GAIN;
    }

    /// Updates the weight of remote endpoints. If cross-zone traffic is free, they have the same
    /// weight as local ones; otherwise they gain weight only while the own zone is slow.
    pub(super) fn update_remote_weight(&mut self) {
        let zones = &mut self.cross_zone;
        let is_local_slow =
            zones.local_latency_ratio > zones.remote_latency_ratio * SLOW_LOCAL_ZONE_RATIO;
        let factor = if is_local_slow {
            REMOTE_WEIGHT_GROWTH
        } else {
            REMOTE_WEIGHT_DECAY
        };
        zones.remote_weight = if self.parameters.cross_zone_priced {
            (zones.remote_weight * factor).clamp(MIN_REMOTE_WEIGHT, 1.0)
        } else {
            1.0
        };
    }
}
