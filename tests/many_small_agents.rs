//! Hundreds of agents with little traffic each: two endpoint types, load reports, key affinity,
//! guarded stages, platform counts, and endpoints that are replaced in place.

use std::collections::BTreeMap;
use std::time::Duration;
use tulipwall::*;

mod harness;
use harness::{canary_status, default_settings, endpoint_entry, ms, Harness};

fn many_agents_settings(seed: u64, agents: u32) -> Settings {
    let mut d = Settings {
        agents,
        hedging: true,
        key_affinity: true,
        load_probes: true,
        ..default_settings(seed)
    };
    (d.overload_factor, d.tenants) = (2.0, Vec::new());
    let r = &mut d.rollout;
    (
        r.guarded_stages,
        r.cap_per_class,
        r.in_place,
        r.platform_counts,
    ) = (1, true, true, true);
    (r.caps, r.votes_to_roll_back, r.votes_to_hold) =
        (vec![0.048, 0.3, 1.0], agents / 4, agents / 3);
    d
}

fn fleet(agents: u32) -> Vec<Balancer> {
    (0..agents)
        .map(|i| {
            Balancer::new(
                ms(1000),
                many_agents_settings(u64::from(i) * 977 + 1, agents),
            )
        })
        .collect()
}

fn entries(
    indices: std::ops::Range<usize>,
    build: u32,
    started: Option<u64>,
) -> Vec<EndpointEntry> {
    indices
        .map(|i| EndpointEntry {
            zone: 0,
            endpoint_type: i % 2,
            ..endpoint_entry(i, build, started)
        })
        .collect()
}

fn request(class: usize, key: u64) -> Request {
    Request {
        class,
        tenant: None,
        key: Some(key),
        time_left: ms(1500),
        estimated_work: None,
        is_retry: false,
    }
}

/// Sends a request of this key, waiting if it is deferred, and returns the endpoint that gets it;
/// `None` if it is not forwarded.
fn route_request(
    balancer: &mut Balancer,
    now: Duration,
    id: u64,
    class: usize,
    key: u64,
) -> Option<usize> {
    balancer.on_request(now, id, request(class, key));
    let mut decision = balancer.route(now, id);
    if let Decision::Defer { until } = decision {
        balancer.poll(now);
        decision = balancer.route(until, id);
    }
    match decision {
        Decision::Forward { endpoint, .. } => Some(endpoint),
        _ => None,
    }
}

/// Guards against all agents choosing the one endpoint that is idle by the same old report.
#[test]
fn four_hundred_agents_on_one_stale_report_do_not_all_choose_the_idle_endpoint() {
    let mut requests_by_endpoint = BTreeMap::<usize, usize>::new();
    for (n, balancer) in fleet(400).iter_mut().enumerate() {
        balancer.update_endpoints(ms(1000), &entries(0..20, 1, None), true);
        (0..20).for_each(|i| {
            balancer.on_load_report(
                ms(1000),
                i,
                Outcome::Succeeded,
                Some(if i == 7 { 0.0 } else { 6.0 }),
            )
        });
        *requests_by_endpoint
            .entry(route_request(balancer, ms(1100), 1, 0, n as u64).unwrap())
            .or_default() += 1;
    }
    assert!(
        requests_by_endpoint[&7] < 80,
        "idle endpoint 7: expected little more than twice its equal share: {requests_by_endpoint:?}"
    );
    assert!(
        requests_by_endpoint[&7] > 20,
        "idle endpoint 7: expected more than its equal share: {requests_by_endpoint:?}"
    );
}

/// Guards against a popular key that overloads its affinity endpoint. That endpoint has to be the
/// same for all agents while it can take the load.
#[test]
fn a_key_has_one_affinity_endpoint_for_all_agents_until_it_is_busy() {
    let busiest_share = |load: f64| {
        let mut requests_by_endpoint = BTreeMap::<usize, usize>::new();
        for balancer in &mut fleet(100) {
            balancer.update_endpoints(ms(1000), &entries(0..20, 1, None), true);
            (0..20)
                .for_each(|i| balancer.on_load_report(ms(1000), i, Outcome::Succeeded, Some(4.0)));
            // Requests of other keys come in between: a key that repeats at once is popular and has
            // no affinity endpoint.
            if let Some(affinity_endpoint) = route_request(balancer, ms(1100), 1, 0, 4711) {
                let others = (10..50).filter_map(|n| route_request(balancer, ms(1150), n, 0, n));
                assert_eq!(others.count(), 40);
                balancer.on_load_report(
                    ms(1200),
                    affinity_endpoint,
                    Outcome::Succeeded,
                    Some(load),
                );
                *requests_by_endpoint
                    .entry(route_request(balancer, ms(1210), 2, 0, 4711).unwrap())
                    .or_default() += 1;
            }
        }
        requests_by_endpoint.values().copied().max().unwrap()
    };
    assert!(busiest_share(4.0) >= 95, "{}", busiest_share(4.0));
    assert!(busiest_share(40.0) < 30, "{}", busiest_share(40.0));
}

fn counts_of(
    build: u32,
    class: usize,
    attempts: f64,
    failed: f64,
    latency_ms: u64,
) -> PlatformCounts {
    PlatformCounts {
        build,
        class,
        attempts,
        failed,
        mean_latency: ms(latency_ms),
        age: ms(1000),
    }
}

/// Returns the verdict after five seconds of platform counts of an earlier build and a canary.
fn verdict(stage: usize, earlier: PlatformCounts, canary: PlatformCounts) -> Option<Verdict> {
    let mut w = Harness::new(many_agents_settings(5, 400));
    w.update_endpoints(&entries(0..20, 7, None));
    w.update_endpoints(&entries(20..22, 8, Some(900)));
    w.update_rollout(canary_status(8, stage, 0.3));
    for _ in 0..5 {
        w.balancer.on_platform_counts(&earlier);
        w.balancer.on_platform_counts(&canary);
        w.advance(ms(1000));
    }
    w.last_verdict()
}

/// Guards against a good build that counts as slow because its keys are not warm yet. Does harm
/// where a build is only a little slower.
#[test]
fn platform_counts_accept_a_good_build_without_warm_keys_but_not_a_slow_one() {
    assert_eq!(
        verdict(
            1,
            counts_of(7, 0, 200.0, 1.0, 100),
            counts_of(8, 0, 20.0, 0.0, 130)
        ),
        None
    );
    let slow = verdict(
        1,
        counts_of(7, 0, 200.0, 1.0, 100),
        counts_of(8, 0, 20.0, 0.0, 270),
    );
    assert_eq!(slow, Some(Verdict::RollBack));
}

/// Guards against a class that fails only after the guarded stages, and against invalid platform
/// counts.
#[test]
fn rolls_back_a_non_idempotent_class_that_fails_after_the_guarded_stages() {
    let bad = verdict(
        1,
        counts_of(7, 2, 100.0, 1.0, 100),
        counts_of(8, 2, 12.0, 7.0, 100),
    );
    assert_eq!(bad, Some(Verdict::RollBack));
    assert_eq!(
        verdict(
            1,
            counts_of(7, 2, 100.0, 1.0, 100),
            counts_of(8, 99, -5.0, f64::NAN, 0)
        ),
        None
    );
    assert_eq!(
        verdict(
            1,
            counts_of(7, 2, 100.0, 30.0, 100),
            counts_of(8, 2, 12.0, 4.0, 100)
        ),
        None,
        "a vote was cast although both builds fail alike"
    );
}

/// Guards against one invalid report that would make the totals of all later reports invalid.
#[test]
fn invalid_platform_counts_do_not_hide_a_bad_build() {
    let mut w = Harness::new(many_agents_settings(5, 400));
    w.update_endpoints(&entries(0..20, 7, None));
    w.update_endpoints(&entries(20..22, 8, Some(900)));
    w.update_rollout(canary_status(8, 1, 0.3));
    w.balancer
        .on_platform_counts(&counts_of(8, 0, 5.0, f64::NAN, 100));
    w.balancer
        .on_platform_counts(&counts_of(8, 0, f64::INFINITY, -3.0, 100));
    for _ in 0..5 {
        w.balancer
            .on_platform_counts(&counts_of(7, 0, 400.0, 2.0, 100));
        w.balancer
            .on_platform_counts(&counts_of(8, 0, 40.0, 20.0, 100));
        w.advance(ms(1000));
    }
    assert_eq!(w.last_verdict(), Some(Verdict::RollBack));
}

/// Guards against evidence that is dropped with its stage: platform counts arrive late, when the
/// build is already released. Does harm to a build that failed only at first.
#[test]
fn platform_counts_that_arrive_after_the_release_count_for_a_while() {
    let verdict_after = |elapsed: Duration| {
        let mut w = Harness::new(many_agents_settings(5, 400));
        w.update_endpoints(&entries(0..20, 7, None));
        w.update_endpoints(&entries(20..22, 8, Some(900)));
        w.update_rollout(canary_status(8, 1, 0.3));
        w.balancer
            .on_platform_counts(&counts_of(7, 0, 400.0, 2.0, 100));
        w.update_rollout(RolloutStatus {
            phase: RolloutPhase::Released,
            ..canary_status(8, 2, 1.0)
        });
        w.advance(elapsed);
        w.balancer
            .on_platform_counts(&counts_of(7, 0, 400.0, 2.0, 100));
        w.balancer
            .on_platform_counts(&counts_of(8, 0, 40.0, 20.0, 100));
        w.advance(ms(500));
        w.last_verdict()
    };
    assert_eq!(verdict_after(ms(100)), Some(Verdict::RollBack));
    assert_eq!(
        verdict_after(ms(16_000)),
        None,
        "a vote was cast long after the release"
    );
}

/// Guards against a fault on the path to some endpoints that is seen by just as many agents as can
/// vote for a rollback.
#[test]
fn does_not_roll_back_a_good_build_when_half_the_endpoints_are_unreachable() {
    let mut d = many_agents_settings(11, 56);
    (
        d.rollout.votes_to_roll_back,
        d.rollout.platform_counts,
        d.key_affinity,
        d.load_probes,
    ) = (2, false, false, false);
    let mut w = Harness::new(d);
    w.update_endpoints(&entries(0..10, 7, None));
    w.serve(60, 0, ms(40), |_| Outcome::Succeeded);
    w.update_endpoints(&entries(10..16, 8, Some(3000)));
    w.update_rollout(canary_status(8, 2, 1.0));
    w.serve(300, 0, ms(40), |e| {
        if e.endpoint % 2 == 0 {
            Outcome::ConnectionLost
        } else {
            Outcome::Succeeded
        }
    });
    assert!(
        w.votes.iter().all(|v| v.1.verdict != Verdict::RollBack),
        "{:?}",
        w.log_lines
    );
}

/// Guards against the first attempt of each of many agents, which together overload an endpoint in
/// slow start.
#[test]
fn half_the_fleet_in_slow_start_gets_no_more_than_its_share_from_all_agents() {
    // Nothing else limits the attempts: no key affinity, no load reports.
    let plain = |i: u64| Settings {
        key_affinity: false,
        load_probes: false,
        ..many_agents_settings(i * 977 + 1, 300)
    };
    let mut fleet: Vec<Balancer> = (0..300)
        .map(|i| Balancer::new(ms(1000), plain(i)))
        .collect();
    for balancer in &mut fleet {
        balancer.update_endpoints(ms(1000), &entries(0..20, 1, None), true);
        let released = RolloutStatus {
            phase: RolloutPhase::Released,
            ..canary_status(1, 2, 1.0)
        };
        balancer.update_rollout(released);
    }
    let (mut id, mut warming, mut warm) = (0, [0usize; 10], 0);
    for step in 0..1200u64 {
        let now = ms(1000 + step * 10);
        for (n, balancer) in fleet.iter_mut().enumerate() {
            if step == 1000 {
                balancer.update_endpoints(now, &entries(10..20, 1, Some(10_990)), false);
            }
            balancer.poll(now);
            if (step + n as u64 * 7).is_multiple_of(25) {
                id += 1;
                let Some(i) = route_request(balancer, now, id, 0, id) else {
                    continue;
                };
                let end = AttemptEnd {
                    outcome: Outcome::Succeeded,
                    latency: ms(60),
                    request_closed: true,
                    reported_load: Some(if i < 10 { 2.0 } else { 0.2 }),
                };
                balancer.on_attempt_end(now, id, 0, end);
                // Counts the first 1.5 s after the start.
                if (1000..1150).contains(&step) {
                    *(if i < 10 {
                        &mut warm
                    } else {
                        &mut warming[i - 10]
                    }) += 1;
                }
            }
        }
    }
    // The attempts of a warm endpoint, times the slow start share at the end of that time, times
    // seven tenths of the overload factor.
    let limit = (0.3 + 0.7 * 1.5 / 4.0) * 0.7 * 2.0 * warm as f64 / 10.0;
    assert!(
        warming.iter().all(|n| (*n as f64) < limit),
        "attempts to warming endpoints: {warming:?}, at most {limit} each; to warm ones {warm}"
    );
    // The warming endpoints are not idle either: each agent sends an attempt once its quota allows
    // one.
    assert!(warming.iter().sum::<usize>() > 60, "{warming:?}");
}

/// Guards against agents that have nothing but an endpoint list after a restart: they keep to the
/// first stage and evaluate nothing.
#[test]
fn a_restarted_agent_exposes_only_idempotent_classes_and_does_not_vote() {
    let mut w = Harness::new(many_agents_settings(3, 120));
    w.update_endpoints(&entries(0..6, 7, None));
    w.update_endpoints(&entries(6..12, 8, Some(500)));
    for id in 0..200 {
        if let Decision::Forward { endpoint, .. } =
            w.send_request(id, 1 + id as usize % 2, ms(1500))
        {
            assert!(
                endpoint < 6,
                "an unannounced build got a request that the first stage does not allow"
            );
        }
        w.advance(ms(20));
        (0..12).for_each(|i| while w.end_oldest_attempt(i, Outcome::Succeeded) {});
    }
    assert_eq!(w.last_verdict(), None);
}

/// Random choices alone are no divergence: for the same settings none is counted.
#[test]
fn counts_divergences_for_other_settings_but_none_for_the_same() {
    let mut d = many_agents_settings(9, 120);
    (d.rollout.guarded_stages, d.key_affinity, d.rollout.caps) = (0, false, vec![0.5, 0.5, 1.0]);
    let other = AlternativeSettings {
        guarded_stages: Some(1),
        caps: Some(vec![0.02]),
        key_affinity: Some(true),
        ..AlternativeSettings::default()
    };
    let mut shadows = [
        ShadowEvaluator::new(&d, &AlternativeSettings::default()),
        ShadowEvaluator::new(&d, &other),
    ];
    let (mut balancer, mut plain) = (
        Balancer::new(ms(1000), d.clone()),
        Balancer::new(ms(1000), d),
    );
    for c in [&mut balancer, &mut plain] {
        c.update_endpoints(ms(1000), &entries(0..6, 7, None), true);
        c.update_endpoints(ms(1000), &entries(6..9, 8, Some(900)), false);
        c.update_rollout(canary_status(8, 0, 0.5));
    }
    for id in 0..400 {
        let (now, class) = (ms(1000 + id * 30), id as usize % 3);
        for c in [&mut balancer, &mut plain] {
            c.poll(now);
            c.on_request(now, id, request(class, id % 9));
        }
        shadows
            .iter_mut()
            .for_each(|w| w.on_request(&balancer, class));
        let decision = balancer.route(now, id);
        assert_eq!(
            decision,
            plain.route(now, id),
            "shadow evaluation changed a decision"
        );
        if let Decision::Forward { endpoint, .. } = decision {
            shadows
                .iter_mut()
                .for_each(|w| w.on_attempt(now, &balancer, class, Some(id % 9), endpoint));
        }
        for c in [&mut balancer, &mut plain] {
            c.on_attempt_end(
                now,
                id,
                0,
                AttemptEnd {
                    outcome: Outcome::Succeeded,
                    latency: ms(20),
                    request_closed: true,
                    reported_load: None,
                },
            );
        }
    }
    let [same, other] = shadows.map(|w| w.divergences());
    assert_eq!(
        same,
        Divergences {
            attempts: same.attempts,
            ..Divergences::default()
        }
    );
    assert!(
        other.guarded > 10 && other.exposure > 10 && other.affinity > 100,
        "{other}"
    );
}

fn succeeded(latency_ms: u64, reported_load: Option<f64>) -> AttemptEnd {
    AttemptEnd {
        outcome: Outcome::Succeeded,
        latency: ms(latency_ms),
        request_closed: true,
        reported_load,
    }
}

fn plain(agents: u32) -> Balancer {
    Balancer::new(
        ms(1000),
        Settings {
            key_affinity: false,
            load_probes: false,
            ..many_agents_settings(7, agents)
        },
    )
}

/// Guards against hedged requests that slow down all requests under overload: one of hundreds of
/// agents has one or two requests in flight, far below any limit of its own. Does harm to a request
/// on a slow endpoint in a surge, which waits longer for its hedge.
#[test]
fn hedges_early_only_while_responses_are_fast() {
    let hedges = |latency_ms: u64| {
        let mut balancer = plain(300);
        balancer.update_endpoints(ms(1000), &entries(0..10, 1, None), true);
        for id in 0..200 {
            let now = ms(1000 + id * 100);
            balancer.poll(now);
            route_request(&mut balancer, now, id, 0, id).unwrap();
            balancer.on_attempt_end(now + ms(latency_ms), id, 0, succeeded(latency_ms, None));
        }
        balancer.poll(ms(21_500));
        route_request(&mut balancer, ms(21_500), 1000, 0, 1).unwrap();
        (216..219).for_each(|t| drop(balancer.poll(ms(t * 100))));
        matches!(balancer.route(ms(21_830), 1000), Decision::Forward { .. })
    };
    assert!(hedges(40), "no hedge although responses are fast");
    assert!(!hedges(200));
}

/// Guards against heavy requests on slow hardware that happens to be idle. Does no harm where
/// endpoint types are alike or requests have no estimate.
#[test]
fn sends_heavy_requests_to_the_faster_endpoint_type() {
    let mut balancer = plain(300);
    balancer.update_endpoints(ms(1000), &entries(0..20, 1, None), true);
    let mut slow = [0, 0];
    for id in 0..2400 {
        let (now, heavy) = (ms(1000 + id * 20), id % 2 == 1);
        balancer.poll(now);
        let work = Some(ms(if heavy { 200 } else { 20 }));
        balancer.on_request(
            now,
            id,
            Request {
                estimated_work: work,
                ..request(0, id)
            },
        );
        let Decision::Forward { endpoint, .. } = balancer.route(now, id) else {
            panic!("the request was not forwarded")
        };
        balancer.on_attempt_end(
            now,
            id,
            0,
            succeeded(if endpoint % 2 == 0 { 40 } else { 80 }, Some(2.0)),
        );
        slow[usize::from(heavy)] += usize::from(id > 400 && endpoint % 2 == 1);
    }
    assert!(
        slow[0] > 60 && slow[1] < 30,
        "light and heavy requests on the slow type, of 1000 each: {slow:?}"
    );
}

/// Guards against a bad build whose only failing class is rare, so that there are too few outcomes
/// of the earlier build to compare it with. Does harm to a class that the earlier build failed as
/// badly and hardly ever got.
#[test]
fn detects_a_failing_rare_class_by_the_baseline_of_all_classes() {
    let voted = |earlier_requests: u64, fails: bool| {
        let mut d = many_agents_settings(13, 120);
        (
            d.rollout.votes_to_roll_back,
            d.rollout.platform_counts,
            d.key_affinity,
            d.load_probes,
        ) = (4, false, false, false);
        let mut w = Harness::new(d);
        w.update_endpoints(&entries(0..10, 7, None));
        w.serve(120, 0, ms(40), |_| Outcome::Succeeded);
        w.serve(earlier_requests, 2, ms(40), |_| Outcome::Succeeded);
        w.update_endpoints(&entries(10..16, 8, Some(3000)));
        w.update_rollout(canary_status(8, 2, 1.0));
        w.advance(ms(4500));
        w.update_endpoints(
            &(0..10)
                .map(|i| EndpointEntry {
                    state: EndpointState::Draining,
                    ..endpoint_entry(i, 7, None)
                })
                .collect::<Vec<_>>(),
        );
        w.serve(40, 0, ms(40), |_| Outcome::Succeeded);
        w.serve(9, 2, ms(40), |e| {
            if fails && e.endpoint != 12 {
                Outcome::Failed
            } else {
                Outcome::Succeeded
            }
        });
        w.votes.iter().any(|v| v.1.verdict != Verdict::Withdraw)
    };
    assert!(voted(4, true));
    assert!(
        !voted(4, false),
        "a vote was cast although no request failed"
    );
    assert!(
        !voted(0, true),
        "a vote was cast for a class without outcomes of the earlier build"
    );
}

/// Guards against non-idempotent classes that follow the capacity to the canary while a stage is
/// guarded and fewer and fewer earlier endpoints are left. Does harm to these classes: what the
/// last endpoints cannot take is rejected.
#[test]
fn a_guarded_stage_exposes_only_idempotent_classes_however_few_earlier_endpoints_are_left() {
    let mut w = Harness::new(Settings {
        key_affinity: false,
        load_probes: false,
        ..many_agents_settings(17, 120)
    });
    w.update_endpoints(&entries(0..6, 7, None));
    (0..3).for_each(|class| w.serve(40, class, ms(20), |_| Outcome::Succeeded));
    w.update_endpoints(&entries(6..12, 8, Some(3000)));
    w.update_rollout(canary_status(8, 0, 0.3));
    w.advance(ms(4500));
    let before = w.requests.len() as u64;
    for remaining in (1..6).rev() {
        w.update_endpoints(&[EndpointEntry {
            state: EndpointState::Draining,
            ..endpoint_entry(remaining, 7, None)
        }]);
        (0..3).for_each(|class| w.serve(20, class, ms(20), |_| Outcome::Succeeded));
    }
    let attempts_at_canary = |class| {
        let of_class = w.requests.range(before..).filter(|(_, h)| h.class == class);
        of_class
            .flat_map(|(_, h)| &h.attempts)
            .filter(|d| d.endpoint >= 6)
            .count()
    };
    assert_eq!((attempts_at_canary(1), attempts_at_canary(2)), (0, 0));
    assert!(
        attempts_at_canary(0) > 10,
        "too few idempotent requests to the canary: {}",
        attempts_at_canary(0)
    );
}
