//! Incrementally updated statistics, compared with plain loops over all values.

use super::{DecayingCounts, LatencyHistogram, MaxTree};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Evaluations in 36 hours, one every 100 ms.
const EVALUATIONS_IN_36_HOURS: usize = 36 * 36_000;
/// Relative error allowed between sums that round in a different order.
const ROUNDING_TOLERANCE: f64 = 1e-9;

fn assert_close(value: f64, expected: f64, what: &str) {
    let error = (value - expected).abs();
    assert!(
        error <= ROUNDING_TOLERANCE * expected.abs() + f64::MIN_POSITIVE,
        "{what}: found {value}, expected {expected}"
    );
}

#[test]
fn a_max_tree_holds_the_largest_value_after_each_change() {
    for (seed, size) in [1, 2, 3, 11, 64, 100, 1_600].into_iter().enumerate() {
        let mut random = Pcg64Mcg::seed_from_u64(seed as u64);
        let mut values: Vec<f64> = (0..size).map(|_| random.gen_range(0.0..10.0)).collect();
        let mut tree = MaxTree::new(values.iter().copied());
        for _ in 0..500 {
            let index = random.gen_range(0..size);
            values[index] = random.gen_range(0.0..10.0);
            tree.set(index, values[index]);
            assert_eq!(tree.max(), values.iter().copied().fold(0.0, f64::max));
        }
        let largest = (0..size).max_by(|a, b| values[*a].total_cmp(&values[*b]));
        values[largest.unwrap()] = 0.0;
        tree.set(largest.unwrap(), 0.0);
        assert_eq!(tree.max(), values.iter().copied().fold(0.0, f64::max));
    }
}

#[test]
fn a_max_tree_ignores_invalid_values_and_indices() {
    let mut tree = MaxTree::new([1.0, f64::NAN, -3.0].into_iter());
    tree.set(1_000, 9.0);
    tree.set(1, f64::NAN);
    assert_eq!(tree.max(), 1.0);
    let mut single = MaxTree::new([1.0].into_iter());
    single.set(0, f64::NAN);
    assert_eq!(single.max(), 0.0);
    single.set(0, -3.0);
    assert_eq!(single.max(), 0.0);
    let mut empty = MaxTree::new([].into_iter());
    empty.set(5, 2.0);
    assert_eq!(empty.max(), 0.0);
    assert_eq!(MaxTree::default().max(), 0.0);
}

#[test]
fn decaying_counts_match_counts_that_decay_one_by_one() {
    for (seed, factor) in [0.98, 0.5, 1e-3, 0.9993, 1.0].into_iter().enumerate() {
        let mut random = Pcg64Mcg::seed_from_u64(seed as u64);
        let mut counts = DecayingCounts::new(50);
        let mut reference = [0.0; 50];
        for _ in 0..40_000 {
            for _ in 0..random.gen_range(0..4) {
                let index = random.gen_range(0..50);
                counts.increment(index);
                reference[index] += 1.0;
            }
            counts.decay(factor);
            reference.iter_mut().for_each(|count| *count *= factor);
            let index = random.gen_range(0..50);
            assert_close(counts.get(index), reference[index], "count");
            assert_close(counts.sum(), reference.iter().sum(), "sum");
        }
    }
}

#[test]
fn decaying_counts_forget_what_is_36_hours_old() {
    let mut counts = DecayingCounts::new(3);
    counts.increment(0);
    for _ in 0..EVALUATIONS_IN_36_HOURS {
        counts.decay(0.98);
    }
    assert!(counts.get(0) < 1e-100 && counts.sum() < 1e-100);
    counts.increment(2);
    assert_eq!(counts.get(2), 1.0);
    assert_eq!(counts.sum(), 1.0);
    counts.increment(17);
    assert_eq!(counts.sum(), 1.0);
}

#[test]
fn decaying_counts_recompute_the_sum_when_indices_move() {
    let mut counts = DecayingCounts::new(3);
    counts.increment(0);
    counts.increment(1);
    counts.decay(0.5);
    counts.increment(1);
    counts.change_all(|values| *values = vec![values[1], 0.0, 0.0, 0.0]);
    assert_eq!(
        [counts.get(0), counts.get(1), counts.get(3)],
        [1.5, 0.0, 0.0]
    );
    assert_eq!(counts.sum(), 1.5);
}

/// Reference implementation of the histogram: plain loops over all buckets.
struct ReferenceHistogram([f64; 64]);

impl ReferenceHistogram {
    fn record(&mut self, seconds: f64) {
        let bucket = (seconds * 1000.0).max(1.0).log2() * 4.0;
        self.0[(bucket as usize).min(63)] += 1.0;
    }

    fn decay(&mut self, factor: f64) {
        self.0.iter_mut().for_each(|count| *count *= factor);
    }

    fn sum_millis(&self) -> f64 {
        let buckets = self.0.iter().enumerate();
        buckets
            .map(|(bucket, count)| count * ((bucket as f64 + 0.5) / 4.0).exp2())
            .sum()
    }
}

#[test]
fn a_histogram_equals_loops_over_all_buckets_exactly() {
    let mut random = Pcg64Mcg::seed_from_u64(5);
    let mut histogram = LatencyHistogram::default();
    let mut reference = ReferenceHistogram([0.0; 64]);
    for step in 0..3_000 {
        match random.gen_range(0..8) {
            0..=3 => {
                let seconds = 10f64.powf(random.gen_range(-4.0..3.0));
                histogram.record(seconds);
                reference.record(seconds);
            }
            4..=6 => {
                histogram.decay(0.96);
                reference.decay(0.96);
            }
            _ => {
                let total: f64 = reference.0.iter().sum();
                histogram.decay_towards(5.0, 0.9993);
                if total > 5.0 {
                    reference.decay((5.0 / total).max(0.9993));
                }
            }
        }
        if step % 500 == 0 {
            histogram.decay(0.0);
            reference.decay(0.0);
        }
        let bucket = histogram.bucket_above_median();
        assert_eq!(histogram.total(), reference.0.iter().sum::<f64>());
        assert_eq!(histogram.is_empty(), histogram.total() == 0.0);
        assert_eq!(histogram.sum_millis(), reference.sum_millis());
        assert_eq!(
            histogram.total_from(bucket),
            reference.0.iter().skip(bucket).sum::<f64>()
        );
    }
}

#[test]
fn a_histogram_is_empty_after_36_hours_without_answers() {
    let mut histogram = LatencyHistogram::default();
    histogram.record(0.02);
    for _ in 0..EVALUATIONS_IN_36_HOURS {
        histogram.decay(0.96);
    }
    assert!(histogram.is_empty());
    histogram.record(0.02);
    assert_eq!(histogram.total(), 1.0);
}
