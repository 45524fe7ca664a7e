//! The arrival times of the messages in a receive buffer.

use super::postgres;
use std::collections::VecDeque;
use std::time::Instant;

/// The number of different arrival times that are kept for one connection. Messages that arrive
/// after that many count as arriving with the last of these, so that no deadline is set too late.
const MAX_ARRIVAL_TIMES: usize = 64;

/// The arrival time of each complete unread message, in the order of the messages.
///
/// A pipelined request's deadline counts from its own arrival, not from that of later bytes.
#[derive(Default)]
pub struct ArrivalTracker {
    /// The number of bytes at the start of the unread data that hold the messages recorded so far.
    scanned_bytes: usize,
    groups: VecDeque<ArrivalGroup>,
    messages: usize,
}

/// Successive messages that became complete at the same time.
struct ArrivalGroup {
    at: Instant,
    messages: usize,
}

impl ArrivalTracker {
    /// Records `now` for the messages that became complete since the last call. `unread` holds all
    /// unread bytes.
    pub fn on_data(&mut self, unread: &[u8], now: Instant) {
        let mut messages = 0;
        while let Some(Ok(Some(message))) = unread
            .get(self.scanned_bytes..)
            .map(postgres::parse_message)
        {
            self.scanned_bytes += message.length;
            messages += 1;
        }
        self.add(messages, now);
    }

    fn add(&mut self, messages: usize, at: Instant) {
        if messages == 0 {
            return;
        }
        self.messages += messages;
        let is_full = self.groups.len() >= MAX_ARRIVAL_TIMES;
        match self.groups.back_mut() {
            Some(last) if is_full => last.messages += messages,
            _ => self.groups.push_back(ArrivalGroup { at, messages }),
        }
    }

    /// Removes the first message, of `length` bytes, and returns when it became complete; `None` if
    /// it was not recorded.
    pub fn on_consumed(&mut self, length: usize) -> Option<Instant> {
        self.scanned_bytes = self.scanned_bytes.saturating_sub(length);
        let first = self.groups.front_mut()?;
        let at = first.at;
        first.messages -= 1;
        self.messages -= 1;
        if first.messages == 0 {
            self.groups.pop_front();
        }
        Some(at)
    }

    /// Returns the number of complete unread messages.
    pub fn complete_messages(&self) -> usize {
        self.messages
    }
}
