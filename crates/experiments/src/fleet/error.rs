//! Errors of the measurements of real agents.

use super::estimate::Refusal;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Errors of measuring real agents.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The kernel's reports cannot be read.
    #[error("/proc")]
    Proc(#[source] io::Error),
    /// The run would need more resources than allowed or available.
    #[error(transparent)]
    Refused(#[from] Refusal),
    /// The agent's program does not exist.
    #[error("{}: no such program; set the path of the agent with --agent", path.display())]
    NoProgram {
        /// Path at which it was expected.
        path: PathBuf,
    },
    /// The agent's program cannot be started.
    #[error("{}", path.display())]
    Start {
        /// Path of the program.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// An agent does not accept connections.
    #[error("no agent accepts connections at {address}; log of the agent:\n{log}")]
    NotServing {
        /// Address of the agent.
        address: SocketAddr,
        /// Log of the agent.
        log: String,
    },
    /// An agent did not exit with success after it was signalled to terminate.
    #[error("the agent did not exit with success; log of the agent:\n{log}")]
    FailedExit {
        /// Log of the agent.
        log: String,
    },
    /// An event did not happen within the timeout.
    #[error("timed out waiting for {what}")]
    TimedOut {
        /// The event that was expected.
        what: &'static str,
    },
    /// A connection to an agent or a fake server failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}
