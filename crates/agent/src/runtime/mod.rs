//! The event loop that runs all tasks of the one thread, its timers, and the process's signals and
//! size.

pub mod process_memory;
pub mod reactor;
pub mod signals;
pub mod timer;
