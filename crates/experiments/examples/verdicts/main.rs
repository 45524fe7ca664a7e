//! How far verdicts on builds are from the best: reads the evidence that agents log, and prints for
//! each build when all their outcomes together tell it, when enough agents voted and when it was
//! rolled back; and what was lost in each second.
//!
//!     RUST_LOG=info,evidence=debug ...                      # at each agent, its log to its own file
//!     cargo run --release -p tulipwall-experiments --example verdicts -- DIR [--seconds]

mod evidence;
mod log;
mod slowing;
mod tables;

use std::path::Path;
use std::process::exit;

/// The command line is wrong, or there is nothing to read.
const USAGE_ERROR: i32 = 2;
const NO_EVIDENCE: i32 = 1;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let Some(dir) = args.iter().find(|arg| !arg.starts_with("--")) else {
        eprintln!("verdicts DIR [--seconds]: a directory of agents' logs with evidence is wanted");
        exit(USAGE_ERROR);
    };
    let log = log::read(Path::new(dir));
    if log.attempts.is_empty() {
        eprintln!(
            "{dir}: no evidence in its logs; agents write it with RUST_LOG=info,evidence=debug"
        );
        exit(NO_EVIDENCE);
    }
    tables::print_builds(&log);
    if args.iter().any(|arg| arg == "--seconds") {
        tables::print_seconds(&log);
    }
}
