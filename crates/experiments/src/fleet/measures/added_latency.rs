//! Measure of the latency that an agent adds to a request: the same load is sent through the agent
//! and directly to an endpoint, in turns. Latencies are measured from the time at which a request
//! was due.
//!
//! Meanwhile the fake servers poll for events without sleeping: when they had to be woken on an
//! idle core, they were milliseconds late for one request in a hundred, which would count as
//! latency of the agent. The agent itself sleeps and wakes as usual.

use super::load::{load, load_on, WARM_UP_SEED};
use super::samples::{if_any, median, milliseconds};
use crate::fleet::error::FleetError;
use crate::fleet::installation::Installation;
use crate::fleet::plan::{Measure, Plan, PlannedSize, Size};
use crate::fleet::process::Machine;
use crate::fleet::results::Row;
use crate::fleet::timed_endpoint;
use std::time::Duration;
use tulipwall_testkit::runtime::BusyPolling;
use tulipwall_testkit::{ConnectionUse, LoadReport};

/// A load is on time, having had the cores that it needs, if the 99th percentile of the delay
/// between a request's due time and its sending is at most this.
const ON_TIME_MS: f64 = 1.0;
/// Seed of the first measured load; each repeat uses the next seed.
const FIRST_SEED: u64 = 100;
const MICROSECONDS: f64 = 1e6;

/// Measurements of one load, through the agent and directly to an endpoint.
struct Sample {
    requests: u64,
    succeeded: u64,
    through: Quantiles,
    direct: Quantiles,
    /// Direct, with a new connection and its handshake for each request.
    with_handshake: Quantiles,
    /// Number of connections that the agent opened to endpoints.
    connections: u64,
    send_delay_p99_ms: f64,
    /// How long the agent was runnable without a core, in microseconds per request.
    cpu_wait_us: f64,
}

impl Sample {
    fn added_p50(&self) -> f64 {
        self.through.p50 - self.direct.p50
    }

    fn added_p99(&self) -> f64 {
        self.through.p99 - self.direct.p99
    }

    fn handshake_p50(&self) -> f64 {
        self.with_handshake.p50 - self.direct.p50
    }

    fn handshake_p99(&self) -> f64 {
        self.with_handshake.p99 - self.direct.p99
    }
}

/// Quantiles of the latency beyond the endpoint's processing time, in milliseconds.
struct Quantiles {
    p50: f64,
    p99: f64,
}

pub(super) fn measure(
    plan: &Plan,
    rate: f64,
    report: &mut impl FnMut(&str),
) -> Result<Vec<Row>, FleetError> {
    let mut rows = Vec::new();
    for PlannedSize { size, .. } in plan.sizes(Measure::Added) {
        report(&format!(
            "Added: {} endpoints, {rate} requests per second",
            size.endpoints
        ));
        rows.push(row(plan, &size, rate)?);
    }
    Ok(rows)
}

fn row(plan: &Plan, size: &Size, rate: f64) -> Result<Row, FleetError> {
    let installation = Installation::with_timed_endpoints(size, plan.work)?;
    let agent = installation.agent(&plan.binary, 0, true)?;
    let through_agent = agent.address()?;
    let endpoint = installation.timed_endpoints[0].address;
    load(size, through_agent, rate, plan.settle, WARM_UP_SEED);
    load(size, endpoint, rate, plan.settle, WARM_UP_SEED);
    let mut samples = Vec::new();
    for n in 0..plan.repeats as u64 {
        let _polling = BusyPolling::begin();
        let run_load = |connection_use, address| {
            let seed = FIRST_SEED + n;
            load_on(connection_use, size, address, rate, plan.duration, seed)
        };
        let waited_before = agent.usage()?.waited;
        let accepted_before = installation.accepted_by_timed_endpoints();
        let through = run_load(ConnectionUse::Reused, through_agent);
        let connections = installation.accepted_by_timed_endpoints() - accepted_before;
        let waited = agent.usage()?.waited.saturating_sub(waited_before);
        let loads = Loads {
            through,
            direct: run_load(ConnectionUse::Reused, endpoint),
            with_handshake: run_load(ConnectionUse::NewForEach, endpoint),
        };
        samples.push(sample(plan, &loads, connections, waited));
    }
    let mut figures = vec![("rate", rate)];
    figures.extend(latency_figures(&samples));
    figures.push(("machine_load", Machine::now()?.load));
    let measure = format!("added to a request at {rate} a second");
    Ok(Row::new(
        measure,
        "appliances",
        size.endpoints as f64,
        figures,
    ))
}

/// Reports of the same load, sent in three ways.
struct Loads {
    through: LoadReport,
    direct: LoadReport,
    with_handshake: LoadReport,
}

fn sample(plan: &Plan, loads: &Loads, connections: u64, waited: Duration) -> Sample {
    let requests = loads.through.requests.max(1) as f64;
    let through_late = loads.through.send_delay_ms(0.99);
    let direct_late = loads.direct.send_delay_ms(0.99);
    Sample {
        requests: loads.through.requests,
        succeeded: loads.through.succeeded,
        through: quantiles_beyond_work(&loads.through, plan.work),
        direct: quantiles_beyond_work(&loads.direct, plan.work),
        with_handshake: quantiles_beyond_work(&loads.with_handshake, plan.work),
        connections,
        send_delay_p99_ms: through_late.max(direct_late),
        cpu_wait_us: waited.as_secs_f64() / requests * MICROSECONDS,
    }
}

fn quantiles_beyond_work(load_report: &LoadReport, work: Duration) -> Quantiles {
    let beyond_work = |(id, took_us): &(String, u64)| {
        let work = timed_endpoint::work(id, work);
        *took_us as f64 / 1000.0 - milliseconds(work)
    };
    let mut sorted: Vec<f64> = load_report
        .request_latencies
        .iter()
        .map(beyond_work)
        .collect();
    sorted.sort_by(f64::total_cmp);
    let quantile = |share: f64| {
        let rank = (sorted.len() as f64 * share).ceil() as usize;
        let value = sorted.get(rank.saturating_sub(1));
        value.copied().unwrap_or(f64::NAN)
    };
    Quantiles {
        p50: quantile(0.5),
        p99: quantile(0.99),
    }
}

fn latency_figures(samples: &[Sample]) -> Vec<(&'static str, f64)> {
    let requests: u64 = samples.iter().map(|s| s.requests).sum();
    let succeeded: u64 = samples.iter().map(|s| s.succeeded).sum();
    let connections: u64 = samples.iter().map(|s| s.connections).sum();
    let added_p99 = || samples.iter().map(Sample::added_p99);
    let on_time: Vec<f64> = samples
        .iter()
        .filter(|s| s.send_delay_p99_ms <= ON_TIME_MS)
        .map(Sample::added_p99)
        .collect();
    vec![
        ("asked", requests as f64),
        ("satisfied", succeeded as f64),
        (
            "straight_p99_ms",
            median(samples.iter().map(|s| s.direct.p99)),
        ),
        (
            "through_p99_ms",
            median(samples.iter().map(|s| s.through.p99)),
        ),
        (
            "handshake_p50_ms",
            median(samples.iter().map(Sample::handshake_p50)),
        ),
        (
            "handshake_p99_ms",
            median(samples.iter().map(Sample::handshake_p99)),
        ),
        (
            "handshakes_a_command",
            connections as f64 / f64::max(requests as f64, 1.0),
        ),
        (
            "added_p50_ms",
            median(samples.iter().map(Sample::added_p50)),
        ),
        ("added_p99_ms", median(added_p99())),
        ("least_ms", added_p99().fold(f64::INFINITY, f64::min)),
        ("most_ms", added_p99().fold(f64::NEG_INFINITY, f64::max)),
        ("repeats", samples.len() as f64),
        ("on_time", on_time.len() as f64),
        (
            "added_p99_on_time_ms",
            if_any(&on_time, |all| median(all.iter().copied())),
        ),
        (
            "issued_late_p99_ms",
            median(samples.iter().map(|s| s.send_delay_p99_ms)),
        ),
        (
            "waited_us_a_command",
            median(samples.iter().map(|s| s.cpu_wait_us)),
        ),
    ]
}
