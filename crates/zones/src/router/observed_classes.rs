//! The classes with responses. An agent may see only a few of 1,600 configured classes.

use std::cell::Cell;

/// The indices of classes with at least one response, in ascending order.
#[derive(Clone, Debug, Default)]
pub(super) struct ObservedClasses {
    classes: Vec<usize>,
    visited: Cell<u64>,
}

impl ObservedClasses {
    /// Adds a class that received a response.
    pub(super) fn insert(&mut self, class: usize) {
        if let Err(position) = self.classes.binary_search(&class) {
            self.classes.insert(position, class);
        }
    }

    /// Replaces all classes by `classes`, which must be in ascending order.
    pub(super) fn replace(&mut self, classes: impl Iterator<Item = usize>) {
        self.classes = classes.collect();
    }

    /// All observed classes; counts each of them as visited.
    pub(super) fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        let visited = self.classes.len() as u64;
        self.visited.set(self.visited.get().wrapping_add(visited));
        self.classes.iter().copied()
    }

    /// The number of class visits so far.
    pub(super) fn visited(&self) -> u64 {
        self.visited.get()
    }
}
