//! The result of a simulation.

use super::Violation;
use crate::latencies::histogram;
use hdrhistogram::Histogram;
use std::time::Duration;
use tulipwall::{Decision, Vote};
use tulipwall_zones::Zones;

/// Offset basis and prime of the FNV-1a hash; each digest step also rotates the hash.
const DIGEST_SEED: u64 = 0xcbf2_9ce4_8422_2325;
const DIGEST_PRIME: u64 = 0x0100_0000_01b3;
const DIGEST_ROTATION: u32 = 23;
/// Hysteresis for [`SimulationReport::direction_changes_per_minute`]: an agent turns mostly remote
/// above this share of remote attempts and back to local below [`HARDLY_REMOTE`].
const MOSTLY_REMOTE: f64 = 0.5;
const HARDLY_REMOTE: f64 = 0.25;

/// The outcome of a rollout. Times count from the beginning of the simulation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RolloutOutcome {
    /// Time and stage of the first vote to hold; `None` if there was none.
    pub first_hold: Option<(Duration, usize)>,
    /// When the build was rolled back; `None` if it was not.
    pub rolled_back: Option<Duration>,
    /// When the build was released; `None` if it was not.
    pub released: Option<Duration>,
    /// How long holds paused the stage timer.
    pub time_held: Duration,
}

/// Counts of one agent in one second of simulated time.
#[derive(Clone, Copy, Debug, Default)]
pub struct SecondCounts {
    /// Requests received, including retries.
    pub requests_received: u64,
    /// Requests received, excluding retries.
    pub first_tries: u64,
    /// Requests that succeeded within their latency objective, counted from the client's first try.
    pub within_objective: u64,
    /// Attempts sent within the agent's zone.
    pub local_sends: u64,
    /// Attempts sent to another zone.
    pub remote_sends: u64,
}

/// An attempt that was sent to an endpoint in another zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CrossZoneSend {
    /// Time from the beginning of the simulation.
    pub at: Duration,
    /// Index of the request's class.
    pub class: usize,
    /// Why the attempt was sent over a budget; `None` if it was within all budgets.
    pub over_budget: Option<tulipwall_zones::OverBudgetReason>,
}

/// The result of a simulation.
#[derive(Debug)]
pub struct SimulationReport {
    /// Requests that agents received, including retries.
    pub requests: u64,
    /// Requests that succeeded.
    pub succeeded: u64,
    /// Requests that succeeded within their latency objective.
    pub within_objective: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests without an answer when the simulation ended.
    pub unanswered: u64,
    /// Latency of successful requests in microseconds.
    pub latencies: Histogram<u64>,
    /// Latency of successful requests in microseconds, by the second in which the request was
    /// received.
    pub latencies_by_second: Vec<Histogram<u64>>,
    /// Counts by agent and second.
    pub counts_by_second: Vec<Vec<SecondCounts>>,
    /// Attempts sent to other zones, by agent.
    pub cross_zone_sends: Vec<Vec<CrossZoneSend>>,
    /// All rule violations, in order of detection.
    pub violations: Vec<Violation>,
    /// Votes of agents, with their times from the beginning of the simulation.
    pub votes: Vec<(Duration, Vote)>,
    /// The outcome of the rollout plan.
    pub rollout: RolloutOutcome,
    /// The trace of [`traced_request`](super::Simulation::traced_request), one line per step.
    pub trace: Vec<String>,
    /// Number of events taken from the queue.
    pub events: u64,
    /// Number of attempts sent, by endpoint.
    pub sends_by_endpoint: Vec<u64>,
    /// The agents' zones at the end; `None` for agents without zones.
    pub zones: Vec<Option<Zones>>,
    /// Hash of all decisions. Equal simulations give equal digests.
    pub digest: u64,
}

impl SimulationReport {
    pub(super) fn new(seconds: usize, agents: usize, endpoints: usize) -> SimulationReport {
        SimulationReport {
            requests: 0,
            succeeded: 0,
            within_objective: 0,
            rejected: 0,
            failed: 0,
            unanswered: 0,
            latencies: histogram(),
            latencies_by_second: (0..seconds).map(|_| histogram()).collect(),
            counts_by_second: vec![vec![SecondCounts::default(); seconds]; agents],
            cross_zone_sends: vec![Vec::new(); agents],
            violations: Vec::new(),
            votes: Vec::new(),
            rollout: RolloutOutcome::default(),
            trace: Vec::new(),
            events: 0,
            sends_by_endpoint: vec![0; endpoints],
            zones: Vec::new(),
            digest: DIGEST_SEED,
        }
    }

    /// Returns the counts of an agent in a second. Times after the last second count towards it.
    pub(super) fn second(&mut self, agent: usize, second: usize) -> &mut SecondCounts {
        let seconds = &mut self.counts_by_second[agent];
        let last = seconds.len() - 1;
        &mut seconds[second.min(last)]
    }

    /// Records the latency of a successful request that was received in this second.
    pub(super) fn record_latency(&mut self, second: usize, latency: Duration) {
        let micros = latency.as_micros().max(1) as u64;
        self.latencies.saturating_record(micros);
        let last = self.latencies_by_second.len() - 1;
        self.latencies_by_second[second.min(last)].saturating_record(micros);
    }

    /// Adds a decision to the digest: its agent, its request, its kind and its content.
    pub(super) fn fold_decision(&mut self, agent: usize, request: u64, decision: &Decision) {
        let (kind, content) = match decision {
            Decision::Forward {
                endpoint, timeout, ..
            } => (1, *endpoint as u64 ^ timeout.as_micros() as u64),
            Decision::Defer { until } => (2, until.as_micros() as u64),
            Decision::Reject { .. } => (3, 0),
            Decision::Fail => (4, 0),
            Decision::Cancel { attempt } => (5, *attempt as u64),
            Decision::Await => (6, 0),
        };
        for number in [agent as u64, request, kind, content] {
            let mixed = (self.digest ^ number).wrapping_mul(DIGEST_PRIME);
            self.digest = mixed.rotate_left(DIGEST_ROTATION);
        }
    }

    /// Returns the share of attempts that went to another zone, 0 to 1.
    pub fn cross_zone_share(&self) -> f64 {
        remote_share(self.counts_by_second.iter().flatten())
    }

    /// Returns the share of attempts between two seconds of the simulation that went to another
    /// zone.
    pub fn cross_zone_share_between(&self, from: u64, to: u64) -> f64 {
        let seconds = |agent: &Vec<SecondCounts>| from as usize..(to as usize).min(agent.len());
        remote_share(
            self.counts_by_second
                .iter()
                .flat_map(|agent| &agent[seconds(agent)]),
        )
    }

    /// Returns how many times per minute an agent changed between sending most of a second's
    /// attempts to other zones and sending hardly any there.
    pub fn direction_changes_per_minute(&self) -> f64 {
        let mut changes = 0;
        let mut minutes = 0.0;
        for agent in &self.counts_by_second {
            changes += direction_changes(agent);
            minutes += agent.len() as f64 / 60.0;
        }
        f64::from(changes) / minutes.max(1e-9)
    }

    /// Returns the latency quantile of successful requests in milliseconds. `share` is 0 to 1.
    pub fn quantile_ms(&self, share: f64) -> f64 {
        self.latencies.value_at_quantile(share) as f64 / 1000.0
    }

    /// Returns the latency quantile, in milliseconds, of successful requests that were received
    /// between two seconds of the simulation.
    pub fn quantile_between(&self, share: f64, from: usize, to: usize) -> f64 {
        let mut all = histogram();
        let to = to.min(self.latencies_by_second.len());
        for second in &self.latencies_by_second[from..to] {
            // Cannot fail, as all histograms have the same bounds.
            let _ = all.add(second);
        }
        all.value_at_quantile(share) as f64 / 1000.0
    }

    /// Returns the number of attempts to other zones that were sent over a budget.
    pub fn over_budget_sends(&self) -> usize {
        self.cross_zone_sends
            .iter()
            .flatten()
            .filter(|send| send.over_budget.is_some())
            .count()
    }
}

/// Returns the share of attempts that were sent to another zone.
fn remote_share<'a>(seconds: impl Iterator<Item = &'a SecondCounts>) -> f64 {
    let mut local = 0;
    let mut remote = 0;
    for second in seconds {
        local += second.local_sends;
        remote += second.remote_sends;
    }
    remote as f64 / (local + remote).max(1) as f64
}

/// Returns how many times an agent changed between mostly remote and hardly remote.
fn direction_changes(seconds: &[SecondCounts]) -> u32 {
    let mut changes = 0;
    let mut mostly_remote = false;
    for second in seconds {
        let sends = second.local_sends + second.remote_sends;
        if sends == 0 {
            continue;
        }
        let remote = second.remote_sends as f64 / sends as f64;
        let changed = if mostly_remote {
            remote < HARDLY_REMOTE
        } else {
            remote > MOSTLY_REMOTE
        };
        if changed {
            mostly_remote = !mostly_remote;
            changes += 1;
        }
    }
    changes
}
