//! Bounds that both a parser and its errors name.

/// The longest body of a response that is read, in bytes.
pub const MAX_BODY_LENGTH: usize = 4 * 1024 * 1024;
