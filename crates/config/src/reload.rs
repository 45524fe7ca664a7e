//! Configuration reload: new settings take over the indices of the settings in force.
//!
//! A name that remains keeps its index, so that requests in flight, evidence and endpoint lists
//! stay valid. The index of a removed name is reused once no request in flight uses it, so that no
//! sequence of reloads makes the tables grow without bound.

use crate::service_config::ServiceConfig;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;
use tulipwall::{
    Idempotency, IndexMapping, IndexOrigin, IndicesInUse, RequestClass, Settings, Tenant,
};

/// Placeholder at the index of a class that is no longer in use.
const UNUSED_CLASS: RequestClass = RequestClass {
    latency_objective: Duration::from_secs(1),
    priority_weight: 0.0,
    idempotency: Idempotency::NonIdempotent,
};
/// Placeholder at the index of a tenant that is no longer in use.
const UNUSED_TENANT: Tenant = Tenant { share: 1.0 };

impl ServiceConfig {
    /// Renumbers these settings so that names keep their indices in `old`, and returns them with
    /// the origin of each index. A class whose idempotency changes gets another index while
    /// requests in flight still follow the earlier idempotency. The seed remains that of `old`.
    pub fn renumbered_after(
        self,
        old: &ServiceConfig,
        in_use: &IndicesInUse,
    ) -> (ServiceConfig, IndexMapping) {
        let classes = self.assign_classes(old, in_use);
        let tenants = self.assign_tenants(old, in_use);
        let zones = self.assign_zones(old, in_use);
        let class_names = classes.merge_names(&self.classes, &old.classes);
        let zone_names = zones.merge_names(&self.zones, &old.zones);
        let new = self.settings;
        let old_settings = &old.settings;
        let settings = Settings {
            seed: old_settings.seed,
            zone: zones.index_of_source(new.zone).unwrap_or_default(),
            classes: classes.merge(&new.classes, &old_settings.classes, &UNUSED_CLASS),
            tenants: tenants.merge(&new.tenants, &old_settings.tenants, &UNUSED_TENANT),
            ..new
        };
        let service = ServiceConfig {
            settings,
            classes: class_names,
            zones: zone_names,
            retired_classes: classes.retired_indices(),
            class_indices: classes.reindex(self.class_indices),
            tenant_indices: tenants.reindex(self.tenant_indices),
            zone_indices: zones.reindex(self.zone_indices),
            ..self
        };
        let mapping = IndexMapping {
            classes: classes.origins,
            tenants: tenants.origins,
        };
        (service, mapping)
    }

    fn assign_classes(&self, old: &ServiceConfig, in_use: &IndicesInUse) -> IndexAssignment {
        let new_classes = &self.settings.classes;
        let old_classes = &old.settings.classes;
        let change = NameChange {
            old: &old.class_indices,
            old_len: old.classes.len(),
            new: &self.class_indices,
            in_use: &in_use.classes,
        };
        IndexAssignment::new(&change, |new, old| {
            new_classes[new].idempotency != old_classes[old].idempotency
        })
    }

    fn assign_tenants(&self, old: &ServiceConfig, in_use: &IndicesInUse) -> IndexAssignment {
        let change = NameChange {
            old: &old.tenant_indices,
            old_len: old.settings.tenants.len(),
            new: &self.tenant_indices,
            in_use: &in_use.tenants,
        };
        IndexAssignment::new(&change, |_, _| false)
    }

    fn assign_zones(&self, old: &ServiceConfig, in_use: &IndicesInUse) -> IndexAssignment {
        let change = NameChange {
            old: &old.zone_indices,
            old_len: old.zones.len(),
            new: &self.zone_indices,
            in_use: &in_use.zones,
        };
        IndexAssignment::new(&change, |_, _| false)
    }

    /// Whether these settings, which were renumbered after `old` with this mapping, equal `old`.
    /// Names of classes and tenants are compared by their counts and origins only: comparing the
    /// names of tens of thousands of tenants one by one would delay requests.
    pub fn is_unchanged_from(&self, old: &ServiceConfig, mapping: &IndexMapping) -> bool {
        let classes = [old.class_indices.len(), self.class_indices.len()];
        let tenants = [old.tenant_indices.len(), self.tenant_indices.len()];
        all_names_stay(&mapping.classes, classes)
            && all_names_stay(&mapping.tenants, tenants)
            && self.retired_classes == old.retired_classes
            && self.zone_indices == old.zone_indices
            && self.has_same_connection_settings(old)
            && self.settings == old.settings
    }

    fn has_same_connection_settings(&self, other: &ServiceConfig) -> bool {
        self.connect_timeout == other.connect_timeout
            && self.endpoint_idle_timeout == other.endpoint_idle_timeout
            && self.handshake_price == other.handshake_price
            && self.longest_timeout == other.longest_timeout
    }

    /// Whether some retired class is no longer used by any request in flight, so that renumbering
    /// the settings after themselves frees its index.
    pub fn can_free_indices(&self, in_use: &IndicesInUse) -> bool {
        self.retired_classes
            .iter()
            .any(|class| !in_use.classes.contains(class))
    }

    /// Whether the settings keep any class only for requests in flight.
    pub fn has_retired_indices(&self) -> bool {
        !self.retired_classes.is_empty()
    }
}

/// Whether every name before the reload is also there after it, and none is new: the number of
/// indices that keep their names equals the number of names before and after.
fn all_names_stay(origins: &[IndexOrigin], name_counts: [usize; 2]) -> bool {
    let kept = origins
        .iter()
        .filter(|origin| **origin == IndexOrigin::Same)
        .count();
    name_counts == [kept; 2]
}

/// The names of one kind before and after a reload.
struct NameChange<'a> {
    /// The indices in force, by name.
    old: &'a HashMap<String, usize>,
    /// The number of indices in force, including those of removed names.
    old_len: usize,
    /// The positions in the new settings, by name.
    new: &'a HashMap<String, usize>,
    /// The indices that requests in flight use.
    in_use: &'a BTreeSet<usize>,
}

/// A name that still needs an index: a new name, or one that cannot keep its index.
struct UnassignedName {
    /// The position of the name in the new settings.
    source: usize,
    origin: IndexOrigin,
}

/// The indices of the names of one kind after a reload.
struct IndexAssignment {
    /// The origin of each index.
    origins: Vec<IndexOrigin>,
    /// For each index, the position of its name in the new settings; `None` if they do not have it.
    sources: Vec<Option<usize>>,
}

impl IndexAssignment {
    /// Assigns an index to each name of the new settings. `differs` takes the new position and the
    /// old index of a name, and returns whether the name has other rules than before, so that it
    /// must not share the index with requests in flight.
    fn new(change: &NameChange, differs: impl Fn(usize, usize) -> bool) -> IndexAssignment {
        let mut assignment = IndexAssignment::without_names(change);
        let unassigned = assignment.keep_known_names(change, differs);
        assignment.assign_free_indices(unassigned, change.in_use);
        assignment.truncate();
        assignment
    }

    /// All indices in force, before the names of the new settings are assigned.
    fn without_names(change: &NameChange) -> IndexAssignment {
        let origin = |index: usize| {
            if change.in_use.contains(&index) {
                IndexOrigin::Retired
            } else {
                IndexOrigin::Unused
            }
        };
        IndexAssignment {
            origins: (0..change.old_len).map(origin).collect(),
            sources: vec![None; change.old_len],
        }
    }

    /// Assigns its old index to each known name that can keep it, and returns the other names in
    /// the order of the new settings.
    fn keep_known_names(
        &mut self,
        change: &NameChange,
        differs: impl Fn(usize, usize) -> bool,
    ) -> Vec<UnassignedName> {
        let mut unassigned = Vec::new();
        for (name, source) in change.new {
            let source = *source;
            let Some(old) = change.old.get(name).copied() else {
                let origin = IndexOrigin::New;
                unassigned.push(UnassignedName { source, origin });
                continue;
            };
            if change.in_use.contains(&old) && differs(source, old) {
                let origin = IndexOrigin::MovedFrom(old);
                unassigned.push(UnassignedName { source, origin });
            } else {
                self.origins[old] = IndexOrigin::Same;
                self.sources[old] = Some(source);
            }
        }
        unassigned.sort_by_key(|unassigned| unassigned.source);
        unassigned
    }

    /// Assigns the lowest free indices to these names, in their order.
    fn assign_free_indices(&mut self, unassigned: Vec<UnassignedName>, in_use: &BTreeSet<usize>) {
        let mut free = 0;
        for UnassignedName { source, origin } in unassigned {
            free = self.next_free_index(free, in_use);
            self.origins[free] = origin;
            self.sources[free] = Some(source);
        }
    }

    /// The first free index from `start` on. If there is none, appends one.
    fn next_free_index(&mut self, start: usize, in_use: &BTreeSet<usize>) -> usize {
        let is_unused = |origin: &IndexOrigin| *origin == IndexOrigin::Unused;
        if let Some(offset) = self.origins[start..].iter().position(is_unused) {
            return start + offset;
        }
        // Requests in flight may also use an index after the last name: endpoints whose zone is not
        // in the settings have that index as their zone.
        while in_use.contains(&self.origins.len()) {
            self.origins.push(IndexOrigin::Retired);
        }
        self.origins.push(IndexOrigin::Unused);
        self.sources.resize(self.origins.len(), None);
        self.origins.len() - 1
    }

    /// Removes the unused indices at the end.
    fn truncate(&mut self) {
        let last_used = self
            .origins
            .iter()
            .rposition(|origin| *origin != IndexOrigin::Unused);
        let len = last_used.map_or(0, |index| index + 1);
        self.origins.truncate(len);
        self.sources.truncate(len);
    }

    /// The index of the name at this position in the new settings; `None` if there is no such name.
    fn index_of_source(&self, source: usize) -> Option<usize> {
        self.sources
            .iter()
            .position(|candidate| *candidate == Some(source))
    }

    /// The indices that only requests in flight use.
    fn retired_indices(&self) -> Vec<usize> {
        (0..self.origins.len())
            .filter(|index| self.origins[*index] == IndexOrigin::Retired)
            .collect()
    }

    /// The names by index: the new name, or the old one where the new settings have none.
    fn merge_names(&self, new: &[String], old: &[String]) -> Vec<String> {
        let name = |(index, source): (usize, &Option<usize>)| match source {
            Some(source) => new[*source].clone(),
            None => old.get(index).cloned().unwrap_or_default(),
        };
        self.sources.iter().enumerate().map(name).collect()
    }

    /// The items by index: the new item, the old one where only requests in flight use the index,
    /// and `unused` where the index is not in use.
    fn merge<T: Clone>(&self, new: &[T], old: &[T], unused: &T) -> Vec<T> {
        let item = |(index, source): (usize, &Option<usize>)| match source {
            Some(source) => new[*source].clone(),
            None if self.origins[index] == IndexOrigin::Unused => unused.clone(),
            None => old.get(index).unwrap_or(unused).clone(),
        };
        self.sources.iter().enumerate().map(item).collect()
    }

    /// Replaces the position of each name in the new settings by its index.
    fn reindex(&self, mut positions: HashMap<String, usize>) -> HashMap<String, usize> {
        let len = positions.values().max().map_or(0, |last| last + 1);
        let mut indices = vec![0; len];
        for (index, source) in self.sources.iter().enumerate() {
            if let Some(source) = source {
                indices[*source] = index;
            }
        }
        for position in positions.values_mut() {
            *position = indices[*position];
        }
        positions
    }
}
