//! The calls that are made on the connections to the platform.

use std::cell::Cell;

/// The calls on all connections: their ids never meet.
#[derive(Default)]
pub(super) struct Calls {
    last_id: Cell<u64>,
    /// The call with a vote that was not answered yet.
    pub(super) pending_vote: Cell<Option<u64>>,
    /// Whether the platform was not yet reached at its new address.
    pub(super) awaiting_contact: Cell<bool>,
}

impl Calls {
    /// An id that no call had before.
    pub(super) fn next_id(&self) -> u64 {
        self.last_id.set(self.last_id.get() + 1);
        self.last_id.get()
    }
}
