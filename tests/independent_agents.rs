//! A hundred agents that share nothing: what each does is harmless, and must be so when all do it.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tulipwall::*;

mod harness;
use harness::{canary_status, default_settings, endpoint_entry, ms};

fn fleet(n: u32, change: fn(&mut Settings)) -> Vec<Balancer> {
    let requests_per_step = |i: u32| {
        let mut d = Settings {
            agents: n,
            ..default_settings(u64::from(i) + 1)
        };
        change(&mut d);
        Balancer::new(ms(1000), d)
    };
    (0..n).map(requests_per_step).collect()
}

/// Plays half a minute of a discovery service that bears so many calls a second, with a burst of two
/// seconds; a call that it refuses costs it as much. Returns when the last agent's watch began, if
/// all have, and the most calls in a second.
fn discovery(
    agents: u32,
    calls_per_second: f64,
    change: fn(&mut Settings),
) -> (Option<Duration>, usize) {
    let mut fleet = fleet(agents, change);
    let (mut watching_since_by_agent, mut budget) =
        (vec![None; fleet.len()], calls_per_second * 2.0);
    let mut calls = vec![0; 31];
    for step in 0..3000 {
        let now = ms(1000 + step * 10);
        budget = (budget + calls_per_second / 100.0).min(calls_per_second * 2.0);
        for (balancer, watching_since) in fleet.iter_mut().zip(&mut watching_since_by_agent) {
            if watching_since.is_some() || !balancer.poll(now).open_watch {
                continue;
            }
            calls[step as usize / 100] += 1;
            budget = (budget - 1.0).max(-calls_per_second * 2.0);
            match budget >= 0.0 {
                true => *watching_since = Some(now - ms(1000)),
                false => balancer.on_list_failure(now),
            }
        }
    }
    let all = watching_since_by_agent.iter().all(Option::is_some);
    (
        watching_since_by_agent
            .into_iter()
            .flatten()
            .max()
            .filter(|_| all),
        calls.into_iter().max().unwrap_or(0),
    )
}

fn polled_shared_list(d: &mut Settings) {
    (d.list_polled, d.shared_discovery) = (true, true);
    d.rollout.votes_per_second = 16.0;
}

#[test]
fn a_hundred_agents_starting_at_once_do_not_overload_discovery() {
    let (last, most) = discovery(100, 16.0, polled_shared_list);
    assert!(
        last.is_some_and(|t| t < ms(20_000)),
        "some agents never get the list: {last:?}"
    );
    assert!(most <= 35, "{most} calls in a second");
    // Few agents need not wait.
    let (last, _) = discovery(3, 16.0, polled_shared_list);
    assert!(last.is_some_and(|t| t < ms(300)), "{last:?}");
}

#[test]
fn a_hundred_agents_recover_from_a_discovery_that_refuses_two_calls_in_three() {
    let mut fleet = fleet(100, polled_shared_list);
    let (mut watching, mut calls) = (vec![false; 100], 0u32);
    for step in 0..12_000 {
        for (balancer, watching) in fleet.iter_mut().zip(&mut watching) {
            if *watching || !balancer.poll(ms(1000 + step * 10)).open_watch {
                continue;
            }
            calls += 1;
            *watching = calls.is_multiple_of(3);
            if !*watching {
                balancer.on_list_failure(ms(1000 + step * 10));
            }
        }
    }
    assert_eq!(
        watching.iter().filter(|w| **w).count(),
        100,
        "all within two minutes"
    );
}

#[test]
fn calls_for_the_list_at_once_where_discovery_is_not_shared() {
    // What it has to say counts as said from the start, and may be a drain.
    let mut d = Settings {
        agents: 100,
        list_polled: true,
        ..default_settings(7)
    };
    d.rollout.votes_per_second = 16.0;
    assert!(Balancer::new(ms(1000), d).poll(ms(1000)).open_watch);
}

#[test]
fn keeps_a_bounded_interval_between_calls_without_a_valid_rate() {
    for rate in [0.0, -1.0, f64::NAN, f64::INFINITY, 1e-300] {
        let mut d = Settings {
            agents: 100,
            list_polled: true,
            shared_discovery: true,
            ..default_settings(7)
        };
        d.rollout.votes_per_second = rate;
        let mut balancer = Balancer::new(ms(1000), d);
        let mut calls = Vec::new();
        for step in 0..6000 {
            let now = ms(1000 + step * 10);
            if balancer.poll(now).open_watch {
                calls.push(now);
                balancer.on_list_failure(now);
            }
        }
        assert!(
            (4..60).contains(&calls.len()),
            "rate {rate}: {} calls in a minute",
            calls.len()
        );
        assert!(
            calls[0] <= ms(6000),
            "rate {rate}: the first at {:?}",
            calls[0]
        );
    }
}

/// What an endpoint of this index and build does with an attempt at this time: the outcome, and how
/// long it takes.
type Behavior<'a> = &'a dyn Fn(&mut Pcg64Mcg, Duration, usize, u32) -> (Outcome, Duration);

/// Build 1 on endpoints 0 to 59; from 6 s on also build 2 on 60 to 64, from 10 s on on all up to
/// 95. Each of a hundred agents takes nine requests a second, for 18 s. Returns who voted, by
/// verdict, with their first time.
fn rollout(seed: u64, behavior: Behavior) -> Votes {
    surge(seed, 1.0, 0.0, behavior)
}

type Votes = BTreeMap<&'static str, BTreeMap<usize, Duration>>;

/// The same with so many times the requests from 9 s on, and with this share of the answers of
/// build 2 reported as wrong two seconds later.
fn surge(seed: u64, load_factor: f64, wrong_share: f64, behavior: Behavior) -> Votes {
    let agents = fleet(100, |d| {
        (d.seed, d.hedging) = (d.seed * 977, true);
        d.classes
            .iter_mut()
            .for_each(|l| l.latency_objective = ms(900));
        d.rollout.votes_per_second = 16.0;
        d.rollout.votes_to_roll_back = 5;
    });
    play(
        Scenario {
            agents,
            requests_per_step: 0.045,
            time_left: ms(3400),
            leave: None,
            seed,
            load_factor,
            wrong_share,
        },
        behavior,
    )
}

/// A rollout as above. A third of the clients go away after the time `leave`, if they are not
/// answered by then.
struct Scenario {
    agents: Vec<Balancer>,
    requests_per_step: f64, // requests of an agent in 5 ms
    time_left: Duration,
    leave: Option<Duration>,
    seed: u64,
    load_factor: f64,
    wrong_share: f64,
}

const RECHECK: usize = usize::MAX;
const LEAVE: usize = usize::MAX - 1;

fn play(scenario: Scenario, behavior: Behavior) -> Votes {
    let Scenario {
        mut agents,
        requests_per_step,
        time_left,
        leave,
        seed,
        load_factor,
        wrong_share,
    } = scenario;
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let list = |of: std::ops::Range<usize>, build, started| -> Vec<EndpointEntry> {
        of.map(|i| endpoint_entry(i, build, started)).collect()
    };
    let mut voted = BTreeMap::<_, BTreeMap<_, _>>::new();
    let mut pending: BTreeSet<(Duration, usize, u64, usize)> = BTreeSet::new(); // when, agent, request, attempt
    let mut attempts_in_flight: BTreeMap<(usize, u64, usize), (Duration, Outcome, Duration)> =
        BTreeMap::new();
    let mut sent: BTreeMap<(usize, u64), usize> = BTreeMap::new();
    let mut last_endpoint: BTreeMap<(usize, u64), usize> = BTreeMap::new();
    let mut reported_errors: Vec<(Duration, usize, usize)> = Vec::new();
    for step in 0..3600u64 {
        let now = ms(1000 + step * 5);
        for (n, balancer) in agents.iter_mut().enumerate() {
            match step {
                0 => {
                    let released = RolloutStatus {
                        phase: RolloutPhase::Released,
                        ..canary_status(1, 2, 1.0)
                    };
                    balancer.update_rollout(RolloutStatus {
                        since: Duration::ZERO,
                        ..released
                    });
                    balancer.update_endpoints(now, &list(0..60, 1, None), true);
                }
                1000 => balancer.update_rollout(RolloutStatus {
                    since: now,
                    ..canary_status(2, 0, 0.16)
                }),
                1200 => balancer.update_endpoints(now, &list(60..65, 2, Some(6900)), false),
                1800 => balancer.update_rollout(RolloutStatus {
                    since: now,
                    ..canary_status(2, 1, 1.0)
                }),
                2000 => balancer.update_endpoints(now, &list(65..96, 2, Some(10_900)), false),
                _ => {}
            }
            reported_errors.retain(|(at, agent, endpoint)| {
                if *agent == n && *at <= now {
                    balancer.on_client_reported_error(now, *endpoint, 0, ms(2000));
                }
                *agent != n || *at > now
            });
            let due = balancer.poll(now);
            if let Some(v) = due.vote {
                let said = match v.verdict {
                    Verdict::Hold => "hold",
                    Verdict::RollBack => "back",
                    Verdict::Withdraw => "none",
                };
                voted.entry(said).or_default().entry(n).or_insert(now);
                balancer.on_vote_reply(now, VoteReply::Counted);
            }
            let mut decisions: Vec<(u64, Decision)> = Vec::new();
            let dues: Vec<_> = pending
                .iter()
                .take_while(|o| o.0 <= now)
                .filter(|o| o.1 == n)
                .copied()
                .collect();
            for o in dues {
                pending.remove(&o);
                let at_work = (n, o.2, 0)..(n, o.2, LEAVE);
                if o.3 == LEAVE && attempts_in_flight.range(at_work.clone()).next().is_some() {
                    balancer.close_request(o.2);
                    let gone: Vec<_> = attempts_in_flight
                        .range(at_work)
                        .map(|(key, e)| (*key, e.2))
                        .collect();
                    for (key, began) in gone {
                        attempts_in_flight.remove(&key);
                        let took = now - began;
                        let end = AttemptEnd {
                            outcome: Outcome::Cancelled,
                            latency: took,
                            request_closed: true,
                            reported_load: None,
                        };
                        balancer.on_attempt_end(now, key.1, key.2, end);
                    }
                }
                match attempts_in_flight.remove(&(n, o.2, o.3)) {
                    Some((took, outcome, _)) => {
                        let closed = outcome == Outcome::Succeeded;
                        if let Some(endpoint) = last_endpoint.remove(&(n, o.2)) {
                            if endpoint >= 60 && rng.gen_bool(wrong_share) {
                                reported_errors.push((now + ms(2000), n, endpoint));
                            }
                        }
                        decisions.push((
                            o.2,
                            balancer.on_attempt_end(
                                now,
                                o.2,
                                o.3,
                                AttemptEnd {
                                    outcome,
                                    latency: took,
                                    request_closed: closed,
                                    reported_load: None,
                                },
                            ),
                        ));
                    }
                    None if o.3 == RECHECK => decisions.push((o.2, balancer.route(now, o.2))),
                    None => {}
                }
            }
            if rng.gen_bool(requests_per_step * if step > 1600 { load_factor } else { 1.0 }) {
                let class = [0, 0, 0, 0, 1, 1, 1, 1, 2][rng.gen_range(0..9)];
                let id = step * 100 + n as u64;
                balancer.on_request(
                    now,
                    id,
                    Request {
                        class,
                        tenant: Some(0),
                        key: None,
                        time_left: time_left,
                        estimated_work: None,
                        is_retry: false,
                    },
                );
                let leaves = leave.filter(|_| rng.gen_bool(1.0 / 3.0));
                pending.extend(leaves.map(|after| (now + after, n, id, LEAVE)));
                decisions.push((id, balancer.route(now, id)));
            }
            while let Some((id, answer)) = decisions.pop() {
                match answer {
                    Decision::Forward {
                        endpoint,
                        recheck_at,
                        ..
                    } => {
                        let attempt = sent.entry((n, id)).or_default();
                        let build = if endpoint < 60 { 1 } else { 2 };
                        let (outcome, took) = behavior(&mut rng, now, endpoint, build);
                        pending.insert((now + took, n, id, *attempt));
                        attempts_in_flight.insert((n, id, *attempt), (took, outcome, now));
                        *attempt += 1;
                        last_endpoint.insert((n, id), endpoint);
                        pending.extend(recheck_at.map(|at| (at, n, id, RECHECK)));
                    }
                    Decision::Defer { until } => {
                        pending.insert((until, n, id, RECHECK));
                    }
                    Decision::Cancel { attempt } => {
                        if let Some((took, ..)) = attempts_in_flight.remove(&(n, id, attempt)) {
                            let end = AttemptEnd {
                                outcome: Outcome::Cancelled,
                                latency: took,
                                request_closed: true,
                                reported_load: None,
                            };
                            decisions.push((id, balancer.on_attempt_end(now, id, attempt, end)));
                        }
                    }
                    _ => {}
                }
            }
        }
    }
    voted
}

/// Six agents, of which each sees eight requests a second that take 2.3 s each, on hardware of
/// which one in five takes six times as long; a third of the clients leave after five seconds.
fn few_busy_agents(seed: u64, slows: f64) -> Votes {
    let agents = fleet(6, |d| {
        (d.seed, d.hedging, d.cross_zone_price) = (d.seed * 977, true, 0.04);
        d.classes
            .iter_mut()
            .for_each(|l| l.latency_objective = ms(14_000));
    });
    let behavior = |rng: &mut Pcg64Mcg, now: Duration, endpoint: usize, _: u32| {
        let hardware = if endpoint % 5 == 3 { 6.0 } else { 1.0 };
        let slowdown = if now > ms(11_000) { slows } else { 1.0 };
        (
            Outcome::Succeeded,
            exponential(rng, 2.3 * hardware * slowdown),
        )
    };
    let leave = Some(ms(5000));
    play(
        Scenario {
            agents,
            requests_per_step: 0.04,
            time_left: ms(23_000),
            leave,
            seed,
            load_factor: 1.0,
            wrong_share: 0.0,
        },
        &behavior,
    )
}

#[test]
fn holds_a_build_that_slows_all_where_work_takes_seconds_but_not_a_good_one() {
    let voters = |seed, slows| {
        few_busy_agents(seed, slows)
            .values()
            .flat_map(|v| v.keys())
            .collect::<BTreeSet<_>>()
            .len()
    };
    let bad: Vec<usize> = (1..9).map(|seed| voters(seed, 4.0)).collect();
    let good: Vec<usize> = (1..9).map(|seed| voters(seed, 1.0)).collect();
    assert!(
        bad.iter().all(|n| *n > 0) && bad.iter().sum::<usize>() >= 16,
        "voters on each bad build: {bad:?}"
    );
    assert!(
        good.iter().sum::<usize>() <= 1,
        "voters on each good build: {good:?}"
    );
}

fn exponential(rng: &mut Pcg64Mcg, mean: f64) -> Duration {
    Duration::from_secs_f64(-mean * rng.gen_range(1e-6..1.0f64).ln())
}

#[test]
fn almost_never_holds_a_good_build_while_endpoints_of_both_builds_are_faulty() {
    // One endpoint in six fails four in five while the canary gets its traffic.
    let behavior = |rng: &mut Pcg64Mcg, now: Duration, endpoint: usize, _: u32| {
        let is_faulty = endpoint % 6 == 3 && now > ms(10_000) && rng.gen_bool(0.8);
        (
            if is_faulty {
                Outcome::Failed
            } else {
                Outcome::Succeeded
            },
            exponential(rng, 0.15),
        )
    };
    for seed in 1..4 {
        let votes = rollout(seed, &behavior);
        let voters = |v: &str| votes.get(v).map_or(0, BTreeMap::len);
        assert!(
            voters("hold") + voters("back") <= 3 && voters("back") < 5,
            "{votes:?}"
        );
    }
}

#[test]
fn holds_or_rolls_back_a_failing_build_of_which_each_agent_sees_little() {
    let behavior = |rng: &mut Pcg64Mcg, _: Duration, _: usize, build: u32| {
        let fails = build == 2 && rng.gen_bool(0.3);
        (
            if fails {
                Outcome::Failed
            } else {
                Outcome::Succeeded
            },
            exponential(rng, 0.15),
        )
    };
    for seed in 1..4 {
        let votes = rollout(seed, &behavior);
        let first = votes
            .iter()
            .filter(|v| *v.0 != "none")
            .flat_map(|v| v.1.values())
            .min();
        assert!(first.is_some_and(|t| *t < ms(14_500)), "{votes:?}");
        assert!(votes.get("back").map_or(0, BTreeMap::len) >= 5, "{votes:?}");
    }
}

#[test]
fn several_agents_roll_back_a_build_that_slows_all_but_not_a_good_one() {
    for (seed, slows) in [(1, true), (2, true), (3, false), (4, false), (5, false)] {
        let behavior = |rng: &mut Pcg64Mcg, now: Duration, _: usize, _: u32| {
            let mean = if slows && now > ms(11_000) { 0.5 } else { 0.15 };
            (Outcome::Succeeded, exponential(rng, mean))
        };
        let votes = rollout(seed, &behavior);
        let back = votes.get("back").map_or(0, BTreeMap::len);
        assert!(
            if slows { back >= 5 } else { back < 3 },
            "slows {slows}: {votes:?}"
        );
    }
}

#[test]
fn does_not_hold_a_build_for_a_surge_that_slows_all() {
    for seed in 1..3 {
        let behavior = |rng: &mut Pcg64Mcg, now: Duration, _: usize, _: u32| {
            (
                Outcome::Succeeded,
                exponential(rng, if now > ms(9500) { 0.5 } else { 0.15 }),
            )
        };
        let votes = surge(seed, 2.0, 0.0, &behavior);
        assert!(votes.get("back").map_or(0, BTreeMap::len) < 5, "{votes:?}");
    }
}

#[test]
fn rolls_back_for_few_reported_errors_at_each_agent_but_not_for_single_ones() {
    let behavior = |rng: &mut Pcg64Mcg, _: Duration, _: usize, _: u32| {
        (Outcome::Succeeded, exponential(rng, 0.15))
    };
    for (seed, reported_share) in [(1, 0.045), (2, 0.045), (3, 0.002), (4, 0.002)] {
        let votes = surge(seed, 1.0, reported_share, &behavior);
        let back = votes.get("back").map_or(0, BTreeMap::len);
        assert!(
            if reported_share > 0.01 {
                back >= 5
            } else {
                back < 5
            },
            "{reported_share}: {votes:?}"
        );
    }
}

/// Guards large fleets before the platform's first status: each decision walked all endpoints for
/// each of them, 5.2 ms at 1,024 where it takes 0.04 ms now.
#[test]
fn decides_as_fast_among_a_thousand_endpoints_without_a_rollout_status() {
    let mut balancer = fleet(1, |d| d.agents = 1024).remove(0);
    let list: Vec<EndpointEntry> = (0..1024).map(|i| endpoint_entry(i, 41, None)).collect();
    balancer.update_endpoints(ms(1000), &list, true);
    let begun = std::time::Instant::now();
    for id in 0..200 {
        let request = Request {
            class: 0,
            tenant: None,
            key: None,
            time_left: ms(1000),
            estimated_work: None,
            is_retry: false,
        };
        balancer.on_request(ms(1000), id, request);
        assert!(matches!(
            balancer.route(ms(1000), id),
            Decision::Forward { .. }
        ));
        let end = AttemptEnd {
            outcome: Outcome::Succeeded,
            latency: ms(15),
            request_closed: true,
            reported_load: None,
        };
        balancer.on_attempt_end(ms(1015), id, 0, end);
    }
    assert!(begun.elapsed() < ms(2000), "{:?} for 200", begun.elapsed());
}
