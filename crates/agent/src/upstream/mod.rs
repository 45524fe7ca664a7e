//! The upstream side of the agent: attempts, connections to endpoints and their limits, and the
//! accounting of cross-zone traffic.

pub mod active_connection;
pub mod attempt;
pub mod connect;
pub mod limits;
pub mod pool;
pub mod response;
pub mod reuse_delay;
pub mod transfer_meter;
pub mod warm_up;
pub mod zone_traffic;
