//! Budgets for cross-zone traffic, tested in simulated scenarios.

mod scenarios;

use scenarios::*;
use std::time::Duration;
use tulipwall_testkit::simulation::{CrossZoneSend, ScenarioEvent, SimulatedAgent};
use tulipwall_zones::*;

#[test]
fn a_stalled_agent_does_not_spend_a_window_at_once() {
    let mut scenario = two_zones(9, vec![budget(Limit::Attempts(200.0), seconds(2))]);
    // More than the local zone sustains, so that there is always demand for the budget.
    scenario.request_rate = 900.0;
    scenario.events = vec![(seconds(10), ScenarioEvent::StallAgent(0, seconds(2)))];
    let report = scenario.run();
    assert_rules_kept(&report);
    let max_sends = max_sends_in_window(&report, 0, seconds(2));
    assert!((100..=200).contains(&max_sends), "{max_sends}");
}

#[test]
fn a_lowered_budget_applies_at_once() {
    let mut scenario = two_zones(11, vec![budget(Limit::Attempts(3000.0), seconds(4))]);
    scenario.request_rate = 900.0;
    let lowered = zone_config(0, 2, vec![budget(Limit::Attempts(40.0), seconds(4))]);
    scenario.events = vec![(seconds(10), ScenarioEvent::SetZoning(0, lowered))];
    let report = scenario.run();
    assert_rules_kept(&report);
    let by_choice = |from: u64, to: u64| {
        let within = |send: &&CrossZoneSend| {
            send.at >= seconds(from) && send.at < seconds(to) && send.over_budget.is_none()
        };
        report.cross_zone_sends[0].iter().filter(within).count()
    };
    assert!(by_choice(6, 10) > 300, "{}", by_choice(6, 10));
    // Past spending still counts: nothing more crosses by choice until it has left the window, then
    // the lower limit applies.
    assert_eq!(by_choice(10, 13), 0);
    assert!(
        max_sends_in_window(&report, 0, seconds(4)) <= 3000 && by_choice(15, 19) <= 40,
        "{}",
        by_choice(15, 19)
    );
    let zones = report.zones[0].as_ref().unwrap();
    assert!(
        zones
            .account()
            .rows()
            .any(|(key, row)| key.to == 1 && row.counts.written > 300),
        "the account is kept"
    );
}

#[test]
fn ten_unequal_agents_together_stay_within_the_budget() {
    let mut scenario = two_zones(12, Vec::new());
    let budgets = || {
        vec![Budget {
            agent_fraction: 0.1,
            ..budget(Limit::Attempts(600.0), seconds(5))
        }]
    };
    // From 1/200 to 2/5 of the load, and one idle agent; in total more than the local zone
    // sustains.
    let load_shares = [40.0, 20.0, 12.0, 10.0, 8.0, 5.0, 3.0, 1.5, 0.5, 0.0];
    scenario.agents = load_shares
        .map(|load_share| SimulatedAgent {
            zone: 0,
            load_share,
            zoning: Some(zone_config(0, 2, budgets())),
        })
        .to_vec();
    scenario.request_rate = 900.0;
    let report = scenario.run();
    assert_rules_kept(&report);
    let mut all: Vec<Duration> = report
        .cross_zone_sends
        .iter()
        .flatten()
        .filter(|send| send.over_budget.is_none())
        .map(|send| send.at)
        .collect();
    all.sort();
    let max_sends = all
        .iter()
        .map(|t| {
            all.iter()
                .filter(|u| *u >= t && **u < *t + seconds(5))
                .count()
        })
        .max()
        .unwrap();
    assert!(max_sends <= 600, "{max_sends}");
    assert!((0..10).all(|a| max_sends_in_window(&report, a, seconds(5)) <= 60));
    let mut with_shares = two_zones(12, Vec::new());
    let share_budgets = || vec![budget(Limit::Share(0.1), seconds(5))];
    with_shares.agents = load_shares
        .map(|load_share| SimulatedAgent {
            zone: 0,
            load_share,
            zoning: Some(zone_config(0, 2, share_budgets())),
        })
        .to_vec();
    with_shares.request_rate = 900.0;
    let report = with_shares.run();
    assert_rules_kept(&report);
    let by_choice = report
        .cross_zone_sends
        .iter()
        .flatten()
        .filter(|send| send.over_budget.is_none())
        .count();
    assert!(
        by_choice as f64 <= 0.1 * report.requests as f64,
        "{by_choice} of {}",
        report.requests
    );
}

#[test]
fn a_scarce_budget_restricts_low_priority_classes_and_repeats_first() {
    let mut scenario = two_zones(13, vec![budget(Limit::Attempts(300.0), seconds(3))]);
    scenario.request_rate = 800.0;
    let report = scenario.run();
    assert_rules_kept(&report);
    let crossing_share = |class: usize, weight: f64| {
        let crossed = report.cross_zone_sends[0]
            .iter()
            .filter(|send| send.class == class && send.over_budget.is_none())
            .count();
        crossed as f64 / (report.requests as f64 * weight)
    };
    let view = crossing_share(VIEW, 0.45);
    let send = crossing_share(SEND, 0.45);
    let payment = crossing_share(PAYMENT, 0.1);
    assert!(payment > send && send > view, "{payment} {send} {view}");
    let zones = report.zones[0].as_ref().unwrap();
    let admits = |is_repeat| zones.budget_meters().admits(1, VIEW, is_repeat);
    assert!(
        !admits(true) || admits(false),
        "repeats are restricted before first attempts"
    );
}

#[test]
fn charges_bytes_and_money_as_counted_on_the_socket() {
    let mut scenario = two_zones(14, vec![budget(Limit::Bytes(40_000.0), seconds(4))]);
    scenario.request_rate = 900.0;
    let zone_config = scenario.agents[0].zoning.as_mut().unwrap();
    zone_config.links[1].price = Price {
        per_attempt: 0.01,
        per_gib_sent: 1.0,
        per_gib_received: 2.0,
    };
    let report = scenario.run();
    assert_rules_kept(&report);
    let account = report.zones[0].as_ref().unwrap().account();
    let remote = || {
        account
            .rows()
            .filter(|(key, _)| key.to == 1)
            .map(|(_, row)| row.counts)
    };
    let written: u64 = remote().map(|counts| counts.written).sum();
    let cost: f64 = remote().map(|counts| counts.cost).sum();
    let bytes_sent: u64 = remote().map(|counts| counts.bytes_sent).sum();
    let bytes_received: u64 = remote().map(|counts| counts.bytes_received).sum();
    let gib = (1u64 << 30) as f64;
    let expected =
        0.01 * written as f64 + bytes_sent as f64 / gib + 2.0 * bytes_received as f64 / gib;
    assert!(
        (cost - expected).abs() < 1e-9 * expected,
        "{cost} {expected}"
    );
    assert!(written > 100);
    // In no window does more than the budget cross by choice, in bytes.
    let by_choice = max_sends_in_window(&report, 0, seconds(4)) as f64;
    assert!(by_choice * 600.0 <= 40_000.0 + 600.0, "{by_choice}");
}

#[test]
fn an_exhausted_budget_loses_no_responses_when_only_remote_zones_are_in_time() {
    let mut scenario = two_zones(16, exhausted_budget());
    scenario.duration = seconds(30);
    // The local endpoints stay listed, warm and responsive, but become very slow.
    scenario.events = (0..4)
        .map(|n| (seconds(8), ScenarioEvent::SetWorkFactor(n, 30.0)))
        .collect();
    let report = scenario.clone().run();
    assert_rules_kept(&report);
    scenario.agents[0].zoning = Some(zone_config(0, 2, Vec::new()));
    let unlimited = scenario.run();
    let with = report.succeeded as f64 / report.requests as f64;
    let without = unlimited.succeeded as f64 / unlimited.requests as f64;
    assert!(
        with > without - 0.01,
        "{with} with an exhausted budget, {without} without a budget"
    );
    assert!(
        over_budget_count(&report, OverBudgetReason::LocalSaturated, 8..30)
            + over_budget_count(&report, OverBudgetReason::LocalUnavailable, 8..30)
            > 1000
    );
}
