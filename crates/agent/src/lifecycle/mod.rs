//! Start, new configuration and stop: what is read, the signals, and the phases from start to exit.

pub mod phase;
pub mod run;
pub mod signals;
pub mod start;
