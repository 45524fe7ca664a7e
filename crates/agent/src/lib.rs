//! The parts of the real agent. `program` puts them together; `wire` is what is spoken, `memory`
//! what is kept, `lifecycle` start and stop; a request lives in `command`. `commands` is the
//! command line.

pub mod agent;
pub mod attempt;
pub mod client;
pub mod command;
pub mod commands;
pub mod discovery;
pub mod door;
pub mod lifecycle;
pub mod logs;
pub mod memory;
pub mod platform;
pub mod program;
pub mod reactor;
pub mod wire;
