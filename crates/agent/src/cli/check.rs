//! Checks an installation's file before an agent reads it.

use crate::lifecycle::start::{read_installation, ConfigPaths, StartupConfig};
use std::path::Path;
use std::process::ExitCode;

/// Names every mistake on standard error, or says what the file sets on standard output.
pub fn check(file: &Path, configuration: Option<&Path>) -> ExitCode {
    let told = match configuration {
        Some(c) => {
            let files = ConfigPaths {
                configuration: Some(c.to_owned()),
                installation: Some(file.to_owned()),
            };
            StartupConfig::read(&files).map(|start| match start.zoning() {
                Some(z) => {
                    let priced = z
                        .links
                        .iter()
                        .filter(|l| l.price != Default::default())
                        .count();
                    format!(
                        "{} links priced, {} limits, routing {:?}",
                        priced,
                        z.budgets.len(),
                        z.routing
                    )
                }
                None => "nothing said of zones".into(),
            })
        }
        None => read_installation(file).map(|i| {
            let zones = if i.has_zones() {
                "names of zones and lanes not checked"
            } else {
                "nothing said of zones"
            };
            format!("{zones}; --config FILE checks them against the platform's configuration")
        }),
    };
    match told {
        Ok(what) => {
            println!("{}: no mistakes; {what}", file.display());
            ExitCode::SUCCESS
        }
        Err(mistakes) => {
            mistakes.iter().for_each(|m| eprintln!("{m}"));
            ExitCode::FAILURE
        }
    }
}
