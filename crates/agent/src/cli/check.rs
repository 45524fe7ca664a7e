//! `tulipwall-agent check`: checks an installation's file before an agent reads it.

use crate::lifecycle::start::{read_installation, ConfigPaths, StartupConfig, StartupError};
use clap::Args;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tulipwall_zones::Price;

/// The options of the subcommand.
#[derive(Args)]
pub struct CheckCommand {
    /// The file, KDL.
    file: PathBuf,
    /// The platform's configuration, so that the names of zones and classes are checked, too.
    #[arg(long, value_name = "FILE", env = "PROXY_CONFIG")]
    config: Option<PathBuf>,
}

impl CheckCommand {
    /// Names every fault on standard error, or says what the file sets on standard output.
    pub fn run(self) -> ExitCode {
        let summary = match self.config {
            Some(configuration) => check_with_configuration(configuration, &self.file),
            None => check_alone(&self.file),
        };
        match summary {
            Ok(summary) => {
                println!("{}: no mistakes; {summary}", self.file.display());
                ExitCode::SUCCESS
            }
            Err(errors) => {
                for error in &errors {
                    eprintln!("{error}");
                }
                ExitCode::FAILURE
            }
        }
    }
}

fn check_with_configuration(
    configuration: PathBuf,
    file: &Path,
) -> Result<String, Vec<StartupError>> {
    let config = StartupConfig::read(&ConfigPaths {
        configuration: Some(configuration),
        installation: Some(file.to_owned()),
    })?;
    let Some(zones) = config.zone_config() else {
        return Ok("nothing said of zones".into());
    };
    let priced_links = zones
        .links
        .iter()
        .filter(|link| link.price != Price::default())
        .count();
    Ok(format!(
        "{priced_links} links priced, {} limits, routing {:?}",
        zones.budgets.len(),
        zones.routing
    ))
}

fn check_alone(file: &Path) -> Result<String, Vec<StartupError>> {
    let installation = read_installation(file)?;
    let zones = if installation.has_zones() {
        "names of zones and request classes not checked"
    } else {
        "nothing said of zones"
    };
    Ok(format!(
        "{zones}; --config FILE checks them against the platform's configuration"
    ))
}
