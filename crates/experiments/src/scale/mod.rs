//! How an installation bears its size: hollow agents, hundreds in one process, in simulated time,
//! against the fakes' discovery and platform. What each spends is counted by agents, endpoints,
//! services, classes and tenants.

pub mod command;
pub mod fit;
pub mod hollow;
pub mod meter;
pub mod play;
pub mod reckon;
pub mod report;
pub mod rows;
pub mod servers;
pub mod size;

pub use play::{Happens, Outcome, Play};
pub use size::Size;
