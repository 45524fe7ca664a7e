//! Configuration reload while requests are in flight.
//!
//! The state of classes, tenants, builds and endpoints is carried over by index. A reload makes no
//! decisions, and draws no random numbers if the settings are unchanged.

use super::parameters::Parameters;
use super::{hedging, request_class, Balancer};
use crate::interface::{IndexMapping, IndexOrigin, IndicesInUse, RequestClass, Settings};
use crate::model::{ClassRules, ClassState};
use std::time::Duration;

impl Balancer {
    /// The indices that are in use by requests in flight and must not be reassigned.
    pub fn indices_in_use(&self) -> IndicesInUse {
        let mut in_use = IndicesInUse::default();
        for request in self.requests.values() {
            in_use.classes.insert(request.class);
            in_use.tenants.extend(request.tenant);
            in_use.zones.extend(request.attempts.iter().map(|a| a.zone));
        }
        in_use
    }

    /// Replaces the settings; `mapping` gives the origin of each class and tenant index. Requests
    /// in flight keep their indices, and with them their idempotency. Evidence and spent exposure
    /// are kept.
    pub fn reload(&mut self, now: Duration, settings: &Settings, mapping: &IndexMapping) {
        let classes = CarryOver::new(&mapping.classes);
        let before = std::mem::replace(&mut self.parameters, Parameters::from(settings));
        // The scan counts cover the time since the last reload.
        self.fleet.reset_scanned();
        self.reload_classes(settings, mapping, &classes);
        self.carry_over_evidence(&classes);
        self.carry_over_exposure(&before, &classes);
        let tenants = CarryOver::new(&mapping.tenants);
        self.admission
            .tenant_load
            .change_all(|loads| tenants.apply(loads));
        if !self.parameters.rollout.sticky_builds {
            self.affinity.sticky_builds.clear();
        }
        self.extend_slow_start(now, before.slow_start.duration);
        if before.list_poll_interval.is_none() && self.parameters.list_poll_interval.is_some() {
            let interval = self.parameters.list_call_interval();
            self.list.next_call = Some(now + interval.mul_f64(self.random_fraction()));
        }
    }

    /// Changes the zone indices of endpoints, given as pairs of endpoint and zone index. Pairs of
    /// unknown endpoints are ignored.
    pub fn reassign_zones(&mut self, zones: &[(usize, usize)]) {
        for (endpoint, zone) in zones {
            if let Some(mut endpoint) = self.fleet.get_mut(*endpoint) {
                endpoint.zone = *zone;
            }
        }
    }

    fn carry_over_evidence(&mut self, classes: &CarryOver) {
        let count_before = self.evaluation.peers.outcomes.len();
        if !classes.is_identity(count_before) {
            self.outcomes
                .renumber_classes(&classes.targets(count_before));
            self.fleet.count_scanned(self.fleet.len());
        }
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

    /// If slow start has become longer, puts the endpoints back into slow start that have been
    /// running for less than the new duration. Each begins at a random point of its quota, as after
    /// a start.
    fn extend_slow_start(&mut self, now: Duration, before: Duration) {
        let duration = self.parameters.slow_start.duration;
        if duration <= before {
            return;
        }
        let returning: Vec<(usize, Duration)> = self
            .fleet
            .running()
            .filter(|(_, endpoint)| endpoint.is_warm())
            .filter_map(|(index, endpoint)| Some((index, endpoint.started?)))
            .filter(|(_, started)| *started + duration > now)
            .collect();
        for (index, started) in returning {
            let attempts = self.random_fraction();
            self.return_to_slow_start(index, started, attempts);
        }
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
        self.highest_latency = hedging::highest_latency(&self.classes);
        self.summarize_classes();
    }
}

/// The state of the class at index `from`, with the rules of `class`.
fn carried_over(before: &[ClassState], from: usize, class: &RequestClass) -> ClassState {
    let Some(known) = before.get(from) else {
        return request_class::initial(class);
    };
    let rules = ClassRules::from(class);
    // An initial estimate is derived from the latency objective, so it is invalid for another
    // objective.
    let has_other_objective = known.rules.latency_objective != rules.latency_objective;
    if request_class::is_initial(known) && has_other_objective {
        return request_class::initial(class);
    }
    ClassState {
        rules,
        ..known.clone()
    }
}

/// This class with its rules and latency estimates only. Its samples continue under another index
/// and would count twice if they were also kept here.
fn without_samples(class: ClassState) -> ClassState {
    ClassState {
        rules: class.rules,
        latency: class.latency,
        ..ClassState::default()
    }
}

/// The state of an index that no class uses: it adds to no sum and never counts as slow.
fn unused() -> ClassState {
    ClassState {
        rules: ClassRules {
            latency_objective: 1.0,
            ..ClassRules::default()
        },
        ..ClassState::default()
    }
}

/// Maps the evidence of the previous indices to the new ones.
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

    /// Whether the mapping leaves `count` indices unchanged.
    fn is_identity(&self, count: usize) -> bool {
        self.is_unchanged && count == self.from.len()
    }

    /// For each of `count` previous indices, the indices under which its evidence continues.
    fn targets(&self, count: usize) -> Vec<Vec<usize>> {
        let mut targets = vec![Vec::new(); count];
        for (index, from) in self.from.iter().enumerate() {
            if let Some(target) = from.and_then(|from| targets.get_mut(from)) {
                target.push(index);
            }
        }
        targets
    }

    fn apply<T: Clone + Default>(&self, values: &mut Vec<T>) {
        if self.is_identity(values.len()) {
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

/// The exposure tokens of a build under new settings.
///
/// A reload never increases the remaining exposure. A reduction of the burst is deducted from the
/// tokens, which may become negative. A new class starts without tokens and earns its own. If the
/// cap now counts each class separately, the tokens that all classes shared are divided among them;
/// if it no longer does, the tokens that the classes have spent are added up and deducted from the
/// shared burst. The cap therefore holds in every window across the reload, except for single
/// classes that were not counted before. May leave a canary without exposure for a while.
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
