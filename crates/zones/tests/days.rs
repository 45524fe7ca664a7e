//! Hard cases of traffic across zones, on days in simulated time: the real decisions, the real
//! zones, modelled endpoints. The five rules are checked after each step of each day.

use std::time::Duration;
use tulipwall::*;
use tulipwall_testkit::simulation::{
    self, ScenarioEvent, SimulatedAgent, SimulatedEndpoint, Simulation, SimulationReport,
};
use tulipwall_zones::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn s(n: u64) -> Duration {
    Duration::from_secs(n)
}

const VIEW: usize = 0;
const SEND: usize = 1;
const PAYMENT: usize = 2;

fn zoning(own: usize, zones: usize, budgets: Vec<Budget>) -> ZoneConfig {
    simulation::default_zoning(&simulation::classes(), own, zones, budgets)
}

fn budget(limit: Limit, window: Duration) -> Budget {
    Budget {
        name: "all".into(),
        to: None,
        class: None,
        limit,
        window,
        agent_fraction: 1.0,
    }
}

/// A budget that is always spent.
fn nothing() -> Vec<Budget> {
    vec![budget(Limit::Attempts(0.0), s(60))]
}

/// One agent in zone 0 of two, with four endpoints in each, at half of what near can bear.
fn world(seed: u64, budgets: Vec<Budget>) -> Simulation {
    let agent = SimulatedAgent {
        zone: 0,
        load_share: 1.0,
        zoning: Some(zoning(0, 2, budgets)),
    };
    Simulation::small(
        vec![agent],
        (0..8)
            .map(|i| SimulatedEndpoint::new(i / 4, 41, 4))
            .collect(),
        380.0,
        s(20),
        seed,
    )
}

fn kept(p: &SimulationReport) {
    assert!(
        p.violations.is_empty(),
        "{:?}",
        &p.violations[..p.violations.len().min(5)]
    );
    assert_eq!(p.unanswered, 0);
}

/// Over-budget crossings by reason, between two times.
fn over(p: &SimulationReport, why: OverBudgetReason, from: Duration, to: Duration) -> usize {
    let within =
        |c: &&simulation::CrossZoneSend| c.at >= from && c.at < to && c.over_budget == Some(why);
    p.cross_zone_sends.iter().flatten().filter(within).count()
}

fn lists(
    from: u64,
    nodes: std::ops::Range<usize>,
    standing: EndpointState,
) -> Vec<(Duration, ScenarioEvent)> {
    nodes
        .map(|n| (ms(from), ScenarioEvent::SetState(n, standing)))
        .collect()
}

#[test]
fn near_first_while_near_has_room_and_over_by_degrees_as_it_fills() {
    let mut d = world(1, Vec::new());
    d.duration = s(40);
    // Twice what near can bear, then as before.
    d.events = vec![
        (s(10), ScenarioEvent::SetRequestRate(1000.0)),
        (s(20), ScenarioEvent::SetRequestRate(380.0)),
    ];
    let p = d.run();
    kept(&p);
    assert!(
        p.cross_zone_share_between(3, 10) < 0.03,
        "{}",
        p.cross_zone_share_between(3, 10)
    );
    assert!(
        p.cross_zone_share_between(12, 20) > 0.2,
        "{}",
        p.cross_zone_share_between(12, 20)
    );
    assert!(
        p.cross_zone_share_between(34, 40) < 0.06,
        "{}",
        p.cross_zone_share_between(34, 40)
    );
    assert!(
        p.within_objective as f64 > 0.97 * p.requests as f64,
        "{} of {}",
        p.within_objective,
        p.requests
    );
}

#[test]
fn all_near_drain_in_a_burst_with_the_budget_spent() {
    let mut d = world(2, nothing());
    d.events = vec![(s(8), ScenarioEvent::SetRequestRate(600.0))];
    d.events
        .extend(lists(10_000, 0..4, EndpointState::Draining));
    let p = d.run();
    kept(&p);
    // Near had room before: nothing went over by choice. From the drain on all of it does, and says
    // why.
    assert_eq!(
        p.cross_zone_sends[0].iter().filter(|c| c.at < s(8)).count(),
        0
    );
    let drained = over(&p, OverBudgetReason::LocalDraining, s(10), s(20));
    assert!(drained > 5000, "{drained}");
    let payments = p.cross_zone_sends[0]
        .iter()
        .filter(|c| c.class == PAYMENT)
        .count();
    assert!(
        payments > 300,
        "unrepeatable commands among them: {payments}"
    );
    assert!(
        p.succeeded as f64 > 0.99 * p.requests as f64,
        "{} of {}",
        p.succeeded,
        p.requests
    );
}

#[test]
fn near_returns_cold_with_the_budget_spent() {
    let mut d = world(3, nothing());
    d.duration = s(30);
    d.events = lists(8000, 0..4, EndpointState::Gone);
    d.events
        .extend((0..4).map(|n| (s(14), ScenarioEvent::Restart(n))));
    let p = d.run();
    // Rule 4 is among those kept: it was not given all at once.
    kept(&p);
    assert!(over(&p, OverBudgetReason::NoLocalEndpoint, s(8), s(14)) > 1500);
    assert!(
        over(&p, OverBudgetReason::LocalWarmingUp, s(14), s(19)) > 100,
        "{}",
        over(&p, OverBudgetReason::LocalWarmingUp, s(14), s(19))
    );
    assert!(
        p.cross_zone_share_between(24, 30) < 0.02,
        "{}",
        p.cross_zone_share_between(24, 30)
    );
    assert!(p.succeeded as f64 > 0.99 * p.requests as f64);
}

#[test]
fn when_a_zone_is_lost_the_spill_does_not_push_over_the_cold_ones_of_the_other() {
    let mut d = world(4, Vec::new());
    d.request_rate = 550.0;
    d.events = (4..6)
        .map(|n| (ms(7500), ScenarioEvent::Restart(n)))
        .collect();
    d.events.extend(lists(8000, 0..4, EndpointState::Gone));
    let cold = |p: &SimulationReport| p.sends_by_endpoint[4] + p.sends_by_endpoint[5];
    let p = d.clone().run();
    kept(&p);
    // Without the part that cold ones are told, they get more.
    d.agents[0].zoning = None;
    let before = d.run();
    assert!(
        cold(&p) < cold(&before),
        "{} against {}",
        cold(&p),
        cold(&before)
    );
}

fn trial_in_far_only(fails: f64) -> SimulationReport {
    let mut d = world(5, nothing());
    d.duration = s(40);
    let mut far = SimulatedEndpoint::new(1, 42, 4);
    far.failure_rate = fails;
    far.state = EndpointState::Gone;
    d.endpoints.extend([far.clone(), far]);
    // A slow link, stated: answers over it are far from quick.
    d.link_delays[0][1] = ms(25);
    d.link_delays[1][0] = ms(25);
    d.events = vec![
        (s(9), ScenarioEvent::Restart(8)),
        (s(9), ScenarioEvent::Restart(9)),
    ];
    let stage = |stage: usize, cap| RolloutStatus {
        build: 42,
        stage,
        phase: RolloutPhase::Canary,
        cap,
        since: Duration::ZERO,
    };
    d.events
        .push((s(9), ScenarioEvent::RolloutStatus(stage(0, 0.08))));
    d.events
        .push((s(20), ScenarioEvent::RolloutStatus(stage(1, 0.25))));
    d.run()
}

#[test]
fn a_good_build_that_lives_only_far_is_judged_beyond_the_budget_and_not_held_for_its_way() {
    let p = trial_in_far_only(0.0);
    kept(&p); // exposure among it
    let judged = over(&p, OverBudgetReason::Canary, s(9), s(40));
    assert!(judged > 500, "{judged}");
    let holds = p
        .votes
        .iter()
        .filter(|v| v.1.verdict != Verdict::Withdraw)
        .count();
    assert_eq!(holds, 0, "{:?}", p.votes);
}

#[test]
fn a_bad_build_that_lives_only_far_is_held_though_the_budget_is_spent() {
    let p = trial_in_far_only(0.4);
    kept(&p);
    assert!(p.votes.iter().any(|v| v.1.verdict == Verdict::Hold));
}

#[test]
fn an_id_that_returns_in_another_zone_is_of_that_zone() {
    let mut d = world(6, nothing());
    // All near ones return in the other zone at the same build, without a gap.
    d.events = (0..4)
        .map(|n| (s(10), ScenarioEvent::MoveToZone(n, 1)))
        .collect();
    let p = d.run();
    kept(&p);
    assert!(
        p.counts_by_second[0][12].local_sends == 0 && p.counts_by_second[0][12].remote_sends > 300
    );
    assert!(over(&p, OverBudgetReason::NoLocalEndpoint, s(11), s(20)) > 3000);
}

#[test]
fn a_list_without_zones_is_a_link_of_its_own() {
    let mut d = world(7, nothing());
    d.endpoints.iter_mut().for_each(|n| n.zone = 2); // as an agent numbers what it has no name for
    let p = d.run();
    kept(&p);
    let zones = p.zones[0].as_ref().unwrap();
    let rows: Vec<_> = zones.account().rows().collect();
    assert!(
        rows.iter().all(|(k, _)| k.to == 2),
        "neither near nor of another zone"
    );
    assert!(p.succeeded as f64 > 0.99 * p.requests as f64);
    let names = DisplayNames {
        zones: vec!["a".into(), "b".into()],
        ..DisplayNames::default()
    };
    assert_eq!(names.zone(2), "(unnamed)");
}

#[test]
fn an_agent_in_a_zone_with_no_appliance_serves_from_the_others() {
    let mut d = world(8, nothing());
    d.endpoints.iter_mut().for_each(|n| n.zone = 1);
    let p = d.run();
    kept(&p);
    assert!(
        over(&p, OverBudgetReason::NoLocalEndpoint, s(0), s(20)) as f64 > 0.95 * p.requests as f64
    );
    assert!(p.succeeded as f64 > 0.99 * p.requests as f64);
}

/// The most that was spent by choice in any window of this length.
fn most_in_window(p: &SimulationReport, agent: usize, window: Duration) -> usize {
    let times: Vec<Duration> = p.cross_zone_sends[agent]
        .iter()
        .filter(|c| c.over_budget.is_none())
        .map(|c| c.at)
        .collect();
    let (mut from, mut most) = (0, 0);
    for to in 0..times.len() {
        while times[from] + window <= times[to] {
            from += 1;
        }
        most = most.max(to - from + 1);
    }
    most
}

#[test]
fn an_agent_that_stalls_does_not_spend_a_window_at_once() {
    let mut d = world(9, vec![budget(Limit::Attempts(200.0), s(2))]);
    d.request_rate = 900.0; // more than near bears: the budget is always wanted
    d.events = vec![(s(10), ScenarioEvent::StallAgent(0, s(2)))];
    let p = d.run();
    kept(&p);
    let most = most_in_window(&p, 0, s(2));
    assert!((100..=200).contains(&most), "{most}");
}

#[test]
fn near_that_flaps_each_second_does_not_make_commands_swing() {
    let mut d = world(10, Vec::new());
    d.duration = s(75);
    // Slower by ten times in each other second, for 30 s.
    for n in 0..30 {
        let slowness = if n % 2 == 0 { 10.0 } else { 1.0 };
        d.events
            .extend((0..4).map(|i| (s(8 + n), ScenarioEvent::SetWorkFactor(i, slowness))));
    }
    let p = d.clone().run();
    kept(&p);
    d.agents[0].zoning = None;
    let before = d.run();
    assert!(
        p.direction_changes_per_minute() <= 6.0,
        "{} a minute",
        p.direction_changes_per_minute()
    );
    assert!(
        p.within_objective >= before.within_objective,
        "{} in time, {} before",
        p.within_objective,
        before.within_objective
    );
    // Back once it is calm: after the longest calm span and some seconds of falling.
    assert!(
        p.cross_zone_share_between(65, 75) < 0.1,
        "{}",
        p.cross_zone_share_between(65, 75)
    );
}

#[test]
fn a_budget_lowered_in_a_burst_holds_at_once() {
    let mut d = world(11, vec![budget(Limit::Attempts(3000.0), s(4))]);
    d.request_rate = 900.0;
    let lower = zoning(0, 2, vec![budget(Limit::Attempts(40.0), s(4))]);
    d.events = vec![(s(10), ScenarioEvent::SetZoning(0, lower))];
    let p = d.run();
    kept(&p);
    let by_choice = |from: u64, to: u64| {
        let within = |c: &&simulation::CrossZoneSend| {
            c.at >= s(from) && c.at < s(to) && c.over_budget.is_none()
        };
        p.cross_zone_sends[0].iter().filter(within).count()
    };
    assert!(by_choice(6, 10) > 300, "{}", by_choice(6, 10));
    // What was spent before counts: nothing more until that window has passed, then the lower one
    // holds.
    assert_eq!(by_choice(10, 13), 0);
    assert!(
        most_in_window(&p, 0, s(4)) <= 3000 && by_choice(15, 19) <= 40,
        "{}",
        by_choice(15, 19)
    );
    let zones = p.zones[0].as_ref().unwrap();
    assert!(
        zones
            .account()
            .rows()
            .any(|(k, r)| k.to == 1 && r.counts.written > 300),
        "the account survives"
    );
}

#[test]
fn the_sum_over_ten_unequal_agents_keeps_to_the_budget() {
    let mut d = world(12, Vec::new());
    let one = || {
        vec![Budget {
            agent_fraction: 0.1,
            ..budget(Limit::Attempts(600.0), s(5))
        }]
    };
    // From a fortieth to a third of the load, one idle; more than near bears.
    let parts = [40.0, 20.0, 12.0, 10.0, 8.0, 5.0, 3.0, 1.5, 0.5, 0.0];
    d.agents = parts
        .map(|part| SimulatedAgent {
            zone: 0,
            load_share: part,
            zoning: Some(zoning(0, 2, one())),
        })
        .to_vec();
    d.request_rate = 900.0;
    let p = d.run();
    kept(&p);
    let mut all: Vec<Duration> = p
        .cross_zone_sends
        .iter()
        .flatten()
        .filter(|c| c.over_budget.is_none())
        .map(|c| c.at)
        .collect();
    all.sort();
    let most = all
        .iter()
        .map(|t| all.iter().filter(|u| *u >= t && **u < *t + s(5)).count())
        .max()
        .unwrap();
    assert!(most <= 600, "{most}");
    assert!((0..10).all(|a| most_in_window(&p, a, s(5)) <= 60));
    let mut shares = world(12, Vec::new());
    let share = || vec![budget(Limit::Share(0.1), s(5))];
    shares.agents = parts
        .map(|part| SimulatedAgent {
            zone: 0,
            load_share: part,
            zoning: Some(zoning(0, 2, share())),
        })
        .to_vec();
    shares.request_rate = 900.0;
    let p = shares.run();
    kept(&p);
    let by_choice = p
        .cross_zone_sends
        .iter()
        .flatten()
        .filter(|c| c.over_budget.is_none())
        .count();
    assert!(
        by_choice as f64 <= 0.1 * p.requests as f64,
        "{by_choice} of {}",
        p.requests
    );
}

#[test]
fn when_it_runs_short_least_benefit_stays_near_first_and_copies_before_first_deliveries() {
    let mut d = world(13, vec![budget(Limit::Attempts(300.0), s(3))]);
    d.request_rate = 800.0;
    let p = d.run();
    kept(&p);
    let part = |class: usize, weight: f64| {
        let crossed = p.cross_zone_sends[0]
            .iter()
            .filter(|c| c.class == class && c.over_budget.is_none())
            .count();
        crossed as f64 / (p.requests as f64 * weight)
    };
    let (view, send, payment) = (part(VIEW, 0.45), part(SEND, 0.45), part(PAYMENT, 0.1));
    assert!(payment > send && send > view, "{payment} {send} {view}");
    let zones = p.zones[0].as_ref().unwrap();
    let admits = |again| zones.budget_meters().admits(1, VIEW, again);
    assert!(
        !admits(true) || admits(false),
        "copies are left before first ones"
    );
}

#[test]
fn bytes_and_money_are_charged_as_the_socket_counted_them() {
    let mut d = world(14, vec![budget(Limit::Bytes(40_000.0), s(4))]);
    d.request_rate = 900.0;
    let z = d.agents[0].zoning.as_mut().unwrap();
    z.links[1].price = Price {
        per_attempt: 0.01,
        per_gib_sent: 1.0,
        per_gib_received: 2.0,
    };
    let p = d.run();
    kept(&p);
    let account = p.zones[0].as_ref().unwrap().account();
    let far = || {
        account
            .rows()
            .filter(|(k, _)| k.to == 1)
            .map(|(_, r)| r.counts)
    };
    let (written, cost) = (
        far().map(|t| t.written).sum::<u64>(),
        far().map(|t| t.cost).sum::<f64>(),
    );
    let (out, back) = (
        far().map(|t| t.bytes_sent).sum::<u64>(),
        far().map(|t| t.bytes_received).sum::<u64>(),
    );
    let gib = (1u64 << 30) as f64;
    let wanted = 0.01 * written as f64 + out as f64 / gib + 2.0 * back as f64 / gib;
    assert!((cost - wanted).abs() < 1e-9 * wanted, "{cost} {wanted}");
    assert!(written > 100);
    // By choice no window holds more bytes than the budget.
    let by_choice = most_in_window(&p, 0, s(4)) as f64;
    assert!(by_choice * 600.0 <= 40_000.0 + 600.0, "{by_choice}");
}

#[test]
fn of_three_unequal_zones_the_quicker_far_one_takes_more_also_when_one_way_is_slow() {
    let mut d = world(15, Vec::new());
    d.agents[0].zoning = Some(zoning(0, 3, Vec::new()));
    d.endpoints = (0..9)
        .map(|i| SimulatedEndpoint::new([0, 0, 1, 1, 1, 1, 1, 2, 2][i], 41, 4))
        .collect();
    // Quick on the way there, slow on the way back: only the whole way counts.
    d.link_delays[1][0] = ms(60);
    d.request_rate = 600.0;
    d.duration = s(30);
    let p = d.run();
    kept(&p);
    let zones = p.zones[0].as_ref().unwrap();
    let sent = |to: u16| {
        zones
            .account()
            .rows()
            .filter(|(k, _)| k.to == to)
            .map(|(_, r)| r.counts.written)
            .sum::<u64>()
    };
    assert!(
        sent(2) > sent(1),
        "{} to the quick small zone, {} to the slow large one",
        sent(2),
        sent(1)
    );
    assert!(
        p.within_objective as f64 > 0.95 * p.requests as f64,
        "{} of {}",
        p.within_objective,
        p.requests
    );
}

#[test]
fn a_budget_costs_no_answer_when_only_the_far_side_can_answer_in_time() {
    let mut d = world(16, nothing());
    d.duration = s(30);
    // Near stays listed, warm and awake, but crawls.
    d.events = (0..4)
        .map(|n| (s(8), ScenarioEvent::SetWorkFactor(n, 30.0)))
        .collect();
    let p = d.clone().run();
    kept(&p);
    d.agents[0].zoning = Some(zoning(0, 2, Vec::new()));
    let free = d.run();
    let (with, without) = (
        p.succeeded as f64 / p.requests as f64,
        free.succeeded as f64 / free.requests as f64,
    );
    assert!(
        with > without - 0.01,
        "{with} with the budget spent, {without} without a budget"
    );
    assert!(
        over(&p, OverBudgetReason::LocalSaturated, s(8), s(30))
            + over(&p, OverBudgetReason::LocalUnavailable, s(8), s(30))
            > 1000
    );
}

#[test]
fn seeded_days_of_any_kind_keep_the_rules() {
    use rand::{Rng, SeedableRng};
    for seed in 0..24u64 {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let limits = [
            Limit::Attempts(200.0),
            Limit::Bytes(1e5),
            Limit::Money(0.5),
            Limit::Share(0.05),
        ];
        let mut d = world(
            seed,
            vec![budget(limits[rng.gen_range(0..4)], s(rng.gen_range(1..8)))],
        );
        let zoned = d.agents[0].zoning.clone().unwrap();
        let other = ZoneConfig {
            local_zone: 1,
            ..zoned.clone()
        };
        d.agents.push(SimulatedAgent {
            zone: 1,
            load_share: rng.gen_range(0.1..2.0),
            zoning: Some(other),
        });
        (d.request_rate, d.duration) = (rng.gen_range(200.0..900.0), s(16));
        for _ in 0..rng.gen_range(3..14) {
            let (at, n) = (ms(rng.gen_range(2000..15_000)), rng.gen_range(0..8));
            let change = match rng.gen_range(0..9) {
                0 => ScenarioEvent::SetState(n, EndpointState::Draining),
                1 => ScenarioEvent::SetState(n, EndpointState::Gone),
                2 => ScenarioEvent::Restart(n),
                3 => ScenarioEvent::MoveToZone(n, rng.gen_range(0..2)),
                4 => ScenarioEvent::SetWorkFactor(n, rng.gen_range(0.8..8.0)),
                5 => ScenarioEvent::SetFailureRate(n, rng.gen_range(0.0..0.6)),
                6 => ScenarioEvent::SetRequestRate(rng.gen_range(100.0..900.0)),
                7 => ScenarioEvent::StallAgent(n % 2, ms(rng.gen_range(100..2000))),
                _ => ScenarioEvent::SetLinkDelay(n % 2, (n + 1) % 2, ms(rng.gen_range(1..40))),
            };
            d.events.push((at, change));
        }
        let p = d.run();
        assert!(
            p.violations.is_empty(),
            "seed {seed}: {:?}",
            &p.violations[..p.violations.len().min(3)]
        );
    }
}

#[test]
fn equal_days_are_equal_to_the_letter() {
    let play = |budgets| world(17, budgets).run().digest;
    assert_eq!(play(nothing()), play(nothing()));
    assert_ne!(play(nothing()), play(Vec::new()));
}
