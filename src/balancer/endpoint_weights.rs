//! Weights of endpoints in the random draw, by their latency relative to their peers and by their
//! hardware type.

use super::Balancer;
use crate::model::{Endpoint, EndpointLatency, EndpointType, PeerGroup};

/// Smoothing gain of the means of a hardware type, per response.
pub(super) const ENDPOINT_TYPE_GAIN: f64 = 0.02;
/// Number of samples above which the means of a hardware type are used.
const MIN_TYPE_SAMPLES: f64 = 9.0;
/// Lower bound of the latency ratio by which a throughput is divided.
const MIN_LATENCY_RATIO: f64 = 0.05;
/// Number of steps per octave to which throughputs are rounded, so that all agents compute the same
/// affinity endpoints.
const THROUGHPUT_STEPS_PER_OCTAVE: f64 = 2.0;
/// Gain by which an endpoint's latency reverts to the median of its peers, per evaluation interval.
const LATENCY_REVERSION_GAIN: f64 = 0.01;
/// Lower bound of the latency relative to the peers, for the weight.
const MIN_RELATIVE_LATENCY: f64 = 0.3;
/// Maximum weight of an endpoint: the weight at the lower bound of the relative latency, 0.3^-0.5,
/// rounded up.
pub(super) const MAX_ENDPOINT_WEIGHT: f64 = 1.826;
/// Latency relative to the peers above which the weight falls steeply.
const SLOW_RELATIVE_LATENCY: f64 = 1.5;
/// Exponent of the relative latency in the weight of endpoints that are not slow.
const WEIGHT_POWER: f64 = -0.5;
/// Exponent of the relative latency in the weight of slow endpoints.
const SLOW_WEIGHT_POWER: i32 = -2;
/// Exponent of the factor that makes the weight continuous: the difference of the two exponents.
const CONTINUITY_POWER: f64 = 1.5;

impl Balancer {
    /// Updates hardware types and peer groups from recent latencies. The latency of each endpoint
    /// reverts slightly to the median of its peers, which are the endpoints of the same hardware
    /// type that run builds on the same side of the rollout. Latencies and weights of endpoints are
    /// computed when they are read.
    pub(super) fn update_endpoint_weights(&mut self) {
        let medians = self.peer_medians();
        update_type_weights(&mut self.fleet.types);
        for (endpoint_type, median) in medians.iter().enumerate() {
            for (is_newest, median) in [(false, median.earlier), (true, median.newest)] {
                let group = PeerGroup {
                    endpoint_type,
                    is_newest,
                };
                self.peer_latencies
                    .of_mut(group)
                    .approach(median, LATENCY_REVERSION_GAIN);
            }
        }
        self.peer_latencies.evaluations += 1;
    }

    /// Weight of an endpoint in the random draw, by its latency relative to its peers at the last
    /// evaluation; at most [`MAX_ENDPOINT_WEIGHT`].
    pub(super) fn endpoint_weight(&self, endpoint: &Endpoint) -> f64 {
        let known = &endpoint.latency;
        let age = self.peer_latencies.evaluations - known.evaluations;
        let Some(age_before) = age.checked_sub(1) else {
            return known.weight;
        };
        let peers = self.peer_latencies.of(self.peer_group(endpoint));
        let latency = peers.center_before + remaining_deviation(known.deviation, age_before);
        weight_of(latency / peers.median)
    }

    /// High quantile of an endpoint's latencies, as a ratio to the mean latency of the class.
    pub(super) fn endpoint_latency(&self, endpoint: &Endpoint) -> f64 {
        let known = &endpoint.latency;
        let age = self.peer_latencies.evaluations - known.evaluations;
        let peers = self.peer_latencies.of(self.peer_group(endpoint));
        peers.center + remaining_deviation(known.deviation, age)
    }

    /// Sets the latency of an endpoint, as a ratio. Its weight stays the same until the next
    /// evaluation.
    pub(super) fn set_endpoint_latency(&mut self, index: usize, latency: f64) {
        let endpoint = self.fleet.endpoint(index);
        let known = EndpointLatency {
            deviation: latency - self.peer_latencies.of(self.peer_group(endpoint)).center,
            weight: self.endpoint_weight(endpoint),
            evaluations: self.peer_latencies.evaluations,
        };
        self.fleet.endpoint_mut(index).latency = known;
    }

    /// Latency of an endpoint that has just been started: the mean of its class, a ratio of 1.
    pub(super) fn initial_latency(&self, endpoint_type: usize, build: u32) -> EndpointLatency {
        let group = PeerGroup {
            endpoint_type,
            is_newest: build >= self.rollout.newest_build(),
        };
        EndpointLatency {
            deviation: 1.0 - self.peer_latencies.of(group).center,
            weight: 1.0,
            evaluations: self.peer_latencies.evaluations,
        }
    }

    /// Moves the endpoints that run a build older than `newest_build`, which is about to become the
    /// newest one, to the peer group of earlier builds. Scans all endpoints.
    pub(super) fn regroup_peers(&mut self, newest_build: u32) {
        let before = self.rollout.newest_build();
        let moved: Vec<usize> = self
            .fleet
            .running()
            .filter(|(_, e)| (before..newest_build).contains(&e.build))
            .map(|(index, _)| index)
            .collect();
        for index in moved {
            let endpoint = self.fleet.endpoint(index);
            let earlier = PeerGroup {
                is_newest: false,
                ..self.peer_group(endpoint)
            };
            let center = self.peer_latencies.of(earlier).center;
            let known = EndpointLatency {
                deviation: self.endpoint_latency(endpoint) - center,
                weight: self.endpoint_weight(endpoint),
                evaluations: self.peer_latencies.evaluations,
            };
            self.fleet.endpoint_mut(index).latency = known;
        }
    }

    fn peer_group(&self, endpoint: &Endpoint) -> PeerGroup {
        PeerGroup {
            endpoint_type: endpoint.endpoint_type,
            is_newest: endpoint.build >= self.rollout.newest_build(),
        }
    }
}

/// The part of a deviation that remains after this many evaluations; it vanishes within hours.
fn remaining_deviation(deviation: f64, evaluations: u64) -> f64 {
    let evaluations = i32::try_from(evaluations).unwrap_or(i32::MAX);
    deviation * (1.0 - LATENCY_REVERSION_GAIN).powi(evaluations)
}

/// Weight for a latency relative to the peers: inversely proportional to the square root of the
/// latency, and to its square if the latency is far above that of the peers.
fn weight_of(relative: f64) -> f64 {
    let relative = relative.max(MIN_RELATIVE_LATENCY);
    let weight = if relative < SLOW_RELATIVE_LATENCY {
        relative.powf(WEIGHT_POWER)
    } else {
        SLOW_RELATIVE_LATENCY.powf(CONTINUITY_POWER) * relative.powi(SLOW_WEIGHT_POWER)
    };
    weight.min(MAX_ENDPOINT_WEIGHT)
}

/// Updates the throughput and latency of all hardware types relative to their mean, for types with
/// enough samples.
fn update_type_weights(types: &mut [EndpointType]) {
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

/// Throughput by Little's law: requests in flight divided by latency. `None` with too few samples.
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
