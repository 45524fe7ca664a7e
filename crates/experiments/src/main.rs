//! `tulipwall-experiments`: experiments in simulated time, and load and measurements of real
//! agents.

#![warn(missing_docs)]
#![warn(clippy::too_many_lines)]

mod cli;

use clap::Parser;
use cli::{CommandLine, Outcome};
use std::error::Error;
use std::process::ExitCode;

/// Exit code if any run violated a rule of the simulation.
const RULE_VIOLATED: u8 = 3;
/// Exit code if a figure exceeds an operators' limit.
const LIMIT_EXCEEDED: u8 = 4;

fn main() -> ExitCode {
    match cli::run(CommandLine::parse()) {
        Ok(Outcome::Done) => ExitCode::SUCCESS,
        Ok(Outcome::RuleViolated) => RULE_VIOLATED.into(),
        Ok(Outcome::LimitExceeded) => LIMIT_EXCEEDED.into(),
        Err(error) => {
            eprintln!("{}", error_chain(&error));
            ExitCode::FAILURE
        }
    }
}

/// Formats an error and its chain of causes on one line.
fn error_chain(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text += &format!(": {cause}");
        source = cause.source();
    }
    text
}
