//! One run: a scenario at one point with one seed, simulated and measured.

mod figures;
mod simulation;

pub use simulation::day;

use crate::records::Record;
use crate::scenario::{ParameterValue, Scenario};

/// Violations of the simulation's rules that a record keeps.
const MAX_VIOLATIONS: usize = 5;

/// Simulates one run and measures it. `point` is the index of the point with these values.
pub fn run(scenario: &Scenario, point: usize, values: &[ParameterValue], seed: u64) -> Record {
    let scenario = scenario.at(values);
    let played = day(&scenario, seed).play();
    let figures = figures::figures(&scenario, &played);
    let latencies_us = played
        .times
        .iter_recorded()
        .map(|bucket| (bucket.value_iterated_to(), bucket.count_at_value()))
        .collect();
    Record {
        point,
        values: values.iter().map(key_and_value).collect(),
        seed,
        figures,
        latencies_us,
        digest: played.digest,
        violations: played.broken.iter().take(MAX_VIOLATIONS).cloned().collect(),
    }
}

fn key_and_value(parameter: &ParameterValue) -> (String, String) {
    let key = parameter.parameter.key().to_owned();
    (key, parameter.value.to_string())
}
