//! What real agents cost and what they add, measured on loopback.
//!
//! Agents run as processes before fakes. Each measure relates figures to one size, with the
//! straight line through the points.
//!
//! - [`plan`]: what is measured, and at which sizes; [`estimate`]: what a run would take, and
//!   whether it fits.
//! - [`installation`]: agents and fakes. Entries of the endpoint list share a few listeners; most
//!   entries are sent nothing in most measures.
//! - [`timed_endpoint`]: an endpoint whose time for each request is known, for latencies.
//! - [`proxy`]: counts what passes between an agent and a server.
//! - [`process`]: memory and processor time as the kernel reports them.
//! - [`measures`]: the measures. [`results`], [`mod@line`] and [`table`]: what they found.
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
