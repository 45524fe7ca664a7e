//! The histogram in which all latencies of this package are kept.

use hdrhistogram::Histogram;

/// The largest latency that is told apart, in microseconds.
const MAX_MICROS: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// An empty histogram of microseconds.
pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS)
        .unwrap_or_else(|_| unreachable!("the bounds are valid"))
}
