//! Construction of the simulation of a scenario.

use crate::scenario::{ClientKind, Fault, FaultKind, RequestClass, Rollout, Scenario, Zone};
use std::time::Duration;
use tulipwall::{EndpointState, Settings};
use tulipwall_client_policy::RetryPolicy;
use tulipwall_testkit::simulation::{
    self, ClientBehavior, RolloutPlan, ScenarioEvent, SimulatedAgent, SimulatedEndpoint, Simulation,
};
use tulipwall_zones::{Budget, Limit, RoutingPolicy, ZoneConfig};

/// Build that runs from the start.
const OLD_BUILD: u32 = 41;
/// Build that is rolled out.
const NEW_BUILD: u32 = 42;
/// One-way network delay within a zone, unless the scenario sets it.
const LOCAL_DELAY: Duration = Duration::from_micros(150);
/// One-way network delay between two zones, unless the scenario sets it.
const REMOTE_DELAY: Duration = Duration::from_micros(500);
/// Window over which the cross-zone budget applies.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);
/// Share of the agents whose votes suffice to roll a build back.
const ROLLBACK_SHARE: f64 = 0.05;
/// Delay between the attempts of a naive client.
const NAIVE_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of attempts of a naive client for one request.
const NAIVE_MAX_ATTEMPTS: u32 = 20;
/// Duration of a stall, unless the scenario sets one.
const DEFAULT_STALL: Duration = Duration::from_secs(1);

/// Builds the simulation of a scenario with this seed.
pub fn build_simulation(scenario: &Scenario, seed: u64) -> Simulation {
    let mut simulated = Vec::new();
    let zone_endpoints = add_zone_endpoints(&scenario.zones, &mut simulated);
    let rollout_plan = scenario
        .rollout
        .as_ref()
        .map(|rollout| rollout_plan(scenario, rollout, &mut simulated));
    let agents = (0..scenario.agents).map(|n| agent(scenario, n)).collect();
    let mut simulation =
        Simulation::small(agents, simulated, scenario.rate, scenario.duration, seed);
    simulation.link_delays = delays(scenario);
    simulation.settings = settings(scenario);
    simulation.mean_work = scenario.classes.iter().map(|class| class.work).collect();
    simulation.classes = scenario
        .classes
        .iter()
        .map(|class| (class.load_weight, class.deadline))
        .collect();
    simulation.fixed_work_share = scenario.constant_work_share;
    simulation.link_loss = scenario.loss;
    simulation.notification_delay = scenario.notification_delay;
    simulation.client_behavior = clients(scenario.clients);
    simulation.rollout_plan = rollout_plan;
    simulation.events = events(scenario, &zone_endpoints);
    simulation
}

/// Adds the endpoints of all zones; returns their indices by zone.
fn add_zone_endpoints(zones: &[Zone], simulated: &mut Vec<SimulatedEndpoint>) -> Vec<Vec<usize>> {
    let mut zone_endpoints = vec![Vec::new(); zones.len()];
    for (index, zone) in zones.iter().enumerate() {
        for _ in 0..zone.endpoints {
            zone_endpoints[index].push(simulated.len());
            simulated.push(SimulatedEndpoint::new(index, OLD_BUILD, zone.cores));
        }
    }
    zone_endpoints
}

/// Adds the endpoints of the new build, which are not yet listed, and returns the rollout plan.
fn rollout_plan(
    scenario: &Scenario,
    rollout: &Rollout,
    simulated: &mut Vec<SimulatedEndpoint>,
) -> RolloutPlan {
    let mut new_build_endpoints = Vec::new();
    for n in 0..rollout.endpoints {
        let zone = n % scenario.zones.len();
        new_build_endpoints.push(simulated.len());
        simulated.push(SimulatedEndpoint {
            work_factor: rollout.slowness,
            failure_rate: rollout.failure_rate,
            state: EndpointState::Gone,
            ..SimulatedEndpoint::new(zone, NEW_BUILD, scenario.zones[zone].cores)
        });
    }
    RolloutPlan {
        build: NEW_BUILD,
        starts_at: rollout.start,
        caps: rollout.stages.clone(),
        stage_duration: rollout.stage_duration,
        endpoints: new_build_endpoints,
        votes_to_roll_back: votes_to_roll_back(scenario),
    }
}

fn votes_to_roll_back(scenario: &Scenario) -> usize {
    (scenario.agents as f64 * ROLLBACK_SHARE).ceil() as usize
}

/// Creates an agent of the scenario; agents are distributed over the zones in turn.
fn agent(scenario: &Scenario, number: usize) -> SimulatedAgent {
    let zone = number % scenario.zones.len();
    let has_zoning = scenario.prefer_local_zone || scenario.cross_zone_share.is_some();
    SimulatedAgent {
        zone,
        load_share: relative_load(scenario, number).max(0.0),
        zoning: has_zoning.then(|| zoning(scenario, zone)),
    }
}

/// Returns the load of an agent relative to the mean. Over the agents, it falls linearly from one
/// plus the spread to one minus the spread.
fn relative_load(scenario: &Scenario, number: usize) -> f64 {
    let last = (scenario.agents.max(2) - 1) as f64;
    1.0 + scenario.load_spread * (1.0 - 2.0 * number as f64 / last)
}

/// Returns the one-way delays by sending and receiving zone; the index after the last zone stands
/// for the clients.
fn delays(scenario: &Scenario) -> Vec<Vec<Duration>> {
    let zones = scenario.zones.len();
    let row = |from| (0..=zones).map(|to| delay(scenario, from, to)).collect();
    (0..=zones).map(row).collect()
}

fn delay(scenario: &Scenario, from: usize, to: usize) -> Duration {
    let default = if from == to {
        LOCAL_DELAY
    } else {
        REMOTE_DELAY
    };
    // If several links connect the same zones, the last one applies.
    let link = scenario
        .links
        .iter()
        .rev()
        .find(|link| link.from == from && link.to == to);
    link.map_or(default, |link| link.delay)
}

fn clients(kind: ClientKind) -> ClientBehavior {
    match kind {
        ClientKind::Open => ClientBehavior::NoRetries,
        ClientKind::Naive => ClientBehavior::FixedRetries {
            pause: NAIVE_RETRY_DELAY,
            max_attempts: NAIVE_MAX_ATTEMPTS,
        },
        ClientKind::Careful => ClientBehavior::PolicyRetries(RetryPolicy::default()),
    }
}

fn zoning(scenario: &Scenario, own_zone: usize) -> ZoneConfig {
    let budget = |share| Budget {
        name: "share".into(),
        to: None,
        class: None,
        limit: Limit::Share(share),
        window: BUDGET_WINDOW,
        agent_fraction: 1.0,
    };
    let budgets = scenario.cross_zone_share.into_iter().map(budget).collect();
    let classes = settings(scenario).classes;
    let zoning = simulation::default_zoning(&classes, own_zone, scenario.zones.len(), budgets);
    let routing = if scenario.prefer_local_zone {
        RoutingPolicy::LocalFirst
    } else {
        RoutingPolicy::BalancerDefault
    };
    ZoneConfig { routing, ..zoning }
}

fn settings(scenario: &Scenario) -> Settings {
    let class = |class: &RequestClass| tulipwall::RequestClass {
        latency_objective: class.latency_objective,
        priority_weight: class.priority_weight,
        idempotency: class.idempotency,
    };
    let mut settings = simulation::default_settings(scenario.classes.iter().map(class).collect());
    let stages = scenario.rollout.as_ref().map(|r| r.stages.clone());
    settings.rollout.caps = stages.unwrap_or_else(|| vec![1.0]);
    settings.rollout.votes_to_roll_back = votes_to_roll_back(scenario) as u32;
    settings
}

/// Returns the scheduled changes of all faults.
fn events(scenario: &Scenario, zone_endpoints: &[Vec<usize>]) -> Vec<(Duration, ScenarioEvent)> {
    scenario
        .faults
        .iter()
        .flat_map(|fault| fault_changes(scenario, fault, zone_endpoints))
        .collect()
}

fn fault_changes(
    scenario: &Scenario,
    fault: &Fault,
    zone_endpoints: &[Vec<usize>],
) -> Vec<(Duration, ScenarioEvent)> {
    let simulated = affected_endpoints(fault, zone_endpoints);
    let on_each = |begin: &dyn Fn(usize) -> ScenarioEvent, end: &dyn Fn(usize) -> ScenarioEvent| {
        endpoint_changes(fault, &simulated, begin, end)
    };
    match fault.kind {
        FaultKind::Slow(factor) => on_each(&|n| ScenarioEvent::SetWorkFactor(n, factor), &|n| {
            ScenarioEvent::SetWorkFactor(n, 1.0)
        }),
        FaultKind::Fail(share) => on_each(&|n| ScenarioEvent::SetFailureRate(n, share), &|n| {
            ScenarioEvent::SetFailureRate(n, 0.0)
        }),
        FaultKind::Drain => on_each(
            &|n| ScenarioEvent::SetState(n, EndpointState::Draining),
            &ScenarioEvent::Restart,
        ),
        FaultKind::Gone => on_each(
            &|n| ScenarioEvent::SetState(n, EndpointState::Gone),
            &ScenarioEvent::Restart,
        ),
        FaultKind::Unresponsive => on_each(&|n| ScenarioEvent::SetUnresponsive(n, true), &|n| {
            ScenarioEvent::SetUnresponsive(n, false)
        }),
        FaultKind::Stall => stall_changes(scenario, fault),
        FaultKind::Burst(factor) => burst_changes(scenario, fault, factor),
    }
}

/// Returns the indices of the endpoints that a fault affects.
fn affected_endpoints(fault: &Fault, zone_endpoints: &[Vec<usize>]) -> Vec<usize> {
    let zones = match fault.zone {
        Some(zone) => &zone_endpoints[zone..=zone],
        None => zone_endpoints,
    };
    zones
        .iter()
        .flat_map(|simulated| simulated.iter().take(fault.max_endpoints).copied())
        .collect()
}

/// Returns a change of each endpoint at the start of a fault, and another at its end if it has one.
fn endpoint_changes(
    fault: &Fault,
    simulated: &[usize],
    begin: &dyn Fn(usize) -> ScenarioEvent,
    end: &dyn Fn(usize) -> ScenarioEvent,
) -> Vec<(Duration, ScenarioEvent)> {
    let mut changes: Vec<_> = simulated.iter().map(|n| (fault.start, begin(*n))).collect();
    if let Some(duration) = fault.duration {
        let end_at = fault.start + duration;
        changes.extend(simulated.iter().map(|n| (end_at, end(*n))));
    }
    changes
}

fn stall_changes(scenario: &Scenario, fault: &Fault) -> Vec<(Duration, ScenarioEvent)> {
    let duration = fault.duration.unwrap_or(DEFAULT_STALL);
    let stall = |agent| (fault.start, ScenarioEvent::StallAgent(agent, duration));
    (0..scenario.agents).map(stall).collect()
}

fn burst_changes(
    scenario: &Scenario,
    fault: &Fault,
    factor: f64,
) -> Vec<(Duration, ScenarioEvent)> {
    let mut changes = vec![(
        fault.start,
        ScenarioEvent::SetRequestRate(scenario.rate * factor),
    )];
    if let Some(duration) = fault.duration {
        changes.push((
            fault.start + duration,
            ScenarioEvent::SetRequestRate(scenario.rate),
        ));
    }
    changes
}
