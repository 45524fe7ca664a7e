//! Measure of the processor time and control traffic of agents without any requests.

use super::count_by;
use super::samples::{largest, mean, milliseconds};
use crate::fleet::error::FleetError;
use crate::fleet::installation::{ControlBytes, Installation, RunningAgent};
use crate::fleet::plan::{Plan, Size};
use crate::fleet::process::Usage;
use crate::fleet::results::Row;
use std::io;
use std::thread::sleep;
use std::time::Instant;
use tulipwall_testkit::EndpointBehavior;

/// Resources that an agent has used so far.
struct Reading {
    usage: Usage,
    control: ControlBytes,
}

fn read(agent: &RunningAgent) -> io::Result<Reading> {
    Ok(Reading {
        usage: agent.usage()?,
        control: agent.control_bytes(),
    })
}

pub(super) fn measure(plan: &Plan, size: &Size, by: &'static str) -> Result<Row, FleetError> {
    let installation = Installation::start(size, EndpointBehavior::default())?;
    let agents = installation.agents(&plan.binary)?;
    sleep(plan.settle);
    let before = agents.iter().map(read).collect::<io::Result<Vec<_>>>()?;
    let started_at = Instant::now();
    sleep(plan.duration);
    let after = agents.iter().map(read).collect::<io::Result<Vec<_>>>()?;
    let seconds = started_at.elapsed().as_secs_f64();

    let reading_pairs = || after.iter().zip(&before);
    let core_percent = || {
        reading_pairs().map(|(a, b)| {
            let cpu_time = a.usage.cpu_time.saturating_sub(b.usage.cpu_time);
            cpu_time.as_secs_f64() / seconds * 100.0
        })
    };
    let waited = reading_pairs().map(|(a, b)| {
        let waited = a.usage.waited.saturating_sub(b.usage.waited);
        milliseconds(waited) / seconds
    });
    let discovery = mean(
        reading_pairs().map(|(a, b)| (a.control.discovery - b.control.discovery) as f64 / seconds),
    );
    let platform = mean(
        reading_pairs().map(|(a, b)| (a.control.platform - b.control.platform) as f64 / seconds),
    );
    let figures = [
        ("agents", agents.len() as f64),
        ("control_core_%", mean(core_percent())),
        ("most_core_%", largest(core_percent())),
        ("discovery_bytes_s", discovery),
        ("platform_bytes_s", platform),
        ("control_bytes_s", discovery + platform),
        ("waited_ms_s", mean(waited)),
    ];
    let measure = if size.pushed {
        "idle, lists pushed"
    } else {
        "idle, lists asked for"
    };
    Ok(Row::new(measure, by, count_by(size, by), figures))
}
