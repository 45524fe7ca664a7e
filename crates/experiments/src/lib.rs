//! Experiments on simulated installations, and measurements of real agents.
//!
//! - [`scenario`], [`run`], [`records`] and [`report`]: a scenario in KDL says what installation is
//!   simulated, what varies and over how many seeds; its runs are stored, compared and drawn. The
//!   simulation is [`tulipwall_testkit::simulation`]: the real decisions, zones and client retries
//!   in simulated time, with the rules checked from outside.
//! - [`load`]: an open-loop load generator for a real agent.
//! - [`scale`]: hundreds of simulated agents in one process, and what each costs.
//! - [`fleet`]: what real agents on loopback cost.

#![warn(missing_docs)]
#![warn(clippy::too_many_lines)]

pub mod arguments;
pub mod fleet;
pub mod load;
pub mod procfs;
pub mod records;
pub mod report;
pub mod run;
pub mod scale;
pub mod scenario;
pub mod stats;
