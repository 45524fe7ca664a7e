//! The bounds on what clients and endpoints may take of the machine.

use crate::upstream::limits::ConnectionLimits;
use std::cell::Cell;

/// Which part of the memory may be held by what came in from clients, at most; answers of endpoints
/// keep the rest.
const BUFFER_SHARE: usize = 4;
/// Which part of the memory that the process and its connections leave may be buffered. A counted
/// byte takes more than one of the process: a buffer that grows is copied, the allocator keeps what
/// was freed for a second, and it takes memory from the kernel in pages of 2 MiB.
const UNUSED_MEMORY_SHARE: usize = 3;
/// What a client's connection takes beside its buffers: 3.1 KB for its task and socket, 6 KB more
/// while a request of it is open at an endpoint, which not all have at once.
const CLIENT_STATE_BYTES: usize = 8 * 1024;
/// So much may be buffered under any limit: a few of the longest messages, each of them with its
/// copies. Guards against a limit under which no client would be read. Does harm where the limit is
/// enforced from outside: the process is larger than it.
pub const MIN_BUFFERED_BYTES: usize = 1024 * 1024;

const BYTES_PER_MIB: usize = 1024 * 1024;
/// A limit on memory from which on the kernel may use huge pages.
///
/// Guards lower limits: a page of 2 MiB stays whole for a few bytes of it, which took 4 to 6 MB more
/// than was allocated. Does harm there by more, smaller pages to look up.
const MIN_LIMIT_FOR_HUGE_PAGES: usize = 64 * BYTES_PER_MIB;

/// Whether a limit on memory, in bytes, leaves room for huge pages.
pub fn has_room_for_huge_pages(memory_bytes: usize) -> bool {
    memory_bytes >= MIN_LIMIT_FOR_HUGE_PAGES
}

/// The limit on memory leaves less for buffers than is needed.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error(
    "field limits.memory_mb: {} MB are too few for a process of {} MB at its start; \
     it goes on beyond the limit, with {} MB for buffers",
    limit_bytes / BYTES_PER_MIB,
    process_bytes.div_ceil(BYTES_PER_MIB),
    MIN_BUFFERED_BYTES / BYTES_PER_MIB
)]
pub struct MemoryLimitTooLow {
    limit_bytes: usize,
    process_bytes: usize,
}

/// Bounds on sockets and memory.
///
/// Written at the start and by a configuration reload; read by the listener, by client connections
/// and by attempts.
pub struct ResourceLimits {
    /// The bound on sockets, with the permits that are held.
    pub connections: ConnectionLimits,
    memory_bytes: Cell<usize>,
    process_bytes: Cell<usize>,
}

impl ResourceLimits {
    /// Bounds for so many sockets and bytes of memory.
    pub fn new(max_sockets: usize, memory_bytes: usize) -> ResourceLimits {
        ResourceLimits {
            connections: ConnectionLimits::new(max_sockets),
            memory_bytes: Cell::new(memory_bytes),
            process_bytes: Cell::default(),
        }
    }

    /// Other bounds from now on. Who holds a socket beyond a lower one keeps it.
    pub fn resize(&self, max_sockets: usize, memory_bytes: usize) {
        self.connections.resize(max_sockets);
        self.memory_bytes.set(memory_bytes);
    }

    /// What the process takes before its first client: its code and data, settings and endpoints.
    pub fn set_process_bytes(&self, process_bytes: usize) {
        self.process_bytes.set(process_bytes);
    }

    /// Bytes in buffers beyond which clients are held back.
    ///
    /// Guards against a process that grows beyond its limit by what is not buffered. Does harm under
    /// a low limit: long messages wait for each other sooner.
    pub fn max_buffered_bytes(&self) -> usize {
        let client_bytes = self.connections.client_count() * CLIENT_STATE_BYTES;
        self.unused_share(client_bytes)
            .min(self.memory_bytes.get() / BUFFER_SHARE)
            .max(MIN_BUFFERED_BYTES)
    }

    /// Fails where the limit does not bear the process and the least buffers.
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
        self.memory_bytes.get().saturating_sub(used_bytes) / UNUSED_MEMORY_SHARE
    }
}
