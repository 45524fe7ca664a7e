//! Limits that are used both by a parser and in its error messages.

/// The maximum length of a response body, in bytes: a list of 58,000 endpoints at 143 bytes each,
/// which is about twice the largest planned number of endpoints.
pub const MAX_BODY_LENGTH: usize = 8 * 1024 * 1024;
