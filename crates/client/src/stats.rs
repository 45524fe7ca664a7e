//! The counters and gauges of a client.

use crate::call::CallResponse;
use crate::error::CallError;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::Duration;
use tulipwall_client_policy::{AttemptOutcome, GiveUpReason};

/// Numbers of attempts that are told apart; calls that took more count as the last.
const ATTEMPT_BUCKETS: usize = 4;
/// The shortest latency that is told apart, in microseconds.
const MIN_LATENCY_US: u64 = 16;
/// The longest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;
/// Decimal digits that a recorded latency keeps: with two, a histogram takes 10 KB.
const LATENCY_DIGITS: u8 = 2;

/// Counts since the client's start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counters {
    /// Calls that have ended, those dropped by the caller excepted.
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
    /// Attempts that were begun.
    pub attempts: u64,
    /// Attempts that ended without a value, by how they ended.
    pub attempt_failures: BTreeMap<&'static str, u64>,
    /// Calls that were not attempted again, by the reason.
    pub given_up: BTreeMap<&'static str, u64>,
    /// Connections that were opened.
    pub connections_opened: u64,
    /// Requests that went out on a connection that was idle.
    pub connections_reused: u64,
    /// Connections that could not be opened, or that a call gave up before they were.
    pub connect_failures: u64,
    /// Idle connections that were found closed or with bytes on them.
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

    /// Counts an attempt that ended without a value.
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

/// The latencies of one request class.
#[derive(Clone, Debug)]
pub struct ClassStats {
    /// The name of the class.
    pub name: String,
    /// Microseconds from the beginning of a successful call to its end, by the number of attempts
    /// it took: the first histogram is of those with one attempt.
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
            // The bounds are constants that the library accepts.
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
    /// Counts since the client's start.
    pub counters: Counters,
    /// Latencies by class, in the order of the configuration.
    pub classes: Vec<ClassStats>,
    /// The limit on calls in flight.
    pub concurrency_limit: f64,
    /// Calls in flight.
    pub in_flight: usize,
    /// Tokens left for retries.
    pub retry_tokens: f64,
    /// Idle connections, by agent.
    pub idle_connections: Vec<usize>,
}
