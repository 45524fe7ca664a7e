//! Maps names to indices, and hashes names.

use std::collections::HashMap;

/// Assigns indices to names, from 0, in the order in which they are first seen.
#[derive(Default)]
pub struct NameTable {
    indices: HashMap<String, usize>,
    names: Vec<String>,
}

impl NameTable {
    /// The index of `name`. A new name gets the next index.
    pub fn index_or_insert(&mut self, name: &str) -> usize {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let index = self.names.len();
        self.indices.insert(name.to_owned(), index);
        self.names.push(name.to_owned());
        index
    }

    /// The index of `name`; `None` if it has not been inserted.
    pub fn index(&self, name: &str) -> Option<usize> {
        self.indices.get(name).copied()
    }

    /// The name at `index`.
    ///
    /// # Panics
    ///
    /// Panics if `index` was not assigned.
    pub fn name(&self, index: usize) -> &str {
        &self.names[index]
    }
}

/// Initial value of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Multiplier of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The 64-bit FNV-1a hash of `name`, which is the same on every agent and in every version.
pub fn stable_hash(name: &str) -> u64 {
    name.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}
