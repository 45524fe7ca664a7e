//! The receive buffer of a connection. It grows on demand and is compacted in place. All buffered
//! bytes of the process are counted, so that readers can be held back while memory is short.

use std::cell::Cell;

thread_local! {
    static RESERVED_BYTES: Cell<usize> = const { Cell::new(0) };
}

/// Bytes that count as buffered until this is dropped.
#[derive(Debug, Default, PartialEq)]
pub struct MemoryReservation(usize);

impl MemoryReservation {
    /// Reserves `bytes`; this never fails.
    pub fn new(bytes: usize) -> MemoryReservation {
        let mut reservation = MemoryReservation(0);
        reservation.resize(bytes);
        reservation
    }

    fn resize(&mut self, bytes: usize) {
        RESERVED_BYTES.set(RESERVED_BYTES.get() + bytes - self.0);
        self.0 = bytes;
    }

    /// The bytes of all reservations of this thread.
    pub fn total() -> usize {
        RESERVED_BYTES.get()
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}

/// The least free space that is offered to a read, in bytes.
const MIN_READ_SPACE: usize = 4096;
/// An empty buffer with a larger capacity than this many bytes releases its memory.
pub const MAX_RETAINED_CAPACITY: usize = 16 * 1024;

/// Received bytes that were not consumed yet.
#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    reservation: MemoryReservation,
}

impl Buffer {
    /// The bytes received and not consumed.
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Whether all received bytes were consumed.
    pub fn is_empty(&self) -> bool {
        self.start == self.end
    }

    /// The number of unread bytes.
    pub fn len(&self) -> usize {
        self.end - self.start
    }

    /// Drops the first `count` unread bytes, or all where there are fewer.
    pub fn consume(&mut self, count: usize) {
        self.start = self.start.saturating_add(count).min(self.end);
        if self.is_empty() {
            self.start = 0;
            self.end = 0;
            if self.bytes.len() > MAX_RETAINED_CAPACITY {
                self.bytes = Vec::new();
            }
            self.reservation.resize(self.bytes.len());
        }
    }

    /// Releases the memory of an empty buffer.
    pub fn release_if_empty(&mut self) {
        if self.is_empty() {
            *self = Buffer::default();
        }
    }

    /// Makes space for `length` unread bytes in one step, once a read's worth of them is there.
    ///
    /// Guards against a process that outgrows its limit: a buffer that doubles leaves a freed block
    /// of each size on its way, which the allocator keeps for a second and nothing counts. Does harm
    /// where a client sends that much and never the rest: all of it counts until its time is over.
    pub fn reserve(&mut self, length: usize) {
        let capacity = length + MIN_READ_SPACE;
        if self.len() < MIN_READ_SPACE || self.bytes.len() >= capacity {
            return;
        }
        let mut bytes = vec![0; capacity];
        let unread = self.unread();
        bytes[..unread.len()].copy_from_slice(unread);
        self.end = unread.len();
        self.start = 0;
        self.bytes = bytes;
        self.reservation.resize(capacity);
    }

    /// Appends what `read` writes into the free space; `read` returns how many bytes that were.
    pub fn fill<E>(
        &mut self,
        read: impl FnOnce(&mut [u8]) -> Result<usize, E>,
    ) -> Result<usize, E> {
        self.make_space();
        let received = read(&mut self.bytes[self.end..])?;
        self.end = (self.end + received).min(self.bytes.len());
        Ok(received)
    }

    fn make_space(&mut self) {
        if self.bytes.len() - self.end >= MIN_READ_SPACE {
            return;
        }
        self.bytes.copy_within(self.start..self.end, 0);
        self.end -= self.start;
        self.start = 0;
        if self.bytes.len() - self.end < MIN_READ_SPACE {
            self.bytes
                .resize((self.bytes.len() * 2).max(MIN_READ_SPACE), 0);
            self.reservation.resize(self.bytes.len());
        }
    }
}
