//! Handles messages from the platform.

use super::calls::Calls;
use crate::agent::Agent;
use crate::observability::logging::log_evidence;
use crate::protocol::platform::PlatformMessage;
use std::time::Duration;
use tulipwall::{PlatformCounts, VoteReply};

/// Which of the messages on a connection are handled.
#[derive(Clone, Copy)]
pub(super) enum AcceptedMessages {
    /// All messages.
    All,
    /// Only replies to votes, as another connection receives all other messages.
    VoteReplies,
}

/// Handles a message if it is among the accepted ones.
pub(super) fn handle_message(
    agent: &Agent,
    calls: &Calls,
    message: PlatformMessage,
    accepted: AcceptedMessages,
) {
    match (accepted, message) {
        (AcceptedMessages::All, message) => handle_any_message(agent, calls, message),
        (AcceptedMessages::VoteReplies, PlatformMessage::Response { id, reply, .. }) => {
            on_reply(agent, calls, id, reply);
        }
        (AcceptedMessages::VoteReplies, _) => {}
    }
}

fn handle_any_message(agent: &Agent, calls: &Calls, message: PlatformMessage) {
    match message {
        PlatformMessage::RolloutStatus(report) => agent.update_rollout(report),
        PlatformMessage::ClientReportedError {
            endpoint,
            class,
            age,
        } => on_client_reported_error(agent, &endpoint, &class, age),
        PlatformMessage::AggregatedCounts {
            build,
            class,
            attempts,
            failed,
            mean_latency,
            age,
        } => {
            if let Some(class) = agent.service_config().class_index(&class) {
                agent.balancer.on_platform_counts(&PlatformCounts {
                    build,
                    class,
                    attempts: attempts.into(),
                    failed: failed.into(),
                    mean_latency,
                    age,
                });
            }
        }
        PlatformMessage::Response { id, reply, rollout } => {
            if let Some(report) = rollout {
                agent.update_rollout(report);
            }
            on_reply(agent, calls, id, reply);
        }
        PlatformMessage::Heartbeat => {}
    }
}

fn on_client_reported_error(agent: &Agent, endpoint: &str, class: &str, age: Duration) {
    let endpoint = agent.endpoints.index_of(endpoint);
    let class = agent.service_config().class_index(class);
    if let (Some(endpoint), Some(class)) = (endpoint, class) {
        let target = agent.endpoints.target(endpoint);
        let build = target.map_or(0, |target| target.build);
        log_evidence!(agent.clock, "client_error class {class} build {build}");
        agent
            .balancer
            .on_client_reported_error(endpoint, class, age);
    }
}

/// Handles the reply to a call. Only replies to votes have an effect.
fn on_reply(agent: &Agent, calls: &Calls, id: u64, reply: VoteReply) {
    if calls.pending_vote.get() == Some(id) {
        calls.pending_vote.set(None);
        log_evidence!(agent.clock, "vote {reply:?}");
        agent.balancer.on_vote_reply(reply);
    }
}
