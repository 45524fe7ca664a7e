//! Budgets for what crosses, and what one agent may spend alone.
//!
//! Agents share nothing, so each keeps to a part of its own: of an absolute limit a fixed one (by
//! default one over the number of agents), of a share the same share of what it took itself. Either
//! way the sum over all agents keeps to the budget however unequal they are. What an idle agent
//! leaves is used by nobody.
//!
//! Spending is counted in bins over a sliding window, always over one bin more than the window
//! holds: no window ever sees more than the limit, and after a stall nothing is due at once that
//! was not spent before.

use crate::account::carried;
use crate::route::OverBudgetReason;
use crate::zoning::{Budget, ClassProfile, Limit, Price, ZoneConfig};
use std::collections::VecDeque;
use std::time::Duration;
use tulipwall::IndexOrigin;

/// Bins to a window.
const BINS: u32 = 32;
/// What must stay of a part after an attempt, for the class of least benefit for its cost; nothing
/// for the class of most, and in proportion between.
const RESERVE: f64 = 0.4;
/// On top of that for further attempts and hedged requests.
const AGAIN: f64 = 0.5;
/// What an attempt is taken to need before any was seen, in bytes each way.
const GUESS: f64 = 1024.0;
/// How fast the largest of late is forgotten.
const LARGEST_FADE: f64 = 0.98;

/// What one attempt takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceUsage {
    pub attempts: f64,
    pub bytes: f64,
    pub money: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Spent {
    bin: u64,
    spent: f64,
    taken: f64,
}

/// One limit of one budget.
#[derive(Clone, Debug)]
pub struct BudgetMeter {
    pub budget: Budget,
    id: u32,
    bins: VecDeque<Spent>,
    until: Duration, // the newest bin's end
    sum: (f64, f64), // spent and taken in the bins
    /// What may be used until another class has to stay near.
    barred_at: f64,
    held: f64,       // reserved by attempts that are out
    ranks: Vec<f64>, // by class: 0 for most benefit for its cost, 1 for least
    over: u64,
    over_for: [u64; OverBudgetReason::ALL.len()],
    total: f64,
}

impl BudgetMeter {
    fn new(now: Duration, budget: Budget, id: u32) -> BudgetMeter {
        let mut purse = BudgetMeter {
            budget,
            id,
            bins: VecDeque::new(),
            until: Duration::ZERO,
            sum: (0.0, 0.0),
            barred_at: 0.0,
            held: 0.0,
            ranks: Vec::new(),
            over: 0,
            over_for: Default::default(),
            total: 0.0,
        };
        // An agent that starts does not know what it spent before it was restarted: as if its part
        // had been spent evenly, so that restarts do not give it the window's part again and again.
        if !matches!(purse.budget.limit, Limit::Share(_)) {
            let last = purse.bin(now);
            let each = purse.part() / f64::from(BINS + 1);
            let bins = last.saturating_sub(u64::from(BINS))..=last;
            purse.bins = bins
                .map(|bin| Spent {
                    bin,
                    spent: each,
                    taken: 0.0,
                })
                .collect();
            purse.sum = (each * purse.bins.len() as f64, 0.0);
        }
        purse
    }

    fn bin(&self, now: Duration) -> u64 {
        let width = (self.budget.window / BINS).as_micros().max(1);
        (now.as_micros() / width) as u64
    }

    /// This agent's part of an absolute limit.
    fn part(&self) -> f64 {
        self.budget.limit.amount() * self.budget.agent_fraction
    }

    /// What this agent may spend in the window that ends now.
    pub fn limit(&self) -> f64 {
        match self.budget.limit {
            Limit::Share(share) => share * self.sum.1,
            _ => self.part(),
        }
    }

    /// What it has spent in that window, with what is reserved by attempts that are out.
    pub fn used(&self) -> f64 {
        self.sum.0 + self.held
    }

    /// How many attempts went over this limit.
    pub fn over_budget_total(&self) -> u64 {
        self.over
    }

    pub fn over_budget(&self, reason: OverBudgetReason) -> u64 {
        self.over_for[reason as usize]
    }

    /// What was spent since the start.
    pub fn total(&self) -> f64 {
        self.total
    }

    fn roll(&mut self, now: Duration) -> &mut Spent {
        if now >= self.until || self.bins.is_empty() {
            let bin = self.bin(now);
            self.until = (self.budget.window / BINS) * (bin as u32).saturating_add(1);
            self.bins.push_back(Spent {
                bin,
                ..Spent::default()
            });
            while self
                .bins
                .front()
                .is_some_and(|b| b.bin + u64::from(BINS) < bin)
            {
                self.bins.pop_front();
            }
            // Summed anew, so that no error adds up.
            self.sum = self
                .bins
                .iter()
                .fold((0.0, 0.0), |s, b| (s.0 + b.spent, s.1 + b.taken));
        }
        let last = self.bins.len() - 1;
        &mut self.bins[last]
    }

    fn taken(&mut self, now: Duration) {
        self.roll(now).taken += 1.0;
        self.sum.1 += 1.0;
    }

    fn spend(&mut self, now: Duration, amount: f64) {
        self.roll(now).spent += amount;
        self.sum.0 += amount;
        self.total += amount;
    }

    fn covers(&self, to: usize, class: usize) -> bool {
        self.budget.to.is_none_or(|t| t == to) && self.budget.class.is_none_or(|l| l == class)
    }

    fn amount(&self, s: &ResourceUsage) -> f64 {
        match self.budget.limit {
            Limit::Attempts(_) | Limit::Share(_) => s.attempts,
            Limit::Bytes(_) => s.bytes,
            Limit::Money(_) => s.money,
        }
    }

    /// What must stay in it after an attempt of this class.
    fn reserve(&self, class: usize, again: bool) -> f64 {
        let rank = self.ranks.get(class).copied().unwrap_or(1.0);
        self.limit() * (RESERVE * rank + if again { AGAIN } else { 0.0 })
    }

    fn fits(&self, amount: f64, reserve: f64) -> bool {
        // A price of zero costs nothing, and so is never short.
        amount <= 0.0 || self.used() + amount + reserve <= self.limit() * (1.0 + 1e-9)
    }

    /// Goes on under a budget that was read anew: what is spent stays spent, in the new window's
    /// bins.
    fn renew(&mut self, now: Duration, budget: Budget) {
        let width = self.budget.window / BINS;
        let old = std::mem::take(&mut self.bins);
        self.until = Duration::ZERO;
        self.budget = budget;
        let last = self.bin(now);
        for b in old {
            let at = Duration::from_micros((width.as_micros() as u64).saturating_mul(b.bin));
            let bin = self.bin(at.min(now));
            if bin + u64::from(BINS) < last {
                continue;
            }
            match self.bins.back_mut().filter(|l| l.bin >= bin) {
                Some(l) => (l.spent, l.taken) = (l.spent + b.spent, l.taken + b.taken),
                None => self.bins.push_back(Spent { bin, ..b }),
            }
        }
        self.sum = self
            .bins
            .iter()
            .fold((0.0, 0.0), |s, b| (s.0 + b.spent, s.1 + b.taken));
    }
}

/// What an attempt that is out has reserved, and at which purses there was no room for it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BudgetHold {
    held: Vec<(u32, f64)>,
    short: Vec<u32>,
}

impl BudgetHold {
    /// Some budget was too short for it.
    pub fn is_over(&self) -> bool {
        !self.short.is_empty()
    }
}

/// All budgets of one agent.
#[derive(Clone, Debug)]
pub struct BudgetMeters {
    purses: Vec<BudgetMeter>,
    ids: u32,
    prices: Vec<Price>,
    benefits: Vec<f64>,
    /// The largest of late, out and back, by zone and class.
    largest: Vec<Vec<(f64, f64)>>,
}

impl BudgetMeters {
    pub fn new(now: Duration, zoning: &ZoneConfig) -> BudgetMeters {
        let classes = zoning.classes.len();
        let mut purses = BudgetMeters {
            purses: Vec::new(),
            ids: 0,
            prices: Vec::new(),
            benefits: Vec::new(),
            largest: vec![vec![(GUESS, GUESS); classes]; zoning.zone_count_with_unnamed()],
        };
        purses.reload(now, zoning, &vec![IndexOrigin::Same; classes]);
        purses
    }

    /// Goes on under what was read anew, with classes numbered as `by` says. A budget is the same
    /// if its name and its unit are; a lower one holds at once, whatever was spent.
    pub fn reload(&mut self, now: Duration, zoning: &ZoneConfig, by: &[IndexOrigin]) {
        for zone in &mut self.largest {
            let mut old: Vec<_> = std::mem::take(zone).into_iter().map(Some).collect();
            *zone = carried(by, &mut old)
                .into_iter()
                .map(|l| l.unwrap_or((GUESS, GUESS)))
                .collect();
        }
        let mut old = std::mem::take(&mut self.purses);
        self.prices = (0..zoning.zone_count_with_unnamed())
            .map(|z| zoning.link(z).price)
            .collect();
        self.benefits = zoning
            .classes
            .iter()
            .map(|l: &ClassProfile| l.priority_weight)
            .collect();
        for budget in &zoning.budgets {
            let same = |p: &BudgetMeter| {
                p.budget.name == budget.name && p.budget.limit.unit() == budget.limit.unit()
            };
            match old.iter().position(same) {
                Some(n) => {
                    let mut purse = old.swap_remove(n);
                    purse.renew(now, budget.clone());
                    self.purses.push(purse);
                }
                None => {
                    self.ids += 1;
                    self.purses
                        .push(BudgetMeter::new(now, budget.clone(), self.ids));
                }
            }
        }
        self.rank_classes();
    }

    /// Orders the classes of each purse by benefit for cost.
    pub fn rank_classes(&mut self) {
        for n in 0..self.purses.len() {
            let purse = &self.purses[n];
            let to = purse.budget.to;
            let cost = |class: usize| {
                // To no zone in particular: the dearest way counts.
                let zones = (0..self.largest.len()).filter(|z| to.is_none_or(|t| t == *z));
                zones
                    .map(|z| purse.amount(&self.estimate(z, class)))
                    .fold(0.0, f64::max)
            };
            let worth: Vec<f64> = self
                .benefits
                .iter()
                .enumerate()
                .map(|(l, b)| b.max(0.0) / cost(l).max(1e-12))
                .collect();
            let mut order: Vec<usize> = (0..worth.len())
                .filter(|l| purse.covers_class(*l))
                .collect();
            order.sort_by(|a, b| worth[*b].total_cmp(&worth[*a]));
            let last = order.len().saturating_sub(1).max(1) as f64;
            let mut ranks = vec![1.0; worth.len()];
            let mut before: Option<(f64, f64)> = None;
            for (place, class) in order.into_iter().enumerate() {
                // Equals stand together.
                let rank = before
                    .filter(|(w, _)| *w == worth[class])
                    .map_or(place as f64 / last, |(_, r)| r);
                (ranks[class], before) = (rank, Some((worth[class], rank)));
            }
            self.purses[n].ranks = ranks;
        }
    }

    /// What each purse may use until another class has to stay near; to be asked for whenever that
    /// may have changed otherwise.
    pub fn update_restriction_thresholds(&mut self) {
        for n in 0..self.purses.len() {
            let p = &self.purses[n];
            let zones = (0..self.largest.len()).filter(|z| p.budget.to.is_none_or(|t| t == *z));
            let classes = (0..self.benefits.len()).filter(|l| p.covers_class(*l));
            let (used, limit) = (p.used(), p.limit());
            let mut at = f64::INFINITY;
            for (zone, class) in zones.flat_map(|z| classes.clone().map(move |l| (z, l))) {
                let amount = p.amount(&self.estimate(zone, class));
                for again in [false, true] {
                    let last = limit - p.reserve(class, again) - amount;
                    at = if last >= used { at.min(last) } else { at };
                }
            }
            self.purses[n].barred_at = at;
        }
    }

    /// Whether since then one has used so much that another class has to stay near.
    pub fn restrictions_outdated(&self) -> bool {
        self.purses.iter().any(|p| p.used() > p.barred_at)
    }

    /// What one more attempt may take.
    pub fn estimate(&self, to: usize, class: usize) -> ResourceUsage {
        let largest = self.largest.get(to).and_then(|z| z.get(class)).copied();
        let (out, back) = largest.unwrap_or((GUESS, GUESS));
        let money = self
            .prices
            .get(to)
            .map_or(0.0, |p| p.cost(1, out as u64, back as u64));
        ResourceUsage {
            attempts: 1.0,
            bytes: out + back,
            money,
        }
    }

    pub fn record_request(&mut self, now: Duration, class: usize) {
        for p in self
            .purses
            .iter_mut()
            .filter(|p| p.budget.class.is_none_or(|l| l == class))
        {
            p.taken(now);
        }
    }

    /// Lets old spending go.
    pub fn advance(&mut self, now: Duration) {
        for p in &mut self.purses {
            p.roll(now);
        }
    }

    /// Whether an attempt may cross by choice: it leaves in each purse what others are worth more
    /// for.
    pub fn admits(&self, to: usize, class: usize, again: bool) -> bool {
        let takes = self.estimate(to, class);
        let short = |p: &BudgetMeter| !p.fits(p.amount(&takes), p.reserve(class, again));
        !self.purses.iter().any(|p| p.covers(to, class) && short(p))
    }

    /// An attempt crosses. It reserves what it may take, wherever there is room for it.
    pub fn reserve(&mut self, now: Duration, to: usize, class: usize) -> BudgetHold {
        let takes = self.estimate(to, class);
        let mut reserved = BudgetHold::default();
        for p in self.purses.iter_mut().filter(|p| p.covers(to, class)) {
            p.roll(now);
            let amount = p.amount(&takes);
            if p.fits(amount, 0.0) {
                p.held += amount;
                reserved.held.push((p.id, amount));
            } else {
                reserved.short.push(p.id);
            }
        }
        reserved
    }

    /// It went over, for this reason: counted at each purse that was too short for it. It is not
    /// spent there, so that what crosses by choice in any window is what the budget gives, whatever
    /// else had to cross.
    pub fn record_over_budget(&mut self, reserved: &BudgetHold, reason: OverBudgetReason) {
        for p in self
            .purses
            .iter_mut()
            .filter(|p| reserved.short.contains(&p.id))
        {
            p.over += 1;
            p.over_for[reason as usize] += 1;
        }
    }

    /// It has ended: what it took takes the place of what it reserved. What it cost, by its link's
    /// price.
    pub fn settle(
        &mut self,
        now: Duration,
        (to, class): (usize, usize),
        reserved: &BudgetHold,
        attempts: u64,
        (out, back): (u64, u64),
    ) -> f64 {
        let money = self
            .prices
            .get(to)
            .map_or(0.0, |p| p.cost(attempts, out, back));
        if let Some(l) = self
            .largest
            .get_mut(to)
            .and_then(|z| z.get_mut(class))
            .filter(|_| attempts > 0)
        {
            *l = (
                (l.0 * LARGEST_FADE).max(out as f64),
                (l.1 * LARGEST_FADE).max(back as f64),
            );
        }
        let took = ResourceUsage {
            attempts: attempts as f64,
            bytes: (out + back) as f64,
            money,
        };
        for (id, amount) in &reserved.held {
            let Some(p) = self.purses.iter_mut().find(|p| p.id == *id) else {
                continue;
            };
            p.held = (p.held - amount).max(0.0);
            if p.held < 1e-9 {
                p.held = 0.0;
            }
            p.spend(now, p.amount(&took));
        }
        money
    }

    /// What opening a connection took: bytes and money, though no request crossed. Budgets of a
    /// class are not charged, as it serves any.
    pub fn charge(&mut self, now: Duration, to: usize, (out, back): (u64, u64)) -> f64 {
        let money = self.prices.get(to).map_or(0.0, |p| p.cost(0, out, back));
        let took = ResourceUsage {
            attempts: 0.0,
            bytes: (out + back) as f64,
            money,
        };
        let any =
            |p: &&mut BudgetMeter| p.budget.class.is_none() && p.budget.to.is_none_or(|t| t == to);
        for p in self.purses.iter_mut().filter(any) {
            p.spend(now, p.amount(&took));
        }
        money
    }

    pub fn meters(&self) -> &[BudgetMeter] {
        &self.purses
    }

    pub fn is_empty(&self) -> bool {
        self.purses.is_empty()
    }
}

impl BudgetMeter {
    fn covers_class(&self, class: usize) -> bool {
        self.budget.class.is_none_or(|l| l == class)
    }
}
