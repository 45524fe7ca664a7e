//! State of the agent as a whole, one struct per concern.

use crate::interface::CrossZonePolicy;
use crate::stats::{DecayingCounts, Ewma};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Attempts in flight and their limit.
#[derive(Default)]
pub(crate) struct AdmissionState {
    /// Number of attempts in flight.
    pub in_flight: usize,
    /// Number of attempts in flight to unresponsive endpoints.
    pub unresponsive_in_flight: usize,
    /// Limit of the attempts in flight. `None` if responses are fast enough without a limit.
    pub limit: Option<f64>,
    /// Highest recent value of the limit.
    pub peak_limit: f64,
    /// Number of recent requests by tenant, decaying.
    pub tenant_load: DecayingCounts,
    /// Highest value of any class, to which the values of all classes are compared.
    pub best_value: f64,
    /// Responses per second over all classes.
    pub answer_rate: f64,
}

/// State of the retry budget.
#[derive(Default)]
pub(crate) struct RetryState {
    /// Number of retries that the budget currently allows.
    pub budget: f64,
    /// Estimated share of failures that the endpoint caused, not the request itself, 0 to 1.
    pub fault_attribution: f64,
}

/// State of the routing between zones.
#[derive(Default)]
pub(crate) struct CrossZoneState {
    /// Current policy for forwarding to other zones.
    pub policy: CrossZonePolicy,
    /// Latency of responses from the agent's own zone, divided by the mean of the class.
    pub local_latency_ratio: f64,
    /// Latency of responses from other zones, divided by the mean of the class.
    pub remote_latency_ratio: f64,
    /// Weight of a remote endpoint where the policy gives none, 0 to 1.
    pub remote_weight: f64,
}

impl CrossZoneState {
    /// Returns the latency in seconds that the round trip to this zone adds.
    pub fn added_latency(&self, zone: usize) -> f64 {
        self.policy
            .zones
            .get(zone)
            .map_or(0.0, |z| z.added_latency.as_secs_f64())
    }
}

/// Rate at which warm endpoints respond, which limits the endpoints in slow start.
#[derive(Default)]
pub(crate) struct SlowStartState {
    /// Successful responses of warm endpoints in the current evaluation interval.
    pub completed: f64,
    /// Successful responses per warm endpoint and evaluation interval.
    pub completed_per_interval: Ewma,
    /// Limits for endpoints in slow start as of the last evaluation.
    pub pace: SlowStartPace,
}

/// Limits for endpoints in slow start, derived from the rate of warm endpoints.
#[derive(Clone, Copy, Default)]
pub(crate) struct SlowStartPace {
    /// Number of attempts per evaluation interval at full load.
    pub attempts_per_interval: f64,
    /// Number of evaluation intervals in the overload window.
    pub intervals_per_window: f64,
}

impl SlowStartPace {
    /// Returns the number of attempts in the overload window for hardware of this throughput that
    /// takes this share of its full load.
    pub fn attempts_per_window(&self, share: f64, throughput: f64) -> f64 {
        share * throughput * self.attempts_per_interval * self.intervals_per_window
    }
}

/// Which endpoints or builds serve which keys.
#[derive(Default)]
pub(crate) struct AffinityState {
    /// Keys of the last requests.
    pub recent_keys: RecentKeys,
    /// Newest build that has served each key, if keys must not return to an earlier build.
    pub sticky_builds: BTreeMap<u64, u32>,
}

/// Keys of the most recent requests, oldest first.
#[derive(Default)]
pub(crate) struct RecentKeys(VecDeque<u64>);

impl RecentKeys {
    /// Records a key and returns whether it was among the last `capacity` ones.
    pub fn insert(&mut self, key: u64, capacity: usize) -> bool {
        let is_known = self.0.contains(&key);
        self.0.push_back(key);
        self.0.drain(..self.0.len().saturating_sub(capacity));
        is_known
    }
}

/// The lease of the endpoint list, and the schedule of requests for the list.
#[derive(Default)]
pub(crate) struct ListState {
    /// When the lease expires. `None` if it never does.
    pub valid_until: Option<Duration>,
    /// When to request the list next. `None` if no request is scheduled.
    pub next_call: Option<Duration>,
    /// Shortest time between two requests for the list. Grows after failures.
    pub backoff: Duration,
}

/// Times that control the evaluations.
#[derive(Default)]
pub(crate) struct ClockState {
    /// When the next evaluation is due.
    pub next_evaluation: Duration,
    /// When this agent resumed after its last stall.
    pub resumed_at: Duration,
}

/// Output for the next poll.
#[derive(Default)]
pub(crate) struct PendingOutput {
    /// Indices of the endpoints to ask for a load report.
    pub load_report_requests: Vec<usize>,
    /// Lines to write to the operators' log.
    pub log_lines: Vec<String>,
}
