//! Subcommand `scale`.

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

/// Most memory that simulations take, in bytes, and no more than half of the machine's.
const MAX_MEMORY: f64 = 8e9;
const GIGABYTE: f64 = 1e9;

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Only {
    Sweeps,
    Rows,
}

/// Options of the subcommand.
#[derive(Args, Clone, Debug)]
#[command(after_help = "\
Without sizes: slopes over each count, then what befalls an installation; with `--full` at the operators' size. With any \
size: the rows of an installation of that size, or those named by `--row`.
Exit codes: 0 done; 1 it would not fit in memory, or could not be played; 2 the command line is wrong; 4 with `--full`: \
something lies beyond the operators' limits (1.2% of a core, 256 MB, 3 kB a second for an agent; 4 s), each listed.")]
pub struct Options {
    /// At the operators' size; half an hour and up to 8 GB.
    #[arg(long)]
    full: bool,
    /// Only the slopes, or only the rows.
    #[arg(long, value_enum)]
    only: Option<Only>,
    /// A row by its name; several may be given.
    #[arg(long, value_name = "NAME")]
    row: Vec<String>,
    /// Only the slopes of this sweep, by its name; several may be given.
    #[arg(long, value_name = "NAME")]
    sweep: Vec<String>,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Threads of agents.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u16).range(1..=256))]
    cores: u16,
    /// Memory that it may take, in GB; at most half of the machine's and of what is free.
    #[arg(long, value_name = "GB")]
    memory: Option<f64>,
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Points and lines, as SVG.
    #[arg(long, value_name = "FILE")]
    plot: Option<PathBuf>,
    #[arg(long, value_parser = count)]
    services: Option<usize>,
    /// All agents together.
    #[arg(long, value_parser = count)]
    agents: Option<usize>,
    /// All endpoints together.
    #[arg(long = "appliances", value_parser = count)]
    endpoints: Option<usize>,
    /// Of one service.
    #[arg(long = "lanes", value_parser = count)]
    classes: Option<usize>,
    /// Of one service.
    #[arg(long, value_parser = count)]
    tenants: Option<usize>,
    /// Requests a second for each agent, at the peak.
    #[arg(long, value_parser = rate)]
    rate: Option<f64>,
    /// Calls a second that discovery answers, for each agent: those that begin a watch.
    #[arg(long, value_parser = rate)]
    calls: Option<f64>,
    /// Discovery counts each call, also those that go on with a watch.
    #[arg(long)]
    every_call: bool,
    /// Requests a second for each agent in all rows but the peak and the calm one; the share of a
    /// core is reckoned at the peak's.
    #[arg(long, value_parser = rate)]
    quiet: Option<f64>,
    /// One point of a sweep, in a process of its own.
    #[arg(long, hide = true)]
    point: Option<String>,
}

fn count(text: &str) -> Result<usize, InvalidArgument> {
    arguments::count(text, "a number from 1 to 1000000 is wanted")
}

fn rate(text: &str) -> Result<f64, InvalidArgument> {
    let expected = "a rate a second from 0.01 to 100000 is wanted";
    number_in(text, 0.01..=1e5, expected)
}

impl Options {
    /// Runs the simulations and prints what was measured; `available` is the free memory in bytes.
    /// Returns what lies beyond the operators' limits, with `--full`.
    ///
    /// # Errors
    /// They would not fit in memory, or cannot be run, or a report cannot be written.
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
                // What is broken off keeps what it measured.
                self.write(&report)?;
            }
        }
        add_rows_beyond_limits(&mut report);
        self.write(&report)?;
        println!("Beyond the limits: {}", report.beyond.len());
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

    /// Memory that simulations may take, in bytes.
    fn allowed_memory(&self, available: f64) -> f64 {
        let wanted = self.memory.map_or(MAX_MEMORY, |gb| gb * GIGABYTE);
        wanted.min(total_memory() / 2.0).min(available / 2.0)
    }

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

/// Adds what lies beyond the limits in rows to that of the report.
fn add_rows_beyond_limits(report: &mut Report) {
    for row in &report.rows {
        for beyond in &row.beyond {
            let line = format!("{}, {}: {beyond}", row.reading, row.name);
            report.beyond.push(line);
        }
    }
}
