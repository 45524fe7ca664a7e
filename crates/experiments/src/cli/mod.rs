//! Command line: the subcommands and their errors.

mod experiment;
mod load;
mod results;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use tulipwall_experiments::fleet::{self, FleetError};
use tulipwall_experiments::procfs;
use tulipwall_experiments::records::RecordError;
use tulipwall_experiments::report::PlotError;
use tulipwall_experiments::scale::{self, ScaleError};

const EXIT_CODES: &str = "\
Exit codes: 0 success; 1 a scenario or a records file is invalid, or an agent could not be reached; 2 the command line
is invalid; 3 a run violated a rule of the simulation; 4 a figure of `fleet` or `scale --full` exceeds an operators'
limit.";

/// Experiments on simulated installations, and load and measurements of real agents.
#[derive(Parser)]
#[command(name = "tulipwall-experiments", version, after_help = EXIT_CODES)]
pub(crate) struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a scenario at each of its points and seeds. An interrupted run continues where it
    /// stopped.
    Run {
        scenario: PathBuf,
        /// Records file; by default the scenario's path with the extension `.records`.
        #[arg(long, short, value_name = "FILE")]
        out: Option<PathBuf>,
        /// Number of cores to use; all by default.
        #[arg(long, value_parser = clap::value_parser!(u16).range(1..=1024))]
        cores: Option<u16>,
    },
    /// List the points of a scenario, with the requests and the memory of one run of each.
    List { scenario: PathBuf },
    /// Print a table of the figures that were measured.
    Table {
        records: PathBuf,
        /// Show only these figures.
        figures: Vec<String>,
    },
    /// List the figures that differ significantly: between two files point by point, or between the
    /// first point of one file and each of its others.
    Compare {
        records: PathBuf,
        other: Option<PathBuf>,
    },
    /// Write an HTML page with a plot of each figure.
    Plot {
        records: PathBuf,
        #[arg(long, short, value_name = "FILE")]
        out: PathBuf,
    },
    /// Print the trace of one request in one run.
    Explain {
        scenario: PathBuf,
        /// Number of the point, as `list` prints it.
        #[arg(long, default_value_t = 0)]
        point: usize,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 0)]
        agent: usize,
        /// Number of the request at that agent, counted from 0.
        command: u64,
    },
    /// Measure the cost of simulated agents by the number of agents, endpoints, services, classes
    /// and tenants, and compare it with the limits.
    Scale(scale::command::Options),
    /// Load a real agent over its protocol, in an open loop.
    Load(load::Options),
    /// Measure what real agents on loopback use and add: memory, processor time, bytes, latency.
    #[command(after_help = EXIT_CODES)]
    Fleet(Box<fleet::command::Options>),
}

/// Result of a subcommand that ended without an error.
pub(crate) enum Outcome {
    /// No rule was violated and no limit exceeded.
    Done,
    /// A run violated a rule of the simulation.
    RuleViolated,
    /// A figure exceeds an operators' limit.
    LimitExceeded,
}

/// Errors of the subcommands.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CliError {
    #[error(transparent)]
    Experiment(#[from] experiment::ExperimentError),
    #[error(transparent)]
    Records(#[from] RecordError),
    #[error(transparent)]
    Plot(#[from] PlotError),
    #[error("{}", path.display())]
    Write {
        path: PathBuf,
        source: std::io::Error,
    },
    #[error(transparent)]
    Load(#[from] load::LoadError),
    #[error(transparent)]
    Scale(#[from] ScaleError),
    #[error(transparent)]
    Fleet(#[from] FleetError),
}

/// Runs a subcommand.
pub(crate) fn run(command_line: CommandLine) -> Result<Outcome, CliError> {
    match command_line.command {
        Command::Run {
            scenario,
            out,
            cores,
        } => Ok(experiment::run(&scenario, out, cores)?),
        Command::List { scenario } => Ok(experiment::list(&scenario)?),
        Command::Table { records, figures } => results::table(&records, &figures),
        Command::Compare { records, other } => results::compare(&records, other.as_deref()),
        Command::Plot { records, out } => results::plot(&records, &out),
        Command::Explain {
            scenario,
            point,
            seed,
            agent,
            command,
        } => {
            let request = experiment::RequestNumber {
                agent,
                request: command,
            };
            Ok(experiment::explain(&scenario, point, seed, request)?)
        }
        Command::Load(options) => Ok(options.run()?),
        Command::Scale(options) => {
            let exceeded_limits = options.run(procfs::available_memory())?;
            Ok(limit_outcome(!exceeded_limits.is_empty()))
        }
        Command::Fleet(options) => Ok(limit_outcome(options.run()?)),
    }
}

fn limit_outcome(exceeds_limit: bool) -> Outcome {
    if exceeds_limit {
        Outcome::LimitExceeded
    } else {
        Outcome::Done
    }
}
