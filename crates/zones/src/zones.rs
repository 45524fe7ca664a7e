//! All of it for one agent: told what is taken, sent and answered, it accounts, spends and says
//! what crossing means just now.

use crate::account::{Account, CompletedAttempt, ConnectionTraffic};
use crate::budget::{BudgetHold, BudgetMeters};
use crate::route::{OverBudgetReason, ZoneRouter};
use crate::zoning::ZoneConfig;
use std::collections::BTreeSet;
use std::time::Duration;
use tulipwall::{CrossZonePolicy, IndexOrigin, Outcome, ZoneCapacity, ZonePolicy};

/// An attempt that was decided on.
#[derive(Clone, Copy, Debug)]
pub struct AttemptStart {
    pub to: usize,
    pub class: usize,
    pub build: u32,
    /// How many attempts of its request came before.
    pub previous_attempts: usize,
    /// Another attempt of its request is out.
    pub hedged: bool,
    /// Its build is on trial.
    pub is_canary: bool,
    /// Its request is deduplicated in a zone or cell, and may have run there.
    pub pinned_to_scope: bool,
}

/// An attempt that is out, to be given back when it ends.
#[derive(Clone, Debug, PartialEq)]
pub struct Reservation {
    pub to: usize,
    pub class: usize,
    pub build: u32,
    /// Why it went though a budget was spent; nothing where none was.
    pub over_budget: Option<OverBudgetReason>,
    reserved: BudgetHold,
}

/// The zones as one agent sees them.
#[derive(Debug)]
pub struct Zones {
    zoning: ZoneConfig,
    account: Account,
    purses: BudgetMeters,
    route: ZoneRouter,
    told: Option<CrossZonePolicy>,
    due: bool,
    ranked: Duration,
}

/// How often classes are ordered anew by benefit for cost.
const RANK_EVERY: Duration = Duration::from_secs(1);

impl Zones {
    pub fn new(now: Duration, zoning: ZoneConfig) -> Zones {
        let stated = (0..zoning.zone_count_with_unnamed())
            .map(|z| zoning.link(z).added_latency)
            .collect();
        Zones {
            account: Account::new(zoning.local_zone, zoning.zone_count, zoning.classes.len()),
            purses: BudgetMeters::new(now, &zoning),
            route: ZoneRouter::new(zoning.local_zone, zoning.routing, &zoning.classes, stated),
            zoning,
            told: None,
            due: true,
            ranked: now,
        }
    }

    /// Goes on under what was read anew, with classes numbered as `by` says: the account and what
    /// is spent stay. Its zones must be those of before, or the account begins anew, and the
    /// budgets as after a restart; says whether it went on.
    pub fn reload(&mut self, now: Duration, zoning: ZoneConfig, by: &[IndexOrigin]) -> bool {
        let same = |z: &ZoneConfig| (z.local_zone, z.zone_count);
        if same(&zoning) != same(&self.zoning) || zoning.classes.len() != by.len() {
            *self = Zones::new(now, zoning);
            return false;
        }
        if self.zoning.classes.len() != by.len() || by.iter().any(|o| *o != IndexOrigin::Same) {
            self.account.reload(by);
        }
        let stated = (0..zoning.zone_count_with_unnamed())
            .map(|z| zoning.link(z).added_latency)
            .collect();
        self.route
            .reload(zoning.routing, &zoning.classes, stated, by);
        self.purses.reload(now, &zoning, by);
        self.zoning = zoning;
        self.due = true;
        true
    }

    /// A request was taken.
    pub fn on_request(&mut self, now: Duration, class: usize) {
        self.account.record_request(class);
        self.purses.record_request(now, class);
    }

    /// An attempt was decided on; `zone_capacities` is asked only where it goes over a budget, to
    /// say why.
    pub fn on_attempt(
        &mut self,
        now: Duration,
        s: AttemptStart,
        zone_capacities: impl FnOnce() -> Vec<ZoneCapacity>,
    ) -> Reservation {
        let to = s.to.min(self.zoning.zone_count);
        self.account
            .record_attempt(to, s.class, s.build, s.previous_attempts, s.hedged);
        self.route.on_attempt(to);
        let mut ticket = Reservation {
            to,
            class: s.class,
            build: s.build,
            over_budget: None,
            reserved: BudgetHold::default(),
        };
        if to == self.zoning.local_zone || self.purses.is_empty() {
            return ticket;
        }
        ticket.reserved = self.purses.reserve(now, to, s.class);
        self.due |= self.purses.restrictions_outdated();
        if ticket.reserved.is_over() {
            let reason = match s {
                AttemptStart {
                    is_canary: true, ..
                } => OverBudgetReason::Canary,
                AttemptStart {
                    pinned_to_scope: true,
                    ..
                } => OverBudgetReason::DeduplicationScope,
                _ => {
                    let near = zone_capacities()
                        .get(self.zoning.local_zone)
                        .cloned()
                        .unwrap_or_default();
                    OverBudgetReason::for_capacity(
                        &near,
                        self.route.is_saturated(s.class),
                        s.previous_attempts,
                    )
                }
            };
            self.purses.record_over_budget(&ticket.reserved, reason);
            ticket.over_budget = Some(reason);
        }
        ticket
    }

    /// It ended.
    pub fn on_attempt_end(&mut self, now: Duration, t: &Reservation, e: &CompletedAttempt) {
        let written = u64::from(e.fully_written);
        let cost = match t.to == self.zoning.local_zone {
            true => 0.0,
            false => self.purses.settle(
                now,
                (t.to, t.class),
                &t.reserved,
                written,
                (e.bytes_sent, e.bytes_received),
            ),
        };
        self.account.record_attempt_end(now, t, e, cost);
        if e.outcome == Outcome::Succeeded {
            self.route.on_response(now, t.to, t.class, e.latency);
        }
    }

    /// A connection was opened, or ended while nothing was out on it.
    pub fn on_connection(&mut self, now: Duration, o: &ConnectionTraffic) {
        let to = o.to.min(self.zoning.zone_count);
        let cost = if to == self.zoning.local_zone {
            0.0
        } else {
            self.purses
                .charge(now, to, (o.bytes_sent, o.bytes_received))
        };
        self.account
            .record_connection(now, &ConnectionTraffic { to, ..*o }, cost);
        if let Some(took) = o.handshake {
            self.route.on_connection(to, took);
        }
    }

    /// Looks at how much should cross, about every 100 ms.
    pub fn tick(&mut self, now: Duration, zone_capacities: &[ZoneCapacity]) {
        self.route.tick(now, zone_capacities);
        self.purses.advance(now);
        if now >= self.ranked + RANK_EVERY {
            self.ranked = now;
            self.purses.rank_classes();
        }
        self.due = true;
    }

    /// What crossing means now, if that is other than what was told last.
    pub fn cross_zone_policy(&mut self) -> Option<CrossZonePolicy> {
        if !std::mem::take(&mut self.due) {
            return None;
        }
        self.purses.update_restriction_thresholds();
        let zones = (0..self.zoning.zone_count_with_unnamed())
            .map(|zone| self.crossing(zone))
            .collect();
        let now = CrossZonePolicy {
            zones,
            slow_start_factor: self.route.slow_start_factor(),
        };
        if self.told.as_ref() == Some(&now) {
            return None;
        }
        self.told = Some(now.clone());
        Some(now)
    }

    fn crossing(&self, zone: usize) -> ZonePolicy {
        if zone == self.zoning.local_zone {
            return ZonePolicy::default();
        }
        let last = |again: bool| {
            let classes = if self.purses.is_empty() {
                0
            } else {
                self.zoning.classes.len()
            };
            let spared = |class: usize| {
                !self.route.is_saturated(class) && !self.purses.admits(zone, class, again)
            };
            (0..classes).map(spared).collect()
        };
        ZonePolicy {
            weight: self.route.weight(zone),
            added_latency: self.route.added_latency(zone),
            last_resort: last(false),
            last_resort_for_retries: last(true),
        }
    }

    /// Only these builds are alive.
    pub fn retain_builds(&mut self, builds: &BTreeSet<u32>) {
        self.account.retain_builds(builds);
    }

    pub fn config(&self) -> &ZoneConfig {
        &self.zoning
    }

    pub fn account(&self) -> &Account {
        &self.account
    }

    pub fn budget_meters(&self) -> &BudgetMeters {
        &self.purses
    }

    pub fn router(&self) -> &ZoneRouter {
        &self.route
    }
}
