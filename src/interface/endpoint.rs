//! Entries of the endpoint list.

use std::time::Duration;

/// An endpoint as the endpoint list describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// Index of the endpoint, assigned by this agent.
    pub endpoint: usize,
    /// Index of its zone.
    pub zone: usize,
    /// Identifier of its cell, the same at every agent.
    pub cell: u64,
    /// Identifier of the endpoint for rendezvous hashing, the same at every agent.
    pub identity: u64,
    /// Index of its hardware type. Healthy endpoints of one type perform alike.
    pub endpoint_type: usize,
    /// Number of the build that it runs.
    pub build: u32,
    /// Whether it is running, draining or gone.
    pub state: EndpointState,
    /// When it was started. `None` if that is not known.
    pub started: Option<Duration>,
}

/// Whether an endpoint accepts requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It accepts requests.
    Running,
    /// It completes the requests in flight and accepts no new ones.
    Draining,
    /// It is no longer on the endpoint list.
    #[default]
    Gone,
}
