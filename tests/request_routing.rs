//! Where requests are forwarded, retried, hedged and rejected: a small case for each fault that was
//! found.

mod harness;

use harness::*;
use std::time::Duration;
use tulipwall::*;

#[test]
fn keeps_admitting_requests_after_a_build_that_slows_all_requests() {
    let mut driver = canary_rollout(|d| d.rollout.caps[0] = 1.0);
    driver.update_endpoints(
        &(10..24)
            .map(|i| endpoint_entry(i, 8, Some(1100)))
            .collect::<Vec<_>>(),
    );
    let send_requests = |driver: &mut Harness, from: u64, n: u64, slow: u64| {
        for id in from..from + n {
            driver.send_request(id, 0, ms(1500));
            driver.advance(ms(10));
            let latency = |i: usize| ms(if i >= 8 { slow } else { 10 });
            let is_due =
                |d: &SentAttempt| d.ended.is_none() && driver.now - d.sent >= latency(d.endpoint);
            let due: Vec<(u64, usize)> = driver
                .requests
                .iter()
                .filter_map(|(id, h)| Some((*id, h.attempts.iter().position(is_due)?)))
                .collect();
            due.into_iter()
                .for_each(|(id, n)| driver.end_attempt(id, n, Outcome::Succeeded));
        }
    };
    send_requests(&mut driver, 1000, 1000, 60);
    driver.update_endpoints(
        &(0..8)
            .map(|i| EndpointEntry {
                state: EndpointState::Gone,
                ..endpoint_entry(i, 7, None)
            })
            .collect::<Vec<_>>(),
    );
    driver.update_rollout(RolloutStatus {
        phase: RolloutPhase::Released,
        ..canary_status(8, 0, 1.0)
    });
    send_requests(&mut driver, 2000, 3000, 300);
    let rejected = |h: &TrackedRequest| matches!(h.answers[..], [Decision::Reject { .. }]);
    let rejected = driver
        .requests
        .range(4000..5000)
        .filter(|h| rejected(h.1))
        .count();
    assert!(
        rejected < 300,
        "{rejected} of the last 1000 requests rejected"
    );
}

#[test]
fn rejects_a_request_that_no_endpoint_takes_in_the_first_half_of_its_time() {
    let mut driver = Harness::new(default_settings(6));
    driver.update_rollout(canary_status(8, 0, 0.0));
    driver.update_endpoints(&[endpoint_entry(0, 8, None)]);
    driver.send_request(0, 2, ms(2000));
    driver.advance(ms(1000));
    assert!(
        matches!(driver.requests[&0].answers[..], [Decision::Reject { .. }]),
        "{:?}",
        driver.requests[&0].answers
    );
}

#[test]
fn limits_an_unannounced_build_to_the_first_stage_and_sends_nothing_at_cap_zero() {
    let mut driver = canary_rollout(|_| {});
    driver.update_rollout(RolloutStatus {
        phase: RolloutPhase::Released,
        ..canary_status(8, 2, 1.0)
    });
    driver.update_endpoints(&[endpoint_entry(10, 9, None)]);
    driver.serve(100, 0, ms(20), |_| Outcome::Succeeded);
    let before = attempts_to(&driver, 9);
    assert!(before > 0);
    driver.update_rollout(RolloutStatus {
        phase: RolloutPhase::RollingBack,
        ..canary_status(9, 0, 0.0)
    });
    driver.serve(60, 0, ms(20), |_| Outcome::Succeeded);
    assert_eq!(attempts_to(&driver, 9), before);
}

#[test]
fn retries_a_non_idempotent_request_only_if_it_never_ran() {
    let mut driver = canary_rollout(|_| {});
    for (id, outcome, expected_attempts) in [
        (900, Outcome::Rejected, 2),
        (901, Outcome::ConnectionLost, 1),
    ] {
        driver.send_request(id, 2, ms(1500));
        driver.end_attempt(id, 0, outcome);
        assert_eq!(driver.requests[&id].attempts.len(), expected_attempts);
    }
    assert_eq!(
        driver.requests[&901].answers,
        [Decision::Fail],
        "expected the request to fail at once"
    );
}

#[test]
fn leaves_an_unresponsive_endpoint_and_tries_it_again_after_its_ejection() {
    let mut driver = canary_rollout(|_| {});
    let unresponsive = 3;
    for id in 1000..1120 {
        driver.send_request(id, 0, ms(1500));
        driver.advance(ms(20));
        for n in 0..driver.requests[&id].attempts.len() {
            let d = &driver.requests[&id].attempts[n];
            if d.ended.is_none() && d.endpoint != unresponsive {
                driver.end_attempt(id, n, Outcome::Succeeded);
            }
        }
    }
    driver.advance(ms(2000));
    let was_retried_elsewhere = |h: &TrackedRequest| {
        h.attempts.len() > 1 && h.attempts.iter().any(|d| d.endpoint == unresponsive)
    };
    assert!(
        driver.requests.values().any(was_retried_elsewhere),
        "no request was retried at another endpoint"
    );
    let before = driver
        .forwarded
        .iter()
        .filter(|s| s.1 == unresponsive)
        .count();
    assert!(before < 12, "{before} attempts to an unresponsive endpoint");
    driver.serve(600, 0, ms(20), |_| Outcome::Succeeded);
    assert!(
        driver
            .forwarded
            .iter()
            .filter(|s| s.1 == unresponsive)
            .count()
            > before + 20,
        "too few attempts after the ejection"
    );
}

#[test]
fn rejects_the_least_valuable_class_under_overload_with_a_retry_after() {
    let mut driver = Harness::new(Settings {
        weight_by_work: true,
        tenants: Vec::new(),
        ..default_settings(2)
    });
    driver.update_endpoints(
        &(0..4)
            .map(|i| endpoint_entry(i, 7, None))
            .collect::<Vec<_>>(),
    );
    for id in 0..900 {
        driver.send_request(id, [0, 2][id as usize % 2], ms(3000));
        driver.advance(ms(5));
        if id % 4 == 0 {
            let oldest = driver
                .requests
                .iter()
                .find(|h| h.1.attempts.iter().any(|d| d.ended.is_none()));
            let (id, h) = oldest.unwrap();
            let (id, n) = (
                *id,
                h.attempts.iter().position(|d| d.ended.is_none()).unwrap(),
            );
            driver.end_attempt(id, n, Outcome::Succeeded);
        }
    }
    let rejected = |class| {
        let of_class = driver.requests.values().filter(|h| h.class == class);
        of_class
            .filter(|h| {
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
        "rejected: {} of class 0, {} of class 2",
        rejected(0),
        rejected(2)
    );
    let sent_is_not_rejected = |h: &TrackedRequest| {
        h.attempts.is_empty() || !matches!(h.answers[..], [Decision::Reject { .. }])
    };
    assert!(driver.requests.values().all(sent_is_not_rejected));
}

#[test]
fn backs_off_from_failing_list_calls_but_always_calls_again() {
    let mut d = default_settings(3);
    d.list_polled = true;
    let mut driver = Harness::new(d);
    driver.advance(ms(100));
    let mut waits = Vec::new();
    for n in 2..8 {
        let from = driver.now;
        driver.balancer.on_list_failure(driver.now);
        while driver.list_calls < n {
            driver.advance(ms(10));
        }
        waits.push(driver.now - from);
    }
    assert!(
        waits[5] > waits[0] * 4 && waits[5] < ms(15_000),
        "{waits:?}"
    );
}

#[test]
fn treats_endpoints_missing_from_a_complete_list_as_gone() {
    let mut driver = canary_rollout(|_| {});
    let sent_is_not_rejected: Vec<EndpointEntry> =
        (0..3).map(|i| endpoint_entry(i, 7, None)).collect();
    driver
        .balancer
        .update_endpoints(driver.now, &sent_is_not_rejected, true);
    let before = driver.forwarded.len();
    driver.serve(60, 0, ms(20), |_| Outcome::Succeeded);
    assert!(driver.forwarded[before..].iter().all(|s| s.1 < 3));
}

#[test]
fn ignores_silence_during_a_stall_of_the_agent_but_hedges_late_responses() {
    for stalled in [true, false] {
        let mut driver = canary_rollout(|d| d.hedging = true);
        driver.send_request(7000, 0, ms(1500));
        if stalled {
            driver.now += ms(300);
            let answer = driver.balancer.route(driver.now, 7000);
            assert!(matches!(answer, Decision::Defer { .. }), "{answer:?}");
        } else {
            driver.advance(driver.settings.classes[0].latency_objective.mul_f64(0.55));
            assert_eq!(driver.requests[&7000].attempts.len(), 2);
        }
    }
}

#[test]
fn endpoints_removed_at_the_release_cede_their_load_to_the_canary() {
    let mut driver = canary_rollout(|d| d.rollout.caps[0] = 1.0);
    driver.update_rollout(canary_status(8, 2, 1.0));
    driver.update_endpoints(
        &(8..16)
            .map(|i| endpoint_entry(i, 8, Some(1100)))
            .collect::<Vec<_>>(),
    );
    let before = attempts_to(&driver, 8);
    driver.serve(200, 0, ms(20), |_| Outcome::Succeeded);
    assert!(
        attempts_to(&driver, 8) - before > 150,
        "{}",
        attempts_to(&driver, 8) - before
    );
}

/// Attempts to the local and to the remote zone, whose endpoints have odd indices, under this
/// policy.
fn attempts_by_zone(remote: ZonePolicy, class: usize, entries: &[EndpointEntry]) -> [usize; 2] {
    let mut driver = Harness::new(default_settings(3));
    driver.update_endpoints(entries);
    driver.balancer.set_cross_zone_policy(CrossZonePolicy {
        zones: vec![ZonePolicy::default(), remote],
        slow_start_factor: 1.0,
    });
    driver.serve(200, class, ms(10), |_| Outcome::Succeeded);
    let remote = driver.forwarded.iter().filter(|(_, i)| i % 2 == 1).count();
    [driver.forwarded.len() - remote, remote]
}

#[test]
fn weighs_remote_zones_by_policy_and_uses_a_last_resort_only_without_local_endpoints() {
    let four_endpoints: Vec<EndpointEntry> = (0..4).map(|i| endpoint_entry(i, 7, None)).collect();
    let [local, remote] = attempts_by_zone(
        ZonePolicy {
            weight: Some(0.1),
            ..ZonePolicy::default()
        },
        0,
        &four_endpoints,
    );
    assert!(
        remote > 3 && local > 4 * remote,
        "{local} local, {remote} remote"
    );
    let last_resort_zone = ZonePolicy {
        weight: Some(1.0),
        last_resort: vec![true, false, false],
        ..ZonePolicy::default()
    };
    assert_eq!(
        attempts_by_zone(last_resort_zone.clone(), 0, &four_endpoints),
        [200, 0]
    );
    let [_, other_class] = attempts_by_zone(last_resort_zone.clone(), 2, &four_endpoints);
    assert!(
        other_class > 50,
        "the last resort applies only to the configured classes"
    );
    let drained: Vec<EndpointEntry> = (0..4)
        .map(|i| EndpointEntry {
            state: [EndpointState::Draining, EndpointState::Running][i % 2],
            ..endpoint_entry(i, 7, None)
        })
        .collect();
    assert_eq!(attempts_by_zone(last_resort_zone, 0, &drained), [0, 200]);
}

#[test]
fn moves_an_endpoint_that_returns_in_another_zone_with_the_same_build() {
    let mut driver = Harness::new(default_settings(4));
    driver.update_endpoints(&[endpoint_entry(0, 7, None)]);
    assert_eq!(
        driver
            .balancer
            .zone_capacities(driver.now, 2)
            .iter()
            .map(|r| r.running)
            .collect::<Vec<_>>(),
        [1, 0]
    );
    driver.update_endpoints(&[EndpointEntry {
        zone: 1,
        ..endpoint_entry(0, 7, None)
    }]);
    assert_eq!(
        driver
            .balancer
            .zone_capacities(driver.now, 2)
            .iter()
            .map(|r| r.running)
            .collect::<Vec<_>>(),
        [0, 1]
    );
}

/// Loses the connection of a keyed request's first attempt at the only endpoint, which is draining
/// by then, and returns the harness and the decisions on the request once `elapsed` has passed.
/// Whether or not a repeat is still recognized, the final answer comes in time.
fn lose_one_attempt(window: Duration, elapsed: Duration) -> (Harness, Vec<Decision>) {
    let mut d = default_settings(11);
    d.classes[1].idempotency = Idempotency::Keyed {
        scope: DeduplicationScope::All,
        window,
    };
    let mut driver = Harness::new(d);
    driver.update_endpoints(&[endpoint_entry(0, 7, None)]);
    driver.send_request(1, 1, ms(2000));
    driver.update_endpoints(&[EndpointEntry {
        state: EndpointState::Draining,
        ..endpoint_entry(0, 7, None)
    }]);
    driver.end_attempt(1, 0, Outcome::ConnectionLost);
    driver.advance(elapsed);
    let answers = driver.requests[&1].answers.clone();
    (driver, answers)
}

#[test]
fn fails_a_keyed_request_past_its_deduplication_window_at_once() {
    assert_eq!(
        lose_one_attempt(ms(300), ms(400)).1,
        [Decision::Fail],
        "no attempt is allowed any more"
    );
    assert!(
        lose_one_attempt(ms(3000), ms(400)).1.is_empty(),
        "the request waits for an endpoint to retry at"
    );
}

#[test]
fn allows_an_attempt_until_the_deadline_and_a_repeat_within_the_deduplication_window() {
    let mut d = default_settings(11);
    d.classes[1].idempotency = Idempotency::Keyed {
        scope: DeduplicationScope::All,
        window: ms(300),
    };
    let mut driver = Harness::new(d);
    driver.update_endpoints(&[endpoint_entry(0, 7, None), endpoint_entry(1, 7, None)]);
    driver.send_request(1, 1, ms(1000));
    let first = driver.now;
    assert!(
        driver.balancer.attempt_allowed(first + ms(900), 1, 0),
        "a first attempt repeats nothing, however late it is"
    );
    assert!(!driver.balancer.attempt_allowed(first + ms(1000), 1, 0));
    driver.end_attempt(1, 0, Outcome::ConnectionLost);
    assert_eq!(driver.requests[&1].attempts.len(), 2);
    assert!(driver.balancer.attempt_allowed(first + ms(290), 1, 1));
    assert!(!driver.balancer.attempt_allowed(first + ms(300), 1, 1));
    assert!(
        !driver.balancer.attempt_allowed(first, 1, 2)
            && !driver.balancer.attempt_allowed(first, 2, 0),
        "an attempt that was never decided is not allowed"
    );
}
