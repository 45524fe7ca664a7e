//! The figures that sweeps report: their names, and how they are calculated from an outcome.

use super::meter::Total;
use super::simulation::Outcome;

/// A figure that is calculated from the outcome of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Figure {
    /// Name of the figure in reports, with its unit.
    pub name: &'static str,
    /// Whether the figure is a processor time, which varies between runs. A count is the same in
    /// every run and on any number of threads.
    pub is_time: bool,
    /// Calculates the figure from an outcome.
    pub read: fn(&Outcome) -> f64,
}

impl Figure {
    const fn time(name: &'static str, read: fn(&Outcome) -> f64) -> Figure {
        Figure {
            name,
            is_time: true,
            read,
        }
    }

    const fn count(name: &'static str, read: fn(&Outcome) -> f64) -> Figure {
        Figure {
            name,
            is_time: false,
            read,
        }
    }
}

/// Returns the processor time of an operation divided by `count`, in microseconds.
fn microseconds_each(outcome: &Outcome, operation: &str, count: u64) -> f64 {
    let ns = outcome.work.get(operation).map_or(0, |total| total.total);
    ns as f64 / count.max(1) as f64 / 1000.0
}

/// Returns the processor time of an operation divided by the number of agents, in milliseconds.
fn milliseconds_per_agent(outcome: &Outcome, operation: &str) -> f64 {
    microseconds_each(outcome, operation, outcome.agents as u64) / 1000.0
}

/// Returns the messages and bytes of a kind of message.
fn traffic(outcome: &Outcome, kind: &str) -> Total {
    outcome.traffic.get(kind).copied().unwrap_or_default()
}

/// Divides a value by the number of agents.
fn per_agent(outcome: &Outcome, value: f64) -> f64 {
    value / outcome.agents.max(1) as f64
}

/// Processor time of the balancer's decisions for a request.
pub const DECISIONS: Figure = Figure::time("decisions, us a command", |o| {
    microseconds_each(o, "decisions", o.requests)
});
/// Endpoints that the balancer scans for a request.
pub const SCANS_PER_REQUEST: Figure = Figure::count("looks at appliances a command", |o| {
    o.endpoints_scanned as f64 / o.requests.max(1) as f64
});
/// Endpoints that the balancer scans in a poll.
pub const SCANS_PER_POLL: Figure = Figure::count("looks at appliances a survey", |o| {
    o.endpoints_scanned as f64 / o.polls.max(1) as f64
});
/// Processor time of a poll of the balancer.
pub const POLL: Figure = Figure::time("survey, us each", |o| {
    microseconds_each(o, "surveys", o.polls)
});
/// Processor time to look up a tenant by name.
pub const TENANT_LOOKUP: Figure = Figure::time("tenant's name, us a command", |o| {
    microseconds_each(o, "tenants", o.requests)
});
/// Processor time to parse an endpoint list.
pub const PARSING: Figure = Figure::time("reading, ms a list", |o| {
    milliseconds_per_agent(o, "reading")
});
/// Processor time to update an agent's endpoint list.
pub const LIST_UPDATE: Figure = Figure::time("List::take, ms a list", |o| {
    milliseconds_per_agent(o, "taking")
});
/// Processor time to update the balancer after a change of the endpoint list.
pub const BALANCER_UPDATE: Figure = Figure::time("Choice::list, ms a list", |o| {
    milliseconds_per_agent(o, "listing")
});
/// Mean size of a response with the whole endpoint list.
pub const WHOLE_LIST: Figure = Figure::count("whole list, bytes", |o| {
    let lists = traffic(o, "whole lists");
    lists.total as f64 / (lists.count as f64).max(1.0)
});
/// Resident memory of an agent.
pub const MEMORY: Figure = Figure::count("memory, bytes an agent", |o| per_agent(o, o.memory));
/// Control traffic of an agent, both ways.
pub const BYTES: Figure = Figure::count("bytes a second an agent", |o| o.bytes);
/// Calls answered by the discovery of all services together.
pub const DISCOVERY_CALLS: Figure = Figure::count("discovery, calls a second in sum", |o| o.calls);
/// Bytes sent by the discovery of all services together.
pub const DISCOVERY_BYTES: Figure =
    Figure::count("discovery, bytes a second in sum", |o| o.discovery_bytes);
/// Bytes sent by the platforms of all services together.
pub const PLATFORM_BYTES: Figure =
    Figure::count("platform, bytes a second in sum", |o| o.platform_bytes);
/// An agent's share of a core.
pub const CORE: Figure = Figure::time("share of a core", |o| o.core);
/// An agent's share of a core without the work for each request.
pub const CONTROL_CORE: Figure =
    Figure::time("share of a core without commands", |o| o.control_core);
