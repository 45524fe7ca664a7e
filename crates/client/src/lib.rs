//! The client library for servers that call a service through the agents. It enforces deadlines,
//! never repeats a request that must not run twice, retries within a budget, spreads its
//! reconnects, and sheds calls that exceed the capacity of the agents.
//!
//! All calls of a process share one [`Client`]. It needs no executor, and it starts no thread other
//! than the one of async-io: all work is done inside calls. [`blocking::Client`] is the equivalent
//! for blocking code.
//!
//! ```no_run
//! use std::time::Duration;
//! use tulipwall_client::{Call, CallError, Client, ClientConfig, Idempotency, RequestClass};
//!
//! let view = RequestClass {
//!     name: "view".into(),
//!     idempotency: Idempotency::Idempotent,
//!     latency_objective: Duration::from_millis(400),
//!     priority_weight: 3.0,
//! };
//! let agent = "127.0.0.1:6543".parse().unwrap();
//! let client = Client::new(ClientConfig::new(vec![agent], vec![view]));
//! let call = Call::read("view", "7f3a9c21", Duration::from_millis(1500));
//! match futures_lite::future::block_on(client.call(call)) {
//!     Ok(response) => println!("{} bytes", response.value.len()),
//!     Err(CallError::Rejected { retry_after, .. }) => println!("retry after {retry_after:?}"),
//!     Err(other) => println!("{other}"),
//! }
//! ```
//!
//! Internally, a call is admitted (`admission`) and then attempted until it has a value or no
//! further attempt is allowed (`attempts`). Each attempt uses a connection of the pool (`pool`,
//! `connection`). The state that all calls share is protected by one
//! [`Mutex`](std::sync::Mutex) with short critical sections (`shared`).
#![warn(missing_docs)]
#![warn(clippy::too_many_lines)]

mod acquire;
mod admission;
mod attempt_summary;
mod attempts;
pub mod blocking;
mod call;
mod client;
mod connection;
mod deadline;
mod error;
mod limits;
mod pool;
mod shared;
mod statement;
mod stats;

pub use attempt_summary::AttemptSummary;
pub use call::{Call, CallResponse};
pub use client::Client;
pub use error::{CallError, InvalidCall};
pub use stats::{ClassStats, ClientStats, Counters};
pub use tulipwall::{DeduplicationScope, Idempotency};
pub use tulipwall_client_policy::{
    ClientConfig, ConcurrencyPolicy, ConnectionPolicy, RequestClass, RetryPolicy,
};
