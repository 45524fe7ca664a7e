//! The protocols spoken: PostgreSQL v3 with clients and endpoints, HTTP/1.1 with the discovery
//! service, JSON-RPC with the rollout platform.
//!
//! The parsers are pure functions over bytes with bounded input. Names of the wire end here.

pub mod arrivals;
pub mod buffer;
pub mod connection;
pub mod error;
pub mod http;
pub mod limits;
pub mod platform;
pub mod postgres;
pub mod statement;

pub use error::ProtocolError;
