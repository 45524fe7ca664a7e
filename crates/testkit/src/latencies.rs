//! The latency histogram that the load generator and the simulation share.

use hdrhistogram::Histogram;

/// The largest latency that the histogram distinguishes, in microseconds.
const MAX_MICROS: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Creates an empty latency histogram in microseconds.
pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS)
        .unwrap_or_else(|_| unreachable!("the bounds are valid"))
}
