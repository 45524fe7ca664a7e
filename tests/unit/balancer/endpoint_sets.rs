//! Sets of endpoints that evaluations iterate over, compared with a scan of all endpoints.

use super::*;
use crate::balancer::Balancer;
use crate::model::Endpoint;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

/// Changes one random property of an endpoint.
fn change_at_random(endpoint: &mut Endpoint, random: &mut Pcg64Mcg, now: Duration) {
    match random.gen_range(0..8) {
        0 => endpoint.state = EndpointState::Running,
        1 => endpoint.state = EndpointState::Draining,
        2 => endpoint.state = EndpointState::Gone,
        3 => endpoint.warming_since = random.gen_bool(0.5).then_some(now),
        4 => endpoint.in_flight = random.gen_range(0..3),
        5 => endpoint.health.silent_since = random.gen_bool(0.5).then_some(now),
        6 => endpoint.build = random.gen_range(0..4),
        _ => endpoint.endpoint_type = random.gen_range(0..3),
    }
}

/// Returns the indices of the endpoints that are members, by a scan of all endpoints.
fn indices(balancer: &Balancer, is_member: impl Fn(&Endpoint) -> bool) -> BTreeSet<usize> {
    let endpoints = (0..balancer.fleet.len()).map(|index| (index, balancer.fleet.endpoint(index)));
    endpoints
        .filter(|(_, endpoint)| is_member(endpoint))
        .map(|(index, _)| index)
        .collect()
}

fn is_running(endpoint: &Endpoint) -> bool {
    endpoint.state == EndpointState::Running
}

fn assert_sets_match(balancer: &Balancer) {
    let sets = balancer.fleet.index().sets();
    let warming = indices(balancer, |e| is_running(e) && !e.is_warm());
    assert_eq!(*sets.warming(), warming);
    for newest in 0..4 {
        for endpoint_type in 0..3 {
            for is_newest in [false, true] {
                let lists = sets.warm().peers(endpoint_type, newest, is_newest);
                let members: Vec<usize> = lists.concat();
                let expected = indices(balancer, |e| {
                    is_running(e)
                        && e.is_warm()
                        && e.endpoint_type == endpoint_type
                        && (e.build >= newest) == is_newest
                });
                assert_eq!(members.len(), expected.len());
                assert_eq!(members.into_iter().collect::<BTreeSet<_>>(), expected);
            }
        }
    }
    let all = sets.warm().all().concat();
    assert_eq!(all.len(), balancer.fleet.index().total().warm);
}

/// Counts the attempts in flight to unresponsive endpoints by a scan of all endpoints.
fn unresponsive_in_flight(balancer: &Balancer, now: Duration) -> usize {
    let stall_timeout = balancer.stall_timeout();
    (0..balancer.fleet.len())
        .map(|index| balancer.fleet.endpoint(index))
        .filter(|endpoint| endpoint.is_unresponsive(now, stall_timeout))
        .map(|endpoint| endpoint.in_flight)
        .sum()
}

#[test]
fn sets_of_endpoints_follow_each_change() {
    let mut random = Pcg64Mcg::seed_from_u64(2);
    let mut balancer = Balancer::new(START, settings(vec![class(400, 1.0)]));
    let entries: Vec<EndpointEntry> = (0..60).map(|index| entry(index, 2, 1)).collect();
    balancer.update_endpoints(START, &entries, true);
    for step in 0..4_000 {
        let now = START + ms(step);
        let index = random.gen_range(0..60);
        change_at_random(&mut balancer.fleet.endpoint_mut(index), &mut random, now);
        assert_sets_match(&balancer);
        if step % 100 == 0 {
            let later = now + ms(400);
            balancer.update_limit(later);
            assert_eq!(
                balancer.admission.unresponsive_in_flight,
                unresponsive_in_flight(&balancer, later)
            );
        }
    }
}

/// After a stall of the agent, the silence of each running endpoint counts from the end of the
/// stall.
#[test]
fn a_stall_of_the_agent_makes_no_endpoint_unresponsive() {
    let mut random = Pcg64Mcg::seed_from_u64(4);
    let mut balancer = Balancer::new(START, settings(vec![class(400, 1.0)]));
    let entries: Vec<EndpointEntry> = (0..30).map(|index| entry(index, 0, 1)).collect();
    balancer.update_endpoints(START, &entries, true);
    for index in 0..30 {
        let mut endpoint = balancer.fleet.endpoint_mut(index);
        endpoint.in_flight = random.gen_range(0..2);
        endpoint.health.silent_since = random.gen_bool(0.5).then_some(START);
    }
    let was_silent = indices(&balancer, |e| e.health.silent_since.is_some());
    let resumed = START + ms(5_000);
    balancer.clock.next_evaluation = START;
    balancer.detect_stall(resumed);
    let is_silent = indices(&balancer, |e| e.health.silent_since == Some(resumed));
    assert_eq!(is_silent, was_silent);
}

/// The fleet is short of capacity while much of it is in slow start. The capacity beyond the required
/// minimum is in full loads of one endpoint.
#[test]
fn excess_capacity_during_slow_start_matches_a_scan_of_all_endpoints() {
    for warming in 0..=40 {
        let mut balancer = Balancer::new(START, settings(vec![class(400, 1.0)]));
        let entries: Vec<EndpointEntry> = (0..40)
            .map(|index| EndpointEntry {
                started: (index < warming).then_some(START - ms(50 * index as u64)),
                ..entry(index, 0, 1)
            })
            .collect();
        balancer.update_endpoints(START, &entries, true);
        let shares = (0..40).map(|index| {
            let endpoint = balancer.fleet.endpoint(index);
            balancer.slow_start_share(START, endpoint) - 0.85
        });
        let scanned_capacity = shares.sum::<f64>();
        let found_capacity = balancer.excess_capacity(START);
        assert!(
            (found_capacity - scanned_capacity).abs() < 1e-9,
            "{warming} endpoints in slow start: found {found_capacity}, expected {scanned_capacity}"
        );
    }
}
