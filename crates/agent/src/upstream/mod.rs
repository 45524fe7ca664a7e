//! What goes to endpoints: attempts, the connection pool, the limits on connections, and the accounting of cross-zone traffic.

pub mod attempt;
pub mod limits;
pub mod pool;
pub mod transfer_meter;
pub mod zone_traffic;
