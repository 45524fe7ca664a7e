//! Outcomes of the endpoints and their sums by build, kept up to date at each change.
//!
//! An evaluation interval costs what changed in it, never endpoints times classes: decay is applied
//! when an endpoint is written or read, and the sums of endpoints that decay alike decay as one.

use super::evidence::{outcome_decay, MIN_ENDPOINTS_TO_DISCARD, ROUNDING_ERROR};
use super::evidence::{MIN_BASELINE_OUTCOMES, REBUILD_INTERVALS};
use crate::model::{BuildOutcomes, EndpointOutcomes, FailureRank, OutcomeDecay, OutcomeSums};
use crate::stats::OutcomeCounts;
use std::collections::{BTreeMap, BTreeSet};

/// Outcomes of an earlier build that are kept: those that meet the bound up to rounding are.
const MAX_KEPT_OUTCOMES: f64 = MIN_BASELINE_OUTCOMES * (1.0 + ROUNDING_ERROR);

/// How an endpoint's outcomes lose weight at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Aging {
    /// They decay always: the build is the newest one, or a newer one than the platform names.
    Decays,
    /// They decay until few enough are left.
    DecaysUntilKept,
    /// They are kept as they are.
    Kept,
}

/// Outcomes of one endpoint, and how the sums of its build have them.
#[derive(Debug, Default)]
struct EndpointRecord {
    build: u32,
    /// `None` where it does not run: then no sum has it.
    aging: Option<Aging>,
    is_ejected: bool,
    /// The evaluation interval that the outcomes have decayed to.
    interval: u64,
    /// When to see whether the outcomes are kept from then on.
    check_at: Option<u64>,
    /// Where it stands among the failing endpoints of its build.
    rank: Option<FailureRank>,
    outcomes: EndpointOutcomes,
}

impl EndpointRecord {
    fn decay_to(&mut self, interval: u64, decay: &OutcomeDecay) {
        let age = interval - self.interval;
        self.interval = interval;
        if age > 0 && self.aging != Some(Aging::Kept) {
            self.outcomes.decay(age, decay);
        }
    }

    /// What the sums have of these outcomes. Lost attempts of an earlier build's ejected endpoints
    /// are left out: they are the endpoints' own.
    fn counted_outcomes(&self, mut counts: OutcomeCounts) -> OutcomeCounts {
        if self.is_ejected && self.aging != Some(Aging::Decays) {
            counts.lost = 0.0;
        }
        counts
    }

    fn failures(&self) -> f64 {
        self.outcomes.total().failed_or_lost()
    }
}

/// Outcomes of all endpoints that run, with their sums by build and class.
///
/// Bounded: an endpoint has an entry for each class that it was sent requests of while these count
/// (see [`super::evidence::NEGLIGIBLE_OUTCOMES`]), a build two sums for each class.
pub(crate) struct OutcomeEvidence {
    decay: OutcomeDecay,
    /// Evaluation intervals since the start.
    interval: u64,
    /// Builds from this one on decay always.
    newest_build: u32,
    /// By index of the endpoint.
    endpoints: Vec<EndpointRecord>,
    /// Builds that any endpoint runs.
    builds: BTreeMap<u32, BuildOutcomes>,
    /// Endpoints of earlier builds that decay, by when to see whether they still do.
    checks: BTreeSet<(u64, usize)>,
}

impl OutcomeEvidence {
    /// No outcomes of any endpoint.
    pub fn new() -> OutcomeEvidence {
        OutcomeEvidence {
            decay: outcome_decay(),
            interval: 0,
            newest_build: 0,
            endpoints: Vec::new(),
            builds: BTreeMap::new(),
            checks: BTreeSet::new(),
        }
    }

    /// Begins the outcomes of an endpoint that runs this build from now on.
    pub fn start(&mut self, endpoint: usize, build: u32) {
        if endpoint >= self.endpoints.len() {
            self.endpoints
                .resize_with(endpoint + 1, EndpointRecord::default);
        }
        self.remove_from_sums(endpoint);
        self.endpoints[endpoint] = EndpointRecord {
            build,
            interval: self.interval,
            ..EndpointRecord::default()
        };
        self.add_to_sums(endpoint);
    }

    /// Ends the outcomes of an endpoint that does not run any more, and returns them by class.
    pub fn stop(&mut self, endpoint: usize) -> Vec<(usize, OutcomeCounts)> {
        self.remove_from_sums(endpoint);
        let Some(record) = self.endpoints.get_mut(endpoint) else {
            return Vec::new();
        };
        let outcomes = std::mem::take(&mut record.outcomes);
        outcomes.by_class(&self.decay).collect()
    }

    /// Adds outcomes of a class at an endpoint, if it runs.
    pub fn add(&mut self, endpoint: usize, class: usize, added: &OutcomeCounts) {
        let Some(record) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        let Some(aging) = record.aging else {
            return;
        };
        record.decay_to(self.interval, &self.decay);
        let build = self.builds.entry(record.build).or_default();
        if added.has_failures() {
            remove_failures(build, record, endpoint, &self.decay);
        }
        let is_new = record.outcomes.add(class, added, &self.decay);
        let sums = sums_at(build, aging, self.interval, &self.decay);
        sums.add(class, &record.counted_outcomes(*added), is_new);
        if added.has_failures() {
            add_failures(build, record, endpoint, &self.decay);
        }
        if record.outcomes.needs_pruning() || self.aging_of(endpoint) != aging {
            self.update_record(endpoint, |_, _| {});
        }
    }

    /// Takes back one failed answer of a class at an endpoint, as far as it still counts.
    pub fn take_back_failure(&mut self, endpoint: usize, class: usize) {
        self.update_record(endpoint, |record, decay| {
            record.outcomes.take_back_failure(class, decay);
        });
    }

    /// Takes back all failed answers of an endpoint.
    pub fn clear_failed(&mut self, endpoint: usize) {
        self.update_record(endpoint, |record, decay| {
            record.outcomes.clear_failed(decay);
        });
    }

    /// Takes in that the ejection of an endpoint began or ended.
    pub fn set_ejected(&mut self, endpoint: usize, is_ejected: bool) {
        self.update_record(endpoint, |record, _| record.is_ejected = is_ejected);
    }

    /// Takes in which build is the newest. Walks the endpoints.
    pub fn set_newest_build(&mut self, build: u32) {
        if self.newest_build != build {
            self.rebuild(|evidence| evidence.newest_build = build);
        }
    }

    /// Gives each class the indices that `targets` has for it. Walks the endpoints.
    pub fn renumber_classes(&mut self, targets: &[Vec<usize>]) {
        self.rebuild(|evidence| {
            for record in &mut evidence.endpoints {
                record.outcomes.renumber(targets, &evidence.decay);
            }
        });
    }

    /// Ends an evaluation interval. Returns how many endpoints were looked at.
    pub fn end_interval(&mut self) -> usize {
        self.interval += 1;
        // Takes off what rounding adds up to in the sums that do not decay.
        if self.interval.is_multiple_of(REBUILD_INTERVALS) {
            self.rebuild(|_| {});
            return self.endpoints.len();
        }
        let mut checked = 0;
        while let Some((at, endpoint)) = self.checks.first().copied() {
            if at > self.interval {
                break;
            }
            self.check_whether_kept(endpoint);
            checked += 1;
        }
        checked
    }

    /// Sum over all classes of an endpoint's outcomes.
    pub fn total_of(&self, endpoint: usize) -> OutcomeCounts {
        let Some(record) = self.endpoints.get(endpoint) else {
            return OutcomeCounts::default();
        };
        let age = match record.aging {
            Some(Aging::Decays | Aging::DecaysUntilKept) => self.interval - record.interval,
            Some(Aging::Kept) | None => 0,
        };
        record.outcomes.total().scaled(self.decay.factor_after(age))
    }

    /// Endpoints of a build that have shown failures since they were started.
    pub fn failing_endpoints(&self, build: u32) -> usize {
        self.builds.get(&build).map_or(0, |build| build.failing)
    }

    /// Sums by class over the running endpoints of a build, for this many classes. `discards` says
    /// whether a single endpoint with most of the failures is left out.
    pub fn sums_of(
        &self,
        build: u32,
        classes: usize,
        discard_most_failing: bool,
    ) -> Vec<OutcomeCounts> {
        let mut outcomes = vec![OutcomeCounts::default(); classes];
        let Some(build) = self.builds.get(&build) else {
            return outcomes;
        };
        let factor = build.decaying.factor_to(self.interval, &self.decay);
        build.decaying.add_to(&mut outcomes, factor);
        build.kept.add_to(&mut outcomes, 1.0);
        if discard_most_failing && build.endpoints > MIN_ENDPOINTS_TO_DISCARD {
            if let Some(endpoint) = self.endpoint_with_most_failures(build) {
                self.discard(endpoint, build, &mut outcomes);
            }
        }
        outcomes
    }

    /// The endpoint with more than half of the failures of the newest build, if there is one.
    fn endpoint_with_most_failures(&self, build: &BuildOutcomes) -> Option<usize> {
        let endpoint = build.most_failing()?;
        if build.ranked() == 1 {
            return Some(endpoint);
        }
        let half = build.ranked_failures(self.interval, &self.decay) / 2.0;
        let failures = self.total_of(endpoint).failed_or_lost();
        (failures > half * (1.0 + ROUNDING_ERROR)).then_some(endpoint)
    }

    fn discard(&self, endpoint: usize, build: &BuildOutcomes, sums: &mut [OutcomeCounts]) {
        let record = &self.endpoints[endpoint];
        let factor = self.decay.factor_after(self.interval - record.interval);
        for (class, counts) in record.outcomes.by_class(&self.decay) {
            let Some(sum) = sums.get_mut(class) else {
                continue;
            };
            // Where no other endpoint was sent requests of the class, nothing is left of it.
            *sum = if build.decaying.endpoints(class) > 1 {
                sum.minus(&counts.scaled(factor))
            } else {
                OutcomeCounts::default()
            };
        }
    }

    /// How an endpoint's outcomes lose weight from now on: the baseline of an earlier build does
    /// not decay once it is small, the newest build's evidence always does.
    fn aging_of(&self, endpoint: usize) -> Aging {
        let record = &self.endpoints[endpoint];
        if record.build >= self.newest_build {
            Aging::Decays
        } else if record.outcomes.total().total() > MAX_KEPT_OUTCOMES {
            Aging::DecaysUntilKept
        } else {
            Aging::Kept
        }
    }

    fn check_whether_kept(&mut self, endpoint: usize) {
        let record = &mut self.endpoints[endpoint];
        record.decay_to(self.interval, &self.decay);
        if self.aging_of(endpoint) == Aging::DecaysUntilKept {
            self.schedule_check(endpoint);
        } else {
            self.update_record(endpoint, |_, _| {});
        }
    }

    /// Plans when to see whether an endpoint's outcomes are kept. What is added meanwhile puts that
    /// off, which is found out then.
    fn schedule_check(&mut self, endpoint: usize) {
        let record = &mut self.endpoints[endpoint];
        if let Some(at) = record.check_at.take() {
            self.checks.remove(&(at, endpoint));
        }
        if record.aging == Some(Aging::DecaysUntilKept) {
            let intervals = intervals_until_kept(record.outcomes.total(), &self.decay);
            let at = self.interval + intervals.max(1);
            record.check_at = Some(at);
            self.checks.insert((at, endpoint));
        }
    }

    /// Changes an endpoint that runs, and gives its build's sums what it then has. Costs the
    /// classes that it remembers.
    fn update_record(
        &mut self,
        endpoint: usize,
        change: impl FnOnce(&mut EndpointRecord, &OutcomeDecay),
    ) {
        if !self.remove_from_sums(endpoint) {
            return;
        }
        change(&mut self.endpoints[endpoint], &self.decay);
        self.add_to_sums(endpoint);
    }

    /// Takes all that an endpoint has off the sums. Whether it was in them.
    fn remove_from_sums(&mut self, endpoint: usize) -> bool {
        let Some(record) = self.endpoints.get_mut(endpoint) else {
            return false;
        };
        record.decay_to(self.interval, &self.decay);
        let Some(aging) = record.aging else {
            return false;
        };
        if let Some(build) = self.builds.get_mut(&record.build) {
            let sums = sums_at(build, aging, self.interval, &self.decay);
            for (class, counts) in record.outcomes.by_class(&self.decay) {
                sums.remove(class, &record.counted_outcomes(counts));
            }
            remove_failures(build, record, endpoint, &self.decay);
            build.endpoints = build.endpoints.saturating_sub(1);
            if build.endpoints == 0 {
                self.builds.remove(&record.build);
            }
        }
        record.aging = None;
        self.schedule_check(endpoint);
        true
    }

    /// Adds all that an endpoint has to the sums of its build.
    fn add_to_sums(&mut self, endpoint: usize) {
        self.endpoints[endpoint]
            .outcomes
            .prune_negligible(&self.decay);
        let aging = self.aging_of(endpoint);
        let record = &mut self.endpoints[endpoint];
        record.aging = Some(aging);
        let build = self.builds.entry(record.build).or_default();
        let sums = sums_at(build, aging, self.interval, &self.decay);
        for (class, counts) in record.outcomes.by_class(&self.decay) {
            sums.add(class, &record.counted_outcomes(counts), true);
        }
        build.endpoints += 1;
        add_failures(build, record, endpoint, &self.decay);
        self.schedule_check(endpoint);
    }

    /// Sums all up anew after a change of what the sums are made of.
    fn rebuild(&mut self, change: impl FnOnce(&mut OutcomeEvidence)) {
        let running: Vec<usize> = (0..self.endpoints.len())
            .filter(|endpoint| self.remove_from_sums(*endpoint))
            .collect();
        change(self);
        for endpoint in running {
            self.add_to_sums(endpoint);
        }
    }
}

/// The sums of a build that have an endpoint, as they are at this evaluation interval.
fn sums_at<'a>(
    build: &'a mut BuildOutcomes,
    aging: Aging,
    interval: u64,
    decay: &OutcomeDecay,
) -> &'a mut OutcomeSums {
    match aging {
        Aging::Decays | Aging::DecaysUntilKept => {
            build.decaying.decay_to(interval, decay);
            &mut build.decaying
        }
        Aging::Kept => &mut build.kept,
    }
}

/// Counts an endpoint among the failing ones of its build, if it is one.
fn add_failures(
    build: &mut BuildOutcomes,
    record: &mut EndpointRecord,
    endpoint: usize,
    decay: &OutcomeDecay,
) {
    build.failing += usize::from(record.outcomes.has_failures());
    if record.aging == Some(Aging::Decays) {
        let failures = record.failures();
        record.rank = build.rank(endpoint, failures, record.interval, decay);
    }
}

/// Takes an endpoint off the failing ones of its build, before its outcomes change.
fn remove_failures(
    build: &mut BuildOutcomes,
    record: &mut EndpointRecord,
    endpoint: usize,
    decay: &OutcomeDecay,
) {
    let failing = usize::from(record.outcomes.has_failures());
    build.failing = build.failing.saturating_sub(failing);
    if let Some(rank) = record.rank.take() {
        build.remove_ranked(endpoint, rank, record.failures(), record.interval, decay);
    }
}

/// Evaluation intervals in which so many outcomes of an earlier build still decay: the last one is
/// that which takes them to what is kept.
fn intervals_until_kept(total: &OutcomeCounts, decay: &OutcomeDecay) -> u64 {
    let ratio = (total.total() / MAX_KEPT_OUTCOMES).max(1.0);
    (ratio.ln() / -decay.factor.ln()).ceil() as u64
}

#[cfg(test)]
#[path = "../../tests/unit/outcome_evidence.rs"]
mod tests;
