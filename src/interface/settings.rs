//! What an agent reads at its start, and again at each configuration reload.

use std::time::Duration;

/// Settings of one agent.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Seed of all random draws.
    pub seed: u64,
    /// Number of agents in the installation.
    pub agents: u32,
    /// Index of the agent's own zone.
    pub zone: usize,
    /// Request classes, by index.
    pub classes: Vec<RequestClass>,
    /// Tenants, by index.
    pub tenants: Vec<Tenant>,
    /// Whether a request is worth the more, the more work it costs.
    pub weight_by_work: bool,
    /// Whether the endpoint list is polled rather than pushed.
    pub list_polled: bool,
    /// Whether calls for the list cost a discovery service that all agents share.
    pub shared_discovery: bool,
    /// Longest time between two calls for the list.
    pub max_poll_interval: Duration,
    /// Whether a second attempt may run beside the first.
    pub hedging: bool,
    /// Whether an attempt in flight may be cancelled.
    pub cancellation: bool,
    /// Longest time to name in a rejection; `None` where none may be named.
    pub retry_after: Option<Duration>,
    /// Attempts of one request, at most.
    pub max_attempts: usize,
    /// Price of an attempt that crosses zones, in units of service.
    pub cross_zone_price: f64,
    /// Share of its full load that a just started endpoint bears.
    pub slow_start_share: f64,
    /// How long slow start lasts.
    pub slow_start_duration: Duration,
    /// Span over which the load of an endpoint in slow start is counted.
    pub overload_window: Duration,
    /// An endpoint in slow start fails once it gets this many times what it can do within the
    /// window.
    pub overload_factor: f64,
    /// Whether an endpoint may be asked for its load.
    pub load_probes: bool,
    /// Whether an endpoint works faster for keys that it served lately.
    pub key_affinity: bool,
    /// Granularity of the caller's timers.
    pub timer_granularity: Duration,
    /// How builds are rolled out.
    pub rollout: RolloutPolicy,
}

/// How builds are rolled out.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutPolicy {
    /// By stage: largest share of requests that the canary may get, 0 to 1.
    pub caps: Vec<f64>,
    /// Attempts beyond the cap that are free, in every window.
    pub exposure_burst: f64,
    /// Whether the cap counts each class by itself.
    pub cap_per_class: bool,
    /// First stages in which the canary takes idempotent classes only.
    pub guarded_stages: usize,
    /// Whether a key that a canary answered never returns to an earlier build.
    pub sticky_builds: bool,
    /// Whether stages pass by the platform's clock, which votes stop.
    pub timed_stages: bool,
    /// Whether the new build replaces the earlier one on its own endpoints.
    pub in_place: bool,
    /// Agents that must agree to roll back.
    pub votes_to_roll_back: u32,
    /// Agents that must agree to stop the clock.
    pub votes_to_hold: u32,
    /// Whether the platform publishes counts of outcomes over all agents.
    pub platform_counts: bool,
    /// How long a vote counts.
    pub vote_ttl: Duration,
    /// How long to wait for the reply to a vote.
    pub vote_timeout: Duration,
    /// Calls a second that the platform bears from all agents together.
    pub votes_per_second: f64,
    /// Share of wrong answers that clients report, 0 to 1.
    pub reported_error_share: f64,
}

/// Requests that share an objective, a weight and their idempotency.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// An answer within this time earns its full weight.
    pub latency_objective: Duration,
    /// What an answer in time is worth against other classes'.
    pub priority_weight: f64,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of times.
    Idempotent,
    /// Repeats are recognized by key, within a scope and a time window.
    Keyed {
        /// Among which endpoints repeats are recognized.
        scope: DeduplicationScope,
        /// For how long after an attempt was sent.
        window: Duration,
    },
    /// Once only.
    #[default]
    NonIdempotent,
}

/// Among which endpoints repeats of a keyed request are recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A tenant of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its fair share of requests, 0 to 1.
    pub share: f64,
}
