//! Settings are reloaded while requests are in flight and a canary runs.

mod harness;

use harness::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use tulipwall::*;

fn unchanged_indices(d: &Settings) -> IndexMapping {
    IndexMapping {
        classes: vec![IndexOrigin::Same; d.classes.len()],
        tenants: vec![IndexOrigin::Same; d.tenants.len()],
    }
}

/// Eight endpoints of build 7 that have served requests, and three of the canary, build 8, past
/// their slow start.
fn canary_rollout_with(d: Settings) -> Harness {
    let mut driver = Harness::new(d);
    driver.update_endpoints(
        &(0..8)
            .map(|i| endpoint_entry(i, 7, None))
            .collect::<Vec<_>>(),
    );
    driver.update_rollout(RolloutStatus {
        phase: RolloutPhase::Released,
        ..canary_status(7, 0, 1.0)
    });
    driver.serve(40, 0, ms(20), |_| Outcome::Succeeded);
    driver.update_rollout(canary_status(8, 0, 0.3));
    driver.update_endpoints(
        &(8..11)
            .map(|i| endpoint_entry(i, 8, Some(1100)))
            .collect::<Vec<_>>(),
    );
    driver.advance(ms(4200));
    driver
}

/// Ends one random attempt, if any is in flight.
fn end_random_attempt(driver: &mut Harness, rng: &mut Pcg64Mcg) {
    let (skip, fails) = (rng.gen_range(0..3), rng.gen_bool(0.15));
    let in_flight = driver
        .requests
        .iter()
        .filter_map(|(id, h)| Some((*id, h.attempts.iter().position(|d| d.ended.is_none())?)));
    if let Some((id, n)) = in_flight.skip(skip).last() {
        let failures = [
            Outcome::Failed,
            Outcome::Rejected,
            Outcome::ConnectionLost,
            Outcome::ConnectFailed,
        ];
        let outcome = if fails {
            failures[rng.gen_range(0..failures.len())]
        } else {
            Outcome::Succeeded
        };
        driver.end_attempt(id, n, outcome);
    }
}

/// Sends a random request in each of `steps` steps of 5 to 59 ms. `after_each_step` is called after
/// each step and may reload the settings.
fn send_random_requests(
    driver: &mut Harness,
    seed: u64,
    steps: usize,
    mut after_each_step: impl FnMut(&mut Harness, &mut Pcg64Mcg, usize),
) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    for step in 0..steps {
        let class = rng.gen_range(0..3);
        let id = driver.requests.len() as u64;
        driver.send_request(id, class, ms(1500));
        driver.advance(ms(rng.gen_range(5..60)));
        for _ in 0..rng.gen_range(0..3) {
            end_random_attempt(driver, &mut rng);
        }
        after_each_step(driver, &mut rng, step);
    }
}

/// Everything that was decided: the endpoint of each attempt, each final answer and each vote.
fn recorded_decisions(driver: &Harness) -> String {
    let requests: Vec<_> = driver
        .requests
        .values()
        .map(|h| (&h.answers, &h.attempts))
        .collect();
    format!(
        "{:?} {requests:?} {:?} {:?}",
        driver.forwarded, driver.votes, driver.log_lines
    )
}

#[test]
fn a_reload_with_the_same_settings_changes_no_decision() {
    for seed in 0..12 {
        let mut d = default_settings(seed);
        (d.rollout.cap_per_class, d.hedging, d.rollout.sticky_builds) =
            (seed % 2 == 0, seed % 3 == 0, seed % 4 == 1);
        let (mut one, mut other) = (
            canary_rollout_with(d.clone()),
            canary_rollout_with(d.clone()),
        );
        send_random_requests(&mut one, seed, 400, |_, _, _| {});
        send_random_requests(&mut other, seed, 400, |driver, _, step| {
            if step % 7 == 3 {
                let d = driver.settings.clone();
                driver.reload(d.clone(), &unchanged_indices(&d));
            }
        });
        assert_eq!(
            recorded_decisions(&one),
            recorded_decisions(&other),
            "seed {seed}"
        );
    }
}

/// The harness checks each attempt against the rules in force: windows across the reload, guarded
/// stages, sticky builds, idempotency by class. Guards against exposure tokens that a reload
/// refills.
#[test]
fn keeps_the_rules_across_random_reloads() {
    let mut exposed = 0;
    for seed in 0..40 {
        let mut driver = canary_rollout_with(Settings {
            agents: 1,
            ..default_settings(seed)
        });
        send_random_requests(&mut driver, seed, 500, |driver, rng, step| {
            if step % 5 != 0 {
                return;
            }
            let mut d = driver.settings.clone();
            let r = &mut d.rollout;
            match rng.gen_range(0..8) {
                0 => r.exposure_burst = f64::from(rng.gen_range(1..6)),
                1 => r.cap_per_class = !r.cap_per_class,
                2 => r.guarded_stages = rng.gen_range(0..2),
                3 => r.sticky_builds = !r.sticky_builds,
                4 => d.max_attempts = rng.gen_range(1..5),
                5 => d.timer_granularity = ms(rng.gen_range(1..8)),
                6 => d
                    .classes
                    .iter_mut()
                    .for_each(|l| l.latency_objective = ms(rng.gen_range(100..2000))),
                _ => d.tenants[0].share = rng.gen_range(0.0..1.0),
            }
            let mapping = unchanged_indices(&d);
            driver.reload(d, &mapping);
        });
        exposed += driver.forwarded.iter().filter(|(_, i)| *i >= 8).count();
    }
    assert!(exposed > 200, "too few attempts to the canary: {exposed}");
}

#[test]
fn a_thousand_reloads_expose_no_more_than_no_reload() {
    let exposed = |reloads: bool| {
        let mut driver = canary_rollout_with(Settings {
            agents: 1,
            ..default_settings(3)
        });
        send_random_requests(&mut driver, 3, 600, |driver, _, _| {
            for burst in [40.0, 2.0].into_iter().filter(|_| reloads) {
                let mut d = driver.settings.clone();
                d.rollout.exposure_burst = burst;
                let mapping = unchanged_indices(&d);
                driver.reload(d, &mapping);
            }
        });
        driver.forwarded.iter().filter(|(_, i)| *i >= 8).count()
    };
    let (none, many) = (exposed(false), exposed(true));
    assert!(
        none > 20 && many <= none,
        "exposed attempts: {many} with reloads, {none} without"
    );
}

/// A class that is removed and added again does not get its initial exposure once more.
#[test]
fn starts_a_new_class_without_exposure() {
    let mut d = default_settings(5);
    (d.rollout.cap_per_class, d.rollout.exposure_burst) = (true, 5.0);
    let mut driver = canary_rollout_with(Settings { agents: 1, ..d });
    driver.update_rollout(canary_status(8, 0, 1e-9));
    let before = driver.forwarded.len();
    for _ in 0..30 {
        let mut d = driver.settings.clone();
        let mut mapping = unchanged_indices(&d);
        d.classes.truncate(3);
        mapping.classes.truncate(3);
        d.classes.push(d.classes[0].clone());
        mapping.classes.push(IndexOrigin::New);
        driver.reload(d, &mapping);
        for _ in 0..6 {
            let id = driver.requests.len() as u64;
            driver.send_request(id, 3, ms(1500));
            driver.advance(ms(10));
            if let Some(n) = driver.requests[&id]
                .attempts
                .iter()
                .position(|d| d.ended.is_none())
            {
                driver.end_attempt(id, n, Outcome::Succeeded);
            }
        }
    }
    let to_canary = driver.forwarded[before..]
        .iter()
        .filter(|(_, i)| *i >= 8)
        .count();
    assert_eq!(
        (to_canary, driver.forwarded.len() - before >= 150),
        (0, true)
    );
}

/// Requests in flight keep the rules that they were admitted under, later requests follow the new
/// ones.
#[test]
fn keeps_the_idempotency_of_requests_in_flight_across_a_reload() {
    let mut driver = Harness::new(Settings {
        agents: 1,
        ..default_settings(9)
    });
    driver.update_endpoints(
        &(0..6)
            .map(|i| endpoint_entry(i, 7, None))
            .collect::<Vec<_>>(),
    );
    driver.update_rollout(RolloutStatus {
        phase: RolloutPhase::Released,
        ..canary_status(7, 0, 1.0)
    });
    driver.serve(60, 0, ms(20), |_| Outcome::Succeeded);
    // An idempotent request is in flight; then its class becomes non-idempotent under another
    // index.
    let id = driver.requests.len() as u64;
    driver.send_request(id, 0, ms(1500));
    driver.send_request(id + 1, 2, ms(1500));
    let mut d = driver.settings.clone();
    d.classes.push(RequestClass {
        idempotency: Idempotency::NonIdempotent,
        ..d.classes[0].clone()
    });
    let mut mapping = unchanged_indices(&d);
    mapping.classes = vec![
        IndexOrigin::Retired,
        IndexOrigin::Same,
        IndexOrigin::Same,
        IndexOrigin::MovedFrom(0),
    ];
    assert_eq!(driver.balancer.indices_in_use().classes, [0, 2].into());
    driver.reload(d, &mapping);
    driver.send_request(id + 2, 3, ms(1500));
    for n in [id, id + 1, id + 2] {
        driver.end_attempt(n, 0, Outcome::ConnectionLost);
    }
    driver.advance(ms(200));
    assert_eq!(
        driver.requests[&id].attempts.len(),
        2,
        "a request admitted as idempotent was not sent again"
    );
    assert_eq!(
        (
            driver.requests[&(id + 1)].attempts.len(),
            driver.requests[&(id + 2)].attempts.len()
        ),
        (1, 1)
    );
    assert_eq!(driver.requests[&(id + 2)].answers, [Decision::Fail]);
    driver.end_attempt(id, 1, Outcome::Succeeded);
    assert!(
        driver.balancer.indices_in_use().classes.is_empty(),
        "{:?}",
        driver.balancer.indices_in_use()
    );
    // The index becomes unused: it must add to no sum, although its former class was slow.
    let mut d = driver.settings.clone();
    d.classes[0] = RequestClass {
        latency_objective: ms(1000),
        priority_weight: 0.0,
        idempotency: Idempotency::NonIdempotent,
    };
    mapping.classes = vec![
        IndexOrigin::Unused,
        IndexOrigin::Same,
        IndexOrigin::Same,
        IndexOrigin::Same,
    ];
    driver.reload(d, &mapping);
    driver.serve(30, 3, ms(20), |_| Outcome::Succeeded);
}

/// The evidence of a class continues under its new index and is counted once: the canary is held
/// after as many requests as without the change. Guards against evidence that is lost and against
/// evidence that counts twice.
#[test]
fn carries_evidence_over_to_another_index_once() {
    /// Returns how many rounds of three requests it takes until the build is held, after `before`
    /// requests and, if `moves` is set, a move of the class to another index.
    fn rounds_until_held(seed: u64, before: u64, moves: bool) -> usize {
        let policy = RolloutPolicy {
            exposure_burst: 200.0,
            ..default_settings(seed).rollout
        };
        let mut driver = canary_rollout_with(Settings {
            agents: 1,
            rollout: policy,
            ..default_settings(seed)
        });
        driver.update_rollout(canary_status(8, 0, 1.0));
        let serve = |driver: &mut Harness, class: usize, n: u64| {
            let fails = std::cell::Cell::new(0);
            driver.serve(n, class, ms(20), |e| {
                fails.set(fails.get() + usize::from(e.build == 8));
                if e.build == 8 && fails.get().is_multiple_of(3) {
                    Outcome::Failed
                } else {
                    Outcome::Succeeded
                }
            });
        };
        serve(&mut driver, 0, before);
        let mut class = 0;
        if moves {
            let mut d = driver.settings.clone();
            d.classes.push(d.classes[0].clone());
            let classes = vec![
                IndexOrigin::Retired,
                IndexOrigin::Same,
                IndexOrigin::Same,
                IndexOrigin::MovedFrom(0),
            ];
            let mapping = IndexMapping {
                classes,
                ..unchanged_indices(&d)
            };
            driver.reload(d, &mapping);
            class = 3;
        }
        (0..400)
            .find(|_| {
                serve(&mut driver, class, 3);
                !driver.votes.is_empty()
            })
            .unwrap_or(400)
    }
    for (seed, before) in (0..6).flat_map(|seed| [(seed, 0), (seed, 20), (seed, 40)]) {
        assert_eq!(
            rounds_until_held(seed, before, true),
            rounds_until_held(seed, before, false),
            "seed {seed}, {before} requests before the move"
        );
    }
}

#[test]
fn returns_an_endpoint_to_slow_start_when_a_reload_lengthens_it() {
    let share = |slow_start: u64| {
        let mut driver = Harness::new(Settings {
            agents: 1,
            ..default_settings(2)
        });
        driver.update_endpoints(
            &(0..5)
                .map(|i| endpoint_entry(i, 7, None))
                .collect::<Vec<_>>(),
        );
        driver.update_endpoints(&[endpoint_entry(5, 7, Some(900))]);
        driver.update_rollout(RolloutStatus {
            phase: RolloutPhase::Released,
            ..canary_status(7, 0, 1.0)
        });
        driver.serve(300, 0, ms(15), |_| Outcome::Succeeded);
        let d = Settings {
            slow_start_duration: ms(slow_start),
            ..driver.settings.clone()
        };
        let mapping = unchanged_indices(&d);
        driver.advance(Duration::from_secs(3));
        driver.reload(d, &mapping);
        let before = driver.forwarded.len();
        driver.serve(200, 0, ms(15), |_| Outcome::Succeeded);
        driver.forwarded[before..]
            .iter()
            .filter(|(_, i)| *i == 5)
            .count()
    };
    let (warm, warming) = (share(4000), share(60_000));
    assert!(
        warm > 20 && warming < warm * 3 / 4,
        "attempts, of 200: {warming} in slow start, {warm} warm"
    );
}

#[test]
fn keeps_tenant_loads_by_index_and_retained_counts_when_zones_move() {
    let mut driver = canary_rollout_with(Settings {
        agents: 1,
        ..default_settings(4)
    });
    let mut d = driver.settings.clone();
    d.tenants.push(Tenant { share: 0.1 });
    let mapping = IndexMapping {
        tenants: vec![IndexOrigin::Unused, IndexOrigin::Same, IndexOrigin::New],
        ..unchanged_indices(&d)
    };
    driver.reload(d, &mapping);
    let retained = driver.balancer.retained_counts();
    driver
        .balancer
        .reassign_zones(&(0..11).map(|i| (i, 5)).collect::<Vec<_>>());
    assert_eq!(driver.balancer.retained_counts(), retained);
    assert_eq!(
        driver.balancer.zone_capacities(driver.now, 6)[5].running,
        11
    );
    driver.serve(20, 0, ms(20), |_| Outcome::Succeeded);
}
