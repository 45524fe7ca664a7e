//! An installation of fakes with real agents before it.

use super::error::FleetError;
use super::plan::Size;
use super::process::{usage, Usage};
use super::proxy::CountingProxy;
use super::timed_endpoint::TimedEndpoint;
use serde_json::{json, Value};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};
use tulipwall_testkit::platform::RolloutStatus;
use tulipwall_testkit::{
    agent_process, AgentProcess, Discovery, Endpoint, EndpointBehavior, Entry, Platform,
    RequestClass, TestClient,
};

/// Entries of the endpoint list share so many listeners, one after another.
pub const LISTENERS: usize = 16;
/// How long anything that must come is waited for.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Between looks at something that is waited for.
const POLL_INTERVAL: Duration = Duration::from_micros(500);
/// Build that all endpoints run.
const BUILD: u32 = 41;
/// Cells over which endpoints are distributed in turn.
const CELLS: usize = 7;
/// Spreads the identifiers of endpoints (golden ratio, 32 bits).
const ID_MULTIPLIER: u32 = 0x9e37_79b1;
/// Weight of a request class.
const CLASS_WEIGHT: f64 = 3.0;

/// Discovery, platform and endpoints, all fakes.
pub struct Installation {
    /// The discovery.
    pub discovery: Discovery,
    /// The platform.
    pub platform: Platform,
    /// Listeners of the endpoints, unless they are timed.
    pub endpoints: Vec<Endpoint>,
    /// Listeners of the endpoints whose time for each request is known.
    pub timed_endpoints: Vec<TimedEndpoint>,
    size: Size,
}

/// A real agent, with the proxies through which it reaches discovery and the platform.
pub struct RunningAgent {
    /// Its process.
    pub program: AgentProcess,
    /// Counts its traffic with discovery.
    pub discovery: CountingProxy,
    /// Counts its traffic with the platform.
    pub platform: CountingProxy,
    /// From before its configuration was written until it answered a client's empty query.
    pub ready_after: Duration,
    zone: usize,
}

/// A reload that an agent has been told of.
pub struct Reload {
    /// When.
    pub at: Instant,
    /// The proxies that the agent used before, which stay open.
    _old_proxies: [CountingProxy; 2],
}

/// How long a restart took.
#[derive(Clone, Copy, Debug)]
pub struct RestartTimes {
    /// Until the old process had ended.
    pub ended: Duration,
    /// Until the new process served.
    pub serving: Duration,
}

/// Bytes that passed between an agent and its servers, both ways.
#[derive(Clone, Copy, Debug)]
pub struct ControlBytes {
    /// With discovery.
    pub discovery: u64,
    /// With the platform.
    pub platform: u64,
}

impl ControlBytes {
    /// With both.
    pub fn total(self) -> u64 {
        self.discovery + self.platform
    }
}

impl Installation {
    /// Starts fakes whose endpoints all behave like this.
    ///
    /// # Errors
    /// A fake cannot listen.
    pub fn start(size: &Size, behavior: EndpointBehavior) -> io::Result<Installation> {
        let endpoints = (0..listeners(size))
            .map(|seed| Endpoint::start(1, behavior.clone(), seed as u64))
            .collect::<io::Result<Vec<_>>>()?;
        let addresses: Vec<SocketAddr> = endpoints.iter().map(|e| e.address(0)).collect();
        Installation::with_endpoints(size, &addresses, endpoints, Vec::new())
    }

    /// Starts fakes whose endpoints take known times, `mean` on average.
    ///
    /// # Errors
    /// A fake cannot listen.
    pub fn with_timed_endpoints(size: &Size, mean: Duration) -> io::Result<Installation> {
        let endpoints = (0..listeners(size))
            .map(|_| TimedEndpoint::start(mean))
            .collect::<io::Result<Vec<_>>>()?;
        let addresses: Vec<SocketAddr> = endpoints.iter().map(|e| e.address).collect();
        Installation::with_endpoints(size, &addresses, Vec::new(), endpoints)
    }

    /// Starts discovery and platform before endpoints.
    fn with_endpoints(
        size: &Size,
        addresses: &[SocketAddr],
        endpoints: Vec<Endpoint>,
        timed_endpoints: Vec<TimedEndpoint>,
    ) -> io::Result<Installation> {
        let discovery = Discovery::start(size.zones)?;
        let entry = |n: usize| Entry {
            id: format!("s-{:08x}", (n as u32).wrapping_mul(ID_MULTIPLIER)),
            addresses: vec![addresses[n % addresses.len()]; size.zones],
            zone: zone_name(n % size.zones),
            cell: (n % CELLS) as u64,
            state: "in_service".into(),
            started_ms: 0,
            build: BUILD,
        };
        discovery.update((0..size.endpoints).map(entry));
        let platform = Platform::start(RolloutStatus::now(BUILD, 0, "released", 1.0))?;
        Ok(Installation {
            discovery,
            platform,
            endpoints,
            timed_endpoints,
            size: size.clone(),
        })
    }

    /// Connections that the timed endpoints have accepted.
    pub fn accepted_by_timed_endpoints(&self) -> u64 {
        self.timed_endpoints
            .iter()
            .map(TimedEndpoint::accepted)
            .sum()
    }

    /// Names of all zones.
    pub fn zones(&self) -> Vec<String> {
        (0..self.size.zones).map(zone_name).collect()
    }

    fn settings(&self, zone: usize) -> Value {
        let zones = self.zones();
        let names: Vec<&str> = zones.iter().map(String::as_str).collect();
        let classes = classes(self.size.classes);
        let agents = self.size.agents as u32;
        let mut settings = agent_process::settings(&names, names[zone], agents, &classes);
        let share = 1.0 / self.size.tenants.max(1) as f64;
        let tenants = (0..self.size.tenants).map(|n| json!({"name": tenant(n), "share": share}));
        settings["tenants"] = tenants.collect();
        settings["discovery"] = if self.size.pushed { "push" } else { "ask" }.into();
        settings
    }

    /// Starts an agent and waits until it serves. With `known` its configuration holds the endpoint
    /// list as it is; otherwise it asks for the whole list.
    ///
    /// # Errors
    /// The agent cannot be started, or does not serve in time.
    pub fn agent(
        &self,
        binary: &Path,
        number: usize,
        known: bool,
    ) -> Result<RunningAgent, FleetError> {
        let zone = number % self.size.zones;
        let discovery = CountingProxy::start(self.discovery.address(zone))?;
        let platform = CountingProxy::start(self.platform.address)?;
        let mut configuration = agent_process::configuration(
            &format!("n{number}"),
            discovery.address,
            platform.address,
            self.platform.current_rollout().value(),
            self.discovery.full_list(zone),
            self.settings(zone),
        )?;
        configuration["limits"]["sockets"] = self.size.sockets.into();
        if !known {
            if let Some(fields) = configuration.as_object_mut() {
                fields.remove("known");
            }
        }
        let started_at = Instant::now();
        let program = AgentProcess::start(binary, configuration, &[]).map_err(|source| {
            FleetError::Start {
                path: binary.to_owned(),
                source,
            }
        })?;
        let ready_after = wait_until_serving(&program, started_at)?;
        Ok(RunningAgent {
            program,
            discovery,
            platform,
            ready_after,
            zone,
        })
    }

    /// Starts all agents of the size.
    ///
    /// # Errors
    /// An agent cannot be started, or does not serve in time.
    pub fn agents(&self, binary: &Path) -> Result<Vec<RunningAgent>, FleetError> {
        (0..self.size.agents)
            .map(|number| self.agent(binary, number, true))
            .collect()
    }

    /// Attempts that came to any endpoint.
    pub fn attempts(&self) -> usize {
        self.endpoints.iter().map(Endpoint::received_count).sum()
    }
}

/// Waits until an agent answers an empty query; returns how long after `started_at`.
fn wait_until_serving(program: &AgentProcess, started_at: Instant) -> Result<Duration, FleetError> {
    let address = program.address()?;
    while TcpStream::connect(address).is_err() {
        if started_at.elapsed() > TIMEOUT {
            let log = program.log();
            return Err(FleetError::NotServing { address, log });
        }
        sleep(POLL_INTERVAL);
    }
    TestClient::connect(address)?;
    Ok(started_at.elapsed())
}

impl RunningAgent {
    /// Where it serves clients.
    ///
    /// # Errors
    /// Its configuration names no address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.program.address()
    }

    /// What its process has taken so far.
    ///
    /// # Errors
    /// The process is gone.
    pub fn usage(&self) -> io::Result<Usage> {
        usage(self.program.id())
    }

    /// Control traffic so far.
    pub fn control_bytes(&self) -> ControlBytes {
        ControlBytes {
            discovery: self.discovery.bytes(),
            platform: self.platform.bytes(),
        }
    }

    /// Reloads its configuration: discovery and the platform at other addresses, the endpoint list
    /// as it is now, and changed settings.
    ///
    /// # Errors
    /// A proxy cannot listen, or the agent cannot be signalled.
    pub fn reload(
        &mut self,
        installation: &Installation,
        change_settings: impl FnOnce(&mut Value),
    ) -> io::Result<Reload> {
        let discovery = CountingProxy::start(installation.discovery.address(self.zone))?;
        let platform = CountingProxy::start(installation.platform.address)?;
        let configuration = &mut self.program.configuration;
        configuration["discovery"] = discovery.address.to_string().into();
        configuration["deployer"] = json!({
            "address": platform.address.to_string(),
            "news": installation.platform.current_rollout().value(),
        });
        configuration["known"] = installation.discovery.full_list(self.zone);
        change_settings(&mut configuration["settings"]);
        let text = configuration.to_string();
        let at = Instant::now();
        self.program.reload(&text)?;
        let old_discovery = std::mem::replace(&mut self.discovery, discovery);
        let old_platform = std::mem::replace(&mut self.platform, platform);
        Ok(Reload {
            at,
            _old_proxies: [old_discovery, old_platform],
        })
    }

    /// Ends it and starts another with changed settings at the same address.
    ///
    /// # Errors
    /// It does not end well, or the other one cannot be started or does not serve in time.
    pub fn restart(
        &mut self,
        binary: &Path,
        change_settings: impl FnOnce(&mut Value),
    ) -> Result<RestartTimes, FleetError> {
        let mut configuration = self.program.configuration.clone();
        change_settings(&mut configuration["settings"]);
        let terminated_at = Instant::now();
        self.program.terminate()?;
        if !self.program.wait_for_success()? {
            let log = self.program.log();
            return Err(FleetError::FailedExit { log });
        }
        let ended = terminated_at.elapsed();
        let started_at = Instant::now();
        self.program = AgentProcess::start(binary, configuration, &[])?;
        self.ready_after = wait_until_serving(&self.program, started_at)?;
        Ok(RestartTimes {
            ended,
            serving: terminated_at.elapsed(),
        })
    }
}

fn listeners(size: &Size) -> usize {
    size.endpoints.clamp(1, LISTENERS)
}

fn zone_name(n: usize) -> String {
    format!("zone-{n}")
}

/// The name of a tenant.
pub fn tenant(n: usize) -> String {
    format!("tenant-{n}")
}

/// Request classes: of each ten, six are idempotent, three keyed and one is non-idempotent.
pub fn classes(count: usize) -> Vec<RequestClass> {
    let idempotency = |n: usize| match n % 10 {
        9 => "once",
        6..=8 => "by_key",
        _ => "repeatable",
    };
    (0..count)
        .map(|n| RequestClass::new(&format!("route-{n}"), idempotency(n), CLASS_WEIGHT))
        .collect()
}

/// Waits until `find` finds something, looking every half millisecond.
///
/// # Errors
/// It finds nothing in time.
pub fn until<T>(what: &'static str, find: impl FnMut() -> Option<T>) -> Result<T, FleetError> {
    until_timeout(TIMEOUT, find).ok_or(FleetError::TimedOut { what })
}

/// The same with another timeout; none where it finds nothing.
pub fn until_timeout<T>(timeout: Duration, mut find: impl FnMut() -> Option<T>) -> Option<T> {
    let started_at = Instant::now();
    loop {
        if let Some(found) = find() {
            return Some(found);
        }
        if started_at.elapsed() > timeout {
            return None;
        }
        sleep(POLL_INTERVAL);
    }
}
