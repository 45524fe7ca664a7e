//! The measurements of a simulation, summed up over agents and servers.

use super::coordinator::is_in_second_region;
use super::workers::AgentReport;
use super::{InstallationEvent, Simulation};
use crate::scale::meter::{MessageKind, Operation, Total};
use crate::scale::servers::{ServerCounts, Servers, SimulatedDiscovery};
use crate::scale::size::MAX_RELOAD_TIME;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;
use tulipwall_discovery::clock::START_OFFSET;

/// A change of the endpoint list that an agent has not learnt after this time counts as late, even
/// if the agent learns it afterwards.
const MAX_PROPAGATION: Duration = Duration::from_secs(6);
const NS_PER_SECOND: f64 = 1e9;

/// The measurements of a simulation. Bytes and messages are those on the agents' control
/// connections in both directions, without the overhead of TCP.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcome {
    /// Number of simulated agents.
    pub agents: usize,
    /// Simulated time in which everything was counted, in seconds.
    pub seconds: f64,
    /// Occurrences and processor time in nanoseconds by operation, over all agents.
    pub work: BTreeMap<&'static str, Total>,
    /// Messages and bytes by kind of message, over all agents.
    pub traffic: BTreeMap<&'static str, Total>,
    /// Requests that arrived.
    #[serde(rename = "commands")]
    pub requests: u64,
    /// Requests that succeeded.
    #[serde(rename = "satisfied")]
    pub succeeded: u64,
    /// Attempts sent.
    #[serde(rename = "deliveries")]
    pub attempts: u64,
    /// Endpoints that balancers scanned.
    #[serde(rename = "looks")]
    pub endpoints_scanned: u64,
    /// Number of polls of balancers.
    #[serde(rename = "surveys")]
    pub polls: u64,
    /// Largest number of entries that any agent retains: requests, endpoints, builds and keys in
    /// the balancer, and endpoints in the list.
    #[serde(rename = "kept")]
    pub retained: [usize; 5],
    /// Mean share of a core of an agent.
    pub core: f64,
    /// Share of a core of an agent, in the worst second of any agent.
    pub core_worst: f64,
    /// Mean share of a core of an agent without the work for each request.
    pub control_core: f64,
    /// Share of a core of an agent without the work for each request, in the worst second of any
    /// agent.
    pub control_core_worst: f64,
    /// Mean control traffic of an agent, in bytes a second.
    pub bytes: f64,
    /// Control traffic in the worst second of any agent, in bytes.
    pub bytes_worst: f64,
    /// Calls a second answered by the discovery of all services together.
    pub calls: f64,
    /// Calls answered by the discovery of all services together, in the worst second.
    pub calls_worst: f64,
    /// Calls refused by the discovery of all services together.
    pub refused: u64,
    /// Bytes a second sent by the discovery of all services together.
    pub discovery_bytes: f64,
    /// Bytes sent by the discovery of all services together, in the worst second.
    pub discovery_bytes_worst: f64,
    /// Processor time of the simulated discovery of all services, as a share of a core.
    pub discovery_core: f64,
    /// Bytes a second sent by the platforms of all services together.
    pub platform_bytes: f64,
    /// Calls a second answered by the platforms of all services together.
    pub platform_calls: f64,
    /// Mean time from a change of the endpoint list until an agent learnt it, in seconds.
    #[serde(rename = "heard_mean")]
    pub propagation_mean: f64,
    /// Maximum time from a change of the endpoint list until an agent learnt it, in seconds.
    #[serde(rename = "heard_most")]
    pub propagation_max: f64,
    /// Number of changes that an agent learnt late or never, over all agents.
    #[serde(rename = "heard_late")]
    pub propagation_late: u64,
    /// Maximum time from a reload until both discovery and the platform had responded, in seconds.
    #[serde(rename = "renewed_most")]
    pub reload_max: f64,
    /// Number of reloads that took longer than the limit or were incomplete at the end.
    #[serde(rename = "renewed_late")]
    pub reload_late: u64,
    /// Memory of all agents in bytes: the growth of the process's resident set.
    pub memory: f64,
}

impl Outcome {
    /// Combines two runs of the same simulation, whose counts are equal, by taking the minimum of
    /// each processor time: other load on the machine can only increase a time.
    pub fn least(mut self, other: &Outcome) -> Outcome {
        for (name, total) in &mut self.work {
            if let Some(other) = other.work.get(name) {
                total.total = total.total.min(other.total);
            }
        }
        self.core = self.core.min(other.core);
        self.core_worst = self.core_worst.min(other.core_worst);
        self.control_core = self.control_core.min(other.control_core);
        self.control_core_worst = self.control_core_worst.min(other.control_core_worst);
        self
    }

    /// Sums up the counts of all agents and servers.
    pub(super) fn of(
        simulation: &Simulation,
        reports: &[AgentReport],
        servers: &[Servers],
        memory: f64,
    ) -> Outcome {
        let mut outcome = Outcome {
            agents: reports.len(),
            seconds: simulation.duration.as_secs_f64(),
            memory,
            ..Outcome::default()
        };
        // An incomplete second at the end is left out of the counts by second.
        let whole_seconds = simulation.duration.as_secs() as usize;
        outcome.add_agents(reports, whole_seconds);
        outcome.add_reloads(simulation, reports);
        outcome.add_propagation(simulation, reports, servers);
        outcome.add_discovery(servers, whole_seconds);
        outcome.add_platforms(servers);
        outcome
    }

    /// Adds the processor time and traffic of all agents.
    fn add_agents(&mut self, reports: &[AgentReport], whole_seconds: usize) {
        let mut ns = 0;
        let mut control_ns = 0;
        for report in reports {
            self.add_counts(report);
            for second in report.meter.seconds.iter().take(whole_seconds) {
                ns += second.ns;
                control_ns += second.control_ns;
                let core = second.ns as f64 / NS_PER_SECOND;
                let control_core = second.control_ns as f64 / NS_PER_SECOND;
                self.core_worst = self.core_worst.max(core);
                self.control_core_worst = self.control_core_worst.max(control_core);
                self.bytes_worst = self.bytes_worst.max(second.bytes as f64);
            }
        }
        let agents = reports.len() as f64;
        let total_bytes: f64 = self.traffic.values().map(|t| t.total as f64).sum();
        self.core = ns as f64 / NS_PER_SECOND / self.seconds / agents;
        self.control_core = control_ns as f64 / NS_PER_SECOND / self.seconds / agents;
        self.bytes = total_bytes / self.seconds / agents;
    }

    /// Adds the counts of one agent.
    fn add_counts(&mut self, report: &AgentReport) {
        for ((_, name), total) in Operation::NAMES.iter().zip(&report.meter.work) {
            self.work.entry(name).or_default().merge(total);
        }
        for ((_, name), total) in MessageKind::NAMES.iter().zip(&report.meter.traffic) {
            self.traffic.entry(name).or_default().merge(total);
        }
        let counts = &report.counts;
        self.requests += counts.requests;
        self.succeeded += counts.succeeded;
        self.attempts += counts.attempts;
        self.endpoints_scanned += counts.endpoints_scanned;
        self.polls += counts.polls;
        for (most, count) in self.retained.iter_mut().zip(counts.retained) {
            *most = count.max(*most);
        }
    }

    /// Adds the times of reloads. A reload without a completion counts as late.
    fn add_reloads(&mut self, simulation: &Simulation, reports: &[AgentReport]) {
        let completed = || reports.iter().flat_map(|r| &r.counts.reloads);
        let is_late = |duration: &&Duration| **duration > MAX_RELOAD_TIME;
        let late = completed().filter(is_late).count();
        let started: usize = simulation
            .events
            .iter()
            .map(|(_, event)| match event {
                InstallationEvent::Reload(agents) => agents.len(),
                _ => 0,
            })
            .sum();
        let incomplete = started.saturating_sub(completed().count());
        self.reload_late = (late + incomplete) as u64;
        self.reload_max = completed().map(Duration::as_secs_f64).fold(0.0, f64::max);
    }

    /// Adds the times until agents learnt changes of the endpoint list.
    fn add_propagation(
        &mut self,
        simulation: &Simulation,
        reports: &[AgentReport],
        servers: &[Servers],
    ) {
        let mut delays: Vec<Option<f64>> = Vec::new();
        for report in reports {
            let service = simulation.size.service_of(report.number);
            let discovery = &servers[service].discovery;
            delays.extend(propagation_delays(simulation, report, discovery));
        }
        let known = || delays.iter().flatten();
        let is_late =
            |delay: &&Option<f64>| delay.is_none_or(|d| d > MAX_PROPAGATION.as_secs_f64());
        self.propagation_mean = known().sum::<f64>() / delays.len().max(1) as f64;
        self.propagation_max = known().copied().fold(0.0, f64::max);
        self.propagation_late = delays.iter().filter(is_late).count() as u64;
    }

    /// Adds the counts of the discovery of all services.
    fn add_discovery(&mut self, servers: &[Servers], whole_seconds: usize) {
        let counts: Vec<&ServerCounts> = servers.iter().map(|s| &s.discovery.counts).collect();
        let total = |of: &dyn Fn(&ServerCounts) -> f64| counts.iter().map(|c| of(c)).sum::<f64>();
        let calls = total(&|c| c.calls.iter().sum::<u64>() as f64);
        let bytes = total(&|c| c.bytes.iter().sum::<u64>() as f64);
        let ns = total(&|c| c.ns as f64);
        self.calls = calls / self.seconds;
        self.calls_worst = worst_second(&counts, whole_seconds, |c| &c.calls);
        self.refused = counts.iter().map(|c| c.refused).sum();
        self.discovery_bytes = bytes / self.seconds;
        self.discovery_bytes_worst = worst_second(&counts, whole_seconds, |c| &c.bytes);
        self.discovery_core = ns / NS_PER_SECOND / self.seconds;
    }

    /// Adds the counts of the platforms of all services.
    fn add_platforms(&mut self, servers: &[Servers]) {
        let counts = || servers.iter().map(|s| &s.platform.counts);
        let bytes: u64 = counts().flat_map(|c| &c.bytes).sum();
        let calls: u64 = counts().flat_map(|c| &c.calls).sum();
        self.platform_bytes = bytes as f64 / self.seconds;
        self.platform_calls = calls as f64 / self.seconds;
    }
}

/// Returns the largest sum of a count over all servers in any whole second.
fn worst_second(
    counts: &[&ServerCounts],
    whole_seconds: usize,
    series: fn(&ServerCounts) -> &Vec<u64>,
) -> f64 {
    let at = |counts: &ServerCounts, second: usize| {
        let count = series(counts).get(second);
        count.copied().unwrap_or_default()
    };
    let sums = (0..whole_seconds).map(|second| counts.iter().map(|c| at(c, second)).sum::<u64>());
    sums.max().unwrap_or_default() as f64
}

/// Returns the time in seconds until an agent learnt each change of its list, or `None` for a
/// change that it never learnt. For an agent that a partition cut off, the time counts from the end
/// of the partition. Changes shortly before the end of the simulation are left out, since they may
/// not have had the time to arrive.
fn propagation_delays(
    simulation: &Simulation,
    report: &AgentReport,
    discovery: &SimulatedDiscovery,
) -> Vec<Option<f64>> {
    let from = START_OFFSET + simulation.warm_up;
    let end = from + simulation.duration;
    let reconnected_at = reconnected_at(simulation, report.number);
    let reachable_from = reconnected_at.unwrap_or_default();
    let counts = discovery
        .versions
        .iter()
        .filter(|v| v.at >= from && v.at.max(reachable_from) + MAX_PROPAGATION <= end);
    counts
        .map(|change| {
            let learnt = report
                .counts
                .versions
                .iter()
                .find(|learnt| learnt.version >= change.version && learnt.at >= change.at)?;
            let since = change.at.max(reachable_from);
            Some(learnt.at.saturating_sub(since).as_secs_f64())
        })
        .collect()
}

/// Returns the time at which an agent that a partition cut off was connected again; `None` for
/// agents that were not cut off or are never reconnected.
fn reconnected_at(simulation: &Simulation, agent: usize) -> Option<Duration> {
    if !is_in_second_region(&simulation.size, agent) {
        return None;
    }
    let healed = simulation
        .events
        .iter()
        .find(|(_, event)| matches!(event, InstallationEvent::Partition(false)));
    healed.map(|(at, _)| START_OFFSET + simulation.warm_up + *at)
}
