//! What is remembered of endpoints of one hardware type.

use crate::stats::Ewma;

/// Endpoints of one hardware type, against the others.
#[derive(Clone, Copy)]
pub(crate) struct EndpointType {
    /// Latencies of their answers, divided by the mean of the class.
    pub latency_ratio: Ewma,
    /// Requests in flight that they reported.
    pub reported_load: Ewma,
    /// What one of them gets done against the mean of all types, by Little's law.
    pub throughput: f64,
    /// The same, rounded to half an octave, so that all agents find the same.
    pub rounded_throughput: f64,
    /// Their latency against the mean of all types.
    pub relative_latency: f64,
}

impl Default for EndpointType {
    fn default() -> EndpointType {
        EndpointType {
            latency_ratio: Ewma::default(),
            reported_load: Ewma::default(),
            throughput: 1.0,
            rounded_throughput: 1.0,
            relative_latency: 1.0,
        }
    }
}
