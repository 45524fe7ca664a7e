//! Tests of the adaptive limit on calls in flight.

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
fn sheds_the_lowest_weight_first_and_always_admits_one() {
    let mut limit = ConcurrencyLimit::new(
        ConcurrencyPolicy {
            min_limit: 10.0,
            max_limit: 10.0,
            ..ConcurrencyPolicy::default()
        },
        &classes(),
    );
    let light = (0..20).filter(|_| limit.try_acquire(0)).count();
    let heavy = (0..20).filter(|_| limit.try_acquire(1)).count();
    assert_eq!((light, light + heavy), (8, 10));
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
fn adapts_to_the_capacity_of_the_agents() {
    // The agents process 40 calls at the same time and reject any further ones.
    let mut limit = ConcurrencyLimit::new(
        ConcurrencyPolicy {
            max_limit: 500.0,
            ..ConcurrencyPolicy::default()
        },
        &classes(),
    );
    let mut admitted_by_round = Vec::new();
    for round in 0..2000u64 {
        let admitted = (0..600).filter(|_| limit.try_acquire(1)).count();
        for n in 0..admitted {
            if n < 40 {
                limit.on_timely_response();
            } else {
                limit.on_overload(Duration::from_millis(round * 50));
            }
        }
        (0..admitted).for_each(|_| limit.release());
        admitted_by_round.push(admitted);
    }
    let settled = &admitted_by_round[1000..];
    assert!(
        settled.iter().all(|n| (25..=60).contains(n)),
        "{:?}",
        settled.iter().max()
    );
}
