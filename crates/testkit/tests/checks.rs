//! Each checker reports a violation of its rule and accepts the limiting case that is still
//! allowed.

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
fn rule_1_requires_one_answer_in_time_and_no_attempt_after_it() {
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
fn rule_1_tolerates_a_late_answer_right_after_a_stall() {
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

/// Runs a request at endpoint 0 and, `later` after that, at endpoint `other`. Returns whether the
/// checker reports it. Endpoints below 10 are in zone 0.
fn runs_twice(idempotency: Idempotency, later: Duration, other: usize) -> bool {
    let mut check = RepeatCheck::default();
    let zone_of = |endpoint: usize| endpoint / 10;
    assert_eq!(check.on_run(at(1), checked(idempotency), 0, zone_of), []);
    let violations = check.on_run(at(1) + later, checked(idempotency), other, zone_of);
    violations
        == [Violation::RanTwice {
            request: 7,
            class: 1,
        }]
}

#[test]
fn rule_2_reports_repetitions_that_are_not_deduplicated() {
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
fn rule_2_reports_a_rejection_of_a_request_that_has_run() {
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
fn rule_3_reports_an_attempt_after_the_drain_grace_period() {
    let draining = EndpointState::Draining;
    let mut check = DrainCheck::default();
    check.on_notice(at(1), 4, draining);
    // A second notice does not extend the grace period.
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
fn rule_4_reports_overload_only_during_slow_start_and_within_its_window() {
    let (window, slow_start) = (at(2), at(4));
    let (work, capacity) = (0.01, 1.0);
    let first_violation = |started: Option<Duration>, gap: Duration| {
        let mut check = SlowStartCheck::new(4, window, slow_start);
        (0..2000).position(|n| {
            let now = at(10) + gap * n;
            check.on_work(now, started, work, capacity).is_some()
        })
    };
    // Four times two core-seconds, plus 0.9 for the variation of the drawn work.
    let burst = first_violation(Some(at(10)), Duration::ZERO);
    assert!(burst.is_some_and(|n| (890..895).contains(&n)), "{burst:?}");
    assert_eq!(
        first_violation(None, Duration::ZERO),
        None,
        "past its slow start"
    );
    let warm = Some(at(10) - slow_start);
    assert_eq!(
        first_violation(warm, Duration::ZERO),
        None,
        "slow start just over"
    );
    // 3.3 core-seconds per second.
    let spread = first_violation(Some(at(10)), TICK * 3);
    assert_eq!(spread, None, "spread over time");
}

#[test]
fn rule_5_reports_attempts_beyond_the_cap_and_the_burst() {
    let burst = 2.0;
    let is_reported = |check: &mut ExposureCheck| check.on_canary_send(3, burst).is_some();
    let mut check = ExposureCheck::default();
    check.set_cap(0.5);
    assert!(
        !is_reported(&mut check) && !is_reported(&mut check),
        "within the burst"
    );
    assert!(is_reported(&mut check));
    // Six requests at a cap of 0.5 offset the three attempts.
    (0..6).for_each(|_| check.on_request());
    assert!(!is_reported(&mut check) && !is_reported(&mut check) && is_reported(&mut check));
    check.set_cap(0.8);
    assert!(
        is_reported(&mut check),
        "raising the cap does not reset the exposure"
    );
    check.set_cap(0.2);
    assert!(
        !is_reported(&mut check),
        "lowering the cap resets the exposure"
    );
}
