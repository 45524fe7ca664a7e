//! Budgets for cross-zone traffic, and what one agent may spend of them on its own.
//!
//! Agents share nothing, so each keeps to a part of its own: of an absolute limit a fixed fraction
//! (by default one over the number of agents), of a share the same share of the requests that it
//! received itself. Either way the sum over all agents stays within the budget however unequal they
//! are. What an idle agent leaves is used by nobody.
//!
//! Spending is counted in bins over a sliding window, always over one bin more than the window
//! holds: no window ever sees more than the limit, and a stall does not make anything available at
//! once that was not spent before.

mod meter;
mod ranking;
mod usage;
mod window;

pub use meter::BudgetMeter;
pub use usage::{ResourceUsage, Transfer};

use crate::config::{Budget, ZoneConfig};
use crate::reason::OverBudgetReason;
use meter::MeterId;
use ranking::{rank_by_worth, worth};
use std::time::Duration;
use tulipwall::IndexOrigin;
use usage::UsageEstimator;

/// What an attempt in flight holds of the budgets, and which budgets had no room for it.
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
    /// Whether some budget had no room for it.
    pub fn is_over_budget(&self) -> bool {
        !self.exhausted.is_empty()
    }
}

/// By class, whether an attempt may cross to a zone by choice.
#[derive(Clone, Debug)]
pub(crate) struct AdmittedClasses {
    pub(crate) first_attempts: Vec<bool>,
    /// Retries and hedged requests.
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
    /// Meters for the budgets of this configuration, as after a restart.
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

    /// Continues under a new configuration. A budget is the same if its name and unit are; a lower
    /// limit holds at once, whatever was spent.
    pub fn reload(&mut self, now: Duration, config: &ZoneConfig, origins: &[IndexOrigin]) {
        self.usage.reload(config, origins);
        self.apply(now, config);
    }

    fn apply(&mut self, now: Duration, config: &ZoneConfig) {
        let classes = config.classes.iter();
        self.priority_weights = classes.map(|class| class.priority_weight).collect();
        let mut former = std::mem::take(&mut self.meters);
        for budget in &config.budgets {
            let meter = match former.iter().position(|m| is_same(&m.budget, budget)) {
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

    /// Ranks the classes for each budget by their benefit for their cost.
    pub fn rank_classes(&mut self) {
        let usage = &self.usage;
        for meter in &mut self.meters {
            // A budget for no zone in particular ranks by the most expensive one.
            let cost = |class: usize| {
                (0..usage.zone_count())
                    .filter(|zone| meter.covers_zone(*zone))
                    .map(|zone| meter.amount(&usage.estimate(zone, class)))
                    .fold(0.0, f64::max)
            };
            let weights = self.priority_weights.iter().enumerate();
            let worths: Vec<f64> = weights
                .map(|(class, weight)| worth(*weight, cost(class)))
                .collect();
            let ranks = rank_by_worth(&worths, |class| meter.covers_class(class));
            meter.set_ranks(ranks);
        }
    }

    /// Recomputes up to which use each budget admits the classes that it admits now. To be called
    /// whenever that may have changed for another reason than attempts in flight.
    pub fn update_restriction_thresholds(&mut self) {
        let class_count = self.priority_weights.len();
        for meter in &mut self.meters {
            let threshold = restriction_threshold(meter, &self.usage, class_count);
            meter.set_restriction_threshold(threshold);
        }
    }

    /// Whether since then so much was used that another class is to be restricted to the local
    /// zone.
    pub fn restrictions_outdated(&self) -> bool {
        self.meters
            .iter()
            .any(BudgetMeter::passed_restriction_threshold)
    }

    /// What one more attempt may take.
    pub fn estimate(&self, to: usize, class: usize) -> ResourceUsage {
        self.usage.estimate(to, class)
    }

    /// A request of this class was received.
    pub fn record_request(&mut self, now: Duration, class: usize) {
        for meter in &mut self.meters {
            if meter.covers_class(class) {
                meter.record_request(now);
            }
        }
    }

    /// Lets go of spending that has left the windows.
    pub fn advance(&mut self, now: Duration) {
        for meter in &mut self.meters {
            meter.advance(now);
        }
    }

    /// Whether an attempt may cross by choice: each budget keeps the reserve for classes of higher
    /// rank. `is_repeat` for retries and hedged requests.
    pub fn admits(&self, to: usize, class: usize, is_repeat: bool) -> bool {
        self.meters
            .iter()
            .filter(|meter| meter.covers(to, class))
            .all(|meter| {
                let amount = meter.estimated_amount(&self.usage, to, class);
                meter.reading().admits(amount, class, is_repeat)
            })
    }

    /// Which classes may cross to this zone by choice: each budget keeps the reserve for classes of
    /// higher rank.
    pub(crate) fn admitted_classes(&self, to: usize) -> AdmittedClasses {
        let class_count = self.priority_weights.len();
        let mut admitted = AdmittedClasses {
            first_attempts: vec![true; class_count],
            repeats: vec![true; class_count],
        };
        for meter in self.meters.iter().filter(|meter| meter.covers_zone(to)) {
            let reading = meter.reading();
            for class in meter.covered_classes(class_count) {
                let amount = meter.estimated_amount(&self.usage, to, class);
                admitted.first_attempts[class] &= reading.admits(amount, class, false);
                admitted.repeats[class] &= reading.admits(amount, class, true);
            }
        }
        admitted
    }

    /// An attempt crosses: holds what it may take of each budget that has room for it.
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

    /// An attempt crossed although budgets were exhausted: counted at each of these. It is not
    /// spent there, so that what crosses by choice in any window is what the budget gives, whatever
    /// else had to cross.
    pub fn record_over_budget(&mut self, hold: &BudgetHold, reason: OverBudgetReason) {
        for meter in &mut self.meters {
            if hold.exhausted.contains(&meter.id) {
                meter.record_over_budget(reason);
            }
        }
    }

    /// An attempt ended: what it took replaces what it held. Returns its cost by the link's price.
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

    /// Traffic of a connection outside attempts: bytes and money are spent though no request
    /// crossed. Budgets of one class are not charged, as a connection serves any. Returns its cost.
    pub fn charge(&mut self, now: Duration, to: usize, transfer: Transfer) -> f64 {
        let usage = self.usage.measure(to, transfer);
        for meter in &mut self.meters {
            if meter.budget.class.is_none() && meter.covers_zone(to) {
                meter.spend(now, meter.amount(&usage));
            }
        }
        usage.money
    }

    /// The meters, one for each budget in the order of the configuration.
    pub fn meters(&self) -> &[BudgetMeter] {
        &self.meters
    }

    /// Whether there are no budgets.
    pub fn is_empty(&self) -> bool {
        self.meters.is_empty()
    }
}

fn is_same(a: &Budget, b: &Budget) -> bool {
    a.name == b.name && a.limit.unit() == b.limit.unit()
}

/// The lowest use above which this budget stops admitting a class that it admits now; infinite
/// where there is none.
fn restriction_threshold(meter: &BudgetMeter, usage: &UsageEstimator, class_count: usize) -> f64 {
    let reading = meter.reading();
    let mut threshold = f64::INFINITY;
    let covered_zones = (0..usage.zone_count()).filter(|zone| meter.covers_zone(*zone));
    let differing_zones = if meter.takes_the_same_of_each_zone() {
        1
    } else {
        usage.zone_count()
    };
    for zone in covered_zones.take(differing_zones) {
        for class in meter.covered_classes(class_count) {
            let amount = meter.estimated_amount(usage, zone, class);
            for is_repeat in [false, true] {
                let highest = reading.highest_admitting_use(amount, class, is_repeat);
                if highest >= reading.used {
                    threshold = threshold.min(highest);
                }
            }
        }
    }
    threshold
}
