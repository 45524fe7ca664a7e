//! Bounds that both a parser and its errors name.

/// The longest body of a response that is read, in bytes: a list of 58,000 endpoints, at 143 bytes
/// each, about twice the most that are planned for.
pub const MAX_BODY_LENGTH: usize = 8 * 1024 * 1024;
