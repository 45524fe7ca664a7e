//! Errors of simulations of scale.

use std::fmt::Display;
use std::io;
use std::path::{Path, PathBuf};

/// Why something could not be simulated or reported.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// The settings of a simulated agent cannot be read.
    #[error("{0}")]
    Settings(String),
    /// A thread of agents panicked.
    #[error("a thread of agents failed")]
    ThreadFailed,
    /// A thread of agents ended before the simulation did.
    #[error("a thread of agents ended early")]
    ThreadEnded,
    /// There is too little memory; sizes are in bytes.
    #[error(
        "it would take about {:.1} GB; {:.1} GB may be taken, {:.1} GB are free",
        needed / 1e9, allowed / 1e9, available / 1e9
    )]
    TooLarge {
        /// What it would take.
        needed: f64,
        /// What it may take.
        allowed: f64,
        /// What is free on this machine.
        available: f64,
    },
    /// There is no sweep of this name.
    #[error("no sweep '{name}'; known are {}", known.join("; "))]
    UnknownSweep {
        /// The name.
        name: String,
        /// Names of all sweeps.
        known: Vec<&'static str>,
    },
    /// There is no row of this name.
    #[error("no row '{name}'; known are {}", known.join(", "))]
    UnknownRow {
        /// The name.
        name: String,
        /// Names of all rows.
        known: Vec<&'static str>,
    },
    /// There is no such point of a sweep.
    #[error("no point {0}")]
    UnknownPoint(String),
    /// The process that simulates a point cannot be started.
    #[error(transparent)]
    Process(io::Error),
    /// The process that simulates a point failed.
    #[error("{sweep}: {stderr}")]
    ProcessFailed {
        /// Name of the sweep.
        sweep: &'static str,
        /// What the process wrote to its standard error.
        stderr: String,
    },
    /// A report cannot be written.
    #[error("{}", path.display())]
    Write {
        /// The file.
        path: PathBuf,
        /// What the operating system said.
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
    /// An error in the settings of a simulated agent.
    pub(super) fn settings(error: impl Display) -> ScaleError {
        ScaleError::Settings(error.to_string())
    }

    /// An error in writing this file.
    pub(super) fn write(path: &Path) -> impl Fn(io::Error) -> ScaleError + '_ {
        |source| ScaleError::Write {
            path: path.to_owned(),
            source,
        }
    }
}
