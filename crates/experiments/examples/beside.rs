//! Compares one small installation in the simulation and on real sockets. On sockets, the real
//! agent runs against fake endpoints on the loopback interface.
//!
//!     cargo build --release && cargo run --release -p tulipwall-experiments --example beside

use std::io;
use std::path::PathBuf;
use std::time::Duration;
use tulipwall_experiments::run;
use tulipwall_experiments::scenario::Scenario;
use tulipwall_testkit::{
    classes, AgentProcess, EndpointBehavior, Link, Load, TestClient, TestCluster,
};

const ZONES: [&str; 2] = ["east", "west"];
const ENDPOINTS_PER_ZONE: usize = 3;
const CORES: usize = 2;
const SECONDS: u64 = 15;
const BUILD: u32 = 41;
const WORK: Duration = Duration::from_millis(10);
/// One-way network delay between the zones.
const DELAY: Duration = Duration::from_millis(2);
const DEADLINE: Duration = Duration::from_millis(1500);
const CONNECTIONS: usize = 200;
const SEED: u64 = 1;
/// Request rates that are compared, in requests per second.
const RATES: [f64; 4] = [120.0, 480.0, 840.0, 1080.0];

/// The figures of one run that are compared.
struct Row {
    p50_ms: f64,
    p99_ms: f64,
    /// Share of the attempts that went to the other zone, 0 to 1.
    cross_zone: f64,
    /// Share of the requests that succeeded, 0 to 1.
    succeeded: f64,
}

/// Path of the agent's binary, which is in the parent of the directory of the examples.
fn agent_binary() -> PathBuf {
    let example = std::env::current_exe().unwrap_or_default();
    let profile = example.ancestors().nth(2).map(PathBuf::from);
    profile.unwrap_or_default().join("tulipwall-agent")
}

fn start_cluster() -> io::Result<TestCluster> {
    let cluster = TestCluster::new(&ZONES, classes())?;
    for n in 0..ENDPOINTS_PER_ZONE {
        for (zone, name) in ZONES.iter().enumerate() {
            let behavior = EndpointBehavior {
                work: WORK,
                cores: CORES,
                ..EndpointBehavior::default()
            };
            cluster.add_endpoint(zone, &format!("{name}-{n}"), BUILD, behavior)?;
        }
    }
    let link = Link {
        request_delay: DELAY,
        reply_delay: DELAY,
        cut: false,
    };
    cluster.set_link(0, 1, link);
    Ok(cluster)
}

fn run_on_sockets(rate: f64) -> io::Result<Row> {
    let cluster = start_cluster()?;
    let agent = AgentProcess::start(agent_binary(), cluster.configuration("n1", 0)?, &[])?;
    TestClient::connect(agent.address()?)?;
    let classes = [
        ("view", 0.5, false),
        ("send", 0.4, true),
        ("payment", 0.1, false),
    ];
    let load = Load {
        agent: agent.address()?,
        rate,
        duration: Duration::from_secs(SECONDS),
        classes: classes
            .map(|(name, weight, keyed)| (name.to_owned(), weight, DEADLINE, keyed))
            .to_vec(),
        connections: CONNECTIONS,
        seed: SEED,
    };
    let report = load.run();
    let attempts = |zone| {
        let counts = cluster.transfer_counts(0, zone);
        counts.values().map(|c| c.attempts).sum::<u64>() as f64
    };
    let remote = attempts(1);
    Ok(Row {
        p50_ms: report.quantile_ms(0.5),
        p99_ms: report.quantile_ms(0.99),
        cross_zone: remote / (attempts(0) + remote).max(1.0),
        succeeded: report.succeeded as f64 / report.requests.max(1) as f64,
    })
}

fn run_simulated(rate: f64) -> Row {
    let text = format!(
        "experiment \"beside\" {{
            span \"{SECONDS}s\"; rate {rate}; agents 1; steady 1
            zone \"east\" {{ appliances {ENDPOINTS_PER_ZONE}; cores {CORES}; }}
            zone \"west\" {{ appliances {ENDPOINTS_PER_ZONE}; cores {CORES}; }}
            way \"east\" \"west\" {{ delay \"2ms\"; }}
            way \"west\" \"east\" {{ delay \"2ms\"; }}
            lane \"view\" {{ work \"10ms\"; weight 0.5; benefit 3; }}
            lane \"send\" {{ work \"10ms\"; weight 0.4; benefit 3; repeats \"deduplicated\"; }}
            lane \"payment\" {{ work \"10ms\"; weight 0.1; benefit 9; repeats \"unrepeatable\"; }}
        }}"
    );
    let scenario = Scenario::read(&text).unwrap_or_else(|all| panic!("{all:?}"));
    let mut simulation = run::build_simulation(&scenario, SEED);
    // The settings of the test cluster put no price on cross-zone traffic.
    simulation.settings.cross_zone_price = 0.0;
    let report = simulation.run();
    Row {
        p50_ms: report.quantile_ms(0.5),
        p99_ms: report.quantile_ms(0.99),
        cross_zone: report.cross_zone_share(),
        succeeded: report.succeeded as f64 / report.requests.max(1) as f64,
    }
}

fn print_row(rate: f64, place: &str, row: &Row) {
    let cores = (ZONES.len() * ENDPOINTS_PER_ZONE * CORES) as f64;
    let utilization = rate / cores * WORK.as_secs_f64();
    println!(
        "| {rate} | {utilization:.2} | {place} | {:.1} | {:.1} | {:.3} | {:.4} |",
        row.p50_ms, row.p99_ms, row.cross_zone, row.succeeded
    );
}

fn main() -> io::Result<()> {
    println!("| commands/s | of capacity | where | p50 ms | p99 ms | crossing | satisfied |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for rate in RATES {
        print_row(rate, "sockets", &run_on_sockets(rate)?);
        print_row(rate, "model", &run_simulated(rate));
    }
    Ok(())
}
