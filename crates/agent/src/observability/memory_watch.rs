//! Watches the size of the process, so that the log tells of memory that runs short before the
//! process is killed for it.

use crate::agent::Agent;
use crate::runtime::process_memory;
use std::cell::Cell;
use std::time::Duration;

/// The process is close to its limit from this share of it on.
const WARNING_SHARE: f64 = 0.85;
/// The interval between two lines while memory stays short.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Logs when the process comes close to its memory limit, or when messages wait for memory.
#[derive(Default)]
pub struct MemoryWatch {
    last_log: Cell<Option<Duration>>,
    waits_seen: Cell<u64>,
}

impl MemoryWatch {
    /// Looks at the process once. Called about every second.
    pub fn check(&self, agent: &Agent) {
        let counters = &agent.counters;
        let waits = counters.requests_without_memory.get()
            + counters.responses_awaiting_memory.get()
            + counters.clients_closed_for_memory.get();
        let has_waited = waits > self.waits_seen.replace(waits);
        let resident_bytes = process_memory::resident_bytes().unwrap_or_default();
        let limit = agent.limits.memory_limit() as f64 * WARNING_SHARE;
        let is_close = resident_bytes as f64 >= limit;
        let now = agent.clock.now();
        let may_log = match self.last_log.get() {
            Some(last) => now >= last + LOG_INTERVAL,
            None => true,
        };
        if may_log && (has_waited || is_close) {
            self.last_log.set(Some(now));
            let resident_kib = resident_bytes / 1024;
            let clients = agent.limits.connections.client_count();
            log::warn!(resident_kib, clients;
                "memory is short: resident {resident_kib}, {}; clients {clients}",
                agent.limits.memory_summary());
        }
    }
}
