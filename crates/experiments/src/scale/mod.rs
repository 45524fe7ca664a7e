//! Scale measurements: simulates an installation of up to hundreds of agents in one process, in
//! simulated time, against the discovery and platform of the test kit.
//!
//! Measures what each agent consumes, depending on the numbers of agents, endpoints, services,
//! classes and tenants.
//!
//! - [`simulation`] runs an installation of a given [`size`]: its [`agent`]s and its [`servers`].
//! - [`meter`] counts processor time and traffic.
//! - [`rows`] defines the measurement scenarios, [`sweeps`] the series that vary one count.
//! - [`figures`], [`fit`], [`extrapolation`] and [`report`] evaluate the outcomes; [`command`] is
//!   the subcommand.

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
