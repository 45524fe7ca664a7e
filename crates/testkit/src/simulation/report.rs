//! What came of a simulation.

use super::Violation;
use crate::latencies::histogram;
use hdrhistogram::Histogram;
use std::time::Duration;
use tulipwall::{Decision, Vote};
use tulipwall_zones::Zones;

/// Start value and prime of FNV-1a, to which each step adds a rotation.
const DIGEST_SEED: u64 = 0xcbf2_9ce4_8422_2325;
const DIGEST_PRIME: u64 = 0x0100_0000_01b3;
const DIGEST_ROTATION: u32 = 23;
/// An agent counts as mostly remote from above the one share to below the other.
const MOSTLY_REMOTE: f64 = 0.5;
const HARDLY_REMOTE: f64 = 0.25;

/// What became of a rollout. Times count from the beginning of the simulation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RolloutOutcome {
    /// When the first hold came, and in which stage.
    pub first_hold: Option<(Duration, usize)>,
    /// When the build was rolled back.
    pub rolled_back: Option<Duration>,
    /// When it was released.
    pub released: Option<Duration>,
    /// How long holds stopped the clock.
    pub time_held: Duration,
}

/// What one agent did in one second.
#[derive(Clone, Copy, Debug, Default)]
pub struct SecondCounts {
    /// Requests that came, retries among them.
    pub requests_received: u64,
    /// Requests that came for the first time.
    pub first_tries: u64,
    /// Of these, those that succeeded within their latency objective.
    pub within_objective: u64,
    /// Attempts sent within the agent's zone.
    pub local_sends: u64,
    /// Attempts sent to another zone.
    pub remote_sends: u64,
}

/// One attempt that was sent to an endpoint of another zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CrossZoneSend {
    /// Time since the beginning of the simulation.
    pub at: Duration,
    /// Index of the request's class.
    pub class: usize,
    /// Why it went over a budget, where it did.
    pub over_budget: Option<tulipwall_zones::OverBudgetReason>,
}

/// What came of a simulation.
#[derive(Debug)]
pub struct SimulationReport {
    /// Requests that agents received, retries among them.
    pub requests: u64,
    /// Requests that succeeded.
    pub succeeded: u64,
    /// Of these, those within their latency objective.
    pub within_objective: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests that had no answer when the simulation ended.
    pub unanswered: u64,
    /// Microseconds to successful answers.
    pub latencies: Histogram<u64>,
    /// The same by second in which the request came.
    pub latencies_by_second: Vec<Histogram<u64>>,
    /// Counts by agent and second.
    pub counts_by_second: Vec<Vec<SecondCounts>>,
    /// Attempts to other zones, by agent.
    pub cross_zone_sends: Vec<Vec<CrossZoneSend>>,
    /// Broken rules.
    pub violations: Vec<Violation>,
    /// Votes of agents: since the beginning of the simulation.
    pub votes: Vec<(Duration, Vote)>,
    /// What became of the rollout plan.
    pub rollout: RolloutOutcome,
    /// What happened to the request that was traced.
    pub trace: Vec<String>,
    /// Events that were handled.
    pub events: u64,
    /// Attempts by endpoint.
    pub sends_by_endpoint: Vec<u64>,
    /// The agents' zones at the end.
    pub zones: Vec<Option<Zones>>,
    /// All decisions, folded into one number: equal simulations give equal ones.
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

    /// The counts of an agent in a second; what comes after the last one counts there.
    pub(super) fn second(&mut self, agent: usize, second: usize) -> &mut SecondCounts {
        let seconds = &mut self.counts_by_second[agent];
        let last = seconds.len() - 1;
        &mut seconds[second.min(last)]
    }

    /// Records a successful answer to a request that came in this second.
    pub(super) fn record_latency(&mut self, second: usize, latency: Duration) {
        let micros = latency.as_micros().max(1) as u64;
        self.latencies.saturating_record(micros);
        let last = self.latencies_by_second.len() - 1;
        self.latencies_by_second[second.min(last)].saturating_record(micros);
    }

    /// Folds a decision into the digest: its agent, its request, its kind and what it holds.
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

    /// The share of all attempts that went to another zone.
    pub fn cross_zone_share(&self) -> f64 {
        remote_share(self.counts_by_second.iter().flatten())
    }

    /// The same between two seconds of the simulation.
    pub fn cross_zone_share_between(&self, from: u64, to: u64) -> f64 {
        let seconds = |agent: &Vec<SecondCounts>| from as usize..(to as usize).min(agent.len());
        remote_share(
            self.counts_by_second
                .iter()
                .flat_map(|agent| &agent[seconds(agent)]),
        )
    }

    /// How often an agent changed sides in a minute: seconds with most attempts remote after
    /// seconds with hardly any, and back.
    pub fn direction_changes_per_minute(&self) -> f64 {
        let mut changes = 0;
        let mut minutes = 0.0;
        for agent in &self.counts_by_second {
            changes += direction_changes(agent);
            minutes += agent.len() as f64 / 60.0;
        }
        f64::from(changes) / minutes.max(1e-9)
    }

    /// Milliseconds within which this share (0 to 1) of successful answers came.
    pub fn quantile_ms(&self, share: f64) -> f64 {
        self.latencies.value_at_quantile(share) as f64 / 1000.0
    }

    /// The same of requests that came between two seconds of the simulation.
    pub fn quantile_between(&self, share: f64, from: usize, to: usize) -> f64 {
        let mut all = histogram();
        let to = to.min(self.latencies_by_second.len());
        for second in &self.latencies_by_second[from..to] {
            // Equal bounds: nothing is refused.
            let _ = all.add(second);
        }
        all.value_at_quantile(share) as f64 / 1000.0
    }

    /// How many attempts to other zones went over a budget.
    pub fn over_budget_sends(&self) -> usize {
        self.cross_zone_sends
            .iter()
            .flatten()
            .filter(|send| send.over_budget.is_some())
            .count()
    }
}

/// Remote attempts against all.
fn remote_share<'a>(seconds: impl Iterator<Item = &'a SecondCounts>) -> f64 {
    let mut local = 0;
    let mut remote = 0;
    for second in seconds {
        local += second.local_sends;
        remote += second.remote_sends;
    }
    remote as f64 / (local + remote).max(1) as f64
}

/// How often one agent changed between mostly remote and hardly remote.
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
