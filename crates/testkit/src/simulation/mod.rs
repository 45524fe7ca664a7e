//! A discrete-event simulation of agents, endpoints and clients. The agents run the real balancer
//! and the real zones; the endpoints are modelled.
//!
//! A [`Simulation`] is driven by a seed and a list of events and takes little real time. It checks
//! the rules ([`Violation`]) from outside, by what was received, sent, run and answered, not by
//! what an agent reports. Equal simulations give bit-identical [`SimulationReport`]s.
//!
//! - [`config`](Simulation): what is simulated.
//! - [`event_queue`]: the queue of events and the simulated clock.
//! - [`network`] and [`random`]: links between zones, and all random draws.
//! - [`checks`]: a checker for each rule.
//! - the runner: takes events from the queue and dispatches them to agents, endpoints, clients and
//!   the platform.

mod agent;
pub mod checks;
mod client;
mod config;
mod endpoint;
mod event;
pub mod event_queue;
pub mod network;
pub mod random;
mod report;
mod rollout;
mod runner;
mod violation;

pub use config::{
    classes, default_settings, default_zoning, ClientBehavior, InjectedFaults, RolloutPlan,
    ScenarioEvent, SimulatedAgent, SimulatedEndpoint, Simulation,
};
pub use report::{CrossZoneSend, RolloutOutcome, SecondCounts, SimulationReport};
pub use violation::Violation;

use std::time::Duration;

/// Clock time at which a simulation begins. It is not zero, so that earlier events have a time too.
pub const START: Duration = Duration::from_secs(3600);
/// Bytes of an attempt in each direction: the request and the reply.
pub const ATTEMPT_BYTES: (u64, u64) = (180, 420);
