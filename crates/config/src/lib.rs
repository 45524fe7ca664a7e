//! The only reader of settings: the platform's JSON ([`ServiceConfig`], [`InstanceConfig`]), the
//! installation's KDL file ([`Installation`]) and the client's KDL file ([`read_client_file`]).
//! Values are checked and given defaults here; every error names its key.
//!
//! - [`Fields`] gives typed access to a JSON object, [`KdlReader`] to a KDL document.
//! - A configuration reload keeps the indices of names that stay:
//!   [`ServiceConfig::renumbered_after`].

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
