//! Compares the policy for the balancer with the budgets, class by class.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use tulipwall::{Outcome, ZoneCapacity, ZoneCounts};
use tulipwall_zones::*;

const ZONES: usize = 4;
const CLASSES: usize = 6;
const LOCAL_ZONE: usize = 1;
const STEPS: usize = 400;

/// A budget of any unit, for all zones or one of them, and for all classes or one of them.
fn random_budget(random: &mut Pcg64Mcg, number: usize) -> Budget {
    let limit = match random.gen_range(0..4) {
        0 => Limit::Attempts(random.gen_range(0.0..60.0)),
        1 => Limit::Bytes(random.gen_range(0.0..60_000.0)),
        2 => Limit::Money(random.gen_range(0.0..60.0)),
        _ => Limit::Share(random.gen_range(0.0..1.0)),
    };
    Budget {
        name: format!("b{number}"),
        to: random.gen_bool(0.5).then(|| random.gen_range(0..ZONES)),
        class: random.gen_bool(0.3).then(|| random.gen_range(0..CLASSES)),
        limit,
        window: Duration::from_secs(10),
        agent_fraction: 1.0,
    }
}

fn random_config(random: &mut Pcg64Mcg) -> ZoneConfig {
    let classes = (0..CLASSES).map(|_| ClassProfile {
        priority_weight: random.gen_range(0.0..5.0),
        latency_objective: Duration::from_millis(400),
    });
    let classes = classes.collect();
    let links = (0..=ZONES).map(|_| Link {
        price: Price {
            per_attempt: random.gen_range(0.0..2.0),
            ..Price::default()
        },
        ..Link::default()
    });
    let links = links.collect();
    let budget_count = random.gen_range(1..5);
    ZoneConfig {
        local_zone: LOCAL_ZONE,
        zone_count: ZONES,
        classes,
        links,
        budgets: (0..budget_count)
            .map(|number| random_budget(random, number))
            .collect(),
        routing: RoutingPolicy::LocalFirst,
    }
}

fn capacities() -> Vec<ZoneCapacity> {
    let capacity = ZoneCapacity {
        running: 4,
        responsive: 4,
        warm: 4,
        capacity: 4.0,
        ..ZoneCapacity::default()
    };
    vec![capacity; ZONES + 1]
}

/// The endpoint counts of each zone, which match its [`capacities`].
fn counts() -> ZoneCounts {
    ZoneCounts {
        running: 4,
        responsive: 4,
        warm: 4,
        ..ZoneCounts::default()
    }
}

/// Sends one request to a random zone and completes it.
fn send(zones: &mut Zones, random: &mut Pcg64Mcg, now: Duration) {
    let class = random.gen_range(0..CLASSES);
    zones.on_request(now, class);
    let attempt = AttemptStart {
        to: random.gen_range(0..ZONES),
        class,
        build: 41,
        previous_attempts: 0,
        hedged: false,
        is_canary: false,
        pinned_to_scope: false,
    };
    let reservation = zones.on_attempt(now, attempt, |_| counts());
    let end = CompletedAttempt {
        outcome: Outcome::Succeeded,
        fault: ResponseFault::None,
        fully_written: true,
        bytes_sent: random.gen_range(10..2000),
        bytes_received: random.gen_range(10..2000),
        latency: Duration::from_millis(random.gen_range(1..400)),
    };
    zones.on_attempt_end(now, &reservation, &end);
}

/// Asserts that a new policy restricts each class as the budgets do, and counts the restricted
/// ones. Returns 0 if the policy did not change.
fn count_restricted(zones: &mut Zones, seed: u64) -> usize {
    let Some(policy) = zones.cross_zone_policy() else {
        return 0;
    };
    let mut restricted = 0;
    for zone in (0..=ZONES).filter(|zone| *zone != LOCAL_ZONE) {
        let zone_policy = &policy.zones[zone];
        let both = [
            &zone_policy.last_resort,
            &zone_policy.last_resort_for_retries,
        ];
        for (is_repeat, last_resort) in [false, true].into_iter().zip(both) {
            for (class, is_last_resort) in last_resort.iter().enumerate() {
                let admitted = zones.budget_meters().admits(zone, class, is_repeat);
                let expected = !admitted && !zones.router().is_saturated(class);
                assert_eq!(
                    *is_last_resort, expected,
                    "seed {seed}, zone {zone}, class {class}, repeat {is_repeat}"
                );
                restricted += usize::from(expected);
            }
            assert_eq!(last_resort.len(), CLASSES);
        }
    }
    restricted
}

#[test]
fn restricts_exactly_the_classes_that_the_budgets_do_not_admit() {
    let mut restricted = 0;
    for seed in 0..50 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut now = Duration::from_secs(3600);
        let mut zones = Zones::new(now, random_config(&mut random));
        for _ in 0..STEPS {
            now += Duration::from_millis(random.gen_range(1..80));
            send(&mut zones, &mut random, now);
            zones.tick(now, &capacities());
            restricted += count_restricted(&mut zones, seed);
        }
    }
    assert!(
        restricted > 1000,
        "only {restricted} classes were restricted"
    );
}

/// Guards against a class that crosses until the next tick although its budget no longer admits it:
/// the usage at which it must be restricted is known between two ticks.
#[test]
fn a_class_is_restricted_between_two_ticks_once_its_budget_is_used() {
    for seed in 0..50 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut now = Duration::from_secs(3600);
        let mut zones = Zones::new(now, random_config(&mut random));
        // The amount that counts as spent at the start has left the windows.
        now += Duration::from_secs(60);
        (0..STEPS).for_each(|step| zones.on_request(now, step % CLASSES));
        zones.tick(now, &capacities());
        let mut admitted_before = vec![true; CLASSES];
        for step in 0..STEPS {
            now += Duration::from_millis(1);
            let class = step % CLASSES;
            let attempt = AttemptStart {
                to: 0,
                class,
                build: 41,
                previous_attempts: 0,
                hedged: false,
                is_canary: false,
                pinned_to_scope: false,
            };
            zones.on_attempt(now, attempt, |_| counts());
            if let Some(policy) = zones.cross_zone_policy() {
                let last_resort = &policy.zones[0].last_resort;
                admitted_before = last_resort.iter().map(|restricted| !restricted).collect();
            }
            for (class, admitted) in admitted_before.iter().enumerate() {
                let is_admitted = zones.budget_meters().admits(0, class, false);
                assert!(is_admitted || !admitted, "seed {seed}, class {class}");
            }
        }
    }
}
