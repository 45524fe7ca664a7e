//! The bound on calls in flight, case by case.

use std::time::Duration;
use tulipwall::Idempotency;
use tulipwall_client_policy::{Bound, InFlight, RequestClass};

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
    let mut bound = Bound::new(
        InFlight {
            least: 10.0,
            most: 10.0,
            ..InFlight::default()
        },
        &classes(),
    );
    let view = (0..20).filter(|_| bound.take(0)).count();
    let payment = (0..20).filter(|_| bound.take(1)).count();
    assert_eq!((view, view + payment), (8, 10));
    let mut small = Bound::new(
        InFlight {
            least: 0.0,
            most: 0.0,
            ..InFlight::default()
        },
        &classes(),
    );
    assert!(small.take(0) && !small.take(1));
}

#[test]
fn it_follows_what_the_agents_can_bear() {
    // They bear 40 at once; beyond that they deny.
    let mut bound = Bound::new(
        InFlight {
            most: 500.0,
            ..InFlight::default()
        },
        &classes(),
    );
    let mut seen = Vec::new();
    for round in 0..2000u64 {
        let taken = (0..600).filter(|_| bound.take(1)).count();
        for n in 0..taken {
            if n < 40 {
                bound.good();
            } else {
                bound.bad(Duration::from_millis(round * 50));
            }
        }
        (0..taken).for_each(|_| bound.left());
        seen.push(taken);
    }
    let late = &seen[1000..];
    assert!(
        late.iter().all(|n| (25..=60).contains(n)),
        "{:?}",
        late.iter().max()
    );
}
