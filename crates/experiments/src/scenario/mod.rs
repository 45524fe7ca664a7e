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

/// Estimated bytes that an agent keeps for each endpoint, classes apart.
const ENDPOINT_BYTES: f64 = 400.0;
/// Estimated bytes that an agent keeps for each pair of endpoint and request class.
const ENDPOINT_CLASS_BYTES: f64 = 40.0;
/// Estimated bytes of the latency histogram of one simulated second.
const SECOND_BYTES: f64 = 200_000.0;
/// Estimated bytes of the counts that an agent keeps for one simulated second.
const AGENT_SECOND_BYTES: f64 = 40.0;
/// Estimated bytes of a request in flight.
const REQUEST_BYTES: f64 = 2000.0;

/// One experiment: an installation, its load, the faults injected into it and what varies.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Title, as records and pages show it.
    pub name: String,
    /// Runs of each point, with the seeds 1 to this number.
    pub seeds: u64,
    /// Simulated time of one run.
    pub duration: Duration,
    /// Requests a second, over all agents.
    pub rate: f64,
    /// Number of agents, distributed over the zones in turn.
    pub agents: usize,
    /// Inequality of the agents' loads: 0 for equal ones, 1 where the largest is twice the mean.
    pub load_spread: f64,
    /// Request classes of the load.
    pub classes: Vec<RequestClass>,
    /// Zones with their endpoints.
    pub zones: Vec<Zone>,
    /// Network delays that differ from the defaults.
    pub links: Vec<Link>,
    /// How clients retry.
    pub clients: ClientKind,
    /// Whether agents prefer endpoints of their own zone.
    pub prefer_local_zone: bool,
    /// The part of a request's work that is constant, 0 to 1; the rest is exponential.
    pub constant_work_share: f64,
    /// Share of attempts and of answers lost between zones, 0 to 1.
    pub loss: f64,
    /// Delay until agents are told of endpoint lists and rollout status.
    pub notification_delay: Duration,
    /// Budget for cross-zone traffic, as a share of all requests.
    pub cross_zone_share: Option<f64>,
    /// A build that is rolled out during the run.
    pub rollout: Option<Rollout>,
    /// Faults injected during the run.
    pub faults: Vec<Fault>,
    /// Parameters that vary, the first one slowest.
    pub variations: Vec<Variation>,
}

/// A request class of the load.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Name in the scenario.
    pub name: String,
    /// Whether requests may be sent again.
    pub idempotency: Idempotency,
    /// Mean processing time at an endpoint.
    pub work: Duration,
    /// Latency that clients are promised.
    pub latency_objective: Duration,
    /// How long clients wait.
    pub deadline: Duration,
    /// Value of a request that succeeds within its latency objective.
    pub priority_weight: f64,
    /// Share of the load, relative to the other classes.
    pub load_weight: f64,
}

/// A zone and its endpoints, which are all equal.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// Name in the scenario.
    pub name: String,
    /// Number of endpoints.
    pub endpoints: usize,
    /// Cores of each endpoint.
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
    /// They do not retry.
    Open,
    /// They retry often and without a budget.
    Naive,
    /// They follow the retry policy of `tulipwall-client-policy`.
    Careful,
}

impl ClientKind {
    /// All kinds, in the order of [`ClientKind::NAMES`].
    pub const ALL: [ClientKind; 3] = [ClientKind::Open, ClientKind::Naive, ClientKind::Careful];
    /// Their names in scenarios.
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
    /// When its first stage starts.
    pub start: Duration,
    /// Processing time of its endpoints, as a multiple of the usual one.
    pub slowness: f64,
    /// Share of requests that its endpoints fail, 0 to 1.
    pub failure_rate: f64,
    /// Highest share of the load that the build may take in each stage.
    pub stages: Vec<f64>,
    /// How long each stage lasts.
    pub stage_duration: Duration,
    /// Number of its endpoints, distributed over the zones in turn.
    pub endpoints: usize,
}

/// A fault that is injected during the run.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// When it starts.
    pub start: Duration,
    /// How long it lasts; for good otherwise. Drained and removed endpoints return with a start.
    pub duration: Option<Duration>,
    /// The zone whose endpoints it concerns; all zones otherwise.
    pub zone: Option<usize>,
    /// Number of endpoints concerned in each zone, from the first on.
    pub max_endpoints: usize,
    /// What happens.
    pub kind: FaultKind,
}

/// What a fault does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// Endpoints take this multiple of the usual processing time.
    Slow(f64),
    /// Endpoints fail this share of their requests.
    Fail(f64),
    /// Endpoints are listed as draining.
    Drain,
    /// Endpoints are removed from the list.
    Gone,
    /// Endpoints stop answering.
    Unresponsive,
    /// All agents stop running.
    Stall,
    /// The load is this multiple of the usual one.
    Burst(f64),
}

impl Scenario {
    /// Parses a scenario document.
    ///
    /// # Errors
    /// Everything that is wrong with the text, in the order of its lines.
    pub fn read(text: &str) -> Result<Scenario, Vec<ConfigDiagnostic>> {
        parse::scenario(text)
    }

    /// Estimated peak memory of one run in bytes: what agents know of endpoints, statistics by
    /// second, and requests in flight.
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
