//! The histogram of response latencies, with the bounds that the account and merged reports share.

use hdrhistogram::{Counter, Histogram};
use std::time::Duration;

/// Latencies below count as this, in microseconds.
const LOWEST_MICROS: u64 = 16;
/// Latencies above count as this, in microseconds: two minutes.
const HIGHEST_MICROS: u64 = 120_000_000;
/// Two digits between these bounds take 10 KB with 32-bit counters.
const SIGNIFICANT_DIGITS: u8 = 2;

/// An empty histogram; `None` never occurs, as the library accepts these bounds.
pub(crate) fn new_histogram<C: Counter>() -> Option<Histogram<C>> {
    Histogram::new_with_bounds(LOWEST_MICROS, HIGHEST_MICROS, SIGNIFICANT_DIGITS).ok()
}

/// The value that stands for this latency, in microseconds within the bounds.
pub(crate) fn clamped_micros(latency: Duration) -> u64 {
    (latency.as_micros() as u64).clamp(LOWEST_MICROS, HIGHEST_MICROS)
}
