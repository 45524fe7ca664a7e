//! Writes the report of an account line by line, while the account keeps changing.

use super::labels::{labelled_outcomes, nonzero_counts, DisplayNames, REMOVED_CLASSES};
use super::schema::{
    BudgetLine, DelayLine, LatencyBucket, LinkLine, ReportHeader, ReportLine, SeriesBin,
    SeriesLine, VERSION,
};
use crate::account::{LinkClass, LinkKey, LinkRow};
use crate::budget::BudgetMeter;
use crate::reason::OverBudgetReason;
use crate::time_series::TimeSeries;
use crate::zones::Zones;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::Duration;

const MILLIS_PER_SECOND: f64 = 1000.0;

/// The position of a reader in a report. The header comes first, then the rows, then the series of
/// the last day, then the end.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ReportCursor {
    /// Nothing was read yet; the header is next.
    #[default]
    Head,
    /// The first row at or after this key is next.
    Row(LinkKey),
    /// The first series of the last day at or after this link and class is next.
    DailySeries(LinkClass),
    /// The last line is next.
    End,
    /// The whole report was read.
    Finished,
}

/// Maps the agent's clock, whose zero is arbitrary, to Unix time.
#[derive(Clone, Copy, Debug)]
pub struct ClockMapping {
    /// The current time on the agent's clock.
    pub now: Duration,
    /// The current Unix time.
    pub unix_now: Duration,
    /// The start of the account, on the agent's clock.
    pub started: Duration,
}

impl ClockMapping {
    /// Converts a time on the agent's clock to Unix time, in seconds.
    fn unix_seconds(&self, at: Duration) -> f64 {
        (self.unix_now.as_secs_f64() + at.as_secs_f64() - self.now.as_secs_f64()).max(0.0)
    }
}

impl Zones {
    /// Returns the next lines of the report and the cursor for the next call. Each call covers one
    /// row or series, so that it is short regardless of the size of the account. Rows that are
    /// added between calls may be missing.
    pub fn lines(
        &self,
        names: &DisplayNames,
        clock: ClockMapping,
        cursor: ReportCursor,
    ) -> (Vec<ReportLine>, ReportCursor) {
        let writer = ReportWriter {
            zones: self,
            names,
            clock,
        };
        match cursor {
            ReportCursor::Head => {
                let header = ReportLine::Head(writer.header());
                (vec![header], ReportCursor::Row(LinkKey::default()))
            }
            ReportCursor::Row(from) => writer.row_lines(from),
            ReportCursor::DailySeries(from) => writer.daily_lines(from),
            ReportCursor::End => (vec![ReportLine::End], ReportCursor::Finished),
            ReportCursor::Finished => (Vec::new(), ReportCursor::Finished),
        }
    }
}

/// Converts parts of an account to report lines.
struct ReportWriter<'a> {
    zones: &'a Zones,
    names: &'a DisplayNames,
    clock: ClockMapping,
}

impl ReportWriter<'_> {
    fn header(&self) -> ReportHeader {
        let uptime = self.clock.now.saturating_sub(self.clock.started);
        let meters = self.zones.budget_meters().meters();
        ReportHeader {
            version: VERSION,
            agent: self.names.agent.clone(),
            zone: self.local_zone_name(),
            at_s: self.clock.unix_now.as_secs_f64(),
            uptime_s: uptime.as_secs_f64(),
            requests: self.requests(),
            budgets: meters.iter().map(|m| self.budget_line(m)).collect(),
            weights: self.weights(),
            direction_changes: self.direction_changes(),
        }
    }

    /// Requests received, by class name. A class whose idempotency changed temporarily has two
    /// indices with the same name, so counts of equal names are added.
    fn requests(&self) -> BTreeMap<String, u64> {
        let account = self.zones.account();
        let mut requests = BTreeMap::new();
        for (class, count) in account.requests_by_class().iter().enumerate() {
            let name = self.names.class(class).to_owned();
            *requests.entry(name).or_default() += count;
        }
        let removed = account.requests_of_removed_classes();
        if removed > 0 {
            requests.insert(REMOVED_CLASSES.to_owned(), removed);
        }
        requests
    }

    fn weights(&self) -> BTreeMap<String, f64> {
        let router = self.zones.router();
        self.remote_zones()
            .filter_map(|zone| Some((self.zone_name(zone), router.weight(zone)?)))
            .collect()
    }

    fn direction_changes(&self) -> BTreeMap<String, u64> {
        let router = self.zones.router();
        self.remote_zones()
            .map(|zone| (self.zone_name(zone), router.direction_changes(zone)))
            .collect()
    }

    fn budget_line(&self, meter: &BudgetMeter) -> BudgetLine {
        let budget = &meter.budget;
        let over_budget = OverBudgetReason::ALL.map(|r| (r.as_str(), meter.over_budget(r)));
        BudgetLine {
            name: budget.name.clone(),
            to: budget.to.map(|zone| self.zone_name(zone)),
            class: budget.class.map(|class| self.class_name(class)),
            unit: budget.limit.unit().to_owned(),
            window_s: budget.window.as_secs_f64(),
            limit: budget.limit.amount(),
            agent_limit: meter.limit(),
            used: meter.used(),
            total: meter.total(),
            over_budget: nonzero_counts(over_budget),
        }
    }

    /// The lines of the first row at or after `from`.
    fn row_lines(&self, from: LinkKey) -> (Vec<ReportLine>, ReportCursor) {
        let Some((key, row)) = self.zones.account().next_row(from) else {
            let first = LinkClass::default();
            return (Vec::new(), ReportCursor::DailySeries(first));
        };
        let link = LinkClass {
            to: key.to,
            class: key.class,
        };
        let lines = vec![
            ReportLine::Link(self.link_line(key, row)),
            ReportLine::Series(self.series_line(link, Some(key.build), &row.recent)),
        ];
        (lines, ReportCursor::Row(key_after(key)))
    }

    fn link_line(&self, key: LinkKey, row: &LinkRow) -> LinkLine {
        let counts = &row.counts;
        let over_budget =
            OverBudgetReason::ALL.map(|r| (r.as_str(), counts.over_budget[r as usize]));
        let added_latency_ms = if counts.compared_responses > 0 {
            counts.added_latency_s / counts.compared_responses as f64 * MILLIS_PER_SECOND
        } else {
            0.0
        };
        LinkLine {
            from: self.local_zone_name(),
            to: self.zone_name(usize::from(key.to)),
            class: self.class_name(usize::from(key.class)),
            build: key.build,
            decided: counts.decided,
            attempts: counts.written,
            outcomes: labelled_outcomes(&counts.outcomes),
            never_ran: counts.never_ran(),
            malformed: counts.malformed,
            truncated: counts.truncated,
            hedges: counts.hedges,
            retries: counts.retries,
            over_budget: nonzero_counts(over_budget),
            connections_opened: counts.connections_opened,
            bytes_sent: counts.bytes_sent,
            bytes_received: counts.bytes_received,
            added_latency_ms,
            compared_responses: counts.compared_responses,
            cost: counts.cost,
        }
    }

    /// The lines of the first series of the last day at or after `from`.
    fn daily_lines(&self, from: LinkClass) -> (Vec<ReportLine>, ReportCursor) {
        let account = self.zones.account();
        let Some((link, series)) = account.next_daily_series(from) else {
            return (Vec::new(), ReportCursor::End);
        };
        let mut lines = Vec::new();
        if let Some(histogram) = account.latencies(link) {
            lines.push(ReportLine::Delay(self.delay_line(link, histogram)));
        }
        lines.push(ReportLine::Series(self.series_line(link, None, series)));
        let next = LinkClass {
            to: link.to,
            class: link.class + 1,
        };
        (lines, ReportCursor::DailySeries(next))
    }

    fn delay_line(&self, link: LinkClass, histogram: &Histogram<u32>) -> DelayLine {
        let buckets = histogram.iter_recorded().map(|bucket| LatencyBucket {
            micros: bucket.value_iterated_to(),
            count: u64::from(bucket.count_at_value()),
        });
        DelayLine {
            from: self.local_zone_name(),
            to: self.zone_name(usize::from(link.to)),
            class: self.class_name(usize::from(link.class)),
            latencies: buckets.collect(),
        }
    }

    fn series_line(&self, link: LinkClass, build: Option<u32>, series: &TimeSeries) -> SeriesLine {
        let width = series.width();
        let bins = series.bins().map(|bin| SeriesBin {
            start_s: self.clock.unix_seconds(width * bin.index),
            attempts: u64::from(bin.attempts),
            over_budget: u64::from(bin.over_budget),
            bytes_sent: bin.bytes_sent,
            bytes_received: bin.bytes_received,
            cost: f64::from(bin.cost),
        });
        SeriesLine {
            from: self.local_zone_name(),
            to: self.zone_name(usize::from(link.to)),
            class: self.class_name(usize::from(link.class)),
            build,
            width_s: width.as_secs_f64(),
            bins: bins.collect(),
        }
    }

    fn remote_zones(&self) -> impl Iterator<Item = usize> {
        let config = self.zones.config();
        let local_zone = config.local_zone;
        (0..config.zone_count_with_unnamed()).filter(move |zone| *zone != local_zone)
    }

    fn local_zone_name(&self) -> String {
        self.zone_name(self.zones.config().local_zone)
    }

    fn zone_name(&self, zone: usize) -> String {
        self.names.zone(zone).to_owned()
    }

    fn class_name(&self, class: usize) -> String {
        self.names.class(class).to_owned()
    }
}

/// The next possible key after this one, within its zone.
fn key_after(key: LinkKey) -> LinkKey {
    match key.build.checked_add(1) {
        Some(build) => LinkKey { build, ..key },
        None => LinkKey {
            class: key.class + 1,
            build: 0,
            ..key
        },
    }
}
