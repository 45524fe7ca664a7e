//! Errors from reading reports.

use super::schema::VERSION;

/// The reason why a line of a report is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// The header has a version other than [`VERSION`].
    #[error("unsupported report version {found}, expected version {VERSION}")]
    UnsupportedVersion {
        /// The version in the header.
        found: u32,
    },
}
