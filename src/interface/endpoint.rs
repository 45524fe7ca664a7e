//! Entries of the endpoint list.

use std::time::Duration;

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// Index of the endpoint at this agent.
    pub endpoint: usize,
    /// Index of its zone.
    pub zone: usize,
    /// Number of its cell, the same at every agent.
    pub cell: u64,
    /// Number that identifies it at every agent, for rendezvous hashing.
    pub identity: u64,
    /// Index of its hardware type. Endpoints of one type are alike but for faults.
    pub endpoint_type: usize,
    /// The build that it runs.
    pub build: u32,
    /// Whether it may be sent requests.
    pub state: EndpointState,
    /// When it was started, where that is known.
    pub started: Option<Duration>,
}

/// Whether an endpoint may be sent requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes requests.
    Running,
    /// It finishes what it has in flight and takes nothing new.
    Draining,
    /// It has left the list.
    #[default]
    Gone,
}
