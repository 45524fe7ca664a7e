//! The agent: it forwards requests from clients to endpoints over sockets, by the decisions of
//! `tulipwall`.
//!
//! One thread runs all tasks. `server` holds the clients' side, `upstream` the endpoints' side,
//! `control` the discovery service, the rollout platform and configuration reloads, `admin` the
//! operators' endpoint. `protocol` parses what is spoken, `runtime` is the event loop, `lifecycle`
//! starts and stops it all, `observability` counts and logs, `cli` is the command line. `agent`
//! holds the state that the tasks share, `balancer_handle` the decisions.

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
