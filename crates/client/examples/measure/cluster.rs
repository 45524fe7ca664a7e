//! A cluster for the measurements: the real agent in front of fake endpoints.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tulipwall_testkit::{classes, AgentProcess, EndpointBehavior, TestCluster};

/// Starts a cluster of two endpoints with this processing time per request and this many cores.
pub fn start_endpoints(work: Duration, cores: usize) -> TestCluster {
    let cluster = TestCluster::new(&["a"], classes()).expect("loopback");
    for n in 0..2 {
        let behavior = EndpointBehavior {
            work,
            cores,
            ..EndpointBehavior::default()
        };
        cluster
            .add_endpoint(0, &format!("s-{n}"), 41, behavior)
            .expect("loopback");
    }
    cluster
}

/// Starts an agent in front of the endpoints.
pub fn start_agent(cluster: &TestCluster) -> AgentProcess {
    let configuration = cluster.configuration("n1", 0).expect("loopback");
    AgentProcess::start(agent_binary(), configuration, &[])
        .expect("failed to start the agent; build it with --release")
}

/// Returns the path of the agent's binary, which is in the parent of the examples' directory.
pub fn agent_binary() -> PathBuf {
    let example = std::env::current_exe().unwrap_or_default();
    let folder = example.ancestors().nth(2).unwrap_or(Path::new("."));
    folder.join("tulipwall-agent")
}

/// Counts the repeated runs of payments for the same object.
pub fn payments_run_twice(cluster: &TestCluster) -> usize {
    let queries = cluster.received_queries().into_values().flatten();
    let payments = queries.filter(|query| query.ran && query.class == "payment");
    let mut objects: Vec<String> = payments
        .map(|query| object_of(&query.statement).to_owned())
        .collect();
    objects.sort();
    objects.windows(2).filter(|pair| pair[0] == pair[1]).count()
}

/// Returns the name of the object in a statement: its first quoted text.
fn object_of(statement: &str) -> &str {
    statement.split('\'').nth(1).unwrap_or_default()
}

/// Samples a count and returns its increase in each of `samples` intervals.
pub fn sample_increase(
    samples: usize,
    interval: Duration,
    read_count: impl Fn() -> u64,
) -> Vec<f64> {
    let started = Instant::now();
    let mut previous = read_count();
    let mut increases = Vec::with_capacity(samples);
    for n in 1..=samples {
        let sample_at = started + interval * n as u32;
        std::thread::sleep(sample_at.saturating_duration_since(Instant::now()));
        let current = read_count();
        increases.push(current.abs_diff(previous) as f64);
        previous = current;
    }
    increases
}
