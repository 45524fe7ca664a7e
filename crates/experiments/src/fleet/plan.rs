//! What is measured, and at which sizes.

use std::path::PathBuf;
use std::time::Duration;

use super::results::Limit;

/// Limit of an agent's sockets at which it opens no connection to an endpoint ahead of requests,
/// given at least 10 endpoints.
const SOCKETS_WITHOUT_IDLE_CONNECTIONS: usize = 64;
/// Maximum number of connections of a load.
pub const LOAD_CONNECTIONS: usize = 200;

/// Size of an installation.
#[derive(Clone, Debug, PartialEq)]
pub struct Size {
    /// Number of agents.
    pub agents: usize,
    /// Number of entries of the endpoint list.
    pub endpoints: usize,
    /// Number of request classes in the settings.
    pub classes: usize,
    /// Number of tenants in the settings.
    pub tenants: usize,
    /// Number of zones, over which agents and endpoints are distributed in turn.
    pub zones: usize,
    /// Maximum number of sockets of each agent.
    pub sockets: usize,
    /// Whether endpoint lists are pushed to each machine; otherwise the agents share the calls to
    /// discovery.
    pub pushed: bool,
}

/// What is measured, and at which sizes. The first element of each list of sizes is the one that
/// all other measures use.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Path of the agent's program.
    pub binary: PathBuf,
    /// Measures, in the order in which they are taken.
    pub measures: Vec<Measure>,
    /// Number of agents that run at the same time in the measures of memory and of idle agents.
    pub agents: usize,
    /// Number of zones.
    pub zones: usize,
    /// Sizes of the endpoint list, in entries.
    pub endpoints: Vec<usize>,
    /// Counts of request classes.
    pub classes: Vec<usize>,
    /// Counts of tenants.
    pub tenants: Vec<usize>,
    /// Counts of idle client connections.
    pub connections: Vec<usize>,
    /// Counts of open requests.
    pub open: Vec<usize>,
    /// Rates of loads, in requests per second.
    pub rates: Vec<f64>,
    /// Numbers of entries of the endpoint list that change at once.
    pub changed: Vec<usize>,
    /// Maximum number of sockets of each agent.
    pub sockets: usize,
    /// Whether endpoint lists are pushed to each machine; otherwise the agents share the calls to
    /// discovery.
    pub pushed: bool,
    /// Duration of each measurement over time, and of each load.
    pub duration: Duration,
    /// How long an agent is left idle before it is measured.
    pub settle: Duration,
    /// Mean processing time of a request at an endpoint: half of it is constant, the rest depends
    /// on the request's id.
    pub work: Duration,
    /// Number of times that each start, change and load is measured.
    pub repeats: usize,
    /// Limits that figures are compared with.
    pub limits: Vec<Limit>,
}

/// A measure: the figures that are taken and the size that they are taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, clap::ValueEnum)]
pub enum Measure {
    /// Memory by number of listed endpoints.
    #[value(name = "appliances")]
    Endpoints,
    /// Memory by number of request classes.
    #[value(name = "lanes")]
    Classes,
    /// Memory by number of tenants.
    Tenants,
    /// Memory by pairs of endpoint and class: the largest endpoint list with each count of classes.
    Pairs,
    /// Memory by number of idle client connections.
    Connections,
    /// Memory by number of open requests.
    Open,
    /// Processor time and traffic of an idle agent, by endpoints, by tenants and by pairs.
    Idle,
    /// Time from start to ready, with and without a list in the configuration, and the processing
    /// time of the list, by endpoints.
    Start,
    /// Changes of the endpoint list, by the number of entries that change at once.
    Change,
    /// Reload of a configuration (SIGHUP) until it is in force, by endpoints and by tenants.
    #[value(name = "renew")]
    Reload,
    /// Reload of settings (SIGHUP) by agents that support it, by endpoints and by tenants.
    Settings,
    /// Change of settings by a restart, by endpoints and by tenants.
    Restart,
    /// Processor time of a request, by rate, endpoints and tenants.
    #[value(name = "commands")]
    Requests,
    /// p99 latency that the agent adds to a request, by endpoints and rate.
    Added,
}

impl Measure {
    /// Returns the name of the measure in progress messages.
    pub fn title(self) -> String {
        match self {
            Measure::Reload => "Renew".into(),
            Measure::Requests => "Commands".into(),
            other => format!("{other:?}"),
        }
    }
}

/// An installation that a measure uses.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedSize {
    /// Size of the installation.
    pub size: Size,
    /// Number of clients that connect to each agent.
    pub clients: usize,
}

impl Plan {
    /// Returns the size in which every count is the first of its list; each measure varies one
    /// count of it.
    pub fn base(&self) -> Size {
        let first = |sizes: &[usize]| sizes.first().copied().unwrap_or(1);
        Size {
            agents: self.agents,
            endpoints: first(&self.endpoints),
            classes: first(&self.classes),
            tenants: first(&self.tenants),
            zones: self.zones,
            sockets: self.sockets,
            pushed: self.pushed,
        }
    }

    /// Returns the installations of a measure.
    pub fn sizes(&self, measure: Measure) -> Vec<PlannedSize> {
        let by_endpoints_and_tenants = || [self.by_endpoints(), self.by_tenants()].concat();
        match measure {
            Measure::Endpoints => without_clients(without_idle_connections(self.by_endpoints())),
            Measure::Classes => without_clients(without_idle_connections(self.by_classes())),
            Measure::Tenants => without_clients(without_idle_connections(self.by_tenants())),
            Measure::Pairs => without_clients(without_idle_connections(self.by_pairs())),
            Measure::Idle => without_clients(by_endpoints_and_tenants()),
            Measure::Start => without_clients(single_agent(self.by_endpoints())),
            Measure::Change => without_clients(single_agent(vec![self.largest_list()])),
            Measure::Reload | Measure::Settings | Measure::Restart => {
                without_clients(single_agent(by_endpoints_and_tenants()))
            }
            Measure::Connections => self.with_connections(),
            Measure::Open => self.with_open_requests(),
            Measure::Requests => with_load(single_agent(by_endpoints_and_tenants())),
            Measure::Added => with_load(single_agent(self.by_endpoints())),
        }
    }

    fn by_endpoints(&self) -> Vec<Size> {
        let size = |endpoints: &usize| Size {
            endpoints: *endpoints,
            ..self.base()
        };
        self.endpoints.iter().map(size).collect()
    }

    fn by_classes(&self) -> Vec<Size> {
        let size = |classes: &usize| Size {
            classes: *classes,
            ..self.base()
        };
        self.classes.iter().map(size).collect()
    }

    fn by_tenants(&self) -> Vec<Size> {
        let size = |tenants: &usize| Size {
            tenants: *tenants,
            ..self.base()
        };
        self.tenants.iter().map(size).collect()
    }

    /// Returns the largest endpoint list with each count of classes.
    fn by_pairs(&self) -> Vec<Size> {
        let mut sizes = self.by_classes();
        for size in &mut sizes {
            size.endpoints = self.most_endpoints();
        }
        sizes
    }

    fn most_endpoints(&self) -> usize {
        self.endpoints.iter().copied().max().unwrap_or(0)
    }

    fn largest_list(&self) -> Size {
        Size {
            endpoints: self.most_endpoints(),
            ..self.base()
        }
    }

    fn with_connections(&self) -> Vec<PlannedSize> {
        let planned = |clients: &usize| PlannedSize {
            size: Size {
                agents: 1,
                ..self.base()
            },
            clients: *clients,
        };
        self.connections.iter().map(planned).collect()
    }

    fn with_open_requests(&self) -> Vec<PlannedSize> {
        let base = self.base();
        // With this many endpoints the agent opens no connection ahead of requests.
        let endpoints = base.endpoints.max(self.sockets / 4);
        let planned = |clients: &usize| PlannedSize {
            size: Size {
                agents: 1,
                endpoints,
                ..base.clone()
            },
            clients: *clients,
        };
        self.open.iter().map(planned).collect()
    }
}

fn planned(sizes: Vec<Size>, clients: usize) -> Vec<PlannedSize> {
    let plan = |size| PlannedSize { size, clients };
    sizes.into_iter().map(plan).collect()
}

fn without_clients(sizes: Vec<Size>) -> Vec<PlannedSize> {
    planned(sizes, 0)
}

fn with_load(sizes: Vec<Size>) -> Vec<PlannedSize> {
    planned(sizes, LOAD_CONNECTIONS)
}

fn single_agent(mut sizes: Vec<Size>) -> Vec<Size> {
    for size in &mut sizes {
        size.agents = 1;
    }
    sizes
}

/// Limits the sockets so that agents open no connection to an endpoint ahead of requests. The
/// memory of such connections, which are fewer the more endpoints there are, would distort the
/// figure.
fn without_idle_connections(mut sizes: Vec<Size>) -> Vec<Size> {
    for size in &mut sizes {
        size.sockets = size.sockets.min(SOCKETS_WITHOUT_IDLE_CONNECTIONS);
    }
    sizes
}
