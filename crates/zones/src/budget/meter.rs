//! The meter of one budget: what this agent has spent of it and may still spend.

use super::usage::{ResourceUsage, UsageEstimator};
use super::window::SpendingWindow;
use crate::config::{Budget, Limit};
use crate::reason::OverBudgetReason;
use std::ops::Range;
use std::time::Duration;

/// The fraction of the limit that must remain after an attempt of the class of lowest rank; nothing
/// for that of highest rank, and in proportion between.
const RANK_RESERVE: f64 = 0.4;
/// Must remain on top of that after retries and hedged requests.
const REPEAT_RESERVE: f64 = 0.5;
/// Relative tolerance for rounding errors where spending is compared with the limit.
const LIMIT_TOLERANCE: f64 = 1e-9;
/// Amounts held that are below this are rounding errors.
const MIN_HELD: f64 = 1e-9;
/// The rank of a class that has none: the lowest.
const LOWEST_RANK: f64 = 1.0;

/// Identifies a meter as long as it exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct MeterId(pub(super) u32);

/// What this agent has spent of one budget.
#[derive(Clone, Debug)]
pub struct BudgetMeter {
    /// The budget it meters.
    pub budget: Budget,
    pub(super) id: MeterId,
    window: SpendingWindow,
    /// Above this use another class is restricted to the local zone.
    restriction_threshold: f64,
    /// Reserved by attempts in flight.
    held: f64,
    /// By class: 0 for the highest benefit for its cost, 1 for the lowest.
    ranks: Vec<f64>,
    over_budget_total: u64,
    over_budget: [u64; OverBudgetReason::COUNT],
    total: f64,
}

impl BudgetMeter {
    /// A meter that begins as if this agent's part had been spent evenly until now: an agent that
    /// starts does not know what it spent before a restart, and restarts must not give it the
    /// window's part again and again.
    pub(super) fn new(now: Duration, budget: Budget, id: MeterId) -> BudgetMeter {
        let window = match budget.limit {
            Limit::Share(_) => SpendingWindow::new(budget.window),
            _ => SpendingWindow::evenly_spent(now, budget.window, absolute_part(&budget)),
        };
        BudgetMeter {
            budget,
            id,
            window,
            restriction_threshold: 0.0,
            held: 0.0,
            ranks: Vec::new(),
            over_budget_total: 0,
            over_budget: [0; OverBudgetReason::COUNT],
            total: 0.0,
        }
    }

    /// Continues under a new configuration; what is spent stays spent.
    pub(super) fn reload(&mut self, now: Duration, budget: Budget) {
        self.window.resize(now, budget.window);
        self.budget = budget;
    }

    /// What this agent may spend in the window that ends now.
    pub fn limit(&self) -> f64 {
        match self.budget.limit {
            Limit::Share(share) => share * self.window.requests(),
            _ => absolute_part(&self.budget),
        }
    }

    /// What it has spent in that window, with what attempts in flight hold.
    pub fn used(&self) -> f64 {
        self.window.spent() + self.held
    }

    /// How many attempts went over this limit.
    pub fn over_budget_total(&self) -> u64 {
        self.over_budget_total
    }

    /// How many attempts went over this limit for this reason.
    pub fn over_budget(&self, reason: OverBudgetReason) -> u64 {
        self.over_budget[reason as usize]
    }

    /// What was spent since the start.
    pub fn total(&self) -> f64 {
        self.total
    }

    pub(super) fn advance(&mut self, now: Duration) {
        self.window.advance(now);
    }

    pub(super) fn record_request(&mut self, now: Duration) {
        self.window.add_request(now);
    }

    pub(super) fn record_over_budget(&mut self, reason: OverBudgetReason) {
        self.over_budget_total += 1;
        self.over_budget[reason as usize] += 1;
    }

    pub(super) fn spend(&mut self, now: Duration, amount: f64) {
        self.window.add_spending(now, amount);
        self.total += amount;
    }

    /// Holds the amount until [`BudgetMeter::release`], if there is room for it.
    pub(super) fn try_hold(&mut self, amount: f64) -> bool {
        let fits = self.fits(amount, 0.0);
        if fits {
            self.held += amount;
        }
        fits
    }

    pub(super) fn release(&mut self, amount: f64) {
        self.held = (self.held - amount).max(0.0);
        if self.held < MIN_HELD {
            self.held = 0.0;
        }
    }

    pub(super) fn covers_zone(&self, to: usize) -> bool {
        self.budget.to.is_none_or(|zone| zone == to)
    }

    pub(super) fn covers_class(&self, class: usize) -> bool {
        self.budget.class.is_none_or(|covered| covered == class)
    }

    pub(super) fn covers(&self, to: usize, class: usize) -> bool {
        self.covers_zone(to) && self.covers_class(class)
    }

    /// The part of a usage that counts against this limit.
    pub(super) fn amount(&self, usage: &ResourceUsage) -> f64 {
        match self.budget.limit {
            Limit::Attempts(_) | Limit::Share(_) => usage.attempts,
            Limit::Bytes(_) => usage.bytes,
            Limit::Money(_) => usage.money,
        }
    }

    /// What one more attempt may take of this limit. Of attempts it is always one: no estimate.
    pub(super) fn estimated_amount(&self, usage: &UsageEstimator, to: usize, class: usize) -> f64 {
        match self.budget.limit {
            Limit::Attempts(_) | Limit::Share(_) => 1.0,
            Limit::Bytes(_) | Limit::Money(_) => self.amount(&usage.estimate(to, class)),
        }
    }

    /// Whether all attempts of a class take the same of this limit, whatever the zone.
    pub(super) fn takes_the_same_of_each_zone(&self) -> bool {
        matches!(self.budget.limit, Limit::Attempts(_) | Limit::Share(_))
    }

    /// The classes that it covers, of so many.
    pub(super) fn covered_classes(&self, class_count: usize) -> Range<usize> {
        match self.budget.class {
            Some(class) => class.min(class_count)..class.saturating_add(1).min(class_count),
            None => 0..class_count,
        }
    }

    /// What is used and may be used now, to check many classes against.
    pub(super) fn reading(&self) -> MeterReading<'_> {
        MeterReading {
            used: self.used(),
            limit: self.limit(),
            ranks: &self.ranks,
        }
    }

    fn fits(&self, amount: f64, reserve: f64) -> bool {
        self.reading().fits(amount, reserve)
    }

    pub(super) fn set_ranks(&mut self, ranks: Vec<f64>) {
        self.ranks = ranks;
    }

    pub(super) fn set_restriction_threshold(&mut self, threshold: f64) {
        self.restriction_threshold = threshold;
    }

    /// Whether so much is used that another class is to be restricted to the local zone.
    pub(super) fn passed_restriction_threshold(&self) -> bool {
        self.used() > self.restriction_threshold
    }
}

/// A meter at one time: what stays the same while classes are checked against it.
pub(super) struct MeterReading<'a> {
    pub(super) used: f64,
    limit: f64,
    ranks: &'a [f64],
}

impl MeterReading<'_> {
    /// Whether an attempt of this class that takes `amount` may cross by choice, leaving the reserve
    /// for classes of higher rank.
    pub(super) fn admits(&self, amount: f64, class: usize, is_repeat: bool) -> bool {
        self.fits(amount, self.reserve(class, is_repeat))
    }

    /// The highest use at which an attempt that takes `amount` is still admitted.
    pub(super) fn highest_admitting_use(&self, amount: f64, class: usize, is_repeat: bool) -> f64 {
        self.limit - self.reserve(class, is_repeat) - amount
    }

    /// What must remain after an attempt of this class.
    fn reserve(&self, class: usize, is_repeat: bool) -> f64 {
        let rank = self.ranks.get(class).copied().unwrap_or(LOWEST_RANK);
        let repeat_reserve = if is_repeat { REPEAT_RESERVE } else { 0.0 };
        self.limit * (RANK_RESERVE * rank + repeat_reserve)
    }

    fn fits(&self, amount: f64, reserve: f64) -> bool {
        // What costs nothing always fits, also where the limit is zero.
        amount <= 0.0 || self.used + amount + reserve <= self.limit * (1.0 + LIMIT_TOLERANCE)
    }
}

/// This agent's part of an absolute limit.
fn absolute_part(budget: &Budget) -> f64 {
    budget.limit.amount() * budget.agent_fraction
}
