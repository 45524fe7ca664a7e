//! What a caller can read of its client: counters, and times by class and try.

use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::Duration;

/// Tries that are told apart; later ones count as the last.
pub const TRIES: usize = 4;

/// Counts since the client's start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counters {
    pub calls: u64,
    pub succeeded: u64,
    pub rejected: u64,
    pub failed: u64,
    pub deadline_exceeded: u64,
    pub overloaded: u64,
    pub invalid: u64,
    /// Dropped by the caller before their end.
    pub cancelled: u64,
    /// Tries, and how those ended that were not satisfied.
    pub attempts: u64,
    pub attempt_failures: BTreeMap<&'static str, u64>,
    /// Why calls were not tried again.
    pub given_up: BTreeMap<&'static str, u64>,
    pub connections_opened: u64,
    pub connections_reused: u64,
    pub connect_failures: u64,
    /// Idle connections that were found closed or with bytes on them.
    pub idle_found_closed: u64,
}

/// One class: microseconds of satisfied calls, from the call's beginning, by the number of tries
/// they took.
#[derive(Clone, Debug)]
pub struct ClassStats {
    pub name: String,
    pub latencies_by_attempts: Vec<Histogram<u32>>,
}

/// All of it, as it stands.
#[derive(Clone, Debug)]
pub struct ClientStats {
    pub counters: Counters,
    pub classes: Vec<ClassStats>,
    /// The bound on calls in flight, and how many are.
    pub concurrency_limit: f64,
    pub in_flight: usize,
    /// Tokens left for retries.
    pub retry_tokens: f64,
    /// Connections that wait for a request, by agent.
    pub idle_connections: Vec<usize>,
}

impl ClassStats {
    pub(crate) fn new(name: &str) -> ClassStats {
        ClassStats {
            name: name.to_owned(),
            latencies_by_attempts: Vec::new(),
        }
    }

    pub(crate) fn succeeded(&mut self, tries: usize, took: Duration) {
        let n = tries.clamp(1, TRIES) - 1;
        while self.latencies_by_attempts.len() <= n {
            // Two digits from 16 us to two minutes are 10 KB, and bounds that the library always
            // takes.
            let Ok(new) = Histogram::new_with_bounds(16, 120_000_000, 2) else {
                return;
            };
            self.latencies_by_attempts.push(new);
        }
        self.latencies_by_attempts[n]
            .saturating_record((took.as_micros() as u64).clamp(16, 120_000_000));
    }
}
