//! What is kept: time, the list, connection pools, the commands in hand with the one `Choice`, counters.

pub mod border;
pub mod counters;
pub mod hand;
pub mod pools;
