//! Measure of a configuration reload (SIGHUP) with new addresses of discovery and the platform,
//! until both have responded there and the agent has processed the endpoint list.

use super::count_by;
use super::samples::{largest, median, milliseconds};
use crate::fleet::error::FleetError;
use crate::fleet::installation::{until, Installation, RunningAgent};
use crate::fleet::plan::{Plan, Size};
use crate::fleet::results::Row;
use std::thread::sleep;
use std::time::{Duration, Instant};
use tulipwall_testkit::EndpointBehavior;

/// Processor time and bytes are counted until this long after a reload has come into force; an idle
/// time of the same length is measured before the reload.
const IDLE_TIME: Duration = Duration::from_millis(500);
const RELOADS_PER_DAY: f64 = 1000.0;
const SECONDS_PER_DAY: f64 = 86_400.0;

/// Measurements of one reload.
struct Sample {
    heard_ms: f64,
    in_force_ms: f64,
    /// Processor time beyond that of an idle agent, in milliseconds.
    cpu_time_ms: f64,
    bytes: f64,
}

pub(super) fn measure(plan: &Plan, size: &Size, by: &'static str) -> Result<Row, FleetError> {
    let installation = Installation::start(size, EndpointBehavior::default())?;
    let mut agent = installation.agent(&plan.binary, 0, true)?;
    sleep(plan.settle);
    let samples = (0..plan.repeats)
        .map(|_| sample(&installation, &mut agent))
        .collect::<Result<Vec<_>, FleetError>>()?;
    let measure = "a new configuration (SIGHUP)";
    Ok(Row::new(measure, by, count_by(size, by), figures(&samples)))
}

fn sample(installation: &Installation, agent: &mut RunningAgent) -> Result<Sample, FleetError> {
    let idle_share = idle_share(agent)?;
    let before = agent.usage()?.cpu_time;
    let reload = agent.reload(installation, |_| {})?;
    let list = until("the request after the new endpoint list", || {
        agent.discovery.response_since(reload.at)
    })?;
    let platform_heard_at = until("a response of the platform", || {
        agent.platform.first_response_at()
    })?;
    sleep(IDLE_TIME);
    let bytes = agent.control_bytes().total();
    let cpu_time = agent.usage()?.cpu_time.saturating_sub(before).as_secs_f64();
    let idle_cpu_time = idle_share * reload.at.elapsed().as_secs_f64();
    let heard_at = list.complete_at.max(platform_heard_at);
    let in_force_at = list.next_request_at.max(platform_heard_at);
    Ok(Sample {
        heard_ms: milliseconds(heard_at - reload.at),
        in_force_ms: milliseconds(in_force_at - reload.at),
        cpu_time_ms: (cpu_time - idle_cpu_time).max(0.0) * 1000.0,
        bytes: bytes as f64,
    })
}

/// Returns the share of a core that the idle agent uses.
fn idle_share(agent: &RunningAgent) -> Result<f64, FleetError> {
    let started_at = Instant::now();
    let before = agent.usage()?.cpu_time;
    sleep(IDLE_TIME);
    let cpu_time = agent.usage()?.cpu_time.saturating_sub(before);
    Ok(cpu_time.as_secs_f64() / started_at.elapsed().as_secs_f64())
}

fn figures(samples: &[Sample]) -> [(&'static str, f64); 7] {
    let in_force = || samples.iter().map(|s| s.in_force_ms);
    let cpu_time_ms = median(samples.iter().map(|s| s.cpu_time_ms));
    let bytes = median(samples.iter().map(|s| s.bytes));
    let mean_rate = |per_reload: f64| per_reload * RELOADS_PER_DAY / SECONDS_PER_DAY;
    [
        ("heard_ms", median(samples.iter().map(|s| s.heard_ms))),
        ("in_force_ms", median(in_force())),
        ("in_force_most_ms", largest(in_force())),
        ("ran_ms", cpu_time_ms),
        ("bytes", bytes),
        ("bytes_s_at_1000_a_day", mean_rate(bytes)),
        // One millisecond per second is a tenth of a percent.
        ("core_%_at_1000_a_day", mean_rate(cpu_time_ms) / 10.0),
    ]
}
