//! Estimate of the resources that a run needs, made before it starts.

use super::plan::{Measure, Plan, PlannedSize, Size};
use super::process::Machine;

/// Maximum number of agent processes.
pub const MAX_AGENTS: usize = 100;
/// Maximum memory of all processes, in bytes.
pub const MAX_MEMORY: u64 = 4 << 30;

// Upper bounds of an agent's memory at its start, in bytes. They are higher than the memory that
// agents really use, so that a run is refused before it can exhaust the memory; `tests/fleet.rs`
// checks them against a run.

/// Bytes of an agent without endpoints, classes, tenants and clients.
const AGENT_BYTES: u64 = 22 << 20;
/// Bytes of an agent for each endpoint.
const ENDPOINT_BYTES: u64 = 5 << 10;
/// Bytes of an agent for each class.
const CLASS_BYTES: u64 = 8 << 10;
/// Bytes of an agent for each tenant.
const TENANT_BYTES: u64 = 3 << 10;
/// Bytes of an agent for each client.
const CLIENT_BYTES: u64 = 64 << 10;
/// Bytes of an agent for each pair of endpoint and class.
const PAIR_BYTES: u64 = 48;
/// Bytes of this process without entries, tenants, agents and connections.
const OWN_BYTES: u64 = 64 << 20;
/// Bytes of this process for each entry of the endpoint list.
const OWN_ENTRY_BYTES: u64 = 4 << 10;
/// Bytes of this process for each tenant.
const OWN_TENANT_BYTES: u64 = 2 << 10;
/// Bytes of this process for each agent.
const OWN_AGENT_BYTES: u64 = 1 << 20;
/// Bytes of this process for each connection of a client.
const OWN_CONNECTION_BYTES: u64 = 256 << 10;
/// Descriptors for each agent besides its connections to endpoints: both ends of two proxies.
const AGENT_DESCRIPTORS: u64 = 16;
/// Descriptors for each client: both ends of its connection.
const CLIENT_DESCRIPTORS: u64 = 2;
/// Descriptors of listeners and files.
const OTHER_DESCRIPTORS: u64 = 200;

/// Peak resources that a run needs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Number of agent processes.
    pub agents: usize,
    /// Memory of one agent, in bytes.
    pub agent: u64,
    /// Memory of all processes, in bytes.
    pub memory: u64,
    /// Number of descriptors of this process.
    pub descriptors: u64,
}

/// Estimates one installation with this many client connections.
pub fn size(size: &Size, clients: usize) -> Estimate {
    let agents = size.agents as u64;
    let endpoints = size.endpoints as u64;
    let classes = size.classes as u64;
    let tenants = size.tenants as u64;
    let clients = clients as u64;
    let agent = saturating_sum([
        AGENT_BYTES,
        ENDPOINT_BYTES.saturating_mul(endpoints),
        CLASS_BYTES.saturating_mul(classes),
        TENANT_BYTES.saturating_mul(tenants),
        CLIENT_BYTES.saturating_mul(clients),
        PAIR_BYTES.saturating_mul(endpoints.saturating_mul(classes)),
    ]);
    let own = saturating_sum([
        OWN_BYTES,
        OWN_ENTRY_BYTES.saturating_mul(endpoints),
        OWN_TENANT_BYTES.saturating_mul(tenants),
        OWN_AGENT_BYTES.saturating_mul(agents),
        OWN_CONNECTION_BYTES.saturating_mul(clients),
    ]);
    let descriptors = saturating_sum([
        agents.saturating_mul(AGENT_DESCRIPTORS + size.sockets as u64),
        clients.saturating_mul(CLIENT_DESCRIPTORS),
        OTHER_DESCRIPTORS,
    ]);
    Estimate {
        agents: size.agents,
        agent,
        memory: agents.saturating_mul(agent).saturating_add(own),
        descriptors,
    }
}

fn saturating_sum<const N: usize>(parts: [u64; N]) -> u64 {
    parts.into_iter().fold(0, u64::saturating_add)
}

/// Estimates the peak resources over all measures of a plan.
pub fn plan(plan: &Plan) -> Estimate {
    // The measure of idle agents also uses the sizes of the measure by pairs.
    let is_idle_measured = plan.measures.contains(&Measure::Idle);
    let pairs = is_idle_measured.then_some(Measure::Pairs);
    plan.measures
        .iter()
        .copied()
        .chain(pairs)
        .flat_map(|measure| plan.sizes(measure))
        .map(|PlannedSize { size: s, clients }| size(&s, clients))
        .fold(Estimate::default(), Estimate::larger)
}

/// The reason why a run is refused.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error(
    "the run would take {} agents of {} MB each, {} MB of memory in total and {} descriptors; {reason}",
    estimate.agents,
    megabytes(estimate.agent),
    megabytes(estimate.memory),
    estimate.descriptors
)]
pub struct Refusal {
    /// Resources that the run would need.
    estimate: Estimate,
    reason: RefusalReason,
}

#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
enum RefusalReason {
    #[error("at most {MAX_AGENTS} agents are allowed")]
    AgentLimit,
    #[error("at most {} MB of memory are allowed", megabytes(MAX_MEMORY))]
    MemoryLimit,
    #[error("{} MB of memory are available, of which half is left to other processes", megabytes(*available))]
    AvailableMemory { available: u64 },
    #[error("this process is limited to {allowed} descriptors")]
    DescriptorLimit { allowed: u64 },
}

fn megabytes(bytes: u64) -> u64 {
    bytes / (1 << 20)
}

impl Estimate {
    /// Returns the maximum of each resource.
    fn larger(self, other: Estimate) -> Estimate {
        Estimate {
            agents: self.agents.max(other.agents),
            agent: self.agent.max(other.agent),
            memory: self.memory.max(other.memory),
            descriptors: self.descriptors.max(other.descriptors),
        }
    }

    /// Returns why a run with this estimate is refused on this machine; `None` if it fits.
    pub fn refused(&self, machine: &Machine) -> Option<Refusal> {
        let reason = if self.agents > MAX_AGENTS {
            RefusalReason::AgentLimit
        } else if self.memory > MAX_MEMORY {
            RefusalReason::MemoryLimit
        } else if self.memory > machine.memory / 2 {
            let available = machine.memory;
            RefusalReason::AvailableMemory { available }
        } else if self.descriptors > machine.descriptors {
            let allowed = machine.descriptors;
            RefusalReason::DescriptorLimit { allowed }
        } else {
            return None;
        };
        Some(Refusal {
            estimate: *self,
            reason,
        })
    }
}
