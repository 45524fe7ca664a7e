//! The meter of one budget: how much of it this agent has spent and may still spend.

use super::usage::{ResourceUsage, UsageEstimator};
use super::window::SpendingWindow;
use crate::config::{Budget, Limit};
use crate::reason::OverBudgetReason;
use std::ops::Range;
use std::time::Duration;

/// The fraction of the limit that must remain after an attempt of the lowest-ranked class. It is
/// zero for the highest-ranked class and proportional to the rank in between.
const RANK_RESERVE: f64 = 0.4;
/// The additional fraction of the limit that must remain after retries and hedged requests.
const REPEAT_RESERVE: f64 = 0.5;
/// Relative tolerance for rounding errors in comparisons of spending with the limit.
const LIMIT_TOLERANCE: f64 = 1e-9;
/// Smaller held amounts are rounding errors and count as zero.
const MIN_HELD: f64 = 1e-9;
/// The rank of a class without a computed rank: the lowest.
const LOWEST_RANK: f64 = 1.0;

/// Identifies a meter for its lifetime, across reloads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct MeterId(pub(super) u32);

/// Tracks how much of one budget this agent has spent, in the unit of the budget's limit.
#[derive(Clone, Debug)]
pub struct BudgetMeter {
    /// The budget that is metered.
    pub budget: Budget,
    pub(super) id: MeterId,
    window: SpendingWindow,
    /// When the used amount exceeds this, another class must be restricted to the local zone.
    restriction_threshold: f64,
    /// The amount reserved by attempts in flight.
    held: f64,
    /// By class: 0 for the highest benefit per cost, 1 for the lowest.
    ranks: Vec<f64>,
    over_budget_total: u64,
    over_budget: [u64; OverBudgetReason::COUNT],
    total: f64,
}

impl BudgetMeter {
    /// Creates a meter that starts as if this agent's limit had been spent evenly up to now. An
    /// agent does not know what it spent before a restart, and repeated restarts must not grant it
    /// the limit of a window again and again.
    pub(super) fn new(now: Duration, budget: Budget, id: MeterId) -> BudgetMeter {
        let window = match budget.limit {
            Limit::Share(_) => SpendingWindow::new(budget.window),
            _ => SpendingWindow::evenly_spent(now, budget.window, absolute_agent_limit(&budget)),
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

    /// Applies a new configuration of the budget. Past spending still counts.
    pub(super) fn reload(&mut self, now: Duration, budget: Budget) {
        self.window.resize(now, budget.window);
        self.budget = budget;
    }

    /// The amount that this agent may spend in the window that ends now.
    pub fn limit(&self) -> f64 {
        match self.budget.limit {
            Limit::Share(share) => share * self.window.requests(),
            _ => absolute_agent_limit(&self.budget),
        }
    }

    /// The amount spent in that window plus the amount held by attempts in flight.
    pub fn used(&self) -> f64 {
        self.window.spent() + self.held
    }

    /// The number of attempts that went over this limit.
    pub fn over_budget_total(&self) -> u64 {
        self.over_budget_total
    }

    /// The number of attempts that went over this limit for this reason.
    pub fn over_budget(&self, reason: OverBudgetReason) -> u64 {
        self.over_budget[reason as usize]
    }

    /// The amount spent since the start.
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

    /// Holds the amount until [`BudgetMeter::release`] if it fits in the limit. Returns whether it
    /// fits.
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

    /// The component of `usage` that counts against this limit.
    pub(super) fn amount(&self, usage: &ResourceUsage) -> f64 {
        match self.budget.limit {
            Limit::Attempts(_) | Limit::Share(_) => usage.attempts,
            Limit::Bytes(_) => usage.bytes,
            Limit::Money(_) => usage.money,
        }
    }

    /// The estimated amount of this limit that one more attempt uses. Limits in attempts need no
    /// estimate: it is always one.
    pub(super) fn estimated_amount(&self, usage: &UsageEstimator, to: usize, class: usize) -> f64 {
        match self.budget.limit {
            Limit::Attempts(_) | Limit::Share(_) => 1.0,
            Limit::Bytes(_) | Limit::Money(_) => self.amount(&usage.estimate(to, class)),
        }
    }

    /// Whether attempts of a class use the same amount of this limit in all zones.
    pub(super) fn is_zone_independent(&self) -> bool {
        matches!(self.budget.limit, Limit::Attempts(_) | Limit::Share(_))
    }

    /// The indices below `class_count` of the classes that the budget covers.
    pub(super) fn covered_classes(&self, class_count: usize) -> Range<usize> {
        match self.budget.class {
            Some(class) => class.min(class_count)..class.saturating_add(1).min(class_count),
            None => 0..class_count,
        }
    }

    /// The current usage and limit, for checking many classes against them.
    pub(super) fn snapshot(&self) -> MeterSnapshot<'_> {
        MeterSnapshot {
            used: self.used(),
            limit: self.limit(),
            ranks: &self.ranks,
        }
    }

    fn fits(&self, amount: f64, reserve: f64) -> bool {
        self.snapshot().fits(amount, reserve)
    }

    pub(super) fn set_ranks(&mut self, ranks: Vec<f64>) {
        self.ranks = ranks;
    }

    pub(super) fn set_restriction_threshold(&mut self, threshold: f64) {
        self.restriction_threshold = threshold;
    }

    /// Whether usage has grown so far that another class must be restricted to the local zone.
    pub(super) fn passed_restriction_threshold(&self) -> bool {
        self.used() > self.restriction_threshold
    }
}

/// The state of a meter at one time, which is the same for all classes checked against it.
pub(super) struct MeterSnapshot<'a> {
    pub(super) used: f64,
    limit: f64,
    ranks: &'a [f64],
}

impl MeterSnapshot<'_> {
    /// Whether an attempt of this class that uses `amount` may cross by choice without touching the
    /// reserve for higher-ranked classes.
    pub(super) fn admits(&self, amount: f64, class: usize, is_repeat: bool) -> bool {
        self.fits(amount, self.reserve(class, is_repeat))
    }

    /// The highest usage at which an attempt that uses `amount` is still admitted.
    pub(super) fn highest_admitting_use(&self, amount: f64, class: usize, is_repeat: bool) -> f64 {
        self.limit - self.reserve(class, is_repeat) - amount
    }

    /// The amount that must remain after an attempt of this class.
    fn reserve(&self, class: usize, is_repeat: bool) -> f64 {
        let rank = self.ranks.get(class).copied().unwrap_or(LOWEST_RANK);
        let repeat_reserve = if is_repeat { REPEAT_RESERVE } else { 0.0 };
        self.limit * (RANK_RESERVE * rank + repeat_reserve)
    }

    fn fits(&self, amount: f64, reserve: f64) -> bool {
        // An attempt that costs nothing always fits, even if the limit is zero.
        amount <= 0.0 || self.used + amount + reserve <= self.limit * (1.0 + LIMIT_TOLERANCE)
    }
}

/// The part of an absolute limit that this agent may spend.
fn absolute_agent_limit(budget: &Budget) -> f64 {
    budget.limit.amount() * budget.agent_fraction
}
