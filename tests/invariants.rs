//! Seeded random runs: whatever the lists, the rollout statuses, the outcomes and the stalls, each
//! rule holds after every step.

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

/// Plays one script; the harness checks the rules after every step.
fn play(mut d: Settings, script: &[(u8, u8)]) {
    let groups = [
        DeduplicationScope::All,
        DeduplicationScope::Zone,
        DeduplicationScope::Cell,
    ];
    let pick = script.first().map_or(0, |s| s.0 as usize);
    d.classes[1].idempotency = Idempotency::Keyed {
        scope: groups[pick % 3],
        window: ms(900),
    };
    let mut w = Harness::new(d);
    w.update_endpoints(
        &(0..5)
            .map(|i| endpoint_entry(i, 7, None))
            .collect::<Vec<_>>(),
    );
    let (mut next, mut build) = (0, 7);
    for (what, how) in script {
        let i = *how as usize % 9;
        match what % 16 {
            0..=5 => {
                w.send_request(next, *how as usize % 3, ms(100 + u64::from(*how) * 6));
                next += 1;
            }
            6..=8 => {
                w.end_oldest_attempt(i, OUTCOMES[*how as usize % 8]);
            }
            9 => {
                w.update_endpoints(&[EndpointEntry {
                    state: EndpointState::Draining,
                    ..endpoint_entry(i, build, None)
                }]);
            }
            10 => w.update_endpoints(&[EndpointEntry {
                state: EndpointState::Gone,
                ..endpoint_entry(i, build, None)
            }]),
            11 => {
                let started = w.now.as_millis() as u64 - u64::from(*how) * 10 % 900;
                w.update_endpoints(&[endpoint_entry(i, build + u32::from(how % 2), Some(started))]);
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
                w.update_rollout(RolloutStatus {
                    build: build + 1,
                    stage: i % 3,
                    phase,
                    cap,
                    since: w.now,
                });
            }
            13 => {
                w.balancer
                    .on_client_reported_error(w.now, i, *how as usize % 3, ms(100));
            }
            14 => {
                let all = [
                    VoteReply::Counted,
                    VoteReply::Moot,
                    VoteReply::Refused,
                    VoteReply::Unknown,
                ];
                w.balancer.on_vote_reply(w.now, all[i % 4]);
                w.balancer.on_list_failure(w.now);
            }
            15 if w.settings.cross_zone_price > 0.1 => {
                w.balancer.set_cross_zone_policy(cross_zone_policy(*how))
            }
            _ => w.advance(ms(u64::from(*how))),
        }
        if *what > 200 {
            w.advance(ms(25));
        }
    }
    w.advance(ms(4000));
    assert!(
        w.requests.values().all(|h| h.answers.len() == 1),
        "every request has its one answer"
    );
}

/// A random cross-zone policy: any weights, any last resorts, any factor for slow start.
fn cross_zone_policy(how: u8) -> CrossZonePolicy {
    let bits = |n: u8| (0..3).map(|class| how >> (class + n) & 1 == 1).collect();
    let far = ZonePolicy {
        weight: (!how.is_multiple_of(3)).then(|| f64::from(how % 16) / 15.0),
        added_latency: ms(u64::from(how)),
        last_resort: bits(0),
        last_resort_for_retries: bits(3),
    };
    CrossZonePolicy {
        zones: vec![ZonePolicy::default(), far],
        slow_start_factor: 0.2 + f64::from(how % 5) / 5.0,
    }
}

fn check(seed: u64, run: fn(Vec<(u8, u8)>)) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, seed))
        .tests(40)
        .quickcheck(run);
}

#[test]
fn rules_hold_with_a_pushed_list_and_one_cap_for_all_classes() {
    check(1, |script| play(default_settings(1), &script));
}

#[test]
fn rules_hold_with_a_polled_list_a_cap_by_class_and_a_guarded_stage() {
    check(2, |script| {
        let mut d = default_settings(2);
        (d.list_polled, d.retry_after) = (true, None);
        (
            d.rollout.cap_per_class,
            d.rollout.guarded_stages,
            d.rollout.in_place,
        ) = (true, 1, true);
        play(d, &script);
    });
}

#[test]
fn rules_hold_with_hedging_sticky_builds_and_priced_cross_zone_traffic() {
    check(3, |script| {
        let mut d = default_settings(3);
        (d.hedging, d.cross_zone_price, d.rollout.sticky_builds) = (true, 0.04, true);
        play(d, &script);
    });
}

#[test]
fn rules_hold_without_cancellation_tenants_or_votes() {
    check(4, |script| {
        let mut d = default_settings(4);
        (d.cancellation, d.rollout.timed_stages, d.weight_by_work) = (false, false, true);
        d.tenants.clear();
        play(d, &script);
    });
}

#[test]
fn rules_hold_while_the_cross_zone_policy_changes() {
    check(5, |script| {
        let mut d = default_settings(5);
        (d.hedging, d.cross_zone_price) = (true, 0.2);
        play(d, &script);
    });
}
