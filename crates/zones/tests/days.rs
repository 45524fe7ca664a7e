//! Hard cases of traffic across zones, on days in simulated time: the real decisions, the real
//! zones, modelled endpoints. The five rules are checked after each step of each day.

use std::time::Duration;
use tulipwall::*;
use tulipwall_testkit::day::{self, Caller, Change, Day, Node, Played};
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
    day::zoning(&day::classes(), own, zones, budgets)
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
fn world(seed: u64, budgets: Vec<Budget>) -> Day {
    let agent = Caller {
        zone: 0,
        part: 1.0,
        zoning: Some(zoning(0, 2, budgets)),
    };
    Day::small(
        vec![agent],
        (0..8).map(|i| Node::new(i / 4, 41, 4)).collect(),
        380.0,
        s(20),
        seed,
    )
}

fn kept(p: &Played) {
    assert!(
        p.broken.is_empty(),
        "{:?}",
        &p.broken[..p.broken.len().min(5)]
    );
    assert_eq!(p.never, 0);
}

/// Over-budget crossings by reason, between two times.
fn over(p: &Played, why: OverBudgetReason, from: Duration, to: Duration) -> usize {
    let within = |c: &&(Duration, usize, Option<OverBudgetReason>)| {
        c.0 >= from && c.0 < to && c.2 == Some(why)
    };
    p.crossings.iter().flatten().filter(within).count()
}

fn lists(
    from: u64,
    nodes: std::ops::Range<usize>,
    standing: EndpointState,
) -> Vec<(Duration, Change)> {
    nodes
        .map(|n| (ms(from), Change::Lists(n, standing)))
        .collect()
}

#[test]
fn near_first_while_near_has_room_and_over_by_degrees_as_it_fills() {
    let mut d = world(1, Vec::new());
    d.span = s(40);
    // Twice what near can bear, then as before.
    d.script = vec![(s(10), Change::Rate(1000.0)), (s(20), Change::Rate(380.0))];
    let p = d.play();
    kept(&p);
    assert!(
        p.crossed_between(3, 10) < 0.03,
        "{}",
        p.crossed_between(3, 10)
    );
    assert!(
        p.crossed_between(12, 20) > 0.2,
        "{}",
        p.crossed_between(12, 20)
    );
    assert!(
        p.crossed_between(34, 40) < 0.06,
        "{}",
        p.crossed_between(34, 40)
    );
    assert!(
        p.in_time as f64 > 0.97 * p.taken as f64,
        "{} of {}",
        p.in_time,
        p.taken
    );
}

#[test]
fn all_near_drain_in_a_burst_with_the_budget_spent() {
    let mut d = world(2, nothing());
    d.script = vec![(s(8), Change::Rate(600.0))];
    d.script
        .extend(lists(10_000, 0..4, EndpointState::Draining));
    let p = d.play();
    kept(&p);
    // Near had room before: nothing went over by choice. From the drain on all of it does, and says
    // why.
    assert_eq!(p.crossings[0].iter().filter(|c| c.0 < s(8)).count(), 0);
    let drained = over(&p, OverBudgetReason::LocalDraining, s(10), s(20));
    assert!(drained > 5000, "{drained}");
    let payments = p.crossings[0].iter().filter(|c| c.1 == PAYMENT).count();
    assert!(
        payments > 300,
        "unrepeatable commands among them: {payments}"
    );
    assert!(
        p.succeeded as f64 > 0.99 * p.taken as f64,
        "{} of {}",
        p.succeeded,
        p.taken
    );
}

#[test]
fn near_returns_cold_with_the_budget_spent() {
    let mut d = world(3, nothing());
    d.span = s(30);
    d.script = lists(8000, 0..4, EndpointState::Gone);
    d.script.extend((0..4).map(|n| (s(14), Change::Starts(n))));
    let p = d.play();
    // Rule 4 is among those kept: it was not given all at once.
    kept(&p);
    assert!(over(&p, OverBudgetReason::NoLocalEndpoint, s(8), s(14)) > 1500);
    assert!(
        over(&p, OverBudgetReason::LocalWarmingUp, s(14), s(19)) > 100,
        "{}",
        over(&p, OverBudgetReason::LocalWarmingUp, s(14), s(19))
    );
    assert!(
        p.crossed_between(24, 30) < 0.02,
        "{}",
        p.crossed_between(24, 30)
    );
    assert!(p.succeeded as f64 > 0.99 * p.taken as f64);
}

#[test]
fn when_a_zone_is_lost_the_spill_does_not_push_over_the_cold_ones_of_the_other() {
    let mut d = world(4, Vec::new());
    d.rate = 550.0;
    d.script = (4..6).map(|n| (ms(7500), Change::Starts(n))).collect();
    d.script.extend(lists(8000, 0..4, EndpointState::Gone));
    let cold = |p: &Played| p.sends[4] + p.sends[5];
    let p = d.clone().play();
    kept(&p);
    // Without the part that cold ones are told, they get more.
    d.agents[0].zoning = None;
    let before = d.play();
    assert!(
        cold(&p) < cold(&before),
        "{} against {}",
        cold(&p),
        cold(&before)
    );
}

fn trial_in_far_only(fails: f64) -> Played {
    let mut d = world(5, nothing());
    d.span = s(40);
    let mut far = Node::new(1, 42, 4);
    far.fails = fails;
    far.standing = EndpointState::Gone;
    d.nodes.extend([far.clone(), far]);
    // A slow link, stated: answers over it are far from quick.
    d.ways[0][1] = ms(25);
    d.ways[1][0] = ms(25);
    d.script = vec![(s(9), Change::Starts(8)), (s(9), Change::Starts(9))];
    let stage = |stage: usize, cap| RolloutStatus {
        build: 42,
        stage,
        phase: RolloutPhase::Canary,
        cap,
        since: Duration::ZERO,
    };
    d.script.push((s(9), Change::RolloutStatus(stage(0, 0.08))));
    d.script
        .push((s(20), Change::RolloutStatus(stage(1, 0.25))));
    d.play()
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
    d.script = (0..4).map(|n| (s(10), Change::Moves(n, 1))).collect();
    let p = d.play();
    kept(&p);
    assert!(p.seconds[0][12].near == 0 && p.seconds[0][12].far > 300);
    assert!(over(&p, OverBudgetReason::NoLocalEndpoint, s(11), s(20)) > 3000);
}

#[test]
fn a_list_without_zones_is_a_link_of_its_own() {
    let mut d = world(7, nothing());
    d.nodes.iter_mut().for_each(|n| n.zone = 2); // as an agent numbers what it has no name for
    let p = d.play();
    kept(&p);
    let zones = p.zones[0].as_ref().unwrap();
    let rows: Vec<_> = zones.account().rows().collect();
    assert!(
        rows.iter().all(|(k, _)| k.to == 2),
        "neither near nor of another zone"
    );
    assert!(p.succeeded as f64 > 0.99 * p.taken as f64);
    let names = DisplayNames {
        zones: vec!["a".into(), "b".into()],
        ..DisplayNames::default()
    };
    assert_eq!(names.zone(2), "(unnamed)");
}

#[test]
fn an_agent_in_a_zone_with_no_appliance_serves_from_the_others() {
    let mut d = world(8, nothing());
    d.nodes.iter_mut().for_each(|n| n.zone = 1);
    let p = d.play();
    kept(&p);
    assert!(
        over(&p, OverBudgetReason::NoLocalEndpoint, s(0), s(20)) as f64 > 0.95 * p.taken as f64
    );
    assert!(p.succeeded as f64 > 0.99 * p.taken as f64);
}

/// The most that was spent by choice in any window of this length.
fn most_in_window(p: &Played, agent: usize, window: Duration) -> usize {
    let times: Vec<Duration> = p.crossings[agent]
        .iter()
        .filter(|c| c.2.is_none())
        .map(|c| c.0)
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
    d.rate = 900.0; // more than near bears: the budget is always wanted
    d.script = vec![(s(10), Change::Stalls(0, s(2)))];
    let p = d.play();
    kept(&p);
    let most = most_in_window(&p, 0, s(2));
    assert!((100..=200).contains(&most), "{most}");
}

#[test]
fn near_that_flaps_each_second_does_not_make_commands_swing() {
    let mut d = world(10, Vec::new());
    d.span = s(75);
    // Slower by ten times in each other second, for 30 s.
    for n in 0..30 {
        let slowness = if n % 2 == 0 { 10.0 } else { 1.0 };
        d.script
            .extend((0..4).map(|i| (s(8 + n), Change::Slows(i, slowness))));
    }
    let p = d.clone().play();
    kept(&p);
    d.agents[0].zoning = None;
    let before = d.play();
    assert!(
        p.turns_per_minute() <= 6.0,
        "{} a minute",
        p.turns_per_minute()
    );
    assert!(
        p.in_time >= before.in_time,
        "{} in time, {} before",
        p.in_time,
        before.in_time
    );
    // Back once it is calm: after the longest calm span and some seconds of falling.
    assert!(
        p.crossed_between(65, 75) < 0.1,
        "{}",
        p.crossed_between(65, 75)
    );
}

#[test]
fn a_budget_lowered_in_a_burst_holds_at_once() {
    let mut d = world(11, vec![budget(Limit::Attempts(3000.0), s(4))]);
    d.rate = 900.0;
    let lower = zoning(0, 2, vec![budget(Limit::Attempts(40.0), s(4))]);
    d.script = vec![(s(10), Change::Zoning(0, lower))];
    let p = d.play();
    kept(&p);
    let by_choice = |from: u64, to: u64| {
        let within = |c: &&(Duration, usize, Option<OverBudgetReason>)| {
            c.0 >= s(from) && c.0 < s(to) && c.2.is_none()
        };
        p.crossings[0].iter().filter(within).count()
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
        .map(|part| Caller {
            zone: 0,
            part,
            zoning: Some(zoning(0, 2, one())),
        })
        .to_vec();
    d.rate = 900.0;
    let p = d.play();
    kept(&p);
    let mut all: Vec<Duration> = p
        .crossings
        .iter()
        .flatten()
        .filter(|c| c.2.is_none())
        .map(|c| c.0)
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
        .map(|part| Caller {
            zone: 0,
            part,
            zoning: Some(zoning(0, 2, share())),
        })
        .to_vec();
    shares.rate = 900.0;
    let p = shares.play();
    kept(&p);
    let by_choice = p
        .crossings
        .iter()
        .flatten()
        .filter(|c| c.2.is_none())
        .count();
    assert!(
        by_choice as f64 <= 0.1 * p.taken as f64,
        "{by_choice} of {}",
        p.taken
    );
}

#[test]
fn when_it_runs_short_least_benefit_stays_near_first_and_copies_before_first_deliveries() {
    let mut d = world(13, vec![budget(Limit::Attempts(300.0), s(3))]);
    d.rate = 800.0;
    let p = d.play();
    kept(&p);
    let part = |class: usize, weight: f64| {
        let crossed = p.crossings[0]
            .iter()
            .filter(|c| c.1 == class && c.2.is_none())
            .count();
        crossed as f64 / (p.taken as f64 * weight)
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
    d.rate = 900.0;
    let z = d.agents[0].zoning.as_mut().unwrap();
    z.links[1].price = Price {
        per_attempt: 0.01,
        per_gib_sent: 1.0,
        per_gib_received: 2.0,
    };
    let p = d.play();
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
    d.nodes = (0..9)
        .map(|i| Node::new([0, 0, 1, 1, 1, 1, 1, 2, 2][i], 41, 4))
        .collect();
    // Quick on the way there, slow on the way back: only the whole way counts.
    d.ways[1][0] = ms(60);
    d.rate = 600.0;
    d.span = s(30);
    let p = d.play();
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
        p.in_time as f64 > 0.95 * p.taken as f64,
        "{} of {}",
        p.in_time,
        p.taken
    );
}

#[test]
fn a_budget_costs_no_answer_when_only_the_far_side_can_answer_in_time() {
    let mut d = world(16, nothing());
    d.span = s(30);
    // Near stays listed, warm and awake, but crawls.
    d.script = (0..4).map(|n| (s(8), Change::Slows(n, 30.0))).collect();
    let p = d.clone().play();
    kept(&p);
    d.agents[0].zoning = Some(zoning(0, 2, Vec::new()));
    let free = d.play();
    let (with, without) = (
        p.succeeded as f64 / p.taken as f64,
        free.succeeded as f64 / free.taken as f64,
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
        d.agents.push(Caller {
            zone: 1,
            part: rng.gen_range(0.1..2.0),
            zoning: Some(other),
        });
        (d.rate, d.span) = (rng.gen_range(200.0..900.0), s(16));
        for _ in 0..rng.gen_range(3..14) {
            let (at, n) = (ms(rng.gen_range(2000..15_000)), rng.gen_range(0..8));
            let change = match rng.gen_range(0..9) {
                0 => Change::Lists(n, EndpointState::Draining),
                1 => Change::Lists(n, EndpointState::Gone),
                2 => Change::Starts(n),
                3 => Change::Moves(n, rng.gen_range(0..2)),
                4 => Change::Slows(n, rng.gen_range(0.8..8.0)),
                5 => Change::Fails(n, rng.gen_range(0.0..0.6)),
                6 => Change::Rate(rng.gen_range(100.0..900.0)),
                7 => Change::Stalls(n % 2, ms(rng.gen_range(100..2000))),
                _ => Change::Link(n % 2, (n + 1) % 2, ms(rng.gen_range(1..40))),
            };
            d.script.push((at, change));
        }
        let p = d.play();
        assert!(
            p.broken.is_empty(),
            "seed {seed}: {:?}",
            &p.broken[..p.broken.len().min(3)]
        );
    }
}

#[test]
fn equal_days_are_equal_to_the_letter() {
    let play = |budgets| world(17, budgets).play().digest;
    assert_eq!(play(nothing()), play(nothing()));
    assert_ne!(play(nothing()), play(Vec::new()));
}
