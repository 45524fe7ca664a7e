//! What goes to endpoints: attempts, the connection pool, and the accounting of cross-zone traffic.

pub mod attempt;
pub mod pool;
pub mod zone_traffic;
