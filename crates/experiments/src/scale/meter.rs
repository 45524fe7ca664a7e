//! What one agent consumes: processor time of its thread by operation, messages and bytes by kind,
//! and both by second.

use rustix::time::{clock_gettime, ClockId};
use serde::Serialize;
use std::time::Duration;

/// Readings of the clock from which its own cost is taken.
const CLOCK_READINGS: usize = 2001;

/// What processor time is spent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// `Balancer::on_request`, `route` and `on_attempt_end`, and the lookup of the target.
    Decisions,
    /// `Balancer::poll`, ten times a second.
    Poll,
    /// Bytes to an endpoint list: the HTTP response and its document.
    Parsing,
    /// The update of the endpoint list.
    ListUpdate,
    /// `Balancer::update_endpoints`.
    BalancerUpdate,
    /// `ServiceConfig::tenant`: a tenant's name to its number.
    TenantLookup,
    /// The platform's lines, parsed and passed to the balancer.
    PlatformLine,
}

impl Operation {
    /// All operations in the order of their discriminants, with their names in reports.
    pub const NAMES: [(Operation, &'static str); 7] = [
        (Operation::Decisions, "decisions"),
        (Operation::Poll, "surveys"),
        (Operation::Parsing, "reading"),
        (Operation::ListUpdate, "taking"),
        (Operation::BalancerUpdate, "listing"),
        (Operation::TenantLookup, "tenants"),
        (Operation::PlatformLine, "news"),
    ];

    /// Whether each request takes it.
    fn is_per_request(self) -> bool {
        matches!(self, Operation::Decisions | Operation::TenantLookup)
    }
}

/// What is sent over an agent's control connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// A whole endpoint list.
    WholeList,
    /// Changes of the endpoint list.
    Changes,
    /// A watch that ended without changes.
    EmptyWatch,
    /// A call to discovery that was refused.
    Refusal,
    /// A call to discovery.
    DiscoveryCall,
    /// The platform's status of a rollout.
    RolloutStatus,
    /// The platform's sign of life.
    Ping,
    /// The platform's reply to a call.
    PlatformReply,
    /// A call to the platform.
    PlatformCall,
}

impl MessageKind {
    /// All kinds in the order of their discriminants, with their names in reports.
    pub const NAMES: [(MessageKind, &'static str); 9] = [
        (MessageKind::WholeList, "whole lists"),
        (MessageKind::Changes, "changes"),
        (MessageKind::EmptyWatch, "quiet watches"),
        (MessageKind::Refusal, "refusals"),
        (MessageKind::DiscoveryCall, "list calls"),
        (MessageKind::RolloutStatus, "news"),
        (MessageKind::Ping, "pings"),
        (MessageKind::PlatformReply, "answers"),
        (MessageKind::PlatformCall, "votes"),
    ];
}

/// How often something happened, and the total of what it took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Total {
    /// How often.
    pub count: u64,
    /// Nanoseconds or bytes in all.
    pub total: u64,
}

impl Total {
    fn add(&mut self, amount: u64) {
        self.count += 1;
        self.total += amount;
    }

    /// Adds another total to this one.
    pub fn merge(&mut self, other: &Total) {
        self.count += other.count;
        self.total += other.total;
    }
}

/// What one second took.
#[derive(Clone, Copy, Debug, Default)]
pub struct SecondUsage {
    /// Bytes sent and received.
    pub bytes: u64,
    /// Processor time, in nanoseconds.
    pub ns: u64,
    /// Processor time without what each request takes, in nanoseconds.
    pub control_ns: u64,
}

/// Processor time of this thread since a moment.
#[derive(Clone, Copy, Debug)]
pub struct ProcessorTimer {
    started_at_ns: u64,
}

impl ProcessorTimer {
    /// Starts a timer.
    pub fn start() -> ProcessorTimer {
        ProcessorTimer {
            started_at_ns: thread_time_ns(),
        }
    }

    /// Nanoseconds that this thread has run since the start.
    pub fn elapsed_ns(self) -> u64 {
        thread_time_ns() - self.started_at_ns
    }
}

/// Nanoseconds that this thread has run.
fn thread_time_ns() -> u64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64
}

/// What reading the thread's clock itself takes, in nanoseconds: the median of many readings.
pub fn clock_cost_ns() -> u64 {
    let readings: Vec<u64> = (0..CLOCK_READINGS).map(|_| thread_time_ns()).collect();
    let mut costs: Vec<u64> = readings.windows(2).map(|pair| pair[1] - pair[0]).collect();
    costs.sort_unstable();
    costs[costs.len() / 2]
}

/// Counts of one agent.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    /// Processor time by operation, in nanoseconds.
    pub work: [Total; Operation::NAMES.len()],
    /// Messages by kind, in bytes.
    pub traffic: [Total; MessageKind::NAMES.len()],
    /// Both by second.
    pub seconds: Vec<SecondUsage>,
    /// Nothing counts before.
    pub counted_from: Duration,
    /// What reading the clock costs, in nanoseconds.
    pub clock_cost_ns: u64,
}

impl Meter {
    fn second(&mut self, now: Duration) -> Option<&mut SecondUsage> {
        let index = now.checked_sub(self.counted_from)?.as_secs() as usize;
        if self.seconds.len() <= index {
            self.seconds.resize(index + 1, SecondUsage::default());
        }
        self.seconds.get_mut(index)
    }

    /// Counts the processor time of an operation.
    pub fn record_processor_time(
        &mut self,
        now: Duration,
        operation: Operation,
        timer: ProcessorTimer,
    ) {
        let ns = timer.elapsed_ns().saturating_sub(self.clock_cost_ns);
        let Some(second) = self.second(now) else {
            return;
        };
        second.ns += ns;
        if !operation.is_per_request() {
            second.control_ns += ns;
        }
        self.work[operation as usize].add(ns);
    }

    /// Counts a message.
    pub fn record_message(&mut self, now: Duration, kind: MessageKind, bytes: usize) {
        let Some(second) = self.second(now) else {
            return;
        };
        second.bytes += bytes as u64;
        self.traffic[kind as usize].add(bytes as u64);
    }
}
