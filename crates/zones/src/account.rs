//! What crossed: by link, class and build, in total and over time.

use crate::route::OverBudgetReason;
use crate::series::{TimeBin, TimeSeries};
use crate::zones::Reservation;
use hdrhistogram::Histogram;
use std::collections::BTreeSet;
use std::time::Duration;
use tulipwall::{IndexOrigin, Outcome};

const RECENT: (Duration, u32) = (Duration::from_secs(10), 360);
const DAY: (Duration, u32) = (Duration::from_secs(60), 1440);
/// What an answer that took no longer counts as, and at most.
const LEAST_MICROS: u64 = 16;
const MOST_MICROS: u64 = 120_000_000;
/// How fast the usual time of near answers follows.
const FOLLOW: f64 = 0.05;

/// What one row counts: attempts of one class and build over one link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkKey {
    pub to: u16,
    /// The number after the last class stands for connections: what opening and keeping them took;
    /// the one after that for all classes that are gone.
    pub class: u16,
    /// 0 for all builds that are gone.
    pub build: u32,
}

/// Counts since the agent's start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkCounts {
    /// Attempts decided on.
    pub decided: u64,
    /// Written to their last byte: these may have run, and count as attempts.
    pub written: u64,
    /// How those decided on ended, as [`Outcome`] numbers them.
    pub outcomes: [u64; 8],
    /// Of those that broke: answers that could not be read, and answers that stopped short of their
    /// end.
    pub malformed: u64,
    pub truncated: u64,
    /// Of those decided on: while another was out, and after another had ended.
    pub hedges: u64,
    pub retries: u64,
    /// Over a budget, by [`OverBudgetReason`].
    pub over_budget: [u64; OverBudgetReason::ALL.len()],
    /// Connections opened.
    pub connections_opened: u64,
    /// Bytes written and read on the socket.
    pub bytes_sent: u64,
    pub bytes_received: u64,
    /// Seconds that crossing added to satisfied answers, against near ones of the class; below zero
    /// where the far side was quicker. And for how many answers.
    pub added_latency_s: f64,
    pub compared_responses: u64,
    pub cost: f64,
}

/// The place of an outcome in [`LinkCounts::ended`].
pub fn outcome_index(outcome: Outcome) -> usize {
    match outcome {
        Outcome::Succeeded => 0,
        Outcome::Failed => 1,
        Outcome::Rejected => 2,
        Outcome::TimedOut => 3,
        Outcome::ConnectFailed => 4,
        Outcome::ConnectionLost => 5,
        Outcome::Cancelled => 6,
        Outcome::NotSent => 7,
    }
}

impl LinkCounts {
    pub fn over_budget_total(&self) -> u64 {
        self.over_budget.iter().sum()
    }

    /// What provably never ran.
    pub fn never_ran(&self) -> u64 {
        let kinds = [Outcome::Rejected, Outcome::ConnectFailed, Outcome::NotSent];
        kinds
            .into_iter()
            .map(|o| self.outcomes[outcome_index(o)])
            .sum()
    }

    pub fn add(&mut self, o: &LinkCounts) {
        let LinkCounts {
            decided,
            written,
            outcomes: ended,
            malformed: spoilt,
            truncated: half,
            hedges: hedging,
            retries: further,
            over_budget: over,
            connections_opened: opened,
            ..
        } = o;
        self.decided += decided;
        self.written += written;
        self.outcomes
            .iter_mut()
            .zip(ended)
            .for_each(|(a, b)| *a += b);
        self.malformed += spoilt;
        self.truncated += half;
        self.hedges += hedging;
        self.retries += further;
        self.over_budget
            .iter_mut()
            .zip(over)
            .for_each(|(a, b)| *a += b);
        self.connections_opened += opened;
        self.bytes_sent += o.bytes_sent;
        self.bytes_received += o.bytes_received;
        self.added_latency_s += o.added_latency_s;
        self.compared_responses += o.compared_responses;
        self.cost += o.cost;
    }
}

/// One row of the account.
#[derive(Clone, Debug)]
pub struct LinkRow {
    pub counts: LinkCounts,
    /// Ten-second bins of the last hour.
    pub recent: TimeSeries,
}

/// What was wrong with an answer that broke.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ResponseFault {
    #[default]
    None,
    Malformed,
    Truncated,
}

/// How one attempt ended, as seen on the socket.
#[derive(Clone, Copy, Debug)]
pub struct CompletedAttempt {
    pub outcome: Outcome,
    pub fault: ResponseFault,
    /// Its last byte was written.
    pub fully_written: bool,
    pub bytes_sent: u64,
    pub bytes_received: u64,
    pub latency: Duration,
}

/// A connection that was opened, or closed while nothing was out on it.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionTraffic {
    pub to: usize,
    pub build: u32,
    pub bytes_sent: u64,
    pub bytes_received: u64,
    /// How long it took until it was ready for a request; nothing where it never was.
    pub handshake: Option<Duration>,
}

/// What is kept of one class on one link, over all builds.
#[derive(Debug)]
struct RequestClass {
    /// By build, which are few at a time.
    rows: Vec<(u32, LinkRow)>,
    /// Minute bins of the last day.
    day: TimeSeries,
    delays: Option<Histogram<u32>>,
}

impl RequestClass {
    fn row(&mut self, build: u32) -> &mut LinkRow {
        let n = match self.rows.iter().position(|(b, _)| *b >= build) {
            Some(n) if self.rows[n].0 == build => n,
            place => {
                let n = place.unwrap_or(self.rows.len());
                let row = LinkRow {
                    counts: LinkCounts::default(),
                    recent: TimeSeries::new(RECENT.0, RECENT.1),
                };
                self.rows.insert(n, (build, row));
                n
            }
        };
        &mut self.rows[n].1
    }
}

impl RequestClass {
    fn new() -> RequestClass {
        RequestClass {
            rows: Vec::new(),
            day: TimeSeries::new(DAY.0, DAY.1),
            delays: None,
        }
    }

    fn merge(&mut self, o: RequestClass) {
        for (build, old) in o.rows {
            let row = self.row(build);
            row.counts.add(&old.counts);
            row.recent.merge(&old.recent);
        }
        self.day.merge(&o.day);
        match (&mut self.delays, o.delays) {
            // Both have the same bounds.
            (Some(all), Some(delays)) => drop(all.add(delays)),
            (none, delays) => *none = none.take().or(delays),
        }
    }
}

/// What was kept by class, under the classes' numbers of now; the rest stays in `old`.
pub(crate) fn carried<T>(by: &[IndexOrigin], old: &mut [Option<T>]) -> Vec<Option<T>> {
    let mut of = |n: usize| old.get_mut(n).and_then(Option::take);
    let mut kept: Vec<Option<T>> = by.iter().map(|_| None).collect();
    for (n, o) in by.iter().enumerate() {
        if let IndexOrigin::MovedFrom(was) = o {
            kept[n] = of(*was);
        }
    }
    for (n, o) in by.iter().enumerate() {
        if matches!(o, IndexOrigin::Same | IndexOrigin::Retired) {
            kept[n] = of(n);
        }
    }
    kept
}

/// What is kept beside the classes of a zone: connections, and classes that are gone.
const OTHERS: usize = 2;

/// The account of one agent. What it keeps follows zones x classes x builds alive, never tenants or
/// keys.
#[derive(Debug)]
pub struct Account {
    own: usize,
    classes: usize,
    zones: usize,
    /// By zone and class, the last two of each zone for connections and for classes that are gone.
    links: Vec<Option<Box<RequestClass>>>,
    taken: Vec<u64>,
    taken_gone: u64,
    near: Vec<Option<f64>>, // the usual time of a near answer, in seconds
}

impl Account {
    /// For an agent in zone `own` of so many zones with names.
    pub fn new(own: usize, zones: usize, classes: usize) -> Account {
        let links = (0..(zones + 1) * (classes + OTHERS))
            .map(|_| None)
            .collect();
        Account {
            own,
            classes,
            zones,
            links,
            taken: vec![0; classes],
            taken_gone: 0,
            near: vec![None; classes],
        }
    }

    /// Goes on with other classes, numbered as `by` says. What was counted of a class whose number
    /// is another's now, or nobody's any more, goes to those that are gone.
    pub fn reload(&mut self, by: &[IndexOrigin]) {
        let width = self.classes + OTHERS;
        let mut old = std::mem::take(&mut self.links).into_iter();
        for _ in 0..=self.zones {
            let mut of: Vec<Option<Box<RequestClass>>> = old.by_ref().take(width).collect();
            let (gone, connections) = (of.pop().flatten(), of.pop().flatten());
            self.links.extend(carried(by, &mut of));
            let gone = of
                .into_iter()
                .flatten()
                .fold(gone, |gone, class| match gone {
                    Some(mut all) => {
                        all.merge(*class);
                        Some(all)
                    }
                    None => Some(class),
                });
            self.links.extend([connections, gone]);
        }
        let mut taken: Vec<Option<u64>> = self.taken.iter().copied().map(Some).collect();
        self.taken = carried(by, &mut taken)
            .into_iter()
            .map(Option::unwrap_or_default)
            .collect();
        self.taken_gone += taken.into_iter().flatten().sum::<u64>();
        self.near = carried(by, &mut self.near);
        self.classes = by.len();
    }

    pub fn record_request(&mut self, class: usize) {
        if let Some(n) = self.taken.get_mut(class) {
            *n += 1;
        }
    }

    /// The number that stands for connections in the place of a class.
    pub fn connections_class(&self) -> u16 {
        self.classes as u16
    }

    fn place(&self, to: usize, class: usize) -> usize {
        to.min(self.zones) * (self.classes + OTHERS) + class.min(self.classes + 1)
    }

    fn class(&mut self, to: usize, class: usize) -> &mut RequestClass {
        let place = self.place(to, class);
        self.links[place].get_or_insert_with(|| Box::new(RequestClass::new()))
    }

    /// An attempt was decided on.
    pub fn record_attempt(
        &mut self,
        to: usize,
        class: usize,
        build: u32,
        nth: usize,
        hedged: bool,
    ) {
        let tally = &mut self.class(to, class).row(build).counts;
        tally.decided += 1;
        tally.hedges += u64::from(hedged);
        tally.retries += u64::from(nth > 0 && !hedged);
    }

    /// It ended; `over` says why where it went over a budget, `cost` what it cost by its link's
    /// price.
    pub fn record_attempt_end(
        &mut self,
        now: Duration,
        t: &Reservation,
        e: &CompletedAttempt,
        cost: f64,
    ) {
        let (own, took) = (self.own, e.latency.as_secs_f64());
        let usual = self.typical_local_latency(t.class);
        let succeeded = e.outcome == Outcome::Succeeded;
        if let (true, Some(near)) = (succeeded && t.to == own, self.near.get_mut(t.class)) {
            *near = Some(near.map_or(took, |n| n + (took - n) * FOLLOW));
        }
        let class = self.class(t.to, t.class);
        if succeeded {
            let micros = (e.latency.as_micros() as u64).clamp(LEAST_MICROS, MOST_MICROS);
            if class.delays.is_none() {
                // Two digits between these bounds are 10 KB, and bounds that the library always
                // takes.
                class.delays = Histogram::new_with_bounds(LEAST_MICROS, MOST_MICROS, 2).ok();
            }
            class
                .delays
                .iter_mut()
                .for_each(|h| h.saturating_record(micros));
        }
        let row = class.row(t.build);
        row.counts.outcomes[outcome_index(e.outcome)] += 1;
        row.counts.written += u64::from(e.fully_written);
        row.counts.malformed += u64::from(e.fault == ResponseFault::Malformed);
        row.counts.truncated += u64::from(e.fault == ResponseFault::Truncated);
        if let Some(reason) = t.over_budget {
            row.counts.over_budget[reason as usize] += 1;
        }
        row.counts.bytes_sent += e.bytes_sent;
        row.counts.bytes_received += e.bytes_received;
        row.counts.cost += cost;
        if let (true, Some(usual)) = (succeeded && t.to != own, usual) {
            row.counts.added_latency_s += took - usual;
            row.counts.compared_responses += 1;
        }
        let add = |bin: &mut TimeBin| {
            bin.attempts += u32::from(e.fully_written);
            bin.over_budget += u32::from(t.over_budget.is_some());
            bin.cost += cost as f32;
            bin.bytes_sent += e.bytes_sent;
            bin.bytes_received += e.bytes_received;
        };
        add(row.recent.bin(now));
        add(class.day.bin(now));
    }

    /// A connection was opened, or ended while nothing was out on it.
    pub fn record_connection(&mut self, now: Duration, o: &ConnectionTraffic, cost: f64) {
        let connections = self.classes;
        let class = self.class(o.to, connections);
        let row = class.row(o.build);
        row.counts.connections_opened += u64::from(o.handshake.is_some());
        row.counts.bytes_sent += o.bytes_sent;
        row.counts.bytes_received += o.bytes_received;
        row.counts.cost += cost;
        let add = |bin: &mut TimeBin| {
            (bin.bytes_sent, bin.bytes_received, bin.cost) = (
                bin.bytes_sent + o.bytes_sent,
                bin.bytes_received + o.bytes_received,
                bin.cost + cost as f32,
            );
        };
        add(row.recent.bin(now));
        add(class.day.bin(now));
    }

    /// Only these builds are alive: what the others' rows count goes into one of build 0.
    pub fn retain_builds(&mut self, builds: &BTreeSet<u32>) {
        for class in self.links.iter_mut().flatten() {
            let gone = |(build, _): &mut (u32, LinkRow)| *build != 0 && !builds.contains(build);
            let old: Vec<(u32, LinkRow)> = class.rows.extract_if(.., gone).collect();
            for (_, old) in old {
                let row = class.row(0);
                row.counts.add(&old.counts);
                row.recent.merge(&old.recent);
            }
        }
    }

    /// All rows, by zone, class and build.
    pub fn rows(&self) -> impl Iterator<Item = (LinkKey, &LinkRow)> {
        self.from(0).flat_map(|(to, class, l)| {
            l.rows.iter().map(move |(b, r)| {
                (
                    LinkKey {
                        to,
                        class,
                        build: *b,
                    },
                    r,
                )
            })
        })
    }

    /// What is kept by link and class, from a place on.
    fn from(&self, place: usize) -> impl Iterator<Item = (u16, u16, &RequestClass)> {
        let width = self.classes + OTHERS;
        let there = self.links.iter().enumerate().skip(place);
        there
            .filter_map(move |(n, l)| Some(((n / width) as u16, (n % width) as u16, l.as_deref()?)))
    }

    /// The row at or after `from`, so that a reader may go through all while the account goes on.
    pub fn next_row(&self, from: LinkKey) -> Option<(LinkKey, &LinkRow)> {
        let place = self.place(usize::from(from.to), usize::from(from.class));
        if usize::from(from.to) > self.zones {
            return None;
        }
        self.from(place).find_map(|(to, class, l)| {
            let least = if (to, class) == (from.to, from.class) {
                from.build
            } else {
                0
            };
            let (build, row) = l.rows.iter().find(|(b, _)| *b >= least)?;
            Some((
                LinkKey {
                    to,
                    class,
                    build: *build,
                },
                row,
            ))
        })
    }

    /// The day's series at or after this link and class.
    pub fn next_daily_series(&self, (to, class): (u16, u16)) -> Option<((u16, u16), &TimeSeries)> {
        if usize::from(to) > self.zones {
            return None;
        }
        let place = usize::from(to) * (self.classes + OTHERS) + usize::from(class);
        self.from(place)
            .next()
            .map(|(to, class, l)| ((to, class), &l.day))
    }

    /// Times of satisfied answers over a link, by class, in microseconds.
    pub fn latencies(&self, to: u16, class: u16) -> Option<&Histogram<u32>> {
        self.links[self.place(usize::from(to), usize::from(class))]
            .as_ref()?
            .delays
            .as_ref()
    }

    /// Requests taken, by class.
    pub fn requests_by_class(&self) -> &[u64] {
        &self.taken
    }

    /// Requests taken of classes that are gone.
    pub fn requests_of_removed_classes(&self) -> u64 {
        self.taken_gone
    }

    /// The usual time of a near answer of this class, in seconds.
    pub fn typical_local_latency(&self, class: usize) -> Option<f64> {
        self.near.get(class).copied().flatten()
    }
}
