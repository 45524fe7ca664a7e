//! Errors of measurements of real agents.

use super::estimate::Refusal;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why something could not be measured.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The kernel's reports cannot be read.
    #[error("/proc")]
    Proc(#[source] io::Error),
    /// The run would take too much.
    #[error(transparent)]
    Refused(#[from] Refusal),
    /// The agent's program does not exist.
    #[error("{}: no such program; --agent names the agent's", path.display())]
    NoProgram {
        /// Where it was looked for.
        path: PathBuf,
    },
    /// The agent's program cannot be started.
    #[error("{}", path.display())]
    Start {
        /// The program.
        path: PathBuf,
        /// What the operating system said.
        source: io::Error,
    },
    /// An agent does not accept connections.
    #[error("{address} is not served; its log:\n{log}")]
    NotServing {
        /// Address of the agent.
        address: SocketAddr,
        /// Its log.
        log: String,
    },
    /// An agent that was to end did not exit with success.
    #[error("it did not end well; its log:\n{log}")]
    FailedExit {
        /// Its log.
        log: String,
    },
    /// Something that was waited for did not come.
    #[error("{what} did not come")]
    TimedOut {
        /// What was waited for.
        what: &'static str,
    },
    /// A connection to an agent or a fake failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}
