//! What a change of settings takes at one agent, by number of tenants and of listed endpoints: by
//! SIGHUP, or by a restart, with requests in hand. Time until a client is answered under the new
//! settings, the agent's processor time, and what discovery and the platform are asked for it.
//!
//!     cargo run --release -p tulipwall-testkit --example renewal -- AGENT hup|restart|signal|idle TENANTS ENDPOINTS TIMES [WORK_MS]
//!
//! `signal` does not wait until it is in force, `idle` changes nothing: the load's own part of the
//! processor time.

use serde_json::{json, Value};
use std::error::Error;
use std::thread::sleep;
use std::time::{Duration, Instant};
use tulipwall_testkit::*;

const USAGE: &str = "AGENT hup|restart|signal|idle TENANTS ENDPOINTS TIMES [WORK_MS] are wanted";
/// Endpoints that run; they stand for all that are listed.
const REAL_ENDPOINTS: usize = 10;
/// Requests a second while the settings change.
const LOAD_RATE: f64 = 143.0;
/// Time for the load to settle before the first change.
const WARM_UP: Duration = Duration::from_secs(2);
/// The span over which processor time is taken for each change.
const MEASURED: Duration = Duration::from_millis(1500);
/// Time between two changes.
const PAUSE: Duration = Duration::from_millis(500);
/// How long a change may take.
const MAX_CHANGE: Duration = Duration::from_secs(30);
/// Linux counts processor time in ticks of this length.
const TICK_MS: u64 = 10;
/// The code of a faulty statement: the class is not known.
const UNKNOWN_CLASS: &str = "42601";

type Result<T> = std::result::Result<T, Box<dyn Error>>;

struct Arguments {
    binary: String,
    way: String,
    tenants: usize,
    endpoints: usize,
    times: usize,
    work: Duration,
}

impl Arguments {
    fn parse() -> Result<Arguments> {
        let arguments: Vec<String> = std::env::args().skip(1).collect();
        let (required, optional) = arguments.split_at(arguments.len().min(5));
        let [binary, way, tenants, endpoints, times] = required else {
            return Err(USAGE.into());
        };
        let work_ms = optional.first().map_or(Ok(20), |ms| ms.parse())?;
        Ok(Arguments {
            binary: binary.clone(),
            way: way.clone(),
            tenants: tenants.parse()?,
            endpoints: endpoints.parse()?,
            times: times.parse()?,
            work: Duration::from_millis(work_ms),
        })
    }

    fn waits_until_in_force(&self) -> bool {
        self.way == "hup" || self.way == "restart"
    }
}

/// So many tenants, named from this number on.
fn tenants(first: usize, count: usize) -> Value {
    let share = 1.0 / count.max(1) as f64;
    (first..first + count)
        .map(|n| json!({"name": format!("tenant-{n}"), "share": share}))
        .collect()
}

/// Processor time of a process so far.
fn processor_time(id: u32) -> Duration {
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

/// KiB, of now and at most.
fn memory(id: u32) -> (u64, u64) {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let of = |key: &str| {
        let line = status.lines().find_map(|l| l.strip_prefix(key))?;
        line.trim().strip_suffix(" kB")?.trim().parse().ok()
    };
    (of("VmRSS:").unwrap_or(0), of("VmHWM:").unwrap_or(0))
}

/// A cluster that lists so many endpoints, some of which run.
fn start_cluster(arguments: &Arguments) -> Result<TestCluster> {
    let cluster = TestCluster::new(&["a"], agent_process::classes())?;
    let real = arguments.endpoints.min(REAL_ENDPOINTS);
    for n in 0..real {
        let behavior = EndpointBehavior {
            work: arguments.work,
            fixed_work_share: 0.3,
            ..EndpointBehavior::default()
        };
        cluster.add_endpoint(0, &format!("s-{n}"), 41, behavior)?;
    }
    let entries = cluster.discovery.entries();
    let more = (real..arguments.endpoints).map(|n| Entry {
        id: format!("more-{n}"),
        ..entries[n % real].clone()
    });
    cluster.discovery.update(more);
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

/// What discovery and the platform have been asked so far.
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

/// The agent under measurement, with a client of its own.
struct Measured {
    agent: AgentProcess,
    client: TestClient,
    configuration: Value,
}

/// What one change took.
struct Change {
    seconds: f64,
    processor_seconds: f64,
}

impl Measured {
    fn start(binary: &str, configuration: Value) -> Result<Measured> {
        let agent = AgentProcess::start(binary, configuration.clone(), &[])?;
        let client = TestClient::connect(agent.address()?)?;
        Ok(Measured {
            agent,
            client,
            configuration,
        })
    }

    /// Changes tenants and adds a class; how long that took until it was in force.
    fn change(&mut self, arguments: &Arguments, n: usize) -> Result<Change> {
        let class = format!("extra-{n}");
        self.edit_configuration(&class, n, arguments.tenants)?;
        let begun = Instant::now();
        let mut spent = processor_time(self.agent.id());
        match arguments.way.as_str() {
            "hup" | "signal" => self.agent.reload(&self.configuration.to_string())?,
            "idle" => {}
            _ => {
                self.restart(&arguments.binary)?;
                spent = Duration::ZERO;
            }
        }
        if arguments.waits_until_in_force() {
            self.wait_for_class(&class, n, begun)?;
        }
        let seconds = begun.elapsed().as_secs_f64();
        // The same span for each, so that the load's own part can be taken off by `idle`.
        sleep(MEASURED.saturating_sub(begun.elapsed()));
        let used = processor_time(self.agent.id()).saturating_sub(spent);
        Ok(Change {
            seconds,
            processor_seconds: used.as_secs_f64(),
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
        *self = Measured::start(binary, self.configuration.clone())?;
        Ok(())
    }

    /// A class that is not known is a fault of the statement; a rejection is no such thing.
    fn wait_for_class(&mut self, class: &str, n: usize, begun: Instant) -> Result<()> {
        for i in 0.. {
            self.client.send_query_as(&format!("n{n}-{i}"), class, 1000);
            let code = self.client.read_reply()?.code();
            if code.as_deref() != Some(UNKNOWN_CLASS) || begun.elapsed() > MAX_CHANGE {
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
    let mut measured = Measured::start(&arguments.binary, configuration)?;
    let load = start_load(&measured.agent)?;
    sleep(WARM_UP);
    let before = control_traffic(&cluster);
    let mut changes = Vec::new();
    for n in 1..=arguments.times {
        changes.push(measured.change(&arguments, n)?);
        sleep(PAUSE);
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
    (now, most): (u64, u64),
) {
    let mut seconds: Vec<f64> = changes.iter().map(|change| change.seconds).collect();
    seconds.sort_by(f64::total_cmp);
    let used: f64 = changes.iter().map(|change| change.processor_seconds).sum();
    let times = arguments.times as f64;
    let each = |after: usize, before: usize| (after - before) as f64 / times;
    println!(
        "{}: tenants {} endpoints {}: in force after {:.3} s (median), {:.3} s at most; \
         {:.3} s of processor in each 1.5 s; each time whole lists {:.2} discovery connections {:.2} platform \
         connections {:.2} bytes {:.0}; {now} KiB now, {most} at most",
        arguments.way,
        arguments.tenants,
        arguments.endpoints,
        seconds[seconds.len() / 2],
        seconds[seconds.len() - 1],
        used / times,
        each(after.full_lists, before.full_lists),
        each(after.discovery_connections, before.discovery_connections),
        each(after.platform_connections, before.platform_connections),
        each(after.discovery_bytes, before.discovery_bytes),
    );
}
