//! Tests of the retry decisions: which calls are retried, when, and how often.

use quickcheck::{Gen, QuickCheck};
use std::time::Duration;
use tulipwall::{DeduplicationScope, Idempotency};
use tulipwall_client_policy::*;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const ALL: [AttemptOutcome; 9] = [
    AttemptOutcome::Rejected { retry_after: None },
    AttemptOutcome::Rejected {
        retry_after: Some(ms(300)),
    },
    AttemptOutcome::Draining,
    AttemptOutcome::NotSent,
    AttemptOutcome::StaleConnection,
    AttemptOutcome::ConnectionLost,
    AttemptOutcome::Failed,
    AttemptOutcome::MalformedResponse,
    AttemptOutcome::TimedOut,
];

fn non_idempotent() -> AttemptHistory {
    AttemptHistory::new(Idempotency::NonIdempotent, ms(2000))
}

fn keyed(scope: DeduplicationScope) -> AttemptHistory {
    AttemptHistory::new(
        Idempotency::Keyed {
            scope,
            window: ms(500),
        },
        ms(2000),
    )
}

#[test]
fn retries_a_non_idempotent_call_only_if_it_provably_never_ran() {
    for outcome in ALL {
        let (mut controller, mut history) = (
            RetryController::new(RetryPolicy::default(), 1, 1),
            non_idempotent(),
        );
        history.on_attempt_start(ms(0));
        let decision = controller.decide(ms(10), &mut history, 0, outcome);
        let is_retried = matches!(decision, RetryDecision::RetryAt(_));
        assert_eq!(
            is_retried,
            !outcome.may_have_executed(),
            "{outcome:?}: {decision:?}"
        );
        // A later attempt that provably never ran does not make the call repeatable again: the
        // earlier attempt may have run.
        if !is_retried {
            history.on_attempt_start(ms(20));
            let later = controller.decide(ms(30), &mut history, 0, AttemptOutcome::NotSent);
            assert_eq!(later, RetryDecision::GiveUp(GiveUpReason::NotRepeatable));
        }
    }
}

#[test]
fn retries_a_keyed_call_only_within_its_window_from_the_first_possible_execution() {
    let mut controller = RetryController::new(RetryPolicy::default(), 1, 2);
    let mut history = keyed(DeduplicationScope::All);
    history.on_attempt_start(ms(0));
    assert!(
        matches!(controller.decide(ms(100), &mut history, 0, AttemptOutcome::ConnectionLost), RetryDecision::RetryAt(at) if at < ms(500))
    );
    history.on_attempt_start(ms(150));
    let decision = controller.decide(ms(499), &mut history, 0, AttemptOutcome::NotSent);
    assert!(
        matches!(
            decision,
            RetryDecision::GiveUp(GiveUpReason::DeduplicationWindowExpired)
        ),
        "the backoff would end after the deduplication window: {decision:?}"
    );
    assert_eq!(
        history.check_repeatable(ms(500)),
        Err(GiveUpReason::DeduplicationWindowExpired)
    );
    for scope in [DeduplicationScope::Zone, DeduplicationScope::Cell] {
        let mut history = keyed(scope);
        history.on_attempt_start(ms(0));
        let decision = controller.decide(ms(100), &mut history, 0, AttemptOutcome::ConnectionLost);
        assert_eq!(decision, RetryDecision::GiveUp(GiveUpReason::NotRepeatable));
    }
}

#[test]
fn limits_retries_to_a_tenth_of_successes_and_to_none_when_nothing_succeeds() {
    let mut controller = RetryController::new(RetryPolicy::default(), 2, 3);
    let mut sent = 0;
    for call in 0..10_000u64 {
        let mut history = AttemptHistory::new(Idempotency::Idempotent, ms(call + 5000));
        loop {
            history.on_attempt_start(ms(call));
            sent += 1;
            if !matches!(
                controller.decide(
                    ms(call),
                    &mut history,
                    call as usize % 2,
                    AttemptOutcome::ConnectionLost
                ),
                RetryDecision::RetryAt(_)
            ) {
                break;
            }
        }
    }
    assert!(
        sent <= 10_000 + 10,
        "{sent} attempts, expected retries only from the initial tokens"
    );
    let mut controller = RetryController::new(RetryPolicy::default(), 2, 3);
    let mut sent = 0;
    for call in 0..10_000u64 {
        let mut history = AttemptHistory::new(Idempotency::Idempotent, ms(call + 5000));
        history.on_attempt_start(ms(call));
        sent += 1;
        if call % 3 == 0 {
            while let RetryDecision::RetryAt(at) =
                controller.decide(ms(call), &mut history, 0, AttemptOutcome::Failed)
            {
                history.on_attempt_start(at);
                sent += 1;
            }
        } else {
            controller.on_success(0);
        }
    }
    assert!(sent as f64 <= 11_000.0, "{sent}");
}

#[test]
fn spreads_retries_beyond_retry_after_and_gives_up_if_it_is_past_the_deadline() {
    let mut times = Vec::new();
    for seed in 0..200 {
        let (mut controller, mut history) = (
            RetryController::new(RetryPolicy::default(), 1, seed),
            non_idempotent(),
        );
        history.on_attempt_start(ms(0));
        match controller.decide(
            ms(0),
            &mut history,
            0,
            AttemptOutcome::Rejected {
                retry_after: Some(ms(400)),
            },
        ) {
            RetryDecision::RetryAt(at) => times.push(at),
            other => panic!("{other:?}"),
        }
    }
    assert!(times.iter().all(|t| (ms(400)..ms(800)).contains(t)));
    let peak = (0..8)
        .map(|n| {
            times
                .iter()
                .filter(|t| t.as_millis() as u64 / 50 == 8 + n)
                .count()
        })
        .max();
    assert!(
        peak.unwrap() < 50,
        "expected 200 rejected calls to spread their retries, found {peak:?} in 50 ms"
    );
    let (mut controller, mut history) = (
        RetryController::new(RetryPolicy::default(), 1, 1),
        non_idempotent(),
    );
    history.on_attempt_start(ms(0));
    let decision = controller.decide(
        ms(0),
        &mut history,
        0,
        AttemptOutcome::Rejected {
            retry_after: Some(ms(2000)),
        },
    );
    assert_eq!(decision, RetryDecision::GiveUp(GiveUpReason::Deadline));
    assert_eq!(
        controller.available_tokens(),
        RetryPolicy::default().max_tokens,
        "expected no token to be spent"
    );
}

#[test]
fn resends_once_without_a_token_after_a_stale_connection() {
    let (mut controller, mut history) = (
        RetryController::new(
            RetryPolicy {
                max_tokens: 0.0,
                ..RetryPolicy::default()
            },
            1,
            1,
        ),
        AttemptHistory::new(Idempotency::Idempotent, ms(2000)),
    );
    history.on_attempt_start(ms(0));
    assert_eq!(
        controller.decide(ms(5), &mut history, 0, AttemptOutcome::StaleConnection),
        RetryDecision::RetryAt(ms(5))
    );
    history.on_attempt_start(ms(5));
    assert_eq!(
        controller.decide(ms(9), &mut history, 0, AttemptOutcome::StaleConnection),
        RetryDecision::GiveUp(GiveUpReason::RetryBudget)
    );
}

#[test]
fn never_attempts_past_the_deadline_or_repeats_a_non_repeatable_call() {
    fn run_script(seed: u64, script: Vec<(u8, u8)>) {
        let mut controller = RetryController::new(
            RetryPolicy {
                max_tokens: 1e9,
                ..RetryPolicy::default()
            },
            3,
            seed,
        );
        let histories = [
            non_idempotent(),
            keyed(DeduplicationScope::All),
            keyed(DeduplicationScope::Zone),
            AttemptHistory::new(Idempotency::Idempotent, ms(2000)),
        ];
        let mut history = histories[seed as usize % 4].clone();
        let (mut now, mut ran): (Duration, Option<Duration>) = (ms(0), None);
        for (outcome_index, duration) in script {
            history.on_attempt_start(now);
            let started = now;
            now += ms(u64::from(duration) * 4);
            let outcome = ALL[outcome_index as usize % ALL.len()];
            if outcome.may_have_executed() {
                ran.get_or_insert(started);
            }
            let RetryDecision::RetryAt(at) =
                controller.decide(now, &mut history, outcome_index as usize % 4, outcome)
            else {
                return;
            };
            assert!(at >= now && at < ms(2000) && history.attempts <= 5);
            match (history.idempotency, ran) {
                (Idempotency::NonIdempotent, ran) => assert_eq!(ran, None),
                (
                    Idempotency::Keyed {
                        scope: DeduplicationScope::All,
                        window,
                    },
                    Some(from),
                ) => {
                    assert!(at < from + window);
                }
                (Idempotency::Keyed { .. }, ran) => {
                    assert!(ran.is_none() || history.idempotency == histories[1].idempotency)
                }
                _ => {}
            }
            now = at;
        }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 4))
        .tests(3000)
        .quickcheck(run_script as fn(u64, Vec<(u8, u8)>));
}
