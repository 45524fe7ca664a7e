//! Command line: its subcommands and their errors.

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
Exit codes: 0 done; 1 a scenario or a file of records is wrong, or an agent could not be reached; 2 the command line is
wrong; 3 a rule was broken in some run; 4 a figure of `fleet` or `scale --full` lies beyond an operators' limit.";

/// Experiments on a model of the whole installation, and load on real agents.
#[derive(Parser)]
#[command(name = "tulipwall-experiments", version, after_help = EXIT_CODES)]
pub(crate) struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a scenario at each of its points and seeds. Broken off, it goes on where it was.
    Run {
        scenario: PathBuf,
        /// Where records go; the scenario's name with `.records` otherwise.
        #[arg(long, short, value_name = "FILE")]
        out: Option<PathBuf>,
        /// Cores; all otherwise.
        #[arg(long, value_parser = clap::value_parser!(u16).range(1..=1024))]
        cores: Option<u16>,
    },
    /// The points of a scenario, and what a run takes.
    List { scenario: PathBuf },
    /// A table of what was measured.
    Table {
        records: PathBuf,
        /// Only these figures.
        figures: Vec<String>,
    },
    /// What differs beyond chance: two files point by point, or the points of one against its
    /// first.
    Compare {
        records: PathBuf,
        other: Option<PathBuf>,
    },
    /// One HTML page with a plot for each figure.
    Plot {
        records: PathBuf,
        #[arg(long, short, value_name = "FILE")]
        out: PathBuf,
    },
    /// The life of one command in one run.
    Explain {
        scenario: PathBuf,
        /// As `list` numbers them.
        #[arg(long, default_value_t = 0)]
        point: usize,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 0)]
        agent: usize,
        /// Its number at that agent, from 0.
        command: u64,
    },
    /// Simulated agents by their number, endpoints, services, classes and tenants: what each costs,
    /// against the limits.
    Scale(scale::command::Options),
    /// Drive a real agent over its protocol, open loop.
    Load(load::Options),
    /// What real agents on loopback take and add: memory, processor time, bytes, latency.
    #[command(after_help = EXIT_CODES)]
    Fleet(Box<fleet::command::Options>),
}

/// How a subcommand ended that could be carried out.
pub(crate) enum Outcome {
    /// Nothing is wrong.
    Done,
    /// A rule of the simulation was broken in some run.
    RuleBroken,
    /// A figure lies beyond an operators' limit.
    LimitExceeded,
}

/// Why a subcommand could not be carried out.
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

/// Carries out a subcommand.
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
