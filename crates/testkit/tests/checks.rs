//! Each checker catches a break of its rule, and passes what is just within it.

use std::time::Duration;
use tulipwall::{DeduplicationScope, EndpointState, Idempotency};
use tulipwall_testkit::simulation::checks::*;
use tulipwall_testkit::simulation::Violation;

const DEADLINE: Duration = Duration::from_secs(10);
const TICK: Duration = Duration::from_millis(1);
const NEVER_STALLED: Duration = Duration::ZERO;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn rule_1_wants_one_answer_in_time_and_nothing_after_it() {
    let mut check = AnswerCheck::new(7, 1, DEADLINE);
    assert_eq!(check.on_send(), None);
    assert_eq!(
        check.at_end(),
        Some(Violation::Unanswered {
            request: 7,
            class: 1
        })
    );
    let latest = DEADLINE + ANSWER_SLACK;
    assert_eq!(check.on_decision(latest, NEVER_STALLED), None);
    assert_eq!(
        check.on_decision(latest + TICK, NEVER_STALLED),
        Some(Violation::OpenPastDeadline { request: 7 })
    );
    assert_eq!(check.on_answer(latest, NEVER_STALLED), []);
    assert_eq!(check.at_end(), None);
    assert_eq!(
        check.on_send(),
        Some(Violation::SentAfterAnswer { request: 7 })
    );
    assert_eq!(
        check.on_answer(latest + TICK, NEVER_STALLED),
        [
            Violation::AnsweredTwice { request: 7 },
            Violation::AnsweredLate { request: 7 }
        ]
    );
}

#[test]
fn rule_1_excuses_an_agent_that_has_just_stalled() {
    let now = DEADLINE + at(5);
    let mut check = AnswerCheck::new(7, 1, DEADLINE);
    assert_eq!(check.on_decision(now, now - ANSWER_SLACK), None);
    assert_eq!(check.on_answer(now, now - ANSWER_SLACK), []);
}

fn checked(idempotency: Idempotency) -> CheckedRequest {
    CheckedRequest {
        agent: 2,
        request: 7,
        class: 1,
        idempotency,
    }
}

/// Runs a request at endpoint 0 and, so much later, at `other`; endpoints below 10 are in zone 0.
fn runs_twice(idempotency: Idempotency, later: Duration, other: usize) -> bool {
    let mut check = RepeatCheck::default();
    let zone_of = |endpoint: usize| endpoint / 10;
    assert_eq!(check.on_run(at(1), checked(idempotency), 0, zone_of), []);
    let found = check.on_run(at(1) + later, checked(idempotency), other, zone_of);
    found
        == [Violation::RanTwice {
            request: 7,
            class: 1,
        }]
}

#[test]
fn rule_2_catches_repetitions_that_no_endpoint_recognizes() {
    let window = at(3);
    let keyed = |scope| Idempotency::Keyed { scope, window };
    let latest = window + ANSWER_SLACK;
    assert!(!runs_twice(Idempotency::Idempotent, at(9), 1));
    assert!(runs_twice(Idempotency::NonIdempotent, TICK, 1));
    assert!(!runs_twice(keyed(DeduplicationScope::All), latest, 10));
    assert!(runs_twice(keyed(DeduplicationScope::All), latest + TICK, 1));
    assert!(!runs_twice(keyed(DeduplicationScope::Zone), latest, 9));
    assert!(runs_twice(keyed(DeduplicationScope::Zone), TICK, 10));
}

#[test]
fn rule_2_catches_a_rejection_of_what_has_run() {
    let payment = checked(Idempotency::NonIdempotent);
    let mut check = RepeatCheck::default();
    assert_eq!(check.on_reject(payment), None);
    check.on_run(at(1), payment, 0, |_| 0);
    assert_eq!(
        check.on_reject(payment),
        Some(Violation::RejectedAfterRun { request: 7 })
    );
}

#[test]
fn rule_3_catches_an_attempt_past_the_grace_of_a_drain() {
    let draining = EndpointState::Draining;
    let mut check = DrainCheck::default();
    check.on_notice(at(1), 4, draining);
    // A second notice doesn't extend the grace.
    check.on_notice(at(2), 4, EndpointState::Gone);
    let latest = at(1) + DRAIN_GRACE;
    assert_eq!(check.on_send(latest, 7, 4, draining), None);
    assert_eq!(check.on_send(latest + TICK, 7, 5, draining), None);
    assert_eq!(
        check.on_send(latest + TICK, 7, 4, draining),
        Some(Violation::SentToLeaving {
            request: 7,
            endpoint: 4,
            state: draining
        })
    );
    check.on_notice(at(3), 4, EndpointState::Running);
    assert_eq!(check.on_send(at(9), 7, 4, EndpointState::Running), None);
}

#[test]
fn rule_4_catches_overload_within_the_window_of_a_slow_start_only() {
    let (window, slow_start) = (at(2), at(4));
    let (work, capacity) = (0.01, 1.0);
    let first_violation = |started: Option<Duration>, gap: Duration| {
        let mut check = SlowStartCheck::new(4, window, slow_start);
        (0..2000).position(|n| {
            let now = at(10) + gap * n;
            check.on_work(now, started, work, capacity).is_some()
        })
    };
    // Four times two core-seconds, and 0.9 for the scatter of drawn work.
    let burst = first_violation(Some(at(10)), Duration::ZERO);
    assert!(burst.is_some_and(|n| (890..895).contains(&n)), "{burst:?}");
    assert_eq!(first_violation(None, Duration::ZERO), None, "long up");
    let warm = Some(at(10) - slow_start);
    assert_eq!(first_violation(warm, Duration::ZERO), None, "warm by now");
    // 3.3 core-seconds a second.
    let spread = first_violation(Some(at(10)), TICK * 3);
    assert_eq!(spread, None, "spread out");
}

#[test]
fn rule_5_catches_what_exceeds_the_cap_and_the_burst() {
    let burst = 2.0;
    let over = |check: &mut ExposureCheck| check.on_canary_send(3, burst).is_some();
    let mut check = ExposureCheck::default();
    check.set_cap(0.5);
    assert!(!over(&mut check) && !over(&mut check), "the burst");
    assert!(over(&mut check));
    // Six requests at a cap of a half pay for the three attempts.
    (0..6).for_each(|_| check.on_request());
    assert!(!over(&mut check) && !over(&mut check) && over(&mut check));
    check.set_cap(0.8);
    assert!(over(&mut check), "a higher cap forgives nothing");
    check.set_cap(0.2);
    assert!(!over(&mut check), "a lower one counts anew");
}
