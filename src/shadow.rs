//! Counts, by kind, where other settings would have decided otherwise, while the present ones
//! decide. It decides nothing, and what only chance would have set apart is not counted.

use crate::balancer::Balancer;
use crate::interface::{Idempotency, RequestClass, RolloutPolicy, RolloutStatus, Settings};
use crate::model::Endpoint;
use std::collections::BTreeMap;
use std::time::Duration;

/// Settings that differ from the present ones; what is `None` is as at present.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AlternativeSettings {
    /// First stages in which the canary takes idempotent classes only.
    pub guarded_stages: Option<usize>,
    /// By stage: largest share of requests that the canary may get, 0 to 1.
    pub caps: Option<Vec<f64>>,
    /// Attempts beyond the cap that are free.
    pub exposure_burst: Option<f64>,
    /// Whether the cap counts each class by itself.
    pub cap_per_class: Option<bool>,
    /// How long slow start lasts.
    pub slow_start_duration: Option<Duration>,
    /// Whether an endpoint works faster for keys that it served lately.
    pub key_affinity: Option<bool>,
}

impl AlternativeSettings {
    /// The present settings with these in their place.
    fn applied_to(&self, present: &Settings) -> Settings {
        let rollout = &present.rollout;
        Settings {
            slow_start_duration: self
                .slow_start_duration
                .unwrap_or(present.slow_start_duration),
            key_affinity: self.key_affinity.unwrap_or(present.key_affinity),
            rollout: RolloutPolicy {
                guarded_stages: self.guarded_stages.unwrap_or(rollout.guarded_stages),
                caps: self.caps.clone().unwrap_or_else(|| rollout.caps.clone()),
                exposure_burst: self.exposure_burst.unwrap_or(rollout.exposure_burst),
                cap_per_class: self.cap_per_class.unwrap_or(rollout.cap_per_class),
                ..rollout.clone()
            },
            ..present.clone()
        }
    }
}

/// Attempts that were looked at, and those that would have been decided otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Divergences {
    /// Attempts that were looked at.
    pub attempts: u64,
    /// A class that is not idempotent went to a canary in a guarded stage.
    pub guarded: u64,
    /// A canary got more than its cap allows.
    pub exposure: u64,
    /// An endpoint would still have been in slow start.
    pub slow_start: u64,
    /// The affinity endpoint of the key was idle.
    pub affinity: u64,
}

impl Divergences {
    /// The counts with the names that reports give them, the attempts first.
    pub fn named(&self) -> [(&'static str, u64); 5] {
        [
            ("deliveries", self.attempts),
            ("guarded", self.guarded),
            ("exposure", self.exposure),
            ("cold", self.slow_start),
            ("key", self.affinity),
        ]
    }
}

impl std::fmt::Display for Divergences {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let counts = self.named().map(|(name, count)| format!("{name} {count}"));
        f.write_str(&counts.join(" "))
    }
}

/// Looks at each attempt of a [`Balancer`] by other settings.
pub struct ShadowEvaluator {
    settings: Settings,
    /// Whether the caps are those of the present settings: then the platform's stand.
    has_present_caps: bool,
    exposure_tokens: BTreeMap<u32, Vec<f64>>,
    divergences: Divergences,
}

impl ShadowEvaluator {
    /// An evaluator by the present settings, with what `alternative` gives in their place.
    pub fn new(present: &Settings, alternative: &AlternativeSettings) -> ShadowEvaluator {
        ShadowEvaluator {
            settings: alternative.applied_to(present),
            has_present_caps: alternative.caps.is_none(),
            exposure_tokens: BTreeMap::new(),
            divergences: Divergences::default(),
        }
    }

    /// What was counted so far.
    pub fn divergences(&self) -> Divergences {
        self.divergences
    }

    /// Goes on with settings that were read again; what was counted stays.
    pub fn reload(&mut self, present: &Settings, alternative: &AlternativeSettings) {
        let before = std::mem::replace(self, ShadowEvaluator::new(present, alternative));
        self.divergences = before.divergences;
        let cap_per_class = self.settings.rollout.cap_per_class;
        if before.settings.rollout.cap_per_class != cap_per_class {
            return;
        }
        self.exposure_tokens = before.exposure_tokens;
        let slots = self.slots();
        for tokens in self.exposure_tokens.values_mut() {
            tokens.resize(slots, 0.0);
        }
    }

    /// Takes in a request; to be called right after [`Balancer::on_request`].
    pub fn on_request(&mut self, balancer: &Balancer, class: usize) {
        let slot = self.slot(class);
        let slots = self.slots();
        let burst = self.settings.rollout.exposure_burst;
        let builds = &balancer.rollout.builds;
        self.exposure_tokens
            .retain(|build, _| builds.contains_key(build));
        for build in builds.keys() {
            let cap = self.cap(balancer.rollout.status.as_ref(), *build);
            let tokens = self
                .exposure_tokens
                .entry(*build)
                .or_insert_with(|| vec![burst; slots]);
            if let Some(count) = tokens.get_mut(slot) {
                *count = (*count + cap).min(burst);
            }
        }
    }

    /// Takes in an attempt to this endpoint; to be called right before or after it is sent.
    pub fn on_attempt(
        &mut self,
        now: Duration,
        balancer: &Balancer,
        class: usize,
        key: Option<u64>,
        endpoint: usize,
    ) {
        self.divergences.attempts += 1;
        let Some(target) = balancer.fleet.get(endpoint) else {
            return;
        };
        let Some(rules) = self.settings.classes.get(class) else {
            return;
        };
        let is_canary = balancer.rollout.is_canary(target.build);
        let is_guarded = is_canary && self.is_guarded(balancer, target.build, rules);
        let would_be_warming = self.is_still_warming(now, target);
        let is_over_cap = is_canary && self.exceeds_cap(target.build, class);
        let has_idle_affinity = self.has_idle_affinity(balancer, key, endpoint) && !is_canary;
        self.divergences.guarded += u64::from(is_guarded);
        self.divergences.slow_start += u64::from(would_be_warming);
        self.divergences.exposure += u64::from(is_over_cap);
        self.divergences.affinity += u64::from(has_idle_affinity);
    }

    fn slot(&self, class: usize) -> usize {
        if self.settings.rollout.cap_per_class {
            class
        } else {
            0
        }
    }

    fn slots(&self) -> usize {
        if self.settings.rollout.cap_per_class {
            self.settings.classes.len()
        } else {
            1
        }
    }

    /// The cap that these settings give a build at the stage that the platform names.
    fn cap(&self, status: Option<&RolloutStatus>, build: u32) -> f64 {
        let caps = &self.settings.rollout.caps;
        let Some(status) = status.filter(|s| s.build == build) else {
            return caps.first().copied().unwrap_or(0.0);
        };
        match caps.get(status.stage) {
            Some(cap) if !self.has_present_caps && status.cap > 0.0 => *cap,
            _ => status.cap,
        }
    }

    fn is_guarded(&self, balancer: &Balancer, build: u32, class: &RequestClass) -> bool {
        balancer.rollout.stage_of(build) < self.settings.rollout.guarded_stages
            && class.idempotency != Idempotency::Idempotent
    }

    fn is_still_warming(&self, now: Duration, endpoint: &Endpoint) -> bool {
        let duration = self.settings.slow_start_duration;
        endpoint.is_warm() && endpoint.started.is_some_and(|s| s + duration > now)
    }

    /// Spends a token on an attempt. Whether none is left.
    fn exceeds_cap(&mut self, build: u32, class: usize) -> bool {
        let slot = self.slot(class);
        let tokens = self.exposure_tokens.get_mut(&build);
        let Some(count) = tokens.and_then(|t| t.get_mut(slot)) else {
            return false;
        };
        if *count < 1.0 {
            return true;
        }
        *count -= 1.0;
        false
    }

    /// Whether the key's affinity endpoint is another one that is idle. What may go nowhere else,
    /// and where two are alike, is no difference.
    fn has_idle_affinity(&self, balancer: &Balancer, key: Option<u64>, endpoint: usize) -> bool {
        let Some(key) = key.filter(|_| self.settings.key_affinity) else {
            return false;
        };
        let fleet = &balancer.fleet;
        let is_usual = |e: &Endpoint| !balancer.rollout.is_canary(e.build) && e.is_warm();
        let nearest = balancer
            .endpoints_of_key(key, |_| true)
            .find(|index| fleet.get(*index).is_some_and(is_usual));
        nearest
            .filter(|index| *index != endpoint)
            .is_some_and(|index| {
                let nearest = fleet.endpoint(index);
                nearest.in_flight == 0 && nearest.ejection.until.is_none()
            })
    }
}
