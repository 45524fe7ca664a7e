//! What happens in a simulation.

use std::time::Duration;
use tulipwall::{EndpointEntry, Outcome, RolloutStatus};

/// One attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AttemptRef {
    pub agent: usize,
    pub request: u64,
    /// Its place among the attempts of the request.
    pub attempt: usize,
}

/// How an endpoint replies to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndpointReply {
    Succeeded,
    Failed,
    /// Its queue is full.
    Rejected,
    /// It is gone or was restarted: the connection is refused.
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

/// What discovery or the platform tells the agents.
#[derive(Clone, Debug)]
pub(super) enum Notification {
    Endpoint(EndpointEntry),
    Rollout(RolloutStatus),
}

#[derive(Clone, Debug)]
pub(super) enum Event {
    /// An event of the scenario, by its place there.
    Scenario(usize),
    /// A new request comes to an agent.
    Arrival { agent: usize },
    /// A client retries what waits in this slot.
    Retry { agent: usize, slot: usize },
    /// The platform looks at the rollout.
    RolloutTick,
    /// A notification reaches the agents.
    Notify(Notification),
    /// An agent polls its balancer.
    Poll { agent: usize },
    /// An attempt reaches its endpoint, unless that was restarted meanwhile.
    AttemptArrival {
        attempt: AttemptRef,
        endpoint: usize,
        incarnation: u64,
    },
    /// An endpoint is done with the work of a slot.
    WorkDone {
        endpoint: usize,
        incarnation: u64,
        slot: u64,
    },
    /// A reply reaches the agent.
    Reply {
        attempt: AttemptRef,
        reply: EndpointReply,
    },
    /// The agent asks its balancer again what to do with a request.
    Recheck {
        agent: usize,
        request: u64,
        at: Duration,
    },
    /// An attempt's timeout is over.
    Timeout { attempt: AttemptRef },
}

impl Event {
    /// The agent that handles it, where one does.
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
