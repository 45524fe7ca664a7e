//! Canaries that run only in a remote zone, tested in simulated scenarios.

mod scenarios;

use scenarios::*;
use std::time::Duration;
use tulipwall::*;
use tulipwall_testkit::simulation::{ScenarioEvent, SimulatedEndpoint, SimulationReport};
use tulipwall_zones::*;

fn run_remote_canary(failure_rate: f64) -> SimulationReport {
    let mut scenario = two_zones(5, exhausted_budget());
    scenario.duration = seconds(40);
    let mut remote = SimulatedEndpoint::new(1, 42, 4);
    remote.failure_rate = failure_rate;
    remote.state = EndpointState::Gone;
    scenario.endpoints.extend([remote.clone(), remote]);
    // A slow link with a configured latency: responses over it take far longer than local ones.
    scenario.link_delays[0][1] = millis(25);
    scenario.link_delays[1][0] = millis(25);
    scenario.events = vec![
        (seconds(9), ScenarioEvent::Restart(8)),
        (seconds(9), ScenarioEvent::Restart(9)),
    ];
    let stage = |stage: usize, cap| RolloutStatus {
        build: 42,
        stage,
        phase: RolloutPhase::Canary,
        cap,
        since: Duration::ZERO,
    };
    scenario
        .events
        .push((seconds(9), ScenarioEvent::RolloutStatus(stage(0, 0.08))));
    scenario
        .events
        .push((seconds(20), ScenarioEvent::RolloutStatus(stage(1, 0.25))));
    scenario.run()
}

#[test]
fn evaluates_a_good_remote_canary_beyond_the_budget_without_a_hold() {
    let report = run_remote_canary(0.0);
    assert_rules_kept(&report); // the rules include the limit of the exposure
    let canary_sends = over_budget_count(&report, OverBudgetReason::Canary, 9..40);
    assert!(canary_sends > 500, "{canary_sends}");
    let holds = report
        .votes
        .iter()
        .filter(|v| v.1.verdict != Verdict::Withdraw)
        .count();
    assert_eq!(holds, 0, "{:?}", report.votes);
}

#[test]
fn holds_a_bad_remote_canary_although_the_budget_is_exhausted() {
    let report = run_remote_canary(0.4);
    assert_rules_kept(&report);
    assert!(report.votes.iter().any(|v| v.1.verdict == Verdict::Hold));
}
