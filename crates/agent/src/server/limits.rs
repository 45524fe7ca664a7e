//! Limits on the time and the memory that one client may use.

use crate::protocol::postgres::MAX_MESSAGE_LENGTH;
use std::time::Duration;

/// The time from a client's connection to its first complete request, and from the first byte of a
/// message to its last. Prevents clients that send nothing, or half a message, from occupying a
/// slot.
pub const RECEIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// The shorter timeout for the first request of a client beyond the client limit or of one that
/// connects while the agent terminates, for memory for a long message, and for the rest of a message
/// while others wait for memory.
pub const SHORT_RECEIVE_TIMEOUT: Duration = Duration::from_millis(300);
/// The time for which a client may leave its responses unread without reading any byte. Prevents
/// clients that never read from occupying a slot and from delaying the shutdown. A slow reader
/// makes progress and is not affected.
pub const WRITE_PROGRESS_TIMEOUT: Duration = Duration::from_secs(5);
/// Replaces [`WRITE_PROGRESS_TIMEOUT`] while responses wait for memory.
pub const SHORT_WRITE_PROGRESS_TIMEOUT: Duration = Duration::from_secs(1);
/// The time within which a client has to read a reply while responses wait for memory.
pub const SHORT_WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// The time for which a client may still write after its last response.
pub const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// The number of bytes that a client may still write after its last response.
pub const MAX_BYTES_AT_CLOSE: usize = 1024 * 1024;
/// The number of requests that may wait behind the one being served. If there are more, the one
/// being served is rejected at once: responses keep their order, so a later one can't be rejected
/// first.
pub const MAX_PIPELINED_REQUESTS: usize = 32;
/// The number of bytes that a client may write ahead of its responses: two messages of the maximum
/// length. Behind unread bytes the end of a connection can't be seen, so nothing is sent for a
/// client that has written more.
pub const MAX_BYTES_READ_AHEAD: usize = 2 * MAX_MESSAGE_LENGTH;
/// One client may fill at most the memory for requests divided by this by writing ahead.
pub const READ_AHEAD_DIVISOR: usize = 8;
