//! The settings, converted to the form that decisions use.

use crate::interface::Settings;
use crate::stats::ln_factorial;
use std::time::Duration;

/// Maximum load of a warming endpoint, as a share of the load that overloads it.
const OVERLOAD_SAFETY: f64 = 0.7;
/// Bounds of the load of a warming endpoint relative to a warm one, which override the settings.
const OVERLOAD_SHARE_RANGE: (f64, f64) = (0.1, 3.0);
/// Accepted probability that the required number of agents err at the same time.
const JOINT_ERROR_PROBABILITY: f64 = 0.001;
/// Maximum number of required votes that is assumed. Computing the threshold takes a step per vote,
/// so this bounds its cost.
const MAX_NEEDED_VOTES: u32 = 10_000;
/// Lowest assumed share of wrong responses that clients report, so that one report counts as at
/// most ten failures.
const MIN_REPORTED_ERROR_SHARE: f64 = 0.1;
/// Lowest assumed rate of calls that the platform accepts, in calls per second.
const MIN_VOTES_PER_SECOND: f64 = 0.001;
/// Longest interval between an agent's calls for the endpoint list, in seconds.
const MAX_LIST_CALL_INTERVAL: f64 = 3600.0;

/// Settings of one agent, converted to the form that decisions use.
pub(super) struct Parameters {
    /// Index of the agent's own zone.
    pub zone: usize,
    /// Granularity of the caller's timers: a decision may take effect this much later.
    pub timer_granularity: Duration,
    /// Maximum number of attempts per request.
    pub max_attempts: usize,
    /// Whether a second attempt may run in parallel with the first.
    pub hedging: bool,
    /// Whether an attempt in flight may be cancelled.
    pub cancellation: bool,
    /// Longest retry delay that a rejection may name; `None` if it may name none.
    pub retry_after: Option<Duration>,
    /// Whether the value of a request grows with the work it costs.
    pub weight_by_work: bool,
    /// Whether cross-zone traffic has a price.
    pub cross_zone_priced: bool,
    /// Longest time between two calls for the endpoint list; `None` if the list is not polled.
    pub list_poll_interval: Option<Duration>,
    /// Whether calls for the list load a discovery service that all agents share.
    pub shared_discovery: bool,
    /// Whether an endpoint may be asked for its load.
    pub load_probes: bool,
    /// Whether an endpoint serves a key faster if it has served that key recently.
    pub key_affinity: bool,
    /// Fair share of requests of each tenant, 0 to 1, by tenant index.
    pub tenant_shares: Vec<f64>,
    /// Number of agents in the installation, at least 1.
    pub agents: f64,
    /// Slow start of endpoints that have just been started.
    pub slow_start: SlowStartParameters,
    /// How builds are rolled out and voted on.
    pub rollout: RolloutParameters,
}

/// Slow start of endpoints that have just been started.
pub(super) struct SlowStartParameters {
    /// Share of its full load that an endpoint gets when it starts, 0 to 1.
    pub initial_share: f64,
    /// Duration of slow start.
    pub duration: Duration,
    /// Window over which the load of an endpoint in slow start is counted.
    pub overload_window: Duration,
    /// Maximum load of a warming endpoint relative to a warm one, below the load that overloads it.
    pub overload_share: f64,
}

/// How builds are rolled out and voted on.
pub(super) struct RolloutParameters {
    /// Exposure cap of the first stage, as a share of requests.
    pub first_cap: f64,
    /// Number of attempts that a canary may get beyond the cap.
    pub exposure_burst: f64,
    /// Whether the exposure cap applies to each class separately.
    pub cap_per_class: bool,
    /// Number of first stages in which the canary takes only idempotent classes.
    pub guarded_stages: usize,
    /// Whether a key that a canary has answered never returns to an earlier build.
    pub sticky_builds: bool,
    /// Whether this agent votes, because stages advance with the platform's clock.
    pub timed_stages: bool,
    /// Whether the new build replaces the earlier one on the same endpoints.
    pub in_place: bool,
    /// Whether the platform publishes outcome counts over all agents.
    pub platform_counts: bool,
    /// Whether a rollback requires the votes of several agents.
    pub needs_agreement: bool,
    /// Number of agents in the installation per vote required to roll back.
    pub agents_per_vote: f64,
    /// Evidence that each agent needs, as a negative log-probability of error, so that the required
    /// number of agents is unlikely to err at the same time.
    pub agreement_threshold: f64,
    /// How long a vote counts at the platform.
    pub vote_ttl: Duration,
    /// How long to wait for the reply to a vote.
    pub vote_timeout: Duration,
    /// Interval between two votes of one agent, in seconds, that leaves the other agents their
    /// share of the platform's call rate.
    pub vote_interval: f64,
    /// Number of failures that one client-reported error stands for.
    pub reported_error_weight: f64,
}

impl From<&Settings> for Parameters {
    fn from(settings: &Settings) -> Parameters {
        Parameters {
            zone: settings.zone,
            timer_granularity: settings.timer_granularity,
            max_attempts: settings.max_attempts,
            hedging: settings.hedging,
            cancellation: settings.cancellation,
            retry_after: settings.retry_after,
            weight_by_work: settings.weight_by_work,
            cross_zone_priced: settings.cross_zone_price > 0.0,
            list_poll_interval: settings.list_polled.then_some(settings.max_poll_interval),
            shared_discovery: settings.shared_discovery,
            load_probes: settings.load_probes,
            key_affinity: settings.key_affinity,
            tenant_shares: settings.tenants.iter().map(|t| t.share).collect(),
            agents: f64::from(settings.agents).max(1.0),
            slow_start: SlowStartParameters::from(settings),
            rollout: RolloutParameters::from(settings),
        }
    }
}

impl From<&Settings> for SlowStartParameters {
    fn from(settings: &Settings) -> SlowStartParameters {
        let (min_share, max_share) = OVERLOAD_SHARE_RANGE;
        SlowStartParameters {
            initial_share: settings.slow_start_share,
            duration: settings.slow_start_duration,
            overload_window: settings.overload_window,
            overload_share: (settings.overload_factor * OVERLOAD_SAFETY)
                .clamp(min_share, max_share),
        }
    }
}

impl From<&Settings> for RolloutParameters {
    fn from(settings: &Settings) -> RolloutParameters {
        let policy = &settings.rollout;
        RolloutParameters {
            first_cap: policy.caps.first().copied().unwrap_or(0.0),
            exposure_burst: policy.exposure_burst,
            cap_per_class: policy.cap_per_class,
            guarded_stages: policy.guarded_stages,
            sticky_builds: policy.sticky_builds,
            timed_stages: policy.timed_stages,
            in_place: policy.in_place,
            platform_counts: policy.platform_counts,
            needs_agreement: policy.votes_to_roll_back > 1,
            agents_per_vote: f64::from(settings.agents).max(1.0)
                / f64::from(policy.votes_to_roll_back.max(1)),
            agreement_threshold: agreement_threshold(settings.agents, policy.votes_to_roll_back),
            vote_ttl: policy.vote_ttl,
            vote_timeout: policy.vote_timeout,
            vote_interval: f64::from(settings.agents)
                / policy.votes_per_second.max(MIN_VOTES_PER_SECOND),
            reported_error_weight: 1.0
                / policy
                    .reported_error_share
                    .clamp(MIN_REPORTED_ERROR_SHARE, 1.0),
        }
    }
}

impl Parameters {
    /// Shortest time between two calls of this agent for the endpoint list.
    ///
    /// All agents together keep within the platform's call rate, the only rate limit for calls in
    /// the settings. The interval is at most half of the time within which the list must be
    /// requested, and zero if calls cost discovery nothing.
    pub fn list_call_interval(&self) -> Duration {
        let half_poll_interval = self
            .list_poll_interval
            .filter(|_| self.shared_discovery)
            .unwrap_or_default()
            / 2;
        let seconds = self.rollout.vote_interval;
        Duration::from_secs_f64(seconds.clamp(0.0, MAX_LIST_CALL_INTERVAL)).min(half_poll_interval)
    }

    /// Number of slots in which exposure is counted: one per class or a single one.
    pub fn exposure_slots(&self, classes: usize) -> usize {
        if self.rollout.cap_per_class {
            classes
        } else {
            1
        }
    }

    /// Slot in which an attempt of this class counts against the exposure cap.
    pub fn exposure_slot(&self, class: usize) -> usize {
        if self.rollout.cap_per_class {
            class
        } else {
            0
        }
    }
}

/// Shortest time between two calls of one agent for the endpoint list, so that all agents together
/// keep within the call rate that the discovery service can handle. Zero if calls cost it nothing.
pub fn list_call_interval(settings: &Settings) -> Duration {
    Parameters::from(settings).list_call_interval()
}

/// Evidence that each of `needed` agents must have, as a negative log-probability of error, by the
/// Poisson approximation: of `n` agents that each err with probability `exp(-t)`, `k` err at the
/// same time with probability of about `(n exp(-t))^k / k!`.
fn agreement_threshold(agents: u32, needed: u32) -> f64 {
    let needed = needed.clamp(1, MAX_NEEDED_VOTES);
    let ln_joint_error = JOINT_ERROR_PROBABILITY.ln() + ln_factorial(needed);
    f64::from(agents.max(1)).ln() - ln_joint_error / f64::from(needed)
}
