//! The settings in the form that decisions use.

use crate::interface::Settings;
use crate::stats::ln_factorial;
use std::time::Duration;

/// Part of the load that topples a warming endpoint which it may get at most.
const OVERLOAD_SAFETY: f64 = 0.7;
/// Bounds of what a warming endpoint may get against a warm one, whatever the settings say.
const OVERLOAD_SHARE_RANGE: (f64, f64) = (0.1, 3.0);
/// Probability that as many agents as must agree err at once.
const JOINT_ERROR_PROBABILITY: f64 = 0.001;
/// Agents that must agree, at most: more would make the sum of logarithms long.
const MAX_NEEDED_VOTES: u32 = 10_000;
/// Least share of wrong answers that clients are taken to report, so that one report is not worth
/// more than ten failures.
const MIN_REPORTED_ERROR_SHARE: f64 = 0.1;
/// Least calls a second that the platform is taken to bear.
const MIN_VOTES_PER_SECOND: f64 = 0.001;
/// Longest interval, in seconds, between an agent's calls for the list.
const MAX_LIST_CALL_INTERVAL: f64 = 3600.0;

/// What was read, in the form that decisions use.
pub(super) struct Parameters {
    /// Index of the agent's own zone.
    pub zone: usize,
    /// Granularity of the caller's timers.
    pub timer_granularity: Duration,
    /// Attempts of one request, at most.
    pub max_attempts: usize,
    /// Whether a second attempt may run beside the first.
    pub hedging: bool,
    /// Whether an attempt in flight may be cancelled.
    pub cancellation: bool,
    /// Longest time to name in a rejection.
    pub retry_after: Option<Duration>,
    /// Whether a request is worth the more, the more work it costs.
    pub weight_by_work: bool,
    /// Whether crossing zones costs something.
    pub cross_zone_priced: bool,
    /// Longest time between two calls for the list, where it is polled.
    pub list_poll_interval: Option<Duration>,
    /// Whether calls for the list cost a service that all agents share.
    pub shared_discovery: bool,
    /// Whether an endpoint may be asked for its load.
    pub load_probes: bool,
    /// Whether an endpoint works faster for keys that it served lately.
    pub key_affinity: bool,
    /// Fair shares of the tenants, by index.
    pub tenant_shares: Vec<f64>,
    /// Agents of the installation.
    pub agents: f64,
    /// What an endpoint that was just started may get.
    pub slow_start: SlowStartParameters,
    /// How builds are rolled out and voted on.
    pub rollout: RolloutParameters,
}

/// What an endpoint that was just started may get.
pub(super) struct SlowStartParameters {
    /// Share of its full load that it bears at first.
    pub initial_share: f64,
    /// How long slow start lasts.
    pub duration: Duration,
    /// Span over which its load is counted.
    pub overload_window: Duration,
    /// What it may get, against what a warm one does: less than what topples it.
    pub overload_share: f64,
}

/// How builds are rolled out and voted on.
pub(super) struct RolloutParameters {
    /// Cap of the first stage.
    pub first_cap: f64,
    /// Attempts beyond the cap that are free.
    pub exposure_burst: f64,
    /// Whether the cap counts each class by itself.
    pub cap_per_class: bool,
    /// First stages in which the canary takes idempotent classes only.
    pub guarded_stages: usize,
    /// Whether a key that a canary answered never returns to an earlier build.
    pub sticky_builds: bool,
    /// Whether votes are sent, as stages pass by the platform's clock.
    pub timed_stages: bool,
    /// Whether the new build replaces the earlier one on its own endpoints.
    pub in_place: bool,
    /// Whether the platform publishes counts over all agents.
    pub platform_counts: bool,
    /// Whether several agents must agree to roll back.
    pub needs_agreement: bool,
    /// Agents of the installation for each one that must agree.
    pub agents_per_vote: f64,
    /// How sure each agent must be, as a logarithm, so that those who must agree hardly ever err at
    /// once.
    pub agreement_threshold: f64,
    /// How long a vote counts.
    pub vote_ttl: Duration,
    /// How long to wait for the reply to a vote.
    pub vote_timeout: Duration,
    /// Seconds between two votes of one agent that leave the others their share of calls.
    pub vote_interval: f64,
    /// Failures that one client-reported error stands for.
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
    /// Shortest time between two calls of this agent for the list: all agents together keep to the
    /// platform's rate, the only one that the settings give for calls. At most half of the time
    /// within which the list must be asked for; zero where calls cost discovery nothing.
    pub fn list_call_interval(&self) -> Duration {
        let half_poll_interval = self
            .list_poll_interval
            .filter(|_| self.shared_discovery)
            .unwrap_or_default()
            / 2;
        let seconds = self.rollout.vote_interval;
        Duration::from_secs_f64(seconds.clamp(0.0, MAX_LIST_CALL_INTERVAL)).min(half_poll_interval)
    }

    /// Slots in which the exposure cap counts.
    pub fn exposure_slots(&self, classes: usize) -> usize {
        if self.rollout.cap_per_class {
            classes
        } else {
            1
        }
    }

    /// The slot in which the exposure cap counts an attempt of this class.
    pub fn exposure_slot(&self, class: usize) -> usize {
        if self.rollout.cap_per_class {
            class
        } else {
            0
        }
    }
}

/// Shortest time between two calls of one agent for the endpoint list, so that all agents together
/// keep to the rate that the discovery service bears. Zero where calls cost it nothing.
pub fn list_call_interval(settings: &Settings) -> Duration {
    Parameters::from(settings).list_call_interval()
}

/// How sure each of `needed` agents must be, as a logarithm, by Poisson's approximation: with `n`
/// agents that err with a probability of `exp(-t)` each, `k` of them err at once with about
/// `(n exp(-t))^k / k!`.
fn agreement_threshold(agents: u32, needed: u32) -> f64 {
    let needed = needed.clamp(1, MAX_NEEDED_VOTES);
    let ln_joint_error = JOINT_ERROR_PROBABILITY.ln() + ln_factorial(needed);
    f64::from(agents.max(1)).ln() - ln_joint_error / f64::from(needed)
}
