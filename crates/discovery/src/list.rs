//! The list of endpoints as discovery last told it.

use crate::clock::Clock;
use crate::listing::{Entry, Listing};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use tulipwall::{EndpointEntry, EndpointState};
use tulipwall_config::{number, ServiceConfig};

const KINDS_MOST: usize = 16;

struct Kept {
    id: String,
    address: SocketAddr,
    zone_name: String,
    zone: usize,
    build: u32,
    standing: EndpointState,
    started_ms: Option<u64>,
    left: u64,    // the version that told that it leaves, while it does
    held: Rc<()>, // by each attempt to it
}

/// Its numbers are given anew once their endpoints are gone and the last attempt to them is over,
/// so that no more is kept than what runs.
#[derive(Default)]
pub struct List {
    numbers: HashMap<String, usize>,
    kept: Vec<Kept>,
    kinds: Vec<String>,
    pub version: u64,
}

/// Where an attempt was decided to go: one build at one address.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Target {
    pub endpoint: usize,
    pub address: SocketAddr,
    pub zone: usize,
    pub build: u32,
}

/// A zone that the settings do not know is nobody's own.
fn zone(site: &ServiceConfig, name: &str) -> usize {
    site.zone(name).unwrap_or(site.zones.len())
}

impl List {
    /// Takes in what discovery told: the entries for the module, and the endpoints whose
    /// connections are of no more use. Of a spoilt list what can be read is obeyed; its version is
    /// not, so that all of it is told again.
    pub fn take(
        &mut self,
        told: Listing,
        site: &ServiceConfig,
        clock: &Clock,
    ) -> (Vec<EndpointEntry>, Vec<usize>) {
        if told.spoilt.is_none() {
            self.version = told.version;
        }
        let (mut listed, mut stale, mut named) = (Vec::new(), Vec::new(), BTreeSet::new());
        for e in told.entries {
            let zone = zone(site, &e.zone);
            let Some(endpoint) = self.number_for(&e, zone) else {
                continue;
            };
            named.insert(endpoint);
            let kept = &mut self.kept[endpoint];
            let same = (kept.address, kept.zone, kept.build) == (e.address, zone, e.build);
            // Guards against older lists, as another discovery may hold: who was told to leave goes
            // on leaving until a newer list, or another life of the endpoint, says otherwise.
            let older = told.version < kept.left && same && e.started_ms <= kept.started_ms;
            let standing = match (e.standing, kept.standing) {
                (EndpointState::Running, was @ (EndpointState::Draining | EndpointState::Gone))
                    if older =>
                {
                    was
                }
                (standing, _) => standing,
            };
            if !same || standing != EndpointState::Running {
                stale.push(endpoint);
            }
            kept.left = match standing {
                EndpointState::Running => 0,
                _ => kept.left.max(told.version),
            };
            (kept.address, kept.zone, kept.build) = (e.address, zone, e.build);
            (kept.standing, kept.started_ms, kept.zone_name) = (standing, e.started_ms, e.zone);
            listed.push(EndpointEntry {
                endpoint,
                zone,
                cell: e.cell,
                identity: number(&e.id),
                endpoint_type: self.kind(&e.kind),
                build: e.build,
                state: standing,
                started: e.started_ms.and_then(|ms| clock.of_wall(ms)),
            });
        }
        // What its entry says cannot be read: nothing goes there until it can be.
        for endpoint in told
            .doubtful
            .iter()
            .filter_map(|id| self.numbers.get(id).copied())
        {
            let kept = &mut self.kept[endpoint];
            named.insert(endpoint);
            stale.push(endpoint);
            if kept.standing == EndpointState::Running {
                (kept.standing, kept.left) = (EndpointState::Draining, told.version);
            }
            let (zone, build, standing) = (kept.zone, kept.build, kept.standing);
            let mark = number(&kept.id);
            listed.push(EndpointEntry {
                endpoint,
                zone,
                cell: 0,
                identity: mark,
                endpoint_type: 0,
                build,
                state: standing,
                started: None,
            });
        }
        if told.complete {
            let lacking = (0..self.kept.len()).filter(|i| !named.contains(i));
            for i in lacking {
                let kept = &mut self.kept[i];
                (kept.standing, kept.left) = (EndpointState::Gone, kept.left.max(told.version));
                stale.push(i);
            }
        }
        (listed, stale)
    }

    /// Zones are numbered anew: the endpoints whose zone has another number, with that.
    pub fn rezone(&mut self, site: &ServiceConfig) -> Vec<(usize, usize)> {
        let mut moved = Vec::new();
        for (endpoint, kept) in self.kept.iter_mut().enumerate() {
            let now = zone(site, &kept.zone_name);
            if std::mem::replace(&mut kept.zone, now) != now {
                moved.push((endpoint, now));
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
        if e.standing == EndpointState::Gone {
            return None;
        }
        let free = |k: &Kept| k.standing == EndpointState::Gone && Rc::strong_count(&k.held) == 1;
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
            .filter(|k| k.standing != EndpointState::Gone)
            .map(|k| k.build)
            .collect()
    }

    /// How many endpoints are kept.
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// Keeps this number with its endpoint for as long as the result lives.
    pub fn hold(&self, endpoint: usize) -> Option<Rc<()>> {
        self.kept.get(endpoint).map(|k| k.held.clone())
    }

    /// Something to serve from is known.
    pub fn serves(&self) -> bool {
        self.kept
            .iter()
            .any(|k| k.standing == EndpointState::Running)
    }

    pub fn number(&self, id: &str) -> Option<usize> {
        self.numbers.get(id).copied()
    }

    pub fn name(&self, endpoint: usize) -> &str {
        &self.kept[endpoint].id
    }

    pub fn targets(&self) -> Vec<Target> {
        (0..self.kept.len())
            .filter_map(|i| self.target(i))
            .collect()
    }

    /// Where to reach it now, while it runs.
    pub fn target(&self, endpoint: usize) -> Option<Target> {
        let k = self
            .kept
            .get(endpoint)
            .filter(|k| k.standing == EndpointState::Running)?;
        Some(Target {
            endpoint,
            address: k.address,
            zone: k.zone,
            build: k.build,
        })
    }
}
