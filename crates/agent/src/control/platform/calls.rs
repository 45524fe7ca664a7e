//! The state of calls to the platform that its connections share.

use std::cell::Cell;

/// The calls on all connections to the platform. Call ids are unique across connections.
#[derive(Default)]
pub(super) struct Calls {
    last_id: Cell<u64>,
    /// The id of the call whose vote has no reply yet; `None` if no vote is pending.
    pub(super) pending_vote: Cell<Option<u64>>,
    /// Whether the platform has a new address and was not reached there yet.
    pub(super) awaiting_contact: Cell<bool>,
}

impl Calls {
    /// Returns an id that no earlier call had.
    pub(super) fn next_id(&self) -> u64 {
        self.last_id.set(self.last_id.get() + 1);
        self.last_id.get()
    }

    /// Returns whether a call has had this id.
    pub(super) fn was_issued(&self, id: u64) -> bool {
        id <= self.last_id.get()
    }
}
