//! Measure of a change of settings by a restart: an agent that has an idle client connection is
//! terminated and started again.

use super::count_by;
use super::samples::{largest, median, milliseconds};
use crate::fleet::error::FleetError;
use crate::fleet::installation::{Installation, RunningAgent};
use crate::fleet::plan::{Plan, Size};
use crate::fleet::results::Row;
use serde_json::Value;
use std::thread::sleep;
use std::time::Duration;
use tulipwall_testkit::{EndpointBehavior, TestClient};

/// How long an agent is left idle after a restart, and at most before it.
const IDLE_TIME: Duration = Duration::from_millis(500);
/// Base of the latency objective, which each restart increases, in milliseconds.
const LATENCY_OBJECTIVE_MS: f64 = 500.0;

/// Measurements of one restart.
struct Sample {
    ended_ms: f64,
    ready_ms: f64,
    in_force_ms: f64,
    cpu_time_ms: f64,
    bytes: f64,
}

pub(super) fn measure(plan: &Plan, size: &Size, by: &'static str) -> Result<Row, FleetError> {
    let installation = Installation::start(size, EndpointBehavior::default())?;
    let mut agent = installation.agent(&plan.binary, 0, true)?;
    let samples = (0..plan.repeats)
        .map(|n| sample(plan, &mut agent, LATENCY_OBJECTIVE_MS + 1.0 + n as f64))
        .collect::<Result<Vec<_>, FleetError>>()?;
    let in_force = || samples.iter().map(|s| s.in_force_ms);
    let figures = [
        ("ended_ms", median(samples.iter().map(|s| s.ended_ms))),
        ("ready_ms", median(samples.iter().map(|s| s.ready_ms))),
        ("in_force_ms", median(in_force())),
        ("in_force_most_ms", largest(in_force())),
        ("ran_ms", median(samples.iter().map(|s| s.cpu_time_ms))),
        ("bytes", median(samples.iter().map(|s| s.bytes))),
    ];
    let measure = "new settings (restart)";
    Ok(Row::new(measure, by, count_by(size, by), figures))
}

fn sample(
    plan: &Plan,
    agent: &mut RunningAgent,
    latency_objective_ms: f64,
) -> Result<Sample, FleetError> {
    let client = TestClient::connect(agent.address()?)?;
    sleep(plan.settle.min(IDLE_TIME));
    let before = agent.control_bytes().total();
    let change = |settings: &mut Value| {
        settings["classes"][0]["aim-ms"] = latency_objective_ms.into();
    };
    let times = agent.restart(&plan.binary, change)?;
    let cpu_time = agent.usage()?.cpu_time;
    sleep(IDLE_TIME);
    let bytes = agent.control_bytes().total() - before;
    drop(client);
    Ok(Sample {
        ended_ms: milliseconds(times.ended),
        ready_ms: milliseconds(agent.ready_after),
        in_force_ms: milliseconds(times.serving),
        cpu_time_ms: milliseconds(cpu_time),
        bytes: bytes as f64,
    })
}
