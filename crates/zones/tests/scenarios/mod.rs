//! Scenarios in simulated time, with the real balancer, the real accounting of cross-zone traffic
//! and modelled endpoints. The simulation checks its rules after each step.

#![allow(dead_code)] // each test file uses only some of the items

use std::ops::Range;
use std::time::Duration;
use tulipwall::*;
use tulipwall_testkit::simulation::{
    self, CrossZoneSend, ScenarioEvent, SimulatedAgent, SimulatedEndpoint, Simulation,
    SimulationReport,
};
use tulipwall_zones::*;

pub fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// Class indices of [`simulation::classes`].
pub const VIEW: usize = 0;
pub const SEND: usize = 1;
pub const PAYMENT: usize = 2;

/// A configuration that routes to the local zone first and has no prices.
pub fn zone_config(local_zone: usize, zones: usize, budgets: Vec<Budget>) -> ZoneConfig {
    simulation::default_zoning(&simulation::classes(), local_zone, zones, budgets)
}

pub fn budget(limit: Limit, window: Duration) -> Budget {
    Budget {
        name: "all".into(),
        to: None,
        class: None,
        limit,
        window,
        agent_fraction: 1.0,
    }
}

/// A budget that is always exhausted.
pub fn exhausted_budget() -> Vec<Budget> {
    vec![budget(Limit::Attempts(0.0), seconds(60))]
}

/// One agent in zone 0 of two zones with four endpoints each, at half the load that its zone
/// sustains.
pub fn two_zones(seed: u64, budgets: Vec<Budget>) -> Simulation {
    let agent = SimulatedAgent {
        zone: 0,
        load_share: 1.0,
        zoning: Some(zone_config(0, 2, budgets)),
    };
    let endpoints = (0..8)
        .map(|i| SimulatedEndpoint::new(i / 4, 41, 4))
        .collect();
    Simulation::small(vec![agent], endpoints, 380.0, seconds(20), seed)
}

/// Asserts that no rule was violated and that each request received a response.
pub fn assert_rules_kept(report: &SimulationReport) {
    assert!(
        report.violations.is_empty(),
        "{:?}",
        &report.violations[..report.violations.len().min(5)]
    );
    assert_eq!(report.unanswered, 0);
}

/// The number of attempts that crossed over budget for this reason, in this range of seconds.
pub fn over_budget_count(
    report: &SimulationReport,
    reason: OverBudgetReason,
    within: Range<u64>,
) -> usize {
    let period = seconds(within.start)..seconds(within.end);
    let counts =
        |send: &&CrossZoneSend| period.contains(&send.at) && send.over_budget == Some(reason);
    report
        .cross_zone_sends
        .iter()
        .flatten()
        .filter(counts)
        .count()
}

/// Events that set the state of these endpoints at a time in milliseconds.
pub fn state_changes(
    at: u64,
    endpoints: Range<usize>,
    state: EndpointState,
) -> Vec<(Duration, ScenarioEvent)> {
    endpoints
        .map(|n| (millis(at), ScenarioEvent::SetState(n, state)))
        .collect()
}

/// The maximum number of attempts that crossed by choice in any window of this length.
pub fn max_sends_in_window(report: &SimulationReport, agent: usize, window: Duration) -> usize {
    let times: Vec<Duration> = report.cross_zone_sends[agent]
        .iter()
        .filter(|send| send.over_budget.is_none())
        .map(|send| send.at)
        .collect();
    let mut from = 0;
    let mut max_sends = 0;
    for to in 0..times.len() {
        while times[from] + window <= times[to] {
            from += 1;
        }
        max_sends = max_sends.max(to - from + 1);
    }
    max_sends
}
