//! Measures the cost of an evaluation, which an agent runs ten times a second, for several numbers
//! of endpoints, classes and tenants: the median time in microseconds, and the number of endpoints
//! scanned. Requests are served between the evaluations, but their time is not measured.
//!
//!     cargo run --release --example evaluation_cost

use std::time::{Duration, Instant};
use tulipwall::*;

const START: Duration = Duration::from_secs(3600);
const ROUND_DURATION: Duration = Duration::from_millis(100);
const WARM_UP_ROUNDS: u64 = 40;
const ROUNDS: u64 = 100;
const REQUESTS_PER_ROUND: u64 = 100;
const LATENCY: Duration = Duration::from_millis(20);
/// Numbers of endpoints, classes and tenants.
const SIZES: [(usize, usize, usize); 6] = [
    (55, 11, 100),
    (770, 11, 100),
    (7_700, 11, 100),
    (30_000, 11, 100),
    (770, 1_600, 56_000),
    (7_700, 1_600, 56_000),
];

fn settings(classes: usize, tenants: usize) -> Settings {
    let class = RequestClass {
        latency_objective: Duration::from_millis(400),
        priority_weight: 1.0,
        idempotency: Idempotency::Idempotent,
    };
    Settings {
        seed: 1,
        agents: 1,
        zone: 0,
        classes: vec![class; classes],
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

fn entry(endpoint: usize) -> EndpointEntry {
    EndpointEntry {
        endpoint,
        zone: 0,
        cell: 0,
        identity: endpoint as u64,
        endpoint_type: endpoint % 2,
        build: 7,
        state: EndpointState::Running,
        started: None,
    }
}

fn handle_request(balancer: &mut Balancer, now: Duration, id: u64, class: usize, tenant: usize) {
    let request = Request {
        class,
        tenant: Some(tenant),
        key: None,
        time_left: Duration::from_secs(1),
        estimated_work: None,
        is_retry: false,
    };
    balancer.on_request(now, id, request);
    if let Decision::Forward { .. } = balancer.route(now, id) {
        let end = AttemptEnd {
            outcome: Outcome::Succeeded,
            latency: LATENCY,
            request_closed: true,
            reported_load: None,
        };
        balancer.on_attempt_end(now, id, 0, end);
    }
}

fn measure(endpoints: usize, classes: usize, tenants: usize) {
    let mut now = START;
    let mut balancer = Balancer::new(now, settings(classes, tenants));
    let list: Vec<EndpointEntry> = (0..endpoints).map(entry).collect();
    balancer.update_endpoints(now, &list, true);
    let mut costs = Vec::new();
    let mut scanned = 0;
    for round in 0..WARM_UP_ROUNDS + ROUNDS {
        for request in 0..REQUESTS_PER_ROUND {
            let id = round * REQUESTS_PER_ROUND + request;
            let class = id as usize % classes;
            handle_request(&mut balancer, now, id, class, id as usize % tenants);
        }
        now += ROUND_DURATION;
        let scanned_before = balancer.endpoints_scanned();
        let start = Instant::now();
        balancer.poll(now);
        costs.push(start.elapsed());
        scanned = balancer.endpoints_scanned() - scanned_before;
    }
    let mut costs = costs.split_off(WARM_UP_ROUNDS as usize);
    costs.sort();
    let median = costs[costs.len() / 2].as_secs_f64() * 1e6;
    println!(
        "{endpoints} endpoints, {classes} classes, {tenants} tenants: \
         {median:.1} us, {scanned} endpoints scanned"
    );
}

fn main() {
    for (endpoints, classes, tenants) in SIZES {
        measure(endpoints, classes, tenants);
    }
}
