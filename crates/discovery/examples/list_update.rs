//! Measures how long it takes to apply endpoint lists of several sizes, separately for parsing, the
//! endpoint table and the balancer. It uses the agent's allocator.
//!
//!     cargo run --release -p tulipwall-discovery --example list_update

use mimalloc::MiMalloc;
use serde_json::{json, Value};
use std::error::Error;
use std::time::{Duration, Instant};
use tulipwall::Balancer;
use tulipwall_config::{Fields, ServiceConfig};
use tulipwall_discovery::clock::Clock;
use tulipwall_discovery::endpoint_table::EndpointTable;
use tulipwall_discovery::list_response::ListResponse;
use tulipwall_testkit::agent_process;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// The numbers of endpoints for which the lists are measured.
const SIZES: [usize; 3] = [770, 7_700, 30_000];
/// How often each measurement is run; the shortest time is printed.
const RUNS: usize = 7;
/// The number of entries that differ in a small change.
const CHANGED: usize = 100;

/// One list that is applied, and its name in the output.
struct Step {
    name: &'static str,
    complete: bool,
    servers: Vec<Value>,
}

/// How long each part of applying a list took.
#[derive(Clone, Copy)]
struct Times {
    parse: Duration,
    table: Duration,
    balancer: Duration,
}

impl Times {
    const LONGEST: Times = Times {
        parse: Duration::MAX,
        table: Duration::MAX,
        balancer: Duration::MAX,
    };

    fn shorter(self, other: Times) -> Times {
        Times {
            parse: self.parse.min(other.parse),
            table: self.table.min(other.table),
            balancer: self.balancer.min(other.balancer),
        }
    }
}

fn entry(prefix: &str, n: usize, build: u32) -> Value {
    json!({"id": format!("{prefix}-{n:08x}"), "addr": format!("10.{}.{}.1:6543", n / 256, n % 256),
        "zone": "a", "kind": "m2", "cell": n % 5, "state": "in_service", "weight": 1.0,
        "started_ms": 0, "release": build})
}

fn fleet(prefix: &str, endpoints: usize, updated: usize) -> Vec<Value> {
    let build = |n| if n < updated { 42 } else { 41 };
    (0..endpoints).map(|n| entry(prefix, n, build(n))).collect()
}

fn steps(endpoints: usize) -> Vec<Step> {
    let step = |name, complete, servers| Step {
        name,
        complete,
        servers,
    };
    vec![
        step("first list", true, fleet("s", endpoints, 0)),
        step("the same list", true, fleet("s", endpoints, 0)),
        step(
            "100 differ in a whole list",
            true,
            fleet("s", endpoints, CHANGED),
        ),
        step("a change of 1", false, fleet("s", 1, 0)),
        step("a change of 100", false, fleet("s", CHANGED, 0)),
        step("an empty list", true, Vec::new()),
        step("all back", true, fleet("s", endpoints, 0)),
        step("an empty list again", true, Vec::new()),
        step("all under new names", true, fleet("r", endpoints, 0)),
    ]
}

fn service() -> Result<ServiceConfig, Box<dyn Error>> {
    let value = agent_process::settings(&["a"], "a", 770, &agent_process::classes());
    Ok(ServiceConfig::read(&Fields::new(&value, "settings")?, 1)?)
}

/// Applies the lists one after another and returns the times of each.
fn run(service: &ServiceConfig, bodies: &[Vec<u8>]) -> Result<Vec<Times>, Box<dyn Error>> {
    let clock = Clock::start();
    let mut table = EndpointTable::default();
    let mut balancer = Balancer::new(clock.now(), service.settings.clone());
    let mut times = Vec::new();
    for body in bodies {
        let started_at = Instant::now();
        let response = ListResponse::parse(body)?;
        let parse = started_at.elapsed();
        let started_at = Instant::now();
        let changes = table.apply(response, service, &clock).into_changes();
        let table_time = started_at.elapsed();
        let started_at = Instant::now();
        balancer.update_endpoints(clock.now(), &changes, false);
        times.push(Times {
            parse,
            table: table_time,
            balancer: started_at.elapsed(),
        });
    }
    Ok(times)
}

fn main() -> Result<(), Box<dyn Error>> {
    let service = service()?;
    println!("shortest of {RUNS} runs, in ms");
    println!("endpoints  parse   table   balancer  list");
    for endpoints in SIZES {
        let steps = steps(endpoints);
        let body = |step: &Step| {
            json!({"version": 1, "full": step.complete, "servers": step.servers})
                .to_string()
                .into_bytes()
        };
        let bodies: Vec<Vec<u8>> = steps.iter().map(body).collect();
        let mut shortest = vec![Times::LONGEST; steps.len()];
        for _ in 0..RUNS {
            let times = run(&service, &bodies)?;
            for (best, time) in shortest.iter_mut().zip(times) {
                *best = best.shorter(time);
            }
        }
        for (step, times) in steps.iter().zip(&shortest) {
            let ms = |time: Duration| time.as_secs_f64() * 1000.0;
            println!(
                "{endpoints:9}  {:6.3}  {:6.3}  {:6.3}    {}",
                ms(times.parse),
                ms(times.table),
                ms(times.balancer),
                step.name
            );
        }
    }
    Ok(())
}
