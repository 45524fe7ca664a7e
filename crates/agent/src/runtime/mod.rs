//! The event loop that runs all tasks on one thread, its timers, and the signals and memory size of
//! the process.

pub mod process_memory;
pub mod reactor;
pub mod signals;
pub mod timer;
