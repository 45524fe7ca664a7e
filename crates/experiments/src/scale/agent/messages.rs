//! What passes between a simulated agent and the rest of the installation.

use crate::scale::meter::MessageKind;
use std::sync::Arc;

/// The actual state of the installation, whatever agents have been told.
#[derive(Clone, Debug, Default)]
pub struct ActualState {
    /// By endpoint: whether its machine is gone and does not answer.
    pub down: Vec<bool>,
    /// Whether the two regions cannot reach each other. Discovery and platform are in the first.
    pub is_partitioned: bool,
}

/// What comes to an agent.
#[derive(Clone, Debug)]
pub enum AgentInput {
    /// Discovery's whole HTTP response to a call.
    DiscoveryResponse {
        /// The call that it answers.
        call: u64,
        /// HTTP status.
        status: u16,
        /// The response, headers included.
        bytes: Arc<Vec<u8>>,
    },
    /// A line from the platform.
    PlatformLine {
        /// What the line is, for counting.
        kind: MessageKind,
        /// The line with its end.
        bytes: Arc<Vec<u8>>,
    },
    /// SIGHUP: a new configuration.
    Reload,
    /// The process ends and another begins.
    Restart {
        /// The endpoint list in the new process's configuration.
        known_list: Arc<Vec<u8>>,
    },
}

/// What an agent sends.
#[derive(Clone, Debug)]
pub enum AgentOutput {
    /// A call to discovery.
    DiscoveryCall {
        /// Number of the call, unique at its agent.
        call: u64,
        /// Path of the HTTP request.
        path: String,
        /// Whether it starts a watch, on a connection of its own, or continues one.
        starts_watch: bool,
    },
    /// The connection of a call to discovery is closed.
    CloseDiscoveryCall {
        /// The call.
        call: u64,
    },
    /// A connection to the platform, in place of any other.
    PlatformWatch {
        /// First line on the connection.
        line: String,
    },
    /// A vote, on the connection to the platform.
    Vote {
        /// The line.
        line: String,
    },
}
