//! How an installation bears its size: hundreds of simulated agents in one process, in simulated
//! time, against the discovery and platform of the test kit.
//!
//! What each consumes is measured by numbers of agents, endpoints, services, classes and tenants.
//!
//! - [`simulation`] runs an installation of a [`size`]: each [`agent`], and the [`servers`].
//! - [`meter`] counts processor time and traffic.
//! - [`rows`] are the measurement scenarios, [`sweeps`] the series over one count.
//! - [`fit`], [`extrapolation`] and [`report`] evaluate them; [`command`] is the subcommand.

pub mod agent;
pub mod command;
mod error;
pub mod extrapolation;
pub mod figures;
pub mod fit;
pub mod meter;
pub mod report;
pub mod rows;
pub mod servers;
pub mod simulation;
pub mod size;
pub mod sweeps;

pub use error::ScaleError;
pub use simulation::{InstallationEvent, Outcome, Simulation};
pub use size::Size;
