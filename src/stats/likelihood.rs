//! Tests of statistical significance. All results are natural logarithms: a result of `n` means
//! that a difference of this size occurs by chance with a probability of about `exp(-n)`.

/// A proportion, as two counts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Proportion {
    /// Number of cases that have the property.
    pub count: f64,
    /// Number of all cases.
    pub total: f64,
}

/// Returns the logarithm of the likelihood ratio of the hypothesis "two different proportions" to
/// the hypothesis "one common proportion".
///
/// With `l(k, n, p) = k ln p + (n - k) ln(1 - p)` it is
/// `l(k1, n1, k1/n1) + l(k2, n2, k2/n2) - l(k1 + k2, n1 + n2, (k1 + k2)/(n1 + n2))`.
/// The result is 0 unless the first proportion is the higher one. It is also low if the second
/// sample is small.
pub(crate) fn log_likelihood_ratio(first: Proportion, second: Proportion) -> f64 {
    let is_higher = first.count * second.total > second.count * first.total;
    if first.total <= 0.0 || second.total <= 0.0 || !is_higher {
        return 0.0;
    }
    let count = first.count + second.count;
    let total = first.total + second.total;
    let common = count / total;
    let separate = log_likelihood(first.count, first.total, first.count / first.total)
        + log_likelihood(second.count, second.total, second.count / second.total);
    separate - log_likelihood(count, total, common)
}

fn log_likelihood(count: f64, total: f64, share: f64) -> f64 {
    weighted_ln(count, share) + weighted_ln(total - count, 1.0 - share)
}

fn weighted_ln(count: f64, share: f64) -> f64 {
    if count > 0.0 {
        count * share.max(1e-9).ln()
    } else {
        0.0
    }
}

/// Returns the Chernoff bound for the mean of `samples` exponentially distributed values, as a
/// logarithm: for a mean of `ratio` times the expected one it is `samples * (ratio - 1 - ln
/// ratio)`.
pub(crate) fn chernoff_bound_of_mean(samples: f64, ratio: f64) -> f64 {
    samples * (ratio - 1.0 - ratio.ln())
}

/// Returns the Chernoff bound for a proportion of `samples` where one half is expected, as a
/// logarithm: `samples * (p ln 2p + (1 - p) ln(2 - 2p))`.
pub(crate) fn chernoff_bound_of_fair_coin(samples: f64, share: f64) -> f64 {
    samples * (share * (2.0 * share).ln() + (1.0 - share) * (2.0 - 2.0 * share).ln())
}

/// Returns the natural logarithm of `n` factorial.
pub(crate) fn ln_factorial(n: u32) -> f64 {
    (1..=n).map(|i| f64::from(i).ln()).sum()
}
