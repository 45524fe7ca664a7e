//! Counts and capacities of zones, which look at few endpoints, against a walk over all.

use super::*;
use crate::balancer::Balancer;
use crate::model::Endpoint;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Zones that are asked for; endpoints may be in one more.
const ZONES: usize = 3;
/// Endpoints of a zone up to which its capacity is exact.
const EXACT_UP_TO: usize = 512;
/// Relative difference that the order of a sum may make.
const ROUNDING: f64 = 1e-9;
/// Standard deviation of an estimate by the responsive endpoints of its zone, at the most.
const MAX_DEVIATION: f64 = 0.041;
/// Standard deviations by which no estimate of a test may be off.
const MAX_DEVIATIONS: f64 = 4.5;

/// What a walk over all endpoints finds of one zone.
#[derive(Default)]
struct Walked {
    counts: ZoneCounts,
    /// What each responsive endpoint can take.
    loads: Vec<f64>,
}

impl Walked {
    fn capacity(&self) -> f64 {
        self.loads.iter().sum()
    }

    /// Standard deviation of what single responsive endpoints can take.
    fn deviation(&self) -> f64 {
        let count = self.loads.len().max(1) as f64;
        let mean = self.capacity() / count;
        let squares = self.loads.iter().map(|load| (load - mean).powi(2));
        (squares.sum::<f64>() / count).sqrt()
    }
}

fn walk(balancer: &Balancer, now: Duration) -> Vec<Walked> {
    let mut zones: Vec<Walked> = (0..ZONES).map(|_| Walked::default()).collect();
    for index in 0..balancer.fleet.len() {
        let endpoint = balancer.fleet.endpoint(index);
        let Some(zone) = zones.get_mut(endpoint.zone) else {
            continue;
        };
        match endpoint.state {
            EndpointState::Gone => continue,
            EndpointState::Draining => zone.counts.draining += 1,
            EndpointState::Running => zone.counts.running += 1,
        }
        zone.counts.in_flight += endpoint.in_flight;
        let is_responsive = endpoint.state == EndpointState::Running
            && endpoint.ejection.until.is_none()
            && !endpoint.is_unresponsive(now, balancer.stall_timeout());
        if is_responsive {
            zone.counts.responsive += 1;
            zone.counts.warm += usize::from(endpoint.is_warm());
            let share = balancer.slow_start_share(now, endpoint);
            zone.loads.push(balancer.endpoint_weight(endpoint) * share);
        }
    }
    zones
}

fn counts_of(capacity: &ZoneCapacity) -> ZoneCounts {
    ZoneCounts {
        running: capacity.running,
        draining: capacity.draining,
        responsive: capacity.responsive,
        warm: capacity.warm,
        in_flight: capacity.in_flight,
    }
}

/// A fleet with so many endpoints in each zone that is asked for, and some beyond.
fn fleet(endpoints_per_zone: usize) -> Balancer {
    let mut balancer = Balancer::new(START, settings(vec![class(400, 1.0)]));
    let in_zone = |index: usize| EndpointEntry {
        zone: index % (ZONES + 1),
        ..entry(index, index % 2, 1)
    };
    let all = endpoints_per_zone * (ZONES + 1);
    let entries: Vec<EndpointEntry> = (0..all).map(in_zone).collect();
    balancer.update_endpoints(START, &entries, true);
    balancer
}

fn change_at_random(endpoint: &mut Endpoint, random: &mut Pcg64Mcg, now: Duration) {
    match random.gen_range(0..9) {
        0 | 1 => endpoint.state = EndpointState::Running,
        2 => endpoint.state = EndpointState::Draining,
        3 => endpoint.state = EndpointState::Gone,
        4 => endpoint.warming_since = random.gen_bool(0.5).then_some(now),
        5 => endpoint.in_flight = random.gen_range(0..3),
        6 => endpoint.health.silent_since = random.gen_bool(0.5).then_some(now),
        7 => endpoint.ejection.until = random.gen_bool(0.5).then_some(now + ms(300)),
        _ => endpoint.zone = random.gen_range(0..=ZONES),
    }
}

fn change_latency(balancer: &mut Balancer, index: usize, random: &mut Pcg64Mcg) {
    balancer.set_endpoint_latency(index, random.gen_range(0.3..3.0));
}

fn assert_counts_match(balancer: &Balancer, now: Duration) {
    let capacities = balancer.zone_capacities(now, ZONES);
    for (zone, walked) in walk(balancer, now).iter().enumerate() {
        assert_eq!(counts_of(&capacities[zone]), walked.counts, "zone {zone}");
        assert_eq!(balancer.zone_counts(now, zone), walked.counts);
    }
}

fn assert_exact(balancer: &Balancer, now: Duration) {
    assert_counts_match(balancer, now);
    let capacities = balancer.zone_capacities(now, ZONES);
    for (zone, walked) in walk(balancer, now).iter().enumerate() {
        let (found, expected) = (capacities[zone].capacity, walked.capacity());
        let off = (found - expected).abs();
        assert!(off <= ROUNDING * expected, "{found} for {expected}");
    }
}

#[test]
fn zones_of_few_endpoints_are_exact_through_random_changes() {
    for endpoints in [3, 20, 100, 400] {
        let mut random = Pcg64Mcg::seed_from_u64(endpoints as u64);
        let mut balancer = fleet(endpoints);
        for step in 0..600 {
            let now = START + ms(10 * step);
            let index = random.gen_range(0..balancer.fleet.len());
            change_at_random(&mut balancer.fleet.endpoint_mut(index), &mut random, now);
            change_latency(&mut balancer, index, &mut random);
            if step % 10 == 0 {
                balancer.update_endpoint_weights();
            }
            assert_exact(&balancer, now);
            assert_exact(&balancer, now + ms(400));
        }
    }
}

#[test]
fn a_zone_of_as_many_endpoints_as_a_sample_has_is_exact() {
    let mut random = Pcg64Mcg::seed_from_u64(9);
    let mut balancer = fleet(EXACT_UP_TO);
    for index in 0..balancer.fleet.len() {
        change_latency(&mut balancer, index, &mut random);
    }
    for _ in 0..50 {
        balancer.update_endpoint_weights();
        assert_exact(&balancer, START);
    }
}

/// By the spread of what single endpoints can take, which is at most half the range of weights.
#[test]
fn zones_of_many_endpoints_are_off_by_the_stated_error_at_most() {
    for endpoints in [513, 1_100, 7_700] {
        let mut random = Pcg64Mcg::seed_from_u64(endpoints as u64);
        let mut balancer = fleet(endpoints);
        for index in 0..balancer.fleet.len() {
            change_latency(&mut balancer, index, &mut random);
            change_at_random(
                &mut balancer.fleet.endpoint_mut(index),
                &mut random,
                START - ms(index as u64 % 4_000),
            );
        }
        for evaluation in 0..60 {
            balancer.update_endpoint_weights();
            let now = START + ms(100 * evaluation);
            assert_counts_match(&balancer, now);
            assert_estimates(&balancer, now);
        }
    }
}

fn assert_estimates(balancer: &Balancer, now: Duration) {
    let capacities = balancer.zone_capacities(now, ZONES);
    for (zone, walked) in walk(balancer, now).iter().enumerate() {
        let responsive = walked.counts.responsive as f64;
        let deviation = walked.deviation() / (EXACT_UP_TO as f64).sqrt();
        assert!(deviation < MAX_DEVIATION, "{deviation}");
        let off = (capacities[zone].capacity - walked.capacity()) / responsive.max(1.0);
        let allowed = MAX_DEVIATIONS * deviation;
        assert!(off.abs() <= allowed, "{off} against {allowed}, zone {zone}");
    }
}

/// Endpoints looked at by one question.
fn looked_at(balancer: &Balancer, question: impl Fn(&Balancer)) -> u64 {
    let before = balancer.endpoints_scanned();
    question(balancer);
    balancer.endpoints_scanned() - before
}

#[test]
fn work_is_bounded_by_what_is_in_flight_and_a_sample_of_each_zone() {
    const IN_FLIGHT: usize = 40;
    for endpoints_per_zone in [190, 1_925, 7_500] {
        let mut balancer = fleet(endpoints_per_zone);
        for index in 0..IN_FLIGHT {
            balancer.fleet.endpoint_mut(index).in_flight = 1;
        }
        let counts = looked_at(&balancer, |b| {
            b.zone_counts(START, 0);
        });
        assert_eq!(counts, IN_FLIGHT as u64);
        let capacities = looked_at(&balancer, |b| {
            b.zone_capacities(START, ZONES);
        });
        let sampled = ZONES * endpoints_per_zone.min(EXACT_UP_TO);
        assert_eq!(capacities, (IN_FLIGHT + sampled) as u64);
    }
}
