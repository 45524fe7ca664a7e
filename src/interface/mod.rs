//! The input and output types of a [`Balancer`](crate::Balancer): plain data without decision
//! logic.
//!
//! Times are durations since the start of the process. Endpoints, request classes, tenants and
//! zones are identified by small indices. [`IndexMapping`] describes how a configuration reload
//! renumbers them.

mod decision;
mod endpoint;
mod index;
mod request;
mod rollout;
mod settings;
mod zone;

pub use decision::{Decision, PollResult};
pub use endpoint::{EndpointEntry, EndpointState};
pub use index::{IndexMapping, IndexOrigin, IndicesInUse};
pub use request::{AttemptEnd, Outcome, Request};
pub use rollout::{PlatformCounts, RolloutPhase, RolloutStatus, Verdict, Vote, VoteReply};
pub use settings::{
    DeduplicationScope, Idempotency, RequestClass, RolloutPolicy, Settings, Tenant,
};
pub use zone::{CrossZonePolicy, ZoneCapacity, ZoneCounts, ZonePolicy};
