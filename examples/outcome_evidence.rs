//! Measures the cost of keeping outcomes by endpoint and class at one agent while a canary runs on
//! half of the endpoints: resident memory, and the time of an evaluation (of which there are ten
//! per second), of a routing decision and of recording the end of an attempt.
//!
//!     cargo run --release --example outcome_evidence -- ENDPOINTS CLASSES CLASSES_IN_USE

use std::hint::black_box;
use std::time::{Duration, Instant};
use tulipwall::*;

const ROUNDS: u32 = 300;
const REQUESTS_PER_ROUND: u32 = 50;
const ROUND_DURATION: Duration = Duration::from_millis(100);
const LATENCY: Duration = Duration::from_millis(30);
/// One response out of this many is a failure.
const REQUESTS_PER_FAILURE: u64 = 100;
const PAGE_BYTES: u64 = 4096;

fn settings(classes: usize) -> Settings {
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
        tenants: Vec::new(),
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
            caps: vec![0.5, 1.0],
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
        identity: endpoint as u64,
        endpoint_type: 0,
        build: 1 + endpoint as u32 % 2,
        state: EndpointState::Running,
        started: None,
    }
}

fn canary() -> RolloutStatus {
    RolloutStatus {
        build: 2,
        stage: 0,
        cap: 0.5,
        phase: RolloutPhase::Canary,
        since: Duration::from_secs(1),
    }
}

/// Total time spent in each step.
#[derive(Default)]
struct Elapsed {
    evaluation: Duration,
    routing_decision: Duration,
    attempt_end: Duration,
}

/// Routes one request and records the end of its attempt.
fn serve_request(
    balancer: &mut Balancer,
    now: Duration,
    id: u64,
    class: usize,
    elapsed: &mut Elapsed,
) {
    let request = Request {
        class,
        tenant: None,
        key: None,
        time_left: Duration::from_secs(3),
        estimated_work: None,
        is_retry: false,
    };
    balancer.on_request(now, id, request);
    let start = Instant::now();
    let decision = black_box(balancer.route(now, id));
    elapsed.routing_decision += start.elapsed();
    if !matches!(decision, Decision::Forward { .. }) {
        return;
    }
    let outcome = if id.is_multiple_of(REQUESTS_PER_FAILURE) {
        Outcome::Failed
    } else {
        Outcome::Succeeded
    };
    let end = AttemptEnd {
        outcome,
        latency: LATENCY,
        request_closed: true,
        reported_load: None,
    };
    let start = Instant::now();
    black_box(balancer.on_attempt_end(now, id, 0, end));
    elapsed.attempt_end += start.elapsed();
}

/// Returns the resident memory of this process in bytes, or 0 if it cannot be read.
fn resident_memory() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|n| n.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn measure(endpoints: usize, classes: usize, classes_in_use: usize) {
    let memory_before = resident_memory();
    let mut now = Duration::from_secs(1);
    let mut balancer = Balancer::new(now, settings(classes));
    let entries: Vec<EndpointEntry> = (0..endpoints).map(endpoint).collect();
    balancer.update_endpoints(now, &entries, true);
    balancer.update_rollout(canary());
    let mut elapsed = Elapsed::default();
    let mut id = 0;
    for _ in 0..ROUNDS {
        for _ in 0..REQUESTS_PER_ROUND {
            let class = id as usize * 7919 % classes_in_use;
            serve_request(&mut balancer, now, id, class, &mut elapsed);
            id += 1;
        }
        now += ROUND_DURATION;
        let start = Instant::now();
        black_box(balancer.poll(now));
        elapsed.evaluation += start.elapsed();
    }
    let micros = |total: Duration, count: u32| total.as_secs_f64() * 1e6 / f64::from(count);
    println!(
        "{endpoints} endpoints, {classes} classes, {classes_in_use} in use: {:.1} MB, \
         evaluation {:.1} us, routing decision {:.2} us, end of an attempt {:.2} us",
        (resident_memory() - memory_before) as f64 / 1e6,
        micros(elapsed.evaluation, ROUNDS),
        micros(elapsed.routing_decision, ROUNDS * REQUESTS_PER_ROUND),
        micros(elapsed.attempt_end, ROUNDS * REQUESTS_PER_ROUND),
    );
}

fn main() {
    let counts: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|argument| argument.parse().ok())
        .collect();
    match counts[..] {
        [endpoints, classes, in_use] if (1..=classes).contains(&in_use) => {
            measure(endpoints, classes, in_use);
        }
        _ => {
            eprintln!(
                "expected ENDPOINTS CLASSES CLASSES_IN_USE, with CLASSES_IN_USE from 1 to CLASSES"
            );
            std::process::exit(2);
        }
    }
}
