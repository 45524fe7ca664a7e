//! What is kept: time, the list, connection pools, the requests in hand with the one `Balancer`,
//! counters.

pub mod border;
pub mod counters;
pub mod hand;
pub mod pools;
