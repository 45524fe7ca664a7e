//! The arrival times of the messages in a receive buffer.

use super::postgres;
use std::collections::VecDeque;
use std::time::Instant;

/// The arrival time of each complete unread message, in the order of the messages.
///
/// A pipelined request's deadline counts from its own arrival, not from that of later bytes.
#[derive(Default)]
pub struct ArrivalTracker {
    /// The number of bytes at the start of the unread data that hold the messages recorded so far.
    scanned_bytes: usize,
    arrival_times: VecDeque<Instant>,
}

impl ArrivalTracker {
    /// Records `now` for the messages that became complete since the last call. `unread` holds all
    /// unread bytes.
    pub fn on_data(&mut self, unread: &[u8], now: Instant) {
        while let Some(Ok(Some(message))) = unread
            .get(self.scanned_bytes..)
            .map(postgres::parse_message)
        {
            self.scanned_bytes += message.length;
            self.arrival_times.push_back(now);
        }
    }

    /// Removes the first message, of `length` bytes, and returns when it became complete; `None` if
    /// it was not recorded.
    pub fn on_consumed(&mut self, length: usize) -> Option<Instant> {
        self.scanned_bytes = self.scanned_bytes.saturating_sub(length);
        self.arrival_times.pop_front()
    }

    /// Returns the number of complete unread messages.
    pub fn complete_messages(&self) -> usize {
        self.arrival_times.len()
    }
}
