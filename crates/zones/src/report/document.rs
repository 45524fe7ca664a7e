//! The in-memory form of a report, of one agent or merged from several agents.

use super::error::ReportError;
use super::schema::{DelayLine, LinkLine, ReportHeader, ReportLine, SeriesLine, VERSION};
use crate::latency_histogram::new_histogram;
use serde::Serialize;

const MICROS_PER_MILLI: f64 = 1000.0;

/// A report of one agent, or the merged report of several agents.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct Document {
    /// The headers, one per agent.
    pub heads: Vec<ReportHeader>,
    /// Counts by link, class and build.
    pub links: Vec<LinkLine>,
    /// Latency histograms by link and class.
    pub delays: Vec<DelayLine>,
    /// Traffic over time, by link and class, with and without builds.
    pub series: Vec<SeriesLine>,
    #[serde(skip)]
    complete: bool,
}

impl Document {
    /// Adds one line of the report.
    ///
    /// # Errors
    ///
    /// Returns [`ReportError::UnsupportedVersion`] for a header with another version.
    pub fn add_line(&mut self, line: ReportLine) -> Result<(), ReportError> {
        match line {
            ReportLine::Head(header) if header.version != VERSION => {
                return Err(ReportError::UnsupportedVersion {
                    found: header.version,
                });
            }
            ReportLine::Head(header) => self.heads.push(header),
            ReportLine::Link(link) => self.links.push(link),
            ReportLine::Delay(delay) => self.delays.push(delay),
            ReportLine::Series(series) => self.series.push(series),
            ReportLine::End => self.complete = true,
        }
        Ok(())
    }

    /// Whether the last line of the report was added; after a merge, that of all reports.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Adds the report of another agent. Rows of the same link, class and build are summed.
    pub fn merge(&mut self, other: Document) {
        self.heads.extend(other.heads);
        self.complete &= other.complete;
        for link in other.links {
            match self.links.iter_mut().find(|kept| kept.is_same_row(&link)) {
                Some(kept) => kept.merge(&link),
                None => self.links.push(link),
            }
        }
        for delay in other.delays {
            match self
                .delays
                .iter_mut()
                .find(|kept| kept.is_same_class(&delay))
            {
                Some(kept) => kept.merge(&delay),
                None => self.delays.push(delay),
            }
        }
        for series in other.series {
            match self
                .series
                .iter_mut()
                .find(|kept| kept.is_same_series(&series))
            {
                Some(kept) => kept.merge(&series),
                None => self.series.push(series),
            }
        }
    }

    /// Sums the rows over builds into one row per link and class. Rows are sorted by the zone they
    /// come from; its local link comes last.
    pub fn by_class(&self) -> Vec<LinkLine> {
        let mut rows: Vec<LinkLine> = Vec::new();
        for link in &self.links {
            match rows.iter_mut().find(|row| row.is_same_class(link)) {
                Some(row) => row.merge(link),
                None => rows.push(LinkLine {
                    build: 0,
                    ..link.clone()
                }),
            }
        }
        rows.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
        rows
    }

    /// The latency in milliseconds that the given fraction (0 to 1) of the responses of a class
    /// over a link did not exceed; `None` without responses.
    pub fn latency_quantile_ms(&self, link: &LinkLine, fraction: f64) -> Option<f64> {
        let line = self.delays.iter().find(|delay| {
            delay.from == link.from && delay.to == link.to && delay.class == link.class
        })?;
        let mut histogram = new_histogram::<u64>()?;
        for bucket in &line.latencies {
            histogram.saturating_record_n(bucket.micros, bucket.count);
        }
        if histogram.is_empty() {
            return None;
        }
        Some(histogram.value_at_quantile(fraction) as f64 / MICROS_PER_MILLI)
    }
}

/// Orders rows by the zone they come from, its local link last, then by destination and class.
fn sort_key(link: &LinkLine) -> (&str, bool, &str, &str) {
    let is_local = link.from == link.to;
    (&link.from, is_local, &link.to, &link.class)
}
