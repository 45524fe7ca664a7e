//! What crossed: by link, lane and build, in total and over time.

use crate::route::Reason;
use crate::series::{Bin, Series};
use crate::zones::Ticket;
use hdrhistogram::Histogram;
use std::collections::BTreeSet;
use std::time::Duration;
use tulipwall::{Origin, Outcome};

const RECENT: (Duration, u32) = (Duration::from_secs(10), 360);
const DAY: (Duration, u32) = (Duration::from_secs(60), 1440);
/// What an answer that took no longer counts as, and at most.
const LEAST_MICROS: u64 = 16;
const MOST_MICROS: u64 = 120_000_000;
/// How fast the usual time of near answers follows.
const FOLLOW: f64 = 0.05;

/// What one row counts: deliveries of one lane and build over one link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    pub to: u16,
    /// The number after the last lane stands for connections: what opening and keeping them took; the one after that
    /// for all lanes that are gone.
    pub lane: u16,
    /// 0 for all builds that are gone.
    pub build: u32,
}

/// Counts since the agent's start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    /// Deliveries decided on.
    pub decided: u64,
    /// Written to their last byte: these may have run, and count as deliveries.
    pub written: u64,
    /// How those decided on ended, as [`Outcome`] numbers them.
    pub ended: [u64; 8],
    /// Of those that broke: answers that could not be read, and answers that stopped short of their end.
    pub spoilt: u64,
    pub half: u64,
    /// Of those decided on: while another was out, and after another had ended.
    pub second_copies: u64,
    pub further: u64,
    /// Over a budget, by [`Reason`].
    pub over: [u64; Reason::ALL.len()],
    /// Connections opened.
    pub opened: u64,
    /// Bytes written and read on the socket.
    pub out: u64,
    pub back: u64,
    /// Seconds that crossing added to satisfied answers, against near ones of the lane; below zero where the
    /// far side was quicker. And for how many answers.
    pub added: f64,
    pub compared: u64,
    pub cost: f64,
}

/// The place of an outcome in [`Tally::ended`].
pub fn place(outcome: Outcome) -> usize {
    match outcome {
        Outcome::Satisfied => 0,
        Outcome::Failed => 1,
        Outcome::TurnedAway => 2,
        Outcome::TimedOut => 3,
        Outcome::NoConnection => 4,
        Outcome::Broken => 5,
        Outcome::Withdrawn => 6,
        Outcome::NotSent => 7,
    }
}

impl Tally {
    pub fn over(&self) -> u64 {
        self.over.iter().sum()
    }

    /// What provably never ran.
    pub fn never_ran(&self) -> u64 {
        let kinds = [Outcome::TurnedAway, Outcome::NoConnection, Outcome::NotSent];
        kinds.into_iter().map(|o| self.ended[place(o)]).sum()
    }

    pub fn add(&mut self, o: &Tally) {
        let Tally {
            decided,
            written,
            ended,
            spoilt,
            half,
            second_copies,
            further,
            over,
            opened,
            ..
        } = o;
        self.decided += decided;
        self.written += written;
        self.ended.iter_mut().zip(ended).for_each(|(a, b)| *a += b);
        self.spoilt += spoilt;
        self.half += half;
        self.second_copies += second_copies;
        self.further += further;
        self.over.iter_mut().zip(over).for_each(|(a, b)| *a += b);
        self.opened += opened;
        self.out += o.out;
        self.back += o.back;
        self.added += o.added;
        self.compared += o.compared;
        self.cost += o.cost;
    }
}

/// One row of the account.
#[derive(Clone, Debug)]
pub struct Row {
    pub tally: Tally,
    /// Ten-second bins of the last hour.
    pub recent: Series,
}

/// What was wrong with an answer that broke.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Flaw {
    #[default]
    None,
    Spoilt,
    Half,
}

/// How one delivery ended, as seen on the socket.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    pub outcome: Outcome,
    pub flaw: Flaw,
    /// Its last byte was written.
    pub written: bool,
    pub out: u64,
    pub back: u64,
    pub took: Duration,
}

/// A connection that was opened, or closed while nothing was out on it.
#[derive(Clone, Copy, Debug)]
pub struct Opening {
    pub to: usize,
    pub build: u32,
    pub out: u64,
    pub back: u64,
    /// How long it took until it was ready for a command; nothing where it never was.
    pub took: Option<Duration>,
}

/// What is kept of one lane on one link, over all builds.
#[derive(Debug)]
struct Lane {
    /// By build, which are few at a time.
    rows: Vec<(u32, Row)>,
    /// Minute bins of the last day.
    day: Series,
    delays: Option<Histogram<u32>>,
}

impl Lane {
    fn row(&mut self, build: u32) -> &mut Row {
        let n = match self.rows.iter().position(|(b, _)| *b >= build) {
            Some(n) if self.rows[n].0 == build => n,
            place => {
                let n = place.unwrap_or(self.rows.len());
                let row = Row {
                    tally: Tally::default(),
                    recent: Series::new(RECENT.0, RECENT.1),
                };
                self.rows.insert(n, (build, row));
                n
            }
        };
        &mut self.rows[n].1
    }
}

impl Lane {
    fn new() -> Lane {
        Lane {
            rows: Vec::new(),
            day: Series::new(DAY.0, DAY.1),
            delays: None,
        }
    }

    fn merge(&mut self, o: Lane) {
        for (build, old) in o.rows {
            let row = self.row(build);
            row.tally.add(&old.tally);
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

/// What was kept by lane, under the lanes' numbers of now; the rest stays in `old`.
pub(crate) fn carried<T>(by: &[Origin], old: &mut [Option<T>]) -> Vec<Option<T>> {
    let mut of = |n: usize| old.get_mut(n).and_then(Option::take);
    let mut kept: Vec<Option<T>> = by.iter().map(|_| None).collect();
    for (n, o) in by.iter().enumerate() {
        if let Origin::Was(was) = o {
            kept[n] = of(*was);
        }
    }
    for (n, o) in by.iter().enumerate() {
        if matches!(o, Origin::Same | Origin::Over) {
            kept[n] = of(n);
        }
    }
    kept
}

/// What is kept beside the lanes of a zone: connections, and lanes that are gone.
const OTHERS: usize = 2;

/// The account of one agent. What it keeps follows zones x lanes x builds alive, never customers or keys.
#[derive(Debug)]
pub struct Account {
    own: usize,
    lanes: usize,
    zones: usize,
    /// By zone and lane, the last two of each zone for connections and for lanes that are gone.
    links: Vec<Option<Box<Lane>>>,
    taken: Vec<u64>,
    taken_gone: u64,
    near: Vec<Option<f64>>, // the usual time of a near answer, in seconds
}

impl Account {
    /// For an agent in zone `own` of so many zones with names.
    pub fn new(own: usize, zones: usize, lanes: usize) -> Account {
        let links = (0..(zones + 1) * (lanes + OTHERS)).map(|_| None).collect();
        Account {
            own,
            lanes,
            zones,
            links,
            taken: vec![0; lanes],
            taken_gone: 0,
            near: vec![None; lanes],
        }
    }

    /// Goes on with other lanes, numbered as `by` says. What was counted of a lane whose number is another's now, or
    /// nobody's any more, goes to those that are gone.
    pub fn renew(&mut self, by: &[Origin]) {
        let width = self.lanes + OTHERS;
        let mut old = std::mem::take(&mut self.links).into_iter();
        for _ in 0..=self.zones {
            let mut of: Vec<Option<Box<Lane>>> = old.by_ref().take(width).collect();
            let (gone, connections) = (of.pop().flatten(), of.pop().flatten());
            self.links.extend(carried(by, &mut of));
            let gone = of
                .into_iter()
                .flatten()
                .fold(gone, |gone, lane| match gone {
                    Some(mut all) => {
                        all.merge(*lane);
                        Some(all)
                    }
                    None => Some(lane),
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
        self.lanes = by.len();
    }

    pub fn taken(&mut self, lane: usize) {
        if let Some(n) = self.taken.get_mut(lane) {
            *n += 1;
        }
    }

    /// The number that stands for connections in the place of a lane.
    pub fn connections(&self) -> u16 {
        self.lanes as u16
    }

    fn place(&self, to: usize, lane: usize) -> usize {
        to.min(self.zones) * (self.lanes + OTHERS) + lane.min(self.lanes + 1)
    }

    fn lane(&mut self, to: usize, lane: usize) -> &mut Lane {
        let place = self.place(to, lane);
        self.links[place].get_or_insert_with(|| Box::new(Lane::new()))
    }

    /// A delivery was decided on.
    pub fn decided(&mut self, to: usize, lane: usize, build: u32, nth: usize, second_copy: bool) {
        let tally = &mut self.lane(to, lane).row(build).tally;
        tally.decided += 1;
        tally.second_copies += u64::from(second_copy);
        tally.further += u64::from(nth > 0 && !second_copy);
    }

    /// It ended; `over` says why where it went over a budget, `cost` what it cost by its link's price.
    pub fn ended(&mut self, now: Duration, t: &Ticket, e: &Ended, cost: f64) {
        let (own, took) = (self.own, e.took.as_secs_f64());
        let usual = self.usual_near(t.lane);
        let satisfied = e.outcome == Outcome::Satisfied;
        if let (true, Some(near)) = (satisfied && t.to == own, self.near.get_mut(t.lane)) {
            *near = Some(near.map_or(took, |n| n + (took - n) * FOLLOW));
        }
        let lane = self.lane(t.to, t.lane);
        if satisfied {
            let micros = (e.took.as_micros() as u64).clamp(LEAST_MICROS, MOST_MICROS);
            if lane.delays.is_none() {
                // Two digits between these bounds are 10 KB, and bounds that the library always takes.
                lane.delays = Histogram::new_with_bounds(LEAST_MICROS, MOST_MICROS, 2).ok();
            }
            lane.delays
                .iter_mut()
                .for_each(|h| h.saturating_record(micros));
        }
        let row = lane.row(t.build);
        row.tally.ended[place(e.outcome)] += 1;
        row.tally.written += u64::from(e.written);
        row.tally.spoilt += u64::from(e.flaw == Flaw::Spoilt);
        row.tally.half += u64::from(e.flaw == Flaw::Half);
        if let Some(reason) = t.over {
            row.tally.over[reason as usize] += 1;
        }
        row.tally.out += e.out;
        row.tally.back += e.back;
        row.tally.cost += cost;
        if let (true, Some(usual)) = (satisfied && t.to != own, usual) {
            row.tally.added += took - usual;
            row.tally.compared += 1;
        }
        let add = |bin: &mut Bin| {
            bin.deliveries += u32::from(e.written);
            bin.over += u32::from(t.over.is_some());
            bin.cost += cost as f32;
            bin.out += e.out;
            bin.back += e.back;
        };
        add(row.recent.bin(now));
        add(lane.day.bin(now));
    }

    /// A connection was opened, or ended while nothing was out on it.
    pub fn opened(&mut self, now: Duration, o: &Opening, cost: f64) {
        let connections = self.lanes;
        let lane = self.lane(o.to, connections);
        let row = lane.row(o.build);
        row.tally.opened += u64::from(o.took.is_some());
        row.tally.out += o.out;
        row.tally.back += o.back;
        row.tally.cost += cost;
        let add = |bin: &mut Bin| {
            (bin.out, bin.back, bin.cost) =
                (bin.out + o.out, bin.back + o.back, bin.cost + cost as f32);
        };
        add(row.recent.bin(now));
        add(lane.day.bin(now));
    }

    /// Only these builds are alive: what the others' rows count goes into one of build 0.
    pub fn alive(&mut self, builds: &BTreeSet<u32>) {
        for lane in self.links.iter_mut().flatten() {
            let gone = |(build, _): &mut (u32, Row)| *build != 0 && !builds.contains(build);
            let old: Vec<(u32, Row)> = lane.rows.extract_if(.., gone).collect();
            for (_, old) in old {
                let row = lane.row(0);
                row.tally.add(&old.tally);
                row.recent.merge(&old.recent);
            }
        }
    }

    /// All rows, by zone, lane and build.
    pub fn rows(&self) -> impl Iterator<Item = (Key, &Row)> {
        self.from(0).flat_map(|(to, lane, l)| {
            l.rows.iter().map(move |(b, r)| {
                (
                    Key {
                        to,
                        lane,
                        build: *b,
                    },
                    r,
                )
            })
        })
    }

    /// What is kept by link and lane, from a place on.
    fn from(&self, place: usize) -> impl Iterator<Item = (u16, u16, &Lane)> {
        let width = self.lanes + OTHERS;
        let there = self.links.iter().enumerate().skip(place);
        there
            .filter_map(move |(n, l)| Some(((n / width) as u16, (n % width) as u16, l.as_deref()?)))
    }

    /// The row at or after `from`, so that a reader may go through all while the account goes on.
    pub fn next_row(&self, from: Key) -> Option<(Key, &Row)> {
        let place = self.place(usize::from(from.to), usize::from(from.lane));
        if usize::from(from.to) > self.zones {
            return None;
        }
        self.from(place).find_map(|(to, lane, l)| {
            let least = if (to, lane) == (from.to, from.lane) {
                from.build
            } else {
                0
            };
            let (build, row) = l.rows.iter().find(|(b, _)| *b >= least)?;
            Some((
                Key {
                    to,
                    lane,
                    build: *build,
                },
                row,
            ))
        })
    }

    /// The day's series at or after this link and lane.
    pub fn next_day(&self, (to, lane): (u16, u16)) -> Option<((u16, u16), &Series)> {
        if usize::from(to) > self.zones {
            return None;
        }
        let place = usize::from(to) * (self.lanes + OTHERS) + usize::from(lane);
        self.from(place)
            .next()
            .map(|(to, lane, l)| ((to, lane), &l.day))
    }

    /// Times of satisfied answers over a link, by lane, in microseconds.
    pub fn delay(&self, to: u16, lane: u16) -> Option<&Histogram<u32>> {
        self.links[self.place(usize::from(to), usize::from(lane))]
            .as_ref()?
            .delays
            .as_ref()
    }

    /// Commands taken, by lane.
    pub fn taken_by_lane(&self) -> &[u64] {
        &self.taken
    }

    /// Commands taken of lanes that are gone.
    pub fn taken_gone(&self) -> u64 {
        self.taken_gone
    }

    /// The usual time of a near answer of this lane, in seconds.
    pub fn usual_near(&self, lane: usize) -> Option<f64> {
        self.near.get(lane).copied().flatten()
    }
}
