//! `tulipwall-experiments`: experiments in simulated time, and load on real agents.

#![warn(missing_docs)]
#![warn(clippy::too_many_lines)]

mod cli;

use clap::Parser;
use cli::{CommandLine, Outcome};
use std::error::Error;
use std::process::ExitCode;

/// A rule of the simulation was broken in some run.
const RULE_BROKEN: u8 = 3;
/// A figure lies beyond an operators' limit.
const LIMIT_EXCEEDED: u8 = 4;

fn main() -> ExitCode {
    match cli::run(CommandLine::parse()) {
        Ok(Outcome::Done) => ExitCode::SUCCESS,
        Ok(Outcome::RuleBroken) => RULE_BROKEN.into(),
        Ok(Outcome::LimitExceeded) => LIMIT_EXCEEDED.into(),
        Err(error) => {
            eprintln!("{}", error_chain(&error));
            ExitCode::FAILURE
        }
    }
}

/// An error with its causes, in one line.
fn error_chain(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text += &format!(": {cause}");
        source = cause.source();
    }
    text
}
