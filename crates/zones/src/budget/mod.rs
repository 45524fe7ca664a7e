//! Budgets for cross-zone traffic, and the part of them that one agent may spend.
//!
//! Agents share no state, so each enforces a limit of its own: for an absolute limit, a fixed
//! fraction of it (by default one divided by the number of agents); for a share, the same share of
//! the requests that the agent itself received. Either way all agents together stay within the
//! budget, however unequal their loads are. The unused part of an idle agent is used by no other.
//!
//! Spending is counted in bins over a sliding window. The sum always covers one bin more than the
//! window, so that no window exceeds the limit, and so that a stall does not free the unspent
//! amount of the past all at once.

mod meter;
mod ranking;
mod usage;
mod window;

pub use meter::BudgetMeter;
pub use usage::{ResourceUsage, Transfer};

use crate::config::{Budget, ZoneConfig};
use crate::reason::OverBudgetReason;
use meter::MeterId;
use ranking::{benefit_per_cost, rank_by_benefit_per_cost};
use std::time::Duration;
use tulipwall::IndexOrigin;
use usage::UsageEstimator;

/// The amounts that an attempt in flight holds of the budgets, and the budgets that it exceeded.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BudgetHold {
    held: Vec<HeldAmount>,
    exhausted: Vec<MeterId>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct HeldAmount {
    meter: MeterId,
    amount: f64,
}

impl BudgetHold {
    /// Whether the attempt exceeded at least one budget.
    pub fn is_over_budget(&self) -> bool {
        !self.exhausted.is_empty()
    }
}

/// Whether attempts may cross to a zone by choice, by class.
#[derive(Clone, Debug)]
pub(crate) struct AdmittedClasses {
    pub(crate) first_attempts: Vec<bool>,
    /// For retries and hedged requests.
    pub(crate) repeats: Vec<bool>,
}

/// The meters of all budgets of one agent.
#[derive(Clone, Debug)]
pub struct BudgetMeters {
    meters: Vec<BudgetMeter>,
    last_id: u32,
    priority_weights: Vec<f64>,
    usage: UsageEstimator,
}

impl BudgetMeters {
    /// Creates meters for the budgets of this configuration, in the state after a restart.
    pub fn new(now: Duration, config: &ZoneConfig) -> BudgetMeters {
        let mut meters = BudgetMeters {
            meters: Vec::new(),
            last_id: 0,
            priority_weights: Vec::new(),
            usage: UsageEstimator::new(config),
        };
        meters.apply(now, config);
        meters
    }

    /// Applies a new configuration. A budget keeps its spending if its name and unit are unchanged;
    /// a lower limit applies at once, whatever was spent before.
    pub fn reload(&mut self, now: Duration, config: &ZoneConfig, origins: &[IndexOrigin]) {
        self.usage.reload(config, origins);
        self.apply(now, config);
    }

    fn apply(&mut self, now: Duration, config: &ZoneConfig) {
        let classes = config.classes.iter();
        self.priority_weights = classes.map(|class| class.priority_weight).collect();
        let mut former = std::mem::take(&mut self.meters);
        for budget in &config.budgets {
            let meter = match former
                .iter()
                .position(|m| is_same_budget(&m.budget, budget))
            {
                Some(index) => {
                    let mut meter = former.swap_remove(index);
                    meter.reload(now, budget.clone());
                    meter
                }
                None => BudgetMeter::new(now, budget.clone(), self.next_id()),
            };
            self.meters.push(meter);
        }
        self.rank_classes();
    }

    fn next_id(&mut self) -> MeterId {
        self.last_id += 1;
        MeterId(self.last_id)
    }

    /// Ranks the classes for each budget by benefit per cost.
    pub fn rank_classes(&mut self) {
        let usage = &self.usage;
        for meter in &mut self.meters {
            // A budget that covers several zones ranks by the cost of the most expensive one.
            let cost = |class: usize| {
                (0..usage.zone_count())
                    .filter(|zone| meter.covers_zone(*zone))
                    .map(|zone| meter.amount(&usage.estimate(zone, class)))
                    .fold(0.0, f64::max)
            };
            let weights = self.priority_weights.iter().enumerate();
            let benefits_per_cost: Vec<f64> = weights
                .map(|(class, weight)| benefit_per_cost(*weight, cost(class)))
                .collect();
            let ranks =
                rank_by_benefit_per_cost(&benefits_per_cost, |class| meter.covers_class(class));
            meter.set_ranks(ranks);
        }
    }

    /// Recomputes the usage of each budget up to which it admits the classes that it admits now.
    /// Call this whenever something other than attempts in flight may have changed it.
    pub fn update_restriction_thresholds(&mut self) {
        let class_count = self.priority_weights.len();
        for meter in &mut self.meters {
            let threshold = restriction_threshold(meter, &self.usage, class_count);
            meter.set_restriction_threshold(threshold);
        }
    }

    /// Whether usage has since grown so far that another class must be restricted to the local
    /// zone.
    pub fn restrictions_outdated(&self) -> bool {
        self.meters
            .iter()
            .any(BudgetMeter::passed_restriction_threshold)
    }

    /// The estimated usage of one more attempt.
    pub fn estimate(&self, to: usize, class: usize) -> ResourceUsage {
        self.usage.estimate(to, class)
    }

    /// Counts a received request of this class.
    pub fn record_request(&mut self, now: Duration, class: usize) {
        for meter in &mut self.meters {
            if meter.covers_class(class) {
                meter.record_request(now);
            }
        }
    }

    /// Drops spending that has left the sliding windows.
    pub fn advance(&mut self, now: Duration) {
        for meter in &mut self.meters {
            meter.advance(now);
        }
    }

    /// Whether an attempt may cross by choice, leaving the reserve of each budget to higher-ranked
    /// classes. `is_repeat` is true for retries and hedged requests.
    pub fn admits(&self, to: usize, class: usize, is_repeat: bool) -> bool {
        self.meters
            .iter()
            .filter(|meter| meter.covers(to, class))
            .all(|meter| {
                let amount = meter.estimated_amount(&self.usage, to, class);
                meter.snapshot().admits(amount, class, is_repeat)
            })
    }

    /// The classes whose attempts may cross to this zone by choice, leaving the reserve of each
    /// budget to higher-ranked classes.
    pub(crate) fn admitted_classes(&self, to: usize) -> AdmittedClasses {
        let class_count = self.priority_weights.len();
        let mut admitted = AdmittedClasses {
            first_attempts: vec![true; class_count],
            repeats: vec![true; class_count],
        };
        for meter in self.meters.iter().filter(|meter| meter.covers_zone(to)) {
            let snapshot = meter.snapshot();
            for class in meter.covered_classes(class_count) {
                let amount = meter.estimated_amount(&self.usage, to, class);
                admitted.first_attempts[class] &= snapshot.admits(amount, class, false);
                admitted.repeats[class] &= snapshot.admits(amount, class, true);
            }
        }
        admitted
    }

    /// Reserves the estimated usage of an attempt that crosses, in each budget that it fits in.
    pub fn reserve(&mut self, now: Duration, to: usize, class: usize) -> BudgetHold {
        let usage = self.estimate(to, class);
        let mut hold = BudgetHold::default();
        for meter in &mut self.meters {
            if !meter.covers(to, class) {
                continue;
            }
            meter.advance(now);
            let amount = meter.amount(&usage);
            if meter.try_hold(amount) {
                let meter = meter.id;
                hold.held.push(HeldAmount { meter, amount });
            } else {
                hold.exhausted.push(meter.id);
            }
        }
        hold
    }

    /// Counts an attempt that crossed although budgets were exhausted, at each of these. It is not
    /// charged to them, so that the traffic that has to cross leaves the whole budget to traffic
    /// that crosses by choice.
    pub fn record_over_budget(&mut self, hold: &BudgetHold, reason: OverBudgetReason) {
        for meter in &mut self.meters {
            if hold.exhausted.contains(&meter.id) {
                meter.record_over_budget(reason);
            }
        }
    }

    /// Replaces the amounts that a completed attempt held by its actual usage. Returns its cost at
    /// the price of the link.
    pub fn settle(
        &mut self,
        now: Duration,
        to: usize,
        class: usize,
        hold: &BudgetHold,
        transfer: Transfer,
    ) -> f64 {
        self.usage.observe(to, class, transfer);
        let usage = self.usage.measure(to, transfer);
        for held in &hold.held {
            let Some(meter) = self.meters.iter_mut().find(|m| m.id == held.meter) else {
                continue;
            };
            meter.release(held.amount);
            meter.spend(now, meter.amount(&usage));
        }
        usage.money
    }

    /// Charges the traffic of a connection outside attempts, which uses bytes and money although no
    /// request crossed. Budgets of a single class are not charged, because a connection serves all
    /// classes. Returns the cost of the traffic.
    pub fn charge(&mut self, now: Duration, to: usize, transfer: Transfer) -> f64 {
        let usage = self.usage.measure(to, transfer);
        for meter in &mut self.meters {
            if meter.budget.class.is_none() && meter.covers_zone(to) {
                meter.spend(now, meter.amount(&usage));
            }
        }
        usage.money
    }

    /// The meters, one per budget, in the order of the configuration.
    pub fn meters(&self) -> &[BudgetMeter] {
        &self.meters
    }

    /// Whether there are no budgets.
    pub fn is_empty(&self) -> bool {
        self.meters.is_empty()
    }
}

fn is_same_budget(a: &Budget, b: &Budget) -> bool {
    a.name == b.name && a.limit.unit() == b.limit.unit()
}

/// The lowest usage above which this budget stops admitting a class that it admits now; infinite if
/// there is no such class.
fn restriction_threshold(meter: &BudgetMeter, usage: &UsageEstimator, class_count: usize) -> f64 {
    let snapshot = meter.snapshot();
    let mut threshold = f64::INFINITY;
    let covered_zones = (0..usage.zone_count()).filter(|zone| meter.covers_zone(*zone));
    let max_zones_to_check = if meter.is_zone_independent() {
        1
    } else {
        usage.zone_count()
    };
    for zone in covered_zones.take(max_zones_to_check) {
        for class in meter.covered_classes(class_count) {
            let amount = meter.estimated_amount(usage, zone, class);
            for is_repeat in [false, true] {
                let highest = snapshot.highest_admitting_use(amount, class, is_repeat);
                if highest >= snapshot.used {
                    threshold = threshold.min(highest);
                }
            }
        }
    }
    threshold
}
