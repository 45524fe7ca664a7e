//! Counts the attempts that alternative settings would have routed differently, by reason, while
//! the current settings stay in force. Nothing here affects a decision. Differences that the
//! balancer's random choices alone could explain are not counted.

use crate::balancer::Balancer;
use crate::interface::{Idempotency, RequestClass, RolloutPolicy, RolloutStatus, Settings};
use crate::model::Endpoint;
use std::collections::BTreeMap;
use std::time::Duration;

/// Settings to compare with the current ones. A field that is `None` keeps its current value.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AlternativeSettings {
    /// Number of stages, from the first, in which the canary receives idempotent classes only.
    pub guarded_stages: Option<usize>,
    /// For each stage, the largest share of requests that the canary may receive, 0 to 1.
    pub caps: Option<Vec<f64>>,
    /// Number of attempts that a canary may receive beyond its cap.
    pub exposure_burst: Option<f64>,
    /// Whether the cap applies to each class separately.
    pub cap_per_class: Option<bool>,
    /// How long an endpoint stays in slow start after it was started.
    pub slow_start_duration: Option<Duration>,
    /// Whether an endpoint is faster for keys that it served recently.
    pub key_affinity: Option<bool>,
}

impl AlternativeSettings {
    /// Returns the current settings with these values substituted.
    fn applied_to(&self, current: &Settings) -> Settings {
        let rollout = &current.rollout;
        Settings {
            slow_start_duration: self
                .slow_start_duration
                .unwrap_or(current.slow_start_duration),
            key_affinity: self.key_affinity.unwrap_or(current.key_affinity),
            rollout: RolloutPolicy {
                guarded_stages: self.guarded_stages.unwrap_or(rollout.guarded_stages),
                caps: self.caps.clone().unwrap_or_else(|| rollout.caps.clone()),
                exposure_burst: self.exposure_burst.unwrap_or(rollout.exposure_burst),
                cap_per_class: self.cap_per_class.unwrap_or(rollout.cap_per_class),
                ..rollout.clone()
            },
            ..current.clone()
        }
    }
}

/// Number of attempts examined, and how many of them the alternative settings would have routed
/// differently, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Divergences {
    /// Attempts examined.
    pub attempts: u64,
    /// Attempts of a class that is not idempotent that went to a canary in a guarded stage.
    pub guarded: u64,
    /// Attempts that went to a canary beyond its cap.
    pub exposure: u64,
    /// Attempts to an endpoint that would still have been in slow start.
    pub slow_start: u64,
    /// Attempts that went elsewhere although the affinity endpoint of their key was idle.
    pub affinity: u64,
}

impl Divergences {
    /// Returns each count with its name in reports, the number of attempts first.
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

/// Evaluates each attempt of a [`Balancer`] against alternative settings.
pub struct ShadowEvaluator {
    settings: Settings,
    /// Whether the caps are those of the current settings. If so, the cap that the platform reports
    /// applies.
    uses_current_caps: bool,
    exposure_tokens: BTreeMap<u32, Vec<f64>>,
    divergences: Divergences,
}

impl ShadowEvaluator {
    /// Creates an evaluator for the current settings with the values of `alternative` substituted.
    pub fn new(current: &Settings, alternative: &AlternativeSettings) -> ShadowEvaluator {
        ShadowEvaluator {
            settings: alternative.applied_to(current),
            uses_current_caps: alternative.caps.is_none(),
            exposure_tokens: BTreeMap::new(),
            divergences: Divergences::default(),
        }
    }

    /// Returns the counts so far.
    pub fn divergences(&self) -> Divergences {
        self.divergences
    }

    /// Switches to reloaded settings and keeps the counts.
    pub fn reload(&mut self, current: &Settings, alternative: &AlternativeSettings) {
        let before = std::mem::replace(self, ShadowEvaluator::new(current, alternative));
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

    /// Records a request. Must be called right after [`Balancer::on_request`].
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

    /// Records an attempt to `endpoint`. Must be called right before or right after it is sent.
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

    /// Returns the cap of a build under these settings, at the stage that the platform reports.
    fn cap(&self, status: Option<&RolloutStatus>, build: u32) -> f64 {
        let caps = &self.settings.rollout.caps;
        let Some(status) = status.filter(|s| s.build == build) else {
            return caps.first().copied().unwrap_or(0.0);
        };
        match caps.get(status.stage) {
            Some(cap) if !self.uses_current_caps && status.cap > 0.0 => *cap,
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

    /// Consumes a token for an attempt and returns whether none was left.
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

    /// Returns whether the affinity endpoint of the key is a different endpoint and idle. A request
    /// that could go to no other endpoint, or that had two equivalent endpoints to choose from,
    /// does not count as a difference.
    fn has_idle_affinity(&self, balancer: &Balancer, key: Option<u64>, endpoint: usize) -> bool {
        let Some(key) = key.filter(|_| self.settings.key_affinity) else {
            return false;
        };
        let fleet = &balancer.fleet;
        let is_warm_stable = |e: &Endpoint| !balancer.rollout.is_canary(e.build) && e.is_warm();
        let nearest = balancer
            .endpoints_of_key(key, |_| true)
            .find(|index| fleet.get(*index).is_some_and(is_warm_stable));
        nearest
            .filter(|index| *index != endpoint)
            .is_some_and(|index| {
                let nearest = fleet.endpoint(index);
                nearest.in_flight == 0 && nearest.ejection.until.is_none()
            })
    }
}
