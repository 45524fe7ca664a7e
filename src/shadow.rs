//! Counts, by kind, where the settings of another shape would have decided otherwise, while the present ones
//! decide. It decides nothing, and what only chance would have told apart is not counted.

use crate::balancer::Choice;
use crate::interface::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// The settings that are watched; what is not given is as at present.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shape {
    /// Stages that take idempotent lanes only.
    pub guarded_stages: Option<usize>,
    /// The caps of the stages.
    pub caps: Option<Vec<f64>>,
    pub free: Option<f64>,
    /// The cap counts each lane by itself.
    pub by_lane: Option<bool>,
    /// How long an appliance may be cold.
    pub cold_for: Option<Duration>,
    pub warm_keys: Option<bool>,
}

/// Deliveries that were looked at, and those that would have been decided otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Otherwise {
    pub deliveries: u64,
    /// A lane with an effect went to a build on trial in a guarded stage.
    pub guarded: u64,
    /// A build on trial got more than its cap allows.
    pub exposure: u64,
    /// An appliance still counts as cold.
    pub cold: u64,
    /// The home of its key stood idle.
    pub key: u64,
}

impl Otherwise {
    /// The counts by name, the deliveries that were looked at first.
    pub fn named(&self) -> [(&'static str, u64); 5] {
        let Otherwise {
            deliveries,
            guarded,
            exposure,
            cold,
            key,
        } = *self;
        [
            ("deliveries", deliveries),
            ("guarded", guarded),
            ("exposure", exposure),
            ("cold", cold),
            ("key", key),
        ]
    }
}

impl std::fmt::Display for Otherwise {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let counts = self.named().map(|(name, n)| format!("{name} {n}"));
        f.write_str(&counts.join(" "))
    }
}

pub struct Watch {
    other: Deployment,
    own_caps: bool, // none are watched: what is told stands
    tokens: BTreeMap<u32, Vec<f64>>,
    pub counts: Otherwise,
}

impl Watch {
    /// `present` with what `shape` gives in its place.
    pub fn new(present: &Deployment, shape: &Shape) -> Watch {
        let mut d = present.clone();
        let r = &mut d.rollout;
        r.guarded_stages = shape.guarded_stages.unwrap_or(r.guarded_stages);
        r.caps = shape.caps.clone().unwrap_or(std::mem::take(&mut r.caps));
        r.free = shape.free.unwrap_or(r.free);
        r.by_lane = shape.by_lane.unwrap_or(r.by_lane);
        d.cold_for = shape.cold_for.unwrap_or(d.cold_for);
        d.warm_keys = shape.warm_keys.unwrap_or(d.warm_keys);
        let (tokens, counts) = (BTreeMap::new(), Otherwise::default());
        Watch {
            other: d,
            own_caps: shape.caps.is_none(),
            tokens,
            counts,
        }
    }

    /// Goes on beside settings that were read anew; what was counted stays.
    pub fn renew(&mut self, present: &Deployment, shape: &Shape) {
        let was = std::mem::replace(self, Watch::new(present, shape));
        self.counts = was.counts;
        if was.other.rollout.by_lane == self.other.rollout.by_lane {
            let slots = if self.other.rollout.by_lane {
                self.other.lanes.len()
            } else {
                1
            };
            self.tokens = was.tokens;
            self.tokens.values_mut().for_each(|t| t.resize(slots, 0.0));
        }
    }

    /// The cap that the watched settings give this build, as the news stand.
    fn cap(&self, news: Option<&News>, build: u32) -> f64 {
        let first = self.other.rollout.caps.first().copied().unwrap_or(0.0);
        let Some(n) = news.filter(|n| n.build == build) else {
            return first;
        };
        match self.other.rollout.caps.get(n.stage) {
            Some(cap) if !self.own_caps && n.cap > 0.0 => *cap,
            _ => n.cap,
        }
    }

    /// A command has come in; told right after the module was.
    pub fn take(&mut self, choice: &Choice, lane: usize) {
        let (r, slot) = (self.other.rollout.clone(), self.slot(lane));
        let slots = if r.by_lane { self.other.lanes.len() } else { 1 };
        let alive = choice.builds.keys().copied().collect::<Vec<_>>();
        self.tokens.retain(|b, _| alive.contains(b));
        for build in alive {
            let cap = self.cap(choice.news.as_ref(), build);
            let tokens = self
                .tokens
                .entry(build)
                .or_insert_with(|| vec![r.free; slots]);
            if let Some(t) = tokens.get_mut(slot) {
                *t = (*t + cap).min(r.free);
            }
        }
    }

    fn slot(&self, lane: usize) -> usize {
        usize::from(self.other.rollout.by_lane) * lane
    }

    /// The module sends a command there; told right before it does, or right after.
    pub fn sent(
        &mut self,
        now: Duration,
        choice: &Choice,
        lane: usize,
        key: Option<u64>,
        appliance: usize,
    ) {
        self.counts.deliveries += 1;
        let (Some(a), Some(l)) = (choice.fleet.get(appliance), self.other.lanes.get(lane)) else {
            return;
        };
        let (build, trial) = (a.build, choice.on_trial(a.build));
        let stage = choice
            .news
            .as_ref()
            .filter(|n| n.build == build)
            .map_or(0, |n| n.stage);
        let guarded =
            trial && stage < self.other.rollout.guarded_stages && l.repeats != Repeats::Idempotent;
        self.counts.guarded += u64::from(guarded);
        let still =
            a.started.is_some_and(|s| s + self.other.cold_for > now) && a.cold_since.is_none();
        self.counts.cold += u64::from(still);
        let slot = self.slot(lane);
        if let Some(t) = self
            .tokens
            .get_mut(&build)
            .and_then(|t| t.get_mut(slot))
            .filter(|_| trial)
        {
            self.counts.exposure += u64::from(*t < 1.0);
            *t -= if *t < 1.0 { 0.0 } else { 1.0 };
        }
        // What may go nowhere else, and where two are alike, is no difference.
        if let Some(key) = key.filter(|_| self.other.warm_keys) {
            let fit = choice
                .running()
                .filter(|(_, a)| !choice.on_trial(a.build) && a.cold_since.is_none());
            let home = fit.min_by(|(_, a), (_, b)| {
                choice.distance(key, a).total_cmp(&choice.distance(key, b))
            });
            let idle =
                home.filter(|(i, a)| *i != appliance && a.in_flight == 0 && a.aside.is_none());
            self.counts.key += u64::from(idle.is_some() && !trial);
        }
    }
}
