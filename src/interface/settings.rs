//! Settings that an agent reads at startup and at each configuration reload.

use std::time::Duration;

/// Settings of one agent.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Number of agents in the installation.
    pub agents: u32,
    /// Index of the agent's own zone.
    pub zone: usize,
    /// Request classes, by index.
    pub classes: Vec<RequestClass>,
    /// Tenants, by index.
    pub tenants: Vec<Tenant>,
    /// Whether requests count for more the more work they cause.
    pub weight_by_work: bool,
    /// Whether the agent polls the endpoint list. If not, the list is pushed.
    pub list_polled: bool,
    /// Whether requests for the endpoint list load a discovery service that all agents share.
    pub shared_discovery: bool,
    /// Longest time between two requests for the endpoint list.
    pub max_poll_interval: Duration,
    /// Whether a second attempt may be sent while the first is still in flight.
    pub hedging: bool,
    /// Whether attempts in flight may be cancelled.
    pub cancellation: bool,
    /// Longest retry delay that a rejection may suggest to the client. `None` if it must not
    /// suggest any.
    pub retry_after: Option<Duration>,
    /// Largest number of attempts for one request.
    pub max_attempts: usize,
    /// Price of an attempt that crosses zones, relative to the value of a served request. 0 if it
    /// is free.
    pub cross_zone_price: f64,
    /// Share of its full load that an endpoint can take right after it was started, 0 to 1.
    pub slow_start_share: f64,
    /// How long an endpoint stays in slow start after it was started.
    pub slow_start_duration: Duration,
    /// Length of the window in which the load of an endpoint in slow start is counted.
    pub overload_window: Duration,
    /// Multiple of its current capacity within the overload window at which an endpoint in slow
    /// start fails.
    pub overload_factor: f64,
    /// Whether the agent may ask endpoints for a load report.
    pub load_probes: bool,
    /// Whether an endpoint is faster for keys that it served recently.
    pub key_affinity: bool,
    /// Granularity of the caller's timers.
    pub timer_granularity: Duration,
    /// How new builds are rolled out.
    pub rollout: RolloutPolicy,
}

/// Rules of the rollout of new builds.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutPolicy {
    /// For each stage, the largest share of requests that the canary may receive, 0 to 1.
    pub caps: Vec<f64>,
    /// Number of attempts beyond the cap that a canary may receive in any time window.
    pub exposure_burst: f64,
    /// Whether the cap applies to each class separately.
    pub cap_per_class: bool,
    /// Number of stages, from the first, in which the canary receives idempotent classes only.
    pub guarded_stages: usize,
    /// Whether a key that the canary has served must not return to an earlier build.
    pub sticky_builds: bool,
    /// Whether stages advance by a timer of the platform, which votes can stop.
    pub timed_stages: bool,
    /// Whether the new build replaces the earlier one on the same endpoints.
    pub in_place: bool,
    /// Number of agents that must agree before a build is rolled back.
    pub votes_to_roll_back: u32,
    /// Number of agents that must agree before the timer is stopped.
    pub votes_to_hold: u32,
    /// Whether the platform publishes outcome counts over all agents.
    pub platform_counts: bool,
    /// How long a vote remains in force.
    pub vote_ttl: Duration,
    /// How long to wait for the platform's reply to a vote.
    pub vote_timeout: Duration,
    /// Calls per second that the platform accepts from all agents together.
    pub votes_per_second: f64,
    /// Share of wrong responses that clients report, 0 to 1.
    pub reported_error_share: f64,
}

/// Requests with the same latency objective, priority weight and idempotency.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Latency up to which a response earns the full priority weight.
    pub latency_objective: Duration,
    /// Value of a response within the latency objective, relative to other classes.
    pub priority_weight: f64,
    /// Whether a request may be executed more than once.
    pub idempotency: Idempotency,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be executed any number of times.
    Idempotent,
    /// Endpoints recognize duplicates by the request's key, within a scope and a time window.
    Keyed {
        /// The endpoints that recognize a duplicate.
        scope: DeduplicationScope,
        /// How long after an attempt was sent its duplicates are recognized.
        window: Duration,
    },
    /// It must not be executed more than once.
    #[default]
    NonIdempotent,
}

/// The endpoints among which duplicates of a keyed request are recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    Cell,
}

/// A tenant of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Fair share of the tenant in all requests, 0 to 1.
    pub share: f64,
}
