//! Quotas of endpoints in slow start, compared with a scan of all endpoints: evaluations skip the
//! endpoints that are past it.

use super::*;
use crate::balancer::Balancer;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const ENDPOINTS: usize = 30;

/// Returns the quota of an endpoint at its full share of the load, by the attempt rate of the last
/// evaluation.
fn full_quota(balancer: &Balancer, endpoint_type: usize) -> f64 {
    balancer
        .slow_start
        .pace
        .attempts_per_window(1.0, balancer.fleet.types[endpoint_type].throughput)
}

/// An endpoint that returns to slow start gets the quota per overload window that the last
/// evaluation would have given it, although it was warm then.
#[test]
fn an_endpoint_that_returns_to_slow_start_has_the_quota_of_a_warm_one() {
    let mut random = Pcg64Mcg::seed_from_u64(6);
    let mut balancer = Balancer::new(START, settings(vec![class(400, 1.0)]));
    let mut now = START;
    let mut quotas = [0.0; ENDPOINTS];
    for _ in 0..400 {
        let started: Vec<usize> = (0..ENDPOINTS).filter(|_| random.gen_bool(0.02)).collect();
        for index in started {
            now += ms(1);
            let entry = EndpointEntry {
                started: random.gen_bool(0.5).then_some(now),
                build: (now.as_millis() % 1_000_000) as u32,
                ..entry(index, index % 2, 1)
            };
            balancer.update_endpoints(now, &[entry], false);
            quotas[index] = 0.0;
        }
        for (index, quota_before) in quotas.iter().enumerate().take(balancer.fleet.len()) {
            let endpoint = balancer.fleet.endpoint(index);
            if endpoint.runs_warm(endpoint.build) && random.gen_bool(0.02) {
                let attempts = random.gen_range(0.0..1.0);
                balancer.return_to_slow_start(index, now, attempts);
                let quota = &balancer.fleet.endpoint(index).slow_start;
                assert_eq!(quota.attempts, attempts);
                assert_eq!(quota.per_window, *quota_before);
            }
        }
        now += ms(100);
        balancer.slow_start.completed_per_interval.value = random.gen_range(0.0..3.0);
        balancer.update_endpoint_weights();
        balancer.update_slow_start_quotas(now);
        for (index, quota) in quotas.iter_mut().enumerate().take(balancer.fleet.len()) {
            let endpoint = balancer.fleet.endpoint(index);
            let share = balancer.slow_start_share(now, endpoint);
            *quota = share * full_quota(&balancer, endpoint.endpoint_type);
        }
    }
}

/// A reload with a longer slow start returns young endpoints to it. They begin like endpoints that
/// have just started.
#[test]
fn endpoints_that_a_reload_returns_to_slow_start_begin_at_random_points_of_their_quota() {
    let short_slow_start = settings(vec![class(400, 1.0)]);
    let mut balancer = Balancer::new(START, short_slow_start.clone());
    let entries: Vec<EndpointEntry> = (0..ENDPOINTS)
        .map(|index| EndpointEntry {
            started: Some(START - ms(5_000)),
            ..entry(index, 0, 1)
        })
        .collect();
    balancer.update_endpoints(START, &entries, true);
    balancer.slow_start.completed_per_interval.value = 2.0;
    balancer.update_endpoint_weights();
    balancer.update_slow_start_quotas(START);
    let long_slow_start = Settings {
        slow_start_duration: ms(9_000),
        ..short_slow_start
    };
    let mapping = IndexMapping {
        classes: vec![IndexOrigin::Same],
        tenants: vec![IndexOrigin::Same; 2],
    };
    balancer.reload(START, &long_slow_start, &mapping);
    let mut attempts = 0.0;
    for index in 0..ENDPOINTS {
        let endpoint = balancer.fleet.endpoint(index);
        assert_eq!(endpoint.warming_since, Some(START - ms(5_000)));
        assert_eq!(endpoint.slow_start.per_window, full_quota(&balancer, 0));
        assert!((0.0..1.0).contains(&endpoint.slow_start.attempts));
        attempts += endpoint.slow_start.attempts;
    }
    let mean = attempts / ENDPOINTS as f64;
    assert!((0.3..0.7).contains(&mean), "{mean}");
    assert_eq!(balancer.fleet.index().sets().warming().len(), ENDPOINTS);
}

#[test]
fn a_completed_slow_start_ends_at_the_next_evaluation() {
    let mut balancer = Balancer::new(START, settings(vec![class(400, 1.0)]));
    let started = EndpointEntry {
        started: Some(START),
        ..entry(0, 0, 1)
    };
    balancer.update_endpoints(START, &[started], true);
    balancer.update_slow_start_quotas(START + ms(3_999));
    assert!(!balancer.fleet.endpoint(0).is_warm());
    balancer.update_slow_start_quotas(START + ms(4_000));
    assert!(balancer.fleet.endpoint(0).is_warm());
    assert!(balancer.fleet.index().sets().warming().is_empty());
}
