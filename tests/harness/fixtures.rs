//! Settings, endpoints and rollouts that several tests use.

use super::Harness;
use std::time::Duration;
use tulipwall::*;

/// A duration of `n` milliseconds.
pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Settings of one of three agents, with one request class of each kind of idempotency and two
/// tenants.
pub fn default_settings(seed: u64) -> Settings {
    let class = |latency_objective, priority_weight, idempotency| RequestClass {
        latency_objective: ms(latency_objective),
        priority_weight,
        idempotency,
    };
    Settings {
        seed,
        agents: 3,
        zone: 0,
        classes: vec![
            class(400, 2.0, Idempotency::Idempotent),
            class(
                400,
                2.0,
                Idempotency::Keyed {
                    scope: DeduplicationScope::Zone,
                    window: ms(900),
                },
            ),
            class(600, 6.0, Idempotency::NonIdempotent),
        ],
        tenants: vec![Tenant { share: 0.6 }, Tenant { share: 0.4 }],
        weight_by_work: false,
        list_polled: false,
        shared_discovery: false,
        max_poll_interval: ms(10_000),
        hedging: false,
        cancellation: true,
        retry_after: Some(ms(2000)),
        max_attempts: 4,
        cross_zone_price: 0.0,
        slow_start_share: 0.3,
        slow_start_duration: ms(4000),
        overload_window: ms(2000),
        overload_factor: 3.0,
        load_probes: false,
        key_affinity: false,
        timer_granularity: ms(5),
        rollout: RolloutPolicy {
            caps: vec![0.2, 0.5, 1.0],
            exposure_burst: 2.0,
            cap_per_class: false,
            guarded_stages: 0,
            sticky_builds: false,
            timed_stages: true,
            in_place: false,
            votes_to_roll_back: 1,
            votes_to_hold: 1,
            platform_counts: false,
            vote_ttl: ms(6000),
            vote_timeout: ms(1000),
            votes_per_second: 40.0,
            reported_error_share: 0.5,
        },
    }
}

/// A running endpoint. Its index decides in which of two zones and three cells it is. `started` is
/// in milliseconds; `None` stands for an unknown start.
pub fn endpoint_entry(endpoint: usize, build: u32, started: Option<u64>) -> EndpointEntry {
    let (zone, cell) = (endpoint % 2, endpoint as u64 % 3);
    EndpointEntry {
        endpoint,
        zone,
        cell,
        identity: endpoint as u64,
        endpoint_type: 0,
        build,
        state: EndpointState::Running,
        started: started.map(ms),
    }
}

/// The rollout status of a build that is a canary, since 1 s.
pub fn canary_status(build: u32, stage: usize, cap: f64) -> RolloutStatus {
    RolloutStatus {
        build,
        stage,
        phase: RolloutPhase::Canary,
        cap,
        since: ms(1000),
    }
}

/// A harness after the start of a rollout: eight endpoints of the released build 7, which have
/// answered 60 requests, and two warm endpoints of the canary build 8 at a cap of 0.5. `change` is
/// applied to the default settings.
pub fn canary_rollout(change: fn(&mut Settings)) -> Harness {
    let mut settings = default_settings(11);
    change(&mut settings);
    let mut driver = Harness::new(settings);
    driver.update_endpoints(
        &(0..8)
            .map(|i| endpoint_entry(i, 7, None))
            .collect::<Vec<_>>(),
    );
    driver.update_rollout(RolloutStatus {
        phase: RolloutPhase::Released,
        ..canary_status(7, 0, 1.0)
    });
    driver.serve(60, 0, ms(20), |_| Outcome::Succeeded);
    driver.update_rollout(canary_status(8, 0, 0.5));
    driver.update_endpoints(&[
        endpoint_entry(8, 8, Some(1100)),
        endpoint_entry(9, 8, Some(1100)),
    ]);
    driver.advance(ms(4200));
    driver
}

/// Lets all endpoints of this build fail and the others succeed.
pub fn failing(build: u32) -> impl Fn(&EndpointEntry) -> Outcome {
    move |e| outcome_if(e.build == build, Outcome::Failed)
}

/// Returns `outcome` if `is` holds, and a success otherwise.
pub fn outcome_if(is: bool, outcome: Outcome) -> Outcome {
    if is {
        outcome
    } else {
        Outcome::Succeeded
    }
}

/// Counts the attempts that went to endpoints of this build.
pub fn attempts_to(driver: &Harness, build: u32) -> usize {
    driver
        .forwarded
        .iter()
        .filter(|(_, i)| driver.endpoints[i].build == build)
        .count()
}
