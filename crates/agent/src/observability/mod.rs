//! Counters and logging.

pub mod counters;
pub mod logging;
