//! `tulipwall-agent check`: validates an installation's file without starting an agent.

use crate::lifecycle::start::{read_installation, ConfigPaths, StartupConfig, StartupError};
use clap::Args;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tulipwall_zones::Price;

/// Options of `tulipwall-agent check`.
#[derive(Args)]
pub struct CheckCommand {
    /// Installation file to check (KDL).
    file: PathBuf,
    /// Platform configuration (JSON) to check the names of zones and request classes against.
    #[arg(long, value_name = "FILE", env = "PROXY_CONFIG")]
    config: Option<PathBuf>,
}

impl CheckCommand {
    /// Prints every error to standard error, or a summary of the file to standard output.
    pub fn run(self) -> ExitCode {
        let summary = match self.config {
            Some(configuration) => check_with_configuration(configuration, &self.file),
            None => check_alone(&self.file),
        };
        match summary {
            Ok(summary) => {
                println!("{}: no errors; {summary}", self.file.display());
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
        return Ok("no zones configured".into());
    };
    let priced_links = zones
        .links
        .iter()
        .filter(|link| link.price != Price::default())
        .count();
    Ok(format!(
        "{priced_links} links with a price, {} limits, routing {:?}",
        zones.budgets.len(),
        zones.routing
    ))
}

fn check_alone(file: &Path) -> Result<String, Vec<StartupError>> {
    let installation = read_installation(file)?;
    let zones = if installation.has_zones() {
        "zone and request class names not checked"
    } else {
        "no zones configured"
    };
    Ok(format!(
        "{zones}; --config FILE checks them against the platform's configuration"
    ))
}
