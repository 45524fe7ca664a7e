//! Accounting, budgets and routing hints for the cross-zone traffic of one agent.
//!
//! This crate performs no I/O and reads no clock. The caller passes times as durations since a
//! fixed origin, and identifies zones, classes and builds by the numbers that the balancer uses.
//! [`Zones`] is the entry point: it is notified of requests, attempts and connections, and returns
//! the [`tulipwall::CrossZonePolicy`] that the balancer is to apply. Routing decisions stay with
//! [`tulipwall::Balancer`]; nothing here sends, delays or rejects a request.
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
//! let zone_counts = |_zone| tulipwall::ZoneCounts::default();
//! let reservation = zones.on_attempt(now, attempt, zone_counts);
//! assert_eq!(reservation.over_budget, None, "the first of five attempts this agent may send");
//! ```
#![warn(missing_docs)]
#![warn(clippy::too_many_lines)]

mod account;
mod budget;
mod config;
mod events;
mod latency_histogram;
mod link_counts;
mod reason;
mod remap;
mod report;
mod router;
mod time_series;
mod zones;

pub use account::{Account, LinkClass, LinkKey, LinkRow};
pub use budget::{BudgetHold, BudgetMeter, BudgetMeters, ResourceUsage, Transfer};
pub use config::{Budget, ClassProfile, Limit, Link, Price, RoutingPolicy, ZoneConfig};
pub use events::{AttemptStart, CompletedAttempt, ConnectionTraffic, Reservation, ResponseFault};
pub use link_counts::{outcome_index, LinkCounts};
pub use reason::OverBudgetReason;
pub use report::{
    BudgetLine, ClockMapping, DelayLine, DisplayNames, Document, LatencyBucket, LinkLine,
    ReportCursor, ReportError, ReportHeader, ReportLine, SeriesBin, SeriesLine, VERSION,
};
pub use router::ZoneRouter;
pub use time_series::{TimeBin, TimeSeries};
pub use zones::Zones;
