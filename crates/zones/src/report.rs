//! The account as it is handed out: lines of JSON, one for the head, one for each row, one for each
//! series. Lines of several agents are merged into one document.

use crate::account::{LinkKey, LinkRow};
use crate::route::OverBudgetReason;
use crate::series::TimeSeries;
use crate::zones::Zones;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use tulipwall::Outcome;

/// Of these lines; a reader takes no others.
pub const VERSION: u32 = 1;

/// The names that stand for numbers.
#[derive(Clone, Debug, Default)]
pub struct DisplayNames {
    pub agent: String,
    pub zones: Vec<String>,
    pub classes: Vec<String>,
}

impl DisplayNames {
    pub fn zone(&self, zone: usize) -> &str {
        self.zones.get(zone).map_or("(unnamed)", String::as_str)
    }

    pub fn class(&self, class: usize) -> &str {
        let others = if class > self.classes.len() {
            "(gone)"
        } else {
            "(connections)"
        };
        self.classes.get(class).map_or(others, String::as_str)
    }
}

/// One line.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum ReportLine {
    Head(ReportHeader),
    Link(LinkLine),
    Delay(DelayLine),
    Series(SeriesLine),
    End,
}

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct ReportHeader {
    pub version: u32,
    pub agent: String,
    pub zone: String,
    /// Unix time, in seconds, and how long the account has run.
    pub at_s: f64,
    #[serde(rename = "since_s")]
    pub uptime_s: f64,
    /// Requests taken, by class.
    #[serde(rename = "taken")]
    pub requests: BTreeMap<String, u64>,
    pub budgets: Vec<BudgetLine>,
    /// By zone: what an endpoint there draws against a near one, and how often routing turned
    /// towards it.
    #[serde(rename = "draws")]
    pub weights: BTreeMap<String, f64>,
    #[serde(rename = "turns")]
    pub direction_changes: BTreeMap<String, u64>,
}

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct BudgetLine {
    pub name: String,
    pub to: Option<String>,
    #[serde(rename = "lane")]
    pub class: Option<String>,
    pub unit: String,
    pub window_s: f64,
    /// Over all agents; a share is of what was taken.
    pub limit: f64,
    /// Of this agent, in the window that ends now.
    #[serde(rename = "part")]
    pub agent_limit: f64,
    pub used: f64,
    pub total: f64,
    /// Attempts over it since the start, by reason.
    #[serde(rename = "over")]
    pub over_budget: BTreeMap<String, u64>,
}

/// One class and build on one link.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct LinkLine {
    pub from: String,
    pub to: String,
    #[serde(rename = "lane")]
    pub class: String,
    /// 0 for all builds that are gone.
    pub build: u32,
    pub decided: u64,
    #[serde(rename = "deliveries")]
    pub attempts: u64,
    #[serde(rename = "ended")]
    pub outcomes: BTreeMap<String, u64>,
    pub never_ran: u64,
    #[serde(rename = "spoilt")]
    pub malformed: u64,
    #[serde(rename = "half")]
    pub truncated: u64,
    #[serde(rename = "second_copies")]
    pub hedges: u64,
    #[serde(rename = "further")]
    pub retries: u64,
    #[serde(rename = "over")]
    pub over_budget: BTreeMap<String, u64>,
    #[serde(rename = "opened")]
    pub connections_opened: u64,
    #[serde(rename = "bytes_out")]
    pub bytes_sent: u64,
    #[serde(rename = "bytes_in")]
    pub bytes_received: u64,
    /// Milliseconds that crossing added to an answer, in the mean, and over how many answers.
    #[serde(rename = "added_ms")]
    pub added_latency_ms: f64,
    #[serde(rename = "compared")]
    pub compared_responses: u64,
    pub cost: f64,
}

/// Times of satisfied answers of one class on one link, over all builds.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct DelayLine {
    pub from: String,
    pub to: String,
    #[serde(rename = "lane")]
    pub class: String,
    /// How many responses took how long, in ascending order.
    #[serde(rename = "delays_us")]
    pub latencies: Vec<LatencyBucket>,
}

/// One bucket of a latency histogram, serialized as `[micros, count]`.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct LatencyBucket {
    /// Latency in microseconds: the upper bound of the bucket.
    pub micros: u64,
    /// Responses with that latency.
    pub count: u64,
}

impl From<(u64, u64)> for LatencyBucket {
    fn from((micros, count): (u64, u64)) -> LatencyBucket {
        LatencyBucket { micros, count }
    }
}

impl From<LatencyBucket> for (u64, u64) {
    fn from(bucket: LatencyBucket) -> (u64, u64) {
        (bucket.micros, bucket.count)
    }
}

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct SeriesLine {
    pub from: String,
    pub to: String,
    #[serde(rename = "lane")]
    pub class: String,
    /// Absent in series over all builds.
    pub build: Option<u32>,
    pub width_s: f64,
    /// The non-empty bins, oldest first.
    pub bins: Vec<SeriesBin>,
}

/// The form in which a [`SeriesBin`] is serialized: its fields in their order.
type SerializedBin = (f64, u64, u64, u64, u64, f64);

/// One bin of a series, serialized as an array of its fields.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq)]
#[serde(from = "SerializedBin", into = "SerializedBin")]
pub struct SeriesBin {
    /// Unix time of its beginning, in seconds.
    pub start_s: f64,
    /// Attempts written completely.
    pub attempts: u64,
    /// Of these, attempts over a budget.
    pub over_budget: u64,
    /// Bytes written.
    pub bytes_sent: u64,
    /// Bytes read.
    pub bytes_received: u64,
    /// Cost by the link's price.
    pub cost: f64,
}

impl From<SerializedBin> for SeriesBin {
    fn from(fields: SerializedBin) -> SeriesBin {
        let (start_s, attempts, over_budget, bytes_sent, bytes_received, cost) = fields;
        SeriesBin {
            start_s,
            attempts,
            over_budget,
            bytes_sent,
            bytes_received,
            cost,
        }
    }
}

impl From<SeriesBin> for SerializedBin {
    fn from(bin: SeriesBin) -> SerializedBin {
        (
            bin.start_s,
            bin.attempts,
            bin.over_budget,
            bin.bytes_sent,
            bin.bytes_received,
            bin.cost,
        )
    }
}

/// Where a reader stands: the head comes first, then each row, then each day's series, then the
/// end.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ReportCursor {
    #[default]
    Head,
    Row(u16, u16, u32),
    DailySeries(u16, u16),
    End,
    Finished,
}

/// A wall clock for what the account counts from its own zero.
#[derive(Clone, Copy, Debug)]
pub struct ClockMapping {
    pub now: Duration,
    pub unix_now: Duration,
    pub started: Duration,
}

impl ClockMapping {
    fn unix_of(&self, at: Duration) -> f64 {
        (self.unix_now.as_secs_f64() + at.as_secs_f64() - self.now.as_secs_f64()).max(0.0)
    }
}

pub fn outcome_word(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Succeeded => "satisfied",
        Outcome::Failed => "failed",
        Outcome::Rejected => "turned_away",
        Outcome::TimedOut => "timed_out",
        Outcome::ConnectFailed => "no_connection",
        Outcome::ConnectionLost => "broken",
        Outcome::Cancelled => "withdrawn",
        Outcome::NotSent => "not_sent",
    }
}

const OUTCOMES: [Outcome; 8] = [
    Outcome::Succeeded,
    Outcome::Failed,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::ConnectionLost,
    Outcome::Cancelled,
    Outcome::NotSent,
];

fn counted(counts: impl Iterator<Item = (&'static str, u64)>) -> BTreeMap<String, u64> {
    counts
        .filter(|(_, n)| *n > 0)
        .map(|(word, n)| (word.to_owned(), n))
        .collect()
}

impl Zones {
    /// The next lines of the report, and where to go on: one row at a time, so that no step of it
    /// takes long however much there is. Rows that come between are seen or not.
    pub fn lines(
        &self,
        names: &DisplayNames,
        wall: ClockMapping,
        place: ReportCursor,
    ) -> (Vec<ReportLine>, ReportCursor) {
        let own = self.config().local_zone;
        match place {
            ReportCursor::Head => (
                vec![ReportLine::Head(self.head(names, wall))],
                ReportCursor::Row(0, 0, 0),
            ),
            ReportCursor::Row(to, class, build) => {
                let Some((key, row)) = self.account().next_row(LinkKey { to, class, build }) else {
                    return (Vec::new(), ReportCursor::DailySeries(0, 0));
                };
                let next = match key.build.checked_add(1) {
                    Some(build) => ReportCursor::Row(key.to, key.class, build),
                    None => ReportCursor::Row(key.to, key.class + 1, 0),
                };
                (self.row(names, wall, own, key, row), next)
            }
            ReportCursor::DailySeries(to, class) => {
                let Some(((to, class), series)) = self.account().next_daily_series((to, class))
                else {
                    return (Vec::new(), ReportCursor::End);
                };
                let line = series_line(
                    names,
                    wall,
                    own,
                    LinkKey {
                        to,
                        class,
                        build: 0,
                    },
                    None,
                    series,
                );
                let pairs = |h: &Histogram<u32>| {
                    h.iter_recorded()
                        .map(|v| LatencyBucket {
                            micros: v.value_iterated_to(),
                            count: u64::from(v.count_at_value()),
                        })
                        .collect()
                };
                let delay = |h| {
                    ReportLine::Delay(DelayLine {
                        from: names.zone(own).to_owned(),
                        to: names.zone(usize::from(to)).to_owned(),
                        class: names.class(usize::from(class)).to_owned(),
                        latencies: pairs(h),
                    })
                };
                let delays = self.account().latencies(to, class).map(delay);
                (
                    delays.into_iter().chain([line]).collect(),
                    ReportCursor::DailySeries(to, class + 1),
                )
            }
            ReportCursor::End => (vec![ReportLine::End], ReportCursor::Finished),
            ReportCursor::Finished => (Vec::new(), ReportCursor::Finished),
        }
    }

    fn head(&self, names: &DisplayNames, wall: ClockMapping) -> ReportHeader {
        let zoning = self.config();
        let others = || (0..zoning.zone_count_with_unnamed()).filter(|z| *z != zoning.local_zone);
        let budget = |p: &crate::BudgetMeter| BudgetLine {
            name: p.budget.name.clone(),
            to: p.budget.to.map(|z| names.zone(z).to_owned()),
            class: p.budget.class.map(|l| names.class(l).to_owned()),
            unit: p.budget.limit.unit().to_owned(),
            window_s: p.budget.window.as_secs_f64(),
            limit: p.budget.limit.amount(),
            agent_limit: p.limit(),
            used: p.used(),
            total: p.total(),
            over_budget: counted(
                OverBudgetReason::ALL
                    .into_iter()
                    .map(|r| (r.as_str(), p.over_budget(r))),
            ),
        };
        // A class under other rules of repeats has two numbers for a while.
        let mut taken = BTreeMap::new();
        for (class, n) in self.account().requests_by_class().iter().enumerate() {
            *taken.entry(names.class(class).to_owned()).or_default() += n;
        }
        let gone = Some(self.account().requests_of_removed_classes()).filter(|n| *n > 0);
        taken.extend(gone.map(|n| ("(gone)".to_owned(), n)));
        ReportHeader {
            version: VERSION,
            agent: names.agent.clone(),
            zone: names.zone(zoning.local_zone).to_owned(),
            at_s: wall.unix_now.as_secs_f64(),
            uptime_s: wall.now.saturating_sub(wall.started).as_secs_f64(),
            requests: taken,
            budgets: self.budget_meters().meters().iter().map(budget).collect(),
            weights: others()
                .filter_map(|z| Some((names.zone(z).to_owned(), self.router().weight(z)?)))
                .collect(),
            direction_changes: others()
                .map(|z| (names.zone(z).to_owned(), self.router().direction_changes(z)))
                .collect(),
        }
    }

    fn row(
        &self,
        names: &DisplayNames,
        wall: ClockMapping,
        own: usize,
        key: LinkKey,
        row: &LinkRow,
    ) -> Vec<ReportLine> {
        let t = &row.counts;
        let line = LinkLine {
            from: names.zone(own).to_owned(),
            to: names.zone(usize::from(key.to)).to_owned(),
            class: names.class(usize::from(key.class)).to_owned(),
            build: key.build,
            decided: t.decided,
            attempts: t.written,
            outcomes: counted(
                OUTCOMES
                    .iter()
                    .zip(t.outcomes)
                    .map(|(o, n)| (outcome_word(*o), n)),
            ),
            never_ran: t.never_ran(),
            malformed: t.malformed,
            truncated: t.truncated,
            hedges: t.hedges,
            retries: t.retries,
            over_budget: counted(
                OverBudgetReason::ALL
                    .into_iter()
                    .map(|r| (r.as_str(), t.over_budget[r as usize])),
            ),
            connections_opened: t.connections_opened,
            bytes_sent: t.bytes_sent,
            bytes_received: t.bytes_received,
            added_latency_ms: if t.compared_responses > 0 {
                t.added_latency_s / t.compared_responses as f64 * 1000.0
            } else {
                0.0
            },
            compared_responses: t.compared_responses,
            cost: t.cost,
        };
        vec![
            ReportLine::Link(line),
            series_line(names, wall, own, key, Some(key.build), &row.recent),
        ]
    }
}

fn series_line(
    names: &DisplayNames,
    wall: ClockMapping,
    own: usize,
    key: LinkKey,
    build: Option<u32>,
    series: &TimeSeries,
) -> ReportLine {
    let width = series.width();
    let bin = |b: &crate::TimeBin| SeriesBin {
        start_s: wall.unix_of(width * b.index),
        attempts: u64::from(b.attempts),
        over_budget: u64::from(b.over_budget),
        bytes_sent: b.bytes_sent,
        bytes_received: b.bytes_received,
        cost: f64::from(b.cost),
    };
    ReportLine::Series(SeriesLine {
        from: names.zone(own).to_owned(),
        to: names.zone(usize::from(key.to)).to_owned(),
        class: names.class(usize::from(key.class)).to_owned(),
        build,
        width_s: width.as_secs_f64(),
        bins: series.bins().map(bin).collect(),
    })
}

/// Why a line of a report is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// The header names a version other than [`VERSION`].
    #[error("version {found}: this program reads version {VERSION}")]
    UnsupportedVersion {
        /// The version in the header.
        found: u32,
    },
}

/// A whole report, of one agent or of several.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct Document {
    pub heads: Vec<ReportHeader>,
    pub links: Vec<LinkLine>,
    pub delays: Vec<DelayLine>,
    pub series: Vec<SeriesLine>,
    #[serde(skip)]
    whole: bool,
}

impl Document {
    /// Takes in one line; what is wrong with it otherwise.
    pub fn add_line(&mut self, line: ReportLine) -> Result<(), ReportError> {
        match line {
            ReportLine::Head(h) if h.version != VERSION => {
                return Err(ReportError::UnsupportedVersion { found: h.version });
            }
            ReportLine::Head(h) => self.heads.push(h),
            ReportLine::Link(l) => self.links.push(l),
            ReportLine::Delay(d) => self.delays.push(d),
            ReportLine::Series(s) => self.series.push(s),
            ReportLine::End => self.whole = true,
        }
        Ok(())
    }

    /// Its last line has come.
    pub fn is_complete(&self) -> bool {
        self.whole
    }

    /// Adds the account of another agent: rows of one link, class and build become one.
    pub fn merge(&mut self, other: Document) {
        self.heads.extend(other.heads);
        self.whole &= other.whole;
        let key = |l: &LinkLine| (l.from.clone(), l.to.clone(), l.class.clone(), l.build);
        for l in other.links {
            match self.links.iter_mut().find(|k| key(k) == key(&l)) {
                Some(kept) => kept.merge(l),
                None => self.links.push(l),
            }
        }
        for d in other.delays {
            let same =
                |k: &&mut DelayLine| (&k.from, &k.to, &k.class) == (&d.from, &d.to, &d.class);
            match self.delays.iter_mut().find(same) {
                Some(kept) => {
                    let mut counts: BTreeMap<u64, u64> = BTreeMap::new();
                    for bucket in kept.latencies.iter().chain(&d.latencies) {
                        *counts.entry(bucket.micros).or_default() += bucket.count;
                    }
                    kept.latencies = counts.into_iter().map(LatencyBucket::from).collect();
                }
                None => self.delays.push(d),
            }
        }
        let key = |s: &SeriesLine| {
            (
                s.from.clone(),
                s.to.clone(),
                s.class.clone(),
                s.build,
                s.width_s as u64,
            )
        };
        for s in other.series {
            match self.series.iter_mut().find(|k| key(k) == key(&s)) {
                Some(kept) => kept.merge(s),
                None => self.series.push(s),
            }
        }
    }

    /// Sums over builds: one row for each link and class, the ones that cross first.
    pub fn by_class(&self) -> Vec<LinkLine> {
        let mut rows: Vec<LinkLine> = Vec::new();
        for l in &self.links {
            match rows
                .iter_mut()
                .find(|r| (&r.from, &r.to, &r.class) == (&l.from, &l.to, &l.class))
            {
                Some(row) => row.merge(l.clone()),
                None => rows.push(LinkLine {
                    build: 0,
                    ..l.clone()
                }),
            }
        }
        rows.sort_by(|a, b| {
            let key = |l: &LinkLine| {
                (
                    l.from.clone(),
                    l.from == l.to,
                    l.to.clone(),
                    l.class.clone(),
                )
            };
            key(a).cmp(&key(b))
        });
        rows
    }

    /// The time, in milliseconds, that this part (0 to 1) of the answers over a link took at most,
    /// by class.
    pub fn latency_quantile_ms(&self, l: &LinkLine, part: f64) -> Option<f64> {
        let line = self
            .delays
            .iter()
            .find(|d| (&d.from, &d.to, &d.class) == (&l.from, &l.to, &l.class))?;
        let mut h = Histogram::<u64>::new_with_bounds(16, 120_000_000, 2).ok()?;
        for bucket in &line.latencies {
            h.saturating_record_n(bucket.micros, bucket.count);
        }
        (!h.is_empty()).then(|| h.value_at_quantile(part) as f64 / 1000.0)
    }
}

impl LinkLine {
    pub fn over_budget_total(&self) -> u64 {
        self.over_budget.values().sum()
    }

    fn merge(&mut self, o: LinkLine) {
        let sum = |a: &mut BTreeMap<String, u64>, b: BTreeMap<String, u64>| {
            b.into_iter()
                .for_each(|(k, n)| *a.entry(k).or_default() += n);
        };
        let compared = self.compared_responses + o.compared_responses;
        if compared > 0 {
            let both = self.added_latency_ms * self.compared_responses as f64
                + o.added_latency_ms * o.compared_responses as f64;
            self.added_latency_ms = both / compared as f64;
        }
        self.compared_responses = compared;
        self.decided += o.decided;
        self.attempts += o.attempts;
        sum(&mut self.outcomes, o.outcomes);
        self.never_ran += o.never_ran;
        self.malformed += o.malformed;
        self.truncated += o.truncated;
        self.hedges += o.hedges;
        self.retries += o.retries;
        sum(&mut self.over_budget, o.over_budget);
        self.connections_opened += o.connections_opened;
        self.bytes_sent += o.bytes_sent;
        self.bytes_received += o.bytes_received;
        self.cost += o.cost;
    }
}

impl SeriesLine {
    fn merge(&mut self, o: SeriesLine) {
        // Two clocks: bins are brought together by the nearest whole one.
        let place = |at: f64| (at / self.width_s.max(1e-3)).round() as u64;
        let mut bins: BTreeMap<u64, SeriesBin> = BTreeMap::new();
        for b in self.bins.iter().chain(&o.bins) {
            let empty = SeriesBin {
                start_s: b.start_s,
                attempts: 0,
                over_budget: 0,
                bytes_sent: 0,
                bytes_received: 0,
                cost: 0.0,
            };
            let kept = bins.entry(place(b.start_s)).or_insert(empty);
            kept.attempts += b.attempts;
            kept.over_budget += b.over_budget;
            kept.bytes_sent += b.bytes_sent;
            kept.bytes_received += b.bytes_received;
            kept.cost += b.cost;
        }
        self.bins = bins.into_values().collect();
    }
}
