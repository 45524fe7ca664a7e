//! Cross-zone traffic as the balancer sees it.

use std::time::Duration;

/// What forwarding to other zones means at present. The default leaves it to the balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct CrossZonePolicy {
    /// By zone index, as in [`EndpointEntry::zone`](crate::EndpointEntry::zone); the own zone's
    /// entry is not read.
    pub zones: Vec<ZonePolicy>,
    /// Part of its share that an endpoint in slow start gets, 0 to 1: less while warm ones just
    /// took over much.
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
    /// Weight of an endpoint there against a local one, 0 to 1; `None` for the balancer's own
    /// weight.
    pub weight: Option<f64>,
    /// Latency that the way there and back adds to each answer.
    pub added_latency: Duration,
    /// By class, for first attempts: used only where no local endpoint can take the request.
    pub last_resort: Vec<bool>,
    /// The same for retries and hedged requests.
    pub last_resort_for_retries: Vec<bool>,
}

impl ZonePolicy {
    /// Whether an attempt of this class goes there only where no local endpoint can take it.
    pub fn is_last_resort(&self, class: usize, is_retry: bool) -> bool {
        let by_class = if is_retry {
            &self.last_resort_for_retries
        } else {
            &self.last_resort
        };
        by_class.get(class) == Some(&true)
    }
}

/// Counts of the endpoints of one zone, for the reason why an attempt left it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneCounts {
    /// Endpoints that run.
    pub running: usize,
    /// Endpoints that drain.
    pub draining: usize,
    /// Running endpoints that are neither ejected nor unresponsive.
    pub responsive: usize,
    /// Responsive endpoints that are past slow start.
    pub warm: usize,
    /// Attempts in flight from this agent.
    pub in_flight: usize,
}

/// Counts of the endpoints of one zone with what they can take, for the routing between zones.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneCapacity {
    /// Endpoints that run.
    pub running: usize,
    /// Endpoints that drain.
    pub draining: usize,
    /// Running endpoints that are neither ejected nor unresponsive.
    pub responsive: usize,
    /// Responsive endpoints that are past slow start.
    pub warm: usize,
    /// What the responsive ones can take, in warm endpoints of usual speed; an estimate in zones of
    /// many endpoints.
    pub capacity: f64,
    /// Attempts in flight from this agent.
    pub in_flight: usize,
}
