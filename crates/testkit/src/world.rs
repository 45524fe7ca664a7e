//! Zones with appliances, discovery and a platform, put together.

use crate::appliance::{Appliance, Counted, Link, Seen, Ways};
use crate::discovery::Discovery;
use crate::ground::locked;
use crate::platform::{News, Platform};
use crate::program::{configuration, settings, Lane};
use crate::registry::Entry;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

pub struct World {
    pub zones: Vec<String>,
    pub lanes: Vec<Lane>,
    pub discovery: Discovery,
    pub platform: Platform,
    appliances: Mutex<BTreeMap<String, (usize, std::sync::Arc<Appliance>)>>,
    pub agents: u32,
}

impl World {
    /// Zones without appliances, build 41 released.
    pub fn new(zones: &[&str], lanes: Vec<Lane>) -> io::Result<World> {
        Ok(World {
            zones: zones.iter().map(|z| (*z).to_owned()).collect(),
            lanes,
            discovery: Discovery::start(zones.len())?,
            platform: Platform::start(News::now(41, 0, "released", 1.0))?,
            appliances: Mutex::default(),
            agents: 1,
        })
    }

    fn appliances(
        &self,
    ) -> std::sync::MutexGuard<'_, BTreeMap<String, (usize, std::sync::Arc<Appliance>)>> {
        locked(&self.appliances)
    }

    /// Starts an appliance in a zone, not yet listed. Its entry goes to [`Discovery::tell`].
    pub fn unlisted(&self, zone: usize, id: &str, build: u32, ways: Ways) -> io::Result<Entry> {
        let seed = id
            .bytes()
            .fold(7u64, |h, b| h.wrapping_mul(31).wrapping_add(u64::from(b)));
        let appliance = Appliance::start(self.zones.len(), ways, seed)?;
        let addresses = (0..self.zones.len())
            .map(|from| appliance.address(from))
            .collect();
        self.appliances()
            .insert(id.to_owned(), (zone, appliance.into()));
        Ok(Entry {
            id: id.to_owned(),
            addresses,
            zone: self.zones[zone].clone(),
            cell: 0,
            state: "in_service".into(),
            started_ms: 0,
            build,
        })
    }

    /// Starts one and lists it as long up.
    pub fn appliance(&self, zone: usize, id: &str, build: u32, ways: Ways) -> io::Result<()> {
        let entry = self.unlisted(zone, id, build, ways)?;
        self.discovery.tell([entry]);
        Ok(())
    }

    /// Starts one and lists it as started now.
    pub fn cold(&self, zone: usize, id: &str, build: u32, ways: Ways) -> io::Result<()> {
        let mut entry = self.unlisted(zone, id, build, ways)?;
        entry.started_ms = unix_ms();
        self.discovery.tell([entry]);
        Ok(())
    }

    pub fn get(&self, id: &str) -> Option<std::sync::Arc<Appliance>> {
        self.appliances().get(id).map(|(_, a)| a.clone())
    }

    /// Those of one zone, by id.
    pub fn of_zone(&self, zone: usize) -> Vec<(String, std::sync::Arc<Appliance>)> {
        let all = self.appliances();
        all.iter()
            .filter(|(_, (z, _))| *z == zone)
            .map(|(id, (_, a))| (id.clone(), a.clone()))
            .collect()
    }

    /// Lists all of a zone as this: `in_service`, `terminating` or `terminated`.
    pub fn state(&self, zone: usize, state: &str) {
        let name = &self.zones[zone];
        let entries = self
            .discovery
            .entries()
            .into_iter()
            .filter(|e| e.zone == *name);
        self.discovery.tell(entries.map(|e| Entry {
            state: state.to_owned(),
            ..e
        }));
    }

    /// Sets the way from one zone to all appliances of another.
    pub fn link(&self, from: usize, to: usize, link: Link) {
        self.of_zone(to)
            .iter()
            .for_each(|(_, a)| a.link(from, link));
    }

    /// The configuration of an agent in this zone.
    pub fn configuration(&self, name: &str, zone: usize) -> io::Result<Value> {
        let zones: Vec<&str> = self.zones.iter().map(String::as_str).collect();
        let settings = settings(&zones, zones[zone], self.agents, &self.lanes);
        let (known, news) = (self.discovery.known(zone), self.platform.newest().value());
        configuration(
            name,
            self.discovery.address(zone),
            self.platform.address,
            news,
            known,
            settings,
        )
    }

    /// What appliances of a zone have counted for callers of another, by lane.
    pub fn counted(&self, from: usize, to: usize) -> BTreeMap<String, Counted> {
        let mut sum: BTreeMap<String, Counted> = BTreeMap::new();
        for (_, a) in self.of_zone(to) {
            for ((f, lane), c) in a.counted() {
                if f == from {
                    let kept = sum.entry(lane).or_default();
                    kept.deliveries += c.deliveries;
                    kept.read += c.read;
                    kept.written += c.written;
                }
            }
        }
        sum
    }

    /// All deliveries that came anywhere, by id of their command.
    pub fn seen(&self) -> BTreeMap<String, Vec<Seen>> {
        let all: Vec<_> = self.appliances().values().map(|(_, a)| a.clone()).collect();
        let mut seen: BTreeMap<String, Vec<Seen>> = BTreeMap::new();
        for s in all.iter().flat_map(|a| a.seen()) {
            seen.entry(s.id.clone()).or_default().push(s);
        }
        seen
    }

    /// Commands of a lane that may have run more than once.
    pub fn ran_twice(&self, lane: &str) -> Vec<String> {
        let twice = |s: &Vec<Seen>| s.iter().filter(|s| s.ran && s.lane == lane).count() > 1;
        self.seen()
            .into_iter()
            .filter(|(_, s)| twice(s))
            .map(|(id, _)| id)
            .collect()
    }
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}
