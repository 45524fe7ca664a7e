//! How large an installation is played, what an agent of it is set to, and what memory that takes.

use serde::Serialize;
use serde_json::{json, Value};
use std::time::Duration;
use tulipwall_config::{Fields, ServiceConfig};
use tulipwall_testkit::{agent_process, Entry, RequestClass};

/// What the operators' letter allows an agent for control.
pub const CORE_MOST: f64 = 0.012;
/// In bytes.
pub const MEMORY_MOST: f64 = 256e6;
/// In bytes a second.
pub const BYTES_MOST: f64 = 3000.0;
/// From a change until it is in force everywhere.
pub const FORCE_MOST: Duration = Duration::from_secs(4);

/// All agents and endpoints together, split evenly over the services; classes and tenants are those
/// of one agent.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Size {
    pub services: usize,
    pub agents: usize,
    #[serde(rename = "appliances")]
    pub endpoints: usize,
    #[serde(rename = "lanes")]
    pub classes: usize,
    pub tenants: usize,
    pub zones: usize,
    /// Requests a second for each agent.
    pub rate: f64,
    /// Calls a second that discovery answers, for each of its agents: those that begin a watch.
    pub calls: f64,
    /// Calls that go on with a watch count, too.
    pub every_call: bool,
}

impl Default for Size {
    /// The mean one of 140 services, each with agents of its own, at the operators' peak.
    fn default() -> Size {
        Size {
            services: 1,
            agents: 6,
            endpoints: 55,
            classes: 11,
            tenants: 400,
            zones: 7,
            rate: 143.0,
            calls: 0.5,
            every_call: false,
        }
    }
}

impl Size {
    pub fn service_of(&self, agent: usize) -> usize {
        agent * self.services / self.agents.max(1)
    }

    /// The endpoints of a service.
    pub fn of_service(&self, service: usize) -> std::ops::Range<usize> {
        let from = |s: usize| s * self.endpoints / self.services.max(1);
        from(service)..from(service + 1)
    }

    /// How many agents share one list.
    pub fn together(&self) -> usize {
        self.agents.div_ceil(self.services.max(1)).max(1)
    }

    /// Calls a second that the discovery of one service answers.
    pub fn budget(&self) -> f64 {
        (self.calls * self.together() as f64).max(10.0)
    }

    pub fn zone(&self, number: usize) -> usize {
        number % self.zones.max(1)
    }

    /// The first half of the zones is one region, the others are the other.
    pub fn region(&self, zone: usize) -> usize {
        zone * 2 / self.zones.max(1)
    }

    /// The settings, as the platform's configuration has them.
    pub fn settings(&self) -> Value {
        let zones: Vec<String> = (0..self.zones).map(|z| format!("zone-{z}")).collect();
        let zones: Vec<&str> = zones.iter().map(String::as_str).collect();
        let kinds = ["repeatable", "by_key", "once"];
        let class = |n: usize| {
            RequestClass::new(&format!("route-{n:05}"), kinds[n % 3], 1.0 + (n % 7) as f64)
        };
        let classes: Vec<RequestClass> = (0..self.classes).map(class).collect();
        let mut settings =
            agent_process::settings(&zones, zones[0], self.together() as u32, &classes);
        let share = 1.0 / self.tenants.max(1) as f64;
        let tenant = |n: usize| json!({"name": tenant(n), "share": share});
        settings["tenants"] = (0..self.tenants).map(tenant).collect();
        settings["discovery"] = json!("ask");
        settings["domain"]["api-rate"] = json!(self.budget());
        settings["rules"]["must-ask-in-ms"] = json!(10_000.0);
        settings
    }

    /// The same as an agent reads it.
    ///
    /// # Errors
    /// Those of [`ServiceConfig::read`], by their text.
    pub fn site(&self) -> Result<ServiceConfig, String> {
        let settings = self.settings();
        let read = ServiceConfig::read(&Fields::new(&settings, "settings")?, 1);
        let mut site = read.map_err(|fault| fault.to_string())?;
        // As the agent sets it on sockets, whatever the settings say.
        site.settings.list_polled = true;
        site.settings.load_probes = false;
        Ok(site)
    }

    /// An endpoint as discovery lists it, long up.
    pub fn entry(&self, endpoint: usize) -> Entry {
        let [_, a, b, c] = (endpoint as u32).to_be_bytes();
        Entry {
            id: format!("s-{:08x}", (endpoint as u32).wrapping_mul(0x9e37_79b1)),
            addresses: vec![([10, a, b, c], 6543).into()],
            zone: format!("zone-{}", self.zone(endpoint)),
            cell: (endpoint / 8) as u64,
            state: "in_service".into(),
            started_ms: 0,
            build: 41,
        }
    }

    /// Bytes that a play of this takes, about, from the slopes that `tulipwall-experiments scale`
    /// measures; `own` where each agent holds its settings by itself.
    pub fn memory(&self, own: bool) -> f64 {
        let (agents, classes, tenants) =
            (self.agents as f64, self.classes as f64, self.tenants as f64);
        let listed = self.endpoints as f64 / self.services.max(1) as f64;
        let each = 60e3
            + listed * (EACH_LISTED + EACH_COUNT * classes)
            + classes * EACH_CLASS
            + tenants * EACH_TENANT;
        let site = tenants * SITE_TENANT + classes * SITE_CLASS;
        let told = self.endpoints as f64 * EACH_TOLD;
        let work = listed * EACH_READ * WORKERS; // a whole list while it is read
        agents * (each + if own { site } else { 0.0 }) + site * WORKERS + told + work + 20e6
    }
}

/// Bytes by count, as measured: an endpoint in list and module, its counts by class, a class, a
/// tenant in the module, the settings' names, an entry at discovery and its JSON, and while it is
/// read.
const EACH_LISTED: f64 = 560.0;
const EACH_COUNT: f64 = 32.0;
const EACH_CLASS: f64 = 1400.0;
const EACH_TENANT: f64 = 24.0;
const SITE_TENANT: f64 = 160.0;
const SITE_CLASS: f64 = 120.0;
const EACH_TOLD: f64 = 1500.0;
const EACH_READ: f64 = 2500.0;
const WORKERS: f64 = 4.0;

pub fn tenant(number: usize) -> String {
    format!("tenant-{number:05}")
}
