//! What is measured, and at which sizes.

use std::path::PathBuf;
use std::time::Duration;

use super::results::Limit;

/// Sockets of an agent with which it opens no connection to an endpoint ahead of requests, from 10
/// endpoints on.
const SOCKETS_WITHOUT_IDLE_CONNECTIONS: usize = 64;
/// Most connections of a load.
pub const LOAD_CONNECTIONS: usize = 200;

/// Size of an installation.
#[derive(Clone, Debug, PartialEq)]
pub struct Size {
    /// Number of agents.
    pub agents: usize,
    /// Entries of the endpoint list.
    pub endpoints: usize,
    /// Request classes in the settings.
    pub classes: usize,
    /// Tenants in the settings.
    pub tenants: usize,
    /// Zones, over which agents and endpoints are distributed in turn.
    pub zones: usize,
    /// Most sockets of each agent.
    pub sockets: usize,
    /// Whether lists are pushed to each machine; otherwise agents share discovery's calls.
    pub pushed: bool,
}

/// What is measured, and at which sizes. The first of each list of sizes is what the other measures
/// use.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The agent's program.
    pub binary: PathBuf,
    /// What is measured, in this order.
    pub measures: Vec<Measure>,
    /// Agents at once, where memory and idle agents are measured.
    pub agents: usize,
    /// Number of zones.
    pub zones: usize,
    /// Sizes of the endpoint list.
    pub endpoints: Vec<usize>,
    /// Counts of request classes.
    pub classes: Vec<usize>,
    /// Counts of tenants.
    pub tenants: Vec<usize>,
    /// Counts of idle client connections.
    pub connections: Vec<usize>,
    /// Counts of open requests.
    pub open: Vec<usize>,
    /// Requests a second of loads.
    pub rates: Vec<f64>,
    /// Entries of the list that change at once.
    pub changed: Vec<usize>,
    /// Most sockets of each agent.
    pub sockets: usize,
    /// Whether lists are pushed to each machine.
    pub pushed: bool,
    /// Duration of each figure that counts over time, and of each load.
    pub duration: Duration,
    /// How long an agent is left alone before.
    pub settle: Duration,
    /// Mean time that an endpoint takes for a request: half of it always, the rest by its id.
    pub work: Duration,
    /// How often each start, change and load is measured.
    pub repeats: usize,
    /// What figures may be at most.
    pub limits: Vec<Limit>,
}

/// Something that is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, clap::ValueEnum)]
pub enum Measure {
    /// Memory by the endpoints listed.
    #[value(name = "appliances")]
    Endpoints,
    /// Memory by classes.
    #[value(name = "lanes")]
    Classes,
    /// Memory by tenants.
    Tenants,
    /// Memory by pairs of endpoint and class: the most endpoints with each count of classes.
    Pairs,
    /// Memory by idle connections of clients.
    Connections,
    /// Memory by requests that are open.
    Open,
    /// Processor time and bytes of an idle agent, by endpoints, by tenants and by pairs.
    Idle,
    /// Start to ready, with and without a list, and the taking in of it, by endpoints.
    Start,
    /// Changes of the list, by how many entries change at once.
    Change,
    /// A new configuration (SIGHUP) until it is in force, by endpoints and by tenants.
    #[value(name = "renew")]
    Reload,
    /// New settings by SIGHUP, where the agent takes them over so, by endpoints and by tenants.
    Settings,
    /// New settings by a restart, by endpoints and by tenants.
    Restart,
    /// Processor time of a request, by rate, endpoints and tenants.
    #[value(name = "commands")]
    Requests,
    /// p99 added to a request, by endpoints and rate.
    Added,
}

impl Measure {
    /// Its name in progress messages.
    pub fn title(self) -> String {
        match self {
            Measure::Reload => "Renew".into(),
            Measure::Requests => "Commands".into(),
            other => format!("{other:?}"),
        }
    }
}

/// An installation of a measure.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedSize {
    /// Its size.
    pub size: Size,
    /// Clients that connect to each agent.
    pub clients: usize,
}

impl Plan {
    /// The size that measures use which vary something else.
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

    /// The installations of a measure.
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

    /// The largest list with each count of classes.
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
        // So many endpoints that the agent connects to none ahead of requests.
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

/// Agents that connect to no endpoint ahead of requests: such connections, fewer the more endpoints
/// there are, would be in the figure.
fn without_idle_connections(mut sizes: Vec<Size>) -> Vec<Size> {
    for size in &mut sizes {
        size.sockets = size.sockets.min(SOCKETS_WITHOUT_IDLE_CONNECTIONS);
    }
    sizes
}
