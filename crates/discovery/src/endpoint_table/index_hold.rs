//! Which indices may be given to other endpoints: those of endpoints that are gone and that no
//! attempt holds any more.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;

/// The indices that may be given to other endpoints, the least first.
#[derive(Clone, Debug, Default)]
pub(super) struct ReusableIndices(Rc<RefCell<BTreeSet<usize>>>);

impl ReusableIndices {
    /// Takes the least index.
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

/// The hold of one endpoint on its index. Shared by its entry in the table and by all guards.
#[derive(Debug)]
pub(super) struct IndexHold {
    index: usize,
    is_gone: Cell<bool>,
    reusable: ReusableIndices,
}

impl IndexHold {
    /// The hold of an endpoint that is not gone.
    pub(super) fn new(index: usize, reusable: &ReusableIndices) -> Rc<IndexHold> {
        Rc::new(IndexHold {
            index,
            is_gone: Cell::new(false),
            reusable: reusable.clone(),
        })
    }

    /// The endpoint is gone, or is there again. The index of one that is gone may be given to
    /// another at once, or when the last guard is dropped.
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

/// Keeps the index of an endpoint from being reused for as long as it lives.
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
        // The other one is that of the table's entry, unless the table is gone as well.
        let is_last_guard = Rc::strong_count(&self.hold) == 2;
        if is_last_guard && self.hold.is_gone.get() {
            self.hold.reusable.insert(self.hold.index);
        }
    }
}
