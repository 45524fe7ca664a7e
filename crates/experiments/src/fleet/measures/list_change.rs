//! Measure of changes of the endpoint list, by the number of entries that change at once.

use super::samples::{median, milliseconds};
use crate::fleet::error::FleetError;
use crate::fleet::installation::{until, Installation, RunningAgent};
use crate::fleet::plan::{Measure, Plan};
use crate::fleet::results::Row;
use std::thread::sleep;
use std::time::{Duration, Instant};
use tulipwall_testkit::EndpointBehavior;

/// Time for work of the agent that may still be in progress after it has requested the next change.
const SETTLE_TIME: Duration = Duration::from_millis(20);

/// Measurements of one change.
struct Sample {
    bytes: f64,
    processing_ms: f64,
    cpu_time_ms: f64,
}

pub(super) fn measure(plan: &Plan) -> Result<Vec<Row>, FleetError> {
    let Some(planned) = plan.sizes(Measure::Change).pop() else {
        return Ok(Vec::new());
    };
    let installation = Installation::start(&planned.size, EndpointBehavior::default())?;
    let agent = installation.agent(&plan.binary, 0, true)?;
    sleep(plan.settle);
    let row = |count| {
        let samples = (0..plan.repeats)
            .map(|_| sample(&installation, &agent, count))
            .collect::<Result<Vec<_>, FleetError>>()?;
        let figures = [
            ("bytes", median(samples.iter().map(|s| s.bytes))),
            (
                "taken_in_ms",
                median(samples.iter().map(|s| s.processing_ms)),
            ),
            ("ran_ms", median(samples.iter().map(|s| s.cpu_time_ms))),
        ];
        let measure = "a change of the list";
        Ok(Row::new(measure, "entries", count as f64, figures))
    };
    counts(plan, planned.size.endpoints)
        .into_iter()
        .map(row)
        .collect()
}

/// Returns the planned counts that do not exceed the length of the list, and the length itself.
fn counts(plan: &Plan, endpoints: usize) -> Vec<usize> {
    let planned = plan.changed.iter().copied().filter(|n| *n <= endpoints);
    let mut counts: Vec<usize> = planned.chain([endpoints]).collect();
    counts.sort_unstable();
    counts.dedup();
    counts
}

/// Changes the cell of `count` entries at once and measures what the agent uses for it.
fn sample(
    installation: &Installation,
    agent: &RunningAgent,
    count: usize,
) -> Result<Sample, FleetError> {
    let mut entries = installation.discovery.entries();
    entries.truncate(count);
    for entry in &mut entries {
        entry.cell += 1;
    }
    let started_at = Instant::now();
    let before = agent.usage()?.cpu_time;
    installation.discovery.update(entries);
    let change = until("the request after a change of the endpoint list", || {
        agent.discovery.response_since(started_at)
    })?;
    sleep(SETTLE_TIME);
    let cpu_time = agent.usage()?.cpu_time.saturating_sub(before);
    Ok(Sample {
        bytes: change.bytes as f64,
        processing_ms: milliseconds(change.next_request_at - change.complete_at),
        cpu_time_ms: milliseconds(cpu_time),
    })
}
