//! The traffic recorded for one class on one link, over all builds.

use crate::events::{CompletedAttempt, ConnectionTraffic, Reservation};
use crate::latency_histogram::{clamped_micros, new_histogram};
use crate::link_counts::LinkCounts;
use crate::time_series::{TimeBin, TimeSeries};
use hdrhistogram::Histogram;
use std::collections::BTreeSet;
use std::time::Duration;
use tulipwall::Outcome;

/// The recent series covers the last hour in ten-second bins.
const RECENT_BIN: Duration = Duration::from_secs(10);
const RECENT_BINS: u32 = 360;
/// The daily series covers the last day in one-minute bins.
const DAILY_BIN: Duration = Duration::from_secs(60);
const DAILY_BINS: u32 = 1440;

/// The build number under which removed builds are summed.
pub(crate) const REMOVED_BUILDS: u32 = 0;

/// The counters of one class and build on one link.
#[derive(Clone, Debug)]
pub struct LinkRow {
    /// Counts since the agent's start.
    pub counts: LinkCounts,
    /// Traffic over the last hour, in ten-second bins.
    pub recent: TimeSeries,
}

impl LinkRow {
    fn new() -> LinkRow {
        LinkRow {
            counts: LinkCounts::default(),
            recent: TimeSeries::new(RECENT_BIN, RECENT_BINS),
        }
    }

    fn merge(&mut self, other: &LinkRow) {
        self.counts.add(&other.counts);
        self.recent.merge(&other.recent);
    }
}

/// The traffic recorded for one class on one link.
#[derive(Debug)]
pub(super) struct ClassRecord {
    /// Sorted by build; only a few builds are listed at a time.
    rows: Vec<(u32, LinkRow)>,
    daily: TimeSeries,
    /// Latencies of successful responses; `None` until the first one.
    latencies: Option<Histogram<u32>>,
}

impl ClassRecord {
    pub(super) fn new() -> ClassRecord {
        ClassRecord {
            rows: Vec::new(),
            daily: TimeSeries::new(DAILY_BIN, DAILY_BINS),
            latencies: None,
        }
    }

    /// The row of this build, inserted empty if there is none.
    pub(super) fn row(&mut self, build: u32) -> &mut LinkRow {
        let index = self.rows.partition_point(|(other, _)| *other < build);
        let exists = self
            .rows
            .get(index)
            .is_some_and(|(other, _)| *other == build);
        if !exists {
            self.rows.insert(index, (build, LinkRow::new()));
        }
        &mut self.rows[index].1
    }

    /// All rows, in ascending order of the build.
    pub(super) fn rows(&self) -> impl Iterator<Item = (u32, &LinkRow)> {
        self.rows.iter().map(|(build, row)| (*build, row))
    }

    pub(super) fn daily(&self) -> &TimeSeries {
        &self.daily
    }

    pub(super) fn latencies(&self) -> Option<&Histogram<u32>> {
        self.latencies.as_ref()
    }

    /// Records a completed attempt. `added_latency_s` is the extra latency of its response compared
    /// with a local one, in seconds; `None` if the two cannot be compared.
    pub(super) fn record_end(
        &mut self,
        now: Duration,
        reservation: &Reservation,
        end: &CompletedAttempt,
        cost: f64,
        added_latency_s: Option<f64>,
    ) {
        if end.outcome == Outcome::Succeeded {
            self.record_latency(end.latency);
        }
        let row = self.row(reservation.build);
        row.counts.record_end(end, reservation.over_budget, cost);
        if let Some(seconds) = added_latency_s {
            row.counts.record_added_latency(seconds);
        }
        let add_to = |bin: &mut TimeBin| {
            bin.attempts += u32::from(end.fully_written);
            bin.over_budget += u32::from(reservation.over_budget.is_some());
            bin.cost += cost as f32;
            bin.bytes_sent += end.bytes_sent;
            bin.bytes_received += end.bytes_received;
        };
        add_to(row.recent.bin(now));
        add_to(self.daily.bin(now));
    }

    fn record_latency(&mut self, latency: Duration) {
        if self.latencies.is_none() {
            self.latencies = new_histogram();
        }
        if let Some(histogram) = &mut self.latencies {
            histogram.saturating_record(clamped_micros(latency));
        }
    }

    pub(super) fn record_connection(
        &mut self,
        now: Duration,
        connection: &ConnectionTraffic,
        cost: f64,
    ) {
        let row = self.row(connection.build);
        row.counts.record_connection(connection, cost);
        let add_to = |bin: &mut TimeBin| {
            bin.bytes_sent += connection.bytes_sent;
            bin.bytes_received += connection.bytes_received;
            bin.cost += cost as f32;
        };
        add_to(row.recent.bin(now));
        add_to(self.daily.bin(now));
    }

    /// Merges the rows of all builds other than `builds` into the row of [`REMOVED_BUILDS`].
    pub(super) fn retain_builds(&mut self, builds: &BTreeSet<u32>) {
        let is_removed =
            |(build, _): &mut (u32, LinkRow)| *build != REMOVED_BUILDS && !builds.contains(build);
        let removed: Vec<(u32, LinkRow)> = self.rows.extract_if(.., is_removed).collect();
        for (_, row) in removed {
            self.row(REMOVED_BUILDS).merge(&row);
        }
    }

    /// Adds the traffic recorded for another class on the same link.
    pub(super) fn merge(&mut self, other: ClassRecord) {
        for (build, row) in &other.rows {
            self.row(*build).merge(row);
        }
        self.daily.merge(&other.daily);
        let Some(latencies) = other.latencies else {
            return;
        };
        match &mut self.latencies {
            // `add` fails only on values out of bounds, and both histograms have the same bounds.
            Some(all) => drop(all.add(latencies)),
            none => *none = Some(latencies),
        }
    }
}
