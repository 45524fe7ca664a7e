//! Measures what a start costs while discovery is down: the requests that are served and rejected,
//! how long a rejection takes, the agent's CPU time and calls, and the time from discovery's return
//! to the first value. An outage of 0 s is a usual start.
//!
//!     cargo run --release -p tulipwall-testkit --example start_in_outage -- AGENT pushed|polled silent|closed TIMES OUTAGE_S...
//!
//! One endpoint of three drains shortly before the outage; the configured list does not show it.

use serde_json::Value;
use std::error::Error;
use std::io::Write;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};
use tulipwall_testkit::*;

const USAGE: &str = "expected arguments: AGENT pushed|polled silent|closed TIMES OUTAGE_S...";
/// Number of clients, each with one request at a time.
const CLIENTS: usize = 10;
/// Pause of a client after each response.
const PAUSE: Duration = Duration::from_millis(20);
/// Deadline of the requests, in milliseconds.
const DEADLINE_MS: u32 = 1500;
/// Time for which clients go on after discovery's return.
const TIME_AFTER_RETURN: Duration = Duration::from_secs(4);
/// Length of the ticks in which Linux reports CPU time, in milliseconds.
const TICK_MS: u64 = 10;

type Result<T> = std::result::Result<T, Box<dyn Error + Send + Sync>>;

struct Arguments {
    binary: String,
    is_polled: bool,
    outage: DiscoveryBehavior,
    times: usize,
    outage_seconds: Vec<u64>,
}

impl Arguments {
    fn parse() -> Result<Arguments> {
        let arguments: Vec<String> = std::env::args().skip(1).collect();
        let [binary, mode, outage, times, outage_seconds @ ..] = &arguments[..] else {
            return Err(USAGE.into());
        };
        let outage_seconds: std::result::Result<Vec<u64>, _> =
            outage_seconds.iter().map(|text| text.parse()).collect();
        Ok(Arguments {
            binary: binary.clone(),
            is_polled: mode == "polled",
            outage: match outage.as_str() {
                "silent" => DiscoveryBehavior::Unresponsive,
                "closed" => DiscoveryBehavior::ClosesConnections,
                _ => return Err(USAGE.into()),
            },
            times: times.parse()?,
            outage_seconds: outage_seconds?,
        })
    }
}

/// What one start cost.
#[derive(Default)]
struct Cost {
    served_in_outage: usize,
    rejected_in_outage: usize,
    to_draining_endpoint: usize,
    longest_rejection: Duration,
    calls_in_outage: usize,
    cpu_in_outage: Duration,
    first_value: Duration,
}

/// A response that a client got.
struct Response {
    sent_at: Instant,
    ended_at: Instant,
    is_value: bool,
}

/// Returns the CPU time that a process has used so far.
fn cpu_time(id: u32) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields = stat.rsplit_once(") ").map_or("", |(_, fields)| fields);
    let ticks = fields.split(' ').skip(11).take(2);
    let ticks: u64 = ticks.filter_map(|t| t.parse::<u64>().ok()).sum();
    Duration::from_millis(ticks * TICK_MS)
}

fn configuration(cluster: &TestCluster, is_polled: bool) -> Result<Value> {
    let mut configuration = cluster.configuration("n1", 0)?;
    if is_polled {
        configuration["settings"]["discovery"] = "ask".into();
        configuration["settings"]["rules"]["must-ask-in-ms"] = 10_000.0.into();
    }
    Ok(configuration)
}

/// Connects without waiting until the agent is ready.
fn connect(agent: &AgentProcess) -> Result<TestClient> {
    let address = agent.address()?;
    let mut stream = None;
    runtime::wait_until(|| {
        stream = TcpStream::connect(address).ok();
        stream.is_some()
    });
    let mut stream = stream.ok_or("the agent does not listen")?;
    stream.set_nodelay(true)?;
    stream.write_all(&pg::startup())?;
    let mut client = TestClient { stream };
    client.read_until_ready()?;
    Ok(client)
}

fn run_client(agent: &AgentProcess, until: Instant) -> Result<Vec<Response>> {
    let mut client = connect(agent)?;
    let mut responses = Vec::new();
    while Instant::now() < until {
        let sent_at = Instant::now();
        client.send_query("view", DEADLINE_MS);
        let is_value = client.read_reply()?.code().is_none();
        responses.push(Response {
            sent_at,
            ended_at: Instant::now(),
            is_value,
        });
        sleep(PAUSE);
    }
    Ok(responses)
}

fn measure(arguments: &Arguments, outage: Duration) -> Result<Cost> {
    let cluster = TestCluster::new(&["a"], agent_process::classes())?;
    for id in ["s-0", "s-1", "s-2"] {
        cluster.add_endpoint(0, id, 41, EndpointBehavior::default())?;
    }
    let configuration = configuration(&cluster, arguments.is_polled)?;
    cluster
        .discovery
        .update_entry("s-0", |entry| entry.state = "terminating".into());
    if !outage.is_zero() {
        cluster.discovery.set_behavior(arguments.outage.clone());
    }
    let begun = Instant::now();
    let agent = AgentProcess::start(&arguments.binary, configuration, &[])?;
    let returned = begun + outage;
    let until = returned + TIME_AFTER_RETURN;
    let mut cost = Cost::default();
    let responses = std::thread::scope(|scope| -> Result<Vec<Response>> {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| scope.spawn(|| run_client(&agent, until)))
            .collect();
        sleep(returned.saturating_duration_since(Instant::now()));
        cost.calls_in_outage = cluster.discovery.connections();
        cost.cpu_in_outage = cpu_time(agent.id());
        if !outage.is_zero() {
            cluster.discovery.set_behavior(DiscoveryBehavior::Normal);
        }
        let mut responses = Vec::new();
        for client in clients {
            responses.extend(client.join().map_err(|_| "a client panicked")??);
        }
        Ok(responses)
    })?;
    for response in &responses {
        if !response.is_value {
            let duration = response.ended_at - response.sent_at;
            cost.longest_rejection = cost.longest_rejection.max(duration);
        }
        if response.ended_at < returned {
            cost.served_in_outage += usize::from(response.is_value);
            cost.rejected_in_outage += usize::from(!response.is_value);
        }
    }
    let values = responses.iter().filter(|response| response.is_value);
    let first_value = values
        .map(|value| value.ended_at)
        .filter(|at| *at >= returned)
        .min();
    cost.first_value = first_value.ok_or("nothing was served")? - returned;
    let draining = cluster.endpoint("s-0").ok_or("no endpoint s-0")?;
    cost.to_draining_endpoint = draining.received_queries().len();
    Ok(cost)
}

fn main() -> Result<()> {
    let arguments = Arguments::parse()?;
    println!("| outage | served | rejected | to the draining endpoint | longest rejection, ms | connections to discovery | CPU, ms | first value after the return, ms |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for seconds in &arguments.outage_seconds {
        for _ in 0..arguments.times {
            let cost = measure(&arguments, Duration::from_secs(*seconds))?;
            println!(
                "| {seconds} s | {} | {} | {} | {} | {} | {} | {} |",
                cost.served_in_outage,
                cost.rejected_in_outage,
                cost.to_draining_endpoint,
                cost.longest_rejection.as_millis(),
                cost.calls_in_outage,
                cost.cpu_in_outage.as_millis(),
                cost.first_value.as_millis(),
            );
        }
    }
    Ok(())
}
