//! The list of appliances as discovery last told it.

use crate::clock::Clock;
use crate::listing::{Entry, Listing};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use tulipwall::{Listed, Standing};
use tulipwall_config::{number, Site};

const KINDS_MOST: usize = 16;

struct Kept {
    id: String,
    address: SocketAddr,
    zone_name: String,
    zone: usize,
    build: u32,
    standing: Standing,
    started_ms: Option<u64>,
    left: u64,    // the version that told that it leaves, while it does
    held: Rc<()>, // by each delivery to it
}

/// Its numbers are given anew once their appliances are gone and the last delivery to them is over, so that
/// no more is kept than what runs.
#[derive(Default)]
pub struct List {
    numbers: HashMap<String, usize>,
    kept: Vec<Kept>,
    kinds: Vec<String>,
    pub version: u64,
}

/// Where a delivery was decided to go: one build at one address.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Target {
    pub appliance: usize,
    pub address: SocketAddr,
    pub zone: usize,
    pub build: u32,
}

/// A zone that the settings do not know is nobody's own.
fn zone(site: &Site, name: &str) -> usize {
    site.zone(name).unwrap_or(site.zones.len())
}

impl List {
    /// Takes in what discovery told: the entries for the module, and the appliances whose connections are
    /// of no more use. Of a spoilt list what can be read is obeyed; its version is not, so that all of it is told
    /// again.
    pub fn take(&mut self, told: Listing, site: &Site, clock: &Clock) -> (Vec<Listed>, Vec<usize>) {
        if told.spoilt.is_none() {
            self.version = told.version;
        }
        let (mut listed, mut stale, mut named) = (Vec::new(), Vec::new(), BTreeSet::new());
        for e in told.entries {
            let zone = zone(site, &e.zone);
            let Some(appliance) = self.number_for(&e, zone) else {
                continue;
            };
            named.insert(appliance);
            let kept = &mut self.kept[appliance];
            let same = (kept.address, kept.zone, kept.build) == (e.address, zone, e.build);
            // Guards against older lists, as another discovery may hold: who was told to leave goes on leaving
            // until a newer list, or another life of the appliance, says otherwise.
            let older = told.version < kept.left && same && e.started_ms <= kept.started_ms;
            let standing = match (e.standing, kept.standing) {
                (Standing::Running, was @ (Standing::Draining | Standing::Gone)) if older => was,
                (standing, _) => standing,
            };
            if !same || standing != Standing::Running {
                stale.push(appliance);
            }
            kept.left = match standing {
                Standing::Running => 0,
                _ => kept.left.max(told.version),
            };
            (kept.address, kept.zone, kept.build) = (e.address, zone, e.build);
            (kept.standing, kept.started_ms, kept.zone_name) = (standing, e.started_ms, e.zone);
            listed.push(Listed {
                appliance,
                zone,
                cell: e.cell,
                mark: number(&e.id),
                kind: self.kind(&e.kind),
                build: e.build,
                standing,
                started: e.started_ms.and_then(|ms| clock.of_wall(ms)),
            });
        }
        // What its entry says cannot be read: nothing goes there until it can be.
        for appliance in told
            .doubtful
            .iter()
            .filter_map(|id| self.numbers.get(id).copied())
        {
            let kept = &mut self.kept[appliance];
            named.insert(appliance);
            stale.push(appliance);
            if kept.standing == Standing::Running {
                (kept.standing, kept.left) = (Standing::Draining, told.version);
            }
            let (zone, build, standing) = (kept.zone, kept.build, kept.standing);
            let mark = number(&kept.id);
            listed.push(Listed {
                appliance,
                zone,
                cell: 0,
                mark,
                kind: 0,
                build,
                standing,
                started: None,
            });
        }
        if told.complete {
            let lacking = (0..self.kept.len()).filter(|i| !named.contains(i));
            for i in lacking {
                let kept = &mut self.kept[i];
                (kept.standing, kept.left) = (Standing::Gone, kept.left.max(told.version));
                stale.push(i);
            }
        }
        (listed, stale)
    }

    /// Zones are numbered anew: the appliances whose zone has another number, with that.
    pub fn rezone(&mut self, site: &Site) -> Vec<(usize, usize)> {
        let mut moved = Vec::new();
        for (appliance, kept) in self.kept.iter_mut().enumerate() {
            let now = zone(site, &kept.zone_name);
            if std::mem::replace(&mut kept.zone, now) != now {
                moved.push((appliance, now));
            }
        }
        moved
    }

    /// The number of this kind of machine; beyond so many, kinds are not told apart.
    fn kind(&mut self, name: &str) -> usize {
        let known = self.kinds.iter().position(|k| k == name);
        known.unwrap_or_else(|| {
            if self.kinds.len() < KINDS_MOST {
                self.kinds.push(name.to_owned());
            }
            self.kinds.len() - 1
        })
    }

    /// The number that it has or gets now; none for what went without being known.
    fn number_for(&mut self, e: &Entry, zone: usize) -> Option<usize> {
        if let Some(known) = self.numbers.get(&e.id) {
            return Some(*known);
        }
        if e.standing == Standing::Gone {
            return None;
        }
        let free = |k: &Kept| k.standing == Standing::Gone && Rc::strong_count(&k.held) == 1;
        let number = self.kept.iter().position(free).unwrap_or(self.kept.len());
        let (id, address, build, standing) = (e.id.clone(), e.address, e.build, e.standing);
        let started_ms = e.started_ms;
        let zone_name = e.zone.clone();
        let kept = Kept {
            id,
            address,
            zone_name,
            zone,
            build,
            standing,
            started_ms,
            left: 0,
            held: Rc::default(),
        };
        match self.kept.get_mut(number) {
            Some(old) => drop(self.numbers.remove(&std::mem::replace(old, kept).id)),
            None => self.kept.push(kept),
        }
        self.numbers.insert(e.id.clone(), number);
        Some(number)
    }

    /// The builds of all that is not gone.
    pub fn builds(&self) -> BTreeSet<u32> {
        self.kept
            .iter()
            .filter(|k| k.standing != Standing::Gone)
            .map(|k| k.build)
            .collect()
    }

    /// How many appliances are kept.
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// Keeps this number with its appliance for as long as the result lives.
    pub fn hold(&self, appliance: usize) -> Option<Rc<()>> {
        self.kept.get(appliance).map(|k| k.held.clone())
    }

    /// Something to serve from is known.
    pub fn serves(&self) -> bool {
        self.kept.iter().any(|k| k.standing == Standing::Running)
    }

    pub fn number(&self, id: &str) -> Option<usize> {
        self.numbers.get(id).copied()
    }

    pub fn name(&self, appliance: usize) -> &str {
        &self.kept[appliance].id
    }

    pub fn targets(&self) -> Vec<Target> {
        (0..self.kept.len())
            .filter_map(|i| self.target(i))
            .collect()
    }

    /// Where to reach it now, while it runs.
    pub fn target(&self, appliance: usize) -> Option<Target> {
        let k = self
            .kept
            .get(appliance)
            .filter(|k| k.standing == Standing::Running)?;
        Some(Target {
            appliance,
            address: k.address,
            zone: k.zone,
            build: k.build,
        })
    }
}
