//! Measures how the number of tenants affects the cost at one agent. Each evaluation, of which
//! there are ten per second, decays the load of all tenants, and each request that arrives while
//! there is a limit of attempts in flight needs the sum of the loads.
//!
//!     cargo run --release --example tenant_load

use std::hint::black_box;
use std::time::{Duration, Instant};
use tulipwall::*;

const ENDPOINTS: usize = 55;
const ROUNDS: u32 = 300;
const REQUESTS_PER_ROUND: u32 = 20;
const ROUND_DURATION: Duration = Duration::from_millis(100);
/// Slow enough, relative to the latency objective, that the balancer limits the attempts in flight.
const LATENCY: Duration = Duration::from_millis(300);

fn settings(tenants: usize) -> Settings {
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

fn endpoint(endpoint: usize) -> EndpointEntry {
    EndpointEntry {
        endpoint,
        zone: 0,
        cell: 0,
        identity: 1,
        endpoint_type: 0,
        build: 1,
        state: EndpointState::Running,
        started: None,
    }
}

/// Routes one request, records the end of its attempt, and returns the time that routing took.
fn route_request(balancer: &mut Balancer, now: Duration, id: u64, tenant: usize) -> Duration {
    let request = Request {
        class: 0,
        tenant: Some(tenant),
        key: None,
        time_left: Duration::from_secs(3),
        estimated_work: None,
        is_retry: false,
    };
    balancer.on_request(now, id, request);
    let start = Instant::now();
    let decision = black_box(balancer.route(now, id));
    let elapsed = start.elapsed();
    if matches!(decision, Decision::Forward { .. }) {
        let end = AttemptEnd {
            outcome: Outcome::Succeeded,
            latency: LATENCY,
            request_closed: true,
            reported_load: None,
        };
        balancer.on_attempt_end(now, id, 0, end);
    }
    elapsed
}

fn measure(tenants: usize) {
    let mut now = Duration::from_secs(1);
    let mut balancer = Balancer::new(now, settings(tenants));
    let endpoints: Vec<EndpointEntry> = (0..ENDPOINTS).map(endpoint).collect();
    balancer.update_endpoints(now, &endpoints, true);
    let mut evaluation = Duration::ZERO;
    let mut routing_decision = Duration::ZERO;
    let mut id = 0;
    for _ in 0..ROUNDS {
        for _ in 0..REQUESTS_PER_ROUND {
            routing_decision += route_request(&mut balancer, now, id, id as usize * 7919 % tenants);
            id += 1;
        }
        now += ROUND_DURATION;
        let start = Instant::now();
        black_box(balancer.poll(now));
        evaluation += start.elapsed();
    }
    let micros = |total: Duration, count: u32| total.as_secs_f64() * 1e6 / f64::from(count);
    println!(
        "{tenants} tenants: evaluation {:.1} us, routing decision {:.1} us",
        micros(evaluation, ROUNDS),
        micros(routing_decision, ROUNDS * REQUESTS_PER_ROUND)
    );
}

fn main() {
    for tenants in [400, 5_600, 28_000, 56_000] {
        measure(tenants);
    }
}
