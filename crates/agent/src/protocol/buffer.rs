//! The receive buffer of a connection. It grows on demand and is compacted in place. All buffered
//! bytes of the process are counted, so that reading can be suspended while memory is short.

use std::cell::Cell;

thread_local! {
    static RESERVED_BYTES: Cell<usize> = const { Cell::new(0) };
}

/// A number of bytes that count as buffered until the reservation is dropped.
#[derive(Debug, Default, PartialEq)]
pub struct MemoryReservation(usize);

impl MemoryReservation {
    /// Reserves a number of bytes. This never fails, also beyond any limit.
    pub fn new(bytes: usize) -> MemoryReservation {
        let mut reservation = MemoryReservation(0);
        reservation.resize(bytes);
        reservation
    }

    fn resize(&mut self, bytes: usize) {
        RESERVED_BYTES.set(RESERVED_BYTES.get() + bytes - self.0);
        self.0 = bytes;
    }

    /// Returns the total number of bytes in all reservations of this thread.
    pub fn total() -> usize {
        RESERVED_BYTES.get()
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}

/// The minimum free space for a read, in bytes.
const MIN_READ_SPACE: usize = 4096;
/// A buffer that becomes empty releases its memory if its capacity exceeds this number of bytes.
pub const MAX_RETAINED_CAPACITY: usize = 16 * 1024;

/// A buffer of the bytes that were received and not yet consumed.
#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    reservation: MemoryReservation,
}

impl Buffer {
    /// Returns the bytes that were received and not yet consumed.
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Returns whether all received bytes were consumed.
    pub fn is_empty(&self) -> bool {
        self.start == self.end
    }

    /// Returns the number of unread bytes.
    pub fn len(&self) -> usize {
        self.end - self.start
    }

    /// Removes the first `count` unread bytes, or all if there are fewer.
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

    /// Releases the buffer's memory if it holds no unread bytes.
    pub fn release_if_empty(&mut self) {
        if self.is_empty() {
            *self = Buffer::default();
        }
    }

    /// Grows the buffer to hold `length` unread bytes in one step, once it holds at least as many
    /// as the minimum space for a read.
    ///
    /// Prevents the process from exceeding its memory limit: a buffer that grows by doubling frees
    /// a block of each size, which the allocator keeps for a second and which is not counted. This
    /// is harmful if a client sends the first bytes of a message and never the rest: the whole
    /// capacity counts until the client's receive timeout.
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

    /// Appends the bytes that `read` writes into the free space. `read` returns their number.
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
