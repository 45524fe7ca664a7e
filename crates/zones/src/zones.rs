//! All of it for one agent: told what is taken, sent and answered, it accounts, spends and says
//! what crossing means just now.

use crate::account::{Account, Ended, Opening};
use crate::budget::{Purses, Reserved};
use crate::route::{Reason, Route};
use crate::zoning::Zoning;
use std::collections::BTreeSet;
use std::time::Duration;
use tulipwall::{CrossZonePolicy, IndexOrigin, Outcome, ZoneCapacity, ZonePolicy};

/// An attempt that was decided on.
#[derive(Clone, Copy, Debug)]
pub struct Sending {
    pub to: usize,
    pub class: usize,
    pub build: u32,
    /// How many attempts of its request came before.
    pub nth: usize,
    /// Another attempt of its request is out.
    pub hedged: bool,
    /// Its build is on trial.
    pub trial: bool,
    /// Its request is deduplicated in a zone or cell, and may have run there.
    pub bound: bool,
}

/// An attempt that is out, to be given back when it ends.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    pub to: usize,
    pub class: usize,
    pub build: u32,
    /// Why it went though a budget was spent; nothing where none was.
    pub over: Option<Reason>,
    reserved: Reserved,
}

/// The zones as one agent sees them.
#[derive(Debug)]
pub struct Zones {
    zoning: Zoning,
    account: Account,
    purses: Purses,
    route: Route,
    told: Option<CrossZonePolicy>,
    due: bool,
    ranked: Duration,
}

/// How often classes are ordered anew by benefit for cost.
const RANK_EVERY: Duration = Duration::from_secs(1);

impl Zones {
    pub fn new(now: Duration, zoning: Zoning) -> Zones {
        let stated = (0..zoning.all()).map(|z| zoning.link(z).delay).collect();
        Zones {
            account: Account::new(zoning.own, zoning.zones, zoning.classes.len()),
            purses: Purses::new(now, &zoning),
            route: Route::new(zoning.own, zoning.routing, &zoning.classes, stated),
            zoning,
            told: None,
            due: true,
            ranked: now,
        }
    }

    /// Goes on under what was read anew, with classes numbered as `by` says: the account and what
    /// is spent stay. Its zones must be those of before, or the account begins anew, and the
    /// budgets as after a restart; says whether it went on.
    pub fn renew(&mut self, now: Duration, zoning: Zoning, by: &[IndexOrigin]) -> bool {
        let same = |z: &Zoning| (z.own, z.zones);
        if same(&zoning) != same(&self.zoning) || zoning.classes.len() != by.len() {
            *self = Zones::new(now, zoning);
            return false;
        }
        if self.zoning.classes.len() != by.len() || by.iter().any(|o| *o != IndexOrigin::Same) {
            self.account.renew(by);
        }
        let stated = (0..zoning.all()).map(|z| zoning.link(z).delay).collect();
        self.route
            .renew(zoning.routing, &zoning.classes, stated, by);
        self.purses.renew(now, &zoning, by);
        self.zoning = zoning;
        self.due = true;
        true
    }

    /// A request was taken.
    pub fn taken(&mut self, now: Duration, class: usize) {
        self.account.taken(class);
        self.purses.taken(now, class);
    }

    /// An attempt was decided on; `zone_capacities` is asked only where it goes over a budget, to
    /// say why.
    pub fn sent(
        &mut self,
        now: Duration,
        s: Sending,
        zone_capacities: impl FnOnce() -> Vec<ZoneCapacity>,
    ) -> Ticket {
        let to = s.to.min(self.zoning.zones);
        self.account.decided(to, s.class, s.build, s.nth, s.hedged);
        self.route.sent(to);
        let mut ticket = Ticket {
            to,
            class: s.class,
            build: s.build,
            over: None,
            reserved: Reserved::default(),
        };
        if to == self.zoning.own || self.purses.is_empty() {
            return ticket;
        }
        ticket.reserved = self.purses.reserve(now, to, s.class);
        self.due |= self.purses.barred();
        if ticket.reserved.is_over() {
            let reason = match s {
                Sending { trial: true, .. } => Reason::Trial,
                Sending { bound: true, .. } => Reason::DeduplicationScope,
                _ => {
                    let near = zone_capacities()
                        .get(self.zoning.own)
                        .cloned()
                        .unwrap_or_default();
                    Reason::of(&near, self.route.full(s.class), s.nth)
                }
            };
            self.purses.over(&ticket.reserved, reason);
            ticket.over = Some(reason);
        }
        ticket
    }

    /// It ended.
    pub fn ended(&mut self, now: Duration, t: &Ticket, e: &Ended) {
        let written = u64::from(e.written);
        let cost = match t.to == self.zoning.own {
            true => 0.0,
            false => {
                self.purses
                    .settle(now, (t.to, t.class), &t.reserved, written, (e.out, e.back))
            }
        };
        self.account.ended(now, t, e, cost);
        if e.outcome == Outcome::Succeeded {
            self.route.answered(now, t.to, t.class, e.took);
        }
    }

    /// A connection was opened, or ended while nothing was out on it.
    pub fn opened(&mut self, now: Duration, o: &Opening) {
        let to = o.to.min(self.zoning.zones);
        let cost = if to == self.zoning.own {
            0.0
        } else {
            self.purses.charge(now, to, (o.out, o.back))
        };
        self.account.opened(now, &Opening { to, ..*o }, cost);
        if let Some(took) = o.took {
            self.route.opened(to, took);
        }
    }

    /// Looks at how much should cross, about every 100 ms.
    pub fn step(&mut self, now: Duration, zone_capacities: &[ZoneCapacity]) {
        self.route.step(now, zone_capacities);
        self.purses.roll(now);
        if now >= self.ranked + RANK_EVERY {
            self.ranked = now;
            self.purses.rank();
        }
        self.due = true;
    }

    /// What crossing means now, if that is other than what was told last.
    pub fn crossings(&mut self) -> Option<CrossZonePolicy> {
        if !std::mem::take(&mut self.due) {
            return None;
        }
        self.purses.bars();
        let zones = (0..self.zoning.all())
            .map(|zone| self.crossing(zone))
            .collect();
        let now = CrossZonePolicy {
            zones,
            slow_start_factor: self.route.cold(),
        };
        if self.told.as_ref() == Some(&now) {
            return None;
        }
        self.told = Some(now.clone());
        Some(now)
    }

    fn crossing(&self, zone: usize) -> ZonePolicy {
        if zone == self.zoning.own {
            return ZonePolicy::default();
        }
        let last = |again: bool| {
            let classes = if self.purses.is_empty() {
                0
            } else {
                self.zoning.classes.len()
            };
            let spared =
                |class: usize| !self.route.full(class) && !self.purses.admits(zone, class, again);
            (0..classes).map(spared).collect()
        };
        ZonePolicy {
            weight: self.route.draw(zone),
            added_latency: self.route.added(zone),
            last_resort: last(false),
            last_resort_for_retries: last(true),
        }
    }

    /// Only these builds are alive.
    pub fn alive(&mut self, builds: &BTreeSet<u32>) {
        self.account.alive(builds);
    }

    pub fn zoning(&self) -> &Zoning {
        &self.zoning
    }

    pub fn account(&self) -> &Account {
        &self.account
    }

    pub fn purses(&self) -> &Purses {
        &self.purses
    }

    pub fn route(&self) -> &Route {
        &self.route
    }
}
