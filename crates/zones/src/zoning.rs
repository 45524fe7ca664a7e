//! What an installation says of its zones, as numbers; `tulipwall-config` reads, checks and names
//! it.

use std::time::Duration;

/// All that one agent goes by.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneConfig {
    /// The zone this agent stands in.
    pub local_zone: usize,
    /// How many zones have names. Number `zones` stands for a zone that the installation does not
    /// name: it is never near, and a link of its own.
    pub zone_count: usize,
    pub classes: Vec<ClassProfile>,
    /// The way to each zone, `zones + 1` of them.
    pub links: Vec<Link>,
    pub budgets: Vec<Budget>,
    pub routing: RoutingPolicy,
}

impl ZoneConfig {
    /// How many zones there are with the unnamed one.
    pub fn zone_count_with_unnamed(&self) -> usize {
        self.zone_count + 1
    }

    /// The way to this zone; one without price or delay where nothing was said of it.
    pub fn link(&self, to: usize) -> Link {
        self.links.get(to).copied().unwrap_or_default()
    }
}

/// What counts of a class here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassProfile {
    /// Points for an answer in time.
    pub priority_weight: f64,
    pub latency_objective: Duration,
}

/// The way from the agent's zone to another, there and back.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Link {
    pub price: Price,
    /// What there and back adds to an answer; measured on new connections where it is not stated.
    pub added_latency: Option<Duration>,
}

/// In the installation's own unit of money.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Price {
    pub per_attempt: f64,
    /// For each GiB (2^30 bytes) written to the other zone.
    pub per_gib_sent: f64,
    /// For each GiB read from it.
    pub per_gib_received: f64,
}

impl Price {
    pub fn cost(&self, attempts: u64, out: u64, back: u64) -> f64 {
        const GIB: f64 = (1u64 << 30) as f64;
        self.per_attempt * attempts as f64
            + self.per_gib_sent * out as f64 / GIB
            + self.per_gib_received * back as f64 / GIB
    }
}

/// A bound on what crosses in any window.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    pub name: String,
    /// Only crossings to this zone, or to all others.
    pub to: Option<usize>,
    /// Only of this class, or of all.
    pub class: Option<usize>,
    pub limit: Limit,
    pub window: Duration,
    /// What part of an absolute limit this agent may spend, 0 to 1. The sum over all agents keeps
    /// to the limit as long as the sum of their parts is 1 at most; what an idle one leaves, nobody
    /// else uses.
    pub agent_fraction: f64,
}

/// How much in a window, over all agents.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Limit {
    Attempts(f64),
    /// Written and read, summed.
    Bytes(f64),
    Money(f64),
    /// Of the requests taken in the same window, 0 to 1; holds for the sum where each agent keeps
    /// to it.
    Share(f64),
}

impl Limit {
    pub fn unit(&self) -> &'static str {
        match self {
            Limit::Attempts(_) => "deliveries",
            Limit::Bytes(_) => "bytes",
            Limit::Money(_) => "money",
            Limit::Share(_) => "share",
        }
    }

    pub fn amount(&self) -> f64 {
        match *self {
            Limit::Attempts(n) | Limit::Bytes(n) | Limit::Money(n) | Limit::Share(n) => n,
        }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// The decisions' own figure for all other zones.
    #[default]
    BalancerDefault,
    /// Near first while near has room.
    LocalFirst,
}
