//! The client library for servers that call the agents: it keeps deadlines, never repeats what may
//! not run twice, retries within a budget, spreads its reconnects and sheds what the agents cannot
//! bear.
//!
//! A [`Client`] is shared by all calls of a process. It needs no executor and starts no thread of
//! its own beside that of async-io: all it does happens inside calls. [`blocking::Client`] is the
//! same for code that blocks.
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
//! Inside, a call is admitted (`admission`) and attempted until it has a value or no attempt may
//! follow (`attempts`), each time on a connection of the pool (`pool`, `connection`). What all
//! calls share is one [`Mutex`](std::sync::Mutex) with short critical sections (`shared`).
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
