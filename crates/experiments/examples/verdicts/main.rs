//! Shows how far the agents' verdicts on builds are from the earliest possible ones. Reads the
//! evidence that agents log and prints for each build when the outcomes of all agents together
//! suffice to detect a regression, when enough agents voted and when it was rolled back; with
//! `--seconds`, also what was lost in each second.
//!
//!     RUST_LOG=info,evidence=debug ...                      # on each agent, to its own log file
//!     cargo run --release -p tulipwall-experiments --example verdicts -- DIR [--seconds]

mod evidence;
mod log;
mod slowing;
mod tables;

use std::path::Path;
use std::process::exit;

/// Exit code if no directory is given.
const USAGE_ERROR: i32 = 2;
/// Exit code if the logs contain no attempts.
const NO_EVIDENCE: i32 = 1;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let Some(dir) = args.iter().find(|arg| !arg.starts_with("--")) else {
        eprintln!(
            "usage: verdicts DIR [--seconds], where DIR contains agent logs with evidence lines"
        );
        exit(USAGE_ERROR);
    };
    let log = log::read(Path::new(dir));
    if log.attempts.is_empty() {
        eprintln!(
            "{dir}: no attempts found in the logs; agents log evidence with RUST_LOG=info,evidence=debug"
        );
        exit(NO_EVIDENCE);
    }
    tables::print_builds(&log);
    if args.iter().any(|arg| arg == "--seconds") {
        tables::print_seconds(&log);
    }
}
