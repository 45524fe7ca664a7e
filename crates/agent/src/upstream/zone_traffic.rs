//! Cross-zone traffic, where the installation configures zones: the one owner of `Zones`.

use crate::upstream::transfer_meter::TransferMeter;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tulipwall::{CrossZonePolicy, IndexOrigin, Outcome, ZoneCapacity, ZoneCounts};
use tulipwall_zones::{
    AttemptStart, ClockMapping, CompletedAttempt, ConnectionTraffic, DisplayNames,
    OverBudgetReason, ReportCursor, ReportLine, Reservation, ZoneConfig, Zones,
};

/// How often an exhausted budget is logged.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The accounting of cross-zone traffic.
///
/// Written by requests and attempts, and by a configuration reload; read by the balancer's poll and
/// by the admin endpoint. Without zones in the installation nothing is accounted for.
pub struct ZoneTraffic {
    zones: RefCell<Option<Zones>>,
    names: RefCell<DisplayNames>,
    started: Cell<Duration>,
    logged_budgets: RefCell<BTreeMap<String, LoggedBudget>>, // by name
}

/// When an exhausted budget was logged last, and how many attempts were over it by then.
#[derive(Clone, Copy, Default)]
struct LoggedBudget {
    at: Duration,
    over_budget: u64,
}

impl ZoneTraffic {
    /// An account that begins now, where there are zones.
    pub fn new(now: Duration, zone_config: Option<ZoneConfig>, names: DisplayNames) -> ZoneTraffic {
        ZoneTraffic {
            zones: RefCell::new(zone_config.map(|config| Zones::new(now, config))),
            names: RefCell::new(names),
            started: Cell::new(now),
            logged_budgets: RefCell::default(),
        }
    }

    /// The name of the agent.
    pub fn agent_name(&self) -> String {
        self.names.borrow().agent.clone()
    }

    /// Whether anything is accounted for.
    pub fn is_enabled(&self) -> bool {
        self.zones.borrow().is_some()
    }

    /// Continues under a reloaded installation and settings, with the class indices that
    /// `class_origins` maps. The account and what is spent of the budgets survive as long as the
    /// zones are the same. Returns whether nothing was lost.
    pub fn reload(
        &self,
        now: Duration,
        zone_config: Option<ZoneConfig>,
        names: DisplayNames,
        class_origins: &[IndexOrigin],
    ) -> bool {
        let same_zones = self.names.borrow().zones == names.zones;
        *self.names.borrow_mut() = names;
        let mut zones = self.zones.borrow_mut();
        let Some(zone_config) = zone_config else {
            *zones = None;
            return true;
        };
        let continued = match zones.as_mut() {
            Some(zones) if same_zones => zones.reload(now, zone_config, class_origins),
            present => {
                let nothing_lost = present.is_none();
                *zones = Some(Zones::new(now, zone_config));
                self.started.set(now);
                return nothing_lost;
            }
        };
        if !continued {
            self.started.set(now);
        }
        continued
    }

    /// A request has come in.
    pub fn on_request(&self, now: Duration, class: usize) {
        if let Some(zones) = self.zones.borrow_mut().as_mut() {
            zones.on_request(now, class);
        }
    }

    /// An attempt goes out; what it may cost is reserved.
    pub fn on_attempt(
        &self,
        now: Duration,
        attempt: AttemptStart,
        zone_counts: impl FnOnce(usize) -> ZoneCounts,
    ) -> Option<Reservation> {
        let mut zones = self.zones.borrow_mut();
        let zones = zones.as_mut()?;
        Some(zones.on_attempt(now, attempt, zone_counts))
    }

    /// An attempt has ended: what its meter measured goes into the account.
    pub fn on_attempt_end(
        &self,
        now: Duration,
        reservation: Option<&Reservation>,
        meter: &TransferMeter,
        outcome: Outcome,
        latency: Duration,
    ) {
        let mut zones = self.zones.borrow_mut();
        let (Some(reservation), Some(zones)) = (reservation, zones.as_mut()) else {
            return;
        };
        let transferred = meter.transferred();
        let completed = CompletedAttempt {
            outcome,
            fault: meter.fault(),
            fully_written: meter.is_fully_written(),
            bytes_sent: transferred.sent,
            bytes_received: transferred.received,
            latency,
        };
        zones.on_attempt_end(now, reservation, &completed);
    }

    /// A connection was opened, or given up as it was.
    pub fn on_connection(&self, now: Duration, traffic: ConnectionTraffic) {
        if let Some(zones) = self.zones.borrow_mut().as_mut() {
            zones.on_connection(now, &traffic);
        }
    }

    /// Recomputes the cross-zone policy, and logs budgets that are exhausted. `zone_capacities` is asked
    /// for so many zones.
    pub fn update(&self, now: Duration, zone_capacities: impl FnOnce(usize) -> Vec<ZoneCapacity>) {
        if let Some(zones) = self.zones.borrow_mut().as_mut() {
            let count = zones.config().zone_count_with_unnamed();
            zones.tick(now, &zone_capacities(count));
            self.log_exhausted_budgets(now, zones);
        }
    }

    /// A line for each budget that attempts went over, with why; none for a single request.
    fn log_exhausted_budgets(&self, now: Duration, zones: &Zones) {
        let mut logged_budgets = self.logged_budgets.borrow_mut();
        let meters = zones.budget_meters().meters();
        for meter in meters {
            let name = meter.budget.name.as_str();
            let over_budget = meter.over_budget_total();
            let logged = logged_budgets.get(name).copied().unwrap_or_default();
            if over_budget <= logged.over_budget || now < logged.at + LOG_INTERVAL {
                continue;
            }
            let reasons: Vec<String> = OverBudgetReason::ALL
                .into_iter()
                .filter(|reason| meter.over_budget(*reason) > 0)
                .map(|reason| format!("{} {}", reason.as_str(), meter.over_budget(reason)))
                .collect();
            log::warn!(budget = name, over = over_budget, used = meter.used(), part = meter.limit();
                "zones: budget '{name}' is spent; {over_budget} attempts went over it since the start: {}",
                reasons.join(", "));
            let logged = LoggedBudget {
                at: now,
                over_budget,
            };
            logged_budgets.insert(name.to_owned(), logged);
        }
        logged_budgets.retain(|name, _| meters.iter().any(|meter| meter.budget.name == *name));
    }

    /// The cross-zone policy, if it has changed since it was last asked for.
    pub fn changed_policy(&self) -> Option<CrossZonePolicy> {
        self.zones.borrow_mut().as_mut()?.cross_zone_policy()
    }

    /// Forgets all builds but these.
    pub fn retain_builds(&self, builds: impl FnOnce() -> BTreeSet<u32>) {
        if let Some(zones) = self.zones.borrow_mut().as_mut() {
            zones.retain_builds(&builds());
        }
    }

    /// The next lines of the report and where it goes on; nothing where there is no account.
    pub fn report_lines(
        &self,
        now: Duration,
        unix_now: Duration,
        cursor: ReportCursor,
    ) -> Option<(Vec<ReportLine>, ReportCursor)> {
        let clock = ClockMapping {
            now,
            unix_now,
            started: self.started.get(),
        };
        let zones = self.zones.borrow();
        Some(zones.as_ref()?.lines(&self.names.borrow(), clock, cursor))
    }
}
