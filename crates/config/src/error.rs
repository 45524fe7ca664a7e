//! Errors of the platform's settings.

use crate::fields::FieldError;
use thiserror::Error;

/// What is wrong with the settings of a service. The message names the key.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// A key is missing or of the wrong form.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// A value of the right form lies outside what is allowed.
    #[error("field {key}: {expected}")]
    OutOfRange {
        /// The key in the settings.
        key: &'static str,
        /// What is allowed, in the words of the message.
        expected: String,
    },
    /// A list names the same thing twice.
    #[error("field {key}: duplicate {kind} '{name}'")]
    DuplicateName {
        /// The key of the list.
        key: &'static str,
        /// What the list names: a zone, a class or a tenant.
        kind: &'static str,
        /// The name that stands twice.
        name: String,
    },
    /// The settings name a zone that they do not define.
    #[error("unknown zone '{name}'")]
    UndefinedZone {
        /// The zone's name.
        name: String,
    },
}

impl ConfigError {
    /// Whether every key is well formed, but a name is used that the settings do not define.
    pub fn is_undefined_name(&self) -> bool {
        matches!(self, ConfigError::UndefinedZone { .. })
    }
}

/// What is wrong with the configuration of one agent. The message names the key and the object
/// that the key stands in.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InstanceConfigError {
    /// A key of the configuration itself.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// The seed is no hexadecimal number.
    #[error("field seed: expected up to 16 hexadecimal digits")]
    InvalidSeed,
    /// A key of the object `settings`.
    #[error("settings: {0}")]
    Settings(ConfigError),
    /// A key of the object `limits`.
    #[error("limits: {0}")]
    Limits(FieldError),
    /// A key of the object `deployer`.
    #[error("deployer: {0}")]
    Platform(FieldError),
}
