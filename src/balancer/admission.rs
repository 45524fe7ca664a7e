//! How much is let in: requests in flight here, attempts to a build on trial.

use super::*;

const TARGET: f64 = 0.4; // of the latency objective: a mean answer that keeps nearly all within it
const EASY: f64 = 0.2; // of the latency objective: answers this quick need no bound
const FALLEN: f64 = 0.6; // of the highest limit of late
const RATE_GAIN: f64 = 0.2; // each survey

impl Balancer {
    /// What may be in flight: the answers that come, times the mean answer time that is still good.
    /// Below it, answers grow with what is sent; above it, only the waiting does. Quick answers
    /// need no limit.
    pub(super) fn limit(&mut self, now: Duration) {
        self.tenant_load.iter_mut().for_each(|l| *l *= 0.98);
        let by = if self.load.near > self.load.far * 1.2 {
            1.1
        } else {
            0.95
        };
        self.load.abroad = if self.at.crossing {
            (self.load.abroad * by).clamp(0.03, 1.0)
        } else {
            1.0
        };
        let (mut room, mut good) = (0.0, true);
        for l in &mut self.classes {
            l.rate += (std::mem::take(&mut l.done) / EVALUATION_INTERVAL.as_secs_f64() - l.rate)
                * RATE_GAIN;
            l.least = (l.least * 1.002).min(l.usual);
            room += l.rate * (l.latency_objective * TARGET).max(l.least * 1.2);
            good &= l.usual < l.latency_objective * EASY;
        }
        let limit = room + room.sqrt() + 2.0;
        // Guards against a limit that falls with the rate it lets through, once the newest build is
        // slow.
        let fell = limit < self.load.peak * FALLEN && self.drag.heavy && !good;
        self.classes
            .iter_mut()
            .filter(|_| fell)
            .for_each(|l| l.least = l.usual);
        self.load.peak = if good || fell {
            limit
        } else {
            (self.load.peak * 0.998).max(limit)
        };
        self.load.limit = (!good).then_some(limit);
        let patience = self.patience();
        self.load.stuck = self
            .fleet
            .iter()
            .filter(|a| a.silent(now, patience))
            .map(|a| a.in_flight)
            .sum();
    }

    pub(super) fn crowded(&self, c: &Open) -> bool {
        let Some(limit) = self.load.limit else {
            return false;
        };
        let density = |l: &ClassState| {
            l.priority_weight
                / if self.at.by_work {
                    1.0
                } else {
                    l.least.max(1e-4)
                }
        };
        let best = self.classes.iter().map(density).fold(1e-9, f64::max);
        let total = self.tenant_load.iter().sum::<f64>().max(1.0);
        let over = |i: usize| {
            self.at
                .shares
                .get(i)
                .is_some_and(|s| self.tenant_load[i] > total * s * 1.15)
        };
        let fair = if c.tenant.is_some_and(over) { 0.8 } else { 1.0 };
        let room = (0.8 + 0.2 * density(&self.classes[c.class]) / best) * fair;
        self.load.in_flight.saturating_sub(self.load.stuck) as f64 >= limit * room
    }

    /// Tokens: each request taken adds the cap, each attempt takes one, `free` at most are kept.
    pub(super) fn set_caps(&mut self) {
        let cap = |b| {
            self.rollout_status
                .as_ref()
                .filter(|n| n.build == b)
                .map_or(self.at.first_cap, |n| n.cap)
        };
        self.builds
            .iter_mut()
            .for_each(|(number, b)| b.cap = cap(*number));
    }

    pub(super) fn may_expose(&self, build: u32, class: usize) -> bool {
        let stage = self
            .rollout_status
            .as_ref()
            .filter(|n| n.build == build)
            .map_or(0, |n| n.stage);
        let open =
            stage >= self.at.guarded || self.classes[class].idempotency == Idempotency::Idempotent;
        let left = |b: &Build| b.cap > 0.0 && b.tokens[self.at.slot(class)] >= 1.0;
        !self.on_trial(build) || open && self.builds.get(&build).is_some_and(left)
    }
}
