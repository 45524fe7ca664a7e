//! The measurement scenarios (rows): changes and failures of an installation, at its full size but
//! over a short time.

use super::simulation::{InstallationEvent, Simulation};
use super::size::Size;
use std::time::Duration;

/// An event with its time, counted from the end of the warm-up.
type TimedEvent = (Duration, InstallationEvent);

const fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

const fn milliseconds(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Simulated time before counting begins, so that watches are established and rates are steady.
const WARM_UP: Duration = seconds(5);
/// Time at which the event of a scenario begins.
const START: Duration = seconds(1);
/// Discovery notices the loss of machines between these times after it, one group after another.
const FIRST_NOTICE: Duration = milliseconds(1700);
const LAST_NOTICE: Duration = milliseconds(4700);
/// Interval between the groups of lost machines that discovery notices.
const NOTICE_INTERVAL: Duration = milliseconds(250);
/// Time at which lost machines are back.
const RECOVERY: Duration = seconds(12);
/// Time from the moment that discovery lists an endpoint as terminating until it is terminated, and
/// until its replacement is in service.
const TERMINATION: Duration = seconds(2);
const REPLACEMENT: Duration = seconds(3);
/// Number of machines in a rack.
const RACK_MACHINES: usize = 40;
/// Number of restarts and replacements on an ordinary day.
pub const RESTARTS_PER_DAY: f64 = 990.0;
/// Number of consecutive restarts in the scenarios of restarts.
pub const RESTARTS: usize = 12;
const RESTART_INTERVAL: Duration = seconds(2);
/// Load of the scenario `calm`, as a fraction of the load of the peak.
const CALM_SHARE: f64 = 0.2;
/// Number of services in the operators' installation.
const SERVICES: usize = 140;
/// A single service with more endpoints than this represents the whole installation.
const MAX_SERVICE_ENDPOINTS: usize = 1000;
/// Number of endpoints that restart while the regions are partitioned.
const PARTITION_RESTARTS: usize = 5;
/// Build that the scenarios of releases roll out.
const NEW_BUILD: u32 = 42;

/// A measurement scenario: one row of the first table of docs/CAPACITY.md.
#[derive(Clone, Debug)]
pub struct Row {
    /// Name on the command line and in reports.
    pub name: &'static str,
    /// Description of what happens, for reports.
    pub what: &'static str,
    /// Simulated time after the warm-up, in which everything is counted.
    pub duration: Duration,
    /// Size of the installation.
    pub size: Size,
    /// Events with their times, counted from the end of the warm-up.
    pub events: Vec<TimedEvent>,
}

impl Row {
    fn new(
        name: &'static str,
        what: &'static str,
        duration_seconds: u64,
        size: Size,
        events: Vec<TimedEvent>,
    ) -> Row {
        Row {
            name,
            what,
            duration: seconds(duration_seconds),
            size,
            events,
        }
    }

    /// Returns the simulation of the scenario, on `cores` threads.
    pub fn simulation(&self, seed: u64, cores: usize) -> Simulation {
        Simulation {
            size: self.size,
            seed,
            cores,
            warm_up: WARM_UP,
            duration: self.duration,
            events: self.events.clone(),
            own_settings: false,
        }
    }
}

/// Returns the event of a change of endpoints in discovery's list.
fn list_event(
    endpoints: Vec<usize>,
    state: &'static str,
    build: Option<u32>,
    started: bool,
) -> InstallationEvent {
    InstallationEvent::List {
        endpoints,
        state,
        build,
        started,
    }
}

/// Restarts the endpoints one after another at equal intervals over the time `over`, with a new
/// build if one is given. Each is first listed as terminating, then as terminated, then as in
/// service.
pub(super) fn rolling_restart(
    endpoints: &[usize],
    from: Duration,
    over: Duration,
    build: Option<u32>,
) -> Vec<TimedEvent> {
    let interval = over / endpoints.len().max(1) as u32;
    let mut events = Vec::new();
    for (n, endpoint) in endpoints.iter().enumerate() {
        let at = from + interval * n as u32;
        let one = || vec![*endpoint];
        events.push((at, list_event(one(), "terminating", None, false)));
        events.push((
            at + TERMINATION,
            list_event(one(), "terminated", None, false),
        ));
        events.push((
            at + REPLACEMENT,
            list_event(one(), "in_service", build, true),
        ));
    }
    events
}

/// All machines of these endpoints fail at once, discovery notices one group after another, and all
/// machines are back later.
fn outage(endpoints: Vec<usize>) -> Vec<TimedEvent> {
    let groups = ((LAST_NOTICE - FIRST_NOTICE).as_millis() / NOTICE_INTERVAL.as_millis()).max(1);
    let group_size = endpoints.len().div_ceil(groups as usize).max(1);
    let mut events = vec![
        (START, InstallationEvent::Down(endpoints.clone(), true)),
        (RECOVERY, InstallationEvent::Down(endpoints.clone(), false)),
    ];
    for (n, group) in endpoints.chunks(group_size).enumerate() {
        let delay = NOTICE_INTERVAL * n as u32;
        let gone = list_event(group.to_vec(), "terminated", None, false);
        let back = list_event(group.to_vec(), "in_service", None, true);
        events.push((START + FIRST_NOTICE + delay, gone));
        events.push((RECOVERY + delay, back));
    }
    events
}

/// Rolls out the new build: the endpoints restart with it over the time `over`, while the platform
/// reports the stages of the rollout.
fn release(
    endpoints: &[usize],
    over: Duration,
    second_stage_at: Duration,
    released_at: Duration,
) -> Vec<TimedEvent> {
    let status = |at, stage, phase, cap| {
        let event = InstallationEvent::RolloutStatus {
            build: NEW_BUILD,
            stage,
            phase,
            cap,
        };
        (at, event)
    };
    let mut events = rolling_restart(endpoints, START, over, Some(NEW_BUILD));
    events.extend([
        status(START, 0, "trial", 0.2),
        status(second_stage_at, 1, "trial", 0.6),
        status(released_at, 1, "released", 1.0),
    ]);
    events
}

/// Restarts the agents one after another at an interval.
fn agent_restarts(agents: &[usize], interval: Duration) -> Vec<TimedEvent> {
    let restart = |(n, agent): (usize, &usize)| {
        let at = START + interval * n as u32;
        (at, InstallationEvent::Restart(vec![*agent]))
    };
    agents.iter().enumerate().map(restart).collect()
}

/// Returns the numbers of the endpoints in a zone.
fn zone_endpoints(size: &Size, zone: usize) -> Vec<usize> {
    let in_zone = |endpoint: &usize| size.zone(*endpoint) == zone;
    (0..size.endpoints).filter(in_zone).collect()
}

/// Returns the numbers of the agents in a zone.
fn zone_agents(size: &Size, zone: usize) -> Vec<usize> {
    let in_zone = |agent: &usize| size.zone(*agent) == zone;
    (0..size.agents).filter(in_zone).collect()
}

/// Returns the first `count` of these numbers.
fn first(numbers: impl IntoIterator<Item = usize>, count: usize) -> Vec<usize> {
    numbers.into_iter().take(count).collect()
}

/// Returns all scenarios. `quiet` is the load of all except `peak` and `calm`, in requests a second
/// for each agent, for runs in which only their bytes and messages matter; `None` for the load of
/// the size.
pub fn rows(size: Size, quiet: Option<f64>) -> Vec<Row> {
    let rate = quiet.unwrap_or(size.rate);
    let quiet_size = Size { rate, ..size };
    let mut rows = load_rows(size);
    rows.push(reload_row(quiet_size));
    rows.extend(release_rows(quiet_size));
    rows.extend(restart_rows(quiet_size));
    rows.extend(outage_rows(quiet_size));
    rows.push(partition_row(quiet_size));
    rows
}

fn load_rows(size: Size) -> Vec<Row> {
    let calm = Size {
        rate: size.rate * CALM_SHARE,
        ..size
    };
    let peak_text = "the peak's load, nothing changes";
    let calm_text = "a fifth of the peak's load, nothing changes";
    vec![
        Row::new("peak", peak_text, 2, size, Vec::new()),
        Row::new("calm", calm_text, 20, calm, Vec::new()),
    ]
}

fn reload_row(size: Size) -> Row {
    let agents = (0..size.agents).collect();
    let events = vec![(START, InstallationEvent::Reload(agents))];
    let what = "SIGHUP to all agents in one moment";
    Row::new("configuration", what, 12, size, events)
}

fn release_rows(size: Size) -> Vec<Row> {
    // One service is a 140th of the installation if a single large service represents all of it;
    // otherwise it is the first service.
    let is_whole_installation = size.services == 1 && size.endpoints > MAX_SERVICE_ENDPOINTS;
    let service: Vec<usize> = if is_whole_installation {
        (0..size.endpoints / SERVICES).collect()
    } else {
        size.service_endpoints(0).collect()
    };
    let everything: Vec<usize> = (0..size.endpoints).collect();
    let one = release(&service, seconds(30), seconds(12), seconds(36));
    let all = release(&everything, seconds(60), seconds(20), seconds(65));
    let one_text = "one service's appliances change build within 30 s";
    let all_text = "all appliances change build within 60 s";
    vec![
        Row::new("release", one_text, 45, size, one),
        Row::new("release-all", all_text, 75, size, all),
    ]
}

fn restart_rows(size: Size) -> Vec<Row> {
    let endpoints = first(0..size.endpoints, RESTARTS);
    let over = RESTART_INTERVAL * RESTARTS as u32;
    let endpoint_restarts = rolling_restart(&endpoints, START, over, None);
    let agents = first(0..size.agents, RESTARTS);
    let few_restarts = agent_restarts(&agents, RESTART_INTERVAL);
    let zone = zone_agents(&size, 0);
    let interval = seconds(60) / zone.len().max(1) as u32;
    let zone_restarts = agent_restarts(&zone, interval);
    let endpoint_text = "12 appliances restart, one each 2 s";
    let agent_text = "12 agents restart, one each 2 s";
    let zone_text = "all agents of a zone restart within a minute";
    vec![
        Row::new("restarts", endpoint_text, 32, size, endpoint_restarts),
        Row::new("agents", agent_text, 32, size, few_restarts),
        Row::new("zone-agents", zone_text, 70, size, zone_restarts),
    ]
}

fn outage_rows(size: Size) -> Vec<Row> {
    let machine = outage(first(zone_endpoints(&size, 0), 1));
    let rack_zone = size.zones / 2;
    let rack = outage(first(zone_endpoints(&size, rack_zone), RACK_MACHINES));
    let mut zone = outage(zone_endpoints(&size, 1));
    let lost_agents = zone_agents(&size, 1);
    zone.push((RECOVERY, InstallationEvent::Restart(lost_agents)));
    let machine_text = "one machine vanishes and is back after 11 s";
    let rack_text = "40 machines of a zone vanish and are back after 11 s";
    let zone_text = "a zone vanishes and is back after 11 s";
    vec![
        Row::new("machine", machine_text, 22, size, machine),
        Row::new("rack", rack_text, 24, size, rack),
        Row::new("zone", zone_text, 28, size, zone),
    ]
}

fn partition_row(size: Size) -> Row {
    let mut events = vec![
        (START, InstallationEvent::Partition(true)),
        (seconds(31), InstallationEvent::Partition(false)),
    ];
    let restarting = first(zone_endpoints(&size, 0), PARTITION_RESTARTS);
    events.extend(rolling_restart(&restarting, seconds(5), seconds(20), None));
    let what = "the regions lose each other for 30 s";
    Row::new("cut", what, 50, size, events)
}
