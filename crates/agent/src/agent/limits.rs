//! Limits on the sockets and the memory that clients and endpoints may use.

use super::memory_gate::MemoryGate;
use crate::protocol::buffer::MemoryReservation;
use crate::upstream::limits::ConnectionLimits;
use std::cell::Cell;

/// Data received from clients may fill at most the memory limit divided by this; the rest is left
/// to the responses of endpoints.
const BUFFER_DIVISOR: usize = 4;
/// Of the memory that the process and its connections leave unused, clients' messages may take this
/// many of [`UNUSED_MEMORY_PARTS`]. A counted byte costs the process more than one byte: a growing
/// buffer is copied, and the allocator keeps freed memory for a second.
const REQUEST_PARTS: usize = 2;
/// The same for clients' messages and endpoints' responses together.
const RESPONSE_PARTS: usize = 4;
const UNUSED_MEMORY_PARTS: usize = 6;
/// The memory of a client connection without what is counted: 3.1 KB for its task and socket, 4 KB
/// for the base of its receive buffer, and up to 6 KB more while one of its requests is open at an
/// endpoint, which is not the case for all at once.
const CLIENT_STATE_BYTES: usize = 12 * 1024;
/// The memory of a connection to an endpoint without what is counted: its socket, and the base of
/// its receive buffer while a response is read.
const ENDPOINT_STATE_BYTES: usize = 5 * 1024;
/// The number of bytes that may be buffered under any memory limit: enough for a few messages of
/// the maximum length with their copies. Prevents a low limit from stopping all reads from clients.
/// This is harmful where the limit is enforced from outside, as the process then exceeds it.
pub const MIN_BUFFERED_BYTES: usize = 1024 * 1024;

const BYTES_PER_KIB: usize = 1024;
const BYTES_PER_MIB: usize = 1024 * BYTES_PER_KIB;
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
    /// Where clients' messages wait for memory.
    pub request_memory: MemoryGate,
    /// Where endpoints' responses wait for memory.
    pub response_memory: MemoryGate,
    memory_bytes: Cell<usize>,
    process_bytes: Cell<usize>,
}

impl ResourceLimits {
    /// Creates limits for a number of sockets and bytes of memory.
    pub fn new(max_sockets: usize, memory_bytes: usize) -> ResourceLimits {
        ResourceLimits {
            connections: ConnectionLimits::new(max_sockets),
            request_memory: MemoryGate::default(),
            response_memory: MemoryGate::default(),
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

    /// Returns the memory limit of the process, in bytes.
    pub fn memory_limit(&self) -> usize {
        self.memory_bytes.get()
    }

    /// Returns the number of buffered bytes up to which the agent reads long messages of clients.
    ///
    /// Accounts for memory outside the buffers, which would otherwise take the process beyond its
    /// limit. This is harmful under a low limit, as long messages wait for each other sooner.
    pub fn max_buffered_bytes(&self) -> usize {
        self.unused_parts(self.connection_bytes(), REQUEST_PARTS)
            .min(self.memory_bytes.get() / BUFFER_DIVISOR)
            .max(MIN_BUFFERED_BYTES)
    }

    /// Returns the number of buffered bytes up to which the agent reads long responses of
    /// endpoints. It is above [`ResourceLimits::max_buffered_bytes`], so that the requests that
    /// were read can end.
    pub fn max_response_bytes(&self) -> usize {
        self.unused_parts(self.connection_bytes(), RESPONSE_PARTS)
            .max(self.max_buffered_bytes() + MIN_BUFFERED_BYTES)
    }

    /// Returns whether a client's buffer may grow by this many bytes.
    pub fn allows_request_bytes(&self, bytes: usize) -> bool {
        MemoryReservation::total() + bytes <= self.max_buffered_bytes()
    }

    /// Returns whether the buffer for a response may grow by this many bytes.
    pub fn allows_response_bytes(&self, bytes: usize) -> bool {
        MemoryReservation::total() + bytes <= self.max_response_bytes()
    }

    /// Returns the buffered bytes and their limits, for the lines of counters. All figures are in
    /// KiB.
    pub fn memory_summary(&self) -> String {
        let kib = |bytes: usize| bytes / BYTES_PER_KIB;
        format!(
            "buffered: now {} peak {} max_requests {} max_responses {} process {} limit {}",
            kib(MemoryReservation::total()),
            kib(MemoryReservation::peak()),
            kib(self.max_buffered_bytes()),
            kib(self.max_response_bytes()),
            kib(self.process_bytes.get()),
            kib(self.memory_bytes.get()),
        )
    }

    fn connection_bytes(&self) -> usize {
        let connections = &self.connections;
        connections.client_count() * CLIENT_STATE_BYTES
            + connections.endpoint_connection_count() * ENDPOINT_STATE_BYTES
    }

    /// Returns an error if the memory limit is too low for the process and the minimum of buffers.
    pub fn check_memory(&self) -> Result<(), MemoryLimitTooLow> {
        if self.unused_parts(0, REQUEST_PARTS) >= MIN_BUFFERED_BYTES {
            return Ok(());
        }
        Err(MemoryLimitTooLow {
            limit_bytes: self.memory_bytes.get(),
            process_bytes: self.process_bytes.get(),
        })
    }

    /// Returns this many of [`UNUSED_MEMORY_PARTS`] of the memory that the process and its
    /// connections leave unused.
    fn unused_parts(&self, connection_bytes: usize, parts: usize) -> usize {
        let used_bytes = self.process_bytes.get().saturating_add(connection_bytes);
        let unused_bytes = self.memory_bytes.get().saturating_sub(used_bytes);
        unused_bytes / UNUSED_MEMORY_PARTS * parts
    }
}
