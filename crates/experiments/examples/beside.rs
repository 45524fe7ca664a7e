//! The same small installation in the model and on real sockets, side by side: the real agent,
//! fakes on loopback.
//!
//!     cargo build --release && cargo run --release -p tulipwall-experiments --example beside

use std::path::{Path, PathBuf};
use std::time::Duration;
use tulipwall_experiments::run;
use tulipwall_experiments::scenario::Scenario;
use tulipwall_testkit::{
    classes, AgentProcess, EndpointBehavior, Link, Load, TestClient, TestCluster,
};

const EACH: usize = 3;
const CORES: usize = 2;
const SECONDS: u64 = 15;

fn agent_binary() -> PathBuf {
    let here = std::env::current_exe().unwrap_or_default();
    here.ancestors()
        .nth(2)
        .unwrap_or(Path::new("."))
        .join("tulipwall-agent")
}

/// p50, p99, the part that crossed, the part satisfied.
type Row = [f64; 4];

fn sockets(rate: f64) -> std::io::Result<Row> {
    let world = TestCluster::new(&["east", "west"], classes())?;
    for n in 0..EACH {
        for (zone, name) in ["east", "west"].iter().enumerate() {
            let ways = EndpointBehavior {
                work: Duration::from_millis(10),
                cores: CORES,
                ..EndpointBehavior::default()
            };
            world.add_endpoint(zone, &format!("{name}-{n}"), 41, ways)?;
        }
    }
    let way = Duration::from_millis(2);
    world.set_link(
        0,
        1,
        Link {
            request_delay: way,
            reply_delay: way,
            cut: false,
        },
    );
    let agent = AgentProcess::start(agent_binary(), world.configuration("n1", 0)?, &[])?;
    TestClient::connect(agent.address()?)?;
    let wait = Duration::from_millis(1500);
    let load = Load {
        agent: agent.address()?,
        rate,
        duration: Duration::from_secs(SECONDS),
        classes: [
            ("view", 0.5, false),
            ("send", 0.4, true),
            ("payment", 0.1, false),
        ]
        .map(|(name, weight, keyed)| (name.to_owned(), weight, wait, keyed))
        .to_vec(),
        connections: 200,
        seed: 1,
    };
    let answered = load.run();
    let count = |to| {
        world
            .transfer_counts(0, to)
            .values()
            .map(|c| c.attempts)
            .sum::<u64>() as f64
    };
    let crossing = count(1) / (count(0) + count(1)).max(1.0);
    let good = answered.succeeded as f64 / answered.requests.max(1) as f64;
    Ok([
        answered.quantile_ms(0.5),
        answered.quantile_ms(0.99),
        crossing,
        good,
    ])
}

fn model(rate: f64) -> Row {
    let text = format!(
        "experiment \"beside\" {{
            span \"{SECONDS}s\"; rate {rate}; agents 1; steady 1
            zone \"east\" {{ appliances {EACH}; cores {CORES}; }}
            zone \"west\" {{ appliances {EACH}; cores {CORES}; }}
            way \"east\" \"west\" {{ delay \"2ms\"; }}
            way \"west\" \"east\" {{ delay \"2ms\"; }}
            lane \"view\" {{ work \"10ms\"; weight 0.5; benefit 3; }}
            lane \"send\" {{ work \"10ms\"; weight 0.4; benefit 3; repeats \"deduplicated\"; }}
            lane \"payment\" {{ work \"10ms\"; weight 0.1; benefit 9; repeats \"unrepeatable\"; }}
        }}"
    );
    let scenario = Scenario::read(&text).unwrap_or_else(|all| panic!("{all:?}"));
    let mut simulation = run::build_simulation(&scenario, 1);
    // As the settings of the fakes say: crossing has no price.
    simulation.settings.cross_zone_price = 0.0;
    let p = simulation.run();
    [
        p.quantile_ms(0.5),
        p.quantile_ms(0.99),
        p.cross_zone_share(),
        p.succeeded as f64 / p.requests.max(1) as f64,
    ]
}

fn main() -> std::io::Result<()> {
    println!("| commands/s | of capacity | where | p50 ms | p99 ms | crossing | satisfied |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for rate in [120.0, 480.0, 840.0, 1080.0] {
        let load = rate / (2 * EACH * CORES) as f64 * 0.01;
        for (name, row) in [("sockets", sockets(rate)?), ("model", model(rate))] {
            let [p50, p99, crossing, good] = row;
            println!(
                "| {rate} | {load:.2} | {name} | {p50:.1} | {p99:.1} | {crossing:.3} | {good:.4} |"
            );
        }
    }
    Ok(())
}
