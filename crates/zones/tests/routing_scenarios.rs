//! Routing between zones, tested in simulated scenarios: overflow, failover and recovery.

mod scenarios;

use scenarios::*;
use tulipwall::*;
use tulipwall_testkit::simulation::{ScenarioEvent, SimulatedEndpoint, SimulationReport};
use tulipwall_zones::*;

#[test]
fn stays_local_while_there_is_capacity_and_overflows_gradually() {
    let mut scenario = two_zones(1, Vec::new());
    scenario.duration = seconds(40);
    // Twice the rate that the local zone sustains for ten seconds, then the initial rate again.
    scenario.events = vec![
        (seconds(10), ScenarioEvent::SetRequestRate(1000.0)),
        (seconds(20), ScenarioEvent::SetRequestRate(380.0)),
    ];
    let report = scenario.run();
    assert_rules_kept(&report);
    assert!(
        report.cross_zone_share_between(3, 10) < 0.03,
        "{}",
        report.cross_zone_share_between(3, 10)
    );
    assert!(
        report.cross_zone_share_between(12, 20) > 0.2,
        "{}",
        report.cross_zone_share_between(12, 20)
    );
    assert!(
        report.cross_zone_share_between(34, 40) < 0.06,
        "{}",
        report.cross_zone_share_between(34, 40)
    );
    assert!(
        report.within_objective as f64 > 0.97 * report.requests as f64,
        "{} of {}",
        report.within_objective,
        report.requests
    );
}

#[test]
fn crosses_when_all_local_endpoints_drain_with_the_budget_exhausted() {
    let mut scenario = two_zones(2, exhausted_budget());
    scenario.events = vec![(seconds(8), ScenarioEvent::SetRequestRate(600.0))];
    scenario
        .events
        .extend(state_changes(10_000, 0..4, EndpointState::Draining));
    let report = scenario.run();
    assert_rules_kept(&report);
    // Nothing crosses while the local zone has capacity. Once its endpoints drain, everything
    // crosses, and the reason is recorded.
    assert_eq!(
        report.cross_zone_sends[0]
            .iter()
            .filter(|send| send.at < seconds(8))
            .count(),
        0
    );
    let drained = over_budget_count(&report, OverBudgetReason::LocalDraining, 10..20);
    assert!(drained > 5000, "{drained}");
    let payments = report.cross_zone_sends[0]
        .iter()
        .filter(|send| send.class == PAYMENT)
        .count();
    assert!(
        payments > 300,
        "non-idempotent requests among them: {payments}"
    );
    assert!(
        report.succeeded as f64 > 0.99 * report.requests as f64,
        "{} of {}",
        report.succeeded,
        report.requests
    );
}

#[test]
fn returns_gradually_to_local_endpoints_that_warm_up() {
    let mut scenario = two_zones(3, exhausted_budget());
    scenario.duration = seconds(30);
    scenario.events = state_changes(8000, 0..4, EndpointState::Gone);
    scenario
        .events
        .extend((0..4).map(|n| (seconds(14), ScenarioEvent::Restart(n))));
    let report = scenario.run();
    // The rules include slow start, which prevents the load from returning all at once.
    assert_rules_kept(&report);
    assert!(over_budget_count(&report, OverBudgetReason::NoLocalEndpoint, 8..14) > 1500);
    assert!(
        over_budget_count(&report, OverBudgetReason::LocalWarmingUp, 14..19) > 100,
        "{}",
        over_budget_count(&report, OverBudgetReason::LocalWarmingUp, 14..19)
    );
    assert!(
        report.cross_zone_share_between(24, 30) < 0.02,
        "{}",
        report.cross_zone_share_between(24, 30)
    );
    assert!(report.succeeded as f64 > 0.99 * report.requests as f64);
}

#[test]
fn failover_does_not_overload_remote_endpoints_that_warm_up() {
    let mut scenario = two_zones(4, Vec::new());
    scenario.request_rate = 550.0;
    scenario.events = (4..6)
        .map(|n| (millis(7500), ScenarioEvent::Restart(n)))
        .collect();
    scenario
        .events
        .extend(state_changes(8000, 0..4, EndpointState::Gone));
    let warming_up =
        |report: &SimulationReport| report.sends_by_endpoint[4] + report.sends_by_endpoint[5];
    let report = scenario.clone().run();
    assert_rules_kept(&report);
    // Without the slow start factor, the endpoints that warm up receive more.
    scenario.agents[0].zoning = None;
    let without_zoning = scenario.run();
    assert!(
        warming_up(&report) < warming_up(&without_zoning),
        "{} against {}",
        warming_up(&report),
        warming_up(&without_zoning)
    );
}

#[test]
fn an_endpoint_that_moves_to_another_zone_counts_as_remote() {
    let mut scenario = two_zones(6, exhausted_budget());
    // All local endpoints move to the other zone, with the same build and without a gap.
    scenario.events = (0..4)
        .map(|n| (seconds(10), ScenarioEvent::MoveToZone(n, 1)))
        .collect();
    let report = scenario.run();
    assert_rules_kept(&report);
    assert!(
        report.counts_by_second[0][12].local_sends == 0
            && report.counts_by_second[0][12].remote_sends > 300
    );
    assert!(over_budget_count(&report, OverBudgetReason::NoLocalEndpoint, 11..20) > 3000);
}

#[test]
fn endpoints_of_an_unnamed_zone_form_a_link_of_their_own() {
    let mut scenario = two_zones(7, exhausted_budget());
    scenario.endpoints.iter_mut().for_each(|n| n.zone = 2); // the index of unnamed zones
    let report = scenario.run();
    assert_rules_kept(&report);
    let zones = report.zones[0].as_ref().unwrap();
    let rows: Vec<_> = zones.account().rows().collect();
    assert!(
        rows.iter().all(|(key, _)| key.to == 2),
        "neither local nor of another named zone"
    );
    assert!(report.succeeded as f64 > 0.99 * report.requests as f64);
    let names = DisplayNames {
        zones: vec!["a".into(), "b".into()],
        ..DisplayNames::default()
    };
    assert_eq!(names.zone(2), "(unnamed)");
}

#[test]
fn an_agent_without_local_endpoints_is_served_by_other_zones() {
    let mut scenario = two_zones(8, exhausted_budget());
    scenario.endpoints.iter_mut().for_each(|n| n.zone = 1);
    let report = scenario.run();
    assert_rules_kept(&report);
    assert!(
        over_budget_count(&report, OverBudgetReason::NoLocalEndpoint, 0..20) as f64
            > 0.95 * report.requests as f64
    );
    assert!(report.succeeded as f64 > 0.99 * report.requests as f64);
}

#[test]
fn a_flapping_local_zone_does_not_swing_requests_between_zones() {
    let mut scenario = two_zones(10, Vec::new());
    scenario.duration = seconds(75);
    // Ten times slower in every other second, for 30 s.
    for n in 0..30 {
        let work_factor = if n % 2 == 0 { 10.0 } else { 1.0 };
        scenario
            .events
            .extend((0..4).map(|i| (seconds(8 + n), ScenarioEvent::SetWorkFactor(i, work_factor))));
    }
    let report = scenario.clone().run();
    assert_rules_kept(&report);
    scenario.agents[0].zoning = None;
    let without_zoning = scenario.run();
    assert!(
        report.direction_changes_per_minute() <= 6.0,
        "{} direction changes per minute",
        report.direction_changes_per_minute()
    );
    assert!(
        report.within_objective >= without_zoning.within_objective,
        "{} in time with zones, {} without",
        report.within_objective,
        without_zoning.within_objective
    );
    // Requests return to the local zone once it is stable: after the longest cooldown and some
    // seconds in which the crossing share falls.
    assert!(
        report.cross_zone_share_between(65, 75) < 0.1,
        "{}",
        report.cross_zone_share_between(65, 75)
    );
}

#[test]
fn the_faster_of_two_remote_zones_receives_more() {
    let mut scenario = two_zones(15, Vec::new());
    scenario.agents[0].zoning = Some(zone_config(0, 3, Vec::new()));
    scenario.endpoints = (0..9)
        .map(|i| SimulatedEndpoint::new([0, 0, 1, 1, 1, 1, 1, 2, 2][i], 41, 4))
        .collect();
    // Fast on the way to the zone, slow on the way back: only the round trip counts.
    scenario.link_delays[1][0] = millis(60);
    scenario.request_rate = 600.0;
    scenario.duration = seconds(30);
    let report = scenario.run();
    assert_rules_kept(&report);
    let zones = report.zones[0].as_ref().unwrap();
    let sent = |to: u16| {
        zones
            .account()
            .rows()
            .filter(|(key, _)| key.to == to)
            .map(|(_, row)| row.counts.written)
            .sum::<u64>()
    };
    assert!(
        sent(2) > sent(1),
        "{} to the fast small zone, {} to the slow large one",
        sent(2),
        sent(1)
    );
    assert!(
        report.within_objective as f64 > 0.95 * report.requests as f64,
        "{} of {}",
        report.within_objective,
        report.requests
    );
}
