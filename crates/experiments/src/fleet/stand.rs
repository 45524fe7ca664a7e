//! An installation of fakes with real agents before it.

use super::meter::Meter;
use super::process::{usage, Usage};
use super::worker::Worker;
use super::Size;
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

/// Endpoints of the list share so many listeners, one after another.
pub const LISTENERS: usize = 16;
/// How long anything that must come is waited for.
const SOON: Duration = Duration::from_secs(60);

pub struct Stand {
    pub discovery: Discovery,
    pub platform: Platform,
    pub endpoints: Vec<Endpoint>,
    pub workers: Vec<Worker>,
    size: Size,
}

/// One agent, with the ways on which it hears discovery and the platform.
pub struct Member {
    pub program: AgentProcess,
    pub discovery: Meter,
    pub platform: Meter,
    /// From before its configuration was written until it answered a client's empty query.
    pub ready: Duration,
    zone: usize,
}

impl Stand {
    /// A list of so many endpoints, all served by a few listeners that behave like this.
    pub fn start(size: &Size, ways: EndpointBehavior) -> io::Result<Stand> {
        let listeners = 0..size.endpoints.clamp(1, LISTENERS) as u64;
        let endpoints = listeners
            .map(|n| Endpoint::start(1, ways.clone(), n))
            .collect::<io::Result<Vec<_>>>()?;
        let addresses: Vec<SocketAddr> = endpoints.iter().map(|a| a.address(0)).collect();
        Stand::before(size, &addresses, endpoints, Vec::new())
    }

    /// The same of endpoints whose time for each request is known.
    pub fn working(size: &Size, mean: Duration) -> io::Result<Stand> {
        let listeners = 0..size.endpoints.clamp(1, LISTENERS);
        let workers = listeners
            .map(|_| Worker::start(mean))
            .collect::<io::Result<Vec<_>>>()?;
        let addresses: Vec<SocketAddr> = workers.iter().map(|w| w.address).collect();
        Stand::before(size, &addresses, Vec::new(), workers)
    }

    fn before(
        size: &Size,
        addresses: &[SocketAddr],
        endpoints: Vec<Endpoint>,
        workers: Vec<Worker>,
    ) -> io::Result<Stand> {
        let discovery = Discovery::start(size.zones)?;
        let entry = |n: usize| Entry {
            id: format!("s-{:08x}", (n as u32).wrapping_mul(0x9e37_79b1)),
            addresses: vec![addresses[n % addresses.len()]; size.zones],
            zone: zone(n % size.zones),
            cell: (n % 7) as u64,
            state: "in_service".into(),
            started_ms: 0,
            build: 41,
        };
        discovery.update((0..size.endpoints).map(entry));
        let platform = Platform::start(RolloutStatus::now(41, 0, "released", 1.0))?;
        Ok(Stand {
            discovery,
            platform,
            endpoints,
            workers,
            size: size.clone(),
        })
    }

    pub fn zones(&self) -> Vec<String> {
        (0..self.size.zones).map(zone).collect()
    }

    fn settings(&self, zone_of: usize) -> Value {
        let zones = self.zones();
        let names: Vec<&str> = zones.iter().map(String::as_str).collect();
        let classes = classes(self.size.classes);
        let mut settings =
            agent_process::settings(&names, names[zone_of], self.size.agents as u32, &classes);
        let share = 1.0 / self.size.tenants.max(1) as f64;
        let tenants = (0..self.size.tenants).map(|n| json!({"name": tenant(n), "share": share}));
        settings["tenants"] = tenants.collect();
        settings["discovery"] = if self.size.pushed { "push" } else { "ask" }.into();
        settings
    }

    /// Starts one and waits until it serves. With `known` its configuration holds the list as it
    /// is; it asks for the whole otherwise.
    pub fn agent(&self, binary: &Path, number: usize, known: bool) -> io::Result<Member> {
        let zone = number % self.size.zones;
        let discovery = Meter::start(self.discovery.address(zone))?;
        let platform = Meter::start(self.platform.address)?;
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
            configuration
                .as_object_mut()
                .into_iter()
                .for_each(|c| drop(c.remove("known")));
        }
        let begun = Instant::now();
        let program = AgentProcess::start(binary, configuration, &[])
            .map_err(|e| io::Error::new(e.kind(), format!("{}: {e}", binary.display())))?;
        let mut member = Member {
            program,
            discovery,
            platform,
            ready: Duration::ZERO,
            zone,
        };
        member.ready = member.serves(begun)?;
        Ok(member)
    }

    pub fn agents(&self, binary: &Path) -> io::Result<Vec<Member>> {
        (0..self.size.agents)
            .map(|n| self.agent(binary, n, true))
            .collect()
    }

    /// Requests that came to any endpoint.
    pub fn attempts(&self) -> usize {
        self.endpoints.iter().map(Endpoint::received_count).sum()
    }
}

impl Member {
    /// Waits until it answers an empty query; how long after `begun`.
    fn serves(&mut self, begun: Instant) -> io::Result<Duration> {
        let address = self.program.address()?;
        while TcpStream::connect(address).is_err() {
            if begun.elapsed() > SOON {
                return Err(io::Error::other(format!(
                    "{address} is not served; its log:\n{}",
                    self.program.log()
                )));
            }
            sleep(Duration::from_micros(500));
        }
        TestClient::connect(address)?;
        Ok(begun.elapsed())
    }

    pub fn address(&self) -> io::Result<SocketAddr> {
        self.program.address()
    }

    pub fn usage(&self) -> io::Result<Usage> {
        usage(self.program.id())
    }

    /// Bytes for control, both ways, with discovery and the platform.
    pub fn control(&self) -> [u64; 2] {
        [self.discovery.bytes(), self.platform.bytes()]
    }

    /// Tells it of a new configuration: discovery and the platform at other addresses, the list as
    /// it is now. Returns when it was told. The ways that it knew stay open.
    pub fn renew(
        &mut self,
        stand: &Stand,
        settings: impl FnOnce(&mut Value),
    ) -> io::Result<(Instant, [Meter; 2])> {
        let discovery = Meter::start(stand.discovery.address(self.zone))?;
        let platform = Meter::start(stand.platform.address)?;
        let c = &mut self.program.configuration;
        c["discovery"] = discovery.address.to_string().into();
        c["deployer"] = json!({"address": platform.address.to_string(), "news": stand.platform.current_rollout().value()});
        c["known"] = stand.discovery.full_list(self.zone);
        settings(&mut c["settings"]);
        let text = c.to_string();
        let told = Instant::now();
        self.program.reload(&text)?;
        let old = [
            std::mem::replace(&mut self.discovery, discovery),
            std::mem::replace(&mut self.platform, platform),
        ];
        Ok((told, old))
    }

    /// Ends it and starts another under these settings at the same address: how long its end took,
    /// and until the other one served.
    pub fn restart(
        &mut self,
        binary: &Path,
        settings: impl FnOnce(&mut Value),
    ) -> io::Result<[Duration; 2]> {
        let mut configuration = self.program.configuration.clone();
        settings(&mut configuration["settings"]);
        let told = Instant::now();
        self.program.terminate()?;
        if !self.program.wait_for_success()? {
            return Err(io::Error::other(format!(
                "it did not end well; its log:\n{}",
                self.program.log()
            )));
        }
        let ended = told.elapsed();
        let begun = Instant::now();
        self.program = AgentProcess::start(binary, configuration, &[])?;
        self.ready = self.serves(begun)?;
        Ok([ended, told.elapsed()])
    }
}

fn zone(n: usize) -> String {
    format!("zone-{n}")
}

pub fn tenant(n: usize) -> String {
    format!("tenant-{n}")
}

/// Of each ten classes six are idempotent, three deduplicated, one is non-idempotent.
pub fn classes(count: usize) -> Vec<RequestClass> {
    let kind = |n: usize| match n % 10 {
        9 => "once",
        6..=8 => "by_key",
        _ => "repeatable",
    };
    (0..count)
        .map(|n| RequestClass::new(&format!("route-{n}"), kind(n), 3.0))
        .collect()
}

/// Waits until this is there, looking every half millisecond.
pub fn until<T>(what: &str, holds: impl FnMut() -> Option<T>) -> io::Result<T> {
    until_or(SOON, holds)
        .ok_or_else(|| io::Error::new(io::ErrorKind::TimedOut, format!("{what} did not come")))
}

/// The same for so long; nothing where it does not come.
pub fn until_or<T>(span: Duration, mut holds: impl FnMut() -> Option<T>) -> Option<T> {
    let begun = Instant::now();
    loop {
        if let Some(found) = holds() {
            return Some(found);
        }
        if begun.elapsed() > span {
            return None;
        }
        sleep(Duration::from_micros(500));
    }
}
