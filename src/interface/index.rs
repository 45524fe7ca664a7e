//! How a configuration reload renumbers classes and tenants.

use std::collections::BTreeSet;

/// Where an index came from at a configuration reload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IndexOrigin {
    /// Its name had the same index before the reload.
    Same,
    /// Its name had this earlier index, which requests in flight continue to use, with the rules
    /// from before the reload.
    MovedFrom(usize),
    /// Its name did not exist before the reload.
    New,
    /// Its name was removed, and only requests in flight still use the index.
    Retired,
    /// No name uses the index.
    Unused,
}

/// The origin of every class and tenant index at a configuration reload.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IndexMapping {
    /// Origins of the classes, by their index after the reload.
    pub classes: Vec<IndexOrigin>,
    /// Origins of the tenants, by their index after the reload.
    pub tenants: Vec<IndexOrigin>,
}

/// The indices that requests in flight still refer to. A reload must not reassign them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IndicesInUse {
    /// Class indices of the requests in flight.
    pub classes: BTreeSet<usize>,
    /// Tenant indices of the requests in flight.
    pub tenants: BTreeSet<usize>,
    /// Zone indices of the attempts of these requests.
    pub zones: BTreeSet<usize>,
}
