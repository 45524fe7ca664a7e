//! Property tests with seeded random scripts: the harness's invariants hold after every step, for
//! any endpoint lists, rollout statuses, outcomes and stalls.

mod harness;

use harness::*;
use quickcheck::{Gen, QuickCheck};
use tulipwall::*;

const OUTCOMES: [Outcome; 8] = [
    Outcome::Succeeded,
    Outcome::Succeeded,
    Outcome::Failed,
    Outcome::Rejected,
    Outcome::ConnectFailed,
    Outcome::ConnectionLost,
    Outcome::NotSent,
    Outcome::Succeeded,
];

/// Runs a script of steps. Each step consists of two random bytes: the first selects the action, the
/// second its parameters. The harness checks the invariants after every step.
fn run_script(mut test_settings: Settings, script: &[(u8, u8)]) {
    let scopes = [
        DeduplicationScope::All,
        DeduplicationScope::Zone,
        DeduplicationScope::Cell,
    ];
    let scope_index = script.first().map_or(0, |s| s.0 as usize);
    test_settings.classes[1].idempotency = Idempotency::Keyed {
        scope: scopes[scope_index % 3],
        window: ms(900),
    };
    let mut driver = Harness::new(test_settings);
    driver.update_endpoints(
        &(0..5)
            .map(|i| endpoint_entry(i, 7, None))
            .collect::<Vec<_>>(),
    );
    let (mut next, mut build) = (0, 7);
    for (action, value) in script {
        let i = *value as usize % 9;
        match action % 16 {
            0..=5 => {
                driver.send_request(next, *value as usize % 3, ms(100 + u64::from(*value) * 6));
                next += 1;
            }
            6..=8 => {
                driver.end_oldest_attempt(i, OUTCOMES[*value as usize % 8]);
            }
            9 => {
                driver.update_endpoints(&[EndpointEntry {
                    state: EndpointState::Draining,
                    ..endpoint_entry(i, build, None)
                }]);
            }
            10 => driver.update_endpoints(&[EndpointEntry {
                state: EndpointState::Gone,
                ..endpoint_entry(i, build, None)
            }]),
            11 => {
                let started = driver.now.as_millis() as u64 - u64::from(*value) * 10 % 900;
                driver.update_endpoints(&[endpoint_entry(
                    i,
                    build + u32::from(value % 2),
                    Some(started),
                )]);
            }
            12 => {
                let phases = [
                    RolloutPhase::Canary,
                    RolloutPhase::Canary,
                    RolloutPhase::Released,
                    RolloutPhase::RollingBack,
                ];
                let phase = phases[i % 4];
                build += u32::from(phase == RolloutPhase::Released);
                let cap = if phase == RolloutPhase::RollingBack {
                    0.0
                } else {
                    [0.2, 0.5, 1.0][i % 3]
                };
                driver.update_rollout(RolloutStatus {
                    build: build + 1,
                    stage: i % 3,
                    phase,
                    cap,
                    since: driver.now,
                });
            }
            13 => {
                driver.balancer.on_client_reported_error(
                    driver.now,
                    i,
                    *value as usize % 3,
                    ms(100),
                );
            }
            14 => {
                let all = [
                    VoteReply::Counted,
                    VoteReply::Moot,
                    VoteReply::Refused,
                    VoteReply::Unknown,
                ];
                driver.balancer.on_vote_reply(driver.now, all[i % 4]);
                driver.balancer.on_list_failure(driver.now);
            }
            15 if driver.settings.cross_zone_price > 0.1 => {
                driver.balancer.set_cross_zone_policy(policy_from(*value))
            }
            _ => driver.advance(ms(u64::from(*value))),
        }
        if *action > 200 {
            driver.advance(ms(25));
        }
    }
    driver.advance(ms(4000));
    assert!(
        driver.requests.values().all(|h| h.answers.len() == 1),
        "requests without exactly one final answer"
    );
}

/// Derives a cross-zone policy from a random byte: any weight, any last resorts and any slow-start
/// factor.
fn policy_from(value: u8) -> CrossZonePolicy {
    let bits = |n: u8| (0..3).map(|class| value >> (class + n) & 1 == 1).collect();
    let remote_policy = ZonePolicy {
        weight: (!value.is_multiple_of(3)).then(|| f64::from(value % 16) / 15.0),
        added_latency: ms(u64::from(value)),
        last_resort: bits(0),
        last_resort_for_retries: bits(3),
    };
    CrossZonePolicy {
        zones: vec![ZonePolicy::default(), remote_policy],
        slow_start_factor: 0.2 + f64::from(value % 5) / 5.0,
    }
}

/// Runs `run` on 40 random scripts of up to 300 steps.
fn check(seed: u64, run: fn(Vec<(u8, u8)>)) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, seed))
        .tests(40)
        .quickcheck(run);
}

#[test]
fn rules_hold_with_a_pushed_list_and_one_cap_for_all_classes() {
    check(1, |script| run_script(default_settings(1), &script));
}

#[test]
fn rules_hold_with_a_polled_list_a_cap_by_class_and_a_guarded_stage() {
    check(2, |script| {
        let mut test_settings = default_settings(2);
        (test_settings.list_polled, test_settings.retry_after) = (true, None);
        (
            test_settings.rollout.cap_per_class,
            test_settings.rollout.guarded_stages,
            test_settings.rollout.in_place,
        ) = (true, 1, true);
        run_script(test_settings, &script);
    });
}

#[test]
fn rules_hold_with_hedging_sticky_builds_and_priced_cross_zone_traffic() {
    check(3, |script| {
        let mut test_settings = default_settings(3);
        (
            test_settings.hedging,
            test_settings.cross_zone_price,
            test_settings.rollout.sticky_builds,
        ) = (true, 0.04, true);
        run_script(test_settings, &script);
    });
}

#[test]
fn rules_hold_without_cancellation_tenants_or_votes() {
    check(4, |script| {
        let mut test_settings = default_settings(4);
        (
            test_settings.cancellation,
            test_settings.rollout.timed_stages,
            test_settings.weight_by_work,
        ) = (false, false, true);
        test_settings.tenants.clear();
        run_script(test_settings, &script);
    });
}

#[test]
fn rules_hold_while_the_cross_zone_policy_changes() {
    check(5, |script| {
        let mut test_settings = default_settings(5);
        (test_settings.hedging, test_settings.cross_zone_price) = (true, 0.2);
        run_script(test_settings, &script);
    });
}
