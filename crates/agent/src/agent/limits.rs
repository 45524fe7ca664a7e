//! Limits on the sockets and the memory that clients and endpoints may use.

use crate::upstream::limits::ConnectionLimits;
use std::cell::Cell;

/// Data received from clients may fill at most the memory limit divided by this; the rest is left
/// to the responses of endpoints.
const BUFFER_DIVISOR: usize = 4;
/// Of the memory that the process and its connections leave unused, one part in this many may be
/// buffered. A counted byte costs the process more than one byte: a growing buffer is copied, the
/// allocator keeps freed memory for a second, and it takes memory from the kernel in pages of 2
/// MiB.
const UNUSED_MEMORY_DIVISOR: usize = 3;
/// The memory of a client connection without its buffers: 3.1 KB for its task and socket, and 6 KB
/// more while one of its requests is open at an endpoint, which is not the case for all at once.
const CLIENT_STATE_BYTES: usize = 8 * 1024;
/// The number of bytes that may be buffered under any memory limit: enough for a few messages of
/// the maximum length with their copies. Prevents a low limit from stopping all reads from clients.
/// This is harmful where the limit is enforced from outside, as the process then exceeds it.
pub const MIN_BUFFERED_BYTES: usize = 1024 * 1024;

const BYTES_PER_MIB: usize = 1024 * 1024;
/// The lowest memory limit in bytes under which the kernel may use huge pages.
///
/// Keeps the process within lower limits: a page of 2 MiB stays allocated for a few bytes in use,
/// which took 4 to 6 MB more than was allocated. Under lower limits it does harm, as more and
/// smaller pages have to be looked up.
const MIN_LIMIT_FOR_HUGE_PAGES: usize = 64 * BYTES_PER_MIB;

/// Returns whether a memory limit, in bytes, leaves room for huge pages.
pub fn has_room_for_huge_pages(memory_bytes: usize) -> bool {
    memory_bytes >= MIN_LIMIT_FOR_HUGE_PAGES
}

/// The error that the memory limit leaves less than [`MIN_BUFFERED_BYTES`] for buffers.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error(
    "field limits.memory_mb: {} MB is too low for a process of {} MB at startup; \
     continuing above the limit with {} MB for buffers",
    limit_bytes / BYTES_PER_MIB,
    process_bytes.div_ceil(BYTES_PER_MIB),
    MIN_BUFFERED_BYTES / BYTES_PER_MIB
)]
pub struct MemoryLimitTooLow {
    limit_bytes: usize,
    process_bytes: usize,
}

/// Limits on sockets and memory.
///
/// Startup and a configuration reload write them; the listener, client connections and attempts
/// read them.
pub struct ResourceLimits {
    /// The limits on sockets, and the permits that are held.
    pub connections: ConnectionLimits,
    memory_bytes: Cell<usize>,
    process_bytes: Cell<usize>,
}

impl ResourceLimits {
    /// Creates limits for a number of sockets and bytes of memory.
    pub fn new(max_sockets: usize, memory_bytes: usize) -> ResourceLimits {
        ResourceLimits {
            connections: ConnectionLimits::new(max_sockets),
            memory_bytes: Cell::new(memory_bytes),
            process_bytes: Cell::default(),
        }
    }

    /// Replaces both limits. Sockets that are held beyond a lower limit stay open.
    pub fn resize(&self, max_sockets: usize, memory_bytes: usize) {
        self.connections.resize(max_sockets);
        self.memory_bytes.set(memory_bytes);
    }

    /// Sets the memory that the process uses before its first client, in bytes: code and data,
    /// settings and endpoints.
    pub fn set_process_bytes(&self, process_bytes: usize) {
        self.process_bytes.set(process_bytes);
    }

    /// Returns the number of buffered bytes above which the agent stops reading from clients.
    ///
    /// Accounts for memory outside the buffers, which would otherwise take the process beyond its
    /// limit. This is harmful under a low limit, as long messages wait for each other sooner.
    pub fn max_buffered_bytes(&self) -> usize {
        let client_bytes = self.connections.client_count() * CLIENT_STATE_BYTES;
        self.unused_share(client_bytes)
            .min(self.memory_bytes.get() / BUFFER_DIVISOR)
            .max(MIN_BUFFERED_BYTES)
    }

    /// Returns an error if the memory limit is too low for the process and the minimum of buffers.
    pub fn check_memory(&self) -> Result<(), MemoryLimitTooLow> {
        if self.unused_share(0) >= MIN_BUFFERED_BYTES {
            return Ok(());
        }
        Err(MemoryLimitTooLow {
            limit_bytes: self.memory_bytes.get(),
            process_bytes: self.process_bytes.get(),
        })
    }

    fn unused_share(&self, client_bytes: usize) -> usize {
        let used_bytes = self.process_bytes.get().saturating_add(client_bytes);
        self.memory_bytes.get().saturating_sub(used_bytes) / UNUSED_MEMORY_DIVISOR
    }
}
