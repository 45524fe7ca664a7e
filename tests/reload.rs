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

/// Eight endpoints of build 7 that have answered, and three of build 8 on trial, warm.
fn canary_rollout_with(d: Settings) -> Harness {
    let mut w = Harness::new(d);
    w.update_endpoints(
        &(0..8)
            .map(|i| endpoint_entry(i, 7, None))
            .collect::<Vec<_>>(),
    );
    w.update_rollout(RolloutStatus {
        phase: RolloutPhase::Released,
        ..canary_status(7, 0, 1.0)
    });
    w.serve(40, 0, ms(20), |_| Outcome::Succeeded);
    w.update_rollout(canary_status(8, 0, 0.3));
    w.update_endpoints(
        &(8..11)
            .map(|i| endpoint_entry(i, 8, Some(1100)))
            .collect::<Vec<_>>(),
    );
    w.advance(ms(4200));
    w
}

/// Ends one random attempt, if any is in flight.
fn end_one(w: &mut Harness, rng: &mut Pcg64Mcg) {
    let (skip, fails) = (rng.gen_range(0..3), rng.gen_bool(0.15));
    let in_flight = w
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
        w.end_attempt(id, n, outcome);
    }
}

/// A minute or so of random requests; `between` may reload the settings.
fn play(
    w: &mut Harness,
    seed: u64,
    steps: usize,
    mut between: impl FnMut(&mut Harness, &mut Pcg64Mcg, usize),
) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    for step in 0..steps {
        let class = rng.gen_range(0..3);
        let id = w.requests.len() as u64;
        w.send_request(id, class, ms(1500));
        w.advance(ms(rng.gen_range(5..60)));
        for _ in 0..rng.gen_range(0..3) {
            end_one(w, &mut rng);
        }
        between(w, &mut rng, step);
    }
}

/// What was decided: where each attempt went, each final answer, each vote.
fn decided(w: &Harness) -> String {
    let requests: Vec<_> = w
        .requests
        .values()
        .map(|h| (&h.answers, &h.attempts))
        .collect();
    format!(
        "{:?} {requests:?} {:?} {:?}",
        w.forwarded, w.votes, w.log_lines
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
        play(&mut one, seed, 400, |_, _, _| {});
        play(&mut other, seed, 400, |w, _, step| {
            if step % 7 == 3 {
                let d = w.settings.clone();
                w.reload(d.clone(), &unchanged_indices(&d));
            }
        });
        assert_eq!(decided(&one), decided(&other), "seed {seed}");
    }
}

/// The harness checks each attempt by the rules in force: windows across the reload, guarded stages,
/// sticky builds, idempotency by class. Against tokens that a reload refills.
#[test]
fn keeps_the_rules_across_random_reloads() {
    let mut exposed = 0;
    for seed in 0..40 {
        let mut w = canary_rollout_with(Settings {
            agents: 1,
            ..default_settings(seed)
        });
        play(&mut w, seed, 500, |w, rng, step| {
            if step % 5 != 0 {
                return;
            }
            let mut d = w.settings.clone();
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
            let by = unchanged_indices(&d);
            w.reload(d, &by);
        });
        exposed += w.forwarded.iter().filter(|(_, i)| *i >= 8).count();
    }
    assert!(
        exposed > 200,
        "the canary was exposed all the same: {exposed}"
    );
}

#[test]
fn a_thousand_reloads_expose_no_more_than_none() {
    let exposed = |reloads: bool| {
        let mut w = canary_rollout_with(Settings {
            agents: 1,
            ..default_settings(3)
        });
        play(&mut w, 3, 600, |w, _, _| {
            for burst in [40.0, 2.0].into_iter().filter(|_| reloads) {
                let mut d = w.settings.clone();
                d.rollout.exposure_burst = burst;
                let by = unchanged_indices(&d);
                w.reload(d, &by);
            }
        });
        w.forwarded.iter().filter(|(_, i)| *i >= 8).count()
    };
    let (none, many) = (exposed(false), exposed(true));
    assert!(
        none > 20 && many <= none,
        "{many} with reloads, {none} without"
    );
}

/// A class that comes and goes does not earn its first exposures anew.
#[test]
fn starts_a_new_class_without_exposure() {
    let mut d = default_settings(5);
    (d.rollout.cap_per_class, d.rollout.exposure_burst) = (true, 5.0);
    let mut w = canary_rollout_with(Settings { agents: 1, ..d });
    w.update_rollout(canary_status(8, 0, 1e-9));
    let before = w.forwarded.len();
    for _ in 0..30 {
        let mut d = w.settings.clone();
        let mut by = unchanged_indices(&d);
        d.classes.truncate(3);
        by.classes.truncate(3);
        d.classes.push(d.classes[0].clone());
        by.classes.push(IndexOrigin::New);
        w.reload(d, &by);
        for _ in 0..6 {
            let id = w.requests.len() as u64;
            w.send_request(id, 3, ms(1500));
            w.advance(ms(10));
            if let Some(n) = w.requests[&id]
                .attempts
                .iter()
                .position(|d| d.ended.is_none())
            {
                w.end_attempt(id, n, Outcome::Succeeded);
            }
        }
    }
    let to_canary = w.forwarded[before..]
        .iter()
        .filter(|(_, i)| *i >= 8)
        .count();
    assert_eq!((to_canary, w.forwarded.len() - before >= 150), (0, true));
}

/// Requests in flight end by the rules that they were admitted under, later ones by the new ones.
#[test]
fn keeps_the_idempotency_of_requests_in_flight_across_a_reload() {
    let mut w = Harness::new(Settings {
        agents: 1,
        ..default_settings(9)
    });
    w.update_endpoints(
        &(0..6)
            .map(|i| endpoint_entry(i, 7, None))
            .collect::<Vec<_>>(),
    );
    w.update_rollout(RolloutStatus {
        phase: RolloutPhase::Released,
        ..canary_status(7, 0, 1.0)
    });
    w.serve(60, 0, ms(20), |_| Outcome::Succeeded);
    // Idempotent, in flight; then its class is non-idempotent under another index.
    let id = w.requests.len() as u64;
    w.send_request(id, 0, ms(1500));
    w.send_request(id + 1, 2, ms(1500));
    let mut d = w.settings.clone();
    d.classes.push(RequestClass {
        idempotency: Idempotency::NonIdempotent,
        ..d.classes[0].clone()
    });
    let mut by = unchanged_indices(&d);
    by.classes = vec![
        IndexOrigin::Retired,
        IndexOrigin::Same,
        IndexOrigin::Same,
        IndexOrigin::MovedFrom(0),
    ];
    assert_eq!(w.balancer.indices_in_use().classes, [0, 2].into());
    w.reload(d, &by);
    w.send_request(id + 2, 3, ms(1500));
    for n in [id, id + 1, id + 2] {
        w.end_attempt(n, 0, Outcome::ConnectionLost);
    }
    w.advance(ms(200));
    assert_eq!(
        w.requests[&id].attempts.len(),
        2,
        "it may run twice, as when it was admitted"
    );
    assert_eq!(
        (
            w.requests[&(id + 1)].attempts.len(),
            w.requests[&(id + 2)].attempts.len()
        ),
        (1, 1)
    );
    assert_eq!(w.requests[&(id + 2)].answers, [Decision::Fail]);
    w.end_attempt(id, 1, Outcome::Succeeded);
    assert!(
        w.balancer.indices_in_use().classes.is_empty(),
        "{:?}",
        w.balancer.indices_in_use()
    );
    // Its index is nobody's: it takes part in no sum, though it was slow.
    let mut d = w.settings.clone();
    d.classes[0] = RequestClass {
        latency_objective: ms(1000),
        priority_weight: 0.0,
        idempotency: Idempotency::NonIdempotent,
    };
    by.classes = vec![
        IndexOrigin::Unused,
        IndexOrigin::Same,
        IndexOrigin::Same,
        IndexOrigin::Same,
    ];
    w.reload(d, &by);
    w.serve(30, 3, ms(20), |_| Outcome::Succeeded);
}

/// A class's evidence goes on under its new index and is counted once: the canary is held after as
/// many requests as without the change. Against evidence that is lost, and against such that counts
/// twice.
#[test]
fn carries_evidence_over_to_another_index_once() {
    /// After so many, the class moves or not: how many more it takes until the build is held.
    fn needed(seed: u64, before: u64, moves: bool) -> usize {
        let policy = RolloutPolicy {
            exposure_burst: 200.0,
            ..default_settings(seed).rollout
        };
        let mut w = canary_rollout_with(Settings {
            agents: 1,
            rollout: policy,
            ..default_settings(seed)
        });
        w.update_rollout(canary_status(8, 0, 1.0));
        let serve = |w: &mut Harness, class: usize, n: u64| {
            let fails = std::cell::Cell::new(0);
            w.serve(n, class, ms(20), |e| {
                fails.set(fails.get() + usize::from(e.build == 8));
                if e.build == 8 && fails.get().is_multiple_of(3) {
                    Outcome::Failed
                } else {
                    Outcome::Succeeded
                }
            });
        };
        serve(&mut w, 0, before);
        let mut class = 0;
        if moves {
            let mut d = w.settings.clone();
            d.classes.push(d.classes[0].clone());
            let classes = vec![
                IndexOrigin::Retired,
                IndexOrigin::Same,
                IndexOrigin::Same,
                IndexOrigin::MovedFrom(0),
            ];
            let by = IndexMapping {
                classes,
                ..unchanged_indices(&d)
            };
            w.reload(d, &by);
            class = 3;
        }
        (0..400)
            .find(|_| {
                serve(&mut w, class, 3);
                !w.votes.is_empty()
            })
            .unwrap_or(400)
    }
    for (seed, before) in (0..6).flat_map(|seed| [(seed, 0), (seed, 20), (seed, 40)]) {
        assert_eq!(
            needed(seed, before, true),
            needed(seed, before, false),
            "seed {seed}, {before} before"
        );
    }
}

#[test]
fn returns_an_endpoint_to_slow_start_when_that_lasts_longer() {
    let share = |slow_start: u64| {
        let mut w = Harness::new(Settings {
            agents: 1,
            ..default_settings(2)
        });
        w.update_endpoints(
            &(0..5)
                .map(|i| endpoint_entry(i, 7, None))
                .collect::<Vec<_>>(),
        );
        w.update_endpoints(&[endpoint_entry(5, 7, Some(900))]);
        w.update_rollout(RolloutStatus {
            phase: RolloutPhase::Released,
            ..canary_status(7, 0, 1.0)
        });
        w.serve(300, 0, ms(15), |_| Outcome::Succeeded);
        let d = Settings {
            slow_start_duration: ms(slow_start),
            ..w.settings.clone()
        };
        let by = unchanged_indices(&d);
        w.advance(Duration::from_secs(3));
        w.reload(d, &by);
        let before = w.forwarded.len();
        w.serve(200, 0, ms(15), |_| Outcome::Succeeded);
        w.forwarded[before..]
            .iter()
            .filter(|(_, i)| *i == 5)
            .count()
    };
    let (warm, warming) = (share(4000), share(60_000));
    assert!(
        warm > 20 && warming < warm * 3 / 4,
        "{warming} of 200 cold, {warm} warm"
    );
}

#[test]
fn keeps_the_load_of_tenants_by_index_and_moves_zones_without_a_loss() {
    let mut w = canary_rollout_with(Settings {
        agents: 1,
        ..default_settings(4)
    });
    let mut d = w.settings.clone();
    d.tenants.push(Tenant { share: 0.1 });
    let by = IndexMapping {
        tenants: vec![IndexOrigin::Unused, IndexOrigin::Same, IndexOrigin::New],
        ..unchanged_indices(&d)
    };
    w.reload(d, &by);
    let kept = w.balancer.retained_counts();
    w.balancer
        .reassign_zones(&(0..11).map(|i| (i, 5)).collect::<Vec<_>>());
    assert_eq!(w.balancer.retained_counts(), kept);
    assert_eq!(w.balancer.zone_capacities(w.now, 6)[5].running, 11);
    w.serve(20, 0, ms(20), |_| Outcome::Succeeded);
}
