//! Stores the entries of the endpoint table by index, and keeps totals over all entries up to date
//! at each change.

use super::entry::TableEntry;
use super::index_hold::{IndexHold, ReusableIndices};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tulipwall::EndpointState;

/// The properties of one entry that the totals are counted by.
#[derive(Clone, Copy, PartialEq)]
struct Counted {
    state: EndpointState,
    build: u32,
}

impl Counted {
    fn of(entry: &TableEntry) -> Counted {
        Counted {
            state: entry.state(),
            build: entry.listed.build,
        }
    }
}

/// The entries by index. Every access to an entry is counted, so that tests can compare the work
/// for a list with its size.
#[derive(Default)]
pub(super) struct EntryStore {
    entries: Vec<TableEntry>,
    /// How many endpoints are running.
    running: usize,
    /// For each build, how many endpoints that are not gone run it.
    builds: BTreeMap<u32, usize>,
    reusable: ReusableIndices,
    visits: Cell<u64>,
}

impl EntryStore {
    /// Returns how many entry accesses were counted so far.
    pub(super) fn visits(&self) -> u64 {
        self.visits.get()
    }

    fn count_visit(&self) {
        self.visits.set(self.visits.get() + 1);
    }

    /// Returns the number of indices, including those of endpoints that are gone.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn reserve(&mut self, additional: usize) {
        self.entries.reserve_exact(additional);
    }

    pub(super) fn has_running(&self) -> bool {
        self.running > 0
    }

    /// Returns the builds of all endpoints that are not gone.
    pub(super) fn builds(&self) -> BTreeSet<u32> {
        self.builds.keys().copied().collect()
    }

    pub(super) fn get(&self, index: usize) -> Option<&TableEntry> {
        self.count_visit();
        self.entries.get(index)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &TableEntry> {
        self.entries.iter().inspect(|_| self.count_visit())
    }

    /// Applies `change` to the entry at `index` and updates the totals. Panics if there is no entry
    /// at `index`.
    pub(super) fn update<T>(
        &mut self,
        index: usize,
        change: impl FnOnce(&mut TableEntry) -> T,
    ) -> T {
        self.count_visit();
        let entry = &mut self.entries[index];
        let before = Counted::of(entry);
        let outcome = change(entry);
        let after = Counted::of(entry);
        let is_gone = after.state == EndpointState::Gone;
        if is_gone != (before.state == EndpointState::Gone) {
            entry.hold.set_gone(is_gone);
        }
        if after != before {
            self.uncount(before);
            self.count(after);
        }
        outcome
    }

    /// Returns the index for the next endpoint: the lowest reusable one, or a new one if there is
    /// none. The caller must then call [`EntryStore::insert`] with it.
    pub(super) fn take_free_index(&mut self) -> usize {
        self.reusable.take().unwrap_or(self.entries.len())
    }

    /// Creates the hold on `index` for an endpoint that is not gone.
    pub(super) fn hold(&self, index: usize) -> Rc<IndexHold> {
        IndexHold::new(index, &self.reusable)
    }

    /// Stores an endpoint that is not gone at a free index. Returns the entry that it replaces, if
    /// any.
    pub(super) fn insert(&mut self, index: usize, entry: TableEntry) -> Option<TableEntry> {
        self.count_visit();
        self.count(Counted::of(&entry));
        let replaced = match self.entries.get_mut(index) {
            Some(slot) => Some(std::mem::replace(slot, entry)),
            None => {
                self.entries.push(entry);
                None
            }
        };
        replaced
    }

    fn count(&mut self, counted: Counted) {
        if counted.state == EndpointState::Running {
            self.running += 1;
        }
        if counted.state != EndpointState::Gone {
            *self.builds.entry(counted.build).or_default() += 1;
        }
    }

    fn uncount(&mut self, counted: Counted) {
        if counted.state == EndpointState::Running {
            self.running -= 1;
        }
        if counted.state == EndpointState::Gone {
            return;
        }
        if let Some(endpoints) = self.builds.get_mut(&counted.build) {
            *endpoints -= 1;
            if *endpoints == 0 {
                self.builds.remove(&counted.build);
            }
        }
    }
}
