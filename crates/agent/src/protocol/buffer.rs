//! The receive buffer of a connection. It grows on demand and is compacted in place. What buffers
//! hold beyond a small base is counted, so that reading can be suspended while memory is short.

use std::cell::Cell;

thread_local! {
    static RESERVED_BYTES: Cell<usize> = const { Cell::new(0) };
    static PEAK_RESERVED_BYTES: Cell<usize> = const { Cell::new(0) };
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

    /// Replaces the number of reserved bytes.
    pub fn resize(&mut self, bytes: usize) {
        let total = RESERVED_BYTES.get() + bytes - self.0;
        RESERVED_BYTES.set(total);
        PEAK_RESERVED_BYTES.set(PEAK_RESERVED_BYTES.get().max(total));
        self.0 = bytes;
    }

    /// Returns the total number of bytes in all reservations of this thread.
    pub fn total() -> usize {
        RESERVED_BYTES.get()
    }

    /// Returns the highest total so far.
    pub fn peak() -> usize {
        PEAK_RESERVED_BYTES.get()
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}

/// The capacity in bytes up to which a buffer is not counted: it belongs to the size of its
/// connection. So a short message can always be read, however much memory long ones hold.
pub const BASE_CAPACITY: usize = 4096;

/// Returns how many bytes of a block of this size count as buffered: a block of up to
/// [`BASE_CAPACITY`] belongs to the size of its connection.
pub fn counted_bytes(block: usize) -> usize {
    if block > BASE_CAPACITY {
        block
    } else {
        0
    }
}

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

    /// Returns whether more can be received without growing beyond the present capacity, or beyond
    /// [`BASE_CAPACITY`].
    pub fn has_space(&self) -> bool {
        self.len() < self.bytes.len().max(BASE_CAPACITY)
    }

    /// Removes the first `count` unread bytes, or all if there are fewer. A buffer that becomes
    /// empty releases what it holds beyond [`BASE_CAPACITY`].
    pub fn consume(&mut self, count: usize) {
        self.start = self.start.saturating_add(count).min(self.end);
        if self.is_empty() {
            self.start = 0;
            self.end = 0;
            if self.bytes.len() > BASE_CAPACITY {
                self.set_storage(Vec::new());
            }
        }
    }

    /// Returns by how many bytes the capacity grows if a message of `length` bytes is to be held;
    /// 0 if it has space.
    pub fn growth_for(&self, length: usize) -> usize {
        let current = self.bytes.len().max(BASE_CAPACITY);
        if length <= current {
            0
        } else {
            length + BASE_CAPACITY - current
        }
    }

    /// Grows the buffer to hold a message of `length` unread bytes and the beginning of the next
    /// one, in one step.
    ///
    /// Prevents the process from exceeding its memory limit: a buffer that grows by doubling frees
    /// a block of each size, which the allocator keeps for a second and which is not counted. This
    /// is harmful if a client sends the first bytes of a message and never the rest: the whole
    /// capacity counts until the client's receive timeout.
    pub fn reserve(&mut self, length: usize) {
        if self.growth_for(length) == 0 {
            return;
        }
        let mut storage = vec![0; length + BASE_CAPACITY];
        let unread = self.unread();
        storage[..unread.len()].copy_from_slice(unread);
        self.end -= self.start;
        self.start = 0;
        self.set_storage(storage);
    }

    /// Appends the bytes that `read` writes into the free space. `read` returns their number. A
    /// full buffer doubles its capacity first.
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
        if self.bytes.is_empty() {
            self.set_storage(vec![0; BASE_CAPACITY]);
        }
        if self.end < self.bytes.len() {
            return;
        }
        if self.start > 0 {
            self.bytes.copy_within(self.start..self.end, 0);
            self.end -= self.start;
            self.start = 0;
        } else {
            let capacity = self.bytes.len();
            self.reserve((2 * capacity - BASE_CAPACITY).max(capacity + 1));
        }
    }

    /// Returns the number of bytes that count as buffered: the capacity, or 0 for the base.
    pub fn counted_bytes(&self) -> usize {
        counted_bytes(self.bytes.len())
    }

    /// Replaces the storage, whose beginning holds the unread bytes.
    fn set_storage(&mut self, storage: Vec<u8>) {
        self.bytes = storage;
        self.reservation.resize(self.counted_bytes());
    }
}
