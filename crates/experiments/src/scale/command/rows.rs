//! Runs the measurement scenarios (rows) of an installation.

use super::{Installation, Options};
use crate::scale::error::ScaleError;
use crate::scale::report::{memory_beyond_limit, Report, RowResult, ROW_TABLE_HEAD};
use crate::scale::rows::{rows, Row, RESTARTS, RESTARTS_PER_DAY};
use crate::scale::simulation::Outcome;
use serde_json::json;

/// With more pairs of an agent and an endpoint than this, only the important rows are run, because
/// the polls alone take minutes.
const MAX_PAIRS_FOR_ALL_ROWS: usize = 1_000_000;
/// The rows that are run where running all of them would take too long.
const IMPORTANT_ROWS: [&str; 3] = ["peak", "configuration", "zone"];
const SECONDS_PER_DAY: f64 = 86_400.0;
const MEGABYTE: f64 = 1e6;

impl Options {
    /// Runs the rows named on the command line, or all, and prints their results.
    pub(super) fn run_rows(
        &self,
        installation: &Installation,
        report: &mut Report,
    ) -> Result<(), ScaleError> {
        let rows = self.selected_rows(installation)?;
        let reading = &installation.reading;
        println!(
            "{reading}: {}\n\n{ROW_TABLE_HEAD}",
            json!(installation.size)
        );
        let mut results = Vec::new();
        let mut request_core = 0.0;
        for row in &rows {
            let simulation = row.simulation(self.seed, usize::from(self.cores));
            let outcome = simulation.run()?;
            if row.name == "peak" {
                request_core = outcome.core - outcome.control_core;
            }
            let is_quiet = installation.quiet_rate == Some(row.size.rate);
            let result = RowResult::of(reading, row, outcome, is_quiet.then_some(request_core));
            println!("{}", result.line());
            results.push(result);
        }
        print_retained(&results);
        print_restarts(&results);
        let memory = memory_per_agent(&results);
        println!(
            "memory of one agent: {:.1} MB (settings shared)\n",
            memory / MEGABYTE
        );
        let beyond = memory_beyond_limit(memory).map(|text| format!("{reading}: {text}"));
        report.beyond.extend(beyond);
        report.rows.extend(results);
        Ok(())
    }

    /// Returns the rows to run, or an error if a name on the command line is unknown.
    fn selected_rows(&self, installation: &Installation) -> Result<Vec<Row>, ScaleError> {
        let size = installation.size;
        let all = rows(size, installation.quiet_rate);
        for name in &self.row {
            if !all.iter().any(|row| row.name == name) {
                return Err(ScaleError::UnknownRow {
                    name: name.clone(),
                    known: all.iter().map(|row| row.name).collect(),
                });
            }
        }
        let pairs = size.agents * size.endpoints / size.services;
        let only_important = self.full && self.row.is_empty() && pairs > MAX_PAIRS_FOR_ALL_ROWS;
        let is_selected = |row: &Row| {
            if only_important {
                return IMPORTANT_ROWS.contains(&row.name);
            }
            self.row.is_empty() || self.row.iter().any(|name| name == row.name)
        };
        Ok(all.into_iter().filter(is_selected).collect())
    }
}

/// Returns the outcome of the row with this name, or `None` if it was not run.
fn outcome<'a>(results: &'a [RowResult], name: &str) -> Option<&'a Outcome> {
    let result = results.iter().find(|result| result.name == name)?;
    Some(&result.outcome)
}

/// Prints how many entries of each kind one agent retains at the peak.
fn print_retained(results: &[RowResult]) {
    if let Some(peak) = outcome(results, "peak") {
        let [requests, endpoints, builds, keys, listed] = peak.retained;
        println!(
            "retained by one agent at the peak: {requests} requests, {endpoints} endpoints, {builds} builds, {keys} keys, {listed} listed endpoints"
        );
    }
}

/// Prints the additional discovery traffic of restarts, compared to the row `calm`.
fn print_restarts(results: &[RowResult]) {
    let Some(calm) = outcome(results, "calm") else {
        return;
    };
    let kinds = [
        ("restarts", "restart of an endpoint"),
        ("agents", "restart of an agent"),
    ];
    for (name, what) in kinds {
        if let Some(restarts) = outcome(results, name) {
            let added = restarts.discovery_bytes - calm.discovery_bytes;
            let each = added * restarts.seconds / RESTARTS as f64;
            let daily = each * RESTARTS_PER_DAY / SECONDS_PER_DAY;
            println!("{what}: {each:.0} bytes from discovery in total; {daily:.0} bytes a second on a day of {RESTARTS_PER_DAY} restarts");
        }
    }
}

/// Returns the largest memory of an agent in any row, in bytes.
fn memory_per_agent(results: &[RowResult]) -> f64 {
    results
        .iter()
        .map(|result| result.outcome.memory / result.outcome.agents.max(1) as f64)
        .fold(0.0, f64::max)
}
