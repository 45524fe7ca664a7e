//! What tenants cost at one agent, by their number: a survey (ten a second) fades the load of each,
//! a request that comes while there is a bound in flight sums them.
//!
//!     cargo run --release --example tenants

use std::hint::black_box;
use std::time::{Duration, Instant};
use tulipwall::*;

fn deployment(tenants: usize) -> Settings {
    let class = RequestClass {
        latency_objective: Duration::from_millis(400),
        priority_weight: 1.0,
        idempotency: Idempotency::Idempotent,
    };
    Settings {
        seed: 1,
        agents: 1,
        zone: 0,
        classes: vec![class],
        tenants: vec![
            Tenant {
                share: 1.0 / tenants as f64
            };
            tenants
        ],
        weight_by_work: false,
        list_polled: false,
        shared_discovery: false,
        max_poll_interval: Duration::from_secs(10),
        hedging: false,
        cancellation: true,
        retry_after: None,
        max_attempts: 4,
        cross_zone_price: 0.0,
        slow_start_share: 0.3,
        slow_start_duration: Duration::from_secs(4),
        overload_window: Duration::from_secs(2),
        overload_factor: 3.0,
        load_probes: false,
        key_affinity: false,
        timer_granularity: Duration::from_millis(1),
        rollout: RolloutPolicy {
            caps: vec![1.0],
            exposure_burst: 2.0,
            cap_per_class: false,
            guarded_stages: 0,
            sticky_builds: false,
            timed_stages: true,
            in_place: false,
            votes_to_roll_back: 1,
            votes_to_hold: 1,
            platform_counts: false,
            vote_ttl: Duration::from_secs(6),
            vote_timeout: Duration::from_secs(1),
            votes_per_second: 40.0,
            reported_error_share: 0.5,
        },
    }
}

fn main() {
    for tenants in [400, 5_600, 28_000, 56_000] {
        let mut now = Duration::from_secs(1);
        let mut choice = Balancer::new(now, deployment(tenants));
        let running = |endpoint| EndpointEntry {
            endpoint,
            zone: 0,
            cell: 0,
            identity: 1,
            endpoint_type: 0,
            build: 1,
            state: EndpointState::Running,
            started: None,
        };
        choice.update_endpoints(now, &(0..55).map(running).collect::<Vec<_>>(), true);
        // All have asked once; answers are slow, so that there is a bound.
        let (mut surveys, mut takes, mut id) = (Duration::ZERO, Duration::ZERO, 0u64);
        let mut rounds = 0u32;
        for round in 0..300 {
            for n in 0..20 {
                let tenant = Some((round * 20 + n) * 7919 % tenants);
                let left = Duration::from_secs(3);
                choice.on_request(
                    now,
                    id,
                    Request {
                        class: 0,
                        tenant,
                        key: None,
                        time_left: left,
                        estimated_work: None,
                        is_retry: false,
                    },
                );
                let begun = Instant::now();
                let answer = black_box(choice.route(now, id));
                takes += begun.elapsed();
                if matches!(answer, Decision::Forward { .. }) {
                    let took = Duration::from_millis(300);
                    choice.on_attempt_end(
                        now,
                        id,
                        0,
                        AttemptEnd {
                            outcome: Outcome::Succeeded,
                            latency: took,
                            request_closed: true,
                            reported_load: None,
                        },
                    );
                }
                id += 1;
            }
            now += Duration::from_millis(100);
            let begun = Instant::now();
            black_box(choice.poll(now));
            surveys += begun.elapsed();
            rounds += 1;
        }
        let us = |d: Duration, n: u32| d.as_secs_f64() * 1e6 / f64::from(n);
        println!(
            "customers {tenants}: a survey {:.1} us, a command's place {:.1} us",
            us(surveys, rounds),
            us(takes, rounds * 20)
        );
    }
}
