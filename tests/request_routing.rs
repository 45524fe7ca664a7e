//! Where requests are forwarded, retried, hedged and rejected, a small case for each fault that was
//! found.

mod harness;

use harness::*;
use std::time::Duration;
use tulipwall::*;

#[test]
fn keeps_admitting_load_after_a_build_that_made_all_work_slower() {
    let mut w = canary_rollout(|d| d.rollout.caps[0] = 1.0);
    w.update_endpoints(
        &(10..24)
            .map(|i| endpoint_entry(i, 8, Some(1100)))
            .collect::<Vec<_>>(),
    );
    let play = |w: &mut Harness, from: u64, n: u64, slow: u64| {
        for id in from..from + n {
            w.send_request(id, 0, ms(1500));
            w.advance(ms(10));
            let took = |i: usize| ms(if i >= 8 { slow } else { 10 });
            let late = |d: &SentAttempt| d.ended.is_none() && w.now - d.sent >= took(d.endpoint);
            let over: Vec<(u64, usize)> = w
                .requests
                .iter()
                .filter_map(|(id, h)| Some((*id, h.attempts.iter().position(late)?)))
                .collect();
            over.into_iter()
                .for_each(|(id, n)| w.end_attempt(id, n, Outcome::Succeeded));
        }
    };
    play(&mut w, 1000, 1000, 60);
    w.update_endpoints(
        &(0..8)
            .map(|i| EndpointEntry {
                state: EndpointState::Gone,
                ..endpoint_entry(i, 7, None)
            })
            .collect::<Vec<_>>(),
    );
    w.update_rollout(RolloutStatus {
        phase: RolloutPhase::Released,
        ..canary_status(8, 0, 1.0)
    });
    play(&mut w, 2000, 3000, 300);
    let rejected = |h: &TrackedRequest| matches!(h.answers[..], [Decision::Reject { .. }]);
    let rejected = w
        .requests
        .range(4000..5000)
        .filter(|h| rejected(h.1))
        .count();
    assert!(rejected < 300, "{rejected} of the last 1000");
}

#[test]
fn rejects_a_request_that_no_endpoint_takes_in_the_first_half_of_its_time() {
    let mut w = Harness::new(default_settings(6));
    w.update_rollout(canary_status(8, 0, 0.0));
    w.update_endpoints(&[endpoint_entry(0, 8, None)]);
    w.send_request(0, 2, ms(2000));
    w.advance(ms(1000));
    assert!(
        matches!(w.requests[&0].answers[..], [Decision::Reject { .. }]),
        "{:?}",
        w.requests[&0].answers
    );
}

#[test]
fn treats_an_unannounced_build_as_in_the_first_stage_and_sends_nothing_at_cap_zero() {
    let mut w = canary_rollout(|_| {});
    w.update_rollout(RolloutStatus {
        phase: RolloutPhase::Released,
        ..canary_status(8, 2, 1.0)
    });
    w.update_endpoints(&[endpoint_entry(10, 9, None)]);
    w.serve(100, 0, ms(20), |_| Outcome::Succeeded);
    let before = attempts_to(&w, 9);
    assert!(before > 0);
    w.update_rollout(RolloutStatus {
        phase: RolloutPhase::RollingBack,
        ..canary_status(9, 0, 0.0)
    });
    w.serve(60, 0, ms(20), |_| Outcome::Succeeded);
    assert_eq!(attempts_to(&w, 9), before);
}

#[test]
fn retries_a_non_idempotent_request_only_if_it_never_ran() {
    let mut w = canary_rollout(|_| {});
    for (id, outcome, sends) in [
        (900, Outcome::Rejected, 2),
        (901, Outcome::ConnectionLost, 1),
    ] {
        w.send_request(id, 2, ms(1500));
        w.end_attempt(id, 0, outcome);
        assert_eq!(w.requests[&id].attempts.len(), sends);
    }
    assert_eq!(
        w.requests[&901].answers,
        [Decision::Fail],
        "given up at once"
    );
}

#[test]
fn leaves_an_unresponsive_endpoint_and_tries_it_again_after_its_ejection() {
    let mut w = canary_rollout(|_| {});
    let unresponsive = 3;
    for id in 1000..1120 {
        w.send_request(id, 0, ms(1500));
        w.advance(ms(20));
        for n in 0..w.requests[&id].attempts.len() {
            let d = &w.requests[&id].attempts[n];
            if d.ended.is_none() && d.endpoint != unresponsive {
                w.end_attempt(id, n, Outcome::Succeeded);
            }
        }
    }
    w.advance(ms(2000));
    let saved = |h: &TrackedRequest| {
        h.attempts.len() > 1 && h.attempts.iter().any(|d| d.endpoint == unresponsive)
    };
    assert!(
        w.requests.values().any(saved),
        "its requests went elsewhere"
    );
    let before = w.forwarded.iter().filter(|s| s.1 == unresponsive).count();
    assert!(before < 12, "{before} to an unresponsive endpoint");
    w.serve(600, 0, ms(20), |_| Outcome::Succeeded);
    assert!(
        w.forwarded.iter().filter(|s| s.1 == unresponsive).count() > before + 20,
        "back in use"
    );
}

#[test]
fn rejects_the_least_valuable_class_under_overload_with_a_retry_after() {
    let mut w = Harness::new(Settings {
        weight_by_work: true,
        tenants: Vec::new(),
        ..default_settings(2)
    });
    w.update_endpoints(
        &(0..4)
            .map(|i| endpoint_entry(i, 7, None))
            .collect::<Vec<_>>(),
    );
    for id in 0..900 {
        w.send_request(id, [0, 2][id as usize % 2], ms(3000));
        w.advance(ms(5));
        if id % 4 == 0 {
            let oldest = w
                .requests
                .iter()
                .find(|h| h.1.attempts.iter().any(|d| d.ended.is_none()));
            let (id, h) = oldest.unwrap();
            let (id, n) = (
                *id,
                h.attempts.iter().position(|d| d.ended.is_none()).unwrap(),
            );
            w.end_attempt(id, n, Outcome::Succeeded);
        }
    }
    let rejected = |class| {
        let of = w.requests.values().filter(|h| h.class == class);
        of.filter(|h| {
            matches!(
                h.answers[..],
                [Decision::Reject {
                    retry_after: Some(_)
                }]
            )
        })
        .count()
    };
    assert!(
        rejected(0) > rejected(2) && rejected(0) > 100,
        "{} {}",
        rejected(0),
        rejected(2)
    );
    let kept = |h: &TrackedRequest| {
        h.attempts.is_empty() || !matches!(h.answers[..], [Decision::Reject { .. }])
    };
    assert!(w.requests.values().all(kept));
}

#[test]
fn backs_off_from_a_failing_list_but_always_calls_again() {
    let mut d = default_settings(3);
    d.list_polled = true;
    let mut w = Harness::new(d);
    w.advance(ms(100));
    let mut waits = Vec::new();
    for n in 2..8 {
        let from = w.now;
        w.balancer.on_list_failure(w.now);
        while w.list_calls < n {
            w.advance(ms(10));
        }
        waits.push(w.now - from);
    }
    assert!(
        waits[5] > waits[0] * 4 && waits[5] < ms(15_000),
        "{waits:?}"
    );
}

#[test]
fn treats_endpoints_missing_from_a_complete_list_as_gone() {
    let mut w = canary_rollout(|_| {});
    let kept: Vec<EndpointEntry> = (0..3).map(|i| endpoint_entry(i, 7, None)).collect();
    w.balancer.update_endpoints(w.now, &kept, true);
    let before = w.forwarded.len();
    w.serve(60, 0, ms(20), |_| Outcome::Succeeded);
    assert!(w.forwarded[before..].iter().all(|s| s.1 < 3));
}

#[test]
fn treats_no_endpoint_as_unresponsive_after_an_own_stall_and_hedges_late_answers_in_time() {
    for stalled in [true, false] {
        let mut w = canary_rollout(|d| d.hedging = true);
        w.send_request(7000, 0, ms(1500));
        if stalled {
            w.now += ms(300);
            let answer = w.balancer.route(w.now, 7000);
            assert!(matches!(answer, Decision::Defer { .. }), "{answer:?}");
        } else {
            w.advance(w.settings.classes[0].latency_objective.mul_f64(0.55));
            assert_eq!(w.requests[&7000].attempts.len(), 2);
        }
    }
}

#[test]
fn moves_the_load_of_earlier_endpoints_that_stay_until_the_release_to_the_canary() {
    let mut w = canary_rollout(|d| d.rollout.caps[0] = 1.0);
    w.update_rollout(canary_status(8, 2, 1.0));
    w.update_endpoints(
        &(8..16)
            .map(|i| endpoint_entry(i, 8, Some(1100)))
            .collect::<Vec<_>>(),
    );
    let before = attempts_to(&w, 8);
    w.serve(200, 0, ms(20), |_| Outcome::Succeeded);
    assert!(
        attempts_to(&w, 8) - before > 150,
        "{}",
        attempts_to(&w, 8) - before
    );
}

/// Attempts to the local and to the remote zone (endpoints of odd index) under this policy.
fn attempts_by_zone(far: ZonePolicy, class: usize, entries: &[EndpointEntry]) -> [usize; 2] {
    let mut w = Harness::new(default_settings(3));
    w.update_endpoints(entries);
    w.balancer.set_cross_zone_policy(CrossZonePolicy {
        zones: vec![ZonePolicy::default(), far],
        slow_start_factor: 1.0,
    });
    w.serve(200, class, ms(10), |_| Outcome::Succeeded);
    let far = w.forwarded.iter().filter(|(_, i)| i % 2 == 1).count();
    [w.forwarded.len() - far, far]
}

#[test]
fn weighs_remote_zones_by_policy_and_uses_a_last_resort_only_without_local_endpoints() {
    let four: Vec<EndpointEntry> = (0..4).map(|i| endpoint_entry(i, 7, None)).collect();
    let [near, far] = attempts_by_zone(
        ZonePolicy {
            weight: Some(0.1),
            ..ZonePolicy::default()
        },
        0,
        &four,
    );
    assert!(far > 3 && near > 4 * far, "{near} {far}");
    let last = ZonePolicy {
        weight: Some(1.0),
        last_resort: vec![true, false, false],
        ..ZonePolicy::default()
    };
    assert_eq!(attempts_by_zone(last.clone(), 0, &four), [200, 0]);
    let [_, other_class] = attempts_by_zone(last.clone(), 2, &four);
    assert!(other_class > 50, "only the classes that are named");
    let drained: Vec<EndpointEntry> = (0..4)
        .map(|i| EndpointEntry {
            state: [EndpointState::Draining, EndpointState::Running][i % 2],
            ..endpoint_entry(i, 7, None)
        })
        .collect();
    assert_eq!(attempts_by_zone(last, 0, &drained), [0, 200]);
}

#[test]
fn moves_an_endpoint_that_returns_in_another_zone_with_the_same_build() {
    let mut w = Harness::new(default_settings(4));
    w.update_endpoints(&[endpoint_entry(0, 7, None)]);
    assert_eq!(
        w.balancer
            .zone_capacities(w.now, 2)
            .iter()
            .map(|r| r.running)
            .collect::<Vec<_>>(),
        [1, 0]
    );
    w.update_endpoints(&[EndpointEntry {
        zone: 1,
        ..endpoint_entry(0, 7, None)
    }]);
    assert_eq!(
        w.balancer
            .zone_capacities(w.now, 2)
            .iter()
            .map(|r| r.running)
            .collect::<Vec<_>>(),
        [0, 1]
    );
}

/// One endpoint lost its answer; whether a repeat is recognized or not, the final answer comes in
/// time.
fn lose_one_attempt(window: Duration, passes: Duration) -> (Harness, Vec<Decision>) {
    let mut d = default_settings(11);
    d.classes[1].idempotency = Idempotency::Keyed {
        scope: DeduplicationScope::All,
        window,
    };
    let mut w = Harness::new(d);
    w.update_endpoints(&[endpoint_entry(0, 7, None)]);
    w.send_request(1, 1, ms(2000));
    w.update_endpoints(&[EndpointEntry {
        state: EndpointState::Draining,
        ..endpoint_entry(0, 7, None)
    }]);
    w.end_attempt(1, 0, Outcome::ConnectionLost);
    w.advance(passes);
    let answers = w.requests[&1].answers.clone();
    (w, answers)
}

#[test]
fn fails_a_keyed_request_past_its_deduplication_window_at_once() {
    assert_eq!(
        lose_one_attempt(ms(300), ms(400)).1,
        [Decision::Fail],
        "nothing may go out any more, nor a retry come"
    );
    assert!(
        lose_one_attempt(ms(3000), ms(400)).1.is_empty(),
        "it waits for an endpoint to repeat it at"
    );
}

#[test]
fn allows_an_attempt_until_the_deadline_and_a_repeat_within_the_deduplication_window() {
    let mut d = default_settings(11);
    d.classes[1].idempotency = Idempotency::Keyed {
        scope: DeduplicationScope::All,
        window: ms(300),
    };
    let mut w = Harness::new(d);
    w.update_endpoints(&[endpoint_entry(0, 7, None), endpoint_entry(1, 7, None)]);
    w.send_request(1, 1, ms(1000));
    let first = w.now;
    assert!(
        w.balancer.attempt_allowed(first + ms(900), 1, 0),
        "the first one repeats nothing, however late"
    );
    assert!(!w.balancer.attempt_allowed(first + ms(1000), 1, 0));
    w.end_attempt(1, 0, Outcome::ConnectionLost);
    assert_eq!(w.requests[&1].attempts.len(), 2);
    assert!(w.balancer.attempt_allowed(first + ms(290), 1, 1));
    assert!(!w.balancer.attempt_allowed(first + ms(300), 1, 1));
    assert!(
        !w.balancer.attempt_allowed(first, 1, 2) && !w.balancer.attempt_allowed(first, 2, 0),
        "what was never decided"
    );
}
