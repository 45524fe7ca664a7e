//! What the client library keeps and takes by how many agents it may call; the figures of
//! `docs/CAPACITY.md`.
//!
//!     cargo run --release -p tulipwall-client --example capacity
//!
//! Memory is the growth of this process over so many idle clients, the time of a choice the mean
//! over many, in a loop.

use std::hint::black_box;
use std::time::{Duration, Instant};
use tulipwall_client::Client;
use tulipwall_client_policy::{AgentSelector, AttemptSignal, ConnectionPolicy, Selection};
use tulipwall_testkit::service;

const AGENTS: [usize; 4] = [6, 77, 385, 770];
const CLIENTS: usize = 2000;

/// Bytes resident now.
fn resident() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text
        .lines()
        .find(|l| l.starts_with("VmRSS:"))
        .unwrap_or_default();
    line.split_whitespace()
        .nth(1)
        .and_then(|n| n.parse::<f64>().ok())
        .unwrap_or_default()
        * 1024.0
}

/// Least squares: slope, intercept and the largest distance from the line.
fn line(points: &[(f64, f64)]) -> (f64, f64, f64) {
    let n = points.len() as f64;
    let (x, y) = points
        .iter()
        .fold((0.0, 0.0), |(x, y), p| (x + p.0 / n, y + p.1 / n));
    let (over, under) = points.iter().fold((0.0, 0.0), |(o, u), p| {
        (o + (p.0 - x) * (p.1 - y), u + (p.0 - x).powi(2))
    });
    let slope = over / f64::max(under, f64::MIN_POSITIVE);
    let off = |p: &(f64, f64)| (p.1 - y - slope * (p.0 - x)).abs();
    (
        slope,
        y - slope * x,
        points.iter().map(off).fold(0.0, f64::max),
    )
}

fn tell(what: &str, unit: &str, points: &[(f64, f64)]) {
    points
        .iter()
        .for_each(|(x, y)| println!("{what:40} {x:6} {y:12.3} {unit}"));
    let (slope, intercept, off) = line(points);
    println!(
        "{what:40} slope {slope:.4} {unit}, from {intercept:.3}, at most {off:.3} off the line\n"
    );
}

fn choice(agents: usize) -> f64 {
    let mut endpoints = AgentSelector::new(ConnectionPolicy::default(), agents, 1);
    let (calls, begun) = (200_000u64, Instant::now());
    for n in 0..calls {
        let now = Duration::from_micros(n);
        if let Selection::Agent(a) = endpoints.select(now, None, |_| true) {
            endpoints.on_attempt_end(now, black_box(a), AttemptSignal::Success);
        }
    }
    begun.elapsed().as_secs_f64() * 1e6 / calls as f64
}

fn main() {
    tell(
        "one choice, by agents",
        "us",
        &AGENTS.map(|n| (n as f64, choice(n))),
    );

    let at = |n: usize| {
        (0..n)
            .map(|n| ([127, 1, (n >> 8) as u8, n as u8], 9).into())
            .collect::<Vec<_>>()
    };
    let idle = AGENTS.map(|n| {
        let before = resident();
        let kept: Vec<Client> = (0..CLIENTS).map(|_| Client::new(service(at(n)))).collect();
        let grown = resident() - before;
        // Not given back before the next, which would be counted as free there.
        std::mem::forget(black_box(kept));
        (n as f64, grown / CLIENTS as f64 / 1024.0)
    });
    tell("an idle client, by agents", "KB", &idle);
}
