//! The measures, with a module for each. Each measure starts its own installation and stops it at
//! its end.

mod added_latency;
mod idle;
mod list_change;
mod load;
mod memory;
mod reload;
mod request_cost;
mod restart;
mod samples;
mod settings_reload;
mod start;

pub use load::load;

use super::error::FleetError;
use super::plan::{Measure, Plan, PlannedSize, Size};
use super::results::{Results, Row};

/// What a size counts if it counts pairs of endpoint and class.
const PAIRS: &str = "appliance-lane pairs";

/// Takes all measures of a plan; `report` is called with progress messages.
///
/// # Errors
/// Returns an error if an agent or a fake server fails.
pub fn run(plan: &Plan, mut report: impl FnMut(&str)) -> Result<Results, FleetError> {
    let mut results = Results {
        limits: plan.limits.clone(),
        ..Results::default()
    };
    for measure in &plan.measures {
        report(&measure.title());
        run_measure(plan, *measure, &mut results, &mut report)?;
    }
    Ok(results)
}

fn run_measure(
    plan: &Plan,
    measure: Measure,
    results: &mut Results,
    report: &mut impl FnMut(&str),
) -> Result<(), FleetError> {
    match measure {
        Measure::Endpoints | Measure::Classes | Measure::Tenants | Measure::Pairs => {
            results.add(memory::agents(plan, measure)?, &["resident_mb", "peak_mb"]);
        }
        Measure::Connections => results.add(memory::connections(plan)?, &["resident_mb"]),
        Measure::Open => results.add(memory::open_requests(plan)?, &["resident_mb"]),
        Measure::Idle => {
            let mut series = endpoint_and_tenant_series(plan, measure);
            series.push(pair_series(plan));
            add_series(plan, results, &series, &["control_core_%"], idle::measure)?;
        }
        Measure::Start => start::add(plan, results)?,
        Measure::Change => {
            let fitted = ["bytes", "taken_in_ms", "ran_ms"];
            results.add(list_change::measure(plan)?, &fitted);
        }
        Measure::Reload => {
            let series = endpoint_and_tenant_series(plan, measure);
            add_series(plan, results, &series, &IN_FORCE_FIGURES, reload::measure)?;
        }
        Measure::Settings => {
            let series = endpoint_and_tenant_series(plan, measure);
            let fitted = ["in_force_ms"];
            add_series(plan, results, &series, &fitted, settings_reload::measure)?;
        }
        Measure::Restart => {
            let series = endpoint_and_tenant_series(plan, measure);
            add_series(plan, results, &series, &IN_FORCE_FIGURES, restart::measure)?;
        }
        Measure::Requests => add_request_costs(plan, results)?,
        Measure::Added => {
            for rate in &plan.rates {
                let rows = added_latency::measure(plan, *rate, report)?;
                results.add(rows, &["added_p99_ms"]);
            }
        }
    }
    Ok(())
}

/// Figures to which lines are fitted in the measures of how long a change takes to come into force.
const IN_FORCE_FIGURES: [&str; 3] = ["in_force_ms", "ran_ms", "bytes"];

/// Sizes of installations that differ in one count.
struct Series {
    /// The count in which the sizes differ.
    by: &'static str,
    sizes: Vec<Size>,
}

/// Returns the sizes of a measure by endpoints, and those by tenants.
fn endpoint_and_tenant_series(plan: &Plan, measure: Measure) -> Vec<Series> {
    let mut endpoints = sizes(plan.sizes(measure));
    let tenants = endpoints.split_off(plan.endpoints.len());
    vec![
        Series {
            by: "appliances",
            sizes: endpoints,
        },
        Series {
            by: "tenants",
            sizes: tenants,
        },
    ]
}

fn pair_series(plan: &Plan) -> Series {
    Series {
        by: PAIRS,
        sizes: sizes(plan.sizes(Measure::Pairs)),
    }
}

fn sizes(planned: Vec<PlannedSize>) -> Vec<Size> {
    planned.into_iter().map(|planned| planned.size).collect()
}

/// Measures the cost of requests at each rate.
fn add_request_costs(plan: &Plan, results: &mut Results) -> Result<(), FleetError> {
    let series = endpoint_and_tenant_series(plan, Measure::Requests);
    for rate in plan.rates.iter().copied() {
        let measure = |plan: &Plan, size: &Size, by: &'static str| {
            request_cost::measure(plan, size, by, rate)
        };
        add_series(plan, results, &series, &["us_a_command"], measure)?;
    }
    Ok(())
}

/// Measures each size of each series and adds the rows to the results.
fn add_series(
    plan: &Plan,
    results: &mut Results,
    all: &[Series],
    fitted: &[&'static str],
    measure: impl Fn(&Plan, &Size, &'static str) -> Result<Row, FleetError>,
) -> Result<(), FleetError> {
    for series in all {
        let rows = series
            .sizes
            .iter()
            .map(|size| measure(plan, size, series.by))
            .collect::<Result<Vec<Row>, FleetError>>()?;
        results.add(rows, fitted);
    }
    Ok(())
}

/// Returns the count of a size that `by` names.
fn count_by(size: &Size, by: &str) -> f64 {
    let count = match by {
        PAIRS => size.endpoints * size.classes,
        "tenants" => size.tenants,
        _ => size.endpoints,
    };
    count as f64
}
