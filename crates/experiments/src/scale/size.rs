//! The size of a simulated installation, the settings of its agents, and an estimate of the memory
//! that a simulation needs.

use super::ScaleError;
use serde::Serialize;
use serde_json::{json, Value};
use std::time::Duration;
use tulipwall_config::{Fields, ServiceConfig};
use tulipwall_testkit::{agent_process, Entry, RequestClass};

/// The operators' limit for the control work of an agent, as a share of a core.
pub const MAX_CORE_SHARE: f64 = 0.012;
/// The operators' limit for the memory of an agent, in bytes.
pub const MAX_MEMORY: f64 = 256e6;
/// The operators' limit for the control traffic of an agent, in bytes a second.
pub const MAX_BYTES_PER_SECOND: f64 = 3000.0;
/// The operators' limit for the time from a new configuration until it is in effect everywhere.
pub const MAX_RELOAD_TIME: Duration = Duration::from_secs(4);

/// Minimum number of calls a second that discovery answers, however few agents it has.
const MIN_CALL_BUDGET: f64 = 10.0;
/// Number of endpoints that share a machine.
const ENDPOINTS_PER_MACHINE: usize = 8;
/// Spreads the identifiers of endpoints over all 32-bit numbers (golden ratio, 32 bits).
const ID_MULTIPLIER: u32 = 0x9e37_79b1;
const POSTGRES_PORT: u16 = 6543;
/// Build that all endpoints run at the start of a simulation.
pub(super) const FIRST_BUILD: u32 = 41;

/// The size and load of an installation. Agents and endpoints are those of all services together
/// and split evenly over them; classes and tenants are those of one service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Size {
    /// Number of services, each with its own agents, endpoints and discovery.
    pub services: usize,
    /// Number of agents of all services together.
    pub agents: usize,
    /// Number of endpoints of all services together.
    #[serde(rename = "appliances")]
    pub endpoints: usize,
    /// Number of request classes of one service.
    #[serde(rename = "lanes")]
    pub classes: usize,
    /// Number of tenants of one service.
    pub tenants: usize,
    /// Number of zones, over which agents and endpoints are distributed round-robin.
    pub zones: usize,
    /// Load of each agent, in requests a second.
    pub rate: f64,
    /// Calls a second that discovery answers for each of its agents; only calls that start a watch
    /// count.
    pub calls: f64,
    /// Whether calls that continue a watch count against that limit, too.
    pub every_call: bool,
}

impl Default for Size {
    /// Returns the size of a mean service in an installation of 140 services, each with agents of
    /// its own, at the operators' peak load.
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
    /// Returns the number of the service that an agent belongs to.
    pub fn service_of(&self, agent: usize) -> usize {
        agent * self.services / self.agents.max(1)
    }

    /// Returns the numbers of the endpoints of a service.
    pub fn service_endpoints(&self, service: usize) -> std::ops::Range<usize> {
        let from = |s: usize| s * self.endpoints / self.services.max(1);
        from(service)..from(service + 1)
    }

    /// Returns the number of agents of one service, which share an endpoint list. Rounded up, and
    /// at least 1.
    pub fn agents_per_service(&self) -> usize {
        self.agents.div_ceil(self.services.max(1)).max(1)
    }

    /// Returns the limit of the discovery of one service, in calls a second.
    pub fn call_budget(&self) -> f64 {
        (self.calls * self.agents_per_service() as f64).max(MIN_CALL_BUDGET)
    }

    /// Returns the zone of the agent or endpoint with this number.
    pub fn zone(&self, number: usize) -> usize {
        number % self.zones.max(1)
    }

    /// Returns the region of a zone: 0 for the first half of the zones, 1 for the others.
    pub fn region(&self, zone: usize) -> usize {
        zone * 2 / self.zones.max(1)
    }

    /// Returns the settings as JSON, in the form of the platform's configuration.
    pub fn settings(&self) -> Value {
        let zones: Vec<String> = (0..self.zones).map(|z| format!("zone-{z}")).collect();
        let zones: Vec<&str> = zones.iter().map(String::as_str).collect();
        let classes = self.request_classes();
        let agents = self.agents_per_service() as u32;
        let mut settings = agent_process::settings(&zones, zones[0], agents, &classes);
        let share = 1.0 / self.tenants.max(1) as f64;
        let tenant = |n: usize| json!({"name": tenant(n), "share": share});
        settings["tenants"] = (0..self.tenants).map(tenant).collect();
        settings["discovery"] = json!("ask");
        settings["domain"]["api-rate"] = json!(self.call_budget());
        settings["rules"]["must-ask-in-ms"] = json!(10_000.0);
        settings
    }

    /// Returns the request classes, which cycle through all kinds of idempotency and seven weights.
    fn request_classes(&self) -> Vec<RequestClass> {
        let kinds = ["repeatable", "by_key", "once"];
        let class = |n: usize| {
            let name = format!("route-{n:05}");
            RequestClass::new(&name, kinds[n % 3], 1.0 + (n % 7) as f64)
        };
        (0..self.classes).map(class).collect()
    }

    /// Returns the configuration that an agent reads from the settings.
    ///
    /// # Errors
    /// Returns the errors of [`Fields::new`] and [`ServiceConfig::read`].
    pub fn service_config(&self) -> Result<ServiceConfig, ScaleError> {
        let settings = self.settings();
        let fields = Fields::new(&settings, "settings").map_err(ScaleError::settings)?;
        let mut config = ServiceConfig::read(&fields, 1).map_err(ScaleError::settings)?;
        // The real agent sets these two itself, independently of its settings.
        config.settings.list_polled = true;
        config.settings.load_probes = false;
        Ok(config)
    }

    /// Returns the entry of an endpoint in discovery's list: in service, and started long ago. The
    /// address holds the endpoint's number in its last three bytes.
    pub fn entry(&self, endpoint: usize) -> Entry {
        let [_, a, b, c] = (endpoint as u32).to_be_bytes();
        Entry {
            id: format!("s-{:08x}", (endpoint as u32).wrapping_mul(ID_MULTIPLIER)),
            addresses: vec![([10, a, b, c], POSTGRES_PORT).into()],
            zone: format!("zone-{}", self.zone(endpoint)),
            cell: (endpoint / ENDPOINTS_PER_MACHINE) as u64,
            state: "in_service".into(),
            started_ms: 0,
            build: FIRST_BUILD,
        }
    }

    /// Estimates the memory of a simulation of this size in bytes, from slopes that an earlier
    /// version of `tulipwall-experiments scale` reported. `own_settings` says that agents do not
    /// share their settings.
    pub fn estimated_memory(&self, own_settings: bool) -> f64 {
        let classes = self.classes as f64;
        let tenants = self.tenants as f64;
        let agent = AGENT_BYTES
            + self.listed_endpoints() * (LISTED_BYTES + LISTED_CLASS_BYTES * classes)
            + classes * CLASS_BYTES
            + tenants * TENANT_BYTES;
        let own = if own_settings {
            self.settings_memory()
        } else {
            0.0
        };
        self.installation_memory(agent + own)
    }

    /// Returns the memory in bytes of a simulation of this size whose agents share their settings.
    /// `agent` is the memory of an agent that does not share them, as the sweeps of this version
    /// of the program measure it.
    pub fn memory_by_measured_agent(&self, agent: f64) -> f64 {
        let without_settings = (agent - self.settings_memory()).max(AGENT_BYTES);
        self.installation_memory(without_settings)
    }

    /// Returns the memory of a simulation in bytes, given that of an agent without its settings.
    fn installation_memory(&self, agent: f64) -> f64 {
        let discovery = self.endpoints as f64 * DISCOVERY_ENTRY_BYTES;
        let parsing = self.listed_endpoints() * PARSED_ENTRY_BYTES * WORKERS;
        let settings = self.settings_memory() * WORKERS;
        self.agents as f64 * agent + settings + discovery + parsing + PROCESS_BYTES
    }

    /// Returns the number of endpoints in the list of one agent.
    fn listed_endpoints(&self) -> f64 {
        self.endpoints as f64 / self.services.max(1) as f64
    }

    /// Returns the memory of one copy of the settings, in bytes.
    fn settings_memory(&self) -> f64 {
        self.tenants as f64 * SETTINGS_TENANT_BYTES + self.classes as f64 * SETTINGS_CLASS_BYTES
    }
}

/// Bytes of an agent without endpoints, classes and tenants.
const AGENT_BYTES: f64 = 60e3;
/// Bytes of an endpoint in an agent's list and balancer, without its counts by class.
const LISTED_BYTES: f64 = 560.0;
/// Bytes of the counts that a balancer keeps for one endpoint and class.
const LISTED_CLASS_BYTES: f64 = 32.0;
/// Bytes of a class in the balancer.
const CLASS_BYTES: f64 = 1400.0;
/// Bytes of a tenant in the balancer.
const TENANT_BYTES: f64 = 24.0;
/// Bytes of a tenant in the settings.
const SETTINGS_TENANT_BYTES: f64 = 160.0;
/// Bytes of a class in the settings.
const SETTINGS_CLASS_BYTES: f64 = 120.0;
/// Bytes of an entry in discovery's list, and of its JSON.
const DISCOVERY_ENTRY_BYTES: f64 = 1500.0;
/// Bytes of an entry while a whole list is parsed.
const PARSED_ENTRY_BYTES: f64 = 2500.0;
/// Maximum number of threads that hold a copy of the settings and parse a list at the same time.
const WORKERS: f64 = 4.0;
/// Bytes of the process itself.
const PROCESS_BYTES: f64 = 20e6;

/// Returns the name of the tenant with this number.
pub fn tenant(number: usize) -> String {
    format!("tenant-{number:05}")
}
