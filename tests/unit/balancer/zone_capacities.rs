//! Counts and capacities of zones, which scan few endpoints, compared with a scan of all endpoints.

use super::*;
use crate::balancer::Balancer;
use crate::model::Endpoint;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Zones whose capacities are requested. Endpoints may also be in one further zone.
const ZONES: usize = 3;
/// Endpoints of a zone that are sampled for its capacity. The capacity of a zone of at most this size
/// is exact.
const SAMPLE_SIZE: usize = 512;
/// Relative difference allowed for sums that are added up in a different order.
const ROUNDING_TOLERANCE: f64 = 1e-9;
/// Upper bound of the standard deviation of an estimate, per responsive endpoint of its zone.
const MAX_DEVIATION: f64 = 0.041;
/// Upper bound of the error of each estimate, in standard deviations.
const MAX_DEVIATIONS: f64 = 4.5;

/// Counts and loads of one zone by a scan of all endpoints.
#[derive(Default)]
struct ReferenceZone {
    counts: ZoneCounts,
    /// Load that each responsive endpoint can take, in warm endpoints of average speed.
    loads: Vec<f64>,
}

impl ReferenceZone {
    fn capacity(&self) -> f64 {
        self.loads.iter().sum()
    }

    /// Standard deviation of the loads.
    fn deviation(&self) -> f64 {
        let count = self.loads.len().max(1) as f64;
        let mean = self.capacity() / count;
        let squares = self.loads.iter().map(|load| (load - mean).powi(2));
        (squares.sum::<f64>() / count).sqrt()
    }
}

/// Computes the zones by a scan of all endpoints.
fn scan_zones(balancer: &Balancer, now: Duration) -> Vec<ReferenceZone> {
    let mut zones: Vec<ReferenceZone> = (0..ZONES).map(|_| ReferenceZone::default()).collect();
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

/// A fleet with this number of endpoints in each requested zone and in one further zone.
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

/// Changes one random property of an endpoint.
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
    for (zone, reference) in scan_zones(balancer, now).iter().enumerate() {
        assert_eq!(
            counts_of(&capacities[zone]),
            reference.counts,
            "zone {zone}"
        );
        assert_eq!(balancer.zone_counts(now, zone), reference.counts);
    }
}

/// Asserts that counts match a scan of all endpoints, and capacities do up to rounding.
fn assert_exact(balancer: &Balancer, now: Duration) {
    assert_counts_match(balancer, now);
    let capacities = balancer.zone_capacities(now, ZONES);
    for (zone, reference) in scan_zones(balancer, now).iter().enumerate() {
        let (found, expected) = (capacities[zone].capacity, reference.capacity());
        let error = (found - expected).abs();
        assert!(
            error <= ROUNDING_TOLERANCE * expected,
            "found {found}, expected {expected}"
        );
    }
}

#[test]
fn zones_smaller_than_the_sample_stay_exact_through_random_changes() {
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
fn a_zone_as_large_as_the_sample_is_exact() {
    let mut random = Pcg64Mcg::seed_from_u64(9);
    let mut balancer = fleet(SAMPLE_SIZE);
    for index in 0..balancer.fleet.len() {
        change_latency(&mut balancer, index, &mut random);
    }
    for _ in 0..50 {
        balancer.update_endpoint_weights();
        assert_exact(&balancer, START);
    }
}

/// The stated error follows from the spread of the loads of single endpoints, which is at most half
/// the range of the weights.
#[test]
fn zones_larger_than_the_sample_stay_within_the_stated_error() {
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
    for (zone, reference) in scan_zones(balancer, now).iter().enumerate() {
        let responsive = reference.counts.responsive as f64;
        let deviation = reference.deviation() / (SAMPLE_SIZE as f64).sqrt();
        assert!(deviation < MAX_DEVIATION, "{deviation}");
        let error = (capacities[zone].capacity - reference.capacity()) / responsive.max(1.0);
        let allowed = MAX_DEVIATIONS * deviation;
        assert!(
            error.abs() <= allowed,
            "error {error}, allowed {allowed}, zone {zone}"
        );
    }
}

/// Counts the endpoints that a query scans.
fn endpoints_scanned_by(balancer: &Balancer, query: impl Fn(&Balancer)) -> u64 {
    let before = balancer.endpoints_scanned();
    query(balancer);
    balancer.endpoints_scanned() - before
}

#[test]
fn scans_are_bounded_by_endpoints_in_flight_and_a_sample_of_each_zone() {
    const IN_FLIGHT: usize = 40;
    for endpoints_per_zone in [190, 1_925, 7_500] {
        let mut balancer = fleet(endpoints_per_zone);
        for index in 0..IN_FLIGHT {
            balancer.fleet.endpoint_mut(index).in_flight = 1;
        }
        let counts = endpoints_scanned_by(&balancer, |b| {
            b.zone_counts(START, 0);
        });
        assert_eq!(counts, IN_FLIGHT as u64);
        let capacities = endpoints_scanned_by(&balancer, |b| {
            b.zone_capacities(START, ZONES);
        });
        let sampled = ZONES * endpoints_per_zone.min(SAMPLE_SIZE);
        assert_eq!(capacities, (IN_FLIGHT + sampled) as u64);
    }
}
