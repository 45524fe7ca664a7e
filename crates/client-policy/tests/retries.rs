//! Retries: what may go again, when, and how many.

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

fn once() -> AttemptHistory {
    AttemptHistory::new(Idempotency::NonIdempotent, ms(2000))
}

fn keyed(group: DeduplicationScope) -> AttemptHistory {
    AttemptHistory::new(
        Idempotency::Keyed {
            scope: group,
            window: ms(500),
        },
        ms(2000),
    )
}

#[test]
fn unrepeatable_goes_again_only_where_it_provably_never_ran() {
    for ended in ALL {
        let (mut retries, mut tries) = (RetryController::new(RetryPolicy::default(), 1, 1), once());
        tries.on_attempt_start(ms(0));
        let next = retries.decide(ms(10), &mut tries, 0, ended);
        let again = matches!(next, RetryDecision::RetryAt(_));
        assert_eq!(again, !ended.may_have_executed(), "{ended:?}: {next:?}");
        // A later end of which it is known that it never ran does not help one that may have run
        // before.
        if !again {
            tries.on_attempt_start(ms(20));
            let later = retries.decide(ms(30), &mut tries, 0, AttemptOutcome::NotSent);
            assert_eq!(later, RetryDecision::GiveUp(GiveUpReason::NotRepeatable));
        }
    }
}

#[test]
fn deduplicated_goes_again_only_in_its_window_counted_from_the_first_that_may_have_run() {
    let mut retries = RetryController::new(RetryPolicy::default(), 1, 2);
    let mut tries = keyed(DeduplicationScope::All);
    tries.on_attempt_start(ms(0));
    assert!(
        matches!(retries.decide(ms(100), &mut tries, 0, AttemptOutcome::ConnectionLost), RetryDecision::RetryAt(at) if at < ms(500))
    );
    tries.on_attempt_start(ms(150));
    let next = retries.decide(ms(499), &mut tries, 0, AttemptOutcome::NotSent);
    assert!(
        matches!(
            next,
            RetryDecision::GiveUp(GiveUpReason::DeduplicationWindowExpired)
        ),
        "its pause would end after it: {next:?}"
    );
    assert_eq!(
        tries.check_repeatable(ms(500)),
        Err(GiveUpReason::DeduplicationWindowExpired)
    );
    for group in [DeduplicationScope::Zone, DeduplicationScope::Cell] {
        let mut tries = keyed(group);
        tries.on_attempt_start(ms(0));
        let next = retries.decide(ms(100), &mut tries, 0, AttemptOutcome::ConnectionLost);
        assert_eq!(next, RetryDecision::GiveUp(GiveUpReason::NotRepeatable));
    }
}

#[test]
fn when_nothing_works_retries_are_a_tenth_and_vanish() {
    let mut retries = RetryController::new(RetryPolicy::default(), 2, 3);
    let mut sent = 0;
    for call in 0..10_000u64 {
        let mut tries = AttemptHistory::new(Idempotency::Idempotent, ms(call + 5000));
        loop {
            tries.on_attempt_start(ms(call));
            sent += 1;
            if !matches!(
                retries.decide(
                    ms(call),
                    &mut tries,
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
        "{sent}: only what was kept at the start"
    );
    let mut retries = RetryController::new(RetryPolicy::default(), 2, 3);
    let mut sent = 0;
    for call in 0..10_000u64 {
        let mut tries = AttemptHistory::new(Idempotency::Idempotent, ms(call + 5000));
        tries.on_attempt_start(ms(call));
        sent += 1;
        if call % 3 == 0 {
            while let RetryDecision::RetryAt(at) =
                retries.decide(ms(call), &mut tries, 0, AttemptOutcome::Failed)
            {
                tries.on_attempt_start(at);
                sent += 1;
            }
        } else {
            retries.on_success(0);
        }
    }
    assert!(sent as f64 <= 11_000.0, "{sent}");
}

#[test]
fn a_time_to_come_back_is_a_floor_beyond_which_all_spread_and_one_beyond_the_expiry_ends_the_call()
{
    let mut times = Vec::new();
    for seed in 0..200 {
        let (mut retries, mut tries) = (
            RetryController::new(RetryPolicy::default(), 1, seed),
            once(),
        );
        tries.on_attempt_start(ms(0));
        match retries.decide(
            ms(0),
            &mut tries,
            0,
            AttemptOutcome::Rejected {
                retry_after: Some(ms(400)),
            },
        ) {
            RetryDecision::RetryAt(at) => times.push(at),
            over => panic!("{over:?}"),
        }
    }
    assert!(times.iter().all(|t| (ms(400)..ms(800)).contains(t)));
    let most = (0..8)
        .map(|n| {
            times
                .iter()
                .filter(|t| t.as_millis() as u64 / 50 == 8 + n)
                .count()
        })
        .max();
    assert!(
        most.unwrap() < 50,
        "two hundred at once come back spread: {most:?} in 50 ms"
    );
    let (mut retries, mut tries) = (RetryController::new(RetryPolicy::default(), 1, 1), once());
    tries.on_attempt_start(ms(0));
    let next = retries.decide(
        ms(0),
        &mut tries,
        0,
        AttemptOutcome::Rejected {
            retry_after: Some(ms(2000)),
        },
    );
    assert_eq!(next, RetryDecision::GiveUp(GiveUpReason::Deadline));
    assert_eq!(
        retries.available_tokens(),
        RetryPolicy::default().max_tokens,
        "which costs no token"
    );
}

#[test]
fn a_close_that_crossed_a_command_is_resent_once_without_a_token() {
    let (mut retries, mut tries) = (
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
    tries.on_attempt_start(ms(0));
    assert_eq!(
        retries.decide(ms(5), &mut tries, 0, AttemptOutcome::StaleConnection),
        RetryDecision::RetryAt(ms(5))
    );
    tries.on_attempt_start(ms(5));
    assert_eq!(
        retries.decide(ms(9), &mut tries, 0, AttemptOutcome::StaleConnection),
        RetryDecision::GiveUp(GiveUpReason::RetryBudget)
    );
}

#[test]
fn whatever_happens_no_try_goes_out_after_the_expiry_or_twice_where_it_may_not() {
    fn play(seed: u64, script: Vec<(u8, u8)>) {
        let mut retries = RetryController::new(
            RetryPolicy {
                max_tokens: 1e9,
                ..RetryPolicy::default()
            },
            3,
            seed,
        );
        let kinds = [
            once(),
            keyed(DeduplicationScope::All),
            keyed(DeduplicationScope::Zone),
            AttemptHistory::new(Idempotency::Idempotent, ms(2000)),
        ];
        let mut tries = kinds[seed as usize % 4].clone();
        let (mut now, mut ran): (Duration, Option<Duration>) = (ms(0), None);
        for (how, took) in script {
            tries.on_attempt_start(now);
            let began = now;
            now += ms(u64::from(took) * 4);
            let ended = ALL[how as usize % ALL.len()];
            if ended.may_have_executed() {
                ran.get_or_insert(began);
            }
            let RetryDecision::RetryAt(at) =
                retries.decide(now, &mut tries, how as usize % 4, ended)
            else {
                return;
            };
            assert!(at >= now && at < ms(2000) && tries.attempts <= 5);
            match (tries.idempotency, ran) {
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
                    assert!(ran.is_none() || tries.idempotency == kinds[1].idempotency)
                }
                _ => {}
            }
            now = at;
        }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 4))
        .tests(3000)
        .quickcheck(play as fn(u64, Vec<(u8, u8)>));
}
