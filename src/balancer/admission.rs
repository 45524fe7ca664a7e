//! How much is let in: commands in flight here, deliveries to a build on trial.

use super::*;

const TARGET: f64 = 0.4; // of the quoted time: a mean answer that keeps nearly all within it
const EASY: f64 = 0.2; // of the quoted time: answers this quick need no bound
const FALLEN: f64 = 0.6; // of the highest limit of late
const RATE_GAIN: f64 = 0.2; // each survey

impl Choice {
    /// What may be in flight: the answers that come, times the mean answer time that is still good. Below
    /// it, answers grow with what is sent; above it, only the waiting does. Quick answers need no limit.
    pub(super) fn limit(&mut self, now: Duration) {
        self.customer_load.iter_mut().for_each(|l| *l *= 0.98);
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
        for l in &mut self.lanes {
            l.rate += (std::mem::take(&mut l.done) / SURVEY.as_secs_f64() - l.rate) * RATE_GAIN;
            l.least = (l.least * 1.002).min(l.usual);
            room += l.rate * (l.quoted * TARGET).max(l.least * 1.2);
            good &= l.usual < l.quoted * EASY;
        }
        let limit = room + room.sqrt() + 2.0;
        // Guards against a limit that falls with the rate it lets through, once the newest build is slow.
        let fell = limit < self.load.peak * FALLEN && self.drag.heavy && !good;
        self.lanes
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
        let density = |l: &LaneView| {
            l.benefit
                / if self.at.by_work {
                    1.0
                } else {
                    l.least.max(1e-4)
                }
        };
        let best = self.lanes.iter().map(density).fold(1e-9, f64::max);
        let total = self.customer_load.iter().sum::<f64>().max(1.0);
        let over = |i: usize| {
            self.at
                .shares
                .get(i)
                .is_some_and(|s| self.customer_load[i] > total * s * 1.15)
        };
        let fair = if c.customer.is_some_and(over) {
            0.8
        } else {
            1.0
        };
        let room = (0.8 + 0.2 * density(&self.lanes[c.lane]) / best) * fair;
        self.load.in_flight.saturating_sub(self.load.stuck) as f64 >= limit * room
    }

    /// Tokens: each command taken adds the cap, each delivery takes one, `free` at most are kept.
    pub(super) fn set_caps(&mut self) {
        let cap = |b| {
            self.news
                .as_ref()
                .filter(|n| n.build == b)
                .map_or(self.at.first_cap, |n| n.cap)
        };
        self.builds
            .iter_mut()
            .for_each(|(number, b)| b.cap = cap(*number));
    }

    pub(super) fn may_expose(&self, build: u32, lane: usize) -> bool {
        let stage = self
            .news
            .as_ref()
            .filter(|n| n.build == build)
            .map_or(0, |n| n.stage);
        let open = stage >= self.at.guarded || self.lanes[lane].repeats == Repeats::Idempotent;
        let left = |b: &Build| b.cap > 0.0 && b.tokens[self.at.slot(lane)] >= 1.0;
        !self.on_trial(build) || open && self.builds.get(&build).is_some_and(left)
    }
}
