//! Settings taken over while requests are in hand and builds on trial.

mod world;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use tulipwall::*;
use world::*;

fn same(d: &Settings) -> IndexMapping {
    IndexMapping {
        classes: vec![IndexOrigin::Same; d.classes.len()],
        tenants: vec![IndexOrigin::Same; d.tenants.len()],
    }
}

/// Eight endpoints of build 7 that have answered, and three of build 8 on trial, warm.
fn rollout(d: Settings) -> World {
    let mut w = World::new(d);
    w.list(&(0..8).map(|i| listed(i, 7, None)).collect::<Vec<_>>());
    w.rollout_status(RolloutStatus {
        phase: RolloutPhase::Released,
        ..trial(7, 0, 1.0)
    });
    w.serve(40, 0, ms(20), |_| Outcome::Succeeded);
    w.rollout_status(trial(8, 0, 0.3));
    w.list(
        &(8..11)
            .map(|i| listed(i, 8, Some(1100)))
            .collect::<Vec<_>>(),
    );
    w.pass(ms(4200));
    w
}

/// Ends one attempt by chance, if any is out.
fn end_one(w: &mut World, rng: &mut Pcg64Mcg) {
    let (skip, fails) = (rng.gen_range(0..3), rng.gen_bool(0.15));
    let out = w
        .held
        .iter()
        .filter_map(|(id, h)| Some((*id, h.attempts.iter().position(|d| d.ended.is_none())?)));
    if let Some((id, n)) = out.skip(skip).last() {
        let kinds = [
            Outcome::Failed,
            Outcome::Rejected,
            Outcome::ConnectionLost,
            Outcome::ConnectFailed,
        ];
        let outcome = if fails {
            kinds[rng.gen_range(0..kinds.len())]
        } else {
            Outcome::Succeeded
        };
        w.end(id, n, outcome);
    }
}

/// A minute or so of requests by chance; `between` may renew the settings.
fn play(
    w: &mut World,
    seed: u64,
    steps: usize,
    mut between: impl FnMut(&mut World, &mut Pcg64Mcg, usize),
) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    for step in 0..steps {
        let class = rng.gen_range(0..3);
        let id = w.held.len() as u64;
        w.take(id, class, ms(1500));
        w.pass(ms(rng.gen_range(5..60)));
        for _ in 0..rng.gen_range(0..3) {
            end_one(w, &mut rng);
        }
        between(w, &mut rng, step);
    }
}

/// What was decided: where each attempt went, each final answer, each vote.
fn decided(w: &World) -> String {
    let held: Vec<_> = w.held.values().map(|h| (&h.answers, &h.attempts)).collect();
    format!("{:?} {held:?} {:?} {:?}", w.sends, w.votes, w.notes)
}

#[test]
fn a_renewal_with_the_same_settings_decides_as_none() {
    for seed in 0..12 {
        let mut d = deployment(seed);
        (d.rollout.cap_per_class, d.hedging, d.rollout.sticky_builds) =
            (seed % 2 == 0, seed % 3 == 0, seed % 4 == 1);
        let (mut one, mut other) = (rollout(d.clone()), rollout(d.clone()));
        play(&mut one, seed, 400, |_, _, _| {});
        play(&mut other, seed, 400, |w, _, step| {
            if step % 7 == 3 {
                let d = w.d.clone();
                w.renew(d.clone(), &same(&d));
            }
        });
        assert_eq!(decided(&one), decided(&other), "seed {seed}");
    }
}

/// The world checks each attempt by the rules in force: windows across the change, guarded stages,
/// one way, repeats by class. Against tokens that a renewal refills.
#[test]
fn the_rules_hold_across_renewals_by_chance() {
    let mut exposed = 0;
    for seed in 0..40 {
        let mut w = rollout(Settings {
            agents: 1,
            ..deployment(seed)
        });
        play(&mut w, seed, 500, |w, rng, step| {
            if step % 5 != 0 {
                return;
            }
            let mut d = w.d.clone();
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
            let by = same(&d);
            w.renew(d, &by);
        });
        exposed += w.sends.iter().filter(|(_, i)| *i >= 8).count();
    }
    assert!(
        exposed > 200,
        "the trial was exposed all the same: {exposed}"
    );
}

#[test]
fn a_thousand_renewals_expose_no_more_than_none() {
    let exposed = |renews: bool| {
        let mut w = rollout(Settings {
            agents: 1,
            ..deployment(3)
        });
        play(&mut w, 3, 600, |w, _, _| {
            for free in [40.0, 2.0].into_iter().filter(|_| renews) {
                let mut d = w.d.clone();
                d.rollout.exposure_burst = free;
                let by = same(&d);
                w.renew(d, &by);
            }
        });
        w.sends.iter().filter(|(_, i)| *i >= 8).count()
    };
    let (none, many) = (exposed(false), exposed(true));
    assert!(
        none > 20 && many <= none,
        "{many} with renewals, {none} without"
    );
}

/// A class that comes and goes does not earn its first exposures anew.
#[test]
fn a_lane_that_is_new_begins_without_exposure() {
    let mut d = deployment(5);
    (d.rollout.cap_per_class, d.rollout.exposure_burst) = (true, 5.0);
    let mut w = rollout(Settings { agents: 1, ..d });
    w.rollout_status(trial(8, 0, 1e-9));
    let before = w.sends.len();
    for _ in 0..30 {
        let mut d = w.d.clone();
        let mut by = same(&d);
        d.classes.truncate(3);
        by.classes.truncate(3);
        d.classes.push(d.classes[0].clone());
        by.classes.push(IndexOrigin::New);
        w.renew(d, &by);
        for _ in 0..6 {
            let id = w.held.len() as u64;
            w.take(id, 3, ms(1500));
            w.pass(ms(10));
            if let Some(n) = w.held[&id].attempts.iter().position(|d| d.ended.is_none()) {
                w.end(id, n, Outcome::Succeeded);
            }
        }
    }
    let trial = w.sends[before..].iter().filter(|(_, i)| *i >= 8).count();
    assert_eq!((trial, w.sends.len() - before >= 150), (0, true));
}

/// Requests in hand end by the rules they were taken under, later ones by the new, whatever fails.
#[test]
fn rules_of_repeats_that_change_hold_for_whom_they_were_taken() {
    let mut w = World::new(Settings {
        agents: 1,
        ..deployment(9)
    });
    w.list(&(0..6).map(|i| listed(i, 7, None)).collect::<Vec<_>>());
    w.rollout_status(RolloutStatus {
        phase: RolloutPhase::Released,
        ..trial(7, 0, 1.0)
    });
    w.serve(60, 0, ms(20), |_| Outcome::Succeeded);
    // Idempotent, in hand; then its class is non-idempotent under another number.
    let id = w.held.len() as u64;
    w.take(id, 0, ms(1500));
    w.take(id + 1, 2, ms(1500));
    let mut d = w.d.clone();
    d.classes.push(RequestClass {
        idempotency: Idempotency::NonIdempotent,
        ..d.classes[0].clone()
    });
    let mut by = same(&d);
    by.classes = vec![
        IndexOrigin::Retired,
        IndexOrigin::Same,
        IndexOrigin::Same,
        IndexOrigin::MovedFrom(0),
    ];
    assert_eq!(w.choice.indices_in_use().classes, [0, 2].into());
    w.renew(d, &by);
    w.take(id + 2, 3, ms(1500));
    for n in [id, id + 1, id + 2] {
        w.end(n, 0, Outcome::ConnectionLost);
    }
    w.pass(ms(200));
    assert_eq!(
        w.held[&id].attempts.len(),
        2,
        "it may run twice, as when it was taken"
    );
    assert_eq!(
        (
            w.held[&(id + 1)].attempts.len(),
            w.held[&(id + 2)].attempts.len()
        ),
        (1, 1)
    );
    assert_eq!(w.held[&(id + 2)].answers, [Decision::Fail]);
    w.end(id, 1, Outcome::Succeeded);
    assert!(
        w.choice.indices_in_use().classes.is_empty(),
        "{:?}",
        w.choice.indices_in_use()
    );
    // Its number is nobody's: no sum hears of it, though it was slow.
    let mut d = w.d.clone();
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
    w.renew(d, &by);
    w.serve(30, 3, ms(20), |_| Outcome::Succeeded);
}

/// A class's evidence goes on under its new number and is counted once: the trial is held after as
/// many requests as without the change. Against evidence that is lost, and against such that counts
/// twice.
#[test]
fn evidence_goes_on_under_another_number_and_counts_once() {
    /// After so many, the class moves or not: how many more it takes until the build is held.
    fn needed(seed: u64, before: u64, moves: bool) -> usize {
        let rollout_ = RolloutPolicy {
            exposure_burst: 200.0,
            ..deployment(seed).rollout
        };
        let mut w = rollout(Settings {
            agents: 1,
            rollout: rollout_,
            ..deployment(seed)
        });
        w.rollout_status(trial(8, 0, 1.0));
        let serve = |w: &mut World, class: usize, n: u64| {
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
            let mut d = w.d.clone();
            d.classes.push(d.classes[0].clone());
            let classes = vec![
                IndexOrigin::Retired,
                IndexOrigin::Same,
                IndexOrigin::Same,
                IndexOrigin::MovedFrom(0),
            ];
            let by = IndexMapping {
                classes,
                ..same(&d)
            };
            w.renew(d, &by);
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
fn an_appliance_that_has_not_warmed_for_as_long_as_is_now_said_is_cold_again() {
    let share = |warm_up: u64| {
        let mut w = World::new(Settings {
            agents: 1,
            ..deployment(2)
        });
        w.list(&(0..5).map(|i| listed(i, 7, None)).collect::<Vec<_>>());
        w.list(&[listed(5, 7, Some(900))]);
        w.rollout_status(RolloutStatus {
            phase: RolloutPhase::Released,
            ..trial(7, 0, 1.0)
        });
        w.serve(300, 0, ms(15), |_| Outcome::Succeeded);
        let d = Settings {
            slow_start_duration: ms(warm_up),
            ..w.d.clone()
        };
        let by = same(&d);
        w.pass(Duration::from_secs(3));
        w.renew(d, &by);
        let before = w.sends.len();
        w.serve(200, 0, ms(15), |_| Outcome::Succeeded);
        w.sends[before..].iter().filter(|(_, i)| *i == 5).count()
    };
    let (warm, cold) = (share(4000), share(60_000));
    assert!(
        warm > 20 && cold < warm * 3 / 4,
        "{cold} of 200 cold, {warm} warm"
    );
}

#[test]
fn customers_keep_their_load_by_number_and_zones_move_without_a_loss() {
    let mut w = rollout(Settings {
        agents: 1,
        ..deployment(4)
    });
    let mut d = w.d.clone();
    d.tenants.push(Tenant { share: 0.1 });
    let by = IndexMapping {
        tenants: vec![IndexOrigin::Unused, IndexOrigin::Same, IndexOrigin::New],
        ..same(&d)
    };
    w.renew(d, &by);
    let kept = w.choice.retained_counts();
    w.choice
        .reassign_zones(&(0..11).map(|i| (i, 5)).collect::<Vec<_>>());
    assert_eq!(w.choice.retained_counts(), kept);
    assert_eq!(w.choice.zone_capacities(w.now, 6)[5].running, 11);
    w.serve(20, 0, ms(20), |_| Outcome::Succeeded);
}
