//! Latencies and weights that are computed when they are read, against a walk over all endpoints at
//! each evaluation.

use super::*;
use crate::balancer::endpoint_health::update_high_quantile;
use crate::balancer::endpoint_weights::MAX_ENDPOINT_WEIGHT;
use crate::balancer::peer_medians::{sampled_positions, MAX_SAMPLED_PEERS};
use crate::balancer::Balancer;
use crate::model::PeerGroup;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

const TYPES: usize = 2;
/// Evaluations in 36 hours.
const EVALUATIONS_36_H: u64 = 36 * 36_000;
/// Relative error of latencies and weights, by the order of rounding.
const TOLERANCE: f64 = 1e-9;
/// Error of the rank of a sampled median, as a share of its peers: 4.5 times its standard deviation.
const RANK_TOLERANCE: f64 = 0.1;

/// An endpoint whose latency is moved at each evaluation.
#[derive(Clone)]
struct WalkedEndpoint {
    entry: EndpointEntry,
    warming_since: Option<Duration>,
    latency: f64,
    weight: f64,
}

struct World {
    now: Duration,
    balancer: Balancer,
    walked: Vec<WalkedEndpoint>,
    random: Pcg64Mcg,
}

impl World {
    fn new(seed: u64, endpoints: usize) -> World {
        let mut world = World {
            now: START,
            balancer: Balancer::new(START, settings(vec![class(400, 1.0)])),
            walked: Vec::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
        };
        world
            .balancer
            .update_rollout(rollout(1, RolloutPhase::Released));
        let entries: Vec<EndpointEntry> = (0..endpoints)
            .map(|index| entry(index, index % TYPES, 1))
            .collect();
        world.walked = entries.iter().map(WalkedEndpoint::started).collect();
        world.balancer.update_endpoints(START, &entries, true);
        world
    }

    fn restart(&mut self, index: usize, build: u32) {
        let entry = EndpointEntry {
            build,
            started: self.random.gen_bool(0.5).then_some(self.now),
            endpoint_type: self.random.gen_range(0..TYPES),
            ..self.walked[index].entry.clone()
        };
        let known = &self.walked[index].entry;
        if (entry.build, entry.started) == (known.build, known.started) {
            return;
        }
        self.balancer
            .update_endpoints(self.now, std::slice::from_ref(&entry), false);
        self.walked[index] = WalkedEndpoint::started(&entry);
    }

    fn observe_latency(&mut self, index: usize) {
        let ratio = 10f64.powf(self.random.gen_range(-1.0..1.0));
        update_high_quantile(&mut self.walked[index].latency, ratio);
        let endpoint = self.balancer.fleet.endpoint(index);
        let mut latency = self.balancer.endpoint_latency(endpoint);
        update_high_quantile(&mut latency, ratio);
        self.balancer.set_endpoint_latency(index, latency);
    }

    /// An evaluation whose medians are not checked.
    fn evaluate_unchecked(&mut self) {
        self.now += ms(100);
        self.balancer.update_endpoint_weights();
        self.balancer.update_slow_start_quotas(self.now);
        for index in 0..self.walked.len() {
            let median = self.balancer.peer_latencies.of(self.group(index)).median;
            let now = self.now;
            self.walked[index].evaluate(now, median);
        }
    }

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
        for index in 0..self.walked.len() {
            let group = self.group(index);
            let median = exact[usize::from(group.is_newest)][group.endpoint_type]
                .unwrap_or_else(|| self.balancer.peer_latencies.of(group).median);
            let now = self.now;
            self.walked[index].evaluate(now, median);
        }
    }

    fn group(&self, index: usize) -> PeerGroup {
        let entry = &self.walked[index].entry;
        PeerGroup {
            endpoint_type: entry.endpoint_type,
            is_newest: entry.build >= self.balancer.rollout.newest_build(),
        }
    }

    fn warm_latencies(&self, is_peer: impl Fn(usize) -> bool) -> Vec<f64> {
        let mut latencies: Vec<f64> = (0..self.walked.len())
            .filter(|index| self.walked[*index].warming_since.is_none() && is_peer(*index))
            .map(|index| self.walked[index].latency)
            .collect();
        latencies.sort_by(f64::total_cmp);
        latencies
    }

    /// The median of a group, or of all where the group is small; `None` where it is sampled,
    /// whose rank is checked instead.
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
        let has_members = (0..self.walked.len()).any(|index| self.group(index) == group);
        if has_members {
            assert_rank_is_middle(&peers, median);
        }
        None
    }

    fn check(&self) {
        for (index, walked) in self.walked.iter().enumerate() {
            let endpoint = self.balancer.fleet.endpoint(index);
            let latency = self.balancer.endpoint_latency(endpoint);
            let weight = self.balancer.endpoint_weight(endpoint);
            assert_close(latency, walked.latency, index);
            assert_close(weight, walked.weight, index);
            assert!(weight <= MAX_ENDPOINT_WEIGHT);
        }
    }

    /// Some events, and an evaluation.
    fn play_interval(&mut self, build: u32) {
        let size = self.walked.len();
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

    fn play(&mut self, intervals: usize, build: u32) {
        for _ in 0..intervals {
            self.play_interval(build);
        }
        self.check();
    }
}

impl WalkedEndpoint {
    fn started(entry: &EndpointEntry) -> WalkedEndpoint {
        WalkedEndpoint {
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
        error <= TOLERANCE * expected,
        "endpoint {index}: {value} for {expected}"
    );
}

fn assert_rank_is_middle(sorted: &[f64], median: f64) {
    let total = sorted.len() as f64;
    let below = sorted.partition_point(|latency| *latency < median * (1.0 - TOLERANCE)) as f64;
    let up_to = sorted.partition_point(|latency| *latency <= median * (1.0 + TOLERANCE)) as f64;
    assert!(
        below / total < 0.5 + RANK_TOLERANCE && up_to / total > 0.5 - RANK_TOLERANCE,
        "median {median} of {total} peers stands at ranks {below} to {up_to}"
    );
}

/// Some endpoints of each size get a canary, which is released; then comes another one.
fn play_rollouts(seed: u64, size: usize, intervals: usize) {
    let mut world = World::new(seed, size);
    world.play(intervals, 1);
    world
        .balancer
        .update_rollout(rollout(2, RolloutPhase::Canary));
    world.check();
    world.play(intervals, 2);
    for index in 0..size / 3 {
        world.restart(index, 2);
    }
    world.play(intervals, 2);
    world
        .balancer
        .update_rollout(rollout(2, RolloutPhase::Released));
    world.play(intervals, 2);
    world
        .balancer
        .update_rollout(rollout(3, RolloutPhase::Canary));
    world.check();
    world.play(intervals, 3);
}

#[test]
fn latencies_and_weights_agree_with_a_walk_over_all_endpoints() {
    for (seed, size) in [1, 2, 3, 7, 40, 300, 900].into_iter().enumerate() {
        play_rollouts(seed as u64, size, 60);
    }
}

#[test]
fn medians_of_many_peers_are_sampled_within_the_stated_rank() {
    for (seed, size) in [1_100, 2_400, 7_700].into_iter().enumerate() {
        let mut world = World::new(seed as u64, size);
        for index in 0..size {
            for _ in 0..4 {
                world.observe_latency(index);
            }
        }
        world.play(30, 1);
    }
}

#[test]
fn a_latency_that_was_changed_36_hours_ago_is_forgiven() {
    let mut world = World::new(9, 5);
    for _ in 0..20 {
        world.observe_latency(0);
        world.observe_latency(1);
    }
    world.check();
    for interval in 0..EVALUATIONS_36_H {
        if interval % 10_000 < 100 {
            world.evaluate();
            world.check();
        } else {
            world.evaluate_unchecked();
        }
    }
    world.check();
    world.observe_latency(0);
    world.play(20, 1);
}

#[test]
fn an_endpoint_whose_index_is_reused_starts_afresh() {
    let mut world = World::new(3, 6);
    for _ in 0..40 {
        world.observe_latency(2);
        world.evaluate();
    }
    let before = world
        .balancer
        .endpoint_weight(world.balancer.fleet.endpoint(2));
    assert!((before - 1.0).abs() > 0.1, "{before}");
    let mut gone = world.walked[2].entry.clone();
    gone.state = EndpointState::Gone;
    world.balancer.update_endpoints(world.now, &[gone], false);
    world.now += ms(500);
    let again = EndpointEntry {
        identity: 77,
        started: Some(world.now),
        ..entry(2, 1, 1)
    };
    world
        .balancer
        .update_endpoints(world.now, std::slice::from_ref(&again), false);
    world.walked[2] = WalkedEndpoint::started(&again);
    world.check();
    world.play(60, 1);
}

#[test]
fn sampled_positions_are_each_met_once_and_all_in_turn() {
    for total in [0usize, 1, 2, 511, 512, 513, 1_024, 5_120, 7_700, 30_000] {
        let rounds = total.div_ceil(MAX_SAMPLED_PEERS);
        let mut met = BTreeSet::new();
        for evaluation in 0..rounds as u64 {
            let sample: BTreeSet<usize> = sampled_positions(total, evaluation).collect();
            assert_eq!(sample.len(), total.min(MAX_SAMPLED_PEERS));
            assert!(sample.iter().all(|position| *position < total));
            met.extend(sample);
        }
        assert_eq!(met.len(), total);
    }
}

#[test]
fn a_period_in_the_list_of_peers_does_not_bias_the_sample() {
    for period in [2, 3, 4, 5, 8, 10, 16] {
        for evaluation in 0..100 {
            let of_one_kind = sampled_positions(5_120, evaluation)
                .filter(|position| position % period == 0)
                .count();
            let share = of_one_kind as f64 / MAX_SAMPLED_PEERS as f64;
            let expected = 1.0 / period as f64;
            assert!((share - expected).abs() < 0.05, "{period}: {share}");
        }
    }
}

/// Endpoints that stage an evaluation may look at, with both groups of two hardware types.
const MAX_SCANNED: u64 = 2 * 512;

#[test]
fn weighing_looks_at_a_bounded_number_of_endpoints() {
    for size in [55, 770, 7_700] {
        let mut world = World::new(1, size);
        world.balancer.fleet.reset_scanned();
        world.balancer.update_endpoint_weights();
        world.balancer.update_slow_start_quotas(world.now);
        world.balancer.update_limit(world.now);
        let status = rollout(1, RolloutPhase::Released);
        world
            .balancer
            .update_latency_regression(world.now, &status, ms(0));
        let scanned = world.balancer.endpoints_scanned();
        assert!(scanned <= MAX_SCANNED, "{size}: {scanned}");
    }
}
