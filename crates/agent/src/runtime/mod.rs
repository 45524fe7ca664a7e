//! The event loop that runs all tasks of the one thread, its timers, and the process's signals.

pub mod reactor;
pub mod signals;
pub mod timer;
