//! The classes that responses came of: of 1,600 configured ones an agent may see a few.

use std::cell::Cell;

/// Classes of which a response was seen, in ascending order.
#[derive(Clone, Debug, Default)]
pub(super) struct ObservedClasses {
    classes: Vec<usize>,
    visited: Cell<u64>,
}

impl ObservedClasses {
    /// A response came of this class.
    pub(super) fn insert(&mut self, class: usize) {
        if let Err(position) = self.classes.binary_search(&class) {
            self.classes.insert(position, class);
        }
    }

    /// Replaces the classes by these, which are in ascending order.
    pub(super) fn replace(&mut self, classes: impl Iterator<Item = usize>) {
        self.classes = classes.collect();
    }

    /// All of them, which counts them as visited.
    pub(super) fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        let visited = self.classes.len() as u64;
        self.visited.set(self.visited.get().wrapping_add(visited));
        self.classes.iter().copied()
    }

    /// How many were visited so far.
    pub(super) fn visited(&self) -> u64 {
        self.visited.get()
    }
}
