//! Start, phases and shutdown of the program: reading the configuration, starting the tasks,
//! accepting clients and handling signals.

pub mod listener;
pub mod phase;
pub mod run;
pub mod shutdown;
pub mod signals;
pub mod start;
