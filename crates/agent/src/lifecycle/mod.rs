//! Start, phases and shutdown: what is read, which tasks run, and what signals change.

pub mod listener;
pub mod phase;
pub mod run;
pub mod shutdown;
pub mod signals;
pub mod start;
