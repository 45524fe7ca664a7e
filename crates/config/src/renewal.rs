//! Settings that were read anew, numbered after those in force. A name that is known keeps its
//! number, so that requests in hand, evidence and lists go on; a number is given anew once nothing
//! in hand can count in it, so that no change lets anything grow.

use crate::ServiceConfig;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;
use tulipwall::{Idempotency, IndexMapping, IndexOrigin, IndicesInUse, RequestClass, Tenant};

impl ServiceConfig {
    /// These settings in the numbers of `old`, and whose each number is now. A class whose rules of
    /// repeats are others gets another number while requests in hand end by the earlier ones. The
    /// seed stays that of `old`.
    pub fn renumbered_after(
        self,
        old: &ServiceConfig,
        indices_in_use: &IndicesInUse,
    ) -> (ServiceConfig, IndexMapping) {
        let (new, before) = (&self.settings, &old.settings);
        let other =
            |n: usize, was: usize| new.classes[n].idempotency != before.classes[was].idempotency;
        let classes = Numbers::of(
            &old.class_indices,
            old.classes.len(),
            &self.class_indices,
            other,
            &indices_in_use.classes,
        );
        let alike = |_, _| false;
        let count = before.tenants.len();
        let tenants = Numbers::of(
            &old.tenant_indices,
            count,
            &self.tenant_indices,
            alike,
            &indices_in_use.tenants,
        );
        let zones = Numbers::of(
            &old.zone_indices,
            old.zones.len(),
            &self.zone_indices,
            alike,
            &indices_in_use.zones,
        );
        // Nobody's class: it takes part in nothing.
        let nobodys = RequestClass {
            latency_objective: Duration::from_secs(1),
            priority_weight: 0.0,
            idempotency: Idempotency::NonIdempotent,
        };
        let site = ServiceConfig {
            classes: classes.list(
                |n| self.classes[n].clone(),
                |was| old.classes.get(was).cloned().unwrap_or_default(),
            ),
            zones: zones.list(
                |n| self.zones[n].clone(),
                |was| old.zones.get(was).cloned().unwrap_or_default(),
            ),
            retired_classes: classes.numbered(|o| o == IndexOrigin::Retired),
            class_indices: classes.names(self.class_indices),
            tenant_indices: tenants.names(self.tenant_indices),
            zone_indices: zones.names(self.zone_indices),
            settings: tulipwall::Settings {
                seed: before.seed,
                zone: zones
                    .places
                    .iter()
                    .position(|p| *p == Some(new.zone))
                    .unwrap_or_default(),
                classes: classes.kept(&new.classes, &before.classes, &nobodys),
                tenants: tenants.kept(&new.tenants, &before.tenants, &Tenant { share: 1.0 }),
                ..self.settings
            },
            ..self
        };
        (
            site,
            IndexMapping {
                classes: classes.origins,
                tenants: tenants.origins,
            },
        )
    }

    /// Whether these settings, numbered as `by` says, are those of `old`: by numbers and figures,
    /// since comparing as many names as there are tenants would hold up requests.
    pub fn is(&self, old: &ServiceConfig, by: &IndexMapping) -> bool {
        let goes_on = |of: &[IndexOrigin], names: [usize; 2]| {
            let same = of.iter().filter(|o| **o == IndexOrigin::Same).count();
            names == [same; 2]
        };
        let figures = |s: &ServiceConfig| {
            (
                s.connect_timeout,
                s.max_idle,
                s.handshake_price,
                s.longest_timeout,
            )
        };
        goes_on(
            &by.classes,
            [old.class_indices.len(), self.class_indices.len()],
        ) && goes_on(
            &by.tenants,
            [old.tenant_indices.len(), self.tenant_indices.len()],
        ) && (&self.retired_classes, &self.zone_indices, figures(self))
            == (&old.retired_classes, &old.zone_indices, figures(old))
            && self.settings == old.settings
    }

    /// Whether requests in hand are all that keeps a class, and these are over: then the settings
    /// in force can be numbered after themselves.
    pub fn covers(&self, indices_in_use: &IndicesInUse) -> bool {
        self.retired_classes
            .iter()
            .any(|n| !indices_in_use.classes.contains(n))
    }

    /// Whether only requests in hand keep a class.
    pub fn has_retired_indices(&self) -> bool {
        !self.retired_classes.is_empty()
    }
}

/// Whose the numbers of one kind are.
struct Numbers {
    origins: Vec<IndexOrigin>,
    places: Vec<Option<usize>>, // in the settings that were read, by number
}

impl Numbers {
    fn of(
        old: &HashMap<String, usize>,
        count: usize,
        new: &HashMap<String, usize>,
        other: impl Fn(usize, usize) -> bool,
        indices_in_use: &BTreeSet<usize>,
    ) -> Numbers {
        let vacant = |n: usize| {
            if indices_in_use.contains(&n) {
                IndexOrigin::Retired
            } else {
                IndexOrigin::Unused
            }
        };
        let mut origins: Vec<IndexOrigin> = (0..count).map(vacant).collect();
        let mut places = vec![None; count];
        let mut waiting = Vec::new();
        for (name, n) in new {
            match old.get(name) {
                Some(was) if other(*n, *was) && indices_in_use.contains(was) => {
                    waiting.push((*n, IndexOrigin::MovedFrom(*was)))
                }
                Some(was) => (origins[*was], places[*was]) = (IndexOrigin::Same, Some(*n)),
                None => waiting.push((*n, IndexOrigin::New)),
            }
        }
        // In the settings' own order, whatever that of the names is here.
        waiting.sort_by_key(|w| w.0);
        let mut free = 0;
        for (n, origin) in waiting {
            while origins.get(free).is_some_and(|o| *o != IndexOrigin::Unused) {
                free += 1;
            }
            if free == origins.len() {
                // One that stands behind all names so far, as that of zones without one, may be in
                // hand, too.
                while indices_in_use.contains(&origins.len()) {
                    origins.push(IndexOrigin::Retired);
                }
                origins.push(IndexOrigin::Unused);
                places.resize(origins.len(), None);
                free = origins.len() - 1;
            }
            (origins[free], places[free]) = (origin, Some(n));
        }
        let last = origins
            .iter()
            .rposition(|o| *o != IndexOrigin::Unused)
            .map_or(0, |n| n + 1);
        origins.truncate(last);
        places.truncate(last);
        Numbers { origins, places }
    }

    /// By number: what was read, or what was kept so far.
    fn list<T>(&self, read: impl Fn(usize) -> T, was: impl Fn(usize) -> T) -> Vec<T> {
        self.places
            .iter()
            .enumerate()
            .map(|(n, place)| place.map_or_else(|| was(n), &read))
            .collect()
    }

    /// The same, with `nobodys` under free numbers.
    fn kept<T: Clone>(&self, read: &[T], was: &[T], nobodys: &T) -> Vec<T> {
        let held = |n: usize| {
            was.get(n)
                .filter(|_| self.origins[n] != IndexOrigin::Unused)
        };
        let kept = |n: usize| held(n).unwrap_or(nobodys).clone();
        self.list(|n| read[n].clone(), kept)
    }

    fn numbered(&self, of: impl Fn(IndexOrigin) -> bool) -> Vec<usize> {
        (0..self.origins.len())
            .filter(|n| of(self.origins[*n]))
            .collect()
    }

    /// The names with their numbers.
    fn names(&self, mut read: HashMap<String, usize>) -> HashMap<String, usize> {
        let places = read.values().max().map_or(0, |n| n + 1);
        let mut numbers = vec![0; places];
        for (number, place) in self.places.iter().enumerate() {
            place
                .and_then(|p| numbers.get_mut(p))
                .into_iter()
                .for_each(|n| *n = number);
        }
        read.values_mut().for_each(|n| *n = numbers[*n]);
        read
    }
}
