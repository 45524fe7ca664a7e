//! The bound on calls in flight, case by case.

use std::time::Duration;
use tulipwall::Idempotency;
use tulipwall_client_policy::{ConcurrencyLimit, ConcurrencyPolicy, RequestClass};

fn classes() -> Vec<RequestClass> {
    let class = |priority_weight| RequestClass {
        name: String::new(),
        idempotency: Idempotency::Idempotent,
        latency_objective: Duration::from_millis(400),
        priority_weight,
    };
    vec![class(1.0), class(9.0)]
}

#[test]
fn least_benefit_is_shed_first_and_there_is_always_room_for_one() {
    let mut bound = ConcurrencyLimit::new(
        ConcurrencyPolicy {
            min_limit: 10.0,
            max_limit: 10.0,
            ..ConcurrencyPolicy::default()
        },
        &classes(),
    );
    let view = (0..20).filter(|_| bound.try_acquire(0)).count();
    let payment = (0..20).filter(|_| bound.try_acquire(1)).count();
    assert_eq!((view, view + payment), (8, 10));
    let mut small = ConcurrencyLimit::new(
        ConcurrencyPolicy {
            min_limit: 0.0,
            max_limit: 0.0,
            ..ConcurrencyPolicy::default()
        },
        &classes(),
    );
    assert!(small.try_acquire(0) && !small.try_acquire(1));
}

#[test]
fn it_follows_what_the_agents_can_bear() {
    // They bear 40 at once; beyond that they deny.
    let mut bound = ConcurrencyLimit::new(
        ConcurrencyPolicy {
            max_limit: 500.0,
            ..ConcurrencyPolicy::default()
        },
        &classes(),
    );
    let mut seen = Vec::new();
    for round in 0..2000u64 {
        let taken = (0..600).filter(|_| bound.try_acquire(1)).count();
        for n in 0..taken {
            if n < 40 {
                bound.on_timely_response();
            } else {
                bound.on_overload(Duration::from_millis(round * 50));
            }
        }
        (0..taken).for_each(|_| bound.release());
        seen.push(taken);
    }
    let late = &seen[1000..];
    assert!(
        late.iter().all(|n| (25..=60).contains(n)),
        "{:?}",
        late.iter().max()
    );
}
