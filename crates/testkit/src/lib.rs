//! Stand-ins of all that an agent meets, written from the public descriptions of their protocols,
//! and checkers of its rules. They stay on loopback addresses, take scripts of what goes wrong, and
//! count what passes at their own end of the wire, independently of the agent. Used by tests,
//! benchmarks and the demo.
//!
//! - [`World`]: zones with [`Endpoint`]s, [`Discovery`] and a [`Platform`], put together.
//! - [`Caller`]: one client, for single cases. [`Load`]: many, at a rate of their own.
//! - [`Program`]: an agent as a process, with its configuration.
//! - [`Speaker`]: says what it is given, for what no fake would say.
//! - [`day`]: a day in simulated time, for the decisions and the zones alone, with the rules checked after each
//!   step.

pub mod caller;
pub mod cutter;
pub mod day;
pub mod discovery;
pub mod endpoint;
pub mod ground;
pub mod load;
pub mod pg;
pub mod platform;
pub mod program;
pub mod registry;
pub mod speaker;
pub mod world;

pub use caller::{Caller, Told};
pub use cutter::{Cut, Cutter};
pub use discovery::{Discovery, Manner, Meets};
pub use endpoint::{Act, Counted, Endpoint, Link, Seen, Ways};
pub use load::{Answered, Load};
pub use platform::{Offer, Platform, RolloutStatus};
pub use program::{classes, configuration, service, settings, Program, RequestClass};
pub use registry::{Entry, Registry};
pub use speaker::Speaker;
pub use world::World;
