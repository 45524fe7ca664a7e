//! The subcommand `scale`: its options, and the runs that they select.

mod installations;
mod rows;
mod sweeps;

use super::error::ScaleError;
use super::report::Report;
use crate::arguments::{self, number_in, InvalidArgument};
use crate::procfs::total_memory;
use clap::{Args, ValueEnum};
use installations::Installation;
use serde_json::json;
use std::path::PathBuf;

/// Default limit for the memory of simulations, in bytes. Half of the machine's memory is a further
/// limit.
const MAX_MEMORY: f64 = 8e9;
const GIGABYTE: f64 = 1e9;

/// Restricts a run to one kind of measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Only {
    Sweeps,
    Rows,
}

/// Options of the subcommand `scale`, which simulates an installation of many agents and measures
/// what each of them consumes.
#[derive(Args, Clone, Debug)]
#[command(after_help = "\
Without a size: runs the sweeps, which measure the slope over each count, then the rows (measurement scenarios) of an \
installation; with `--full` at the operators' size. With any size option: runs the rows of an installation of that size, \
or those named by `--row`.
Exit codes: 0 success; 1 the simulation would not fit in memory, or failed; 2 the command line is invalid; 4 with `--full`: \
a figure exceeds an operators' limit (1.2% of a core, 256 MB and 3 kB a second for an agent; 4 s for a reload); each is listed.")]
pub struct Options {
    /// Run at the operators' size; takes half an hour and up to 8 GB of memory.
    #[arg(long)]
    full: bool,
    /// Run only the sweeps or only the rows.
    #[arg(long, value_enum)]
    only: Option<Only>,
    /// Run only the row with this name; may be repeated.
    #[arg(long, value_name = "NAME")]
    row: Vec<String>,
    /// Run only the sweep with this name; may be repeated.
    #[arg(long, value_name = "NAME")]
    sweep: Vec<String>,
    /// Seed of all random draws.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of threads that simulate agents.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u16).range(1..=256))]
    cores: u16,
    /// Limit for the memory of a simulation, in GB; never more than half of the machine's memory
    /// and half of its free memory.
    #[arg(long, value_name = "GB")]
    memory: Option<f64>,
    /// Write all results to this file as JSON.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Plot the sweeps' points and fitted lines into this file as SVG.
    #[arg(long, value_name = "FILE")]
    plot: Option<PathBuf>,
    /// Number of services.
    #[arg(long, value_parser = count)]
    services: Option<usize>,
    /// Number of agents of all services together.
    #[arg(long, value_parser = count)]
    agents: Option<usize>,
    /// Number of endpoints of all services together.
    #[arg(long = "appliances", value_parser = count)]
    endpoints: Option<usize>,
    /// Number of request classes of one service.
    #[arg(long = "lanes", value_parser = count)]
    classes: Option<usize>,
    /// Number of tenants of one service.
    #[arg(long, value_parser = count)]
    tenants: Option<usize>,
    /// Requests a second for each agent at the peak.
    #[arg(long, value_parser = rate)]
    rate: Option<f64>,
    /// Calls a second that discovery answers for each agent; counts only calls that start a watch.
    #[arg(long, value_parser = rate)]
    calls: Option<f64>,
    /// Count all calls against discovery's limit, including those that continue a watch.
    #[arg(long)]
    every_call: bool,
    /// Requests a second for each agent in all rows except `peak` and `calm`; the share of a core
    /// is still calculated for the load of the peak.
    #[arg(long, value_parser = rate)]
    quiet: Option<f64>,
    /// Run one point of a sweep, SWEEP:INDEX, and print its outcome; for points that need a process
    /// of their own.
    #[arg(long, hide = true)]
    point: Option<String>,
}

fn count(text: &str) -> Result<usize, InvalidArgument> {
    arguments::count(text, "expected a number from 1 to 1000000")
}

fn rate(text: &str) -> Result<f64, InvalidArgument> {
    let expected = "expected a rate per second from 0.01 to 100000";
    number_in(text, 0.01..=1e5, expected)
}

impl Options {
    /// Runs the simulations and prints the results; `available` is the free memory in bytes. With
    /// `--full`, returns a line for each figure that exceeds an operators' limit, otherwise
    /// nothing.
    ///
    /// # Errors
    /// Returns an error if the simulations would not fit in memory or fail, or if a report cannot
    /// be written.
    pub fn run(&self, available: f64) -> Result<Vec<String>, ScaleError> {
        if let Some(point) = &self.point {
            self.run_point(point)?;
            return Ok(Vec::new());
        }
        let allowed = self.allowed_memory(available);
        if self.runs_rows() {
            check_memory(&self.installations(allowed, &[]), allowed, available)?;
        }
        let mut report = Report {
            seed: self.seed,
            ..Report::default()
        };
        if self.runs_sweeps() {
            self.run_sweeps(&mut report)?;
            self.write(&report)?;
        }
        if self.runs_rows() {
            for installation in &self.installations(allowed, &report.sweeps) {
                self.run_rows(installation, &mut report)?;
                // Written after each installation, so that an interrupted run keeps its results.
                self.write(&report)?;
            }
        }
        add_rows_beyond_limits(&mut report);
        self.write(&report)?;
        println!(
            "Figures beyond the operators' limits: {}",
            report.beyond.len()
        );
        for line in &report.beyond {
            println!("- {line}");
        }
        Ok(if self.full { report.beyond } else { Vec::new() })
    }

    fn runs_sweeps(&self) -> bool {
        self.only != Some(Only::Rows) && !self.has_size_options() && self.row.is_empty()
    }

    fn runs_rows(&self) -> bool {
        self.only != Some(Only::Sweeps) && self.sweep.is_empty()
    }

    /// Returns the memory that simulations may use, in bytes.
    fn allowed_memory(&self, available: f64) -> f64 {
        let wanted = self.memory.map_or(MAX_MEMORY, |gb| gb * GIGABYTE);
        wanted.min(total_memory() / 2.0).min(available / 2.0)
    }

    /// Writes the report to the files that were asked for.
    fn write(&self, report: &Report) -> Result<(), ScaleError> {
        if let Some(path) = &self.json {
            let text = serde_json::to_string_pretty(&json!(report))?;
            std::fs::write(path, text).map_err(ScaleError::write(path))?;
        }
        if let Some(path) = &self.plot {
            std::fs::write(path, report.plot()?).map_err(ScaleError::write(path))?;
        }
        Ok(())
    }
}

/// Returns an error if any of the installations needs more memory than is allowed, in bytes.
fn check_memory(
    installations: &[Installation],
    allowed: f64,
    available: f64,
) -> Result<(), ScaleError> {
    let needed = installations
        .iter()
        .map(|installation| installation.size.estimated_memory(false))
        .fold(0.0, f64::max);
    if needed > allowed {
        return Err(ScaleError::TooLarge {
            needed,
            allowed,
            available,
        });
    }
    Ok(())
}

/// Adds the lines of all rows on exceeded limits to those of the report.
fn add_rows_beyond_limits(report: &mut Report) {
    for row in &report.rows {
        for beyond in &row.beyond {
            let line = format!("{}, {}: {beyond}", row.reading, row.name);
            report.beyond.push(line);
        }
    }
}
