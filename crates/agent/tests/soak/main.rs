//! Soak: one agent for half a minute among usual clients, a crowd, endpoints that come, drain and
//! fail, and signals in series, all drawn from a seed. Checked from outside: the process does not
//! end by itself and keeps its memory limit; each request of a usual client gets its final answer in
//! time; nothing runs twice; nothing is sent to a drained endpoint or for a client that has left.
//!
//! `SOAK_SEEDS=1-50 cargo test -p tulipwall-agent --test soak -- --nocapture` runs more seeds, each
//! in a process of its own, `SOAK_JOBS` at a time. `AGENT` names another binary than the one of this
//! build.

mod checks;
mod events;
mod lag;
mod usual_client;

use events::Run;
use std::process::{Child, Command, Stdio};

/// The seeds that are run unless `SOAK_SEEDS` says otherwise.
const DEFAULT_SEEDS: (u64, u64) = (1, 6);
/// The number of seeds that are run at the same time unless `SOAK_JOBS` says otherwise.
const DEFAULT_JOBS: usize = 3;
/// Tells a process which seed to play.
const SEED_VARIABLE: &str = "SOAK_SEED";

/// Reads the first and the last seed from a text such as `1-50` or `7`.
fn parse_seeds(text: &str) -> Option<(u64, u64)> {
    let (first, last) = text.split_once('-').unwrap_or((text, text));
    Some((first.trim().parse().ok()?, last.trim().parse().ok()?))
}

fn start_seed(seed: u64) -> Child {
    Command::new(std::env::current_exe().unwrap())
        .args(["--exact", "plays_one_seed", "--nocapture"])
        .env(SEED_VARIABLE, seed.to_string())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}

/// Plays the seed that the parent process names. Does nothing by itself.
#[test]
fn plays_one_seed() {
    let Ok(seed) = std::env::var(SEED_VARIABLE) else {
        return;
    };
    let seed: u64 = seed.parse().unwrap();
    let report = Run::new(seed).play();
    println!("\nseed {seed}: {}", report.summary);
    assert!(report.violations.is_empty(), "{:#?}", report.violations);
}

#[test]
fn keeps_the_rules_and_its_limits_in_a_soak() {
    let (first, last) = match std::env::var("SOAK_SEEDS") {
        Ok(text) => parse_seeds(&text).expect("SOAK_SEEDS: expected a range such as 1-50"),
        Err(_) => DEFAULT_SEEDS,
    };
    let jobs = match std::env::var("SOAK_JOBS") {
        Ok(text) => text.parse().expect("SOAK_JOBS: expected a number"),
        Err(_) => DEFAULT_JOBS,
    };
    let seeds: Vec<u64> = (first..=last).collect();
    let mut failures = Vec::new();
    for group in seeds.chunks(jobs) {
        let children: Vec<_> = group
            .iter()
            .map(|seed| (*seed, start_seed(*seed)))
            .collect();
        for (seed, child) in children {
            let output = child.wait_with_output().unwrap();
            let text = String::from_utf8_lossy(&output.stdout).into_owned();
            text.lines()
                .filter(|line| line.starts_with("seed "))
                .for_each(|line| println!("{line}"));
            if !output.status.success() {
                let errors = String::from_utf8_lossy(&output.stderr).into_owned();
                println!("seed {seed} failed: {errors}");
                failures.push(seed);
            }
        }
    }
    assert!(failures.is_empty(), "failed seeds: {failures:?}");
}
