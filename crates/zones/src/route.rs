//! How much crosses: near first while near has room, more by degrees as it fills, and back by
//! degrees.
//!
//! Two things say that near is full. *What it was seen to bear*: near is given up to [`TRUSTED`]
//! times the highest rate per open endpoint that it answered at its usual pace in the last minutes;
//! what comes beyond goes over at once, so that losing half of near does not have to be felt first.
//! And *its answers*: once they are slower than the far side's, way included, by [`FULL`], more
//! crosses with each step; once they are quicker again ([`EASED`]), less. Rising is never delayed.
//! Falling waits for a calm span, which doubles each time the direction turns and halves while it
//! does not: near that flaps cannot make requests swing with it.

use crate::account::carried;
use crate::zoning::{ClassProfile, RoutingPolicy};
use std::time::Duration;
use tulipwall::{IndexOrigin, ZoneCapacity};

/// A near answer is this much slower than a far one, its way included: near is full.
const FULL: f64 = 1.25;
/// It is not slower than this: near has room again.
const EASED: f64 = 1.02;
/// Of the highest rate that near was seen to bear.
const TRUSTED: f64 = 1.25;
/// Its usual pace: no slower than this against its best of late, which for a mean of long-tailed
/// times lies low.
const AT_EASE: f64 = 1.8;
/// How fast the rate that it was seen to bear is forgotten: by half in five minutes of steps.
const BORNE_FADE: f64 = 0.99977;
/// How fast the number of its open endpoints of late falls to what it is: by half in a second and a
/// half.
const OPEN_FADE: f64 = 0.955;
/// Each step that near is full: the part that crosses grows by half, by this at least.
const RISE: f64 = 1.5;
const RISE_LEAST: f64 = 0.02;
/// Each step after the calm span: by half in about two seconds.
const FALL: f64 = 0.965;
/// What crosses at least, so that the way stays known: a hundredth.
const TRICKLE: f64 = 0.01;
const CALM_LEAST: Duration = Duration::from_secs(1);
const CALM_MOST: Duration = Duration::from_secs(16);
/// Without a turn for as long, the calm span is halved.
const CALM_HALVES: Duration = Duration::from_secs(20);
/// Steps are this far apart; one that comes later counts once.
pub const STEP: Duration = Duration::from_millis(100);
/// How fast the mean time of answers follows, each.
const TIME_GAIN: f64 = 0.05;
/// How fast the usual time of a class follows.
const USUAL_GAIN: f64 = 0.005;
/// A mean without an answer for as long says nothing.
const TIME_KEPT: Duration = Duration::from_secs(10);
/// Of the latency objective: a near answer that takes as long is near to being late, so that the
/// budget yields. The decisions begin to deny at 0.4. Back below seven tenths of it.
const YIELDS: (f64, f64) = (0.15, 0.3);
const YIELDS_OVER_LEAST: f64 = 1.5;
const YIELDS_UNTIL: f64 = 0.7;
/// How fast the number of warm endpoints of late falls to what it is: by half in five seconds.
const WARM_FADE: f64 = 0.986;
const COLD_LEAST: f64 = 0.2;

/// Why a request crossed though a budget was spent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverBudgetReason {
    /// The build on trial must be judged, and its cap bounds what that takes.
    Canary,
    /// It is deduplicated in a group that lies there, where it may have run.
    DeduplicationScope,
    /// No endpoint is near.
    NoLocalEndpoint,
    /// All near ones drain.
    LocalDraining,
    /// All near ones are set aside or silent.
    LocalUnavailable,
    /// All near ones that answer are cold and had their part.
    LocalWarmingUp,
    /// Near answers would come too late.
    LocalSaturated,
    /// Each near one that could take it has failed it.
    LocalAlreadyTried,
    /// The cap of a build on trial, or the builds that a key is bound to, left nothing near.
    LocalExcluded,
}

impl OverBudgetReason {
    pub const ALL: [OverBudgetReason; 9] = [
        OverBudgetReason::Canary,
        OverBudgetReason::DeduplicationScope,
        OverBudgetReason::NoLocalEndpoint,
        OverBudgetReason::LocalDraining,
        OverBudgetReason::LocalUnavailable,
        OverBudgetReason::LocalWarmingUp,
        OverBudgetReason::LocalSaturated,
        OverBudgetReason::LocalAlreadyTried,
        OverBudgetReason::LocalExcluded,
    ];

    /// As reports write it.
    pub fn as_str(self) -> &'static str {
        match self {
            OverBudgetReason::Canary => "trial",
            OverBudgetReason::DeduplicationScope => "group",
            OverBudgetReason::NoLocalEndpoint => "no_near",
            OverBudgetReason::LocalDraining => "drained",
            OverBudgetReason::LocalUnavailable => "aside",
            OverBudgetReason::LocalWarmingUp => "cold",
            OverBudgetReason::LocalSaturated => "full",
            OverBudgetReason::LocalAlreadyTried => "tried",
            OverBudgetReason::LocalExcluded => "barred",
        }
    }

    /// Why an attempt that is neither to a trial nor bound to a group went over from this zone.
    pub fn for_capacity(near: &ZoneCapacity, full: bool, nth: usize) -> OverBudgetReason {
        match near {
            ZoneCapacity {
                running: 0,
                draining: 0,
                ..
            } => OverBudgetReason::NoLocalEndpoint,
            ZoneCapacity { running: 0, .. } => OverBudgetReason::LocalDraining,
            ZoneCapacity { responsive: 0, .. } => OverBudgetReason::LocalUnavailable,
            ZoneCapacity { warm: 0, .. } => OverBudgetReason::LocalWarmingUp,
            _ if full => OverBudgetReason::LocalSaturated,
            _ if nth > 0 => OverBudgetReason::LocalAlreadyTried,
            _ => OverBudgetReason::LocalExcluded,
        }
    }
}

/// What is known of one zone.
#[derive(Clone, Debug, Default)]
struct Side {
    /// Mean answer times by class, in seconds, and when the last answer came.
    times: Vec<Option<(f64, Duration)>>,
    sent: f64,            // since the last step
    rate: f64,            // attempts a second
    open: f64,            // endpoints of late: what was borne was borne by these
    borne: f64,           // per open endpoint, at its usual pace
    opening: Option<f64>, // seconds to a new connection, the least of late
    draw: f64,
    /// Part of what is wanted to cross by the answers.
    felt: f64,
    since: Duration, // of the last turn
    rising: bool,
    calm: Duration,
    calmed: Duration,
    turns: u64,
}

/// The usual time of one class, and of its near answers.
#[derive(Clone, Debug, Default)]
struct Pace {
    usual: Option<f64>,
    near: Option<f64>,
    least: f64,
    full: bool,
}

/// The routing of one agent.
#[derive(Clone, Debug)]
pub struct ZoneRouter {
    own: usize,
    routing: RoutingPolicy,
    latency_objective: Vec<f64>,
    stated: Vec<Option<Duration>>,
    classes: Vec<Pace>,
    sides: Vec<Side>,
    warm: f64, // endpoints of late
    cold: f64,
    stepped: Option<Duration>,
}

impl ZoneRouter {
    /// `stated`: what the way to each zone adds to an answer, where the installation says so.
    pub fn new(
        own: usize,
        routing: RoutingPolicy,
        classes: &[ClassProfile],
        stated: Vec<Option<Duration>>,
    ) -> ZoneRouter {
        ZoneRouter {
            own,
            routing,
            latency_objective: classes
                .iter()
                .map(|l| l.latency_objective.as_secs_f64())
                .collect(),
            classes: vec![Pace::default(); classes.len()],
            sides: vec![
                Side {
                    times: vec![None; classes.len()],
                    calm: CALM_LEAST,
                    draw: 1.0,
                    ..Side::default()
                };
                stated.len()
            ],
            stated,
            warm: 0.0,
            cold: 1.0,
            stepped: None,
        }
    }

    /// What was read anew, with classes numbered as `by` says; what was learned stays.
    pub fn reload(
        &mut self,
        routing: RoutingPolicy,
        classes: &[ClassProfile],
        stated: Vec<Option<Duration>>,
        by: &[IndexOrigin],
    ) {
        (self.routing, self.stated) = (routing, stated);
        self.latency_objective = classes
            .iter()
            .map(|l| l.latency_objective.as_secs_f64())
            .collect();
        let mut paces: Vec<Option<Pace>> = std::mem::take(&mut self.classes)
            .into_iter()
            .map(Some)
            .collect();
        self.classes = carried(by, &mut paces)
            .into_iter()
            .map(Option::unwrap_or_default)
            .collect();
        for side in &mut self.sides {
            side.times = carried(by, &mut side.times);
        }
    }

    /// An attempt went to this zone.
    pub fn on_attempt(&mut self, zone: usize) {
        self.sides
            .get_mut(zone)
            .into_iter()
            .for_each(|s| s.sent += 1.0);
    }

    /// A satisfied answer from this zone took so long.
    pub fn on_response(&mut self, now: Duration, zone: usize, class: usize, took: Duration) {
        let (Some(pace), Some(side)) = (self.classes.get_mut(class), self.sides.get_mut(zone))
        else {
            return;
        };
        let took = took.as_secs_f64().max(1e-6);
        let usual = pace.usual.get_or_insert(took);
        *usual += (took.min(*usual * 10.0) - *usual) * USUAL_GAIN;
        let kept = side.times[class]
            .filter(|(_, at)| now < *at + TIME_KEPT)
            .map_or(took, |(t, _)| t);
        let mean = kept + (took - kept) * TIME_GAIN;
        side.times[class] = Some((mean, now));
        if zone == self.own {
            pace.near = Some(mean);
            pace.least = if pace.least == 0.0 {
                mean
            } else {
                (pace.least * 1.0002).min(mean)
            };
        }
    }

    /// A connection to this zone was ready after so long.
    pub fn on_connection(&mut self, zone: usize, took: Duration) {
        let Some(side) = self.sides.get_mut(zone) else {
            return;
        };
        let took = took.as_secs_f64();
        side.opening = Some(side.opening.map_or(took, |least| (least * 1.02).min(took)));
    }

    /// What the way there and back adds to an answer: as stated, else what new connections there
    /// took longer than near ones. Zero while neither is known.
    pub fn added_latency(&self, zone: usize) -> Duration {
        if zone == self.own {
            return Duration::ZERO;
        }
        if let Some(stated) = self.stated.get(zone).copied().flatten() {
            return stated;
        }
        let opening = |zone: usize| self.sides.get(zone).and_then(|s| s.opening);
        let added = opening(zone)
            .zip(opening(self.own))
            .map_or(0.0, |(far, near)| (far - near).max(0.0));
        Duration::from_secs_f64(added.min(60.0))
    }

    /// Looks at how much should cross from now on; about every `STEP`. After a stall it counts
    /// once.
    pub fn tick(&mut self, now: Duration, zone_capacities: &[ZoneCapacity]) {
        let span = self.stepped.map_or(STEP, |t| now.saturating_sub(t));
        if span < STEP / 2 {
            return;
        }
        self.stepped = Some(now);
        for side in &mut self.sides {
            side.rate += (side.sent / span.as_secs_f64() - side.rate) * 0.2;
            side.sent = 0.0;
            side.times
                .iter_mut()
                .for_each(|t| *t = t.filter(|(_, at)| now < *at + TIME_KEPT));
        }
        self.yields();
        let warm: f64 = zone_capacities.iter().map(|r| r.warm as f64).sum();
        self.warm = (self.warm * WARM_FADE).max(warm);
        // Warm ones that take over from others carry more than they were made for; cold ones must
        // not follow.
        self.cold = if self.warm > 0.0 {
            (warm / self.warm).clamp(COLD_LEAST, 1.0)
        } else {
            1.0
        };
        let near = zone_capacities.get(self.own).map_or(0.0, |r| r.capacity);
        let all: f64 = self.sides.iter().map(|s| s.rate).sum();
        let ease = self.ease();
        let Some(side) = self.sides.get_mut(self.own) else {
            return;
        };
        side.borne *= BORNE_FADE;
        side.open = (side.open * OPEN_FADE).max(near);
        if near > 0.0 && ease <= AT_EASE {
            side.borne = side.borne.max(side.rate / side.open);
        }
        let borne = side.borne;
        // What comes beyond what near was seen to bear, as a part of all.
        let beyond = if near > 0.0 && borne > 0.0 && all > 0.0 {
            (1.0 - borne * TRUSTED * near / all).clamp(0.0, 1.0)
        } else {
            0.0
        };
        let ways: Vec<f64> = (0..self.sides.len()).map(|z| self.way(z)).collect();
        let here = self.own;
        let others = (0..ways.len()).filter(move |z| *z != here);
        let open = |z: usize| zone_capacities.get(z).map_or(0.0, |r| r.capacity);
        let best = others
            .clone()
            .filter(|z| open(*z) > 0.0)
            .map(|z| ways[z])
            .fold(f64::MAX, f64::min);
        for zone in others.clone() {
            let slower = self.slower(zone);
            self.feel(now, zone, slower, near > 0.0);
        }
        // Of several far sides the quicker ones draw more, by the fourth power.
        let liking = |z: usize| (best / ways[z]).min(1.0).powi(4);
        let weight: f64 = others.clone().map(|z| open(z) * liking(z)).sum();
        for zone in others {
            let part = self.sides[zone].felt.max(beyond).min(0.98);
            let wanted = if near > 0.0 {
                part / (1.0 - part) * near / weight.max(1e-9)
            } else {
                1.0
            };
            // No far endpoint draws more than a near one: it has its own zone's load. Without this
            // bound near that flaps drove the other zone into overload (0.31 to 0.64 crossing, p99
            // 393 to 728 ms).
            self.sides[zone].draw = (liking(zone) * wanted.min(1.0)).max(1e-4);
        }
    }

    /// What answers say of how much should cross to this zone.
    fn feel(&mut self, now: Duration, zone: usize, slower: f64, near: bool) {
        let side = &mut self.sides[zone];
        if now > side.calmed + CALM_HALVES {
            (side.calm, side.calmed) = ((side.calm / 2).max(CALM_LEAST), now);
        }
        let (rise, fall) = (!near || slower > FULL, near && slower < EASED);
        if rise && !side.rising {
            let soon = now < side.since + CALM_HALVES && side.turns > 0;
            side.calm = if soon {
                (side.calm * 2).min(CALM_MOST)
            } else {
                side.calm
            };
            (side.rising, side.since, side.calmed) = (true, now, now);
            side.turns += 1;
        }
        if rise {
            side.since = now;
            side.felt = if near {
                (side.felt * RISE).max(side.felt + RISE_LEAST).min(0.98)
            } else {
                0.98
            };
        }
        if fall && now >= side.since + side.calm {
            side.rising = false;
            side.felt = (side.felt * FALL).max(TRICKLE);
        }
        side.felt = side.felt.max(TRICKLE);
    }

    /// Whether near answers of a class are so slow that a budget must yield.
    fn yields(&mut self) {
        for (class, latency_objective) in self.classes.iter_mut().zip(&self.latency_objective) {
            let Some(near) = class.near else { continue };
            let from = (class.least * YIELDS_OVER_LEAST)
                .clamp(latency_objective * YIELDS.0, latency_objective * YIELDS.1);
            class.full = near
                > if class.full {
                    from * YIELDS_UNTIL
                } else {
                    from
                };
        }
    }

    /// Near answers against their best of late, in the mean over classes.
    fn ease(&self) -> f64 {
        let of = |l: &Pace| l.near.filter(|_| l.least > 0.0).map(|near| near / l.least);
        let all: Vec<f64> = self.classes.iter().filter_map(of).collect();
        if all.is_empty() {
            1.0
        } else {
            all.iter().sum::<f64>() / all.len() as f64
        }
    }

    /// The mean time of answers from a zone; where none came of late, near's best and the way
    /// there.
    fn time(&self, zone: usize, class: usize) -> Option<f64> {
        let heard = self
            .sides
            .get(zone)
            .and_then(|s| s.times.get(class).copied().flatten())
            .map(|(t, _)| t);
        let least = self
            .classes
            .get(class)
            .map(|l| l.least)
            .filter(|t| *t > 0.0);
        heard.or(least
            .filter(|_| zone != self.own)
            .map(|t| t + self.added_latency(zone).as_secs_f64()))
    }

    /// How much slower near answers are than those from a zone, its way included: the geometric
    /// mean over the classes of which both are known. Set against each other class by class and not
    /// against a usual time that moves with them: zones are heard unequally often, and would follow
    /// it unequally fast.
    fn slower(&self, zone: usize) -> f64 {
        let of = |class| Some(self.time(self.own, class)? / self.time(zone, class)?);
        mean((0..self.classes.len()).filter_map(of))
    }

    /// How long answers from a zone take against the usual of their classes.
    fn way(&self, zone: usize) -> f64 {
        let of = |class: usize| Some(self.time(zone, class)? / self.classes[class].usual?);
        mean((0..self.classes.len()).filter_map(of))
    }

    /// What an endpoint of this zone draws against a near one, 0 to 1; `None` where the decisions'
    /// own figure holds.
    pub fn weight(&self, zone: usize) -> Option<f64> {
        let near_first = self.routing == RoutingPolicy::LocalFirst && zone != self.own;
        near_first
            .then(|| self.sides.get(zone).map(|s| s.draw))
            .flatten()
    }

    /// Near answers of this class are near to being late.
    pub fn is_saturated(&self, class: usize) -> bool {
        self.classes.get(class).is_some_and(|l| l.full)
    }

    /// What part of its share a cold endpoint gets.
    pub fn slow_start_factor(&self) -> f64 {
        self.cold
    }

    /// How often the direction to this zone has turned upwards.
    pub fn direction_changes(&self, zone: usize) -> u64 {
        self.sides.get(zone).map_or(0, |s| s.turns)
    }
}

/// The geometric mean; 1 of nothing.
fn mean(ratios: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = ratios.fold((0.0, 0.0), |(s, n), r| (s + r.max(1e-6).ln(), n + 1.0));
    if count > 0.0 {
        (sum / count).exp()
    } else {
        1.0
    }
}
