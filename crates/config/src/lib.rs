//! Reads all settings of the agent and the client: the platform's JSON ([`ServiceConfig`],
//! [`InstanceConfig`]), the installation's KDL file ([`Installation`]) and the client's KDL file
//! ([`read_client_file`]). No other crate reads them. Values are validated and defaults are applied
//! here; every error names its key.
//!
//! - [`Fields`] provides typed access to a JSON object, [`KdlReader`] to a KDL document.
//! - [`ServiceConfig::renumbered_after`] keeps the indices of existing names on a configuration
//!   reload.

#![warn(missing_docs)]
#![warn(clippy::too_many_lines)]

mod admin_address;
mod client_file;
mod diagnostic;
mod error;
mod fields;
mod installation;
mod instance_config;
mod kdl_reader;
mod name_table;
mod reload;
mod service_config;

pub use admin_address::{AdminAddress, AdminAddressError};
pub use client_file::read_client_file;
pub use diagnostic::{ConfigDiagnostic, ConfigProblem, SourceLocation};
pub use error::{ConfigError, InstanceConfigError};
pub use fields::{duration_from_ms, duration_to_ms, FieldError, Fields};
pub use installation::{Installation, LogFormat, UNNAMED_ZONE};
pub use instance_config::InstanceConfig;
pub use kdl_reader::KdlReader;
pub use name_table::{stable_hash, NameTable};
pub use service_config::{NameCounts, ServiceConfig};
