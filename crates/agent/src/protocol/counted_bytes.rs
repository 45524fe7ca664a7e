//! Bytes that are kept beside the receive buffers, such as a value on its way to its client, and
//! count as buffered.

use super::buffer::{counted_bytes, MemoryReservation, BASE_CAPACITY};
use std::ops::Deref;

/// Space for the short messages that follow a value, in bytes.
const SPARE_BYTES: usize = 64;

/// A byte vector whose capacity counts as buffered, if it is more than [`BASE_CAPACITY`].
#[derive(Debug, Default, PartialEq)]
pub struct CountedBytes {
    bytes: Vec<u8>,
    reservation: MemoryReservation,
}

impl CountedBytes {
    /// Appends bytes. Grows by little more than they need, as a vector that doubles would hold
    /// twice as much.
    pub fn extend_from_slice(&mut self, bytes: &[u8]) {
        if self.bytes.capacity() - self.bytes.len() < bytes.len() {
            self.bytes.reserve_exact(bytes.len() + SPARE_BYTES);
        }
        self.write_with(|own| own.extend_from_slice(bytes));
    }

    /// Appends bytes by a function that writes to a vector.
    pub fn write_with<T>(&mut self, write: impl FnOnce(&mut Vec<u8>) -> T) -> T {
        let outcome = write(&mut self.bytes);
        let counted = counted_bytes(self.bytes.capacity());
        self.reservation.resize(counted);
        outcome
    }

    /// Removes all bytes, and releases their memory if it counts.
    pub fn clear(&mut self) {
        if self.bytes.capacity() > BASE_CAPACITY {
            *self = CountedBytes::default();
        } else {
            self.bytes.clear();
        }
    }
}

impl Deref for CountedBytes {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}
