//! What a call may carry; the agents take no more.

/// The longest name of a class, object, key or tenant, in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 256;
/// The longest value that is written, in bytes.
pub(crate) const MAX_VALUE_BYTES: usize = 64 * 1024;
