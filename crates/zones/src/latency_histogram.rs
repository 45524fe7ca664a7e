//! The histogram of response latencies, with the bounds shared by the account and merged reports.

use hdrhistogram::{Counter, Histogram};
use std::time::Duration;

/// Lower latencies are recorded as this value, in microseconds.
const LOWEST_MICROS: u64 = 16;
/// Higher latencies are recorded as this value, in microseconds: two minutes.
const HIGHEST_MICROS: u64 = 120_000_000;
/// Two digits between these bounds use 10 KB per histogram with 32-bit counters.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Creates an empty histogram. It is never `None`, because the library accepts these bounds.
pub(crate) fn new_histogram<C: Counter>() -> Option<Histogram<C>> {
    Histogram::new_with_bounds(LOWEST_MICROS, HIGHEST_MICROS, SIGNIFICANT_DIGITS).ok()
}

/// The latency in microseconds, clamped to the bounds of the histogram.
pub(crate) fn clamped_micros(latency: Duration) -> u64 {
    (latency.as_micros() as u64).clamp(LOWEST_MICROS, HIGHEST_MICROS)
}
