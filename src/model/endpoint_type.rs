//! The state of one hardware type.

use crate::stats::Ewma;

/// Performance of the endpoints of one hardware type, relative to the other types.
#[derive(Clone, Copy)]
pub(crate) struct EndpointType {
    /// Latency of their responses, divided by the mean of the class.
    pub latency_ratio: Ewma,
    /// Number of requests in flight that they reported.
    pub reported_load: Ewma,
    /// Throughput of one endpoint relative to the mean of all types, by Little's law.
    pub throughput: f64,
    /// `throughput`, rounded to half an octave so that all agents arrive at the same value.
    pub rounded_throughput: f64,
    /// Latency relative to the mean of all types.
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
