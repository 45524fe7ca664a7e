//! Errors in the settings that the platform provides.

use crate::fields::FieldError;
use thiserror::Error;

/// Why the settings of a service are invalid. The message names the key.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// A key is missing, or its value has the wrong type.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// A value has the right type but is out of range.
    #[error("field {key}: {expected}")]
    OutOfRange {
        /// The key in the settings.
        key: &'static str,
        /// The part of the message that says which values are allowed.
        expected: String,
    },
    /// Two entries of a list have the same name.
    #[error("field {key}: duplicate {kind} '{name}'")]
    DuplicateName {
        /// The key of the list in the settings.
        key: &'static str,
        /// What the entries of the list are: zone, class or tenant.
        kind: &'static str,
        /// The name that occurs more than once.
        name: String,
    },
    /// The agent's own zone is not in the list of zones.
    #[error("unknown zone '{name}'")]
    UndefinedZone {
        /// The name of the agent's own zone.
        name: String,
    },
}

impl ConfigError {
    /// Whether all keys are well formed but the settings use a name that they do not define.
    pub fn is_undefined_name(&self) -> bool {
        matches!(self, ConfigError::UndefinedZone { .. })
    }
}

/// Why the configuration of an agent is invalid. The message names the key and the object that
/// contains it.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InstanceConfigError {
    /// A key outside the objects of the other variants is missing or has an invalid value.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// The key `seed` is not a hexadecimal number of 64 bits.
    #[error("field seed: expected up to 16 hexadecimal digits")]
    InvalidSeed,
    /// The object `settings` is invalid.
    #[error("settings: {0}")]
    Settings(ConfigError),
    /// A key of the object `limits` has an invalid value.
    #[error("limits: {0}")]
    Limits(FieldError),
    /// A key of the object `deployer` is missing or has an invalid value.
    #[error("deployer: {0}")]
    Platform(FieldError),
}
