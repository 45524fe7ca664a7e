//! Scenario documents: the installation that is simulated, which of its parameters vary, and the
//! number of seeds.
//!
//! `parse` reads the KDL text, `point` enumerates the combinations of parameters that vary.

mod parse;
mod point;

pub use point::{Parameter, ParameterValue, Value, Variation};

use std::time::Duration;
use tulipwall::Idempotency;
use tulipwall_config::ConfigDiagnostic;

/// Estimated bytes that an agent keeps for each endpoint, without the state per request class.
const ENDPOINT_BYTES: f64 = 400.0;
/// Estimated bytes that an agent keeps for each pair of endpoint and request class.
const ENDPOINT_CLASS_BYTES: f64 = 40.0;
/// Estimated bytes of the latency histogram of one simulated second.
const SECOND_BYTES: f64 = 200_000.0;
/// Estimated bytes of the counts that an agent keeps for one simulated second.
const AGENT_SECOND_BYTES: f64 = 40.0;
/// Estimated bytes of a request in flight.
const REQUEST_BYTES: f64 = 2000.0;

/// One experiment: an installation, its load, the injected faults and the parameters that vary.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Title of the experiment, as records and pages show it.
    pub name: String,
    /// Number of runs of each point; their seeds are 1 to this number.
    pub seeds: u64,
    /// Simulated time of one run.
    pub duration: Duration,
    /// Requests per second, over all agents.
    pub rate: f64,
    /// Number of agents, distributed over the zones in turn.
    pub agents: usize,
    /// Spread of the agents' loads: 0 if they are equal, 1 if the largest is twice the mean.
    pub load_spread: f64,
    /// Request classes of the load.
    pub classes: Vec<RequestClass>,
    /// Zones with their endpoints.
    pub zones: Vec<Zone>,
    /// Network delays that differ from the defaults.
    pub links: Vec<Link>,
    /// Retry behavior of the clients.
    pub clients: ClientKind,
    /// Whether agents prefer endpoints of their own zone.
    pub prefer_local_zone: bool,
    /// Share of a request's work that is constant, 0 to 1; the rest is exponentially distributed.
    pub constant_work_share: f64,
    /// Share of attempts and of responses that are lost between zones, 0 to 1.
    pub loss: f64,
    /// Delay before agents are notified of changes to the endpoint list and the rollout status.
    pub notification_delay: Duration,
    /// Budget for cross-zone traffic, as a share of all requests; `None` for no budget.
    pub cross_zone_share: Option<f64>,
    /// Build that is rolled out during the run, if any.
    pub rollout: Option<Rollout>,
    /// Faults injected during the run.
    pub faults: Vec<Fault>,
    /// Parameters that vary; the first one changes slowest from point to point.
    pub variations: Vec<Variation>,
}

/// A request class of the load.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Name of the class in the scenario.
    pub name: String,
    /// Whether requests of this class may be sent again.
    pub idempotency: Idempotency,
    /// Mean processing time at an endpoint.
    pub work: Duration,
    /// Latency that clients are promised for a response.
    pub latency_objective: Duration,
    /// How long clients wait for a response.
    pub deadline: Duration,
    /// Value of a request that succeeds within its latency objective.
    pub priority_weight: f64,
    /// Share of the load, relative to the other classes.
    pub load_weight: f64,
}

/// A zone and its endpoints, which all have the same number of cores.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// Name of the zone in the scenario.
    pub name: String,
    /// Number of endpoints.
    pub endpoints: usize,
    /// Number of cores of each endpoint.
    pub cores: usize,
}

/// Network delay from one zone to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    /// Index of the sending zone.
    pub from: usize,
    /// Index of the receiving zone.
    pub to: usize,
    /// One-way delay.
    pub delay: Duration,
}

/// How clients behave after a rejection or failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientKind {
    /// Clients do not retry.
    Open,
    /// Clients retry often and without a budget.
    Naive,
    /// Clients follow the retry policy of `tulipwall-client-policy`.
    Careful,
}

impl ClientKind {
    /// All kinds, in the order of [`ClientKind::NAMES`].
    pub const ALL: [ClientKind; 3] = [ClientKind::Open, ClientKind::Naive, ClientKind::Careful];
    /// Names of the kinds in scenario documents, in the order of [`ClientKind::ALL`].
    pub const NAMES: [&'static str; 3] = ["open", "naive", "careful"];

    fn from_name(name: &str) -> Option<ClientKind> {
        let index = ClientKind::NAMES.iter().position(|n| *n == name)?;
        Some(ClientKind::ALL[index])
    }
}

/// Names of the routing policies in scenarios; the second one prefers the local zone.
const ROUTING_NAMES: [&str; 2] = ["as-ever", "near-first"];

/// A new build that is rolled out in stages.
#[derive(Clone, Debug, PartialEq)]
pub struct Rollout {
    /// Start of the first stage, from the start of the run.
    pub start: Duration,
    /// Processing time of the new build's endpoints, as a multiple of the usual time.
    pub slowness: f64,
    /// Share of requests that fail at the new build's endpoints, 0 to 1.
    pub failure_rate: f64,
    /// Cap of each stage: the highest share of the load that the build may receive.
    pub stages: Vec<f64>,
    /// Duration of each stage.
    pub stage_duration: Duration,
    /// Number of the new build's endpoints, distributed over the zones in turn.
    pub endpoints: usize,
}

/// A fault that is injected during the run.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Start of the fault, from the start of the run.
    pub start: Duration,
    /// Duration of the fault; `None` if it lasts to the end of the run, except that a stall then
    /// lasts one second. Drained and removed endpoints return by a restart.
    pub duration: Option<Duration>,
    /// Index of the zone whose endpoints are affected; `None` for all zones.
    pub zone: Option<usize>,
    /// Maximum number of endpoints affected in each zone, counted from the zone's first endpoint.
    pub max_endpoints: usize,
    /// Effect of the fault.
    pub kind: FaultKind,
}

/// Effect of a fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// Endpoints take this multiple of the usual processing time.
    Slow(f64),
    /// Endpoints fail this share of their requests, 0 to 1.
    Fail(f64),
    /// Endpoints are listed as draining.
    Drain,
    /// Endpoints are removed from the endpoint list.
    Gone,
    /// Endpoints stop responding.
    Unresponsive,
    /// All agents stop running for the duration of the fault.
    Stall,
    /// The load is this multiple of the usual load.
    Burst(f64),
}

impl Scenario {
    /// Parses a scenario document.
    ///
    /// # Errors
    /// Returns a diagnostic for everything that is wrong with the text, in the order of its lines.
    pub fn read(text: &str) -> Result<Scenario, Vec<ConfigDiagnostic>> {
        parse::scenario(text)
    }

    /// Estimates the peak memory of one run, in bytes: the agents' state of endpoints, the
    /// statistics of each second, and the requests in flight.
    pub fn estimated_memory(&self) -> f64 {
        let zone_endpoints: usize = self.zones.iter().map(|z| z.endpoints).sum();
        let rollout_endpoints = self.rollout.as_ref().map_or(0, |r| r.endpoints);
        let endpoints = (zone_endpoints + rollout_endpoints) as f64;
        let agents = self.agents as f64;
        let classes = self.classes.len() as f64;
        let seconds = self.duration.as_secs_f64() + 1.0;
        let longest_deadline = self
            .classes
            .iter()
            .map(|class| class.deadline.as_secs_f64())
            .fold(0.0, f64::max);

        let endpoint_state = agents * endpoints * (ENDPOINT_BYTES + ENDPOINT_CLASS_BYTES * classes);
        let histograms = seconds * SECOND_BYTES;
        let agent_counts = agents * seconds * AGENT_SECOND_BYTES;
        let requests_in_flight = self.rate * longest_deadline * REQUEST_BYTES;
        endpoint_state + histograms + agent_counts + requests_in_flight
    }
}
