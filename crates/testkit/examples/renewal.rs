//! Measures the cost of a settings change at one agent under load, by number of tenants and of
//! listed endpoints, applied by SIGHUP or by a restart: the time until a client is answered under
//! the new settings, the agent's CPU time, and the traffic to discovery and the platform.
//!
//!     cargo run --release -p tulipwall-testkit --example renewal -- AGENT hup|restart|signal|idle TENANTS ENDPOINTS TIMES [WORK_MS]
//!
//! `signal` sends SIGHUP without waiting until the change is in force. `idle` changes nothing,
//! which gives the CPU time used by the load alone.

use serde_json::{json, Value};
use std::error::Error;
use std::thread::sleep;
use std::time::{Duration, Instant};
use tulipwall_testkit::*;

const USAGE: &str =
    "expected arguments: AGENT hup|restart|signal|idle TENANTS ENDPOINTS TIMES [WORK_MS]";
/// Upper limit on endpoints that really run. Further listed endpoints share their addresses.
const RUNNING_ENDPOINTS: usize = 10;
/// Requests per second while the settings change.
const LOAD_RATE: f64 = 143.0;
/// Time for the load to become steady before the first change.
const WARM_UP: Duration = Duration::from_secs(2);
/// Time over which CPU time is measured for each change.
const MEASUREMENT_TIME: Duration = Duration::from_millis(1500);
/// Time between two changes.
const TIME_BETWEEN_CHANGES: Duration = Duration::from_millis(500);
/// Time after which a change is no longer waited for.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);
/// Length of the ticks in which Linux reports CPU time, in milliseconds.
const TICK_MS: u64 = 10;
/// The SQLSTATE code of a statement with an unknown class.
const UNKNOWN_CLASS: &str = "42601";

type Result<T> = std::result::Result<T, Box<dyn Error>>;

struct Arguments {
    binary: String,
    mode: String,
    tenants: usize,
    endpoints: usize,
    change_count: usize,
    work: Duration,
}

impl Arguments {
    fn parse() -> Result<Arguments> {
        let arguments: Vec<String> = std::env::args().skip(1).collect();
        let (required, optional) = arguments.split_at(arguments.len().min(5));
        let [binary, mode, tenants, endpoints, change_count] = required else {
            return Err(USAGE.into());
        };
        let work_ms = optional.first().map_or(Ok(20), |ms| ms.parse())?;
        Ok(Arguments {
            binary: binary.clone(),
            mode: mode.clone(),
            tenants: tenants.parse()?,
            endpoints: endpoints.parse()?,
            change_count: change_count.parse()?,
            work: Duration::from_millis(work_ms),
        })
    }

    fn waits_until_in_force(&self) -> bool {
        self.mode == "hup" || self.mode == "restart"
    }
}

/// Returns `count` tenants with equal shares, numbered from `first`.
fn tenants(first: usize, count: usize) -> Value {
    let share = 1.0 / count.max(1) as f64;
    (first..first + count)
        .map(|n| json!({"name": format!("tenant-{n}"), "share": share}))
        .collect()
}

/// Returns the CPU time that a process has used so far.
fn cpu_time(id: u32) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat
        .rsplit_once(") ")
        .map_or("", |s| s.1)
        .split(' ')
        .collect();
    let ticks: u64 = [11, 12]
        .iter()
        .filter_map(|n| fields.get(*n)?.parse::<u64>().ok())
        .sum();
    Duration::from_millis(ticks * TICK_MS)
}

/// Returns the current and the peak resident memory of a process in KiB.
fn memory(id: u32) -> (u64, u64) {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let of = |key: &str| {
        let line = status.lines().find_map(|l| l.strip_prefix(key))?;
        line.trim().strip_suffix(" kB")?.trim().parse().ok()
    };
    (of("VmRSS:").unwrap_or(0), of("VmHWM:").unwrap_or(0))
}

/// Starts a cluster that lists the requested number of endpoints, of which at most
/// [`RUNNING_ENDPOINTS`] run.
fn start_cluster(arguments: &Arguments) -> Result<TestCluster> {
    let cluster = TestCluster::new(&["a"], agent_process::classes())?;
    let running = arguments.endpoints.min(RUNNING_ENDPOINTS);
    for n in 0..running {
        let behavior = EndpointBehavior {
            work: arguments.work,
            fixed_work_share: 0.3,
            ..EndpointBehavior::default()
        };
        cluster.add_endpoint(0, &format!("s-{n}"), 41, behavior)?;
    }
    let entries = cluster.discovery.entries();
    let duplicates = (running..arguments.endpoints).map(|n| Entry {
        id: format!("more-{n}"),
        ..entries[n % running].clone()
    });
    cluster.discovery.update(duplicates);
    Ok(cluster)
}

fn start_load(agent: &AgentProcess) -> Result<impl Sized> {
    let class =
        |name: &str, weight, keyed| (name.to_owned(), weight, Duration::from_millis(1500), keyed);
    let load = Load {
        agent: agent.address()?,
        rate: LOAD_RATE,
        duration: Duration::from_secs(3600),
        classes: vec![
            class("view", 4.0, false),
            class("send", 4.0, true),
            class("payment", 2.0, false),
        ],
        connections: 64,
        seed: 5,
    };
    Ok(load.start())
}

/// Traffic to discovery and the platform so far.
struct ControlTraffic {
    full_lists: usize,
    discovery_connections: usize,
    discovery_bytes: usize,
    platform_connections: usize,
}

fn control_traffic(cluster: &TestCluster) -> ControlTraffic {
    let discovery = &cluster.discovery;
    ControlTraffic {
        full_lists: discovery.full_list_requests(),
        discovery_connections: discovery.connections(),
        discovery_bytes: discovery.bytes_written(),
        platform_connections: cluster.platform.connections(),
    }
}

/// The measured agent, with a client that checks for the new settings.
struct MeasuredAgent {
    agent: AgentProcess,
    client: TestClient,
    configuration: Value,
}

/// The cost of one change.
struct Change {
    seconds: f64,
    cpu_seconds: f64,
}

impl MeasuredAgent {
    fn start(binary: &str, configuration: Value) -> Result<MeasuredAgent> {
        let agent = AgentProcess::start(binary, configuration.clone(), &[])?;
        let client = TestClient::connect(agent.address()?)?;
        Ok(MeasuredAgent {
            agent,
            client,
            configuration,
        })
    }

    /// Replaces the tenants, adds a class, and measures how long it takes until the change is in
    /// force.
    fn change(&mut self, arguments: &Arguments, n: usize) -> Result<Change> {
        let class = format!("extra-{n}");
        self.edit_configuration(&class, n, arguments.tenants)?;
        let started = Instant::now();
        let mut cpu_before = cpu_time(self.agent.id());
        match arguments.mode.as_str() {
            "hup" | "signal" => self.agent.reload(&self.configuration.to_string())?,
            "idle" => {}
            _ => {
                self.restart(&arguments.binary)?;
                cpu_before = Duration::ZERO;
            }
        }
        if arguments.waits_until_in_force() {
            self.wait_for_class(&class, n, started)?;
        }
        let seconds = started.elapsed().as_secs_f64();
        // All changes use the same time span, so that the CPU time of `idle` can be subtracted.
        sleep(MEASUREMENT_TIME.saturating_sub(started.elapsed()));
        let cpu_used = cpu_time(self.agent.id()).saturating_sub(cpu_before);
        Ok(Change {
            seconds,
            cpu_seconds: cpu_used.as_secs_f64(),
        })
    }

    fn edit_configuration(&mut self, class: &str, first: usize, count: usize) -> Result<()> {
        let settings = &mut self.configuration["settings"];
        settings["tenants"] = tenants(first, count);
        let extra = json!({"name": class, "aim-ms": 400.0, "give-up-ms": 1500.0,
            "idempotency": "repeatable", "points": 3.0});
        let classes = settings["classes"].as_array_mut().ok_or("classes")?;
        classes.push(extra);
        Ok(())
    }

    fn restart(&mut self, binary: &str) -> Result<()> {
        self.agent.terminate()?;
        self.agent.wait_for_success()?;
        *self = MeasuredAgent::start(binary, self.configuration.clone())?;
        Ok(())
    }

    /// Sends queries of a class until the agent knows it. An unknown class gives a statement error;
    /// any other reply, a rejection included, shows that the class is known.
    fn wait_for_class(&mut self, class: &str, n: usize, started: Instant) -> Result<()> {
        for i in 0.. {
            self.client.send_query_as(&format!("n{n}-{i}"), class, 1000);
            let code = self.client.read_reply()?.code();
            if code.as_deref() != Some(UNKNOWN_CLASS) || started.elapsed() > CHANGE_TIMEOUT {
                break;
            }
            sleep(Duration::from_millis(2));
        }
        Ok(())
    }
}

fn main() -> Result<()> {
    let arguments = Arguments::parse()?;
    let cluster = start_cluster(&arguments)?;
    let mut configuration = cluster.configuration("n1", 0)?;
    configuration["settings"]["tenants"] = tenants(0, arguments.tenants);
    let mut measured = MeasuredAgent::start(&arguments.binary, configuration)?;
    let load = start_load(&measured.agent)?;
    sleep(WARM_UP);
    let before = control_traffic(&cluster);
    let mut changes = Vec::new();
    for n in 1..=arguments.change_count {
        changes.push(measured.change(&arguments, n)?);
        sleep(TIME_BETWEEN_CHANGES);
    }
    let after = control_traffic(&cluster);
    print(
        &arguments,
        &changes,
        [before, after],
        memory(measured.agent.id()),
    );
    drop(load);
    Ok(())
}

fn print(
    arguments: &Arguments,
    changes: &[Change],
    [before, after]: [ControlTraffic; 2],
    (now, peak): (u64, u64),
) {
    let mut seconds: Vec<f64> = changes.iter().map(|change| change.seconds).collect();
    seconds.sort_by(f64::total_cmp);
    let cpu_used: f64 = changes.iter().map(|change| change.cpu_seconds).sum();
    let change_count = arguments.change_count as f64;
    let each = |after: usize, before: usize| (after - before) as f64 / change_count;
    println!(
        "{}: tenants {} endpoints {}: in force after {:.3} s (median), {:.3} s at most; \
         {:.3} s of processor in each 1.5 s; each time whole lists {:.2} discovery connections {:.2} platform \
         connections {:.2} bytes {:.0}; {now} KiB now, {peak} at most",
        arguments.mode,
        arguments.tenants,
        arguments.endpoints,
        seconds[seconds.len() / 2],
        seconds[seconds.len() - 1],
        cpu_used / change_count,
        each(after.full_lists, before.full_lists),
        each(after.discovery_connections, before.discovery_connections),
        each(after.platform_connections, before.platform_connections),
        each(after.discovery_bytes, before.discovery_bytes),
    );
}
