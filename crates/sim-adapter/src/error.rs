//! Why a line from the simulator cannot be handled.

use std::io;
use thiserror::Error;
use tulipwall_config::{ConfigError, FieldError};

/// Why a line from the simulator cannot be handled. Each ends the process.
#[derive(Debug, Error)]
pub enum AdapterError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("not JSON: {0}")]
    NotJson(serde_json::Error),
    /// A field is missing or of the wrong form; the text names it.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// The settings of an agent cannot be used.
    #[error(transparent)]
    Settings(#[from] ConfigError),
    #[error("field t: unknown message '{found}'")]
    UnknownMessage { found: String },
    #[error("field {field}: unknown value '{found}'")]
    UnknownValue { field: &'static str, found: String },
    #[error("field course: unknown value {found}")]
    UnknownPhase { found: u64 },
    #[error("field state-code: unknown outcome")]
    UnknownOutcome,
    #[error("field buffer: no such list")]
    UnknownList,
    #[error("the reply cannot be written as JSON: {0}")]
    Reply(serde_json::Error),
}
