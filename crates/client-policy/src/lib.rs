//! The decisions of a careful client of the agents, and the parsing of their responses.
//!
//! The crate is pure: it opens no sockets and reads no clock. Times are [`Duration`]s since one
//! fixed zero that the caller chooses; `tulipwall-client` performs the I/O that is decided here.
//!
//! - [`RetryController`]: whether and when a call is attempted again.
//! - [`AgentSelector`]: which agent an attempt goes to, how an agent that failed is probed, and
//!   when a new connection may be opened.
//! - [`ConcurrencyLimit`]: how many calls may be in flight, and which are shed first.
//! - [`response`]: the bytes of a response, however hostile.
//!
//! [`Duration`]: std::time::Duration
#![warn(missing_docs)]
#![warn(clippy::too_many_lines)]

mod agents;
mod attempts;
mod concurrency;
mod config;
pub mod response;
mod retries;

pub use agents::{AgentHealth, AgentSelector, AttemptSignal, ConnectDecision, Selection};
pub use attempts::{AttemptHistory, AttemptOutcome, GiveUpReason};
pub use concurrency::ConcurrencyLimit;
pub use config::{ClientConfig, ConcurrencyPolicy, ConnectionPolicy, RequestClass, RetryPolicy};
pub use retries::{RetryController, RetryDecision};
