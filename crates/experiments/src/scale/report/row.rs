//! The result of a measurement scenario (row), and its check against the operators' limits.

use super::format_number;
use crate::scale::rows::Row;
use crate::scale::simulation::Outcome;
use crate::scale::size::{Size, MAX_BYTES_PER_SECOND, MAX_CORE_SHARE};
use serde::Serialize;

/// The result of a measurement scenario, with the operators' limits that it exceeds.
#[derive(Clone, Debug, Serialize)]
pub struct RowResult {
    /// Name of the installation, such as the interpretation of the operators' size.
    pub reading: String,
    /// Name of the scenario, as on the command line.
    pub name: &'static str,
    /// Description of what happens in the scenario.
    pub what: &'static str,
    /// Size of the installation.
    pub size: Size,
    /// Mean share of a core of an agent at the load of the peak.
    pub core: f64,
    /// Share of a core of an agent at the load of the peak, in the worst second of any agent.
    pub core_worst: f64,
    /// All measurements of the simulation.
    pub outcome: Outcome,
    /// A line for each figure that exceeds a limit.
    pub beyond: Vec<String>,
}

/// Markdown table head for the rows of [`RowResult::line`].
pub const ROW_TABLE_HEAD: &str = "\
| row | B/s an agent | worst second | core at the peak | worst second | without commands | worst second | discovery calls/s | \
worst | refused | discovery B/s | worst | told late | heard, most s | renewed, most s |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";

impl RowResult {
    /// Evaluates the outcome of a scenario. `request_core` is the share of a core that requests
    /// take at the peak, for scenarios that run at a lower load; `None` if the scenario runs at the
    /// load of the peak itself.
    pub fn of(reading: &str, row: &Row, outcome: Outcome, request_core: Option<f64>) -> RowResult {
        let core = request_core.map_or(outcome.core, |c| c + outcome.control_core);
        let core_worst =
            request_core.map_or(outcome.core_worst, |c| c + outcome.control_core_worst);
        let checks = [
            ("bytes a second", outcome.bytes, MAX_BYTES_PER_SECOND),
            (
                "bytes in the worst second",
                outcome.bytes_worst,
                MAX_BYTES_PER_SECOND,
            ),
            ("share of a core", core, MAX_CORE_SHARE),
            (
                "share of a core in the worst second",
                core_worst,
                MAX_CORE_SHARE,
            ),
            (
                "changes told late or never",
                outcome.propagation_late as f64,
                0.0,
            ),
            (
                "agents not renewed within 4 s",
                outcome.reload_late as f64,
                0.0,
            ),
        ];
        let beyond = checks
            .into_iter()
            .filter(|(_, value, limit)| value > limit)
            .map(|(what, value, limit)| {
                format!(
                    "{what} {} beyond {}",
                    format_number(value),
                    format_number(limit)
                )
            })
            .collect();
        RowResult {
            reading: reading.to_owned(),
            name: row.name,
            what: row.what,
            size: row.size,
            core,
            core_worst,
            outcome,
            beyond,
        }
    }

    /// Formats the result as a row of a Markdown table.
    pub fn line(&self) -> String {
        let outcome = &self.outcome;
        let figures = [
            outcome.bytes,
            outcome.bytes_worst,
            self.core,
            self.core_worst,
            outcome.control_core,
            outcome.control_core_worst,
            outcome.calls,
            outcome.calls_worst,
            outcome.refused as f64,
            outcome.discovery_bytes,
            outcome.discovery_bytes_worst,
        ];
        let late = match outcome.reload_late {
            0 => String::new(),
            count => format!(", {count} late"),
        };
        format!(
            "| {}: {} | {} | {} | {:.2} | {:.2}{late} |",
            self.reading,
            self.name,
            figures.map(format_number).join(" | "),
            outcome.propagation_late,
            outcome.propagation_max,
            outcome.reload_max
        )
    }
}
