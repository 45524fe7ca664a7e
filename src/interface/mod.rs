//! What goes into a [`Balancer`](crate::Balancer) and what comes back: plain data without
//! decisions.
//!
//! Times are spans since the start of the process. Endpoints, request classes, tenants and zones
//! are small indices; [`IndexMapping`] says what becomes of them at a configuration reload.

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
