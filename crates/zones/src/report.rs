//! The account as it is handed out: lines of JSON, one for the head, one for each row, one for each
//! series. Lines of several agents are merged into one document.

use crate::account::{Key, Row};
use crate::route::Reason;
use crate::series::Series;
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
pub struct Names {
    pub agent: String,
    pub zones: Vec<String>,
    pub classes: Vec<String>,
}

impl Names {
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
pub enum Line {
    Head(Head),
    Link(LinkLine),
    Delay(DelayLine),
    Series(SeriesLine),
    End,
}

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Head {
    pub version: u32,
    pub agent: String,
    pub zone: String,
    /// Unix time, in seconds, and how long the account has run.
    pub at_s: f64,
    pub since_s: f64,
    /// Requests taken, by class.
    pub taken: BTreeMap<String, u64>,
    pub budgets: Vec<BudgetLine>,
    /// By zone: what an endpoint there draws against a near one, and how often routing turned
    /// towards it.
    pub draws: BTreeMap<String, f64>,
    pub turns: BTreeMap<String, u64>,
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
    pub part: f64,
    pub used: f64,
    pub total: f64,
    /// Attempts over it since the start, by reason.
    pub over: BTreeMap<String, u64>,
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
    pub ended: BTreeMap<String, u64>,
    pub never_ran: u64,
    pub spoilt: u64,
    pub half: u64,
    #[serde(rename = "second_copies")]
    pub hedging: u64,
    pub further: u64,
    pub over: BTreeMap<String, u64>,
    pub opened: u64,
    pub bytes_out: u64,
    pub bytes_in: u64,
    /// Milliseconds that crossing added to an answer, in the mean, and over how many answers.
    pub added_ms: f64,
    pub compared: u64,
    pub cost: f64,
}

/// Times of satisfied answers of one class on one link, over all builds.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct DelayLine {
    pub from: String,
    pub to: String,
    #[serde(rename = "lane")]
    pub class: String,
    /// Microseconds, and how many answers took that long.
    pub delays_us: Vec<(u64, u64)>,
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
    /// Unix time of the beginning in seconds, attempts, those over a budget, bytes out and in,
    /// cost.
    pub bins: Vec<(f64, u64, u64, u64, u64, f64)>,
}

/// Where a reader stands: the head comes first, then each row, then each day's series, then the
/// end.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Place {
    #[default]
    Head,
    Row(u16, u16, u32),
    Day(u16, u16),
    End,
    Over,
}

/// A wall clock for what the account counts from its own zero.
#[derive(Clone, Copy, Debug)]
pub struct Wall {
    pub now: Duration,
    pub unix: Duration,
    pub since: Duration,
}

impl Wall {
    fn unix_of(&self, at: Duration) -> f64 {
        (self.unix.as_secs_f64() + at.as_secs_f64() - self.now.as_secs_f64()).max(0.0)
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
    pub fn lines(&self, names: &Names, wall: Wall, place: Place) -> (Vec<Line>, Place) {
        let own = self.zoning().own;
        match place {
            Place::Head => (
                vec![Line::Head(self.head(names, wall))],
                Place::Row(0, 0, 0),
            ),
            Place::Row(to, class, build) => {
                let Some((key, row)) = self.account().next_row(Key { to, class, build }) else {
                    return (Vec::new(), Place::Day(0, 0));
                };
                let next = match key.build.checked_add(1) {
                    Some(build) => Place::Row(key.to, key.class, build),
                    None => Place::Row(key.to, key.class + 1, 0),
                };
                (self.row(names, wall, own, key, row), next)
            }
            Place::Day(to, class) => {
                let Some(((to, class), series)) = self.account().next_day((to, class)) else {
                    return (Vec::new(), Place::End);
                };
                let line = series_line(
                    names,
                    wall,
                    own,
                    Key {
                        to,
                        class,
                        build: 0,
                    },
                    None,
                    series,
                );
                let pairs = |h: &Histogram<u32>| {
                    h.iter_recorded()
                        .map(|v| (v.value_iterated_to(), u64::from(v.count_at_value())))
                        .collect()
                };
                let delay = |h| {
                    Line::Delay(DelayLine {
                        from: names.zone(own).to_owned(),
                        to: names.zone(usize::from(to)).to_owned(),
                        class: names.class(usize::from(class)).to_owned(),
                        delays_us: pairs(h),
                    })
                };
                let delays = self.account().delay(to, class).map(delay);
                (
                    delays.into_iter().chain([line]).collect(),
                    Place::Day(to, class + 1),
                )
            }
            Place::End => (vec![Line::End], Place::Over),
            Place::Over => (Vec::new(), Place::Over),
        }
    }

    fn head(&self, names: &Names, wall: Wall) -> Head {
        let zoning = self.zoning();
        let others = || (0..zoning.all()).filter(|z| *z != zoning.own);
        let budget = |p: &crate::Purse| BudgetLine {
            name: p.budget.name.clone(),
            to: p.budget.to.map(|z| names.zone(z).to_owned()),
            class: p.budget.class.map(|l| names.class(l).to_owned()),
            unit: p.budget.limit.unit().to_owned(),
            window_s: p.budget.window.as_secs_f64(),
            limit: p.budget.limit.amount(),
            part: p.limit(),
            used: p.used(),
            total: p.total(),
            over: counted(Reason::ALL.into_iter().map(|r| (r.word(), p.over_for(r)))),
        };
        // A class under other rules of repeats has two numbers for a while.
        let mut taken = BTreeMap::new();
        for (class, n) in self.account().taken_by_class().iter().enumerate() {
            *taken.entry(names.class(class).to_owned()).or_default() += n;
        }
        let gone = Some(self.account().taken_gone()).filter(|n| *n > 0);
        taken.extend(gone.map(|n| ("(gone)".to_owned(), n)));
        Head {
            version: VERSION,
            agent: names.agent.clone(),
            zone: names.zone(zoning.own).to_owned(),
            at_s: wall.unix.as_secs_f64(),
            since_s: wall.now.saturating_sub(wall.since).as_secs_f64(),
            taken,
            budgets: self.purses().purses().iter().map(budget).collect(),
            draws: others()
                .filter_map(|z| Some((names.zone(z).to_owned(), self.route().draw(z)?)))
                .collect(),
            turns: others()
                .map(|z| (names.zone(z).to_owned(), self.route().turns(z)))
                .collect(),
        }
    }

    fn row(&self, names: &Names, wall: Wall, own: usize, key: Key, row: &Row) -> Vec<Line> {
        let t = &row.tally;
        let line = LinkLine {
            from: names.zone(own).to_owned(),
            to: names.zone(usize::from(key.to)).to_owned(),
            class: names.class(usize::from(key.class)).to_owned(),
            build: key.build,
            decided: t.decided,
            attempts: t.written,
            ended: counted(
                OUTCOMES
                    .iter()
                    .zip(t.ended)
                    .map(|(o, n)| (outcome_word(*o), n)),
            ),
            never_ran: t.never_ran(),
            spoilt: t.spoilt,
            half: t.half,
            hedging: t.hedging,
            further: t.further,
            over: counted(
                Reason::ALL
                    .into_iter()
                    .map(|r| (r.word(), t.over[r as usize])),
            ),
            opened: t.opened,
            bytes_out: t.out,
            bytes_in: t.back,
            added_ms: if t.compared > 0 {
                t.added / t.compared as f64 * 1000.0
            } else {
                0.0
            },
            compared: t.compared,
            cost: t.cost,
        };
        vec![
            Line::Link(line),
            series_line(names, wall, own, key, Some(key.build), &row.recent),
        ]
    }
}

fn series_line(
    names: &Names,
    wall: Wall,
    own: usize,
    key: Key,
    build: Option<u32>,
    series: &Series,
) -> Line {
    let width = series.width();
    let bin = |b: &crate::Bin| {
        let at = wall.unix_of(width * b.at);
        (
            at,
            u64::from(b.attempts),
            u64::from(b.over),
            b.out,
            b.back,
            f64::from(b.cost),
        )
    };
    Line::Series(SeriesLine {
        from: names.zone(own).to_owned(),
        to: names.zone(usize::from(key.to)).to_owned(),
        class: names.class(usize::from(key.class)).to_owned(),
        build,
        width_s: width.as_secs_f64(),
        bins: series.bins().map(bin).collect(),
    })
}

/// A whole report, of one agent or of several.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct Document {
    pub heads: Vec<Head>,
    pub links: Vec<LinkLine>,
    pub delays: Vec<DelayLine>,
    pub series: Vec<SeriesLine>,
    #[serde(skip)]
    whole: bool,
}

impl Document {
    /// Takes in one line; what is wrong with it otherwise.
    pub fn take(&mut self, line: Line) -> Result<(), String> {
        match line {
            Line::Head(h) if h.version != VERSION => {
                return Err(format!(
                    "version {}: this program reads version {VERSION}",
                    h.version
                ));
            }
            Line::Head(h) => self.heads.push(h),
            Line::Link(l) => self.links.push(l),
            Line::Delay(d) => self.delays.push(d),
            Line::Series(s) => self.series.push(s),
            Line::End => self.whole = true,
        }
        Ok(())
    }

    /// Its last line has come.
    pub fn is_whole(&self) -> bool {
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
                    let mut all: BTreeMap<u64, u64> = kept.delays_us.iter().copied().collect();
                    d.delays_us
                        .into_iter()
                        .for_each(|(value, n)| *all.entry(value).or_default() += n);
                    kept.delays_us = all.into_iter().collect();
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
    pub fn quantile_ms(&self, l: &LinkLine, part: f64) -> Option<f64> {
        let line = self
            .delays
            .iter()
            .find(|d| (&d.from, &d.to, &d.class) == (&l.from, &l.to, &l.class))?;
        let mut h = Histogram::<u64>::new_with_bounds(16, 120_000_000, 2).ok()?;
        line.delays_us
            .iter()
            .for_each(|(value, n)| h.saturating_record_n(*value, *n));
        (!h.is_empty()).then(|| h.value_at_quantile(part) as f64 / 1000.0)
    }
}

impl LinkLine {
    pub fn over_all(&self) -> u64 {
        self.over.values().sum()
    }

    fn merge(&mut self, o: LinkLine) {
        let sum = |a: &mut BTreeMap<String, u64>, b: BTreeMap<String, u64>| {
            b.into_iter()
                .for_each(|(k, n)| *a.entry(k).or_default() += n);
        };
        let compared = self.compared + o.compared;
        if compared > 0 {
            let both = self.added_ms * self.compared as f64 + o.added_ms * o.compared as f64;
            self.added_ms = both / compared as f64;
        }
        self.compared = compared;
        self.decided += o.decided;
        self.attempts += o.attempts;
        sum(&mut self.ended, o.ended);
        self.never_ran += o.never_ran;
        self.spoilt += o.spoilt;
        self.half += o.half;
        self.hedging += o.hedging;
        self.further += o.further;
        sum(&mut self.over, o.over);
        self.opened += o.opened;
        self.bytes_out += o.bytes_out;
        self.bytes_in += o.bytes_in;
        self.cost += o.cost;
    }
}

impl SeriesLine {
    fn merge(&mut self, o: SeriesLine) {
        // Two clocks: bins are brought together by the nearest whole one.
        let place = |at: f64| (at / self.width_s.max(1e-3)).round() as u64;
        let mut bins: BTreeMap<u64, (f64, u64, u64, u64, u64, f64)> = BTreeMap::new();
        for b in self.bins.iter().chain(&o.bins) {
            let kept = bins.entry(place(b.0)).or_insert((b.0, 0, 0, 0, 0, 0.0));
            kept.1 += b.1;
            kept.2 += b.2;
            kept.3 += b.3;
            kept.4 += b.4;
            kept.5 += b.5;
        }
        self.bins = bins.into_values().collect();
    }
}
