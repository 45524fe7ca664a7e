//! Retries: what may go again, when, and how many.

use quickcheck::{Gen, QuickCheck};
use std::time::Duration;
use tulipwall::{DeduplicationScope, Idempotency};
use tulipwall_client_policy::*;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const ALL: [Ended; 9] = [
    Ended::Rejected(None),
    Ended::Rejected(Some(ms(300))),
    Ended::Leaving,
    Ended::NotSent,
    Ended::Crossed,
    Ended::Broken,
    Ended::Failed,
    Ended::Garbage,
    Ended::Late,
];

fn once() -> Tries {
    Tries::new(Idempotency::NonIdempotent, ms(2000))
}

fn keyed(group: DeduplicationScope) -> Tries {
    Tries::new(
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
        let (mut retries, mut tries) = (Retries::new(Retrying::default(), 1, 1), once());
        tries.begin(ms(0));
        let next = retries.next(ms(10), &mut tries, 0, ended);
        let again = matches!(next, Next::Again(_));
        assert_eq!(again, !ended.may_have_run(), "{ended:?}: {next:?}");
        // A later end of which it is known that it never ran does not help one that may have run
        // before.
        if !again {
            tries.begin(ms(20));
            let later = retries.next(ms(30), &mut tries, 0, Ended::NotSent);
            assert_eq!(later, Next::Over(Cause::MayNotRepeat));
        }
    }
}

#[test]
fn deduplicated_goes_again_only_in_its_window_counted_from_the_first_that_may_have_run() {
    let mut retries = Retries::new(Retrying::default(), 1, 2);
    let mut tries = keyed(DeduplicationScope::All);
    tries.begin(ms(0));
    assert!(
        matches!(retries.next(ms(100), &mut tries, 0, Ended::Broken), Next::Again(at) if at < ms(500))
    );
    tries.begin(ms(150));
    let next = retries.next(ms(499), &mut tries, 0, Ended::NotSent);
    assert!(
        matches!(next, Next::Over(Cause::WindowOver)),
        "its pause would end after it: {next:?}"
    );
    assert_eq!(tries.may_go(ms(500)), Err(Cause::WindowOver));
    for group in [DeduplicationScope::Zone, DeduplicationScope::Cell] {
        let mut tries = keyed(group);
        tries.begin(ms(0));
        let next = retries.next(ms(100), &mut tries, 0, Ended::Broken);
        assert_eq!(next, Next::Over(Cause::MayNotRepeat));
    }
}

#[test]
fn when_nothing_works_retries_are_a_tenth_and_vanish() {
    let mut retries = Retries::new(Retrying::default(), 2, 3);
    let mut sent = 0;
    for call in 0..10_000u64 {
        let mut tries = Tries::new(Idempotency::Idempotent, ms(call + 5000));
        loop {
            tries.begin(ms(call));
            sent += 1;
            if !matches!(
                retries.next(ms(call), &mut tries, call as usize % 2, Ended::Broken),
                Next::Again(_)
            ) {
                break;
            }
        }
    }
    assert!(
        sent <= 10_000 + 10,
        "{sent}: only what was kept at the start"
    );
    let mut retries = Retries::new(Retrying::default(), 2, 3);
    let mut sent = 0;
    for call in 0..10_000u64 {
        let mut tries = Tries::new(Idempotency::Idempotent, ms(call + 5000));
        tries.begin(ms(call));
        sent += 1;
        if call % 3 == 0 {
            while let Next::Again(at) = retries.next(ms(call), &mut tries, 0, Ended::Failed) {
                tries.begin(at);
                sent += 1;
            }
        } else {
            retries.succeeded(0);
        }
    }
    assert!(sent as f64 <= 11_000.0, "{sent}");
}

#[test]
fn a_time_to_come_back_is_a_floor_beyond_which_all_spread_and_one_beyond_the_expiry_ends_the_call()
{
    let mut times = Vec::new();
    for seed in 0..200 {
        let (mut retries, mut tries) = (Retries::new(Retrying::default(), 1, seed), once());
        tries.begin(ms(0));
        match retries.next(ms(0), &mut tries, 0, Ended::Rejected(Some(ms(400)))) {
            Next::Again(at) => times.push(at),
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
    let (mut retries, mut tries) = (Retries::new(Retrying::default(), 1, 1), once());
    tries.begin(ms(0));
    let next = retries.next(ms(0), &mut tries, 0, Ended::Rejected(Some(ms(2000))));
    assert_eq!(next, Next::Over(Cause::Expiry));
    assert_eq!(
        retries.tokens(),
        Retrying::default().kept,
        "which costs no token"
    );
}

#[test]
fn a_close_that_crossed_a_command_is_resent_once_without_a_token() {
    let (mut retries, mut tries) = (
        Retries::new(
            Retrying {
                kept: 0.0,
                ..Retrying::default()
            },
            1,
            1,
        ),
        Tries::new(Idempotency::Idempotent, ms(2000)),
    );
    tries.begin(ms(0));
    assert_eq!(
        retries.next(ms(5), &mut tries, 0, Ended::Crossed),
        Next::Again(ms(5))
    );
    tries.begin(ms(5));
    assert_eq!(
        retries.next(ms(9), &mut tries, 0, Ended::Crossed),
        Next::Over(Cause::Tokens)
    );
}

#[test]
fn whatever_happens_no_try_goes_out_after_the_expiry_or_twice_where_it_may_not() {
    fn play(seed: u64, script: Vec<(u8, u8)>) {
        let mut retries = Retries::new(
            Retrying {
                kept: 1e9,
                ..Retrying::default()
            },
            3,
            seed,
        );
        let kinds = [
            once(),
            keyed(DeduplicationScope::All),
            keyed(DeduplicationScope::Zone),
            Tries::new(Idempotency::Idempotent, ms(2000)),
        ];
        let mut tries = kinds[seed as usize % 4].clone();
        let (mut now, mut ran): (Duration, Option<Duration>) = (ms(0), None);
        for (how, took) in script {
            tries.begin(now);
            let began = now;
            now += ms(u64::from(took) * 4);
            let ended = ALL[how as usize % ALL.len()];
            if ended.may_have_run() {
                ran.get_or_insert(began);
            }
            let Next::Again(at) = retries.next(now, &mut tries, how as usize % 4, ended) else {
                return;
            };
            assert!(at >= now && at < ms(2000) && tries.count <= 5);
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
