//! The agent forwards requests from clients to endpoints over sockets. The `tulipwall` library
//! decides which endpoint receives each attempt.
//!
//! All tasks run on one thread:
//!
//! - `server` handles connections from clients, `upstream` connections to endpoints.
//! - `control` handles the discovery service, the rollout platform and configuration reloads.
//! - `admin` serves the operators' endpoint.
//! - `protocol` parses and writes the protocols, `runtime` is the event loop.
//! - `lifecycle` starts and stops the program, `observability` holds counters and logging.
//! - `cli` is the command line.
//! - `agent` holds the state that the tasks share, `balancer_handle` the balancer.

#![warn(missing_docs)]
#![warn(clippy::too_many_lines)]

pub mod admin;
pub mod agent;
pub mod balancer_handle;
pub mod cli;
pub mod control;
pub mod lifecycle;
pub mod observability;
pub mod protocol;
pub mod runtime;
pub mod server;
pub mod upstream;
