//! Endpoints, traffic and answers of large fleets that several tests use.

use super::{Answer, FleetDriver, Traffic};
use crate::harness::{canary_status, endpoint_entry, ms};
use tulipwall::*;

/// Endpoints of the largest fleet that is planned for.
pub const FLEET_SIZE: usize = 7700;
/// Zones of the fleet, with 1,100 endpoints each.
pub const ZONES: usize = 7;
/// Peak traffic of one agent in requests per second.
pub const PEAK_RATE: f64 = 143.0;
/// Peak traffic of one agent, all of it of the first class.
pub const PEAK: [Traffic; 1] = [Traffic {
    class: 0,
    rate: PEAK_RATE,
}];

/// Traffic of the first class, with `rate` in requests per second.
pub fn traffic(rate: f64) -> [Traffic; 1] {
    [Traffic { class: 0, rate }]
}

/// A running endpoint past its slow start. Its index decides in which zone it is.
pub fn fleet_entry(endpoint: usize, build: u32) -> EndpointEntry {
    EndpointEntry {
        zone: endpoint % ZONES,
        ..endpoint_entry(endpoint, build, None)
    }
}

/// This many running endpoints past their slow start.
pub fn fleet_entries(endpoints: usize, build: u32) -> Vec<EndpointEntry> {
    (0..endpoints).map(|i| fleet_entry(i, build)).collect()
}

/// Returns the entries with their state replaced.
pub fn in_state(entries: Vec<EndpointEntry>, state: EndpointState) -> Vec<EndpointEntry> {
    let with_state = |entry| EndpointEntry { state, ..entry };
    entries.into_iter().map(with_state).collect()
}

/// A responder by which every endpoint succeeds after 20 ms.
pub fn succeed(_: &EndpointEntry, _: usize) -> Answer {
    Answer::success()
}

/// The rollout status of a released build.
pub fn released_status(build: u32) -> RolloutStatus {
    RolloutStatus {
        phase: RolloutPhase::Released,
        ..canary_status(build, 0, 1.0)
    }
}

/// A fleet of the released build 7 that has already served this traffic for five seconds. The work
/// of these seconds is not counted.
pub fn serving_fleet(settings: Settings, endpoints: usize, traffic: &[Traffic]) -> FleetDriver {
    let mut driver = FleetDriver::new(settings);
    driver.update_endpoints(&fleet_entries(endpoints, 7));
    driver.balancer.update_rollout(released_status(7));
    driver.run(ms(5000), traffic, &succeed);
    driver.take_work();
    driver
}
