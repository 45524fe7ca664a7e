//! The network protocols of the agent: PostgreSQL v3 with clients and endpoints, HTTP/1.1 with the
//! discovery service, and JSON-RPC with the rollout platform.
//!
//! The parsers are pure functions over bytes with bounded input. The field names and values of the
//! wire formats are confined to this module.

pub mod arrivals;
pub mod buffer;
pub mod connection;
pub mod counted_bytes;
pub mod error;
pub mod http;
pub mod limits;
pub mod platform;
pub mod postgres;
pub mod statement;

pub use error::ProtocolError;
