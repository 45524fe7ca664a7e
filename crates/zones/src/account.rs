//! What crossed: by link, lane and build, in total and over time.

use crate::route::Reason;
use crate::series::Series;
use hdrhistogram::Histogram;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tulipwall::Outcome;

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
    /// The number after the last lane stands for connections: what opening and keeping them took.
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
        let Tally { decided, written, ended, spoilt, half, second_copies, further, over, opened, .. } = o;
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

/// The account of one agent. What it keeps follows zones x lanes x builds alive, never customers or keys.
#[derive(Debug)]
pub struct Account {
    own: usize,
    lanes: usize,
    rows: BTreeMap<Key, Row>,
    /// Minute bins of the last day, by link and lane.
    days: BTreeMap<(u16, u16), Series>,
    delays: BTreeMap<(u16, u16), Histogram<u32>>,
    taken: Vec<u64>,
    near: Vec<Option<f64>>, // the usual time of a near answer, in seconds
}

impl Account {
    pub fn new(own: usize, lanes: usize) -> Account {
        Account {
            own,
            lanes,
            rows: BTreeMap::new(),
            days: BTreeMap::new(),
            delays: BTreeMap::new(),
            taken: vec![0; lanes],
            near: vec![None; lanes],
        }
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

    fn key(&self, to: usize, lane: usize, build: u32) -> Key {
        Key { to: to as u16, lane: lane.min(self.lanes) as u16, build }
    }

    fn row(&mut self, key: Key) -> &mut Row {
        let new = || Row { tally: Tally::default(), recent: Series::new(RECENT.0, RECENT.1) };
        self.rows.entry(key).or_insert_with(new)
    }

    /// A delivery was decided on.
    pub fn decided(&mut self, to: usize, lane: usize, build: u32, nth: usize, second_copy: bool) {
        let key = self.key(to, lane, build);
        let tally = &mut self.row(key).tally;
        tally.decided += 1;
        tally.second_copies += u64::from(second_copy);
        tally.further += u64::from(nth > 0 && !second_copy);
    }

    /// It ended; `cost` is what it cost by its link's price, `way` what that link is known to add.
    #[allow(clippy::too_many_arguments)] // one delivery, its end and what it is set against
    pub fn ended(
        &mut self,
        now: Duration,
        to: usize,
        lane: usize,
        build: u32,
        over: Option<Reason>,
        e: &Ended,
        cost: f64,
    ) {
        let (key, own) = (self.key(to, lane, build), self.own);
        let took = e.took.as_secs_f64();
        let usual = self.near.get(lane).copied().flatten();
        if e.outcome == Outcome::Satisfied {
            let micros = (e.took.as_micros() as u64).clamp(LEAST_MICROS, MOST_MICROS);
            self.record(key, micros);
            if to == own {
                if let Some(near) = self.near.get_mut(lane) {
                    *near = Some(near.map_or(took, |n| n + (took - n) * FOLLOW));
                }
            }
        }
        let row = self.row(key);
        row.tally.ended[place(e.outcome)] += 1;
        row.tally.written += u64::from(e.written);
        row.tally.spoilt += u64::from(e.flaw == Flaw::Spoilt);
        row.tally.half += u64::from(e.flaw == Flaw::Half);
        if let Some(reason) = over {
            row.tally.over[reason as usize] += 1;
        }
        row.tally.out += e.out;
        row.tally.back += e.back;
        row.tally.cost += cost;
        if let (true, Some(usual)) = (e.outcome == Outcome::Satisfied && to != own, usual) {
            row.tally.added += took - usual;
            row.tally.compared += 1;
        }
        let (deliveries, over) = (u32::from(e.written), u32::from(over.is_some()));
        let day = self.days.entry((key.to, key.lane)).or_insert_with(|| Series::new(DAY.0, DAY.1));
        let row = self.rows.get_mut(&key).map(|r| &mut r.recent);
        for series in row.into_iter().chain([day]) {
            let bin = series.bin(now);
            bin.deliveries += deliveries;
            bin.over += over;
            bin.cost += cost as f32;
            bin.out += e.out;
            bin.back += e.back;
        }
    }

    fn record(&mut self, key: Key, micros: u64) {
        let at = (key.to, key.lane);
        // Two digits between these bounds are 10 KB, and bounds that the library always takes.
        let new = || Histogram::new_with_bounds(LEAST_MICROS, MOST_MICROS, 2);
        match self.delays.entry(at) {
            Entry::Occupied(mut h) => h.get_mut().saturating_record(micros),
            Entry::Vacant(empty) => {
                let Ok(mut h) = new() else { return };
                h.saturating_record(micros);
                empty.insert(h);
            }
        }
    }

    /// A connection was opened, or ended while nothing was out on it.
    pub fn opened(&mut self, now: Duration, o: &Opening, cost: f64) {
        let key = self.key(o.to, self.lanes, o.build);
        let day = self.days.entry((key.to, key.lane)).or_insert_with(|| Series::new(DAY.0, DAY.1));
        let bin = day.bin(now);
        (bin.out, bin.back, bin.cost) = (bin.out + o.out, bin.back + o.back, bin.cost + cost as f32);
        let row = self.row(key);
        row.tally.opened += u64::from(o.took.is_some());
        row.tally.out += o.out;
        row.tally.back += o.back;
        row.tally.cost += cost;
        let bin = row.recent.bin(now);
        (bin.out, bin.back, bin.cost) = (bin.out + o.out, bin.back + o.back, bin.cost + cost as f32);
    }

    /// Only these builds are alive: what the others' rows count goes into one of build 0.
    pub fn alive(&mut self, builds: &BTreeSet<u32>) {
        let gone: Vec<Key> =
            self.rows.keys().filter(|k| k.build != 0 && !builds.contains(&k.build)).copied().collect();
        for key in gone {
            let Some(old) = self.rows.remove(&key) else { continue };
            let row = self.row(Key { build: 0, ..key });
            row.tally.add(&old.tally);
            row.recent.merge(&old.recent);
        }
    }

    pub fn rows(&self) -> impl Iterator<Item = (&Key, &Row)> {
        self.rows.iter()
    }

    /// The row at or after `from`, so that a reader may go through all while the account goes on.
    pub fn next_row(&self, from: Key) -> Option<(Key, &Row)> {
        self.rows.range(from..).next().map(|(k, r)| (*k, r))
    }

    pub fn days(&self) -> impl Iterator<Item = (&(u16, u16), &Series)> {
        self.days.iter()
    }

    pub fn next_day(&self, from: (u16, u16)) -> Option<((u16, u16), &Series)> {
        self.days.range(from..).next().map(|(k, s)| (*k, s))
    }

    /// Times of satisfied answers over a link, by lane, in microseconds.
    pub fn delay(&self, to: u16, lane: u16) -> Option<&Histogram<u32>> {
        self.delays.get(&(to, lane))
    }

    /// Commands taken, by lane.
    pub fn taken_by_lane(&self) -> &[u64] {
        &self.taken
    }

    /// The usual time of a near answer of this lane, in seconds.
    pub fn usual_near(&self, lane: usize) -> Option<f64> {
        self.near.get(lane).copied().flatten()
    }
}
