//! An installation of fake servers, and the real agents in front of it.

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

/// Maximum number of listeners, which the entries of the endpoint list share in turn.
pub const LISTENERS: usize = 16;
/// How long to wait for an expected event before the measure fails.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between checks for an expected event.
const POLL_INTERVAL: Duration = Duration::from_micros(500);
/// Build that all endpoints run.
const BUILD: u32 = 41;
/// Number of cells, over which endpoints are distributed in turn.
const CELLS: usize = 7;
/// Spreads the identifiers of endpoints over 32 bits (multiplicative hashing by the golden ratio).
const ID_MULTIPLIER: u32 = 0x9e37_79b1;
/// Weight of a request class.
const CLASS_WEIGHT: f64 = 3.0;

/// Fake servers: discovery, the platform and the endpoints.
pub struct Installation {
    /// The fake discovery server.
    pub discovery: Discovery,
    /// The fake rollout platform.
    pub platform: Platform,
    /// Listeners of the endpoints; empty if the endpoints are timed.
    pub endpoints: Vec<Endpoint>,
    /// Listeners of timed endpoints, whose processing time of each request is known; empty if the
    /// endpoints are not timed.
    pub timed_endpoints: Vec<TimedEndpoint>,
    size: Size,
}

/// A real agent, and the proxies through which it reaches discovery and the platform.
pub struct RunningAgent {
    /// Process of the agent.
    pub program: AgentProcess,
    /// Proxy that counts the agent's traffic with discovery.
    pub discovery: CountingProxy,
    /// Proxy that counts the agent's traffic with the platform.
    pub platform: CountingProxy,
    /// Time from before the agent's configuration was written until the agent answered a client's
    /// empty query.
    pub ready_after: Duration,
    zone: usize,
}

/// A configuration reload that an agent has been signalled.
pub struct Reload {
    /// When the agent was signalled.
    pub at: Instant,
    /// Proxies that the agent used before, which stay open until this is dropped.
    _old_proxies: [CountingProxy; 2],
}

/// Durations of a restart, from the signal to terminate.
#[derive(Clone, Copy, Debug)]
pub struct RestartTimes {
    /// Time until the old process had ended.
    pub ended: Duration,
    /// Time until the new process served clients.
    pub serving: Duration,
}

/// Bytes that an agent exchanged with its control servers, in both directions.
#[derive(Clone, Copy, Debug)]
pub struct ControlBytes {
    /// Bytes exchanged with discovery.
    pub discovery: u64,
    /// Bytes exchanged with the platform.
    pub platform: u64,
}

impl ControlBytes {
    /// Returns the bytes exchanged with both servers.
    pub fn total(self) -> u64 {
        self.discovery + self.platform
    }
}

impl Installation {
    /// Starts fake servers; all endpoints have this behavior.
    ///
    /// # Errors
    /// Returns an error if a fake server cannot listen.
    pub fn start(size: &Size, behavior: EndpointBehavior) -> io::Result<Installation> {
        let endpoints = (0..listeners(size))
            .map(|seed| Endpoint::start(1, behavior.clone(), seed as u64))
            .collect::<io::Result<Vec<_>>>()?;
        let addresses: Vec<SocketAddr> = endpoints.iter().map(|e| e.address(0)).collect();
        Installation::with_endpoints(size, &addresses, endpoints, Vec::new())
    }

    /// Starts fake servers with timed endpoints, whose mean processing time is `mean`.
    ///
    /// # Errors
    /// Returns an error if a fake server cannot listen.
    pub fn with_timed_endpoints(size: &Size, mean: Duration) -> io::Result<Installation> {
        let endpoints = (0..listeners(size))
            .map(|_| TimedEndpoint::start(mean))
            .collect::<io::Result<Vec<_>>>()?;
        let addresses: Vec<SocketAddr> = endpoints.iter().map(|e| e.address).collect();
        Installation::with_endpoints(size, &addresses, Vec::new(), endpoints)
    }

    /// Starts discovery and the platform for endpoints that are listening.
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

    /// Returns the number of connections that the timed endpoints have accepted.
    pub fn accepted_by_timed_endpoints(&self) -> u64 {
        self.timed_endpoints
            .iter()
            .map(TimedEndpoint::accepted)
            .sum()
    }

    /// Returns the names of all zones.
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

    /// Starts an agent and waits until it serves clients. With `known`, its configuration contains
    /// the current endpoint list; otherwise it requests the whole list from discovery.
    ///
    /// # Errors
    /// Returns an error if the agent cannot be started, or does not serve within the timeout.
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

    /// Starts all agents of the installation.
    ///
    /// # Errors
    /// Returns an error if an agent cannot be started, or does not serve within the timeout.
    pub fn agents(&self, binary: &Path) -> Result<Vec<RunningAgent>, FleetError> {
        (0..self.size.agents)
            .map(|number| self.agent(binary, number, true))
            .collect()
    }

    /// Returns the number of attempts that all endpoints have received; timed endpoints do not
    /// count them.
    pub fn attempts(&self) -> usize {
        self.endpoints.iter().map(Endpoint::received_count).sum()
    }
}

/// Waits until an agent answers an empty query; returns the time since `started_at`.
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
    /// Returns the address at which the agent serves clients.
    ///
    /// # Errors
    /// Returns an error if the agent's configuration contains no valid address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.program.address()
    }

    /// Returns the resources that the agent's process has used so far.
    ///
    /// # Errors
    /// Returns an error if the process does not exist any more.
    pub fn usage(&self) -> io::Result<Usage> {
        usage(self.program.id())
    }

    /// Returns the agent's control traffic so far, through its current proxies.
    pub fn control_bytes(&self) -> ControlBytes {
        ControlBytes {
            discovery: self.discovery.bytes(),
            platform: self.platform.bytes(),
        }
    }

    /// Makes the agent reload a configuration with new addresses of discovery and the platform, the
    /// current endpoint list, and changed settings.
    ///
    /// # Errors
    /// Returns an error if a proxy cannot listen, or the agent cannot be signalled.
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

    /// Terminates the agent's process and starts another one with changed settings at the same
    /// address.
    ///
    /// # Errors
    /// Returns an error if the old process does not exit with success, or if the new one cannot be
    /// started or does not serve within the timeout.
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

/// Returns the name of the tenant with this number.
pub fn tenant(n: usize) -> String {
    format!("tenant-{n}")
}

/// Returns this many request classes: of each ten, six are idempotent, three keyed and one is
/// non-idempotent.
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

/// Calls `find` every half millisecond until it returns a value.
///
/// # Errors
/// Returns an error that names `what` if `find` returns no value within the timeout.
pub fn until<T>(what: &'static str, find: impl FnMut() -> Option<T>) -> Result<T, FleetError> {
    until_timeout(TIMEOUT, find).ok_or(FleetError::TimedOut { what })
}

/// Calls `find` every half millisecond until it returns a value; `None` if it returns none within
/// this timeout.
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
