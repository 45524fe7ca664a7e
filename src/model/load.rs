//! What is remembered of the agent as a whole, a struct a concern.

use crate::interface::CrossZonePolicy;
use crate::stats::{DecayingCounts, Ewma};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// What is in flight, and what may be.
#[derive(Default)]
pub(crate) struct AdmissionState {
    /// Attempts in flight.
    pub in_flight: usize,
    /// Those of them at unresponsive endpoints.
    pub unresponsive_in_flight: usize,
    /// Limit of attempts in flight; `None` where answers are fast enough without one.
    pub limit: Option<f64>,
    /// The highest limit of late.
    pub peak_limit: f64,
    /// By tenant: requests of late; decays.
    pub tenant_load: DecayingCounts,
    /// The highest value of any class.
    pub best_value: f64,
    /// Answers a second, over all classes.
    pub answer_rate: f64,
}

/// What retries may still cost.
#[derive(Default)]
pub(crate) struct RetryState {
    /// Further attempts earned.
    pub budget: f64,
    /// Part of the failures that is the endpoint's and not the request's own, 0 to 1.
    pub fault_attribution: f64,
}

/// Local and remote zones.
#[derive(Default)]
pub(crate) struct CrossZoneState {
    /// What forwarding to other zones means at present.
    pub policy: CrossZonePolicy,
    /// Latencies of the own zone, divided by the mean of the class.
    pub local_latency_ratio: f64,
    /// The same of the other zones.
    pub remote_latency_ratio: f64,
    /// Weight of a remote endpoint where the policy gives none.
    pub remote_weight: f64,
}

impl CrossZoneState {
    /// Latency in seconds that the way to this zone and back adds.
    pub fn added_latency(&self, zone: usize) -> f64 {
        self.policy
            .zones
            .get(zone)
            .map_or(0.0, |z| z.added_latency.as_secs_f64())
    }
}

/// Pace of warm endpoints, which bounds that of those in slow start.
#[derive(Default)]
pub(crate) struct SlowStartState {
    /// Answers of warm endpoints in this evaluation interval.
    pub completed: f64,
    /// Answers of one warm endpoint in an evaluation interval.
    pub completed_per_interval: Ewma,
    /// What endpoints might get at the last evaluation.
    pub pace: SlowStartPace,
}

/// What endpoints in slow start may get, by the pace of warm ones.
#[derive(Clone, Copy, Default)]
pub(crate) struct SlowStartPace {
    /// Answers in an evaluation interval for a full share.
    pub attempts_per_interval: f64,
    /// Evaluation intervals in the overload window.
    pub intervals_per_window: f64,
}

impl SlowStartPace {
    /// Attempts in the overload window, for a part of the full load of hardware of this throughput.
    pub fn attempts_per_window(&self, share: f64, throughput: f64) -> f64 {
        share * throughput * self.attempts_per_interval * self.intervals_per_window
    }
}

/// Keys and the endpoints or builds that serve them.
#[derive(Default)]
pub(crate) struct AffinityState {
    /// Keys of the last requests.
    pub recent_keys: RecentKeys,
    /// The newest build that answered a key, where keys must not return to an earlier one.
    pub sticky_builds: BTreeMap<u64, u32>,
}

/// The keys of the last requests.
#[derive(Default)]
pub(crate) struct RecentKeys(VecDeque<u64>);

impl RecentKeys {
    /// Whether this key is among the last `capacity` ones; from now on it is.
    pub fn insert(&mut self, key: u64, capacity: usize) -> bool {
        let is_known = self.0.contains(&key);
        self.0.push_back(key);
        self.0.drain(..self.0.len().saturating_sub(capacity));
        is_known
    }
}

/// The lease of the endpoint list and the calls for it.
#[derive(Default)]
pub(crate) struct ListState {
    /// Until when the list holds; `None` where it holds without a limit.
    pub valid_until: Option<Duration>,
    /// When to call for it next.
    pub next_call: Option<Duration>,
    /// Least time between two calls, longer after failures.
    pub backoff: Duration,
}

/// Times that rule the evaluations.
#[derive(Default)]
pub(crate) struct ClockState {
    /// When the next evaluation is due.
    pub next_evaluation: Duration,
    /// When this agent resumed after its last stall.
    pub resumed_at: Duration,
}

/// What the next poll hands out.
#[derive(Default)]
pub(crate) struct PendingOutput {
    /// Endpoints to ask for their load.
    pub load_report_requests: Vec<usize>,
    /// Lines for the operators' log.
    pub log_lines: Vec<String>,
}
