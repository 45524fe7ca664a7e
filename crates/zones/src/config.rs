//! Configuration of cross-zone traffic, with zones and classes as indices. `tulipwall-config` reads
//! and checks it and knows the names behind the indices.

use std::time::Duration;

/// Cross-zone configuration of one agent.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneConfig {
    /// The zone this agent runs in.
    pub local_zone: usize,
    /// How many zones have names. Index `zone_count` stands for every zone that the configuration
    /// does not name: it is never local, and a link of its own.
    pub zone_count: usize,
    /// The request classes, by class index.
    pub classes: Vec<ClassProfile>,
    /// The link to each zone, `zone_count + 1` of them.
    pub links: Vec<Link>,
    /// Budgets for traffic to other zones.
    pub budgets: Vec<Budget>,
    /// How requests are spread over the zones.
    pub routing: RoutingPolicy,
}

impl ZoneConfig {
    /// The number of zone indices, that of the unnamed zone included.
    pub fn zone_count_with_unnamed(&self) -> usize {
        self.zone_count + 1
    }

    /// The link to this zone; one without price or latency where none is configured.
    pub fn link(&self, to: usize) -> Link {
        self.links.get(to).copied().unwrap_or_default()
    }

    /// The configured latency of the link to each zone, by zone index.
    pub(crate) fn link_latencies(&self) -> Vec<Option<Duration>> {
        (0..self.zone_count_with_unnamed())
            .map(|zone| self.link(zone).added_latency)
            .collect()
    }
}

/// What cross-zone decisions need to know of a request class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassProfile {
    /// Value of a response within the latency objective, in points.
    pub priority_weight: f64,
    /// Responses later than this count for nothing.
    pub latency_objective: Duration,
}

/// The link from the agent's zone to another.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Link {
    /// What traffic over the link costs.
    pub price: Price,
    /// What the round trip adds to a response; measured on new connections where it is absent.
    pub added_latency: Option<Duration>,
}

/// Price of traffic over a link, in the installation's own unit of money.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Price {
    /// For each attempt.
    pub per_attempt: f64,
    /// For each GiB (2^30 bytes) written to the other zone.
    pub per_gib_sent: f64,
    /// For each GiB (2^30 bytes) read from it.
    pub per_gib_received: f64,
}

impl Price {
    /// The cost of so many attempts and bytes.
    pub fn cost(&self, attempts: u64, bytes_sent: u64, bytes_received: u64) -> f64 {
        const GIB: f64 = (1u64 << 30) as f64;
        self.per_attempt * attempts as f64
            + self.per_gib_sent * bytes_sent as f64 / GIB
            + self.per_gib_received * bytes_received as f64 / GIB
    }
}

/// A limit on cross-zone traffic in any window of time.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// Its name, which identifies it over reloads and in reports.
    pub name: String,
    /// Counts only traffic to this zone; `None` for all other zones.
    pub to: Option<usize>,
    /// Counts only traffic of this class; `None` for all classes.
    pub class: Option<usize>,
    /// How much may cross in a window, over all agents.
    pub limit: Limit,
    /// Length of the sliding window.
    pub window: Duration,
    /// The fraction of an absolute limit that this agent may spend, 0 to 1. The sum over all agents
    /// stays within the limit as long as their fractions add up to at most 1. What an idle agent
    /// leaves unused is not given to others.
    pub agent_fraction: f64,
}

/// How much may cross in a window, over all agents.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Limit {
    /// Attempts written completely.
    Attempts(f64),
    /// Bytes written and read, summed.
    Bytes(f64),
    /// Cost by the links' prices.
    Money(f64),
    /// Attempts as a share (0 to 1) of the requests received in the same window. It holds for the
    /// sum of all agents when each keeps to it.
    Share(f64),
}

impl Limit {
    /// The unit as settings and reports name it.
    pub fn unit(&self) -> &'static str {
        match self {
            Limit::Attempts(_) => "deliveries",
            Limit::Bytes(_) => "bytes",
            Limit::Money(_) => "money",
            Limit::Share(_) => "share",
        }
    }

    /// The number in that unit.
    pub fn amount(&self) -> f64 {
        match *self {
            Limit::Attempts(n) | Limit::Bytes(n) | Limit::Money(n) | Limit::Share(n) => n,
        }
    }
}

/// How requests are spread over the zones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// The balancer's own weight for endpoints of other zones.
    #[default]
    BalancerDefault,
    /// The local zone while it has capacity, other zones by degrees beyond that.
    LocalFirst,
}
