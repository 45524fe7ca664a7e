//! The client-side policies (retries, agent selection, connection pacing, load shedding) and the
//! parser of the agents' responses.
//!
//! The crate is pure: it opens no sockets and reads no clock. Times are [`Duration`]s since an
//! origin that the caller chooses; `tulipwall-client` performs the I/O.
//!
//! - [`RetryController`]: whether and when a call is attempted again.
//! - [`AgentSelector`]: which agent an attempt goes to, how a failed agent is probed, and when a
//!   new connection may be opened.
//! - [`ConcurrencyLimit`]: how many calls may be in flight, and which are shed first.
//! - [`response`]: an incremental parser for responses, which may come from an untrusted peer.
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
