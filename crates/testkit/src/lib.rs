//! Fakes of all services that an agent talks to, and checkers of the rules that an agent must keep.
//!
//! The fakes are written from the public descriptions of their protocols and share no code with the
//! agent. They listen on loopback addresses only, inject scripted faults, and count the traffic at
//! their end of the connection. Tests, benchmarks and the demo use them.
//!
//! - [`TestCluster`]: zones with [`Endpoint`]s, a [`Discovery`] service and a [`Platform`].
//! - [`TestClient`]: one blocking client for single requests. [`Load`]: an open-loop load generator
//!   with many clients.
//! - [`Crowd`]: hundreds of clients that press on an agent.
//! - [`AgentProcess`]: an agent that runs as a child process, with its configuration.
//! - [`ScriptedServer`]: a server that sends fixed bytes, for replies that no fake sends.
//! - [`ScriptedEndpoint`]: an endpoint whose every byte is chosen by a test.
//! - [`simulation`]: agents, endpoints and clients in simulated time. It covers the balancer's
//!   decisions and the zones only, and checks the rules after each step.

#![warn(missing_docs)]
#![warn(clippy::too_many_lines)]

pub mod agent_process;
pub mod client;
pub mod cluster;
pub mod connection_cutter;
pub mod crowd;
pub mod discovery;
pub mod endpoint;
mod latencies;
pub mod load;
pub mod pg;
pub mod platform;
pub mod raw_client;
pub mod registry;
pub mod runtime;
pub mod scripted_endpoint;
pub mod scripted_server;
pub mod simulation;

pub use agent_process::{
    classes, client_config, configuration, settings, AgentProcess, RequestClass,
};
pub use client::{Reply, TestClient};
pub use cluster::TestCluster;
pub use connection_cutter::{ConnectionCutter, CutPoint};
pub use crowd::{Crowd, CrowdBehavior};
pub use discovery::{ConnectionBehavior, Discovery, DiscoveryBehavior};
pub use endpoint::{
    Endpoint, EndpointBehavior, Link, ReceivedQuery, ResponseBehavior, TransferCounts,
};
pub use load::{ConnectionUse, Load, LoadReport};
pub use platform::{Platform, RolloutStatus, StagedRollout};
pub use raw_client::RawClient;
pub use registry::{Entry, Registry};
pub use scripted_endpoint::{ScriptedConnection, ScriptedEndpoint, ScriptedQuery};
pub use scripted_server::ScriptedServer;
