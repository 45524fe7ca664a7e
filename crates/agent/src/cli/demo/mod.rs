//! `tulipwall-agent demo`: runs two zones, a discovery service, a rollout platform, an agent and
//! some clients on loopback for about half a minute. A build is rolled out, a zone drains and
//! returns, and the cross-zone traffic is printed every second.
//!
//! This is the only part of the shipped program that uses `tulipwall-testkit`.

mod timeline;
mod totals;

use super::report::client::{fetch_zone_report, FetchError};
use super::report::tables;
use clap::Args;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};
use timeline::{Timeline, DURATION_S};
use totals::Totals;
use tulipwall_config::AdminAddress;
use tulipwall_testkit::{
    classes, AgentProcess, EndpointBehavior, Link, Load, LoadReport, TestClient, TestCluster,
};

const ZONES: [&str; 2] = ["akl-east", "akl-west"];
const ENDPOINTS_PER_ZONE: usize = 3;
const OLD_BUILD: u32 = 41;
const NEW_BUILD: u32 = 42;
/// One-way delay of the link between the zones.
const LINK_DELAY: Duration = Duration::from_millis(4);
/// The deadline of each request, after which its client gives up.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1500);
const CLIENT_CONNECTIONS: usize = 200;
/// A request class that is not idempotent: its requests must not run twice.
const PAYMENT_CLASS: &str = "payment";

/// Options of `tulipwall-agent demo`.
#[derive(Args)]
pub struct DemoCommand {
    /// Requests per second, from 1 to 2000.
    #[arg(long, default_value_t = 150.0, value_parser = parse_rate)]
    rate: f64,
}

fn parse_rate(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(rate) if (1.0..=2000.0).contains(&rate) => Ok(rate),
        _ => Err("expected a number from 1 to 2000".into()),
    }
}

/// Why the demo ended early.
#[derive(Debug, thiserror::Error)]
enum DemoError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Report(#[from] FetchError),
}

impl DemoCommand {
    /// Runs the demo. Succeeds if every request received a response and no payment ran twice.
    pub fn run(self) -> ExitCode {
        match run_demo(self.rate) {
            Ok(true) => ExitCode::SUCCESS,
            Ok(false) => ExitCode::FAILURE,
            Err(error) => {
                eprintln!("demo: {error}");
                ExitCode::FAILURE
            }
        }
    }
}

/// Runs the demo at `rate` requests per second; true if it succeeded.
fn run_demo(rate: f64) -> Result<bool, DemoError> {
    let cluster = start_cluster()?;
    let folder = tempfile::tempdir()?;
    let admin_socket = folder.path().join("door");
    let installation_file = folder.path().join("zones.kdl");
    let installation = installation_text(&admin_socket);
    std::fs::write(&installation_file, &installation)?;
    println!(
        "Two zones of {ENDPOINTS_PER_ZONE} endpoints each, 8 ms round trip between them, build \
         {OLD_BUILD}; an agent in {}; {rate} requests per second.",
        ZONES[0]
    );
    println!("The installation file:\n\n{installation}");
    let agent = start_agent(&cluster, &installation_file)?;
    let address = agent.address()?;
    TestClient::connect(address)?;

    let admin = AdminAddress::Unix(admin_socket);
    let started = Instant::now();
    let load = client_load(address, rate).start();
    let mut timeline = Timeline::new(cluster.clone());
    show_timeline(&mut timeline, started, &admin)?;
    let load_report = futures_lite::future::block_on(load);
    drop(timeline);

    let report = fetch_zone_report(&admin)?;
    println!(
        "\nThe final report, as printed by `tulipwall-agent report`:\n\n{}",
        tables::zone_report(&report, false)
    );
    let repeated_payments = cluster.executed_twice(PAYMENT_CLASS).len();
    print_summary(&load_report, repeated_payments);
    Ok(load_report.unanswered == 0 && repeated_payments == 0)
}

fn start_cluster() -> io::Result<Arc<TestCluster>> {
    let cluster = Arc::new(TestCluster::new(&ZONES, classes())?);
    for (zone, name) in ZONES.iter().enumerate() {
        for n in 0..ENDPOINTS_PER_ZONE {
            let id = format!("{name}-{n}");
            cluster.add_endpoint(zone, &id, OLD_BUILD, endpoint_behavior())?;
        }
    }
    link_zones(&cluster);
    Ok(cluster)
}

fn endpoint_behavior() -> EndpointBehavior {
    EndpointBehavior {
        work: Duration::from_millis(8),
        fixed_work_share: 0.4,
        cores: 2,
        value_bytes: 400,
        ..EndpointBehavior::default()
    }
}

fn link_zones(cluster: &TestCluster) {
    let link = Link {
        request_delay: LINK_DELAY,
        reply_delay: LINK_DELAY,
        cut: false,
    };
    cluster.set_link(0, 1, link);
}

fn installation_text(admin_socket: &Path) -> String {
    let [east, west] = ZONES;
    format!(
        r#"door "unix:{}"
zones {{
    routing "near-first"
    link "{east}" "{west}" {{
        delay "8ms"
        price delivery=0.00001 out-gib=0.02 in-gib=0.02
    }}
    budget "crossing" {{ share 0.05; window "10s"; }}
}}
"#,
        admin_socket.display()
    )
}

fn start_agent(cluster: &TestCluster, installation_file: &Path) -> io::Result<AgentProcess> {
    let installation = installation_file.display().to_string();
    let arguments = ["run", "--installation", installation.as_str()];
    AgentProcess::start(
        std::env::current_exe()?,
        cluster.configuration("demo", 0)?,
        &arguments,
    )
}

fn client_load(agent: SocketAddr, rate: f64) -> Load {
    let class = |name: &str, weight, keyed| (name.to_owned(), weight, CLIENT_TIMEOUT, keyed);
    Load {
        agent,
        rate,
        duration: Duration::from_secs(DURATION_S),
        classes: vec![
            class("view", 4.0, false),
            class("send", 4.0, true),
            class(PAYMENT_CLASS, 1.0, false),
        ],
        connections: CLIENT_CONNECTIONS,
        seed: 1,
    }
}

/// Prints a line each second: the event of that second, and the counts since the previous line.
fn show_timeline(
    timeline: &mut Timeline,
    started: Instant,
    admin: &AdminAddress,
) -> Result<(), DemoError> {
    println!("  time   taken  near  cross   over  build 42   what happens");
    let mut before = Totals::default();
    for second in 1..=DURATION_S {
        let due = started + Duration::from_secs(second);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        let event = timeline.advance(second)?;
        let now = Totals::of(&fetch_zone_report(admin)?);
        println!(
            "{second:4} s {:7} {:5} {:6} {:6} {:9}   {event}",
            now.requests - before.requests,
            now.local_attempts - before.local_attempts,
            now.cross_zone_attempts - before.cross_zone_attempts,
            now.over_budget - before.over_budget,
            now.new_build_attempts - before.new_build_attempts,
        );
        before = now;
    }
    Ok(())
}

fn print_summary(load_report: &LoadReport, repeated_payments: usize) {
    println!(
        "{} requests: {} succeeded, {} rejected, {} failed, {} without an answer; median latency \
         {:.1} ms, 99th percentile {:.1} ms.",
        load_report.requests,
        load_report.succeeded,
        load_report.rejected,
        load_report.failed,
        load_report.unanswered,
        load_report.quantile_ms(0.5),
        load_report.quantile_ms(0.99),
    );
    println!("Payments that ran twice: {repeated_payments}.");
}
