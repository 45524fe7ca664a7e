//! A report as its reader holds it, of one agent or merged from several.

use super::error::ReportError;
use super::schema::{DelayLine, LinkLine, ReportHeader, ReportLine, SeriesLine, VERSION};
use crate::latency_histogram::new_histogram;
use serde::Serialize;

const MICROS_PER_MILLI: f64 = 1000.0;

/// A whole report, of one agent or of several.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct Document {
    /// The header of each agent.
    pub heads: Vec<ReportHeader>,
    /// Counts by link, class and build.
    pub links: Vec<LinkLine>,
    /// Latencies by link and class.
    pub delays: Vec<DelayLine>,
    /// Traffic over time.
    pub series: Vec<SeriesLine>,
    #[serde(skip)]
    complete: bool,
}

impl Document {
    /// Adds one line.
    ///
    /// # Errors
    ///
    /// [`ReportError::UnsupportedVersion`] for a header of another version.
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

    /// Whether the last line was added.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Adds the report of another agent: rows of the same link, class and build become one.
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

    /// Sums over builds: one row for each link and class, cross-zone links first.
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

    /// The latency that this fraction (0 to 1) of the responses of a class over a link did not
    /// exceed, in milliseconds.
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

/// Orders rows by the zone they come from, the local link last, then by zone and class.
fn sort_key(link: &LinkLine) -> (&str, bool, &str, &str) {
    let is_local = link.from == link.to;
    (&link.from, is_local, &link.to, &link.class)
}
