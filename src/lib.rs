//! tulipwall shifts calls between an old and a new build of the appliances behind a service.
//!
//! Ask a [`Choice`] where to send a command, what to do after an outcome, and how long to wait;
//! tell it the facts that reach this agent. All decisions are in `choice`; `types` and `state` are plain
//! data; `watch` counts where other settings would decide otherwise.

mod balancer;
mod interface;
mod model;
mod shadow;

pub use balancer::Choice;
pub use interface::*;
pub use model::call_share;
pub use shadow::{Otherwise, Shape, Watch};
