//! Counters and logging.

pub mod counters;
pub mod logging;
pub mod memory_watch;
