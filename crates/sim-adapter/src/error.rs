//! Errors in handling a line from the simulator.

use std::io;
use thiserror::Error;
use tulipwall_config::{ConfigError, FieldError};

/// The reason why a line from the simulator cannot be handled. Every such error ends the process.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Standard input could not be read.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The line is not valid JSON.
    #[error("not JSON: {0}")]
    NotJson(serde_json::Error),
    /// A field is missing or malformed; the message names it.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// The settings of an agent are invalid.
    #[error(transparent)]
    Settings(#[from] ConfigError),
    /// The kind of a message is unknown, or requires an instance that is not running.
    #[error("field t: unknown message '{found}'")]
    UnknownMessage { found: String },
    /// A field that allows fixed text values has another one.
    #[error("field {field}: unknown value '{found}'")]
    UnknownValue { field: &'static str, found: String },
    /// The number of a rollout phase is unknown.
    #[error("field course: unknown value {found}")]
    UnknownPhase { found: u64 },
    /// The outcome of an attempt or of a load report is unknown.
    #[error("field state-code: unknown outcome")]
    UnknownOutcome,
    /// A message refers to an endpoint list that was never sent.
    #[error("field buffer: no such list")]
    UnknownList,
    /// The reply could not be serialized.
    #[error("failed to serialize the reply as JSON: {0}")]
    Reply(serde_json::Error),
}
