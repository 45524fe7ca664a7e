//! Admission control: the limit of attempts in flight, and which requests it rejects first.

use super::{Balancer, EVALUATION_INTERVAL};
use crate::model::{ActiveRequest, ClassState};
use std::time::Duration;

/// Mean latency that keeps nearly all responses within the latency objective, as a share of the
/// objective.
const TARGET_LATENCY_SHARE: f64 = 0.4;
/// Lower bound of the target latency as a multiple of the latency floor, for classes whose lowest
/// latency is above that share.
const TARGET_OVER_FLOOR: f64 = 1.2;
/// Mean latency below which a class needs no limit, as a share of its latency objective.
const UNLIMITED_LATENCY_SHARE: f64 = 0.2;
/// Number of attempts in flight that the limit allows beyond the capacity and its square root.
const LIMIT_HEADROOM: f64 = 2.0;
/// Share of the recent peak limit below which the limit counts as collapsed.
const COLLAPSED_LIMIT_SHARE: f64 = 0.6;
/// Decay factor of the recent peak limit per evaluation interval.
const PEAK_DECAY: f64 = 0.998;
/// Growth factor of the latency floor per evaluation interval, so that old minima are forgotten.
const FLOOR_GROWTH: f64 = 1.002;
/// Smoothing gain of the response rate per evaluation interval.
const ANSWER_RATE_GAIN: f64 = 0.2;
/// Decay factor of the load counted per tenant, per evaluation interval.
const TENANT_LOAD_DECAY: f64 = 0.98;
/// Multiple of its fair share of the load beyond which a tenant counts as over its share.
const TENANT_TOLERANCE: f64 = 1.15;
/// Share of the usable limit that is left to a tenant over its fair share.
const OVER_SHARE_LIMIT_FACTOR: f64 = 0.8;
/// Share of the limit that a class of the lowest value may use; the rest is granted in proportion
/// to value.
const MIN_VALUE_LIMIT_SHARE: f64 = 0.8;
/// Share of the limit that is granted in proportion to the value of a class.
const VALUE_LIMIT_SHARE: f64 = 0.2;
/// Lower bound of the latency, in seconds, by which the value of a class is divided.
const MIN_SERVICE_TIME: f64 = 1e-4;
/// Lower bound of the best value, by which the values of other classes are divided.
const MIN_BEST_VALUE: f64 = 1e-9;

impl Balancer {
    /// Counts a request towards the load of its tenant; does nothing for `None`.
    pub(super) fn count_tenant(&mut self, tenant: Option<usize>) {
        if let Some(tenant) = tenant {
            self.admission.tenant_load.increment(tenant);
        }
    }

    /// Updates the limit of attempts in flight by Little's law: the rate of responses times the
    /// highest acceptable mean latency. Below this limit, more load yields more responses; above
    /// it, only more waiting. There is no limit while responses are fast.
    pub(super) fn update_limit(&mut self, now: Duration) {
        self.admission.tenant_load.decay(TENANT_LOAD_DECAY);
        let mut capacity = 0.0;
        let mut is_fast = true;
        for class in &mut self.classes {
            update_answer_rate(class);
            let objective = class.rules.latency_objective;
            let latency = &class.latency;
            let target = (objective * TARGET_LATENCY_SHARE).max(latency.floor * TARGET_OVER_FLOOR);
            capacity += class.answer_rate * target;
            is_fast &= latency.mean < objective * UNLIMITED_LATENCY_SHARE;
        }
        let limit = capacity + capacity.sqrt() + LIMIT_HEADROOM;
        self.apply_limit(limit, is_fast);
        self.summarize_classes();
        self.count_unresponsive(now);
    }

    /// Caches the best value and the total response rate over all classes, which decisions read.
    /// Must be called after a change of the classes' rates, latency floors or rules.
    pub(super) fn summarize_classes(&mut self) {
        let values = self.classes.iter().map(|class| self.value(class));
        self.admission.best_value = values.fold(MIN_BEST_VALUE, f64::max);
        self.admission.answer_rate = self.classes.iter().map(|c| c.answer_rate).sum();
    }

    fn apply_limit(&mut self, limit: f64, is_fast: bool) {
        let collapsed = self.has_collapsed(limit, is_fast);
        if collapsed {
            for class in &mut self.classes {
                class.latency.floor = class.latency.mean;
            }
        }
        let peak = self.admission.peak_limit;
        self.admission.peak_limit = if is_fast || collapsed {
            limit
        } else {
            (peak * PEAK_DECAY).max(limit)
        };
        self.admission.limit = (!is_fast).then_some(limit);
    }

    /// Whether the limit has collapsed, so that the present latency becomes the latency floor.
    ///
    /// Prevents a downward spiral of the limit with the rate that it admits, once the newest build
    /// is slow. Does harm if the newest build is slow and the load drops on its own, because
    /// queueing then counts as service time.
    fn has_collapsed(&self, limit: f64, is_fast: bool) -> bool {
        limit < self.admission.peak_limit * COLLAPSED_LIMIT_SHARE
            && self.evaluation.latency.is_newest_slower
            && !is_fast
    }

    fn count_unresponsive(&mut self, now: Duration) {
        let stall_timeout = self.stall_timeout();
        let awaiting_response = self.fleet.index().sets().awaiting_response();
        self.fleet.count_scanned(awaiting_response.len());
        self.admission.unresponsive_in_flight = awaiting_response
            .iter()
            .map(|index| self.fleet.endpoint(*index))
            .filter(|e| e.is_unresponsive(now, stall_timeout))
            .map(|e| e.in_flight)
            .sum();
    }

    /// Whether the limit leaves no room for this request. Classes of low value and tenants over
    /// their fair share may use only a smaller part of the limit.
    pub(super) fn is_over_limit(&self, request: &ActiveRequest) -> bool {
        let Some(limit) = self.admission.limit else {
            return false;
        };
        let tenant_factor = if self.is_over_share(request.tenant) {
            OVER_SHARE_LIMIT_FACTOR
        } else {
            1.0
        };
        let value = self.value(&self.classes[request.class]);
        let usable_share = (MIN_VALUE_LIMIT_SHARE
            + VALUE_LIMIT_SHARE * value / self.admission.best_value)
            * tenant_factor;
        let admission = &self.admission;
        let in_flight = admission
            .in_flight
            .saturating_sub(admission.unresponsive_in_flight);
        in_flight as f64 >= limit * usable_share
    }

    /// Value of a class per unit of work: its priority weight divided by its lowest latency, or the
    /// weight alone if the settings weight requests by work.
    fn value(&self, class: &ClassState) -> f64 {
        let work = if self.parameters.weight_by_work {
            1.0
        } else {
            class.latency.floor.max(MIN_SERVICE_TIME)
        };
        class.rules.priority_weight / work
    }

    pub(super) fn is_over_share(&self, tenant: Option<usize>) -> bool {
        let load = &self.admission.tenant_load;
        let total = load.sum().max(1.0);
        tenant.is_some_and(|tenant| {
            self.parameters
                .tenant_shares
                .get(tenant)
                .is_some_and(|share| load.get(tenant) > total * share * TENANT_TOLERANCE)
        })
    }
}

fn update_answer_rate(class: &mut ClassState) {
    let answered = std::mem::take(&mut class.answered);
    let rate = answered / EVALUATION_INTERVAL.as_secs_f64();
    class.answer_rate += (rate - class.answer_rate) * ANSWER_RATE_GAIN;
    class.latency.floor = (class.latency.floor * FLOOR_GROWTH).min(class.latency.mean);
}
