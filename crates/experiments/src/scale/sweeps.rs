//! The sweeps: series of simulations that differ in one count, to which lines are fitted.

use super::figures::{
    Figure, BALANCER_UPDATE, BYTES, CONTROL_CORE, CORE, DECISIONS, DISCOVERY_BYTES,
    DISCOVERY_CALLS, LIST_UPDATE, MEMORY, PARSING, PLATFORM_BYTES, POLL, SCANS_PER_POLL,
    SCANS_PER_REQUEST, TENANT_LOOKUP, WHOLE_LIST,
};
use super::rows::rolling_restart;
use super::simulation::{InstallationEvent, Simulation};
use super::size::Size;
use std::time::Duration;

const WARM_UP: Duration = Duration::from_secs(2);
/// Traffic is measured over a longer time, because a watch lasts many seconds.
const TRAFFIC_WARM_UP: Duration = Duration::from_secs(5);
const TRAFFIC_DURATION: Duration = Duration::from_secs(20);
const MEMORY_DURATION: Duration = Duration::from_secs(1);
/// Time of the event of a sweep, counted from the end of the warm-up.
const EVENT_AT: Duration = Duration::from_secs(1);
/// Requests a second of an agent in the sweeps that measure traffic, and in those that measure
/// memory.
const TRAFFIC_RATE: f64 = 10.0;
const MEMORY_RATE: f64 = 20.0;
/// Number of agents in the sweeps that measure processor time.
const AGENTS: usize = 2;
/// Number of agents in the sweeps that measure memory.
const MEMORY_AGENTS: usize = 8;
/// Number of agents in two mean services, which have 5.5 each.
const AGENTS_PER_TWO_SERVICES: usize = 11;
/// Number of endpoints in a mean service.
const SERVICE_ENDPOINTS: usize = 55;
/// Number of endpoints that restart in the sweep of list changes.
const RESTARTS: usize = 5;

/// One point of a sweep: a simulation with one value of the count.
#[derive(Clone, Debug)]
pub struct SweepPoint {
    /// Value of the count.
    pub count: f64,
    /// Simulation with this count.
    pub simulation: Simulation,
}

/// A series of simulations that vary one count.
#[derive(Clone, Debug)]
pub struct Sweep {
    /// Name on the command line and in reports.
    pub name: &'static str,
    /// Name of the count that varies.
    pub count_name: &'static str,
    /// The points, in increasing order of the count.
    pub points: Vec<SweepPoint>,
    /// Figures to report for each point.
    pub figures: Vec<Figure>,
    /// Whether each point is simulated in a process of its own, so that its memory can be measured.
    pub in_own_process: bool,
}

impl Sweep {
    /// Whether any figure is a processor time, which other threads of the process would distort.
    pub fn is_timed(&self) -> bool {
        self.figures.iter().any(|figure| figure.is_time)
    }
}

/// The values of the counts in all sweeps.
struct Counts {
    endpoints: &'static [usize],
    classes: &'static [usize],
    /// Numbers of classes in the sweeps with many endpoints.
    classes_of_many_endpoints: &'static [usize],
    tenants: &'static [usize],
    agents: &'static [usize],
    services: &'static [usize],
    rates: &'static [usize],
    /// Number of endpoints in the sweeps with many endpoints.
    many_endpoints: usize,
    duration: Duration,
}

/// Counts up to the operators' size.
const FULL: Counts = Counts {
    endpoints: &[55, 550, 1100, 2200, 4400, 7700],
    classes: &[11, 40, 160, 400, 1600],
    classes_of_many_endpoints: &[11, 40, 80, 160],
    tenants: &[400, 5600, 14_000, 28_000, 56_000],
    agents: &[6, 24, 96, 384, 770],
    services: &[1, 10, 35, 70, 140],
    rates: &[18, 36, 72, 143, 286],
    many_endpoints: 770,
    duration: Duration::from_secs(5),
};

/// Counts for a quick run.
const SMALL: Counts = Counts {
    endpoints: &[55, 110, 220, 440],
    classes: &[11, 20, 40, 80],
    classes_of_many_endpoints: &[3, 6, 12, 24],
    tenants: &[400, 800, 1600, 3200],
    agents: &[4, 8, 16, 32],
    services: &[1, 2, 4, 8],
    rates: &[20, 40, 80, 160],
    many_endpoints: 110,
    duration: Duration::from_secs(3),
};

/// Returns all sweeps; with `full` their counts go up to the operators' size.
pub fn sweeps(full: bool, seed: u64) -> Vec<Sweep> {
    let counts = if full { &FULL } else { &SMALL };
    let builder = SweepBuilder { counts, seed };
    let mut sweeps = builder.endpoint_sweeps();
    sweeps.extend(builder.class_sweeps());
    sweeps.push(builder.tenant_sweep());
    sweeps.push(builder.load_sweep());
    sweeps.extend(builder.traffic_sweeps());
    sweeps.extend(builder.memory_sweeps());
    sweeps
}

/// Returns the events of a simulation, which may depend on its size.
type Events = fn(&Size) -> Vec<(Duration, InstallationEvent)>;

fn no_events(_: &Size) -> Vec<(Duration, InstallationEvent)> {
    Vec::new()
}

fn reload_all(size: &Size) -> Vec<(Duration, InstallationEvent)> {
    let agents = (0..size.agents).collect();
    vec![(EVENT_AT, InstallationEvent::Reload(agents))]
}

fn restart_all(size: &Size) -> Vec<(Duration, InstallationEvent)> {
    let agents = (0..size.agents).collect();
    vec![(EVENT_AT, InstallationEvent::Restart(agents))]
}

fn restart_some_endpoints(size: &Size) -> Vec<(Duration, InstallationEvent)> {
    let endpoints: Vec<usize> = size.service_endpoints(0).take(RESTARTS).collect();
    rolling_restart(&endpoints, EVENT_AT, Duration::from_secs(5), None)
}

/// Returns the size from which those of the points differ in one count.
fn base() -> Size {
    Size {
        agents: AGENTS,
        ..Size::default()
    }
}

fn with_endpoints(endpoints: usize) -> Size {
    Size {
        endpoints,
        ..base()
    }
}

fn with_classes(classes: usize) -> Size {
    Size { classes, ..base() }
}

fn with_tenants(tenants: usize) -> Size {
    Size { tenants, ..base() }
}

/// Returns the base size with the load of the sweeps that measure traffic.
fn low_rate_size() -> Size {
    Size {
        rate: TRAFFIC_RATE,
        ..base()
    }
}

/// Builds the sweeps from their counts and the seed.
struct SweepBuilder<'a> {
    counts: &'a Counts,
    seed: u64,
}

impl SweepBuilder<'_> {
    /// Builds a sweep with one point for each count.
    fn sweep(
        &self,
        name: &'static str,
        count_name: &'static str,
        counts: &[usize],
        size: impl Fn(usize) -> Size,
        events: Events,
        figures: &[Figure],
    ) -> Sweep {
        let point = |count: &usize| {
            let size = size(*count);
            SweepPoint {
                count: *count as f64,
                simulation: self.simulation(size, events(&size)),
            }
        };
        Sweep {
            name,
            count_name,
            points: counts.iter().map(point).collect(),
            figures: figures.to_vec(),
            in_own_process: false,
        }
    }

    fn simulation(&self, size: Size, events: Vec<(Duration, InstallationEvent)>) -> Simulation {
        Simulation {
            size,
            seed: self.seed,
            cores: 1,
            warm_up: WARM_UP,
            duration: self.counts.duration,
            events,
            own_settings: false,
        }
    }

    fn endpoint_sweeps(&self) -> Vec<Sweep> {
        let over = |name, size: fn(usize) -> Size, events, figures: &[Figure]| {
            let counts = self.counts.endpoints;
            self.sweep(name, "appliances", counts, size, events, figures)
        };
        let without_load = |endpoints| Size {
            rate: 0.0,
            ..with_endpoints(endpoints)
        };
        vec![
            over("appliances", with_endpoints, no_events, &REQUEST_FIGURES),
            over(
                "surveys alone, by appliances",
                without_load,
                no_events,
                &[SCANS_PER_POLL, POLL],
            ),
            over(
                "a list that is known, by appliances",
                with_endpoints,
                reload_all,
                &[PARSING, LIST_UPDATE, BALANCER_UPDATE, WHOLE_LIST],
            ),
            over(
                "a start's first list, by appliances",
                with_endpoints,
                restart_all,
                &[PARSING, LIST_UPDATE, BALANCER_UPDATE],
            ),
        ]
    }

    /// Returns a size with many endpoints and this number of classes.
    fn many_endpoints(&self, classes: usize) -> Size {
        Size {
            endpoints: self.counts.many_endpoints,
            ..with_classes(classes)
        }
    }

    fn class_sweeps(&self) -> [Sweep; 2] {
        let few = self.sweep(
            "lanes",
            "lanes",
            self.counts.classes,
            with_classes,
            no_events,
            &REQUEST_FIGURES,
        );
        let many = self.sweep(
            "lanes of many appliances",
            "lanes",
            self.counts.classes_of_many_endpoints,
            |classes| self.many_endpoints(classes),
            no_events,
            &REQUEST_FIGURES,
        );
        [few, many]
    }

    fn tenant_sweep(&self) -> Sweep {
        self.sweep(
            "tenants",
            "tenants",
            self.counts.tenants,
            with_tenants,
            no_events,
            &[TENANT_LOOKUP, DECISIONS, POLL, CORE, CONTROL_CORE],
        )
    }

    fn load_sweep(&self) -> Sweep {
        let with_rate = |rate| Size {
            rate: rate as f64,
            ..base()
        };
        self.sweep(
            "load",
            "commands a second",
            self.counts.rates,
            with_rate,
            no_events,
            &REQUEST_FIGURES,
        )
    }

    /// Sweeps of the traffic with discovery and the platform, by number of agents and of services.
    fn traffic_sweeps(&self) -> [Sweep; 3] {
        let by_agents = |name, events| {
            let with_agents = |agents| Size {
                agents,
                ..low_rate_size()
            };
            let counts = self.counts.agents;
            self.traffic_sweep(name, "agents", counts, with_agents, events)
        };
        let with_services = |services| Size {
            services,
            agents: services * AGENTS_PER_TWO_SERVICES / 2,
            endpoints: services * SERVICE_ENDPOINTS,
            ..low_rate_size()
        };
        let services = self.counts.services;
        [
            by_agents("agents of one list, calm", no_events),
            by_agents("agents of one list, 5 restarts", restart_some_endpoints),
            self.traffic_sweep("services", "services", services, with_services, no_events),
        ]
    }

    /// Builds a sweep that measures traffic.
    fn traffic_sweep(
        &self,
        name: &'static str,
        count_name: &'static str,
        counts: &[usize],
        size: fn(usize) -> Size,
        events: Events,
    ) -> Sweep {
        let mut sweep = self.sweep(name, count_name, counts, size, events, &TRAFFIC_FIGURES);
        for point in &mut sweep.points {
            point.simulation.warm_up = TRAFFIC_WARM_UP;
            point.simulation.duration = TRAFFIC_DURATION;
        }
        sweep
    }

    fn memory_sweeps(&self) -> [Sweep; 4] {
        let counts = self.counts;
        [
            self.memory_sweep(
                "memory by appliances",
                "appliances",
                counts.endpoints,
                with_endpoints,
            ),
            self.memory_sweep("memory by lanes", "lanes", counts.classes, with_classes),
            self.memory_sweep(
                "memory by lanes of many appliances",
                "lanes",
                counts.classes_of_many_endpoints,
                |classes| self.many_endpoints(classes),
            ),
            self.memory_sweep("memory by tenants", "tenants", counts.tenants, with_tenants),
        ]
    }

    /// Builds a sweep that measures memory, in which agents do not share their settings.
    fn memory_sweep(
        &self,
        name: &'static str,
        count_name: &'static str,
        counts: &[usize],
        size: impl Fn(usize) -> Size,
    ) -> Sweep {
        let size = |count| Size {
            agents: MEMORY_AGENTS,
            rate: MEMORY_RATE,
            ..size(count)
        };
        let mut sweep = self.sweep(name, count_name, counts, size, no_events, &[MEMORY]);
        sweep.in_own_process = true;
        for point in &mut sweep.points {
            point.simulation.own_settings = true;
            point.simulation.duration = MEMORY_DURATION;
        }
        sweep
    }
}

/// Figures on the cost of requests.
const REQUEST_FIGURES: [Figure; 5] = [DECISIONS, SCANS_PER_REQUEST, POLL, CORE, CONTROL_CORE];
/// Figures on the control traffic.
const TRAFFIC_FIGURES: [Figure; 4] = [BYTES, DISCOVERY_CALLS, DISCOVERY_BYTES, PLATFORM_BYTES];
