//! Measures of the memory of agents.

use super::samples::{largest, mean};
use super::PAIRS;
use crate::fleet::error::FleetError;
use crate::fleet::installation::{Installation, RunningAgent};
use crate::fleet::plan::{Measure, Plan, PlannedSize, Size};
use crate::fleet::process::Usage;
use crate::fleet::results::Row;
use std::io;
use std::thread::sleep;
use tulipwall_testkit::{EndpointBehavior, ResponseBehavior, TestClient};

const MEGABYTE: f64 = 1e6;
/// Deadline of requests that no endpoint answers, in milliseconds.
const OPEN_REQUEST_DEADLINE_MS: u32 = 30_000;
/// Class of requests that no endpoint answers; all settings contain it.
const OPEN_REQUEST_CLASS: &str = "route-0";

/// Returns the mean and the largest resident and peak memory of agents, in megabytes.
fn memory_figures(agents: &[RunningAgent]) -> io::Result<[(&'static str, f64); 4]> {
    let usages: Vec<Usage> = agents
        .iter()
        .map(RunningAgent::usage)
        .collect::<io::Result<_>>()?;
    let resident = || usages.iter().map(|usage| usage.resident as f64 / MEGABYTE);
    let peak = || usages.iter().map(|usage| usage.peak as f64 / MEGABYTE);
    Ok([
        ("resident_mb", mean(resident())),
        ("resident_most_mb", largest(resident())),
        ("peak_mb", mean(peak())),
        ("peak_most_mb", largest(peak())),
    ])
}

/// Measures memory by the number of endpoints, classes, tenants, or pairs of endpoint and class.
pub(super) fn agents(plan: &Plan, measure: Measure) -> Result<Vec<Row>, FleetError> {
    let (by, count): (_, fn(&Size) -> usize) = match measure {
        Measure::Classes => ("lanes", |size| size.classes),
        Measure::Tenants => ("tenants", |size| size.tenants),
        Measure::Pairs => (PAIRS, |size| size.endpoints * size.classes),
        _ => ("appliances", |size| size.endpoints),
    };
    let row = |PlannedSize { size, .. }| {
        let installation = Installation::start(&size, EndpointBehavior::default())?;
        let agents = installation.agents(&plan.binary)?;
        sleep(plan.settle);
        let mut figures = vec![("agents", agents.len() as f64)];
        figures.extend(memory_figures(&agents)?);
        Ok(Row::new("memory", by, count(&size) as f64, figures))
    };
    plan.sizes(measure).into_iter().map(row).collect()
}

/// Measures memory by the number of idle client connections.
pub(super) fn connections(plan: &Plan) -> Result<Vec<Row>, FleetError> {
    let row = |PlannedSize { size, clients }| {
        let installation = Installation::start(&size, EndpointBehavior::default())?;
        let agent = installation.agent(&plan.binary, 0, true)?;
        let connected = connect(&agent, clients)?;
        sleep(plan.settle);
        let figures = memory_figures(std::slice::from_ref(&agent))?;
        drop(connected);
        Ok(Row::new("memory", "connections", clients as f64, figures))
    };
    let sizes = plan.sizes(Measure::Connections);
    sizes.into_iter().map(row).collect()
}

fn connect(agent: &RunningAgent, clients: usize) -> io::Result<Vec<TestClient>> {
    let address = agent.address()?;
    (0..clients).map(|_| TestClient::connect(address)).collect()
}

/// Measures memory by the number of requests that no endpoint answers, each on its own connection.
/// The figures are the number of open requests and the agent's memory meanwhile, which includes its
/// connections to clients and endpoints.
pub(super) fn open_requests(plan: &Plan) -> Result<Vec<Row>, FleetError> {
    let silent = EndpointBehavior {
        response: ResponseBehavior::NeverAnswer,
        ..EndpointBehavior::default()
    };
    let row = |PlannedSize { size, clients }| {
        let installation = Installation::start(&size, silent.clone())?;
        let agent = installation.agent(&plan.binary, 0, true)?;
        let mut connected = connect(&agent, clients)?;
        for client in &mut connected {
            client.send_query(OPEN_REQUEST_CLASS, OPEN_REQUEST_DEADLINE_MS);
        }
        sleep(plan.settle);
        let mut figures = vec![
            ("open", requests_at_endpoints(&installation) as f64),
            ("deliveries", installation.attempts() as f64),
        ];
        figures.extend(memory_figures(std::slice::from_ref(&agent))?);
        drop(connected);
        Ok(Row::new("memory", "open commands", clients as f64, figures))
    };
    plan.sizes(Measure::Open).into_iter().map(row).collect()
}

/// Returns the number of requests of which an endpoint received at least one attempt.
fn requests_at_endpoints(installation: &Installation) -> usize {
    let mut ids: Vec<String> = installation
        .endpoints
        .iter()
        .flat_map(|endpoint| endpoint.received_queries())
        .map(|query| query.id)
        .collect();
    ids.sort();
    ids.dedup();
    ids.len()
}
