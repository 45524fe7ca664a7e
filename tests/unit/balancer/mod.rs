//! State of the balancer that is updated incrementally, compared with scans of all endpoints and
//! classes.

mod class_summaries;
mod endpoint_sets;
mod peer_latencies;
mod slow_start_quotas;
mod zone_capacities;

use crate::interface::*;
use std::time::Duration;

/// Time at which the tests begin.
const START: Duration = Duration::from_secs(1_000_000);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn class(latency_objective: u64, priority_weight: f64) -> RequestClass {
    RequestClass {
        latency_objective: ms(latency_objective),
        priority_weight,
        idempotency: Idempotency::Idempotent,
    }
}

fn settings(classes: Vec<RequestClass>) -> Settings {
    Settings {
        seed: 1,
        agents: 3,
        zone: 0,
        classes,
        tenants: vec![Tenant { share: 0.5 }; 2],
        weight_by_work: false,
        list_polled: false,
        shared_discovery: false,
        max_poll_interval: ms(10_000),
        hedging: false,
        cancellation: true,
        retry_after: None,
        max_attempts: 4,
        cross_zone_price: 0.0,
        slow_start_share: 0.3,
        slow_start_duration: ms(4_000),
        overload_window: ms(2_000),
        overload_factor: 3.0,
        load_probes: false,
        key_affinity: false,
        timer_granularity: ms(1),
        rollout: RolloutPolicy {
            caps: vec![1.0],
            exposure_burst: 100.0,
            cap_per_class: false,
            guarded_stages: 0,
            sticky_builds: false,
            timed_stages: true,
            in_place: true,
            votes_to_roll_back: 1,
            votes_to_hold: 1,
            platform_counts: false,
            vote_ttl: ms(6_000),
            vote_timeout: ms(1_000),
            votes_per_second: 40.0,
            reported_error_share: 0.5,
        },
    }
}

fn entry(endpoint: usize, endpoint_type: usize, build: u32) -> EndpointEntry {
    EndpointEntry {
        endpoint,
        zone: 0,
        cell: 0,
        identity: endpoint as u64,
        endpoint_type,
        build,
        state: EndpointState::Running,
        started: None,
    }
}

fn rollout(build: u32, phase: RolloutPhase) -> RolloutStatus {
    RolloutStatus {
        build,
        stage: 0,
        phase,
        cap: 1.0,
        since: START,
    }
}
