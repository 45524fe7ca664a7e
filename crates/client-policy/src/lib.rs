//! What a careful client of the agents decides, and what it reads. Pure: no sockets, no clock, time
//! handed in as spans since one fixed zero; `tulipwall-client` does what is decided here.
//!
//! - [`Retries`]: whether and when a call is tried again.
//! - [`Endpoints`]: which agent is tried, how gently one that failed, and when new connections may be opened.
//! - [`Bound`]: how many calls may be in flight, and which are shed first.
//! - [`answer`]: the bytes of an answer, however hostile.

pub mod answer;
mod bound;
mod endpoints;
mod retries;
mod service;

pub use bound::Bound;
pub use endpoints::{Chosen, Endpoints, Opening, State};
pub use retries::{Cause, Ended, Next, Retries, Tries};
pub use service::{Connections, InFlight, RequestClass, Retrying, Service};
