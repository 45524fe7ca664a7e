//! The state that a [`Balancer`](crate::Balancer) keeps, one file per kind of object: plain data
//! and queries. All decisions and all tuning constants are in the `balancer` module.

mod affinity_index;
mod build;
mod build_outcomes;
mod class;
mod endpoint;
mod endpoint_group;
mod endpoint_outcomes;
mod endpoint_sets;
mod endpoint_type;
mod evaluation;
mod fleet;
mod fleet_index;
mod load;
mod member_lists;
mod peer_latency;
mod request;
mod rollout;
mod votes;
mod warming_times;
mod zone_members;

pub(crate) use affinity_index::{AffinityGroup, AffinityIndex};
pub(crate) use build::{BuildState, PlatformTotals};
pub(crate) use build_outcomes::{BuildOutcomes, FailureRank, OutcomeSums};
pub(crate) use class::{ClassRules, ClassState, LatencyEstimate};
pub(crate) use endpoint::{Endpoint, LoadReport};
pub(crate) use endpoint_group::{EjectionPhase, EndpointGroup};
pub(crate) use endpoint_outcomes::{EndpointOutcomes, OutcomeDecay};
pub(crate) use endpoint_sets::EndpointSets;
pub(crate) use endpoint_type::EndpointType;
pub(crate) use evaluation::{EvaluationState, LatencyRegression, PeerOutcomes, SpeedCounts};
pub(crate) use fleet::Fleet;
pub(crate) use fleet_index::{EndpointKey, FleetIndex};
pub(crate) use load::{
    AdmissionState, AffinityState, ClockState, CrossZoneState, ListState, PendingOutput,
    RetryState, SlowStartPace, SlowStartState,
};
pub(crate) use member_lists::MemberLists;
pub(crate) use peer_latency::{EndpointLatency, PeerGroup, PeerLatencies};
pub(crate) use request::{ActiveRequest, Attempt, EndedAttempt, FailedAttempt, RetryScope};
pub(crate) use rollout::RolloutState;
pub(crate) use votes::{SentVote, VoteState};
pub(crate) use warming_times::WarmingTimes;
pub(crate) use zone_members::ZoneMembers;
