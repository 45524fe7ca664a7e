//! Counters and the log's format.

pub mod counters;
pub mod logging;
