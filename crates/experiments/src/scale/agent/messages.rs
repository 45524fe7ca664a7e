//! Messages between a simulated agent and the rest of the installation.

use crate::scale::meter::MessageKind;
use std::sync::Arc;

/// The actual state of machines and network, which may differ from what agents have learnt from
/// discovery.
#[derive(Clone, Debug, Default)]
pub struct ActualState {
    /// Whether an endpoint's machine is down and does not answer, by endpoint number.
    pub down: Vec<bool>,
    /// Whether the two regions are partitioned from each other. Discovery and the platform are in
    /// the first region.
    pub is_partitioned: bool,
}

/// A message or signal that an agent receives.
#[derive(Clone, Debug)]
pub enum AgentInput {
    /// The complete HTTP response of discovery to a call.
    DiscoveryResponse {
        /// Number of the call that it answers.
        call: u64,
        /// HTTP status.
        status: u16,
        /// The whole response, headers included.
        bytes: Arc<Vec<u8>>,
    },
    /// A line sent by the platform.
    PlatformLine {
        /// Kind of message that the line is counted as.
        kind: MessageKind,
        /// The line, including its line terminator.
        bytes: Arc<Vec<u8>>,
    },
    /// SIGHUP, by which the agent reads its configuration again.
    Reload,
    /// The agent's process ends and another starts in its place.
    Restart {
        /// The endpoint list in the new process's configuration, as JSON.
        known_list: Arc<Vec<u8>>,
    },
}

/// A message that an agent sends, or an action on one of its connections.
#[derive(Clone, Debug)]
pub enum AgentOutput {
    /// An HTTP request to discovery.
    DiscoveryCall {
        /// Number of the call, unique at its agent.
        call: u64,
        /// Path of the HTTP request.
        path: String,
        /// Whether the call starts a watch on a new connection, rather than continuing one.
        starts_watch: bool,
    },
    /// The agent closes the connection of a call to discovery.
    CloseDiscoveryCall {
        /// Number of the call.
        call: u64,
    },
    /// A new connection to the platform, which replaces the earlier one.
    PlatformWatch {
        /// First line sent on the connection: the request for rollout status.
        line: String,
    },
    /// A vote on a rollout, sent on the connection to the platform.
    Vote {
        /// The request, a line of JSON.
        line: String,
    },
}
