//! The command line, with one module for each subcommand.

mod check;
mod demo;
mod report;
mod run;

use clap::{Parser, Subcommand, ValueEnum};
use std::process::ExitCode;
use tulipwall_config::LogFormat;

const EXIT_CODES: &str = "\
Without a command it runs one agent with the configuration file that PROXY_CONFIG names.

Exit codes: 0 success; 1 the agent failed to start or ended with an error, or a checked file has
errors; 2 the command line is invalid; 3 a report is missing or incomplete.";

/// The exit code when a report is missing or incomplete.
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
    /// Check an installation file and print all errors in it.
    Check(check::CheckCommand),
    /// Print the cross-zone traffic, or the divergences of watched settings, of one or more
    /// agents.
    Report(report::ReportCommand),
    /// Start two zones, a platform, an agent and some clients on this machine, and show the
    /// cross-zone traffic.
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

/// Parses the command line and runs the subcommand that it names.
pub fn main() -> ExitCode {
    match CommandLine::parse().command {
        None => run::RunCommand::from_environment().run(),
        Some(Command::Run(command)) => command.run(),
        Some(Command::Check(command)) => command.run(),
        Some(Command::Report(command)) => command.run(),
        Some(Command::Demo(command)) => command.run(),
    }
}
