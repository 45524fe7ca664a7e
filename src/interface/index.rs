//! What becomes of the indices of classes and tenants at a configuration reload.

use std::collections::BTreeSet;

/// Where the name behind an index stood before a configuration reload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IndexOrigin {
    /// At the same index.
    Same,
    /// At this earlier index, which requests in flight go on to use under the earlier rules.
    MovedFrom(usize),
    /// Nowhere: the name is new.
    New,
    /// At this index, which only requests in flight still use.
    Retired,
    /// The index belongs to no name.
    Unused,
}

/// The origin of each class and tenant index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IndexMapping {
    /// By class index.
    pub classes: Vec<IndexOrigin>,
    /// By tenant index.
    pub tenants: Vec<IndexOrigin>,
}

/// The indices that requests in flight are counted under.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IndicesInUse {
    /// Classes of requests in flight.
    pub classes: BTreeSet<usize>,
    /// Tenants of requests in flight.
    pub tenants: BTreeSet<usize>,
    /// Zones of their attempts.
    pub zones: BTreeSet<usize>,
}
