//! What is simulated: agents, endpoints, clients, and what happens to them.

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

/// Delay of one way within a zone.
const LOCAL_DELAY: Duration = Duration::from_micros(150);
/// Delay of one way between two zones.
const REMOTE_DELAY: Duration = Duration::from_millis(2);

/// A simulated endpoint.
#[derive(Clone, Debug)]
pub struct SimulatedEndpoint {
    /// Index of its zone.
    pub zone: usize,
    /// The build that it runs.
    pub build: u32,
    /// How many requests run at once.
    pub cores: usize,
    /// What a request takes against the usual work: at 2.0 the endpoint is half as fast.
    pub work_factor: f64,
    /// Requests that may wait for a core; further ones are rejected.
    pub queue_limit: usize,
    /// Share of replies that are errors, 0 to 1.
    pub failure_rate: f64,
    /// What the list says of it.
    pub state: EndpointState,
    /// When it was started; `None` for long ago.
    pub started: Option<Duration>,
    /// It neither replies nor refuses.
    pub unresponsive: bool,
}

impl SimulatedEndpoint {
    /// A running endpoint that has been up for long.
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

/// One agent.
#[derive(Clone, Debug)]
pub struct SimulatedAgent {
    /// Index of its zone.
    pub zone: usize,
    /// Its weight when requests are spread over the agents.
    pub load_share: f64,
    /// Its cross-zone settings; `None` for an agent that knows no zones.
    pub zoning: Option<ZoneConfig>,
}

/// What clients do with a request that was rejected or failed.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientBehavior {
    /// Nothing: each request is tried once.
    NoRetries,
    /// Retry after a fixed pause, whatever happened and whatever it costs.
    FixedRetries {
        /// Time between a failure and the retry.
        pause: Duration,
        /// Tries in all.
        max_attempts: u32,
    },
    /// Retry as the client library does, one client to each agent.
    PolicyRetries(RetryPolicy),
}

/// A build that the platform takes through its stages by the clock, which stands still while a hold
/// lasts.
#[derive(Clone, Debug)]
pub struct RolloutPlan {
    /// The build.
    pub build: u32,
    /// When the first stage begins, since the beginning of the simulation.
    pub starts_at: Duration,
    /// Share of requests that may go to the build, by stage.
    pub caps: Vec<f64>,
    /// How long each stage lasts, without holds.
    pub stage_duration: Duration,
    /// Its endpoints, which start in equal parts with the stages. Until then they must be listed as
    /// gone.
    pub endpoints: Vec<usize>,
    /// Agents that must vote to roll back.
    pub votes_to_roll_back: usize,
}

/// What the agents are told wrongly, so that they break a rule and a checker must see it. Nothing
/// by default.
#[derive(Clone, Debug, Default)]
pub struct InjectedFaults {
    /// By class: how it may be repeated, as the decisions think.
    pub idempotency: BTreeMap<usize, Idempotency>,
    /// Agents are not told of endpoints that drain or go.
    pub hide_drains: bool,
    /// Endpoints in slow start are told as long up.
    pub hide_cold_starts: bool,
    /// The cap that agents are told in place of the one that holds.
    pub reported_cap: Option<f64>,
}

/// The classes of a small service: idempotent views, keyed messages, and payments that are never
/// repeated.
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

/// Settings for a simulation: cross-zone traffic has a price, builds run side by side and pass by
/// the clock, hedging and cancellation are allowed, and a rejection may name a retry time.
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

/// Cross-zone settings of an agent in zone `own` of `zones`: the local zone first, no prices.
pub fn default_zoning(
    classes: &[RequestClass],
    own: usize,
    zones: usize,
    budgets: Vec<Budget>,
) -> ZoneConfig {
    ZoneConfig {
        local_zone: own,
        zone_count: zones,
        classes: classes
            .iter()
            .map(|l| ClassProfile {
                priority_weight: l.priority_weight,
                latency_objective: l.latency_objective,
            })
            .collect(),
        links: vec![Link::default(); zones + 1],
        budgets,
        routing: RoutingPolicy::LocalFirst,
    }
}

impl Simulation {
    /// A simulation without events on [`classes`], build 41 released: links of 2 ms between zones
    /// and of 0.15 ms within, work of 20 ms (payments 30), clients without retries.
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

    /// Runs it to its end.
    pub fn run(self) -> SimulationReport {
        Runner::new(self).run()
    }
}

/// Zones that are in use, and one more that endpoints may move to.
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

/// Something that happens in a simulation.
#[derive(Clone, Debug)]
pub enum ScenarioEvent {
    /// What the list says of an endpoint from now on. One that is gone crashes.
    SetState(usize, EndpointState),
    /// An endpoint is started anew and is in slow start.
    Restart(usize),
    /// An endpoint crashes and is up again in another zone.
    MoveToZone(usize, usize),
    /// Sets an endpoint's [`SimulatedEndpoint::work_factor`].
    SetWorkFactor(usize, f64),
    /// Sets an endpoint's [`SimulatedEndpoint::failure_rate`].
    SetFailureRate(usize, f64),
    /// Sets an endpoint's [`SimulatedEndpoint::unresponsive`].
    SetUnresponsive(usize, bool),
    /// What the platform says of the rollout from now on.
    RolloutStatus(RolloutStatus),
    /// Requests a second, over all agents.
    SetRequestRate(f64),
    /// An agent stands still for so long.
    StallAgent(usize, Duration),
    /// An agent's cross-zone settings are reloaded; zones and classes stay as they are.
    SetZoning(usize, ZoneConfig),
    /// Sets one direction of the link between two zones.
    SetLinkDelay(usize, usize, Duration),
}

/// Agents, endpoints and clients, with what happens to them.
#[derive(Clone, Debug)]
pub struct Simulation {
    /// The settings of all agents, but for what is an agent's own.
    pub settings: Settings,
    /// The agents.
    pub agents: Vec<SimulatedAgent>,
    /// The endpoints.
    pub endpoints: Vec<SimulatedEndpoint>,
    /// Delay from zone to zone, one way.
    pub link_delays: Vec<Vec<Duration>>,
    /// Mean work of each class.
    pub mean_work: Vec<Duration>,
    /// The share of the work that is always the same; the rest is exponential. 0 gives the queues
    /// of the textbook.
    pub fixed_work_share: f64,
    /// Share of attempts, and of their replies, that is lost between two zones.
    pub link_loss: f64,
    /// How much later agents are told of lists and rollouts.
    pub notification_delay: Duration,
    /// Weights of classes, and how long a request of each may take.
    pub classes: Vec<(f64, Duration)>,
    /// Requests a second, over all agents.
    pub request_rate: f64,
    /// What clients do with a request that was rejected or failed.
    pub client_behavior: ClientBehavior,
    /// A build that is rolled out meanwhile.
    pub rollout_plan: Option<RolloutPlan>,
    /// What the agents are told wrongly.
    pub injected_faults: InjectedFaults,
    /// A request that is traced in the report: its agent, and its id there.
    pub traced_request: Option<(usize, u64)>,
    /// How long requests come.
    pub duration: Duration,
    /// What the platform says of the rollout at the beginning.
    pub rollout_status: Option<RolloutStatus>,
    /// When something happens, since the beginning of the simulation, in any order.
    pub events: Vec<(Duration, ScenarioEvent)>,
    /// Seeds all draws.
    pub seed: u64,
}
