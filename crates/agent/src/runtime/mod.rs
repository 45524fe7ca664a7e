//! The event loop that carries all tasks of the one thread.

pub mod reactor;
