//! Seeded random runs: whatever the lists, the news, the outcomes and the stops, each rule holds after every step.

mod world;

use quickcheck::{Gen, QuickCheck};
use tulipwall::*;
use world::*;

const OUTCOMES: [Outcome; 8] = [
    Outcome::Satisfied,
    Outcome::Satisfied,
    Outcome::Failed,
    Outcome::TurnedAway,
    Outcome::NoConnection,
    Outcome::Broken,
    Outcome::NotSent,
    Outcome::Satisfied,
];

/// Plays one script; `World` checks the rules after every step.
fn play(mut d: Deployment, script: &[(u8, u8)]) {
    let groups = [Group::All, Group::Zone, Group::Cell];
    let pick = script.first().map_or(0, |s| s.0 as usize);
    d.lanes[1].repeats = Repeats::Deduplicated {
        group: groups[pick % 3],
        window: ms(900),
    };
    let mut w = World::new(d);
    w.list(&(0..5).map(|i| listed(i, 7, None)).collect::<Vec<_>>());
    let (mut next, mut build) = (0, 7);
    for (what, how) in script {
        let i = *how as usize % 9;
        match what % 16 {
            0..=5 => {
                w.take(next, *how as usize % 3, ms(100 + u64::from(*how) * 6));
                next += 1;
            }
            6..=8 => {
                w.end_at(i, OUTCOMES[*how as usize % 8]);
            }
            9 => {
                w.list(&[Listed {
                    standing: Standing::Draining,
                    ..listed(i, build, None)
                }]);
            }
            10 => w.list(&[Listed {
                standing: Standing::Gone,
                ..listed(i, build, None)
            }]),
            11 => {
                let started = w.now.as_millis() as u64 - u64::from(*how) * 10 % 900;
                w.list(&[listed(i, build + u32::from(how % 2), Some(started))]);
            }
            12 => {
                let phases = [
                    Phase::Trial,
                    Phase::Trial,
                    Phase::Released,
                    Phase::GoingBack,
                ];
                let phase = phases[i % 4];
                build += u32::from(phase == Phase::Released);
                let cap = if phase == Phase::GoingBack {
                    0.0
                } else {
                    [0.2, 0.5, 1.0][i % 3]
                };
                w.news(News {
                    build: build + 1,
                    stage: i % 3,
                    phase,
                    cap,
                    began: w.now,
                });
            }
            13 => {
                w.choice.flag(w.now, i, *how as usize % 3, ms(100));
            }
            14 => {
                let all = [Reply::Counted, Reply::Moot, Reply::Refused, Reply::Unknown];
                w.choice.reply(w.now, all[i % 4]);
                w.choice.list_failed(w.now);
            }
            15 if w.d.crossing_price > 0.1 => w.choice.crossings(crossings(*how)),
            _ => w.pass(ms(u64::from(*how))),
        }
        if *what > 200 {
            w.pass(ms(25));
        }
    }
    w.pass(ms(4000));
    assert!(
        w.held.values().all(|h| h.answers.len() == 1),
        "every command has its one answer"
    );
}

/// What crossing means, drawn anew: any draws, any lanes that cross last, any part for cold ones.
fn crossings(how: u8) -> Crossings {
    let bits = |n: u8| (0..3).map(|lane| how >> (lane + n) & 1 == 1).collect();
    let far = Crossing {
        draw: (!how.is_multiple_of(3)).then(|| f64::from(how % 16) / 15.0),
        added: ms(u64::from(how)),
        last: bits(0),
        again_last: bits(3),
    };
    Crossings {
        zones: vec![Crossing::default(), far],
        cold: 0.2 + f64::from(how % 5) / 5.0,
    }
}

fn check(seed: u64, run: fn(Vec<(u8, u8)>)) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, seed))
        .tests(40)
        .quickcheck(run);
}

#[test]
fn watched_list_cap_by_all() {
    check(1, |script| play(deployment(1), &script));
}

#[test]
fn asked_list_cap_by_lane_and_guarded_stage() {
    check(2, |script| {
        let mut d = deployment(2);
        (d.list_asked, d.come_back) = (true, None);
        (
            d.rollout.by_lane,
            d.rollout.guarded_stages,
            d.rollout.in_place,
        ) = (true, 1, true);
        play(d, &script);
    });
}

#[test]
fn second_copies_one_way_keys_and_priced_crossing() {
    check(3, |script| {
        let mut d = deployment(3);
        (d.second_copies, d.crossing_price, d.rollout.one_way) = (true, 0.04, true);
        play(d, &script);
    });
}

#[test]
fn no_withdrawing_no_customers_no_votes() {
    check(4, |script| {
        let mut d = deployment(4);
        (d.withdraw, d.rollout.by_clock, d.benefit_by_work) = (false, false, true);
        d.customers.clear();
        play(d, &script);
    });
}

#[test]
fn crossings_told_anew_again_and_again() {
    check(5, |script| {
        let mut d = deployment(5);
        (d.second_copies, d.crossing_price) = (true, 0.2);
        play(d, &script);
    });
}
