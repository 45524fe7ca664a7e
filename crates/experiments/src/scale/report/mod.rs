//! Reports of the results: Markdown tables, JSON and an SVG plot.

mod plot;
mod row;
mod sweep;

pub use plot::PlotError;
pub use row::{RowResult, ROW_TABLE_HEAD};
pub use sweep::{Curve, SweepResult};

use super::size::MAX_MEMORY;
use serde::Serialize;

const MEGABYTE: f64 = 1e6;

/// All results of one run of the subcommand.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Seed of all simulations.
    pub seed: u64,
    /// Results of sweeps.
    pub sweeps: Vec<SweepResult>,
    /// Results of measurement scenarios.
    pub rows: Vec<RowResult>,
    /// A line for each figure that exceeds an operators' limit.
    pub beyond: Vec<String>,
}

impl Report {
    /// Draws all curves, with their points and lines, as an SVG document.
    ///
    /// # Errors
    /// Returns an error if the drawing library fails.
    pub fn plot(&self) -> Result<String, PlotError> {
        plot::draw(&self.sweeps)
    }
}

/// Formats a number with about four significant digits.
pub(super) fn format_number(number: f64) -> String {
    match number.abs() {
        0.0 => "0".into(),
        magnitude if magnitude >= 1000.0 => format!("{number:.0}"),
        magnitude if magnitude >= 1.0 => format!("{number:.2}"),
        magnitude if magnitude >= 0.001 => format!("{number:.5}"),
        _ => format!("{number:.2e}"),
    }
}

/// Describes the memory of one agent, given in bytes, if it exceeds the operators' limit; otherwise
/// returns `None`.
pub fn memory_beyond_limit(bytes: f64) -> Option<String> {
    let megabytes = bytes / MEGABYTE;
    let limit = MAX_MEMORY / MEGABYTE;
    (bytes > MAX_MEMORY).then(|| format!("memory of an agent {megabytes:.0} MB beyond {limit:.0}"))
}
