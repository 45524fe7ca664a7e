//! Lists of endpoints, grouped by a key.

use std::collections::BTreeMap;
use std::ops::RangeBounds;

/// Lists of endpoints, grouped by a key and unordered within each list. Adding, removing and
/// randomly choosing an endpoint take constant time within a list. Empty lists are removed.
pub(crate) struct MemberLists<K> {
    lists: BTreeMap<K, Vec<usize>>,
    /// Position of each endpoint in its list, by endpoint index.
    positions: Vec<usize>,
}

impl<K> Default for MemberLists<K> {
    fn default() -> MemberLists<K> {
        MemberLists {
            lists: BTreeMap::new(),
            positions: Vec::new(),
        }
    }
}

impl<K: Ord> MemberLists<K> {
    /// Adds an endpoint, which must not be in any list.
    pub fn insert(&mut self, key: K, endpoint: usize) {
        if endpoint >= self.positions.len() {
            self.positions.resize(endpoint + 1, 0);
        }
        let list = self.lists.entry(key).or_default();
        self.positions[endpoint] = list.len();
        list.push(endpoint);
    }

    /// Removes an endpoint from the list of a key. Does nothing if the list does not contain it.
    pub fn remove(&mut self, key: &K, endpoint: usize) {
        let Some(list) = self.lists.get_mut(key) else {
            return;
        };
        let position = self.positions.get(endpoint).copied().unwrap_or(list.len());
        if list.get(position) != Some(&endpoint) {
            return;
        }
        list.swap_remove(position);
        if let Some(moved) = list.get(position) {
            self.positions[*moved] = position;
        }
        if list.is_empty() {
            self.lists.remove(key);
        }
    }

    /// Returns the endpoints of a key.
    pub fn get(&self, key: &K) -> &[usize] {
        self.lists.get(key).map_or(&[], Vec::as_slice)
    }

    /// Returns the lists of a range of keys, in key order.
    pub fn range(&self, keys: impl RangeBounds<K>) -> impl Iterator<Item = &[usize]> {
        self.lists.range(keys).map(|(_, list)| list.as_slice())
    }

    /// Returns all lists with their keys, in key order.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &[usize])> {
        self.lists.iter().map(|(key, list)| (key, list.as_slice()))
    }
}
