//! Merges the lines of several agents for the same link.

use super::schema::{DelayLine, LatencyBucket, LinkLine, SeriesBin, SeriesLine};
use std::collections::BTreeMap;

/// The minimum bin width for matching bins, in seconds; prevents a division by zero.
const MIN_BIN_WIDTH_S: f64 = 1e-3;

impl LinkLine {
    /// Whether both lines are for the same class on the same link, regardless of the build.
    pub(super) fn is_same_class(&self, other: &LinkLine) -> bool {
        self.from == other.from && self.to == other.to && self.class == other.class
    }

    pub(super) fn is_same_row(&self, other: &LinkLine) -> bool {
        self.is_same_class(other) && self.build == other.build
    }

    pub(super) fn merge(&mut self, other: &LinkLine) {
        self.merge_added_latency(other);
        self.decided += other.decided;
        self.attempts += other.attempts;
        add_counts(&mut self.outcomes, &other.outcomes);
        self.never_ran += other.never_ran;
        self.malformed += other.malformed;
        self.truncated += other.truncated;
        self.hedges += other.hedges;
        self.retries += other.retries;
        add_counts(&mut self.over_budget, &other.over_budget);
        self.connections_opened += other.connections_opened;
        self.bytes_sent += other.bytes_sent;
        self.bytes_received += other.bytes_received;
        self.cost += other.cost;
    }

    /// Sets the added latency to the average over the responses of both lines.
    fn merge_added_latency(&mut self, other: &LinkLine) {
        let responses = self.compared_responses + other.compared_responses;
        if responses > 0 {
            let sum_ms = self.added_latency_ms * self.compared_responses as f64
                + other.added_latency_ms * other.compared_responses as f64;
            self.added_latency_ms = sum_ms / responses as f64;
        }
        self.compared_responses = responses;
    }
}

impl DelayLine {
    pub(super) fn is_same_class(&self, other: &DelayLine) -> bool {
        self.from == other.from && self.to == other.to && self.class == other.class
    }

    pub(super) fn merge(&mut self, other: &DelayLine) {
        let mut counts: BTreeMap<u64, u64> = BTreeMap::new();
        for bucket in self.latencies.iter().chain(&other.latencies) {
            *counts.entry(bucket.micros).or_default() += bucket.count;
        }
        self.latencies = counts.into_iter().map(LatencyBucket::from).collect();
    }
}

impl SeriesLine {
    pub(super) fn is_same_series(&self, other: &SeriesLine) -> bool {
        self.from == other.from
            && self.to == other.to
            && self.class == other.class
            && self.build == other.build
            && self.width_s as u64 == other.width_s as u64
    }

    /// Adds the bins of another agent. Because the clocks of agents differ, bins are matched by
    /// Unix time rounded to whole bin widths.
    pub(super) fn merge(&mut self, other: &SeriesLine) {
        let width_s = self.width_s.max(MIN_BIN_WIDTH_S);
        let mut bins: BTreeMap<u64, SeriesBin> = BTreeMap::new();
        for bin in self.bins.iter().chain(&other.bins) {
            let index = (bin.start_s / width_s).round() as u64;
            let empty = SeriesBin {
                start_s: bin.start_s,
                ..SeriesBin::default()
            };
            bins.entry(index).or_insert(empty).add(bin);
        }
        self.bins = bins.into_values().collect();
    }
}

impl SeriesBin {
    fn add(&mut self, other: &SeriesBin) {
        self.attempts += other.attempts;
        self.over_budget += other.over_budget;
        self.bytes_sent += other.bytes_sent;
        self.bytes_received += other.bytes_received;
        self.cost += other.cost;
    }
}

fn add_counts(sums: &mut BTreeMap<String, u64>, counts: &BTreeMap<String, u64>) {
    for (label, count) in counts {
        *sums.entry(label.clone()).or_default() += count;
    }
}
