//! Measures the memory of a client and the time of an agent selection by the number of agents, for
//! `docs/CAPACITY.md`.
//!
//!     cargo run --release -p tulipwall-client --example capacity
//!
//! The memory of a client is the growth of this process divided by the number of idle clients
//! created. The time of a selection is the mean over many selections in a loop.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tulipwall_client::Client;
use tulipwall_client_policy::{AgentSelector, AttemptSignal, ConnectionPolicy, Selection};
use tulipwall_testkit::client_config;

const AGENT_COUNTS: [usize; 4] = [6, 77, 385, 770];
const CLIENTS: usize = 2000;
const SELECTIONS: u64 = 200_000;

/// A measured value and the number of agents it was measured with.
#[derive(Clone, Copy)]
struct Point {
    agents: f64,
    figure: f64,
}

/// A linear fit of the measured points.
struct LineFit {
    slope: f64,
    intercept: f64,
    /// The largest vertical distance of a point from the line.
    max_error: f64,
}

impl LineFit {
    /// Computes the least-squares line.
    fn of(points: &[Point]) -> LineFit {
        let mean =
            |value: fn(&Point) -> f64| points.iter().map(value).sum::<f64>() / points.len() as f64;
        let mean_agents = mean(|p| p.agents);
        let mean_figure = mean(|p| p.figure);
        let deviations = points
            .iter()
            .map(|p| (p.agents - mean_agents, p.figure - mean_figure));
        let covariance: f64 = deviations.clone().map(|(x, y)| x * y).sum();
        let variance: f64 = deviations.clone().map(|(x, _)| x.powi(2)).sum();
        let slope = covariance / variance.max(f64::MIN_POSITIVE);
        let errors = deviations.map(|(x, y)| (y - slope * x).abs());
        LineFit {
            slope,
            intercept: mean_figure - slope * mean_agents,
            max_error: errors.fold(0.0, f64::max),
        }
    }
}

fn print_figures(label: &str, unit: &str, measure: impl Fn(usize) -> f64) {
    let points = AGENT_COUNTS.map(|agents| Point {
        agents: agents as f64,
        figure: measure(agents),
    });
    for Point { agents, figure } in points {
        println!("{label:40} {agents:6} {figure:12.3} {unit}");
    }
    let LineFit {
        slope,
        intercept,
        max_error,
    } = LineFit::of(&points);
    println!(
        "{label:40} slope {slope:.4} {unit}, from {intercept:.3}, at most {max_error:.3} off the line\n"
    );
}

/// Measures the time of one selection among this many agents, in microseconds.
fn selection_time(agents: usize) -> f64 {
    let mut selector = AgentSelector::new(ConnectionPolicy::default(), agents, 1);
    let started = Instant::now();
    for n in 0..SELECTIONS {
        let now = Duration::from_micros(n);
        if let Selection::Agent(agent) = selector.select(now, None, |_| true) {
            selector.on_attempt_end(now, black_box(agent), AttemptSignal::Success);
        }
    }
    started.elapsed().as_secs_f64() * 1e6 / SELECTIONS as f64
}

/// Measures the memory of one idle client of this many agents, in kilobytes.
fn client_memory(agents: usize) -> f64 {
    let before = resident_bytes();
    let new_client = |_| Client::new(client_config(addresses(agents)));
    let clients: Vec<Client> = (0..CLIENTS).map(new_client).collect();
    let grown = resident_bytes() - before;
    // Leaked on purpose: freed memory would be reused by the next measurement and distort it.
    std::mem::forget(black_box(clients));
    grown / CLIENTS as f64 / 1024.0
}

fn addresses(count: usize) -> Vec<SocketAddr> {
    let address = |n: usize| SocketAddr::from(([127, 1, (n >> 8) as u8, n as u8], 9));
    (0..count).map(address).collect()
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    let kilobytes: f64 = kilobytes.and_then(|n| n.parse().ok()).unwrap_or_default();
    kilobytes * 1024.0
}

fn main() {
    print_figures("one choice, by agents", "us", selection_time);
    print_figures("an idle client, by agents", "KB", client_memory);
}
