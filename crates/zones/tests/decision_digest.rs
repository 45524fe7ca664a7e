//! Pins the decisions of two seeded scenarios with cross-zone routing, budgets, client retries and
//! a staged rollout by their digests and counts.
//!
//! The digest is computed from plain numbers (agent, request, kind of decision, endpoint or time),
//! so that it does not change when types are renamed.

use std::time::Duration;
use tulipwall::*;
use tulipwall_client_policy::RetryPolicy;
use tulipwall_testkit::simulation::{
    self, ClientBehavior, RolloutPlan, ScenarioEvent, SimulatedAgent, SimulatedEndpoint,
    Simulation, SimulationReport,
};
use tulipwall_zones::*;

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn zoning(local_zone: usize, limit: f64) -> ZoneConfig {
    let limit = Limit::Attempts(limit);
    let budget = Budget {
        name: "all".into(),
        to: None,
        class: None,
        limit,
        window: seconds(20),
        agent_fraction: 0.5,
    };
    simulation::default_zoning(&simulation::classes(), local_zone, 2, vec![budget])
}

fn two_zones(seed: u64, limit: f64, rate: f64, duration: Duration) -> Simulation {
    let agent = |zone| SimulatedAgent {
        zone,
        load_share: 0.5,
        zoning: Some(zoning(zone, limit)),
    };
    let nodes = (0..12)
        .map(|i| SimulatedEndpoint::new(i / 6, 41, 4))
        .collect();
    Simulation::small(vec![agent(0), agent(1)], nodes, rate, duration, seed)
}

fn pinned_numbers(simulation_report: &SimulationReport) -> [u64; 8] {
    let crossed: usize = simulation_report
        .cross_zone_sends
        .iter()
        .map(Vec::len)
        .sum();
    [
        simulation_report.digest,
        simulation_report.requests,
        simulation_report.succeeded,
        simulation_report.within_objective,
        simulation_report.rejected,
        simulation_report.failed,
        simulation_report.unanswered,
        crossed as u64,
    ]
}

#[test]
fn decisions_stay_pinned_while_a_zone_is_cut_off_and_drains() {
    let mut scenario = two_zones(11, 400.0, 600.0, seconds(30));
    scenario.client_behavior = ClientBehavior::PolicyRetries(RetryPolicy::default());
    scenario.events = vec![
        (seconds(3), ScenarioEvent::SetWorkFactor(1, 4.0)),
        (seconds(5), ScenarioEvent::SetLinkDelay(0, 1, seconds(2))),
        (
            seconds(8),
            ScenarioEvent::SetLinkDelay(0, 1, Duration::from_millis(2)),
        ),
        (
            seconds(9),
            ScenarioEvent::SetState(2, EndpointState::Draining),
        ),
        (seconds(11), ScenarioEvent::SetState(2, EndpointState::Gone)),
        (seconds(12), ScenarioEvent::Restart(2)),
        (seconds(14), ScenarioEvent::SetRequestRate(1500.0)),
        (seconds(18), ScenarioEvent::SetRequestRate(500.0)),
        (seconds(20), ScenarioEvent::SetZoning(0, zoning(0, 50.0))),
        (seconds(22), ScenarioEvent::MoveToZone(3, 1)),
        (
            seconds(24),
            ScenarioEvent::StallAgent(1, Duration::from_millis(700)),
        ),
    ];
    scenario
        .events
        .extend((6..9).map(|n| (seconds(16), ScenarioEvent::SetUnresponsive(n, true))));
    scenario
        .events
        .extend((6..9).map(|n| (seconds(19), ScenarioEvent::SetUnresponsive(n, false))));
    assert_eq!(
        pinned_numbers(&scenario.run()),
        [14736919548978038216, 20357, 20321, 20315, 0, 36, 0, 1143]
    );
}

#[test]
fn decisions_stay_pinned_while_a_canary_fails() {
    let mut scenario = two_zones(12, 2000.0, 700.0, seconds(30));
    let nodes: Vec<usize> = (12..18).collect();
    for (i, number) in nodes.iter().enumerate() {
        let mut node = SimulatedEndpoint::new(i % 2, 42, 4);
        node.state = EndpointState::Gone;
        scenario.endpoints.push(node);
        scenario
            .events
            .push((seconds(16), ScenarioEvent::SetFailureRate(*number, 0.3)));
    }
    scenario.rollout_plan = Some(RolloutPlan {
        build: 42,
        starts_at: seconds(4),
        caps: vec![0.08, 0.25, 0.6, 1.0],
        stage_duration: seconds(5),
        endpoints: nodes,
        votes_to_roll_back: 1,
    });
    scenario.client_behavior = ClientBehavior::FixedRetries {
        pause: Duration::from_millis(100),
        max_attempts: 3,
    };
    let report = scenario.run();
    assert!(
        report.rollout.first_hold.is_some() || report.rollout.rolled_back.is_some(),
        "{:?}",
        report.rollout
    );
    assert_eq!(
        pinned_numbers(&report),
        [10740102917459229812, 21129, 21122, 21122, 1, 6, 0, 1170]
    );
}
