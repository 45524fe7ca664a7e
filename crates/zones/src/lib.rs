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
//! let zoning = Zoning {
//!     own: 0,
//!     zones: 2,
//!     classes: vec![ClassProfile { priority_weight: 3.0, latency_objective: Duration::from_millis(400) }],
//!     links: vec![Link::default(); 3],
//!     budgets: vec![Budget {
//!         name: "all".into(),
//!         to: None,
//!         class: None,
//!         limit: Limit::Attempts(10.0),
//!         window: Duration::from_secs(60),
//!         part: 0.5,
//!     }],
//!     routing: Routing::NearFirst,
//! };
//! let mut zones = Zones::new(Duration::ZERO, zoning);
//! let now = Duration::from_secs(3600);
//! zones.taken(now, 0);
//! let sent = Sending { to: 1, class: 0, build: 7, nth: 0, hedged: false, trial: false, bound: false };
//! let ticket = zones.sent(now, sent, || vec![tulipwall::ZoneCapacity::default(); 3]);
//! assert_eq!(ticket.over, None, "the first of the five that this agent may send");
//! ```

mod account;
mod budget;
mod report;
mod route;
mod series;
mod zones;
mod zoning;

pub use account::{place, Account, Ended, Flaw, Key, Opening, Row, Tally};
pub use budget::{Purse, Purses, Reserved, Spending};
pub use report::{
    BudgetLine, Document, Head, Line, LinkLine, Names, Place, SeriesLine, Wall, VERSION,
};
pub use route::{Reason, Route};
pub use series::{Bin, Series};
pub use zones::{Sending, Ticket, Zones};
pub use zoning::{Budget, ClassProfile, Limit, Link, Price, Routing, Zoning};
