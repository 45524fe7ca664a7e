//! The command line: a file for each subcommand.

mod check;
mod demo;
mod report;
mod run;

use clap::{Parser, Subcommand, ValueEnum};
use std::process::ExitCode;
use tulipwall_config::LogFormat;

const EXIT_CODES: &str = "\
Without a command it runs the agent that PROXY_CONFIG names.

Exit codes: 0 done; 1 the agent could not start or ended by a fault, or a file that was checked has mistakes;
2 the command line is wrong; 3 a report could not be had, or not all of it.";

/// The exit code where a report is missing or not complete.
const INCOMPLETE_REPORT: u8 = 3;

/// Forwards requests to the endpoints behind a service, and shifts them between an old and a new
/// build.
#[derive(Parser)]
#[command(name = "tulipwall-agent", version, after_help = EXIT_CODES)]
struct CommandLine {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Run one agent.
    Run(run::RunCommand),
    /// Check an installation's file; every mistake in it is named at once.
    Check(check::CheckCommand),
    /// Print what crosses between zones, or what a watch counts, as one or more agents account for
    /// it.
    Report(report::ReportCommand),
    /// Start two zones, a platform, an agent and some clients on this machine, and show what
    /// crosses.
    Demo(demo::DemoCommand),
}

/// The format of log lines.
#[derive(Clone, Copy, ValueEnum)]
enum LogFormatArg {
    Text,
    Json,
}

impl From<LogFormatArg> for LogFormat {
    fn from(format: LogFormatArg) -> LogFormat {
        match format {
            LogFormatArg::Text => LogFormat::Text,
            LogFormatArg::Json => LogFormat::Json,
        }
    }
}

/// Does what the command line says.
pub fn main() -> ExitCode {
    match CommandLine::parse().command {
        None => run::RunCommand::from_environment().run(),
        Some(Command::Run(command)) => command.run(),
        Some(Command::Check(command)) => command.run(),
        Some(Command::Report(command)) => command.run(),
        Some(Command::Demo(command)) => command.run(),
    }
}
