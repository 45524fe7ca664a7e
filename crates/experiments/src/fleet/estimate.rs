//! What a run would take, told before it starts.

use super::process::Machine;
use super::{Measure, Plan, Size};

/// Processes at most, and bytes in all.
pub const AGENTS_MOST: usize = 100;
pub const MEMORY_MOST: u64 = 4 << 30;

/// Bytes of an agent at its start, at most: alone, and for each of what it is told of. Above what
/// was measured, as a refusal that comes too late is of no use; `tests/fleet.rs` holds them against
/// a run.
const AGENT: u64 = 22 << 20;
const ENDPOINT: u64 = 5 << 10;
const CLASS: u64 = 8 << 10;
const TENANT: u64 = 3 << 10;
const CLIENT: u64 = 64 << 10;
/// Of each endpoint for each class.
const PAIR: u64 = 48;
/// Bytes of this process: alone, for each entry of the list, tenant, agent and connection.
const OWN: u64 = 64 << 20;
const OWN_ENTRY: u64 = 4 << 10;
const OWN_TENANT: u64 = 2 << 10;
const OWN_AGENT: u64 = 1 << 20;
const OWN_CONNECTION: u64 = 256 << 10;

/// What the largest moment of a run takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    pub agents: usize,
    /// Bytes of one agent, and of all processes.
    pub agent: u64,
    pub memory: u64,
    /// Descriptors of this process.
    pub descriptors: u64,
}

/// Of one installation with so many connections of clients.
pub fn size(s: &Size, clients: usize) -> Estimate {
    let [agents, endpoints, classes, tenants, clients] =
        [s.agents, s.endpoints, s.classes, s.tenants, clients].map(|n| n as u64);
    let each = u64::saturating_mul;
    let agent = AGENT
        .saturating_add(each(ENDPOINT, endpoints))
        .saturating_add(each(CLASS, classes))
        .saturating_add(each(TENANT, tenants))
        .saturating_add(each(CLIENT, clients))
        .saturating_add(each(PAIR, endpoints.saturating_mul(classes)));
    let own = OWN
        .saturating_add(each(OWN_ENTRY, endpoints))
        .saturating_add(each(OWN_TENANT, tenants))
        .saturating_add(each(OWN_AGENT, agents))
        .saturating_add(each(OWN_CONNECTION, clients));
    // A meter's two ends twice for each agent, its connections to endpoints, clients with theirs,
    // listeners.
    let descriptors = agents
        .saturating_mul(16 + s.sockets as u64)
        .saturating_add(clients * 2 + 200);
    Estimate {
        agents: s.agents,
        agent,
        memory: agents.saturating_mul(agent).saturating_add(own),
        descriptors,
    }
}

/// The largest moment of all measures.
pub fn plan(p: &Plan) -> Estimate {
    let mut most = Estimate {
        agents: 0,
        agent: 0,
        memory: 0,
        descriptors: 0,
    };
    // An idle agent is measured by pairs as well.
    let pairs = p
        .measures
        .contains(&Measure::Idle)
        .then_some(Measure::Pairs);
    for m in p.measures.iter().copied().chain(pairs) {
        for (s, clients) in p.sizes(m) {
            let e = size(&s, clients);
            most = Estimate {
                agents: most.agents.max(e.agents),
                agent: most.agent.max(e.agent),
                memory: most.memory.max(e.memory),
                descriptors: most.descriptors.max(e.descriptors),
            };
        }
    }
    most
}

impl Estimate {
    /// Why it does not fit here, if it does not.
    pub fn refused(&self, machine: &Machine) -> Option<String> {
        let mb = |bytes: u64| bytes / (1 << 20);
        let takes = format!(
            "the run would take {} agents of {} MB each, {} MB in all and {} descriptors",
            self.agents,
            mb(self.agent),
            mb(self.memory),
            self.descriptors
        );
        let half = machine.memory / 2;
        let why = if self.agents > AGENTS_MOST {
            format!("at most {AGENTS_MOST} agents are started")
        } else if self.memory > MEMORY_MOST {
            format!("at most {} MB are taken", mb(MEMORY_MOST))
        } else if self.memory > half {
            format!(
                "{} MB are free, of which half is left to others",
                mb(machine.memory)
            )
        } else if self.descriptors > machine.descriptors {
            format!("{} descriptors are allowed here", machine.descriptors)
        } else {
            return None;
        };
        Some(format!("{takes}; {why}"))
    }
}

impl Plan {
    /// The installations of a measure, each with the clients that connect.
    pub fn sizes(&self, m: Measure) -> Vec<(Size, usize)> {
        let base = self.base();
        let endpoints = || {
            self.endpoints.iter().map(|n| {
                (
                    Size {
                        endpoints: *n,
                        ..base.clone()
                    },
                    0,
                )
            })
        };
        let classes = || {
            self.classes.iter().map(|n| {
                (
                    Size {
                        classes: *n,
                        ..base.clone()
                    },
                    0,
                )
            })
        };
        let tenants = || {
            self.tenants.iter().map(|n| {
                (
                    Size {
                        tenants: *n,
                        ..base.clone()
                    },
                    0,
                )
            })
        };
        let one = |s: Size| Size { agents: 1, ..s };
        // Else the connections that it opens ahead, fewer the more endpoints there are, would be in
        // the figure.
        let bare = |(s, c): (Size, usize)| {
            (
                Size {
                    sockets: s.sockets.min(NONE_AHEAD),
                    ..s
                },
                c,
            )
        };
        match m {
            Measure::Endpoints => endpoints().map(bare).collect(),
            Measure::Classes => classes().map(bare).collect(),
            Measure::Tenants => tenants().map(bare).collect(),
            Measure::Pairs => {
                let most = self.endpoints.iter().copied().max().unwrap_or(0);
                classes()
                    .map(bare)
                    .map(|(s, c)| {
                        (
                            Size {
                                endpoints: most,
                                ..s
                            },
                            c,
                        )
                    })
                    .collect()
            }
            Measure::Connections => self
                .connections
                .iter()
                .map(|n| (one(base.clone()), *n))
                .collect(),
            Measure::Open => {
                // So many endpoints that none is connected ahead.
                let endpoints = base.endpoints.max(self.sockets / 4);
                self.open
                    .iter()
                    .map(|n| {
                        (
                            Size {
                                endpoints,
                                ..one(base.clone())
                            },
                            *n,
                        )
                    })
                    .collect()
            }
            Measure::Start => endpoints().map(|(s, c)| (one(s), c)).collect(),
            Measure::Change => {
                let most = self.endpoints.iter().copied().max().unwrap_or(0);
                vec![(
                    Size {
                        endpoints: most,
                        ..one(base.clone())
                    },
                    0,
                )]
            }
            Measure::Idle => endpoints().chain(tenants()).collect(),
            Measure::Renew | Measure::Settings | Measure::Restart => endpoints()
                .chain(tenants())
                .map(|(s, c)| (one(s), c))
                .collect(),
            Measure::Commands => endpoints()
                .chain(tenants())
                .map(|(s, _)| (one(s), LOAD_CLIENTS))
                .collect(),
            Measure::Added => endpoints().map(|(s, _)| (one(s), LOAD_CLIENTS)).collect(),
        }
    }

    /// What measures go by that vary something else.
    pub fn base(&self) -> Size {
        let first = |of: &[usize]| of.first().copied().unwrap_or(1);
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
}

/// With so few sockets an agent opens no connection to an endpoint ahead, from 10 endpoints on.
const NONE_AHEAD: usize = 64;
/// Connections of a load at most.
pub const LOAD_CLIENTS: usize = 200;
