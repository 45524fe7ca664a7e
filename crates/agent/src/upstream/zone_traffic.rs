//! What crosses between zones, where the installation says something of them: the one owner of
//! `Zones`, and the meters that follow each attempt and each new connection on its socket.

use crate::protocol::connection::SocketTraffic;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tulipwall::{CrossZonePolicy, IndexOrigin, Outcome, ZoneCapacity};
use tulipwall_zones::{
    AttemptStart, ClockMapping, CompletedAttempt, ConnectionTraffic, DisplayNames, ReportCursor,
    ReportLine, Reservation, ResponseFault, ZoneConfig, Zones,
};

/// How often a budget that is spent is written of.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

#[derive(Default)]
pub struct ZoneTraffic {
    zones: RefCell<Option<Zones>>,
    names: RefCell<DisplayNames>,
    since: Cell<Duration>,
    logged: RefCell<BTreeMap<String, (Duration, u64)>>, // by budget: when, and how many were over by then
}

impl ZoneTraffic {
    pub fn new(now: Duration, zoning: Option<ZoneConfig>, names: DisplayNames) -> ZoneTraffic {
        ZoneTraffic {
            zones: RefCell::new(zoning.map(|z| Zones::new(now, z))),
            names: RefCell::new(names),
            since: Cell::new(now),
            logged: RefCell::default(),
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

    /// Goes on under an installation and settings read anew, the classes numbered as `by` says. The
    /// account and what is spent stay as long as there is one and the zones are those of before;
    /// says whether they do.
    pub fn reload(
        &self,
        now: Duration,
        zoning: Option<ZoneConfig>,
        names: DisplayNames,
        by: &[IndexOrigin],
    ) -> bool {
        let mut zones = self.zones.borrow_mut();
        let before = self.names.replace(names);
        let goes_on = match (zones.as_mut(), zoning) {
            (Some(z), Some(zoning)) if before.zones == self.names.borrow().zones => {
                z.reload(now, zoning, by)
            }
            (was, Some(zoning)) => {
                let goes_on = was.is_none();
                *zones = Some(Zones::new(now, zoning));
                self.since.set(now);
                return goes_on;
            }
            (_, None) => {
                *zones = None;
                true
            }
        };
        if !goes_on {
            self.since.set(now);
        }
        goes_on
    }

    pub fn on_request(&self, now: Duration, class: usize) {
        if let Some(z) = self.zones.borrow_mut().as_mut() {
            z.on_request(now, class);
        }
    }

    pub fn on_attempt(
        &self,
        now: Duration,
        sending: AttemptStart,
        zone_capacities: impl FnOnce() -> Vec<ZoneCapacity>,
    ) -> Option<Reservation> {
        self.zones
            .borrow_mut()
            .as_mut()
            .map(|z| z.on_attempt(now, sending, zone_capacities))
    }

    /// An attempt has ended: what its meter read goes into the account.
    pub fn on_attempt_end(
        &self,
        now: Duration,
        ticket: Option<&Reservation>,
        meter: &TransferMeter,
        outcome: Outcome,
        took: Duration,
    ) {
        if let (Some(ticket), Some(z)) = (ticket, self.zones.borrow_mut().as_mut()) {
            let (out, back) = meter.read();
            let (written, flaw) = (meter.written.get(), meter.flaw.get());
            z.on_attempt_end(
                now,
                ticket,
                &CompletedAttempt {
                    outcome,
                    fault: flaw,
                    fully_written: written,
                    bytes_sent: out,
                    bytes_received: back,
                    latency: took,
                },
            );
        }
    }

    pub fn on_connection_opened(&self, now: Duration, opening: ConnectionTraffic) {
        if let Some(z) = self.zones.borrow_mut().as_mut() {
            z.on_connection(now, &opening);
        }
    }

    pub fn update(&self, now: Duration, zone_capacities: impl FnOnce(usize) -> Vec<ZoneCapacity>) {
        if let Some(z) = self.zones.borrow_mut().as_mut() {
            let all = z.config().zone_count_with_unnamed();
            z.tick(now, &zone_capacities(all));
            self.log_exhausted_budgets(now, z);
        }
    }

    /// A line for each budget that attempts went over, with why; none for a single request.
    fn log_exhausted_budgets(&self, now: Duration, zones: &Zones) {
        let mut logged = self.logged.borrow_mut();
        for p in zones.budget_meters().meters() {
            let (at, before) = logged.get(&p.budget.name).copied().unwrap_or_default();
            if p.over_budget_total() <= before || now < at + LOG_INTERVAL {
                continue;
            }
            let why = tulipwall_zones::OverBudgetReason::ALL
                .into_iter()
                .filter(|r| p.over_budget(*r) > 0);
            let why: Vec<String> = why
                .map(|r| format!("{} {}", r.as_str(), p.over_budget(r)))
                .collect();
            log::warn!(budget = p.budget.name.as_str(), over = p.over_budget_total(), used = p.used(), part = p.limit();
                "zones: budget '{}' is spent; {} deliveries went over it since the start: {}",
                p.budget.name, p.over_budget_total(), why.join(", "));
            logged.insert(p.budget.name.clone(), (now, p.over_budget_total()));
        }
        logged.retain(|name, _| {
            zones
                .budget_meters()
                .meters()
                .iter()
                .any(|p| p.budget.name == *name)
        });
    }

    /// What crossing means now, if that has changed.
    pub fn changed_policy(&self) -> Option<CrossZonePolicy> {
        self.zones
            .borrow_mut()
            .as_mut()
            .and_then(Zones::cross_zone_policy)
    }

    pub fn retain_builds(&self, builds: impl FnOnce() -> BTreeSet<u32>) {
        if let Some(z) = self.zones.borrow_mut().as_mut() {
            z.retain_builds(&builds());
        }
    }

    /// The next lines of the report and where it goes on; nothing where there is no account.
    pub fn report_lines(
        &self,
        now: Duration,
        unix: Duration,
        place: ReportCursor,
    ) -> Option<(Vec<ReportLine>, ReportCursor)> {
        let wall = ClockMapping {
            now,
            unix_now: unix,
            started: self.since.get(),
        };
        self.zones
            .borrow()
            .as_ref()
            .map(|z| z.lines(&self.names.borrow(), wall, place))
    }
}

/// What one attempt does on its sockets, also when it is dropped halfway.
#[derive(Default)]
pub struct TransferMeter {
    /// All of the statement went out.
    pub written: Cell<bool>,
    pub flaw: Cell<ResponseFault>,
    before: Cell<(u64, u64)>,
    on: RefCell<Option<Rc<SocketTraffic>>>,
}

impl TransferMeter {
    /// It goes on on this connection.
    pub fn on(&self, traffic: Rc<SocketTraffic>) {
        self.before.set(self.read());
        *self.on.borrow_mut() = Some(traffic);
    }

    /// Bytes written and read since its beginning. Each byte of a connection is charged once.
    pub fn read(&self) -> (u64, u64) {
        let (out, back) = self
            .on
            .borrow_mut()
            .take()
            .map_or((0, 0), |t| t.take_uncharged());
        let before = self.before.get();
        self.before.set((before.0 + out, before.1 + back));
        self.before.get()
    }
}
