//! Simulates and measures one run: a scenario at one point with one seed.

mod figures;
mod simulation;

pub use simulation::build_simulation;

use crate::records::Record;
use crate::scenario::{ParameterValue, Scenario};

/// Maximum number of rule violations that a record keeps.
const MAX_VIOLATIONS: usize = 5;

/// Simulates one run and returns its measurements. `point` is the index of the point with these
/// values.
pub fn run(scenario: &Scenario, point: usize, values: &[ParameterValue], seed: u64) -> Record {
    let scenario = scenario.at(values);
    let report = build_simulation(&scenario, seed).run();
    let figures = figures::figures(&scenario, &report);
    let latencies_us = report
        .latencies
        .iter_recorded()
        .map(|bucket| (bucket.value_iterated_to(), bucket.count_at_value()))
        .collect();
    Record {
        point,
        values: values.iter().map(key_and_value).collect(),
        seed,
        figures,
        latencies_us,
        digest: report.digest,
        violations: report
            .violations
            .iter()
            .take(MAX_VIOLATIONS)
            .map(ToString::to_string)
            .collect(),
    }
}

fn key_and_value(parameter: &ParameterValue) -> (String, String) {
    let key = parameter.parameter.key().to_owned();
    (key, parameter.value.to_string())
}
