//! When each message in a receive buffer became whole.

use super::postgres;
use std::collections::VecDeque;
use std::time::Instant;

/// The arrival time of each whole unread message, the first message's first.
///
/// A pipelined request's deadline counts from its own arrival, not from that of later bytes.
#[derive(Default)]
pub struct ArrivalTracker {
    /// Bytes at the start of the unread data that hold the whole messages noted so far.
    scanned_bytes: usize,
    arrival_times: VecDeque<Instant>,
}

impl ArrivalTracker {
    /// Notes the messages that have become whole at `now` in all unread bytes.
    pub fn on_data(&mut self, unread: &[u8], now: Instant) {
        while let Some(Ok(Some(message))) = unread
            .get(self.scanned_bytes..)
            .map(postgres::parse_message)
        {
            self.scanned_bytes += message.length;
            self.arrival_times.push_back(now);
        }
    }

    /// Forgets the first message, of `length` bytes, and returns when it had become whole.
    pub fn on_consumed(&mut self, length: usize) -> Option<Instant> {
        self.scanned_bytes = self.scanned_bytes.saturating_sub(length);
        self.arrival_times.pop_front()
    }

    /// The number of whole unread messages.
    pub fn whole_messages(&self) -> usize {
        self.arrival_times.len()
    }
}
