//! Size limits of a call. They match what the agents accept.

/// The longest name of a class, object, key or tenant, in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 256;
/// The longest value of a write, in bytes.
pub(crate) const MAX_VALUE_BYTES: usize = 64 * 1024;
