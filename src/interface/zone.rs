//! Cross-zone traffic: the routing policy between zones, and counts of the endpoints of a zone.

use std::time::Duration;

/// The current policy for forwarding to other zones. The default leaves the choice to the balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct CrossZonePolicy {
    /// Policies by zone index, as in [`EndpointEntry::zone`](crate::EndpointEntry::zone). The entry
    /// of the agent's own zone is ignored.
    pub zones: Vec<ZonePolicy>,
    /// Factor on the quota of endpoints in slow start, 0 to 1. Below 1 while warm endpoints carry
    /// extra load that they took over recently.
    pub slow_start_factor: f64,
}

impl Default for CrossZonePolicy {
    fn default() -> CrossZonePolicy {
        CrossZonePolicy {
            zones: Vec::new(),
            slow_start_factor: 1.0,
        }
    }
}

/// Policy for one zone other than the agent's own.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZonePolicy {
    /// Weight of an endpoint of the zone relative to a local one, 0 to 1. `None` if the balancer
    /// chooses the weight.
    pub weight: Option<f64>,
    /// Latency that the round trip to the zone adds to each response.
    pub added_latency: Duration,
    /// Whether first attempts go to the zone only if no local endpoint can take the request, by
    /// class index. Missing entries mean no.
    pub last_resort: Vec<bool>,
    /// Same as `last_resort`, for retries and hedged requests.
    pub last_resort_for_retries: Vec<bool>,
}

impl ZonePolicy {
    /// Whether an attempt of this class goes to the zone only if no local endpoint can take it.
    pub fn is_last_resort(&self, class: usize, is_retry: bool) -> bool {
        let by_class = if is_retry {
            &self.last_resort_for_retries
        } else {
            &self.last_resort
        };
        by_class.get(class) == Some(&true)
    }
}

/// Counts of the endpoints of one zone, which explain why an attempt left the zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneCounts {
    /// Endpoints that accept requests.
    pub running: usize,
    /// Endpoints that are draining.
    pub draining: usize,
    /// Running endpoints that are neither ejected nor unresponsive.
    pub responsive: usize,
    /// Responsive endpoints that are past slow start.
    pub warm: usize,
    /// Attempts of this agent in flight to the zone.
    pub in_flight: usize,
}

/// Counts and capacity of the endpoints of one zone, for routing between zones.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneCapacity {
    /// Endpoints that accept requests.
    pub running: usize,
    /// Endpoints that are draining.
    pub draining: usize,
    /// Running endpoints that are neither ejected nor unresponsive.
    pub responsive: usize,
    /// Responsive endpoints that are past slow start.
    pub warm: usize,
    /// Capacity of the responsive endpoints, in warm endpoints of average speed. An estimate if the
    /// zone has many endpoints.
    pub capacity: f64,
    /// Attempts of this agent in flight to the zone.
    pub in_flight: usize,
}
