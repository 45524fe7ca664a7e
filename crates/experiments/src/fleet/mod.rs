//! Measurements of the cost of real agents and of the latency that they add, on loopback.
//!
//! Agents run as processes in front of fake servers. Each measure relates figures to one size, and
//! fits a straight line to the points.
//!
//! - [`plan`]: what is measured, and at which sizes; [`estimate`]: the resources that a run would
//!   need, and whether the machine has them.
//! - [`installation`]: agents and fake servers. Entries of the endpoint list share a few listeners;
//!   in most measures, most entries receive no requests.
//! - [`timed_endpoint`]: an endpoint whose processing time of each request is known, for the
//!   measurement of latencies.
//! - [`proxy`]: counts the traffic between an agent and a server.
//! - [`process`]: memory and processor time of processes, as the kernel reports them.
//! - [`measures`]: the measures. [`results`], [`mod@line`] and [`table`]: their results.
//! - [`command`]: the subcommand.

pub mod command;
mod error;
pub mod estimate;
pub mod installation;
pub mod line;
pub mod measures;
pub mod plan;
pub mod process;
pub mod proxy;
pub mod results;
pub mod table;
pub mod timed_endpoint;

pub use error::FleetError;
pub use plan::{Measure, Plan, Size};
pub use results::{limits, Fitted, Limit, Results, Row};
