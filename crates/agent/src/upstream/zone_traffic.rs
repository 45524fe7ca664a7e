//! Accounting of cross-zone traffic, if the installation configures zones. [`ZoneTraffic`] is the
//! sole owner of [`Zones`].

use crate::upstream::transfer_meter::TransferMeter;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tulipwall::{CrossZonePolicy, IndexOrigin, Outcome, ZoneCapacity, ZoneCounts};
use tulipwall_zones::{
    AttemptStart, ClockMapping, CompletedAttempt, ConnectionTraffic, DisplayNames,
    OverBudgetReason, ReportCursor, ReportLine, Reservation, ZoneConfig, Zones,
};

/// The minimum interval between two log lines about the same exhausted budget.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The accounting of cross-zone traffic.
///
/// Requests, attempts and a configuration reload write it; the balancer's poll and the admin
/// endpoint read it. It is disabled if the installation configures no zones.
pub struct ZoneTraffic {
    zones: RefCell<Option<Zones>>,
    names: RefCell<DisplayNames>,
    started: Cell<Duration>,
    logged_budgets: RefCell<BTreeMap<String, LoggedBudget>>, // by the budget's name
}

/// When an exhausted budget was last logged, and how many attempts had exceeded it by then.
#[derive(Clone, Copy, Default)]
struct LoggedBudget {
    at: Duration,
    over_budget: u64,
}

impl ZoneTraffic {
    /// Creates an account that begins at `now`; it is disabled if `zone_config` is `None`.
    pub fn new(now: Duration, zone_config: Option<ZoneConfig>, names: DisplayNames) -> ZoneTraffic {
        ZoneTraffic {
            zones: RefCell::new(zone_config.map(|config| Zones::new(now, config))),
            names: RefCell::new(names),
            started: Cell::new(now),
            logged_budgets: RefCell::default(),
        }
    }

    /// Returns the name of the agent, as reports display it.
    pub fn agent_name(&self) -> String {
        self.names.borrow().agent.clone()
    }

    /// Returns whether cross-zone traffic is accounted for.
    pub fn is_enabled(&self) -> bool {
        self.zones.borrow().is_some()
    }

    /// Continues with a reloaded installation and settings, whose class indices `class_origins`
    /// maps to the previous ones. The account and the spent part of the budgets are kept if the
    /// zones are unchanged. Returns whether nothing was lost.
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
            current => {
                let nothing_lost = current.is_none();
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

    /// Records a request of a class.
    pub fn on_request(&self, now: Duration, class: usize) {
        if let Some(zones) = self.zones.borrow_mut().as_mut() {
            zones.on_request(now, class);
        }
    }

    /// Records the start of an attempt and reserves its possible cost. Returns `None` if the
    /// accounting is disabled.
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

    /// Records the end of an attempt, with the traffic that its meter measured.
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

    /// Records the traffic of a connection that was opened, or abandoned during its handshake.
    pub fn on_connection(&self, now: Duration, traffic: ConnectionTraffic) {
        if let Some(zones) = self.zones.borrow_mut().as_mut() {
            zones.on_connection(now, &traffic);
        }
    }

    /// Recomputes the cross-zone policy, and logs exhausted budgets. `zone_capacities` is called
    /// with the number of zones whose capacities it must return.
    pub fn update(&self, now: Duration, zone_capacities: impl FnOnce(usize) -> Vec<ZoneCapacity>) {
        if let Some(zones) = self.zones.borrow_mut().as_mut() {
            let count = zones.config().zone_count_with_unnamed();
            zones.tick(now, &zone_capacities(count));
            self.log_exhausted_budgets(now, zones);
        }
    }

    /// Logs one line for each budget that attempts have exceeded since its last line, with the
    /// reasons. Single requests are not logged.
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

    /// Returns the cross-zone policy if it has changed since the last call.
    pub fn changed_policy(&self) -> Option<CrossZonePolicy> {
        self.zones.borrow_mut().as_mut()?.cross_zone_policy()
    }

    /// Keeps separate figures only for the builds that `builds` returns. Those of all other builds
    /// are summed up under one entry for removed builds.
    pub fn retain_builds(&self, builds: impl FnOnce() -> BTreeSet<u32>) {
        if let Some(zones) = self.zones.borrow_mut().as_mut() {
            zones.retain_builds(&builds());
        }
    }

    /// Returns the next lines of the report and the cursor from which to continue; `None` if the
    /// accounting is disabled.
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
