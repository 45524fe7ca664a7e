//! The description of a simulation: agents, endpoints, clients and scenario events.

use super::runner::Runner;
use super::SimulationReport;
use std::collections::BTreeMap;
use std::time::Duration;
use tulipwall::{
    DeduplicationScope, EndpointState, Idempotency, RequestClass, RolloutPhase, RolloutPolicy,
    RolloutStatus, Settings,
};
use tulipwall_client_policy::RetryPolicy;
use tulipwall_zones::{Budget, ClassProfile, Link, RoutingPolicy, ZoneConfig};

/// One-way delay within a zone.
const LOCAL_DELAY: Duration = Duration::from_micros(150);
/// One-way delay between two zones.
const REMOTE_DELAY: Duration = Duration::from_millis(2);

/// The description of a simulated endpoint.
#[derive(Clone, Debug)]
pub struct SimulatedEndpoint {
    /// Index of the endpoint's zone.
    pub zone: usize,
    /// The number of the build that the endpoint runs.
    pub build: u32,
    /// Number of requests that run concurrently.
    pub cores: usize,
    /// Work of a request relative to the mean work of its class: at 2.0 the endpoint is half as
    /// fast.
    pub work_factor: f64,
    /// Number of requests that may wait for a core; further ones are rejected.
    pub queue_limit: usize,
    /// Share of requests that fail after they have run, 0 to 1.
    pub failure_rate: f64,
    /// The state in the endpoint list.
    pub state: EndpointState,
    /// Simulated time of the start; `None` for an endpoint past its slow start.
    pub started: Option<Duration>,
    /// Whether the endpoint neither replies nor refuses connections.
    pub unresponsive: bool,
}

impl SimulatedEndpoint {
    /// Creates a running endpoint that is past its slow start.
    pub fn new(zone: usize, build: u32, cores: usize) -> SimulatedEndpoint {
        SimulatedEndpoint {
            zone,
            build,
            cores,
            work_factor: 1.0,
            queue_limit: 200,
            failure_rate: 0.0,
            state: EndpointState::Running,
            started: None,
            unresponsive: false,
        }
    }
}

/// The description of a simulated agent.
#[derive(Clone, Debug)]
pub struct SimulatedAgent {
    /// Index of the agent's zone.
    pub zone: usize,
    /// Weight by which requests are distributed over the agents.
    pub load_share: f64,
    /// The cross-zone settings; `None` for an agent without accounting of cross-zone traffic.
    pub zoning: Option<ZoneConfig>,
}

/// How clients handle a request that was rejected or failed.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientBehavior {
    /// Clients do not retry.
    NoRetries,
    /// Clients retry after a fixed pause, regardless of the failure, the idempotency and the load.
    FixedRetries {
        /// Delay between a failure and the retry.
        pause: Duration,
        /// Upper limit on tries, the first one included.
        max_attempts: u32,
    },
    /// Clients retry as the client library does, with one client per agent.
    PolicyRetries(RetryPolicy),
}

/// A rollout with timed stages. The stage timer is paused while a hold is in force.
#[derive(Clone, Debug)]
pub struct RolloutPlan {
    /// The number of the build.
    pub build: u32,
    /// Start of the first stage, from the beginning of the simulation.
    pub starts_at: Duration,
    /// For each stage the cap: the share of requests, 0 to 1, that may go to the build.
    pub caps: Vec<f64>,
    /// How long each stage lasts, not counting holds.
    pub stage_duration: Duration,
    /// Indices of the build's endpoints. Each stage starts an equal part of them. Until then they
    /// must be listed as gone.
    pub endpoints: Vec<usize>,
    /// Number of agents that must vote to roll back before the build is rolled back.
    pub votes_to_roll_back: usize,
}

/// Injected faults: false information given to the agents, so that they break a rule and a checker
/// must report it. Empty by default.
#[derive(Clone, Debug, Default)]
pub struct InjectedFaults {
    /// Idempotency that agents assume instead of the true one, by class.
    pub idempotency: BTreeMap<usize, Idempotency>,
    /// Whether agents are not notified of endpoints that drain or are gone.
    pub hide_drains: bool,
    /// Whether agents are told that endpoints in slow start are past it.
    pub hide_cold_starts: bool,
    /// Cap that agents are told instead of the true one; `None` for the true one.
    pub reported_cap: Option<f64>,
}

/// Returns the classes of a small service: idempotent views, keyed messages, and non-idempotent
/// payments.
pub fn classes() -> Vec<RequestClass> {
    let class = |latency_objective, priority_weight, idempotency| RequestClass {
        latency_objective: Duration::from_millis(latency_objective),
        priority_weight,
        idempotency,
    };
    let keyed = Idempotency::Keyed {
        scope: DeduplicationScope::All,
        window: Duration::from_secs(3),
    };
    vec![
        class(400, 3.0, Idempotency::Idempotent),
        class(400, 3.5, keyed),
        class(750, 9.0, Idempotency::NonIdempotent),
    ]
}

/// Returns settings for a simulation: cross-zone traffic has a price, builds run side by side in
/// timed stages, hedging and cancellation are allowed, and a rejection may name a retry time.
pub fn default_settings(classes: Vec<RequestClass>) -> Settings {
    let secs = Duration::from_secs;
    Settings {
        seed: 0,
        agents: 1,
        zone: 0,
        classes,
        tenants: Vec::new(),
        weight_by_work: false,
        list_polled: false,
        shared_discovery: false,
        max_poll_interval: secs(10),
        hedging: true,
        cancellation: true,
        retry_after: Some(secs(2)),
        max_attempts: 5,
        cross_zone_price: 0.04,
        slow_start_share: 0.3,
        slow_start_duration: secs(4),
        overload_window: secs(2),
        overload_factor: 3.0,
        load_probes: false,
        key_affinity: false,
        timer_granularity: Duration::from_millis(1),
        rollout: RolloutPolicy {
            caps: vec![0.08, 0.25, 0.6, 1.0],
            exposure_burst: 2.0,
            cap_per_class: false,
            guarded_stages: 0,
            sticky_builds: false,
            timed_stages: true,
            in_place: false,
            votes_to_roll_back: 1,
            votes_to_hold: 1,
            platform_counts: false,
            vote_ttl: secs(10),
            vote_timeout: Duration::from_millis(800),
            votes_per_second: 120.0,
            reported_error_share: 0.3,
        },
    }
}

/// Returns the cross-zone settings of an agent in zone `own_zone` of `zones` zones: the local zone
/// first, no prices.
pub fn default_zoning(
    classes: &[RequestClass],
    own_zone: usize,
    zones: usize,
    budgets: Vec<Budget>,
) -> ZoneConfig {
    ZoneConfig {
        local_zone: own_zone,
        zone_count: zones,
        classes: classes
            .iter()
            .map(|request_class| ClassProfile {
                priority_weight: request_class.priority_weight,
                latency_objective: request_class.latency_objective,
            })
            .collect(),
        links: vec![Link::default(); zones + 1],
        budgets,
        routing: RoutingPolicy::LocalFirst,
    }
}

impl Simulation {
    /// Creates a simulation of [`classes`] without events, with build 41 released. One-way delays
    /// are 2 ms between zones and 0.15 ms within a zone, the mean work is 20 ms (30 ms for
    /// payments), and clients do not retry.
    pub fn small(
        agents: Vec<SimulatedAgent>,
        endpoints: Vec<SimulatedEndpoint>,
        request_rate: f64,
        duration: Duration,
        seed: u64,
    ) -> Simulation {
        let ms = Duration::from_millis;
        Simulation {
            settings: default_settings(classes()),
            link_delays: default_link_delays(zone_count(&agents, &endpoints)),
            agents,
            endpoints,
            mean_work: vec![ms(20), ms(20), ms(30)],
            fixed_work_share: 0.4,
            link_loss: 0.0,
            notification_delay: Duration::ZERO,
            classes: vec![(0.45, ms(1500)), (0.45, ms(1500)), (0.1, ms(2000))],
            request_rate,
            client_behavior: ClientBehavior::NoRetries,
            rollout_plan: None,
            injected_faults: InjectedFaults::default(),
            traced_request: None,
            duration,
            rollout_status: Some(released(41)),
            events: Vec::new(),
            seed,
        }
    }

    /// Runs the simulation to its end.
    pub fn run(self) -> SimulationReport {
        Runner::new(self).run()
    }
}

/// Returns the number of zones in use, plus one that endpoints may move to.
fn zone_count(agents: &[SimulatedAgent], endpoints: &[SimulatedEndpoint]) -> usize {
    let agent_zones = agents.iter().map(|agent| agent.zone);
    let endpoint_zones = endpoints.iter().map(|endpoint| endpoint.zone);
    endpoint_zones.chain(agent_zones).max().unwrap_or(0) + 2
}

fn default_link_delays(zones: usize) -> Vec<Vec<Duration>> {
    let delay = |from, to| {
        if from == to {
            LOCAL_DELAY
        } else {
            REMOTE_DELAY
        }
    };
    (0..zones)
        .map(|from| (0..zones).map(|to| delay(from, to)).collect())
        .collect()
}

fn released(build: u32) -> RolloutStatus {
    RolloutStatus {
        build,
        stage: 0,
        phase: RolloutPhase::Released,
        cap: 1.0,
        since: Duration::ZERO,
    }
}

/// A scripted event of a simulation.
#[derive(Clone, Debug)]
pub enum ScenarioEvent {
    /// Sets the state of an endpoint. An endpoint that is set to gone crashes.
    SetState(usize, EndpointState),
    /// Restarts an endpoint, which begins a slow start.
    Restart(usize),
    /// Crashes an endpoint, which comes up again in another zone.
    MoveToZone(usize, usize),
    /// Sets an endpoint's [`SimulatedEndpoint::work_factor`].
    SetWorkFactor(usize, f64),
    /// Sets an endpoint's [`SimulatedEndpoint::failure_rate`].
    SetFailureRate(usize, f64),
    /// Sets an endpoint's [`SimulatedEndpoint::unresponsive`].
    SetUnresponsive(usize, bool),
    /// Sets the rollout status that the platform publishes.
    RolloutStatus(RolloutStatus),
    /// Sets the requests per second over all agents.
    SetRequestRate(f64),
    /// Stalls an agent for this long.
    StallAgent(usize, Duration),
    /// Reloads an agent's cross-zone settings. Zones and classes must stay the same.
    SetZoning(usize, ZoneConfig),
    /// Sets the one-way delay from one zone to another.
    SetLinkDelay(usize, usize, Duration),
}

/// The complete description of a simulation.
#[derive(Clone, Debug)]
pub struct Simulation {
    /// The settings of all agents. Seed, zone and number of agents are set for each agent.
    pub settings: Settings,
    /// The agents. Other fields refer to an agent by its index here.
    pub agents: Vec<SimulatedAgent>,
    /// The endpoints. Other fields refer to an endpoint by its index here.
    pub endpoints: Vec<SimulatedEndpoint>,
    /// One-way delays, by source zone and destination zone.
    pub link_delays: Vec<Vec<Duration>>,
    /// Mean work of a request, by class.
    pub mean_work: Vec<Duration>,
    /// Constant share of the work, 0 to 1; the rest is exponentially distributed. 0 gives the
    /// exponential service times of textbook M/M/c queues.
    pub fixed_work_share: f64,
    /// Share, 0 to 1, of attempts and of replies that are lost between two zones.
    pub link_loss: f64,
    /// Delay before agents learn of a change of the endpoint list or the rollout.
    pub notification_delay: Duration,
    /// For each class its weight and the time within which requests must be answered.
    pub classes: Vec<(f64, Duration)>,
    /// Requests per second over all agents.
    pub request_rate: f64,
    /// How clients handle a request that was rejected or failed.
    pub client_behavior: ClientBehavior,
    /// The build that is rolled out during the simulation; `None` for no rollout.
    pub rollout_plan: Option<RolloutPlan>,
    /// Faults that are injected into what the agents are told.
    pub injected_faults: InjectedFaults,
    /// The request to trace in the report, by agent index and request id; `None` to trace none.
    pub traced_request: Option<(usize, u64)>,
    /// How long requests arrive.
    pub duration: Duration,
    /// The rollout status at the beginning; `None` if agents are told nothing about rollouts.
    pub rollout_status: Option<RolloutStatus>,
    /// Scripted events with their times from the beginning of the simulation, in any order.
    pub events: Vec<(Duration, ScenarioEvent)>,
    /// Seed of all random draws.
    pub seed: u64,
}
