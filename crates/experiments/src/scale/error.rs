//! Errors of the subcommand `scale` and its simulations.

use std::fmt::Display;
use std::io;
use std::path::{Path, PathBuf};

/// An error that prevents a simulation or its report.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// The settings of a simulated agent are invalid.
    #[error("invalid settings of the simulated agents: {0}")]
    Settings(String),
    /// A worker thread panicked.
    #[error("a worker thread panicked")]
    ThreadFailed,
    /// A worker thread ended before the simulation did.
    #[error("a worker thread ended before the simulation")]
    ThreadEnded,
    /// The simulation needs more memory than it may use.
    #[error(
        "the simulation needs about {:.1} GB of memory; at most {:.1} GB may be used, {:.1} GB are free",
        needed / 1e9, allowed / 1e9, available / 1e9
    )]
    TooLarge {
        /// Estimated memory of the simulation, in bytes.
        needed: f64,
        /// Memory that it may use, in bytes.
        allowed: f64,
        /// Free memory of this machine, in bytes.
        available: f64,
    },
    /// The command line names a sweep that does not exist.
    #[error("unknown sweep '{name}'; expected one of: {}", known.join("; "))]
    UnknownSweep {
        /// The unknown name.
        name: String,
        /// Names of all sweeps.
        known: Vec<&'static str>,
    },
    /// The command line names a row that does not exist.
    #[error("unknown row '{name}'; expected one of: {}", known.join(", "))]
    UnknownRow {
        /// The unknown name.
        name: String,
        /// Names of all rows of the installation.
        known: Vec<&'static str>,
    },
    /// The command line names a point of a sweep that does not exist.
    #[error("unknown sweep point {0}; expected SWEEP:INDEX")]
    UnknownPoint(String),
    /// The process that simulates a point cannot be started.
    #[error(transparent)]
    Process(io::Error),
    /// The process that simulates a point printed no valid outcome.
    #[error("sweep {sweep}: the process of a point failed: {stderr}")]
    ProcessFailed {
        /// Name of the sweep.
        sweep: &'static str,
        /// Standard error output of the process.
        stderr: String,
    },
    /// A report cannot be written to its file.
    #[error("cannot write {}", path.display())]
    Write {
        /// Path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A report cannot be encoded as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A plot cannot be drawn.
    #[error(transparent)]
    Plot(#[from] super::report::PlotError),
}

impl ScaleError {
    /// Wraps an error in the settings of a simulated agent.
    pub(super) fn settings(error: impl Display) -> ScaleError {
        ScaleError::Settings(error.to_string())
    }

    /// Returns a function that wraps an error in writing this file.
    pub(super) fn write(path: &Path) -> impl Fn(io::Error) -> ScaleError + '_ {
        |source| ScaleError::Write {
            path: path.to_owned(),
            source,
        }
    }
}
