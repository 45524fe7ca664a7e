//! Latencies and weights, which the balancer computes when they are read, compared with a reference
//! that updates all endpoints at each evaluation.

use super::*;
use crate::balancer::endpoint_health::update_high_quantile;
use crate::balancer::endpoint_weights::MAX_ENDPOINT_WEIGHT;
use crate::balancer::peer_medians::{sampled_positions, MAX_SAMPLED_PEERS};
use crate::balancer::Balancer;
use crate::model::PeerGroup;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

const ENDPOINT_TYPES: usize = 2;
/// Evaluations in 36 hours, one every 100 ms.
const EVALUATIONS_IN_36_HOURS: u64 = 36 * 36_000;
/// Relative error allowed for latencies and weights that round in a different order.
const ROUNDING_TOLERANCE: f64 = 1e-9;
/// Error allowed for the rank of a sampled median, as a share of its peers: 4.5 standard
/// deviations.
const RANK_TOLERANCE: f64 = 0.1;

/// An endpoint of the reference, whose latency and weight are updated at each evaluation.
#[derive(Clone)]
struct ReferenceEndpoint {
    entry: EndpointEntry,
    warming_since: Option<Duration>,
    /// High quantile of the endpoint's latencies, divided by the mean of its class.
    latency: f64,
    weight: f64,
}

/// A balancer and the reference for its endpoints, which receive the same events.
struct Fixture {
    now: Duration,
    balancer: Balancer,
    reference: Vec<ReferenceEndpoint>,
    random: Pcg64Mcg,
}

impl Fixture {
    fn new(seed: u64, endpoints: usize) -> Fixture {
        let mut fixture = Fixture {
            now: START,
            balancer: Balancer::new(START, settings(vec![class(400, 1.0)])),
            reference: Vec::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
        };
        fixture
            .balancer
            .update_rollout(rollout(1, RolloutPhase::Released));
        let entries: Vec<EndpointEntry> = (0..endpoints)
            .map(|index| entry(index, index % ENDPOINT_TYPES, 1))
            .collect();
        fixture.reference = entries.iter().map(ReferenceEndpoint::started).collect();
        fixture.balancer.update_endpoints(START, &entries, true);
        fixture
    }

    /// Restarts an endpoint with this build and a random endpoint type. Does nothing if neither its
    /// build nor its start changes.
    fn restart(&mut self, index: usize, build: u32) {
        let entry = EndpointEntry {
            build,
            started: self.random.gen_bool(0.5).then_some(self.now),
            endpoint_type: self.random.gen_range(0..ENDPOINT_TYPES),
            ..self.reference[index].entry.clone()
        };
        let known = &self.reference[index].entry;
        if (entry.build, entry.started) == (known.build, known.started) {
            return;
        }
        self.balancer
            .update_endpoints(self.now, std::slice::from_ref(&entry), false);
        self.reference[index] = ReferenceEndpoint::started(&entry);
    }

    /// Adds a random latency of an endpoint, 0.1 to 10 times the mean of its class.
    fn observe_latency(&mut self, index: usize) {
        let ratio = 10f64.powf(self.random.gen_range(-1.0..1.0));
        update_high_quantile(&mut self.reference[index].latency, ratio);
        let endpoint = self.balancer.fleet.endpoint(index);
        let mut latency = self.balancer.endpoint_latency(endpoint);
        update_high_quantile(&mut latency, ratio);
        self.balancer.set_endpoint_latency(index, latency);
    }

    /// Evaluates with the balancer's medians, without a check of these.
    fn evaluate_unchecked(&mut self) {
        self.now += ms(100);
        self.balancer.update_endpoint_weights();
        self.balancer.update_slow_start_quotas(self.now);
        for index in 0..self.reference.len() {
            let median = self.balancer.peer_latencies.of(self.group(index)).median;
            let now = self.now;
            self.reference[index].evaluate(now, median);
        }
    }

    /// Evaluates with medians that are computed from all endpoints, where they are not sampled.
    fn evaluate(&mut self) {
        self.now += ms(100);
        self.balancer.update_endpoint_weights();
        self.balancer.update_slow_start_quotas(self.now);
        let exact = [false, true].map(|is_newest| {
            [0, 1].map(|endpoint_type| {
                self.exact_median(PeerGroup {
                    endpoint_type,
                    is_newest,
                })
            })
        });
        for index in 0..self.reference.len() {
            let group = self.group(index);
            let median = exact[usize::from(group.is_newest)][group.endpoint_type]
                .unwrap_or_else(|| self.balancer.peer_latencies.of(group).median);
            let now = self.now;
            self.reference[index].evaluate(now, median);
        }
    }

    fn group(&self, index: usize) -> PeerGroup {
        let entry = &self.reference[index].entry;
        PeerGroup {
            endpoint_type: entry.endpoint_type,
            is_newest: entry.build >= self.balancer.rollout.newest_build(),
        }
    }

    /// Returns the latencies of the warm endpoints among these peers, in ascending order.
    fn warm_latencies(&self, is_peer: impl Fn(usize) -> bool) -> Vec<f64> {
        let mut latencies: Vec<f64> = (0..self.reference.len())
            .filter(|index| self.reference[*index].warming_since.is_none() && is_peer(*index))
            .map(|index| self.reference[index].latency)
            .collect();
        latencies.sort_by(f64::total_cmp);
        latencies
    }

    /// Computes the median of a group, or of all endpoints if the group has at most two warm
    /// ones. Returns `None` if the balancer samples the group, and then checks the rank of its
    /// median.
    fn exact_median(&self, group: PeerGroup) -> Option<f64> {
        let mut peers = self.warm_latencies(|index| self.group(index) == group);
        if peers.len() <= 2 {
            peers = self.warm_latencies(|_| true);
        }
        if peers.len() <= 2 {
            return Some(1.0);
        }
        let middle = peers.len() / 2;
        if peers.len() <= MAX_SAMPLED_PEERS {
            return Some(peers[middle]);
        }
        let median = self.balancer.peer_latencies.of(group).median;
        let has_members = (0..self.reference.len()).any(|index| self.group(index) == group);
        if has_members {
            assert_rank_is_middle(&peers, median);
        }
        None
    }

    fn check(&self) {
        for (index, reference) in self.reference.iter().enumerate() {
            let endpoint = self.balancer.fleet.endpoint(index);
            let latency = self.balancer.endpoint_latency(endpoint);
            let weight = self.balancer.endpoint_weight(endpoint);
            assert_close(latency, reference.latency, index);
            assert_close(weight, reference.weight, index);
            assert!(weight <= MAX_ENDPOINT_WEIGHT);
        }
    }

    /// Applies random events and evaluates.
    fn run_interval(&mut self, build: u32) {
        let size = self.reference.len();
        for _ in 0..self.random.gen_range(0..=size.min(40)) {
            let index = self.random.gen_range(0..size);
            self.observe_latency(index);
        }
        if self.random.gen_bool(0.1) {
            let index = self.random.gen_range(0..size);
            self.restart(index, build);
        }
        self.check();
        self.evaluate();
    }

    fn run_intervals(&mut self, intervals: usize, build: u32) {
        for _ in 0..intervals {
            self.run_interval(build);
        }
        self.check();
    }
}

impl ReferenceEndpoint {
    fn started(entry: &EndpointEntry) -> ReferenceEndpoint {
        ReferenceEndpoint {
            entry: entry.clone(),
            warming_since: entry.started,
            latency: 1.0,
            weight: 1.0,
        }
    }

    fn evaluate(&mut self, now: Duration, median: f64) {
        self.warming_since = self.warming_since.filter(|since| now < *since + ms(4_000));
        let relative = (self.latency / median).max(0.3);
        self.weight = if relative < 1.5 {
            relative.powf(-0.5)
        } else {
            1.5f64.powf(1.5) * relative.powi(-2)
        };
        self.latency += (median - self.latency) * 0.01;
    }
}

fn assert_close(value: f64, expected: f64, index: usize) {
    let error = (value - expected).abs();
    assert!(
        error <= ROUNDING_TOLERANCE * expected,
        "endpoint {index}: found {value}, expected {expected}"
    );
}

/// Asserts that a sampled median is close to the middle of the sorted latencies.
fn assert_rank_is_middle(sorted: &[f64], median: f64) {
    let total = sorted.len() as f64;
    let below =
        sorted.partition_point(|latency| *latency < median * (1.0 - ROUNDING_TOLERANCE)) as f64;
    let up_to =
        sorted.partition_point(|latency| *latency <= median * (1.0 + ROUNDING_TOLERANCE)) as f64;
    assert!(
        below / total < 0.5 + RANK_TOLERANCE && up_to / total > 0.5 - RANK_TOLERANCE,
        "median {median} of {total} peers has ranks {below} to {up_to}"
    );
}

/// Runs a rollout to a third of the endpoints that is released, and then the start of the next one.
fn run_rollouts(seed: u64, size: usize, intervals: usize) {
    let mut fixture = Fixture::new(seed, size);
    fixture.run_intervals(intervals, 1);
    fixture
        .balancer
        .update_rollout(rollout(2, RolloutPhase::Canary));
    fixture.check();
    fixture.run_intervals(intervals, 2);
    for index in 0..size / 3 {
        fixture.restart(index, 2);
    }
    fixture.run_intervals(intervals, 2);
    fixture
        .balancer
        .update_rollout(rollout(2, RolloutPhase::Released));
    fixture.run_intervals(intervals, 2);
    fixture
        .balancer
        .update_rollout(rollout(3, RolloutPhase::Canary));
    fixture.check();
    fixture.run_intervals(intervals, 3);
}

#[test]
fn latencies_and_weights_match_a_scan_of_all_endpoints() {
    for (seed, size) in [1, 2, 3, 7, 40, 300, 900].into_iter().enumerate() {
        run_rollouts(seed as u64, size, 60);
    }
}

#[test]
fn sampled_medians_of_many_peers_stay_within_the_stated_rank_error() {
    for (seed, size) in [1_100, 2_400, 7_700].into_iter().enumerate() {
        let mut fixture = Fixture::new(seed as u64, size);
        for index in 0..size {
            for _ in 0..4 {
                fixture.observe_latency(index);
            }
        }
        fixture.run_intervals(30, 1);
    }
}

#[test]
fn a_latency_observed_36_hours_ago_has_decayed_as_in_the_reference() {
    let mut fixture = Fixture::new(9, 5);
    for _ in 0..20 {
        fixture.observe_latency(0);
        fixture.observe_latency(1);
    }
    fixture.check();
    for interval in 0..EVALUATIONS_IN_36_HOURS {
        if interval % 10_000 < 100 {
            fixture.evaluate();
            fixture.check();
        } else {
            fixture.evaluate_unchecked();
        }
    }
    fixture.check();
    fixture.observe_latency(0);
    fixture.run_intervals(20, 1);
}

#[test]
fn an_endpoint_with_a_reused_index_starts_with_default_latency_and_weight() {
    let mut fixture = Fixture::new(3, 6);
    for _ in 0..40 {
        fixture.observe_latency(2);
        fixture.evaluate();
    }
    let before = fixture
        .balancer
        .endpoint_weight(fixture.balancer.fleet.endpoint(2));
    assert!((before - 1.0).abs() > 0.1, "{before}");
    let mut gone = fixture.reference[2].entry.clone();
    gone.state = EndpointState::Gone;
    fixture
        .balancer
        .update_endpoints(fixture.now, &[gone], false);
    fixture.now += ms(500);
    let again = EndpointEntry {
        identity: 77,
        started: Some(fixture.now),
        ..entry(2, 1, 1)
    };
    fixture
        .balancer
        .update_endpoints(fixture.now, std::slice::from_ref(&again), false);
    fixture.reference[2] = ReferenceEndpoint::started(&again);
    fixture.check();
    fixture.run_intervals(60, 1);
}

#[test]
fn samples_have_no_duplicates_and_cover_all_positions_in_turn() {
    for total in [0usize, 1, 2, 511, 512, 513, 1_024, 5_120, 7_700, 30_000] {
        let rounds = total.div_ceil(MAX_SAMPLED_PEERS);
        let mut sampled = BTreeSet::new();
        for evaluation in 0..rounds as u64 {
            let sample: BTreeSet<usize> = sampled_positions(total, evaluation).collect();
            assert_eq!(sample.len(), total.min(MAX_SAMPLED_PEERS));
            assert!(sample.iter().all(|position| *position < total));
            sampled.extend(sample);
        }
        assert_eq!(sampled.len(), total);
    }
}

#[test]
fn a_periodic_list_of_peers_does_not_bias_the_sample() {
    for period in [2, 3, 4, 5, 8, 10, 16] {
        for evaluation in 0..100 {
            let in_phase = sampled_positions(5_120, evaluation)
                .filter(|position| position % period == 0)
                .count();
            let share = in_phase as f64 / MAX_SAMPLED_PEERS as f64;
            let expected = 1.0 / period as f64;
            assert!((share - expected).abs() < 0.05, "{period}: {share}");
        }
    }
}

/// Maximum endpoints scanned by the evaluation of weights, with one build and two endpoint types: a
/// sample of 512 of each.
const MAX_SCANNED: u64 = 2 * 512;

#[test]
fn an_evaluation_of_weights_scans_a_bounded_number_of_endpoints() {
    for size in [55, 770, 7_700] {
        let mut fixture = Fixture::new(1, size);
        fixture.balancer.fleet.reset_scanned();
        fixture.balancer.update_endpoint_weights();
        fixture.balancer.update_slow_start_quotas(fixture.now);
        fixture.balancer.update_limit(fixture.now);
        let status = rollout(1, RolloutPhase::Released);
        fixture
            .balancer
            .update_latency_regression(fixture.now, &status, ms(0));
        let scanned = fixture.balancer.endpoints_scanned();
        assert!(scanned <= MAX_SCANNED, "{size}: {scanned}");
    }
}
