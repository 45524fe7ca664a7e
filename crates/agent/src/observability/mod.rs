//! Counters and the form of the log.

pub mod counters;
pub mod logging;
