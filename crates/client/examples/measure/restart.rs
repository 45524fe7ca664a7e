//! Measures how clients spread their reconnects when the agent is killed and restarted 300 ms
//! later.

use crate::cluster::{
    agent_binary, payments_run_twice, sample_increase, start_agent, start_endpoints,
};
use crate::fleet::{ClientFleet, ClientKind};
use crate::ms;
use std::thread;
use std::time::Duration;
use tulipwall_testkit::AgentProcess;

/// The interval at which the count of connections is sampled.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
const SAMPLES: usize = 80;
const CLIENTS: usize = 200;
const CALL_PAUSE: Duration = Duration::from_millis(100);
const WARM_UP: Duration = Duration::from_secs(2);
const AGENT_DOWN: Duration = Duration::from_millis(300);

/// Measures clients of one kind and prints a row of the table. Returns the new connections in each
/// interval.
pub fn run(kind: ClientKind) -> Vec<f64> {
    let cluster = start_endpoints(ms(5), 64);
    let agent = start_agent(&cluster);
    let address = agent.address().expect("the agent should have an address");
    let fleet = ClientFleet::start(kind, address, CLIENTS, CALL_PAUSE);
    thread::sleep(WARM_UP);
    let configuration = agent.configuration.clone();
    drop(agent);
    thread::sleep(AGENT_DOWN);
    let restarted = AgentProcess::start(agent_binary(), configuration, &[])
        .expect("failed to restart the agent");
    let connections = sample_increase(SAMPLES, SAMPLE_INTERVAL, fleet.connection_count());
    fleet.stop();
    drop(restarted);
    print_row(kind, &connections, payments_run_twice(&cluster));
    connections
}

fn print_row(kind: ClientKind, connections: &[f64], payments_twice: usize) {
    let peak = connections.iter().copied().fold(0.0, f64::max);
    let total: f64 = connections.iter().sum();
    let first = connections.iter().position(|n| *n > 0.0).unwrap_or(0);
    let last = connections.iter().rposition(|n| *n > 0.0).unwrap_or(0);
    let nine_tenths = index_reaching(connections, total * 0.9);
    let intervals = last - first + 1;
    println!(
        "| {} | {peak:.0} | {:.1} | {:.1} s | {:.1} s | {payments_twice} |",
        kind.label(),
        peak / (total / intervals as f64),
        seconds(nine_tenths - first + 1),
        seconds(intervals),
    );
}

/// Returns the index of the first interval at which the running total reaches `sum`.
fn index_reaching(counts: &[f64], sum: f64) -> usize {
    let mut running_total = 0.0;
    let reached = counts.iter().position(|n| {
        running_total += n;
        running_total >= sum
    });
    reached.unwrap_or(0)
}

fn seconds(intervals: usize) -> f64 {
    SAMPLE_INTERVAL.as_secs_f64() * intervals as f64
}
