//! Counts, by kind, where the settings of another shape would have decided otherwise, while the
//! present ones decide. It decides nothing, and what only chance would have told apart is not
//! counted.

use crate::balancer::Balancer;
use crate::interface::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// The settings that are watched; what is not given is as at present.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AlternativeSettings {
    /// Stages that take idempotent classes only.
    pub guarded_stages: Option<usize>,
    /// The caps of the stages.
    pub caps: Option<Vec<f64>>,
    pub exposure_burst: Option<f64>,
    /// The cap counts each class by itself.
    pub cap_per_class: Option<bool>,
    /// How long an endpoint may be cold.
    pub slow_start_duration: Option<Duration>,
    pub key_affinity: Option<bool>,
}

/// Attempts that were looked at, and those that would have been decided otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Divergences {
    pub attempts: u64,
    /// A class with an effect went to a build on trial in a guarded stage.
    pub guarded: u64,
    /// A build on trial got more than its cap allows.
    pub exposure: u64,
    /// An endpoint still counts as cold.
    pub slow_start: u64,
    /// The home of its key stood idle.
    pub affinity: u64,
}

impl Divergences {
    /// The counts by name, the attempts that were looked at first.
    pub fn named(&self) -> [(&'static str, u64); 5] {
        let Divergences {
            attempts,
            guarded,
            exposure,
            slow_start: cold,
            affinity: key,
        } = *self;
        [
            ("deliveries", attempts),
            ("guarded", guarded),
            ("exposure", exposure),
            ("cold", cold),
            ("key", key),
        ]
    }
}

impl std::fmt::Display for Divergences {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let counts = self.named().map(|(name, n)| format!("{name} {n}"));
        f.write_str(&counts.join(" "))
    }
}

pub struct ShadowEvaluator {
    other: Settings,
    own_caps: bool, // none are watched: what is told stands
    tokens: BTreeMap<u32, Vec<f64>>,
    counts: Divergences,
}

impl ShadowEvaluator {
    /// `present` with what `shape` gives in its place.
    pub fn new(present: &Settings, shape: &AlternativeSettings) -> ShadowEvaluator {
        let mut d = present.clone();
        let r = &mut d.rollout;
        r.guarded_stages = shape.guarded_stages.unwrap_or(r.guarded_stages);
        r.caps = shape.caps.clone().unwrap_or(std::mem::take(&mut r.caps));
        r.exposure_burst = shape.exposure_burst.unwrap_or(r.exposure_burst);
        r.cap_per_class = shape.cap_per_class.unwrap_or(r.cap_per_class);
        d.slow_start_duration = shape.slow_start_duration.unwrap_or(d.slow_start_duration);
        d.key_affinity = shape.key_affinity.unwrap_or(d.key_affinity);
        let (tokens, counts) = (BTreeMap::new(), Divergences::default());
        ShadowEvaluator {
            other: d,
            own_caps: shape.caps.is_none(),
            tokens,
            counts,
        }
    }

    /// What was counted so far.
    pub fn divergences(&self) -> Divergences {
        self.counts
    }

    /// Goes on beside settings that were read anew; what was counted stays.
    pub fn reload(&mut self, present: &Settings, shape: &AlternativeSettings) {
        let was = std::mem::replace(self, ShadowEvaluator::new(present, shape));
        self.counts = was.counts;
        if was.other.rollout.cap_per_class == self.other.rollout.cap_per_class {
            let slots = if self.other.rollout.cap_per_class {
                self.other.classes.len()
            } else {
                1
            };
            self.tokens = was.tokens;
            self.tokens.values_mut().for_each(|t| t.resize(slots, 0.0));
        }
    }

    /// The cap that the watched settings give this build, as the news stand.
    fn cap(&self, rollout_status: Option<&RolloutStatus>, build: u32) -> f64 {
        let first = self.other.rollout.caps.first().copied().unwrap_or(0.0);
        let Some(n) = rollout_status.filter(|n| n.build == build) else {
            return first;
        };
        match self.other.rollout.caps.get(n.stage) {
            Some(cap) if !self.own_caps && n.cap > 0.0 => *cap,
            _ => n.cap,
        }
    }

    /// A request has come in; told right after the module was.
    pub fn on_request(&mut self, choice: &Balancer, class: usize) {
        let (r, slot) = (self.other.rollout.clone(), self.slot(class));
        let slots = if r.cap_per_class {
            self.other.classes.len()
        } else {
            1
        };
        let alive = choice.builds.keys().copied().collect::<Vec<_>>();
        self.tokens.retain(|b, _| alive.contains(b));
        for build in alive {
            let cap = self.cap(choice.rollout_status.as_ref(), build);
            let tokens = self
                .tokens
                .entry(build)
                .or_insert_with(|| vec![r.exposure_burst; slots]);
            if let Some(t) = tokens.get_mut(slot) {
                *t = (*t + cap).min(r.exposure_burst);
            }
        }
    }

    fn slot(&self, class: usize) -> usize {
        usize::from(self.other.rollout.cap_per_class) * class
    }

    /// The module sends a request there; told right before it does, or right after.
    pub fn on_attempt(
        &mut self,
        now: Duration,
        choice: &Balancer,
        class: usize,
        key: Option<u64>,
        endpoint: usize,
    ) {
        self.counts.attempts += 1;
        let (Some(a), Some(l)) = (choice.fleet.get(endpoint), self.other.classes.get(class)) else {
            return;
        };
        let (build, trial) = (a.build, choice.on_trial(a.build));
        let stage = choice
            .rollout_status
            .as_ref()
            .filter(|n| n.build == build)
            .map_or(0, |n| n.stage);
        let guarded = trial
            && stage < self.other.rollout.guarded_stages
            && l.idempotency != Idempotency::Idempotent;
        self.counts.guarded += u64::from(guarded);
        let still = a
            .started
            .is_some_and(|s| s + self.other.slow_start_duration > now)
            && a.warming_since.is_none();
        self.counts.slow_start += u64::from(still);
        let slot = self.slot(class);
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
        if let Some(key) = key.filter(|_| self.other.key_affinity) {
            let fit = choice
                .running()
                .filter(|(_, a)| !choice.on_trial(a.build) && a.warming_since.is_none());
            let home = fit.min_by(|(_, a), (_, b)| {
                choice.distance(key, a).total_cmp(&choice.distance(key, b))
            });
            let idle =
                home.filter(|(i, a)| *i != endpoint && a.in_flight == 0 && a.aside.is_none());
            self.counts.affinity += u64::from(idle.is_some() && !trial);
        }
    }
}
