//! Tracks which endpoint indices may be reused: those of endpoints that are gone and that no
//! attempt holds any more.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;

/// The indices that may be assigned to other endpoints, in ascending order.
#[derive(Clone, Debug, Default)]
pub(super) struct ReusableIndices(Rc<RefCell<BTreeSet<usize>>>);

impl ReusableIndices {
    /// Removes and returns the lowest index; `None` if no index can be reused.
    pub(super) fn take(&self) -> Option<usize> {
        self.0.borrow_mut().pop_first()
    }

    fn insert(&self, index: usize) {
        self.0.borrow_mut().insert(index);
    }

    fn remove(&self, index: usize) {
        self.0.borrow_mut().remove(&index);
    }
}

/// The reference-counted hold on one endpoint's index. It is shared by the endpoint's entry in the
/// table and by all its guards.
#[derive(Debug)]
pub(super) struct IndexHold {
    index: usize,
    is_gone: Cell<bool>,
    reusable: ReusableIndices,
}

impl IndexHold {
    /// Creates the hold on `index` for an endpoint that is not gone.
    pub(super) fn new(index: usize, reusable: &ReusableIndices) -> Rc<IndexHold> {
        Rc::new(IndexHold {
            index,
            is_gone: Cell::new(false),
            reusable: reusable.clone(),
        })
    }

    /// Records whether the endpoint is gone. The index of an endpoint that is gone becomes reusable
    /// at once, or when its last guard is dropped. An endpoint that comes back keeps its index.
    pub(super) fn set_gone(self: &Rc<IndexHold>, is_gone: bool) {
        self.is_gone.set(is_gone);
        let is_held = Rc::strong_count(self) > 1;
        if is_gone && !is_held {
            self.reusable.insert(self.index);
        } else {
            self.reusable.remove(self.index);
        }
    }
}

/// Keeps an endpoint's index from being reused until the guard and all its clones are dropped.
#[derive(Clone, Debug)]
pub struct IndexGuard {
    hold: Rc<IndexHold>,
}

impl IndexGuard {
    pub(super) fn new(hold: &Rc<IndexHold>) -> IndexGuard {
        IndexGuard {
            hold: Rc::clone(hold),
        }
    }
}

impl Drop for IndexGuard {
    fn drop(&mut self) {
        // The second reference belongs to the table's entry, unless the table was dropped before.
        let is_last_guard = Rc::strong_count(&self.hold) == 2;
        if is_last_guard && self.hold.is_gone.get() {
            self.hold.reusable.insert(self.hold.index);
        }
    }
}
