//! Outcomes of the endpoints and their sums by build, updated incrementally.
//!
//! The cost of an evaluation interval depends on what changed in it, not on the number of endpoints
//! times classes: decay is applied when an endpoint is written or read, and the sums of endpoints
//! with the same decay are decayed as one.

use super::evidence::{outcome_decay, MIN_ENDPOINTS_TO_DISCARD, ROUNDING_ERROR};
use super::evidence::{MIN_BASELINE_OUTCOMES, REBUILD_INTERVALS};
use crate::model::{BuildOutcomes, EndpointOutcomes, FailureRank, OutcomeDecay, OutcomeSums};
use crate::stats::OutcomeCounts;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum outcomes of an endpoint of an earlier build that are kept without decay; the factor
/// tolerates rounding errors.
const MAX_KEPT_OUTCOMES: f64 = MIN_BASELINE_OUTCOMES * (1.0 + ROUNDING_ERROR);

/// How the outcomes of an endpoint decay at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Aging {
    /// They always decay: the build is the newest one, or newer than the one that the platform
    /// reports.
    Decays,
    /// They decay until few enough are left to be kept.
    DecaysUntilKept,
    /// They are kept without decay.
    Kept,
}

/// Outcomes of one endpoint, and how they are included in the sums of its build.
#[derive(Debug, Default)]
struct EndpointRecord {
    build: u32,
    /// `None` if the endpoint is not running; then no sum includes its outcomes.
    aging: Option<Aging>,
    is_ejected: bool,
    /// The evaluation interval up to which the outcomes have been decayed.
    interval: u64,
    /// The evaluation interval in which to check whether the outcomes are kept from then on.
    check_at: Option<u64>,
    /// Rank among the failing endpoints of its build; `None` if it is not ranked.
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

    /// The part of these outcomes that the sums include. Attempts lost at ejected endpoints of an
    /// earlier build are left out, as the endpoints are to blame rather than the build.
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

/// Outcomes of all running endpoints, with their sums by build and class.
///
/// Memory is bounded: an endpoint has one entry per class for which it was sent requests, until the
/// entry is negligible (see [`super::evidence::NEGLIGIBLE_OUTCOMES`]), and a build has two sums per
/// class.
pub(crate) struct OutcomeEvidence {
    decay: OutcomeDecay,
    /// Number of evaluation intervals since the start.
    interval: u64,
    /// Outcomes of this build and of newer ones always decay.
    newest_build: u32,
    /// Records by endpoint index.
    endpoints: Vec<EndpointRecord>,
    /// Sums by number of the build, for builds that any endpoint runs.
    builds: BTreeMap<u32, BuildOutcomes>,
    /// Endpoints whose outcomes decay until they are kept, by the evaluation interval of the next
    /// check.
    checks: BTreeSet<(u64, usize)>,
}

impl OutcomeEvidence {
    /// Creates the evidence without any endpoint.
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

    /// Starts empty outcomes of an endpoint that runs this build from now on.
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

    /// Ends the outcomes of an endpoint that is no longer running, and returns them by class.
    pub fn stop(&mut self, endpoint: usize) -> Vec<(usize, OutcomeCounts)> {
        self.remove_from_sums(endpoint);
        let Some(record) = self.endpoints.get_mut(endpoint) else {
            return Vec::new();
        };
        let outcomes = std::mem::take(&mut record.outcomes);
        outcomes.by_class(&self.decay).collect()
    }

    /// Adds outcomes of a class at an endpoint; ignored if the endpoint is not running.
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

    /// Retracts one failed response of a class at an endpoint, as far as it has not decayed.
    pub fn retract_failure(&mut self, endpoint: usize, class: usize) {
        self.update_record(endpoint, |record, decay| {
            record.outcomes.retract_failure(class, decay);
        });
    }

    /// Retracts all failed responses of an endpoint.
    pub fn clear_failed(&mut self, endpoint: usize) {
        self.update_record(endpoint, |record, decay| {
            record.outcomes.clear_failed(decay);
        });
    }

    /// Records that the ejection of an endpoint has begun or ended.
    pub fn set_ejected(&mut self, endpoint: usize, is_ejected: bool) {
        self.update_record(endpoint, |record, _| record.is_ejected = is_ejected);
    }

    /// Sets the number of the newest build. Scans all endpoints if it changes.
    pub fn set_newest_build(&mut self, build: u32) {
        if self.newest_build != build {
            self.rebuild(|evidence| evidence.newest_build = build);
        }
    }

    /// Moves the outcomes of each class to the class indices in `targets`, by former class index.
    /// Scans all endpoints.
    pub fn renumber_classes(&mut self, targets: &[Vec<usize>]) {
        self.rebuild(|evidence| {
            for record in &mut evidence.endpoints {
                record.outcomes.renumber(targets, &evidence.decay);
            }
        });
    }

    /// Ends an evaluation interval. Returns the number of endpoints scanned.
    pub fn end_interval(&mut self) -> usize {
        self.interval += 1;
        // Removes the rounding errors that accumulate in the sums that do not decay.
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

    /// Outcomes of an endpoint, summed over all classes.
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

    /// Number of endpoints of a build that have shown failures since they were started.
    pub fn failing_endpoints(&self, build: u32) -> usize {
        self.builds.get(&build).map_or(0, |build| build.failing)
    }

    /// Sums over the running endpoints of a build, for the first `classes` classes. With
    /// `discard_most_failing`, a single endpoint with most of the failures is left out.
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
            // If no other endpoint was sent requests of the class, nothing remains of the sum.
            *sum = if build.decaying.endpoints(class) > 1 {
                sum.minus(&counts.scaled(factor))
            } else {
                OutcomeCounts::default()
            };
        }
    }

    /// How an endpoint's outcomes decay from now on: the baseline of an earlier build stops
    /// decaying once it is small; the evidence on the newest build always decays.
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

    /// Schedules the check whether an endpoint's outcomes are kept. Outcomes added in the meantime
    /// delay that point, in which case the check is scheduled again.
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

    /// Changes the record of a running endpoint and updates the sums of its build. The cost is
    /// proportional to the number of classes that the endpoint remembers.
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

    /// Removes all outcomes of an endpoint from the sums. Returns whether they were included.
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

    /// Adds all outcomes of an endpoint to the sums of its build.
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

    /// Recomputes all sums, with a change of the state that they depend on.
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

/// The sums of a build that include endpoints with this kind of decay, decayed to this evaluation
/// interval.
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

/// Counts an endpoint among the failing ones of its build if it has failures.
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

/// Removes an endpoint from the failing ones of its build, before its outcomes change.
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

/// Number of evaluation intervals for which this many outcomes of an earlier build still decay,
/// including the one that brings them down to the kept amount.
fn intervals_until_kept(total: &OutcomeCounts, decay: &OutcomeDecay) -> u64 {
    let ratio = (total.total() / MAX_KEPT_OUTCOMES).max(1.0);
    (ratio.ln() / -decay.factor.ln()).ceil() as u64
}

#[cfg(test)]
#[path = "../../tests/unit/outcome_evidence.rs"]
mod tests;
