//! Experiments on simulated installations, and measurements of real agents.
//!
//! - [`scenario`], [`run`], [`records`] and [`report`]: a KDL scenario describes the simulated
//!   installation, the parameters that vary and the number of seeds; the results of its runs are
//!   stored, compared and plotted. The simulation is [`tulipwall_testkit::simulation`]: it runs the
//!   real decisions, zones and client retries in simulated time and checks the rules from outside
//!   that code.
//! - [`load`]: an open-loop load generator for a real agent.
//! - [`scale`]: hundreds of simulated agents in one process, and the cost of each.
//! - [`fleet`]: the memory, processor time, traffic and added latency of real agents on loopback.

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
