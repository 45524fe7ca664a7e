//! `tulipwall-agent run`, which is also the default without a subcommand: runs one agent.

use super::LogFormatArg;
use crate::lifecycle::run;
use crate::lifecycle::start::ConfigPaths;
use clap::{Args, ValueEnum};
use std::path::PathBuf;
use std::process::ExitCode;
use tulipwall_config::LogFormat;

/// Environment variable for `--installation`.
const INSTALLATION_VARIABLE: &str = "TULIPWALL_INSTALLATION";
/// Environment variable for `--log`.
const LOG_VARIABLE: &str = "TULIPWALL_LOG";

/// Options of `tulipwall-agent run`.
#[derive(Args)]
pub struct RunCommand {
    /// The platform's configuration file (JSON); by default the file that PROXY_CONFIG names.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// This installation's own settings (KDL): zones, budgets, the admin endpoint (door), log
    /// format, settings to watch.
    #[arg(long, value_name = "FILE", env = INSTALLATION_VARIABLE)]
    installation: Option<PathBuf>,
    /// Format of log lines; by default the installation's, or text if it sets none.
    #[arg(long, value_name = "FORM", env = LOG_VARIABLE)]
    log: Option<LogFormatArg>,
}

impl RunCommand {
    /// The command for a start without a subcommand, which is how the platform starts the program.
    /// The environment may still name an installation file and a log format; a log format that
    /// does not parse is ignored.
    pub fn from_environment() -> RunCommand {
        let installation = std::env::var_os(INSTALLATION_VARIABLE).filter(|path| !path.is_empty());
        let log = std::env::var(LOG_VARIABLE).ok();
        RunCommand {
            config: None,
            installation: installation.map(PathBuf::from),
            log: log.and_then(|name| LogFormatArg::from_str(&name, true).ok()),
        }
    }

    /// Runs the agent until SIGTERM.
    pub fn run(self) -> ExitCode {
        let paths = ConfigPaths {
            configuration: self.config,
            installation: self.installation,
        };
        run::run(paths, self.log.map(LogFormat::from))
    }
}
