//! Takes over other settings while requests are in flight. What is known of classes, tenants,
//! builds and endpoints is carried over by index; nothing is decided here, and no random number is
//! drawn for settings that are the same.

use super::parameters::Parameters;
use super::{request_class, Balancer};
use crate::interface::{IndexMapping, IndexOrigin, IndicesInUse, RequestClass, Settings};
use crate::model::{ClassRules, ClassState};
use std::time::Duration;

impl Balancer {
    /// The indices that requests in flight are counted under: they may not be given to others.
    pub fn indices_in_use(&self) -> IndicesInUse {
        let mut in_use = IndicesInUse::default();
        for request in self.requests.values() {
            in_use.classes.insert(request.class);
            in_use.tenants.extend(request.tenant);
            in_use.zones.extend(request.attempts.iter().map(|a| a.zone));
        }
        in_use
    }

    /// Decides by these settings from now on, whose indices come from where `mapping` says.
    /// Requests in flight keep their indices, and with them their idempotency; evidence and what
    /// was exposed stay.
    pub fn reload(&mut self, now: Duration, settings: &Settings, mapping: &IndexMapping) {
        let classes = CarryOver::new(&mapping.classes);
        let before = std::mem::replace(&mut self.parameters, Parameters::from(settings));
        // The measure of work is taken by configuration.
        self.fleet.reset_scanned();
        self.reload_classes(settings, mapping, &classes);
        self.carry_over_evidence(&classes);
        self.carry_over_exposure(&before, &classes);
        CarryOver::new(&mapping.tenants).apply(&mut self.admission.tenant_load);
        if !self.parameters.rollout.sticky_builds {
            self.affinity.sticky_builds.clear();
        }
        self.extend_slow_start(now, before.slow_start.duration);
        if before.list_poll_interval.is_none() && self.parameters.list_poll_interval.is_some() {
            let interval = self.parameters.list_call_interval();
            self.list.next_call = Some(now + interval.mul_f64(self.random_fraction()));
        }
    }

    /// Gives these endpoints, by index, other zone indices.
    pub fn reassign_zones(&mut self, zones: &[(usize, usize)]) {
        for (endpoint, zone) in zones {
            if let Some(mut endpoint) = self.fleet.get_mut(*endpoint) {
                endpoint.zone = *zone;
            }
        }
    }

    fn carry_over_evidence(&mut self, classes: &CarryOver) {
        self.fleet.for_each_mut(|endpoint, _| {
            if !endpoint.outcomes.is_empty() {
                classes.apply(&mut endpoint.outcomes);
            }
        });
        classes.apply(&mut self.evaluation.peers.outcomes);
        for build in self.rollout.builds.values_mut() {
            classes.apply(&mut build.departed_outcomes);
            classes.apply(&mut build.platform_totals);
        }
    }

    fn carry_over_exposure(&mut self, before: &Parameters, classes: &CarryOver) {
        for build in self.rollout.builds.values_mut() {
            let tokens = std::mem::take(&mut build.exposure_tokens);
            build.exposure_tokens = exposure_tokens(tokens, before, &self.parameters, classes);
        }
        self.set_exposure_caps();
    }

    /// Where slow start lasts longer from now on, endpoints that have not warmed up for as long are
    /// in slow start again.
    fn extend_slow_start(&mut self, now: Duration, before: Duration) {
        let duration = self.parameters.slow_start.duration;
        if duration <= before {
            return;
        }
        self.fleet.for_each_mut(|endpoint, _| {
            if endpoint.is_warm() {
                endpoint.warming_since = endpoint.started.filter(|s| *s + duration > now);
            }
        });
    }

    fn reload_classes(&mut self, settings: &Settings, mapping: &IndexMapping, classes: &CarryOver) {
        let before = std::mem::take(&mut self.classes);
        let origins = settings.classes.iter().zip(&mapping.classes).enumerate();
        self.classes = origins
            .map(|(index, (class, origin))| match *origin {
                IndexOrigin::Same => carried_over(&before, index, class),
                IndexOrigin::MovedFrom(from) => carried_over(&before, from, class),
                IndexOrigin::New => request_class::initial(class),
                IndexOrigin::Retired if classes.from[index].is_some() => {
                    carried_over(&before, index, class)
                }
                IndexOrigin::Retired => without_samples(carried_over(&before, index, class)),
                IndexOrigin::Unused => unused(),
            })
            .collect();
    }
}

/// What was known of the class at index `from`, under the rules of `class`.
fn carried_over(before: &[ClassState], from: usize, class: &RequestClass) -> ClassState {
    let Some(known) = before.get(from) else {
        return request_class::initial(class);
    };
    let rules = ClassRules::from(class);
    // A guess from the former latency objective is none from this one.
    let has_other_objective = known.rules.latency_objective != rules.latency_objective;
    if request_class::is_initial(known) && has_other_objective {
        return request_class::initial(class);
    }
    ClassState {
        rules,
        ..known.clone()
    }
}

/// A class whose samples go on under another index: here they would count twice.
fn without_samples(class: ClassState) -> ClassState {
    ClassState {
        rules: class.rules,
        latency: class.latency,
        ..ClassState::default()
    }
}

/// A class that takes part in no sum, and is never slow.
fn unused() -> ClassState {
    ClassState {
        rules: ClassRules {
            latency_objective: 1.0,
            ..ClassRules::default()
        },
        ..ClassState::default()
    }
}

/// Under which index the evidence of each index was kept.
struct CarryOver {
    from: Vec<Option<usize>>,
    is_unchanged: bool,
}

impl CarryOver {
    fn new(origins: &[IndexOrigin]) -> CarryOver {
        let mut has_moved = vec![false; origins.len()];
        for origin in origins {
            if let IndexOrigin::MovedFrom(from) = origin {
                if let Some(has_moved) = has_moved.get_mut(*from) {
                    *has_moved = true;
                }
            }
        }
        let from: Vec<Option<usize>> = origins
            .iter()
            .enumerate()
            .map(|(index, origin)| match origin {
                IndexOrigin::Same => Some(index),
                IndexOrigin::Retired if !has_moved[index] => Some(index),
                IndexOrigin::MovedFrom(from) => Some(*from),
                IndexOrigin::Retired | IndexOrigin::New | IndexOrigin::Unused => None,
            })
            .collect();
        let mut sources = from.iter().enumerate();
        CarryOver {
            is_unchanged: sources.all(|(index, from)| *from == Some(index)),
            from,
        }
    }

    fn apply<T: Clone + Default>(&self, values: &mut Vec<T>) {
        if self.is_unchanged && values.len() == self.from.len() {
            return;
        }
        *values = self
            .from
            .iter()
            .map(|from| from.and_then(|index| values.get(index)))
            .map(|value| value.cloned().unwrap_or_default())
            .collect();
    }
}

/// The tokens that a build has under other settings.
///
/// A reload never adds to what may still be exposed. What a lower burst allows less is owed. A
/// class that is new earns its own tokens. Where the cap counts otherwise from now on, what all
/// classes had is shared out, or owed together. So the cap holds in each window across the reload,
/// but for single classes that were not counted before. May leave a canary unexposed for a while.
fn exposure_tokens(
    mut tokens: Vec<f64>,
    before: &Parameters,
    now: &Parameters,
    classes: &CarryOver,
) -> Vec<f64> {
    let before = &before.rollout;
    let now = &now.rollout;
    match (before.cap_per_class, now.cap_per_class) {
        (true, false) => {
            let spent: f64 = tokens.iter().map(|t| before.exposure_burst - t).sum();
            tokens = vec![before.exposure_burst - spent];
        }
        (false, true) => {
            let share = tokens.iter().sum::<f64>() / classes.from.len().max(1) as f64;
            tokens = vec![share; classes.from.len()];
        }
        (true, true) | (false, false) => {}
    }
    let owed = (before.exposure_burst - now.exposure_burst).max(0.0);
    for count in &mut tokens {
        *count = (*count - owed).min(now.exposure_burst);
    }
    if before.cap_per_class && now.cap_per_class {
        classes.apply(&mut tokens);
    }
    tokens
}
