//! The pool of connections to one agent.

use crate::connection::Connection;
use std::collections::VecDeque;

/// The idle connections to one agent, and the count of all its open ones.
#[derive(Debug, Default)]
pub struct Pool {
    /// Ordered by idle time, longest first.
    idle: VecDeque<Connection>,
    /// The number of connections that are idle, in use, or being opened.
    pub open: usize,
}

impl Pool {
    /// Returns the number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.idle.len()
    }

    /// Returns whether there is an idle connection.
    pub fn has_idle(&self) -> bool {
        !self.idle.is_empty()
    }

    /// Drops the idle connections that were closed or have unread bytes. Returns their number.
    pub fn remove_closed(&mut self) -> usize {
        let before = self.idle.len();
        self.idle.retain(Connection::is_open_without_data);
        let removed = before - self.idle.len();
        self.open = self.open.saturating_sub(removed);
        removed
    }

    /// Releases the slot of one connection.
    pub fn release_one(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Removes and returns the connection that was idle for the longest time.
    pub fn take_longest_idle(&mut self) -> Option<Connection> {
        self.idle.pop_front()
    }

    /// Adds a connection to the idle ones, for the next request.
    pub fn put_back(&mut self, connection: Connection) {
        self.idle.push_back(connection);
    }
}
