//! The bounds on what clients and endpoints may take of the machine.

use crate::upstream::limits::ConnectionLimits;
use std::cell::Cell;

/// Which part of the memory may be held by what came in from clients; answers of endpoints keep the
/// rest.
const BUFFER_SHARE: usize = 4;

/// Bounds on sockets and memory.
///
/// Written by a configuration reload; read by the listener, by client connections and by attempts.
pub struct ResourceLimits {
    /// The bound on sockets, with the permits that are held.
    pub connections: ConnectionLimits,
    max_buffered_bytes: Cell<usize>,
}

impl ResourceLimits {
    /// Bounds for so many sockets and bytes of memory.
    pub fn new(max_sockets: usize, memory_bytes: usize) -> ResourceLimits {
        ResourceLimits {
            connections: ConnectionLimits::new(max_sockets),
            max_buffered_bytes: Cell::new(memory_bytes / BUFFER_SHARE),
        }
    }

    /// Other bounds from now on. Who holds a socket beyond a lower one keeps it.
    pub fn resize(&self, max_sockets: usize, memory_bytes: usize) {
        self.connections.resize(max_sockets);
        self.max_buffered_bytes.set(memory_bytes / BUFFER_SHARE);
    }

    /// Bytes in buffers beyond which clients are held back.
    pub fn max_buffered_bytes(&self) -> usize {
        self.max_buffered_bytes.get()
    }
}
