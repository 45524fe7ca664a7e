//! Measures the resources that one agent consumes: processor time by operation, messages and bytes
//! by kind, and both for each second of simulated time.

use rustix::time::{clock_gettime, ClockId};
use serde::Serialize;
use std::time::Duration;

/// Number of clock readings from which the cost of a reading is determined.
const CLOCK_READINGS: usize = 2001;

/// A kind of work that processor time is spent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// `Balancer::on_request`, `route` and `on_attempt_end`, and the lookup of the target.
    Decisions,
    /// `Balancer::poll`, which an agent calls ten times a second.
    Poll,
    /// Parsing an endpoint list: the HTTP response and its JSON document.
    Parsing,
    /// Updating the agent's endpoint list.
    ListUpdate,
    /// `Balancer::update_endpoints`, after a change of the endpoint list.
    BalancerUpdate,
    /// `ServiceConfig::tenant_index`, which looks up a tenant by name.
    TenantLookup,
    /// Parsing a line of the platform and passing it to the balancer.
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

    /// Whether the operation is part of the work for each request.
    fn is_per_request(self) -> bool {
        matches!(self, Operation::Decisions | Operation::TenantLookup)
    }
}

/// A kind of message on an agent's control connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// A response of discovery with the whole endpoint list.
    WholeList,
    /// A response of discovery with changes of the endpoint list.
    Changes,
    /// A response of discovery to a watch that ended without changes.
    EmptyWatch,
    /// A response of discovery that refuses a call.
    Refusal,
    /// An agent's call to discovery.
    DiscoveryCall,
    /// The platform's status of a rollout.
    RolloutStatus,
    /// The platform's periodic ping, which shows that it is alive.
    Ping,
    /// The platform's reply to a call.
    PlatformReply,
    /// An agent's call to the platform.
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

/// A number of occurrences, and the total amount that they consumed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Total {
    /// Number of occurrences.
    pub count: u64,
    /// Total amount, in nanoseconds or bytes.
    pub total: u64,
}

impl Total {
    /// Counts one more occurrence.
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

/// What an agent consumed in one second of simulated time.
#[derive(Clone, Copy, Debug, Default)]
pub struct SecondUsage {
    /// Bytes sent and received.
    pub bytes: u64,
    /// Processor time, in nanoseconds.
    pub ns: u64,
    /// Processor time without the work for each request, in nanoseconds.
    pub control_ns: u64,
}

/// Measures the processor time of the current thread since its start.
#[derive(Clone, Copy, Debug)]
pub struct ProcessorTimer {
    started_at_ns: u64,
}

impl ProcessorTimer {
    /// Starts the timer now.
    pub fn start() -> ProcessorTimer {
        ProcessorTimer {
            started_at_ns: thread_time_ns(),
        }
    }

    /// Returns the processor time of the current thread since the start, in nanoseconds.
    pub fn elapsed_ns(self) -> u64 {
        thread_time_ns() - self.started_at_ns
    }
}

/// Returns the processor time of the current thread, in nanoseconds.
fn thread_time_ns() -> u64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64
}

/// Returns the cost of reading the thread's clock, in nanoseconds: the median of many readings.
pub fn clock_cost_ns() -> u64 {
    let readings: Vec<u64> = (0..CLOCK_READINGS).map(|_| thread_time_ns()).collect();
    let mut costs: Vec<u64> = readings.windows(2).map(|pair| pair[1] - pair[0]).collect();
    costs.sort_unstable();
    costs[costs.len() / 2]
}

/// The processor time and traffic of one agent.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    /// Processor time by operation, in nanoseconds.
    pub work: [Total; Operation::NAMES.len()],
    /// Messages by kind, in bytes.
    pub traffic: [Total; MessageKind::NAMES.len()],
    /// Processor time and bytes by second since counting began.
    pub seconds: Vec<SecondUsage>,
    /// Simulated time at which counting begins; earlier records are discarded.
    pub counted_from: Duration,
    /// Cost of a reading of the clock in nanoseconds, which is subtracted from each measured time.
    pub clock_cost_ns: u64,
}

impl Meter {
    /// Returns the record of the current second; `None` before counting begins.
    fn second(&mut self, now: Duration) -> Option<&mut SecondUsage> {
        let index = now.checked_sub(self.counted_from)?.as_secs() as usize;
        if self.seconds.len() <= index {
            self.seconds.resize(index + 1, SecondUsage::default());
        }
        self.seconds.get_mut(index)
    }

    /// Records the processor time of an operation, from the start of the timer until now.
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

    /// Records a message of a size in bytes.
    pub fn record_message(&mut self, now: Duration, kind: MessageKind, bytes: usize) {
        let Some(second) = self.second(now) else {
            return;
        };
        second.bytes += bytes as u64;
        self.traffic[kind as usize].add(bytes as u64);
    }
}
