//! The events of a simulation.

use std::time::Duration;
use tulipwall::{EndpointEntry, Outcome, RolloutStatus};

/// One attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AttemptRef {
    pub agent: usize,
    pub request: u64,
    /// Index among the attempts of the request.
    pub attempt: usize,
}

/// How an endpoint replies to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndpointReply {
    Succeeded,
    Failed,
    /// The endpoint's queue is full.
    Rejected,
    /// The endpoint is gone or was restarted, so the connection is refused.
    Refused,
}

impl EndpointReply {
    pub fn outcome(self) -> Outcome {
        match self {
            EndpointReply::Succeeded => Outcome::Succeeded,
            EndpointReply::Failed => Outcome::Failed,
            EndpointReply::Rejected => Outcome::Rejected,
            EndpointReply::Refused => Outcome::ConnectFailed,
        }
    }
}

/// A change that discovery or the platform reports to the agents.
#[derive(Clone, Debug)]
pub(super) enum Notification {
    Endpoint(EndpointEntry),
    Rollout(RolloutStatus),
}

#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A scripted event, by its index in the simulation's list.
    Scenario(usize),
    /// A new request arrives at an agent.
    Arrival { agent: usize },
    /// A client retries the request in this slot.
    Retry { agent: usize, slot: usize },
    /// The platform checks the rollout's progress.
    RolloutTick,
    /// A notification reaches the agents.
    Notify(Notification),
    /// An agent polls its balancer.
    Poll { agent: usize },
    /// An attempt arrives at its endpoint. It is refused if `incarnation` is no longer current.
    AttemptArrival {
        attempt: AttemptRef,
        endpoint: usize,
        incarnation: u64,
    },
    /// An endpoint completes the work of a slot.
    WorkDone {
        endpoint: usize,
        incarnation: u64,
        slot: u64,
    },
    /// A reply arrives at the agent.
    Reply {
        attempt: AttemptRef,
        reply: EndpointReply,
    },
    /// The agent's balancer decides again on a request.
    Recheck {
        agent: usize,
        request: u64,
        at: Duration,
    },
    /// An attempt's timeout expires.
    Timeout { attempt: AttemptRef },
}

impl Event {
    /// Returns the agent that handles the event; `None` if no agent does.
    pub fn agent(&self) -> Option<usize> {
        match self {
            Event::Arrival { agent }
            | Event::Retry { agent, .. }
            | Event::Poll { agent }
            | Event::Recheck { agent, .. } => Some(*agent),
            Event::Reply { attempt, .. } | Event::Timeout { attempt } => Some(attempt.agent),
            Event::Scenario(_)
            | Event::RolloutTick
            | Event::Notify(_)
            | Event::AttemptArrival { .. }
            | Event::WorkDone { .. } => None,
        }
    }
}
