//! Accounts for the cross-zone traffic of one agent, charges it to budgets, and derives the policy
//! that the balancer applies to other zones.

use crate::account::Account;
use crate::budget::{BudgetHold, BudgetMeters, Transfer};
use crate::config::ZoneConfig;
use crate::events::{AttemptStart, CompletedAttempt, ConnectionTraffic, Reservation};
use crate::reason::OverBudgetReason;
use crate::router::ZoneRouter;
use std::collections::BTreeSet;
use std::time::Duration;
use tulipwall::{CrossZonePolicy, IndexOrigin, Outcome, ZoneCapacity, ZoneCounts, ZonePolicy};

/// The interval at which classes are ranked again by benefit per cost.
const RANKING_INTERVAL: Duration = Duration::from_secs(1);

/// Tracks the cross-zone traffic of one agent and computes the policy for the balancer.
#[derive(Debug)]
pub struct Zones {
    config: ZoneConfig,
    account: Account,
    budget_meters: BudgetMeters,
    router: ZoneRouter,
    /// The policy that was last returned; `None` before the first.
    last_policy: Option<CrossZonePolicy>,
    /// Whether the policy may have changed since then.
    policy_outdated: bool,
    ranked_at: Duration,
}

impl Zones {
    /// Starts a new account, with budgets in the state after a restart.
    pub fn new(now: Duration, config: ZoneConfig) -> Zones {
        Zones {
            account: Account::new(config.local_zone, config.zone_count, config.classes.len()),
            budget_meters: BudgetMeters::new(now, &config),
            router: ZoneRouter::new(&config),
            config,
            last_policy: None,
            policy_outdated: true,
            ranked_at: now,
        }
    }

    /// Applies a new configuration, whose classes are mapped by `origins`, and keeps the account
    /// and past spending. If the zones differ from the current ones, the account starts anew and
    /// the budgets are in the state after a restart. Returns whether the account was kept.
    pub fn reload(&mut self, now: Duration, config: ZoneConfig, origins: &[IndexOrigin]) -> bool {
        if !self.has_same_zones_as(&config) || config.classes.len() != origins.len() {
            *self = Zones::new(now, config);
            return false;
        }
        let classes_unchanged = self.config.classes.len() == origins.len()
            && origins.iter().all(|origin| *origin == IndexOrigin::Same);
        if !classes_unchanged {
            self.account.reload(origins);
        }
        self.router.reload(&config, origins);
        self.budget_meters.reload(now, &config, origins);
        self.config = config;
        self.policy_outdated = true;
        true
    }

    fn has_same_zones_as(&self, other: &ZoneConfig) -> bool {
        self.config.local_zone == other.local_zone && self.config.zone_count == other.zone_count
    }

    /// Records a received request.
    pub fn on_request(&mut self, now: Duration, class: usize) {
        self.account.record_request(class);
        self.budget_meters.record_request(now, class);
    }

    /// Records an attempt that the balancer decided to send. `zone_counts` is called for the local
    /// zone only if the attempt exceeds a budget, to determine the reason.
    pub fn on_attempt(
        &mut self,
        now: Duration,
        attempt: AttemptStart,
        zone_counts: impl FnOnce(usize) -> ZoneCounts,
    ) -> Reservation {
        let to = self.known_zone(attempt.to);
        let attempt = AttemptStart { to, ..attempt };
        self.account.record_attempt(&attempt);
        self.router.on_attempt(to);
        let mut reservation = Reservation {
            to,
            class: attempt.class,
            build: attempt.build,
            over_budget: None,
            hold: BudgetHold::default(),
        };
        if to == self.config.local_zone || self.budget_meters.is_empty() {
            return reservation;
        }
        reservation.hold = self.budget_meters.reserve(now, to, attempt.class);
        self.policy_outdated |= self.budget_meters.restrictions_outdated();
        if reservation.hold.is_over_budget() {
            let reason = self.over_budget_reason(&attempt, zone_counts);
            self.budget_meters
                .record_over_budget(&reservation.hold, reason);
            reservation.over_budget = Some(reason);
        }
        reservation
    }

    fn over_budget_reason(
        &self,
        attempt: &AttemptStart,
        zone_counts: impl FnOnce(usize) -> ZoneCounts,
    ) -> OverBudgetReason {
        if attempt.is_canary {
            return OverBudgetReason::Canary;
        }
        if attempt.pinned_to_scope {
            return OverBudgetReason::DeduplicationScope;
        }
        let local = zone_counts(self.config.local_zone);
        OverBudgetReason::for_counts(
            &local,
            self.router.is_saturated(attempt.class),
            attempt.previous_attempts,
        )
    }

    /// Records the end of an attempt. `reservation` is the result of [`Zones::on_attempt`].
    pub fn on_attempt_end(
        &mut self,
        now: Duration,
        reservation: &Reservation,
        end: &CompletedAttempt,
    ) {
        let to = reservation.to;
        let class = reservation.class;
        let transfer = Transfer {
            attempts: u64::from(end.fully_written),
            bytes_sent: end.bytes_sent,
            bytes_received: end.bytes_received,
        };
        let cost = if to == self.config.local_zone {
            0.0
        } else {
            self.budget_meters
                .settle(now, to, class, &reservation.hold, transfer)
        };
        self.account.record_attempt_end(now, reservation, end, cost);
        if end.outcome == Outcome::Succeeded {
            self.router.on_response(now, to, class, end.latency);
        }
    }

    /// Records a connection that was opened, or that was closed while no attempt used it.
    pub fn on_connection(&mut self, now: Duration, connection: &ConnectionTraffic) {
        let to = self.known_zone(connection.to);
        let connection = ConnectionTraffic { to, ..*connection };
        let transfer = Transfer {
            attempts: 0,
            bytes_sent: connection.bytes_sent,
            bytes_received: connection.bytes_received,
        };
        let cost = if to == self.config.local_zone {
            0.0
        } else {
            self.budget_meters.charge(now, to, transfer)
        };
        self.account.record_connection(now, &connection, cost);
        if let Some(handshake) = connection.handshake {
            self.router.on_connection(to, handshake);
        }
    }

    /// Maps indices beyond the named zones to that of the unnamed zone.
    fn known_zone(&self, zone: usize) -> usize {
        zone.min(self.config.zone_count)
    }

    /// Updates how much traffic is to cross. Call it about every 100 ms, with the capacities by
    /// zone index.
    pub fn tick(&mut self, now: Duration, zone_capacities: &[ZoneCapacity]) {
        self.router.tick(now, zone_capacities);
        self.budget_meters.advance(now);
        if now >= self.ranked_at + RANKING_INTERVAL {
            self.ranked_at = now;
            self.budget_meters.rank_classes();
        }
        self.policy_outdated = true;
    }

    /// The policy for other zones that the balancer is to apply; `None` if it equals the last one
    /// returned.
    pub fn cross_zone_policy(&mut self) -> Option<CrossZonePolicy> {
        if !std::mem::take(&mut self.policy_outdated) {
            return None;
        }
        self.budget_meters.update_restriction_thresholds();
        let policy = self.current_policy();
        if self.last_policy.as_ref() == Some(&policy) {
            return None;
        }
        self.last_policy = Some(policy.clone());
        Some(policy)
    }

    fn current_policy(&self) -> CrossZonePolicy {
        let zones = 0..self.config.zone_count_with_unnamed();
        CrossZonePolicy {
            zones: zones.map(|zone| self.zone_policy(zone)).collect(),
            slow_start_factor: self.router.slow_start_factor(),
        }
    }

    fn zone_policy(&self, zone: usize) -> ZonePolicy {
        if zone == self.config.local_zone {
            return ZonePolicy::default();
        }
        let [last_resort, last_resort_for_retries] = self.last_resort_classes(zone);
        ZonePolicy {
            weight: self.router.weight(zone),
            added_latency: self.router.added_latency(zone),
            last_resort,
            last_resort_for_retries,
        }
    }

    /// For each class, whether its first attempts, and whether its retries and hedged requests, may
    /// go to this zone only if no other can serve them. Both lists are empty without budgets. While
    /// the local zone is saturated for a class, budgets do not restrict that class.
    fn last_resort_classes(&self, zone: usize) -> [Vec<bool>; 2] {
        if self.budget_meters.is_empty() {
            return Default::default();
        }
        let admitted = self.budget_meters.admitted_classes(zone);
        [admitted.first_attempts, admitted.repeats].map(|admitted| {
            let classes = admitted.into_iter().enumerate();
            classes
                .map(|(class, is_admitted)| !is_admitted && !self.router.is_saturated(class))
                .collect()
        })
    }

    /// Keeps separate counts for these builds only; the counts of all other builds are summed.
    pub fn retain_builds(&mut self, builds: &BTreeSet<u32>) {
        self.account.retain_builds(builds);
    }

    /// The current configuration.
    pub fn config(&self) -> &ZoneConfig {
        &self.config
    }

    /// The cross-zone traffic account since the start.
    pub fn account(&self) -> &Account {
        &self.account
    }

    /// The meters of all budgets.
    pub fn budget_meters(&self) -> &BudgetMeters {
        &self.budget_meters
    }

    /// The state of the routing between zones.
    pub fn router(&self) -> &ZoneRouter {
        &self.router
    }
}
