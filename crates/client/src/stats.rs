//! The counters and gauges of a client.

use crate::call::CallResponse;
use crate::error::CallError;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::Duration;
use tulipwall_client_policy::{AttemptOutcome, GiveUpReason};

/// The number of latency histograms per class. Calls with at least this many attempts share the
/// last one.
const ATTEMPT_BUCKETS: usize = 4;
/// Shorter latencies, in microseconds, are recorded as this.
const MIN_LATENCY_US: u64 = 16;
/// Longer latencies, in microseconds, are recorded as this.
const MAX_LATENCY_US: u64 = 120_000_000;
/// The number of significant decimal digits of a recorded latency. With two, a histogram takes
/// 10 KB.
const LATENCY_DIGITS: u8 = 2;

/// Event counters since the client's start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counters {
    /// Calls that have ended, except those that the caller dropped.
    pub calls: u64,
    /// Calls that returned a value.
    pub succeeded: u64,
    /// Calls that ended as [`CallError::Rejected`].
    pub rejected: u64,
    /// Calls that ended as [`CallError::Failed`].
    pub failed: u64,
    /// Calls that ended as [`CallError::DeadlineExceeded`].
    pub deadline_exceeded: u64,
    /// Calls that ended as [`CallError::Overloaded`].
    pub overloaded: u64,
    /// Calls that ended as [`CallError::InvalidCall`].
    pub invalid: u64,
    /// Calls that the caller dropped before their end.
    pub cancelled: u64,
    /// Attempts that were started.
    pub attempts: u64,
    /// Attempts that returned no value, by the name of their outcome.
    pub attempt_failures: BTreeMap<&'static str, u64>,
    /// Calls that were not attempted again, by the name of the reason.
    pub given_up: BTreeMap<&'static str, u64>,
    /// Connections that were opened.
    pub connections_opened: u64,
    /// Attempts that reused an idle connection.
    pub connections_reused: u64,
    /// Connections that could not be opened, or whose call gave up while they were being opened.
    pub connect_failures: u64,
    /// Idle connections that were found closed or with unread bytes.
    pub idle_found_closed: u64,
}

impl Counters {
    /// Counts a call that has ended.
    pub(crate) fn record_call(&mut self, result: &Result<CallResponse, CallError>) {
        self.calls += 1;
        let counter = match result {
            Ok(_) => &mut self.succeeded,
            Err(CallError::Rejected { .. }) => &mut self.rejected,
            Err(CallError::Failed { .. }) => &mut self.failed,
            Err(CallError::DeadlineExceeded { .. }) => &mut self.deadline_exceeded,
            Err(CallError::Overloaded) => &mut self.overloaded,
            Err(CallError::InvalidCall(_)) => &mut self.invalid,
        };
        *counter += 1;
    }

    /// Counts an attempt that returned no value.
    pub(crate) fn record_attempt_failure(&mut self, outcome: AttemptOutcome) {
        let failures = self.attempt_failures.entry(outcome.as_str());
        *failures.or_default() += 1;
    }

    /// Counts a call that is not attempted again.
    pub(crate) fn record_give_up(&mut self, reason: GiveUpReason) {
        let calls = self.given_up.entry(reason.as_str());
        *calls.or_default() += 1;
    }
}

/// The latencies of the successful calls of one request class.
#[derive(Clone, Debug)]
pub struct ClassStats {
    /// The name of the class.
    pub name: String,
    /// Histograms of the time from the start to the end of a successful call, in microseconds, by
    /// the number of attempts. The first histogram holds the calls with one attempt.
    pub latencies_by_attempts: Vec<Histogram<u32>>,
}

impl ClassStats {
    pub(crate) fn new(name: &str) -> ClassStats {
        ClassStats {
            name: name.to_owned(),
            latencies_by_attempts: Vec::new(),
        }
    }

    /// Records a successful call.
    pub(crate) fn record_success(&mut self, attempts: u32, elapsed: Duration) {
        let bucket = (attempts as usize).clamp(1, ATTEMPT_BUCKETS) - 1;
        while self.latencies_by_attempts.len() <= bucket {
            let histogram =
                Histogram::new_with_bounds(MIN_LATENCY_US, MAX_LATENCY_US, LATENCY_DIGITS);
            // This does not happen: the bounds are constants that the library accepts.
            let Ok(histogram) = histogram else {
                return;
            };
            self.latencies_by_attempts.push(histogram);
        }
        let microseconds = elapsed.as_micros() as u64;
        self.latencies_by_attempts[bucket]
            .saturating_record(microseconds.clamp(MIN_LATENCY_US, MAX_LATENCY_US));
    }
}

/// The counters and gauges of a client at one moment.
#[derive(Clone, Debug)]
pub struct ClientStats {
    /// Event counters since the client's start.
    pub counters: Counters,
    /// The latencies of each class, in the order of the configuration.
    pub classes: Vec<ClassStats>,
    /// The current limit on calls in flight.
    pub concurrency_limit: f64,
    /// The number of calls in flight.
    pub in_flight: usize,
    /// The number of retry tokens that are left, for all agents together.
    pub retry_tokens: f64,
    /// The number of idle connections to each agent, indexed by agent.
    pub idle_connections: Vec<usize>,
}
