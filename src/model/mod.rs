//! What a [`Balancer`](crate::Balancer) remembers, a file an owner: plain state and questions
//! about it. Every decision, and every tuned value, is in the `balancer` module.

mod affinity_index;
mod build;
mod class;
mod endpoint;
mod endpoint_type;
mod evaluation;
mod fleet;
mod fleet_index;
mod load;
mod request;
mod rollout;
mod votes;

pub(crate) use affinity_index::{AffinityGroup, AffinityIndex};
pub(crate) use build::{BuildState, PlatformTotals};
pub(crate) use class::{ClassRules, ClassState, LatencyEstimate};
pub(crate) use endpoint::{Endpoint, LoadReport};
pub(crate) use endpoint_type::EndpointType;
pub(crate) use evaluation::{EvaluationState, LatencyRegression, PeerOutcomes, SpeedCounts};
pub(crate) use fleet::Fleet;
pub(crate) use fleet_index::{EndpointKey, FleetIndex};
pub(crate) use load::{
    AdmissionState, AffinityState, ClockState, CrossZoneState, ListState, PendingOutput,
    RetryState, SlowStartState,
};
pub(crate) use request::{ActiveRequest, Attempt, EndedAttempt, FailedAttempt};
pub(crate) use rollout::RolloutState;
pub(crate) use votes::{SentVote, VoteState};
