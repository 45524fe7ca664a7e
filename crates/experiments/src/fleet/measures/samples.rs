//! Statistics of small samples.

use std::time::Duration;

/// Converts a duration to milliseconds.
pub(super) fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

/// Returns the mean; zero if there are no values.
pub(super) fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let values: Vec<f64> = values.collect();
    values.iter().sum::<f64>() / f64::max(values.len() as f64, 1.0)
}

/// Returns the largest value, and at least zero.
pub(super) fn largest(values: impl Iterator<Item = f64>) -> f64 {
    values.fold(0.0, f64::max)
}

/// Returns the median; zero if there are no values.
pub(super) fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut sorted: Vec<f64> = values.collect();
    sorted.sort_by(f64::total_cmp);
    match sorted.len() {
        0 => 0.0,
        n => (sorted[(n - 1) / 2] + sorted[n / 2]) / 2.0,
    }
}

/// Returns a statistic of values. Without any values it returns NaN, which tables show as `-`.
pub(super) fn if_any(values: &[f64], statistic: impl Fn(&[f64]) -> f64) -> f64 {
    if values.is_empty() {
        f64::NAN
    } else {
        statistic(values)
    }
}
