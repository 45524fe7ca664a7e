//! What crosses between zones: an account of it, budgets for it, and routing that keeps to both.
//!
//! Pure: no sockets, no files, no clock. Times are handed in as spans since one fixed zero; zones, classes and
//! builds are the numbers that the decisions use. [`Zones`] is the whole of it for one agent: it is told what
//! was taken, sent and answered, and says what crossing means just now as [`tulipwall::CrossZonePolicy`]. The
//! decisions stay with [`tulipwall::Balancer`]; nothing here sends, delays or denies a request.
//!
//! ```
//! use std::time::Duration;
//! use tulipwall_zones::*;
//!
//! let view = ClassProfile { priority_weight: 3.0, latency_objective: Duration::from_millis(400) };
//! let budget = Budget {
//!     name: "all".into(),
//!     to: None,
//!     class: None,
//!     limit: Limit::Attempts(10.0),
//!     window: Duration::from_secs(60),
//!     agent_fraction: 0.5,
//! };
//! let config = ZoneConfig {
//!     local_zone: 0,
//!     zone_count: 2,
//!     classes: vec![view],
//!     links: vec![Link::default(); 3],
//!     budgets: vec![budget],
//!     routing: RoutingPolicy::LocalFirst,
//! };
//! let mut zones = Zones::new(Duration::ZERO, config);
//! let now = Duration::from_secs(3600);
//! zones.on_request(now, 0);
//! let attempt = AttemptStart {
//!     to: 1,
//!     class: 0,
//!     build: 7,
//!     previous_attempts: 0,
//!     hedged: false,
//!     is_canary: false,
//!     pinned_to_scope: false,
//! };
//! let reservation = zones.on_attempt(now, attempt, || vec![tulipwall::ZoneCapacity::default(); 3]);
//! assert_eq!(reservation.over_budget, None, "the first of the five that this agent may send");
//! ```

mod account;
mod budget;
mod report;
mod route;
mod series;
mod zones;
mod zoning;

pub use account::{
    outcome_index, Account, CompletedAttempt, ConnectionTraffic, LinkCounts, LinkKey, LinkRow,
    ResponseFault,
};
pub use budget::{BudgetHold, BudgetMeter, BudgetMeters, ResourceUsage};
pub use report::{
    BudgetLine, ClockMapping, DelayLine, DisplayNames, Document, LatencyBucket, LinkLine,
    ReportCursor, ReportError, ReportHeader, ReportLine, SeriesBin, SeriesLine, VERSION,
};
pub use route::{OverBudgetReason, ZoneRouter};
pub use series::{TimeBin, TimeSeries};
pub use zones::{AttemptStart, Reservation, Zones};
pub use zoning::{Budget, ClassProfile, Limit, Link, Price, RoutingPolicy, ZoneConfig};
