//! Fleets, traffic and answers that tests share.

use super::{Answer, FleetDriver, Traffic};
use crate::harness::{canary_status, endpoint_entry, ms};
use tulipwall::*;

/// All endpoints to plan for.
pub const FLEET_SIZE: usize = 7700;
/// Zones of the whole fleet: 1,100 endpoints each.
pub const ZONES: usize = 7;
/// Requests a second of one agent at the peak.
pub const PEAK_RATE: f64 = 143.0;
/// The traffic of one agent at the peak.
pub const PEAK: [Traffic; 1] = [Traffic {
    class: 0,
    rate: PEAK_RATE,
}];

/// Traffic of the first class.
pub fn traffic(rate: f64) -> [Traffic; 1] {
    [Traffic { class: 0, rate }]
}

/// An endpoint that has run for long, in one of the zones by its index.
pub fn fleet_entry(endpoint: usize, build: u32) -> EndpointEntry {
    EndpointEntry {
        zone: endpoint % ZONES,
        ..endpoint_entry(endpoint, build, None)
    }
}

/// So many endpoints that have run for long.
pub fn fleet_entries(endpoints: usize, build: u32) -> Vec<EndpointEntry> {
    (0..endpoints).map(|i| fleet_entry(i, build)).collect()
}

/// The same entries in this state.
pub fn in_state(entries: Vec<EndpointEntry>, state: EndpointState) -> Vec<EndpointEntry> {
    let with_state = |entry| EndpointEntry { state, ..entry };
    entries.into_iter().map(with_state).collect()
}

/// Endpoints that all answer well.
pub fn succeed(_: &EndpointEntry, _: usize) -> Answer {
    Answer::success()
}

/// The status of a released build.
pub fn released_status(build: u32) -> RolloutStatus {
    RolloutStatus {
        phase: RolloutPhase::Released,
        ..canary_status(build, 0, 1.0)
    }
}

/// A fleet of build 7 that has served for five seconds, of which no work is counted.
pub fn serving_fleet(settings: Settings, endpoints: usize, traffic: &[Traffic]) -> FleetDriver {
    let mut driver = FleetDriver::new(settings);
    driver.update_endpoints(&fleet_entries(endpoints, 7));
    driver.balancer.update_rollout(released_status(7));
    driver.run(ms(5000), traffic, &succeed);
    driver.take_work();
    driver
}
