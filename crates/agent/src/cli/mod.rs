//! The command line.

mod check;
mod demo;
mod plot;
mod report;

use crate::lifecycle::run;
use crate::lifecycle::start::ConfigPaths;
use clap::{Parser, Subcommand, ValueEnum};
use std::path::PathBuf;
use std::process::ExitCode;
use tulipwall_config::LogForm;

const EXITS: &str = "\
Without a command it runs the agent that PROXY_CONFIG names.

Exit codes: 0 done; 1 the agent could not start or ended by a fault, or a file that was checked has mistakes;
2 the command line is wrong; 3 a report could not be had, or not all of it.";

/// The exit code where a report is missing or not whole.
const NO_REPORT: u8 = 3;

/// Passes commands to the endpoints behind a service, and shifts them between an old and a new
/// build.
#[derive(Parser)]
#[command(name = "tulipwall-agent", version, after_help = EXITS)]
struct Line {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Run one agent.
    Run {
        /// The platform's configuration, JSON; PROXY_CONFIG otherwise.
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
        /// What this installation sets beside it, KDL: zones, budgets, door, log, settings to
        /// watch.
        #[arg(long, value_name = "FILE", env = "TULIPWALL_INSTALLATION")]
        installation: Option<PathBuf>,
        /// The form of log lines; the installation's otherwise, else text.
        #[arg(long, value_name = "FORM", env = "TULIPWALL_LOG")]
        log: Option<Form>,
    },
    /// Check an installation's file; every mistake in it is named at once.
    Check {
        /// The file, KDL.
        file: PathBuf,
        /// The platform's configuration, so that the names of zones and classes are checked, too.
        #[arg(long, value_name = "FILE", env = "PROXY_CONFIG")]
        config: Option<PathBuf>,
    },
    /// Print what crosses between zones, or what a watch counts, as one or more agents account for
    /// it.
    Report(report::Ask),
    /// Start two zones, a platform, an agent and some clients on this machine, and show what
    /// crosses.
    Demo(demo::Show),
}

#[derive(Clone, Copy, ValueEnum)]
enum Form {
    Text,
    Json,
}

impl From<Form> for LogForm {
    fn from(form: Form) -> LogForm {
        match form {
            Form::Text => LogForm::Text,
            Form::Json => LogForm::Json,
        }
    }
}

/// Does what the command line says.
pub fn main() -> ExitCode {
    let run = |config, installation, log: Option<Form>| {
        let ended = run::run(
            ConfigPaths {
                configuration: config,
                installation,
            },
            log.map(LogForm::from),
        );
        if ended {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        }
    };
    match Line::parse().command {
        None => {
            // As the platform starts it. What an installation sets may still be named by the
            // environment.
            let installation = std::env::var_os("TULIPWALL_INSTALLATION").filter(|v| !v.is_empty());
            let form = std::env::var("TULIPWALL_LOG")
                .ok()
                .and_then(|f| Form::from_str(&f, true).ok());
            run(None, installation.map(PathBuf::from), form)
        }
        Some(Command::Run {
            config,
            installation,
            log,
        }) => run(config, installation, log),
        Some(Command::Check { file, config }) => check::check(&file, config.as_deref()),
        Some(Command::Report(ask)) => ask.print(),
        Some(Command::Demo(show)) => show.run(),
    }
}
