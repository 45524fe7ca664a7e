//! Accounting of cross-zone traffic by link, class and build: totals and time series.

mod class_record;

pub use class_record::LinkRow;

use crate::events::{AttemptStart, CompletedAttempt, ConnectionTraffic, Reservation};
use crate::remap::remap_classes;
use crate::time_series::TimeSeries;
use class_record::{ClassRecord, REMOVED_BUILDS};
use hdrhistogram::Histogram;
use std::collections::BTreeSet;
use std::time::Duration;
use tulipwall::{IndexOrigin, Outcome};

/// Gain of the moving average of local response latencies.
const LOCAL_LATENCY_GAIN: f64 = 0.05;
/// Records per zone in addition to one per class: one for connections, one for removed classes.
const EXTRA_RECORDS: usize = 2;

/// Identifies a row of the account: one class and build on one link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkKey {
    /// The zone index of the endpoints.
    pub to: u16,
    /// The class index. The index after the last class stands for connections (the traffic of
    /// opening and keeping them), the one after that for all removed classes.
    pub class: u16,
    /// The build; 0 for the sum of all removed builds.
    pub build: u32,
}

/// One class on one link, over all builds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkClass {
    /// The zone index of the endpoints.
    pub to: u16,
    /// The class index, or one of the two indices beyond the classes, as in [`LinkKey::class`].
    pub class: u16,
}

impl LinkClass {
    fn with_build(self, build: u32) -> LinkKey {
        LinkKey {
            to: self.to,
            class: self.class,
            build,
        }
    }
}

/// The cross-zone traffic account of one agent. Its size grows with zones x classes x listed
/// builds, never with tenants or keys.
#[derive(Debug)]
pub struct Account {
    local_zone: usize,
    class_count: usize,
    zone_count: usize,
    /// By zone, then by class. The records of each zone end with its [`EXTRA_RECORDS`].
    records: Vec<Option<Box<ClassRecord>>>,
    /// Builds that have rows in any record.
    builds: BTreeSet<u32>,
    /// Requests received, by class.
    requests: Vec<u64>,
    requests_of_removed_classes: u64,
    /// Moving average of local response latencies by class, in seconds; `None` before the first.
    local_latency_s: Vec<Option<f64>>,
}

impl Account {
    /// Creates an empty account for an agent in `local_zone`, with `zone_count` named zones.
    pub fn new(local_zone: usize, zone_count: usize, class_count: usize) -> Account {
        let record_count = (zone_count + 1) * (class_count + EXTRA_RECORDS);
        Account {
            local_zone,
            class_count,
            zone_count,
            records: (0..record_count).map(|_| None).collect(),
            builds: BTreeSet::new(),
            requests: vec![0; class_count],
            requests_of_removed_classes: 0,
            local_latency_s: vec![None; class_count],
        }
    }

    /// Switches to the classes of a new configuration. Counts of a class that no longer has an
    /// index, or whose index now belongs to another class, are added to the removed classes.
    pub fn reload(&mut self, origins: &[IndexOrigin]) {
        self.remap_records(origins);
        self.remap_requests(origins);
        self.local_latency_s = remap_classes(origins, &mut self.local_latency_s);
        self.class_count = origins.len();
    }

    fn remap_records(&mut self, origins: &[IndexOrigin]) {
        let width = self.records_per_zone();
        let mut former = std::mem::take(&mut self.records).into_iter();
        for _ in 0..=self.zone_count {
            let mut records: Vec<Option<Box<ClassRecord>>> = former.by_ref().take(width).collect();
            let mut removed = records.pop().flatten();
            let connections = records.pop().flatten();
            self.records.extend(remap_classes(origins, &mut records));
            for record in records.into_iter().flatten() {
                match &mut removed {
                    Some(sum) => sum.merge(*record),
                    none => *none = Some(record),
                }
            }
            self.records.push(connections);
            self.records.push(removed);
        }
    }

    fn remap_requests(&mut self, origins: &[IndexOrigin]) {
        let mut former: Vec<Option<u64>> = self.requests.iter().copied().map(Some).collect();
        self.requests = remap_classes(origins, &mut former)
            .into_iter()
            .map(Option::unwrap_or_default)
            .collect();
        self.requests_of_removed_classes += former.into_iter().flatten().sum::<u64>();
    }

    /// Counts a received request of this class.
    pub fn record_request(&mut self, class: usize) {
        if let Some(count) = self.requests.get_mut(class) {
            *count += 1;
        }
    }

    /// Counts an attempt that the balancer decided to send.
    pub fn record_attempt(&mut self, attempt: &AttemptStart) {
        self.builds.insert(attempt.build);
        self.record_mut(attempt.to, attempt.class)
            .row(attempt.build)
            .counts
            .record_start(attempt.previous_attempts, attempt.hedged);
    }

    /// Counts a completed attempt. `cost` is its cost at the price of its link.
    pub fn record_attempt_end(
        &mut self,
        now: Duration,
        reservation: &Reservation,
        end: &CompletedAttempt,
        cost: f64,
    ) {
        let mut added_latency_s = None;
        if end.outcome == Outcome::Succeeded {
            let latency_s = end.latency.as_secs_f64();
            if reservation.to == self.local_zone {
                self.update_local_latency(reservation.class, latency_s);
            } else {
                added_latency_s = self
                    .typical_local_latency(reservation.class)
                    .map(|local_s| latency_s - local_s);
            }
        }
        self.builds.insert(reservation.build);
        self.record_mut(reservation.to, reservation.class)
            .record_end(now, reservation, end, cost, added_latency_s);
    }

    fn update_local_latency(&mut self, class: usize, latency_s: f64) {
        let Some(average) = self.local_latency_s.get_mut(class) else {
            return;
        };
        *average = Some(match *average {
            Some(former) => former + (latency_s - former) * LOCAL_LATENCY_GAIN,
            None => latency_s,
        });
    }

    /// Counts a connection that was opened, or that was closed while no attempt used it. `cost` is
    /// the cost of its traffic at the price of the link.
    pub fn record_connection(&mut self, now: Duration, connection: &ConnectionTraffic, cost: f64) {
        self.builds.insert(connection.build);
        self.record_mut(connection.to, self.class_count)
            .record_connection(now, connection, cost);
    }

    /// Keeps the rows of these builds and sums the rows of all other builds under build 0.
    pub fn retain_builds(&mut self, builds: &BTreeSet<u32>) {
        let is_kept = |build: &u32| *build == REMOVED_BUILDS || builds.contains(build);
        if self.builds.iter().all(is_kept) {
            // Most endpoint lists change no build: skip the walk over all records.
            return;
        }
        self.builds.retain(is_kept);
        for record in self.records.iter_mut().flatten() {
            record.retain_builds(builds);
        }
    }

    /// The class index that stands for connections, see [`LinkKey::class`].
    pub fn connections_class(&self) -> u16 {
        self.class_count as u16
    }

    fn records_per_zone(&self) -> usize {
        self.class_count + EXTRA_RECORDS
    }

    fn record_index(&self, to: usize, class: usize) -> usize {
        let zone = to.min(self.zone_count);
        let class = class.min(self.class_count + 1);
        zone * self.records_per_zone() + class
    }

    fn record_mut(&mut self, to: usize, class: usize) -> &mut ClassRecord {
        let index = self.record_index(to, class);
        self.records[index].get_or_insert_with(|| Box::new(ClassRecord::new()))
    }

    /// All rows, ordered by zone, class and build.
    pub fn rows(&self) -> impl Iterator<Item = (LinkKey, &LinkRow)> {
        self.records_from(0).flat_map(|(link, record)| {
            record
                .rows()
                .map(move |(build, row)| (link.with_build(build), row))
        })
    }

    /// The existing records at or after this index.
    fn records_from(&self, index: usize) -> impl Iterator<Item = (LinkClass, &ClassRecord)> {
        let width = self.records_per_zone();
        let records = self.records.iter().enumerate().skip(index);
        records.filter_map(move |(index, record)| {
            let link = LinkClass {
                to: (index / width) as u16,
                class: (index % width) as u16,
            };
            Some((link, record.as_deref()?))
        })
    }

    /// The first row at or after `from`, or `None` at the end. A reader can use it to iterate over
    /// all rows while the account keeps changing.
    pub fn next_row(&self, from: LinkKey) -> Option<(LinkKey, &LinkRow)> {
        if usize::from(from.to) > self.zone_count {
            return None;
        }
        let index = self.record_index(usize::from(from.to), usize::from(from.class));
        self.records_from(index).find_map(|(link, record)| {
            let is_first = (link.to, link.class) == (from.to, from.class);
            let min_build = if is_first { from.build } else { 0 };
            let (build, row) = record.rows().find(|(build, _)| *build >= min_build)?;
            Some((link.with_build(build), row))
        })
    }

    /// The first series of the last day at or after this link and class, or `None` at the end.
    pub fn next_daily_series(&self, from: LinkClass) -> Option<(LinkClass, &TimeSeries)> {
        if usize::from(from.to) > self.zone_count {
            return None;
        }
        let index = usize::from(from.to) * self.records_per_zone() + usize::from(from.class);
        let (link, record) = self.records_from(index).next()?;
        Some((link, record.daily()))
    }

    /// Latencies of successful responses of a class over a link, in microseconds; `None` before the
    /// first one.
    pub fn latencies(&self, link: LinkClass) -> Option<&Histogram<u32>> {
        let index = self.record_index(usize::from(link.to), usize::from(link.class));
        self.records[index].as_ref()?.latencies()
    }

    /// The number of requests received, by class index.
    pub fn requests_by_class(&self) -> &[u64] {
        &self.requests
    }

    /// The number of requests received of classes that were removed since.
    pub fn requests_of_removed_classes(&self) -> u64 {
        self.requests_of_removed_classes
    }

    /// The moving average of local response latencies of this class, in seconds; `None` before the
    /// first local response.
    pub fn typical_local_latency(&self, class: usize) -> Option<f64> {
        self.local_latency_s.get(class).copied().flatten()
    }
}
