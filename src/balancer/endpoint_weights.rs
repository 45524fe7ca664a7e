//! What each endpoint may draw, by its latency against its peers' and by its hardware type.

use super::slow_start::update_quota;
use super::Balancer;
use crate::model::{Endpoint, EndpointType};
use std::time::Duration;

/// Gain of the means of a hardware type, each answer.
pub(super) const ENDPOINT_TYPE_GAIN: f64 = 0.02;
/// Samples beyond which the means of a hardware type are used.
const MIN_TYPE_SAMPLES: f64 = 9.0;
/// Least latency ratio that a throughput is divided by.
const MIN_LATENCY_RATIO: f64 = 0.05;
/// Steps to an octave in which throughputs are rounded.
const THROUGHPUT_STEPS_PER_OCTAVE: f64 = 2.0;
/// Peers above which there is a median.
const MIN_PEERS: usize = 2;
/// Gain by which an endpoint's latency returns to its peers', each evaluation interval.
const LATENCY_FORGIVENESS: f64 = 0.01;
/// Latency against the peers' from which on it counts for the weight as it is.
const MIN_RELATIVE_LATENCY: f64 = 0.3;
/// Latency against the peers' from which on the weight falls steeply.
const SLOW_RELATIVE_LATENCY: f64 = 1.5;
/// Power of the latency by which the weight falls at first.
const WEIGHT_POWER: f64 = -0.5;
/// Power of the latency by which the weight of slow endpoints falls.
const SLOW_WEIGHT_POWER: i32 = -2;
/// Power that joins the two: the difference of the powers.
const JOINING_POWER: f64 = 1.5;

/// Median latencies of the peers of one hardware type.
struct PeerLatencies {
    earlier: f64,
    newest: f64,
}

impl Balancer {
    /// Weighs each endpoint by its latency against that of its peers, endpoints of the same
    /// hardware type and side of the rollout; and sets the quota of those that are warming up.
    pub(super) fn weigh_endpoints(&mut self, now: Duration) {
        let newest_build = self.rollout.newest_build();
        let peers = self.peer_latencies(newest_build);
        weigh_types(&mut self.fleet.types);
        let pace = self.slow_start_pace();
        let slow_start = &self.parameters.slow_start;
        self.fleet.for_each_mut(|endpoint, types| {
            let throughput = types[endpoint.endpoint_type].throughput;
            update_quota(now, endpoint, slow_start, throughput, &pace);
            let peers = &peers[endpoint.endpoint_type];
            let median = if endpoint.build >= newest_build {
                peers.newest
            } else {
                peers.earlier
            };
            update_weight(endpoint, median);
        });
    }

    fn peer_latencies(&self, newest_build: u32) -> Vec<PeerLatencies> {
        let all = self.median_latency(|_| true).unwrap_or(1.0);
        let side = |endpoint_type: usize, is_newest: bool| {
            let is_peer = |e: &Endpoint| {
                e.endpoint_type == endpoint_type && (e.build >= newest_build) == is_newest
            };
            self.median_latency(is_peer).unwrap_or(all)
        };
        (0..self.fleet.types.len())
            .map(|endpoint_type| PeerLatencies {
                earlier: side(endpoint_type, false),
                newest: side(endpoint_type, true),
            })
            .collect()
    }

    /// Median of the high latencies of warm endpoints, where there are enough of them.
    fn median_latency(&self, is_peer: impl Fn(&Endpoint) -> bool) -> Option<f64> {
        let peers = self
            .fleet
            .running()
            .filter(|(_, e)| e.is_warm() && is_peer(e));
        let mut latencies: Vec<f64> = peers.map(|(_, e)| e.high_latency).collect();
        if latencies.len() <= MIN_PEERS {
            return None;
        }
        latencies.sort_by(f64::total_cmp);
        latencies.get(latencies.len() / 2).copied()
    }
}

/// Lets the weight fall with the square root of the latency, and with its square where that is far
/// beyond the peers'.
fn update_weight(endpoint: &mut Endpoint, median: f64) {
    let relative = (endpoint.high_latency / median).max(MIN_RELATIVE_LATENCY);
    endpoint.weight = if relative < SLOW_RELATIVE_LATENCY {
        relative.powf(WEIGHT_POWER)
    } else {
        SLOW_RELATIVE_LATENCY.powf(JOINING_POWER) * relative.powi(SLOW_WEIGHT_POWER)
    };
    endpoint.high_latency += (median - endpoint.high_latency) * LATENCY_FORGIVENESS;
}

/// Sets all hardware types against their mean, once enough is known of them.
fn weigh_types(types: &mut [EndpointType]) {
    let mean_throughput = mean(types.iter().filter_map(known_throughput).collect());
    let mean_latency = mean(types.iter().filter_map(known_latency).collect());
    for hardware in types {
        hardware.throughput = known_throughput(hardware).map_or(1.0, |t| t / mean_throughput);
        let octaves = hardware.throughput.log2();
        let steps = (octaves * THROUGHPUT_STEPS_PER_OCTAVE).round();
        hardware.rounded_throughput = (steps / THROUGHPUT_STEPS_PER_OCTAVE).exp2();
        hardware.relative_latency = known_latency(hardware).map_or(1.0, |l| l / mean_latency);
    }
}

/// Throughput by Little's law: requests in flight over latency.
fn known_throughput(hardware: &EndpointType) -> Option<f64> {
    let load = hardware.reported_load;
    let is_known = load.samples > MIN_TYPE_SAMPLES;
    let latency = known_latency(hardware).filter(|_| is_known)?;
    Some((load.value + 1.0) / latency)
}

fn known_latency(hardware: &EndpointType) -> Option<f64> {
    let ratio = hardware.latency_ratio;
    (ratio.samples > MIN_TYPE_SAMPLES).then_some(ratio.value.max(MIN_LATENCY_RATIO))
}

fn mean(values: Vec<f64>) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
