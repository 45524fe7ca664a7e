//! Measure of an agent's start, up to the response to a first empty query.

use super::samples::{largest, median, milliseconds};
use crate::fleet::error::FleetError;
use crate::fleet::installation::{until, Installation};
use crate::fleet::plan::{Measure, Plan, PlannedSize};
use crate::fleet::results::{Results, Row};
use std::time::{Duration, Instant};
use tulipwall_testkit::EndpointBehavior;

/// A time span that reaches back before the start of any agent of the run.
const LONG_AGO: Duration = Duration::from_secs(3600);

/// Measurements of one start.
#[derive(Default)]
struct Sample {
    ready_ms: f64,
    cpu_time_ms: f64,
    list_bytes: f64,
    /// Time from the last byte of the list to the agent's next request.
    processing_ms: f64,
}

/// Measures starts with and without an endpoint list in the configuration.
pub(super) fn add(plan: &Plan, results: &mut Results) -> Result<(), FleetError> {
    let with_list = measure(plan, true)?;
    results.add(with_list, &["ready_ms", "ran_ms"]);
    let without_list = measure(plan, false)?;
    let fitted = ["ready_ms", "ran_ms", "list_bytes", "taken_in_ms"];
    results.add(without_list, &fitted);
    Ok(())
}

fn measure(plan: &Plan, known: bool) -> Result<Vec<Row>, FleetError> {
    let row = |PlannedSize { size, .. }| {
        let installation = Installation::start(&size, EndpointBehavior::default())?;
        let samples = (0..plan.repeats)
            .map(|_| sample(plan, &installation, known))
            .collect::<Result<Vec<_>, FleetError>>()?;
        let size = size.endpoints as f64;
        Ok(Row::new(
            measure_name(known),
            "appliances",
            size,
            figures(&samples, known),
        ))
    };
    plan.sizes(Measure::Start).into_iter().map(row).collect()
}

fn sample(plan: &Plan, installation: &Installation, known: bool) -> Result<Sample, FleetError> {
    let agent = installation.agent(&plan.binary, 0, known)?;
    let mut sample = Sample {
        ready_ms: milliseconds(agent.ready_after),
        cpu_time_ms: milliseconds(agent.usage()?.cpu_time),
        ..Sample::default()
    };
    if !known {
        let list = until("the request after the endpoint list", || {
            agent.discovery.response_since(Instant::now() - LONG_AGO)
        })?;
        sample.list_bytes = list.bytes as f64;
        sample.processing_ms = milliseconds(list.next_request_at - list.complete_at);
    }
    Ok(sample)
}

fn figures(samples: &[Sample], known: bool) -> Vec<(&'static str, f64)> {
    let ready = || samples.iter().map(|s| s.ready_ms);
    let mut figures = vec![
        ("ready_ms", median(ready())),
        ("ready_most_ms", largest(ready())),
        ("ran_ms", median(samples.iter().map(|s| s.cpu_time_ms))),
    ];
    if !known {
        let list_bytes = samples.iter().map(|s| s.list_bytes);
        let processing = samples.iter().map(|s| s.processing_ms);
        figures.push(("list_bytes", median(list_bytes)));
        figures.push(("taken_in_ms", median(processing)));
    }
    figures
}

fn measure_name(known: bool) -> &'static str {
    if known {
        "start with a list"
    } else {
        "start without a list"
    }
}
