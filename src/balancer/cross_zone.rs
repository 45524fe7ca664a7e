//! What an endpoint of another zone is worth.

use super::Balancer;
use crate::interface::{CrossZonePolicy, EndpointState, ZoneCapacity, ZonePolicy};
use std::time::Duration;

/// Ratio of local to remote latency beyond which remote endpoints gain weight.
const SLOW_LOCAL_ZONE: f64 = 1.2;
/// Factor by which remote endpoints gain weight, each evaluation interval.
const REMOTE_WEIGHT_GROWTH: f64 = 1.1;
/// Factor by which they lose it otherwise.
const REMOTE_WEIGHT_DECAY: f64 = 0.95;
/// Least weight of a remote endpoint, so that its latency stays known.
const MIN_REMOTE_WEIGHT: f64 = 0.03;
/// Gain of the mean latencies by zone, each answer.
const ZONE_LATENCY_GAIN: f64 = 0.03;

impl Balancer {
    /// Sets what forwarding to other zones means from now on. It weighs where requests go, after
    /// the rules and the evidence on a canary.
    pub fn set_cross_zone_policy(&mut self, policy: CrossZonePolicy) {
        self.cross_zone.policy = policy;
        if let Some(own) = self.cross_zone.policy.zones.get_mut(self.parameters.zone) {
            *own = ZonePolicy {
                weight: Some(1.0),
                ..ZonePolicy::default()
            };
        }
    }

    /// What each of so many zones holds now.
    pub fn zone_capacities(&self, now: Duration, zones: usize) -> Vec<ZoneCapacity> {
        let mut capacities = vec![ZoneCapacity::default(); zones];
        let stall_timeout = self.stall_timeout();
        for endpoint in self.fleet.iter() {
            let Some(capacity) = capacities.get_mut(endpoint.zone) else {
                continue;
            };
            match endpoint.state {
                EndpointState::Gone => continue,
                EndpointState::Draining => capacity.draining += 1,
                EndpointState::Running => capacity.running += 1,
            }
            capacity.in_flight += endpoint.in_flight;
            let responds = endpoint.state == EndpointState::Running
                && endpoint.ejection.until.is_none()
                && !endpoint.is_unresponsive(now, stall_timeout);
            if responds {
                capacity.responsive += 1;
                capacity.warm += usize::from(endpoint.is_warm());
                capacity.capacity += endpoint.weight * self.slow_start_share(now, endpoint);
            }
        }
        capacities
    }

    /// Weight of endpoints of a zone against local ones.
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

    /// Whether a zone is used only where no local endpoint can take an attempt of this class.
    pub(super) fn is_last_resort(&self, zone: usize, class: usize, is_retry: bool) -> bool {
        let policy = self.cross_zone.policy.zones.get(zone);
        policy.is_some_and(|p| p.is_last_resort(class, is_retry))
    }

    /// Takes in the latency of an answer, divided by the mean of its class.
    pub(super) fn observe_zone_latency(&mut self, zone: usize, ratio: f64) {
        let mean = if zone == self.parameters.zone {
            &mut self.cross_zone.local_latency_ratio
        } else {
            &mut self.cross_zone.remote_latency_ratio
        };
        *mean += (ratio - *mean) * ZONE_LATENCY_GAIN;
    }

    /// Moves the weight of remote endpoints. Where crossing zones is free they weigh as much as
    /// local ones; otherwise they gain only while the own zone is slow.
    pub(super) fn update_remote_weight(&mut self) {
        let zones = &mut self.cross_zone;
        let is_local_slow =
            zones.local_latency_ratio > zones.remote_latency_ratio * SLOW_LOCAL_ZONE;
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
