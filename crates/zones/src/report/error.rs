//! Errors of readers of reports.

use super::schema::VERSION;

/// Why a line of a report is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// The header names a version other than [`VERSION`].
    #[error("version {found}: this program reads version {VERSION}")]
    UnsupportedVersion {
        /// The version in the header.
        found: u32,
    },
}
