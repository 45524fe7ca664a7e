//! Configuration of cross-zone traffic, with zones and classes as indices. `tulipwall-config`
//! parses and validates it, and maps names to indices.

use std::time::Duration;

/// Cross-zone configuration of one agent.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneConfig {
    /// The index of the zone that this agent runs in.
    pub local_zone: usize,
    /// The number of named zones. Index `zone_count` stands for all zones that the configuration
    /// does not name: it is never the local zone, and it has a link of its own.
    pub zone_count: usize,
    /// The profiles of the request classes, by class index.
    pub classes: Vec<ClassProfile>,
    /// The link to each zone, by zone index; `zone_count + 1` entries.
    pub links: Vec<Link>,
    /// The budgets for traffic to other zones.
    pub budgets: Vec<Budget>,
    /// How requests are distributed over the zones.
    pub routing: RoutingPolicy,
}

impl ZoneConfig {
    /// The number of zone indices, including that of the unnamed zone.
    pub fn zone_count_with_unnamed(&self) -> usize {
        self.zone_count + 1
    }

    /// The link to this zone, or a link without price and latency if none is configured.
    pub fn link(&self, to: usize) -> Link {
        self.links.get(to).copied().unwrap_or_default()
    }

    /// The configured latency of each link, by zone index; `None` if it is to be measured.
    pub(crate) fn link_latencies(&self) -> Vec<Option<Duration>> {
        (0..self.zone_count_with_unnamed())
            .map(|zone| self.link(zone).added_latency)
            .collect()
    }
}

/// The properties of a request class that cross-zone decisions depend on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassProfile {
    /// The value of a response within the latency objective, in points.
    pub priority_weight: f64,
    /// Responses with a higher latency have no value.
    pub latency_objective: Duration,
}

/// The link from the agent's zone to another.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Link {
    /// The price of traffic over the link.
    pub price: Price,
    /// The latency that the round trip adds to a response; measured on new connections if `None`.
    pub added_latency: Option<Duration>,
}

/// The price of traffic over a link, in the monetary unit of the installation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Price {
    /// Price per attempt.
    pub per_attempt: f64,
    /// Price per GiB (2^30 bytes) written to the other zone.
    pub per_gib_sent: f64,
    /// Price per GiB (2^30 bytes) read from the other zone.
    pub per_gib_received: f64,
}

impl Price {
    /// The cost of this many attempts and bytes.
    pub fn cost(&self, attempts: u64, bytes_sent: u64, bytes_received: u64) -> f64 {
        const GIB: f64 = (1u64 << 30) as f64;
        self.per_attempt * attempts as f64
            + self.per_gib_sent * bytes_sent as f64 / GIB
            + self.per_gib_received * bytes_received as f64 / GIB
    }
}

/// A limit on cross-zone traffic in any time window of a given length.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// The name that identifies the budget across reloads and in reports.
    pub name: String,
    /// Limits only traffic to this zone; `None` limits traffic to all other zones together.
    pub to: Option<usize>,
    /// Limits only traffic of this class; `None` limits traffic of all classes together.
    pub class: Option<usize>,
    /// The traffic that all agents together may send across zones in a window.
    pub limit: Limit,
    /// The length of the sliding window.
    pub window: Duration,
    /// The fraction of an absolute limit that this agent may spend, 0 to 1. All agents together
    /// stay within the limit as long as their fractions add up to at most 1. The unused part of an
    /// idle agent is not available to others.
    pub agent_fraction: f64,
}

/// The traffic that all agents together may send across zones in a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Limit {
    /// Attempts written completely.
    Attempts(f64),
    /// The sum of bytes written and read.
    Bytes(f64),
    /// Cost at the prices of the links.
    Money(f64),
    /// Attempts as a share (0 to 1) of the requests received in the same window. It holds for all
    /// agents together if it holds for each of them.
    Share(f64),
}

impl Limit {
    /// The name of the unit in settings and reports.
    pub fn unit(&self) -> &'static str {
        match self {
            Limit::Attempts(_) => "deliveries",
            Limit::Bytes(_) => "bytes",
            Limit::Money(_) => "money",
            Limit::Share(_) => "share",
        }
    }

    /// The limit in that unit.
    pub fn amount(&self) -> f64 {
        match *self {
            Limit::Attempts(n) | Limit::Bytes(n) | Limit::Money(n) | Limit::Share(n) => n,
        }
    }
}

/// How requests are distributed over the zones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// The balancer applies its own weight to endpoints of other zones.
    #[default]
    BalancerDefault,
    /// Requests stay in the local zone while it has capacity; beyond that they overflow gradually
    /// to other zones.
    LocalFirst,
}
