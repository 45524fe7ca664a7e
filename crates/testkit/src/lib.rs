//! Fakes of everything an agent talks to, and checkers of its rules.
//!
//! The fakes are written from the public descriptions of their protocols, apart from the agent's
//! own code. They stay on loopback addresses, take scripts of faults, and count what passes at
//! their end of the wire. Used by tests, benchmarks and the demo.
//!
//! - [`TestCluster`]: zones with [`Endpoint`]s, [`Discovery`] and a [`Platform`], put together.
//! - [`TestClient`]: one client, for single cases. [`Load`]: many, at a rate of their own.
//! - [`AgentProcess`]: an agent as a process, with its configuration.
//! - [`ScriptedServer`]: sends fixed bytes, for what no fake would send.
//! - [`simulation`]: agents, endpoints and clients in simulated time, for the decisions and the zones
//!   alone, with the rules checked after each step.

#![warn(missing_docs)]
#![warn(clippy::too_many_lines)]

pub mod agent_process;
pub mod client;
pub mod cluster;
pub mod connection_cutter;
pub mod discovery;
pub mod endpoint;
mod latencies;
pub mod load;
pub mod pg;
pub mod platform;
pub mod registry;
pub mod runtime;
pub mod scripted_server;
pub mod simulation;

pub use agent_process::{
    classes, client_config, configuration, settings, AgentProcess, RequestClass,
};
pub use client::{Reply, TestClient};
pub use cluster::TestCluster;
pub use connection_cutter::{ConnectionCutter, CutPoint};
pub use discovery::{ConnectionBehavior, Discovery, DiscoveryBehavior};
pub use endpoint::{
    Endpoint, EndpointBehavior, Link, ReceivedQuery, ResponseBehavior, TransferCounts,
};
pub use load::{ConnectionUse, Load, LoadReport};
pub use platform::{Platform, RolloutStatus, StagedRollout};
pub use registry::{Entry, Registry};
pub use scripted_server::ScriptedServer;
