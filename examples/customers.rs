//! What customers cost at one agent, by their number: a survey (ten a second) fades the load of each, a command that
//! comes while there is a bound in flight sums them.
//!
//!     cargo run --release --example customers

use std::hint::black_box;
use std::time::{Duration, Instant};
use tulipwall::*;

fn deployment(customers: usize) -> Deployment {
    let lane = Lane {
        quoted: Duration::from_millis(400),
        benefit: 1.0,
        repeats: Repeats::Idempotent,
    };
    Deployment {
        seed: 1,
        agents: 1,
        zone: 0,
        lanes: vec![lane],
        customers: vec![
            Customer {
                share: 1.0 / customers as f64
            };
            customers
        ],
        benefit_by_work: false,
        list_asked: false,
        list_shared: false,
        ask_within: Duration::from_secs(10),
        second_copies: false,
        withdraw: true,
        come_back: None,
        deliveries: 4,
        crossing_price: 0.0,
        cold_share: 0.3,
        cold_for: Duration::from_secs(4),
        fall_for: Duration::from_secs(2),
        fall_multiple: 3.0,
        probes: false,
        warm_keys: false,
        tick: Duration::from_millis(1),
        rollout: Rollout {
            caps: vec![1.0],
            free: 2.0,
            by_lane: false,
            guarded_stages: 0,
            one_way: false,
            by_clock: true,
            in_place: false,
            back_votes: 1,
            hold_votes: 1,
            tallied: false,
            vote_life: Duration::from_secs(6),
            vote_wait: Duration::from_secs(1),
            votes_per_s: 40.0,
            flagged_share: 0.5,
        },
    }
}

fn main() {
    for customers in [400, 5_600, 28_000, 56_000] {
        let mut now = Duration::from_secs(1);
        let mut choice = Choice::new(now, deployment(customers));
        let running = |appliance| Listed {
            appliance,
            zone: 0,
            cell: 0,
            mark: 1,
            kind: 0,
            build: 1,
            standing: Standing::Running,
            started: None,
        };
        choice.list(now, &(0..55).map(running).collect::<Vec<_>>(), true);
        // All have asked once; answers are slow, so that there is a bound.
        let (mut surveys, mut takes, mut id) = (Duration::ZERO, Duration::ZERO, 0u64);
        let mut rounds = 0u32;
        for round in 0..300 {
            for n in 0..20 {
                let customer = Some((round * 20 + n) * 7919 % customers);
                let left = Duration::from_secs(3);
                choice.take(
                    now,
                    id,
                    Command {
                        lane: 0,
                        customer,
                        key: None,
                        left,
                        work: None,
                        again: false,
                    },
                );
                let begun = Instant::now();
                let answer = black_box(choice.place(now, id));
                takes += begun.elapsed();
                if matches!(answer, Answer::Send { .. }) {
                    let took = Duration::from_millis(300);
                    choice.after(
                        now,
                        id,
                        0,
                        End {
                            outcome: Outcome::Satisfied,
                            took,
                            closed: true,
                            held: None,
                        },
                    );
                }
                id += 1;
            }
            now += Duration::from_millis(100);
            let begun = Instant::now();
            black_box(choice.wait(now));
            surveys += begun.elapsed();
            rounds += 1;
        }
        let us = |d: Duration, n: u32| d.as_secs_f64() * 1e6 / f64::from(n);
        println!(
            "customers {customers}: a survey {:.1} us, a command's place {:.1} us",
            us(surveys, rounds),
            us(takes, rounds * 20)
        );
    }
}
