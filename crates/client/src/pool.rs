//! The connections to one agent.

use crate::connection::Connection;
use std::collections::VecDeque;

/// The connections to one agent.
#[derive(Debug, Default)]
pub struct Pool {
    /// The longest idle first.
    idle: VecDeque<Connection>,
    /// Connections that are idle, in use, or being opened.
    pub open: usize,
}

impl Pool {
    /// Connections that wait for a request.
    pub fn idle_count(&self) -> usize {
        self.idle.len()
    }

    /// Whether a connection waits for a request.
    pub fn has_idle(&self) -> bool {
        !self.idle.is_empty()
    }

    /// Drops the idle connections that were closed or have bytes on them; how many there were.
    pub fn remove_closed(&mut self) -> usize {
        let before = self.idle.len();
        self.idle.retain(Connection::is_quiet);
        let removed = before - self.idle.len();
        self.open = self.open.saturating_sub(removed);
        removed
    }

    /// Gives back the place of one connection.
    pub fn release_one(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// The connection that has been idle for longest.
    pub fn take_longest_idle(&mut self) -> Option<Connection> {
        self.idle.pop_front()
    }

    /// Keeps a connection for the next request.
    pub fn put_back(&mut self, connection: Connection) {
        self.idle.push_back(connection);
    }
}
