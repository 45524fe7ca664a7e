//! Measure of the processor time of a request, beyond that of an idle agent.

use super::count_by;
use super::load::{load, SEED, WARM_UP_SEED};
use crate::fleet::error::FleetError;
use crate::fleet::installation::{Installation, RunningAgent};
use crate::fleet::plan::{Plan, Size};
use crate::fleet::results::Row;
use std::io;
use std::thread::sleep;
use std::time::{Duration, Instant};

const MICROSECONDS: f64 = 1e6;

pub(super) fn measure(
    plan: &Plan,
    size: &Size,
    by: &'static str,
    rate: f64,
) -> Result<Row, FleetError> {
    let installation = Installation::with_timed_endpoints(size, plan.work)?;
    let agent = installation.agent(&plan.binary, 0, true)?;
    let address = agent.address()?;
    sleep(plan.settle);
    let idle_share = idle_share(&agent, plan.duration)?;
    load(size, address, rate, plan.settle, WARM_UP_SEED);
    let started_at = Instant::now();
    let before = agent.usage()?;
    let load_report = load(size, address, rate, plan.duration, SEED);
    let after = agent.usage()?;
    let seconds = started_at.elapsed().as_secs_f64();

    let cpu_time = after.cpu_time.saturating_sub(before.cpu_time).as_secs_f64();
    let waited = after.waited.saturating_sub(before.waited).as_secs_f64();
    let requests = load_report.requests.max(1) as f64;
    let cpu_time_for_requests = (cpu_time - idle_share * seconds).max(0.0);
    let figures = [
        ("rate", rate),
        ("asked", load_report.requests as f64),
        ("satisfied", load_report.succeeded as f64),
        ("idle_core_%", idle_share * 100.0),
        ("core_%", cpu_time / seconds * 100.0),
        (
            "us_a_command",
            cpu_time_for_requests / requests * MICROSECONDS,
        ),
        ("waited_us_a_command", waited / requests * MICROSECONDS),
    ];
    let measure = format!("commands at {rate} a second");
    Ok(Row::new(measure, by, count_by(size, by), figures))
}

/// Returns the share of a core that the idle agent uses.
fn idle_share(agent: &RunningAgent, duration: Duration) -> io::Result<f64> {
    let started_at = Instant::now();
    let before = agent.usage()?.cpu_time;
    sleep(duration);
    let cpu_time = agent.usage()?.cpu_time.saturating_sub(before);
    Ok(cpu_time.as_secs_f64() / started_at.elapsed().as_secs_f64())
}
