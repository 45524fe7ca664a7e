//! Settings that were read anew, numbered after those in force. A name that is known keeps its number, so that commands
//! in hand, evidence and lists go on; a number is given anew once nothing in hand can count in it, so that no change
//! lets anything grow.

use crate::Site;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;
use tulipwall::{Customer, InHand, Lane, Numbering, Origin, Repeats};

impl Site {
    /// These settings in the numbers of `old`, and whose each number is now. A lane whose rules of repeats are others
    /// gets another number while commands in hand end by the earlier ones. The seed stays that of `old`.
    pub fn after(self, old: &Site, in_hand: &InHand) -> (Site, Numbering) {
        let (new, before) = (&self.deployment, &old.deployment);
        let other = |n: usize, was: usize| new.lanes[n].repeats != before.lanes[was].repeats;
        let lanes = Numbers::of(
            &old.lane_numbers,
            old.lanes.len(),
            &self.lane_numbers,
            other,
            &in_hand.lanes,
        );
        let alike = |_, _| false;
        let count = before.customers.len();
        let customers = Numbers::of(
            &old.customer_numbers,
            count,
            &self.customer_numbers,
            alike,
            &in_hand.customers,
        );
        let zones = Numbers::of(
            &old.zone_numbers,
            old.zones.len(),
            &self.zone_numbers,
            alike,
            &in_hand.zones,
        );
        // Nobody's lane: it takes part in nothing.
        let nobodys = Lane {
            quoted: Duration::from_secs(1),
            benefit: 0.0,
            repeats: Repeats::Unrepeatable,
        };
        let site = Site {
            lanes: lanes.list(
                |n| self.lanes[n].clone(),
                |was| old.lanes.get(was).cloned().unwrap_or_default(),
            ),
            zones: zones.list(
                |n| self.zones[n].clone(),
                |was| old.zones.get(was).cloned().unwrap_or_default(),
            ),
            over: lanes.numbered(|o| o == Origin::Over),
            lane_numbers: lanes.names(self.lane_numbers),
            customer_numbers: customers.names(self.customer_numbers),
            zone_numbers: zones.names(self.zone_numbers),
            deployment: tulipwall::Deployment {
                seed: before.seed,
                zone: zones
                    .places
                    .iter()
                    .position(|p| *p == Some(new.zone))
                    .unwrap_or_default(),
                lanes: lanes.kept(&new.lanes, &before.lanes, &nobodys),
                customers: customers.kept(
                    &new.customers,
                    &before.customers,
                    &Customer { share: 1.0 },
                ),
                ..self.deployment
            },
            ..self
        };
        (
            site,
            Numbering {
                lanes: lanes.origins,
                customers: customers.origins,
            },
        )
    }

    /// Whether these settings, numbered as `by` says, are those of `old`: by numbers and figures, since comparing as many
    /// names as there are tenants would hold up commands.
    pub fn is(&self, old: &Site, by: &Numbering) -> bool {
        let goes_on = |of: &[Origin], names: [usize; 2]| {
            let same = of.iter().filter(|o| **o == Origin::Same).count();
            names == [same; 2]
        };
        let figures = |s: &Site| {
            (
                s.connect_within,
                s.idle_most,
                s.handshake_price,
                s.longest_expiry,
            )
        };
        goes_on(&by.lanes, [old.lane_numbers.len(), self.lane_numbers.len()])
            && goes_on(
                &by.customers,
                [old.customer_numbers.len(), self.customer_numbers.len()],
            )
            && (&self.over, &self.zone_numbers, figures(self))
                == (&old.over, &old.zone_numbers, figures(old))
            && self.deployment == old.deployment
    }

    /// Whether commands in hand are all that keeps a lane, and these are over: then the settings in force can be
    /// numbered after themselves.
    pub fn outlives(&self, in_hand: &InHand) -> bool {
        self.over.iter().any(|n| !in_hand.lanes.contains(n))
    }

    /// Whether only commands in hand keep a lane.
    pub fn lingers(&self) -> bool {
        !self.over.is_empty()
    }
}

/// Whose the numbers of one kind are.
struct Numbers {
    origins: Vec<Origin>,
    places: Vec<Option<usize>>, // in the settings that were read, by number
}

impl Numbers {
    fn of(
        old: &HashMap<String, usize>,
        count: usize,
        new: &HashMap<String, usize>,
        other: impl Fn(usize, usize) -> bool,
        in_hand: &BTreeSet<usize>,
    ) -> Numbers {
        let vacant = |n: usize| {
            if in_hand.contains(&n) {
                Origin::Over
            } else {
                Origin::Free
            }
        };
        let mut origins: Vec<Origin> = (0..count).map(vacant).collect();
        let mut places = vec![None; count];
        let mut waiting = Vec::new();
        for (name, n) in new {
            match old.get(name) {
                Some(was) if other(*n, *was) && in_hand.contains(was) => {
                    waiting.push((*n, Origin::Was(*was)))
                }
                Some(was) => (origins[*was], places[*was]) = (Origin::Same, Some(*n)),
                None => waiting.push((*n, Origin::New)),
            }
        }
        // In the settings' own order, whatever that of the names is here.
        waiting.sort_by_key(|w| w.0);
        let mut free = 0;
        for (n, origin) in waiting {
            while origins.get(free).is_some_and(|o| *o != Origin::Free) {
                free += 1;
            }
            if free == origins.len() {
                // One that stands behind all names so far, as that of zones without one, may be in hand, too.
                while in_hand.contains(&origins.len()) {
                    origins.push(Origin::Over);
                }
                origins.push(Origin::Free);
                places.resize(origins.len(), None);
                free = origins.len() - 1;
            }
            (origins[free], places[free]) = (origin, Some(n));
        }
        let last = origins
            .iter()
            .rposition(|o| *o != Origin::Free)
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
        let held = |n: usize| was.get(n).filter(|_| self.origins[n] != Origin::Free);
        let kept = |n: usize| held(n).unwrap_or(nobodys).clone();
        self.list(|n| read[n].clone(), kept)
    }

    fn numbered(&self, of: impl Fn(Origin) -> bool) -> Vec<usize> {
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
