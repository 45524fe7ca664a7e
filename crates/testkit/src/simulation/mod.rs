//! Agents, endpoints and clients in simulated time: the real decisions and the real zones against
//! modelled endpoints.
//!
//! A [`Simulation`] runs from a seed and a list of events, takes little real time, and checks the
//! rules ([`Violation`]) from outside: by what was received, sent, run and answered, not by what an
//! agent says. Equal simulations give equal [`SimulationReport`]s, to the bit.
//!
//! - [`config`](Simulation): what is simulated.
//! - [`event_queue`]: the order of events, and the clock.
//! - [`network`] and [`random`]: links between zones, and all draws.
//! - [`checks`]: a checker for each rule.
//! - the runner: takes events from the queue and hands them to agents, endpoints, clients and the
//!   platform.

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

/// Time at which a simulation begins, so that what began before has a time, too.
pub const START: Duration = Duration::from_secs(3600);
/// What an attempt carries each way, in bytes: the request and the reply.
pub const ATTEMPT_BYTES: (u64, u64) = (180, 420);
