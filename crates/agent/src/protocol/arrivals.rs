//! When messages that wait in a buffer came in whole.

use super::postgres;
use std::collections::VecDeque;
use std::time::Instant;

/// One instant for each whole message that is unread, the first one's first. Guards what was
/// written ahead against a time that begins when something behind it came.
#[derive(Default)]
pub struct Arrivals {
    scanned: usize,
    whole: VecDeque<Instant>,
}

impl Arrivals {
    /// `unread` has grown, or is looked at for the first time.
    pub fn note(&mut self, unread: &[u8], now: Instant) {
        while let Some(Ok(Some((_, _, took)))) = unread.get(self.scanned..).map(postgres::message) {
            self.scanned += took;
            self.whole.push_back(now);
        }
    }

    /// The first message, of so many bytes, is consumed: when it was whole.
    pub fn took(&mut self, bytes: usize) -> Option<Instant> {
        self.scanned = self.scanned.saturating_sub(bytes);
        self.whole.pop_front()
    }

    /// How many whole messages wait.
    pub fn waiting(&self) -> usize {
        self.whole.len()
    }
}
