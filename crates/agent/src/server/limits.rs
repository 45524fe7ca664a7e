//! What a client may take of time and memory.

use std::time::Duration;

/// How long a client may take from its connection to its first whole request, and from the first
/// byte of a message to its last. Guards against clients that hold a place and send nothing, or half
/// a message.
pub const RECEIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a client beyond the limit, or one that connects at the very end, has for its first
/// request, and one that holds half a message for its rest while memory is short.
pub const SHORT_RECEIVE_TIMEOUT: Duration = Duration::from_millis(300);
/// How soon a client that was held back is read again.
pub const HOLD_BACK_INTERVAL: Duration = Duration::from_millis(5);
/// Which part of the memory for buffers the empty ones of idle clients may hold.
pub const IDLE_BUFFER_SHARE: usize = 2;
/// How long a client may leave its responses unread, without reading any of them. Guards places
/// and the shutdown against clients that never read; a slow reader goes on making progress.
pub const WRITE_PROGRESS_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a client may still write after the last response.
pub const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// How many bytes a client may still write after the last response.
pub const MAX_BYTES_AT_CLOSE: usize = 1024 * 1024;
/// Requests that may wait behind the one that is served. With more of them it is rejected at once:
/// responses keep their order, so that one behind it could not be.
pub const MAX_PIPELINED_REQUESTS: usize = 32;
/// Bytes that a client may write ahead of its responses before it is held back.
pub const MAX_BYTES_READ_AHEAD: usize = 16 * 1024;
