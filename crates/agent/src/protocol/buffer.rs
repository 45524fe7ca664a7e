//! The one buffer of a connection: it grows as it needs and is compacted in place. All that is
//! buffered here is weighed, so that readers can be held back.

use std::cell::Cell;

thread_local! {
    static HELD: Cell<usize> = const { Cell::new(0) };
}

/// Bytes that count as held for as long as this lives.
#[derive(Debug, Default, PartialEq)]
pub struct Weight(usize);

impl Weight {
    pub fn of(bytes: usize) -> Weight {
        let mut weight = Weight(0);
        weight.set(bytes);
        weight
    }

    fn set(&mut self, bytes: usize) {
        HELD.set(HELD.get() + bytes - self.0);
        self.0 = bytes;
    }

    /// What all of them hold.
    pub fn held() -> usize {
        HELD.get()
    }
}

impl Drop for Weight {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// What is asked for at least when more is read.
const READ: usize = 4096;
/// An empty buffer that grew beyond this many bytes gives its memory back.
pub const KEPT: usize = 16 * 1024;

#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    weight: Weight,
}

impl Buffer {
    /// What has come in and was not consumed.
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    pub fn is_empty(&self) -> bool {
        self.start == self.end
    }

    pub fn len(&self) -> usize {
        self.end - self.start
    }

    pub fn consume(&mut self, count: usize) {
        self.start = self.start.saturating_add(count).min(self.end);
        if self.is_empty() {
            (self.start, self.end) = (0, 0);
            if self.bytes.len() > KEPT {
                self.bytes = Vec::new();
            }
            self.weight.set(self.bytes.len());
        }
    }

    /// Takes in what `read` puts into the free end, of which it says how much.
    pub fn fill<E>(
        &mut self,
        read: impl FnOnce(&mut [u8]) -> Result<usize, E>,
    ) -> Result<usize, E> {
        if self.bytes.len() - self.end < READ {
            self.bytes.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
            if self.bytes.len() - self.end < READ {
                self.bytes.resize((self.bytes.len() * 2).max(READ), 0);
                self.weight.set(self.bytes.len());
            }
        }
        let got = read(&mut self.bytes[self.end..])?;
        self.end = (self.end + got).min(self.bytes.len());
        Ok(got)
    }
}
