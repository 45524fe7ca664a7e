//! Decisions of one agent that forwards requests to the endpoints behind a service, while an
//! earlier and a newer build of them run side by side.
//!
//! Ask a [`Balancer`] where to forward a request, what to do after an attempt, and when to ask
//! again; tell it the facts that reach this agent. All decisions are in the `balancer` module;
//! `interface` is plain data, `model` is what a balancer remembers, `shadow` counts where other
//! settings would decide otherwise. Nothing here opens sockets, reads files or looks at a clock.

mod balancer;
mod interface;
mod model;
mod shadow;

pub use balancer::Balancer;
pub use interface::*;
pub use model::list_call_interval;
pub use shadow::{AlternativeSettings, Divergences, ShadowEvaluator};
