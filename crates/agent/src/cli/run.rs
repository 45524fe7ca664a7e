//! `tulipwall-agent run`, and what the program does without a subcommand: run one agent.

use super::LogFormatArg;
use crate::lifecycle::run;
use crate::lifecycle::start::ConfigPaths;
use clap::{Args, ValueEnum};
use std::path::PathBuf;
use std::process::ExitCode;
use tulipwall_config::LogFormat;

/// The environment variables that stand for options.
const INSTALLATION_VARIABLE: &str = "TULIPWALL_INSTALLATION";
const LOG_VARIABLE: &str = "TULIPWALL_LOG";

/// The options of the subcommand.
#[derive(Args)]
pub struct RunCommand {
    /// The platform's configuration, JSON; PROXY_CONFIG otherwise.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// What this installation sets beside it, KDL: zones, budgets, door, log, settings to
    /// watch.
    #[arg(long, value_name = "FILE", env = INSTALLATION_VARIABLE)]
    installation: Option<PathBuf>,
    /// The form of log lines; the installation's otherwise, else text.
    #[arg(long, value_name = "FORM", env = LOG_VARIABLE)]
    log: Option<LogFormatArg>,
}

impl RunCommand {
    /// As the platform starts the program: without a subcommand. What an installation sets may
    /// still be named by the environment.
    pub fn from_environment() -> RunCommand {
        let installation = std::env::var_os(INSTALLATION_VARIABLE).filter(|path| !path.is_empty());
        let log = std::env::var(LOG_VARIABLE).ok();
        RunCommand {
            config: None,
            installation: installation.map(PathBuf::from),
            log: log.and_then(|name| LogFormatArg::from_str(&name, true).ok()),
        }
    }

    /// Runs until SIGTERM.
    pub fn run(self) -> ExitCode {
        let paths = ConfigPaths {
            configuration: self.config,
            installation: self.installation,
        };
        run::run(paths, self.log.map(LogFormat::from))
    }
}
