//! Zones with endpoints, discovery and a platform, put together.

use crate::agent_process::{configuration, settings, RequestClass};
use crate::discovery::Discovery;
use crate::endpoint::{Endpoint, EndpointBehavior, Link, ReceivedQuery, TransferCounts};
use crate::platform::{Platform, RolloutStatus};
use crate::registry::Entry;
use crate::runtime::lock_unpoisoned;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

pub struct TestCluster {
    pub zones: Vec<String>,
    pub classes: Vec<RequestClass>,
    pub discovery: Discovery,
    pub platform: Platform,
    endpoints: Mutex<BTreeMap<String, (usize, std::sync::Arc<Endpoint>)>>,
    pub agents: u32,
}

impl TestCluster {
    /// Zones without endpoints, build 41 released.
    pub fn new(zones: &[&str], classes: Vec<RequestClass>) -> io::Result<TestCluster> {
        Ok(TestCluster {
            zones: zones.iter().map(|z| (*z).to_owned()).collect(),
            classes,
            discovery: Discovery::start(zones.len())?,
            platform: Platform::start(RolloutStatus::now(41, 0, "released", 1.0))?,
            endpoints: Mutex::default(),
            agents: 1,
        })
    }

    fn endpoints(
        &self,
    ) -> std::sync::MutexGuard<'_, BTreeMap<String, (usize, std::sync::Arc<Endpoint>)>> {
        lock_unpoisoned(&self.endpoints)
    }

    /// Starts an endpoint in a zone, not yet listed. Its entry goes to [`Discovery::tell`].
    pub fn start_unlisted(
        &self,
        zone: usize,
        id: &str,
        build: u32,
        ways: EndpointBehavior,
    ) -> io::Result<Entry> {
        let seed = id
            .bytes()
            .fold(7u64, |h, b| h.wrapping_mul(31).wrapping_add(u64::from(b)));
        let endpoint = Endpoint::start(self.zones.len(), ways, seed)?;
        let addresses = (0..self.zones.len())
            .map(|from| endpoint.address(from))
            .collect();
        self.endpoints()
            .insert(id.to_owned(), (zone, endpoint.into()));
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
    pub fn add_endpoint(
        &self,
        zone: usize,
        id: &str,
        build: u32,
        ways: EndpointBehavior,
    ) -> io::Result<()> {
        let entry = self.start_unlisted(zone, id, build, ways)?;
        self.discovery.update([entry]);
        Ok(())
    }

    /// Starts one and lists it as started now.
    pub fn add_cold_endpoint(
        &self,
        zone: usize,
        id: &str,
        build: u32,
        ways: EndpointBehavior,
    ) -> io::Result<()> {
        let mut entry = self.start_unlisted(zone, id, build, ways)?;
        entry.started_ms = unix_ms();
        self.discovery.update([entry]);
        Ok(())
    }

    pub fn endpoint(&self, id: &str) -> Option<std::sync::Arc<Endpoint>> {
        self.endpoints().get(id).map(|(_, a)| a.clone())
    }

    /// Those of one zone, by id.
    pub fn endpoints_in_zone(&self, zone: usize) -> Vec<(String, std::sync::Arc<Endpoint>)> {
        let all = self.endpoints();
        all.iter()
            .filter(|(_, (z, _))| *z == zone)
            .map(|(id, (_, a))| (id.clone(), a.clone()))
            .collect()
    }

    /// Lists all of a zone as this: `in_service`, `terminating` or `terminated`.
    pub fn set_zone_state(&self, zone: usize, state: &str) {
        let name = &self.zones[zone];
        let entries = self
            .discovery
            .entries()
            .into_iter()
            .filter(|e| e.zone == *name);
        self.discovery.update(entries.map(|e| Entry {
            state: state.to_owned(),
            ..e
        }));
    }

    /// Sets the way from one zone to all endpoints of another.
    pub fn set_link(&self, from: usize, to: usize, link: Link) {
        self.endpoints_in_zone(to)
            .iter()
            .for_each(|(_, a)| a.set_link(from, link));
    }

    /// The configuration of an agent in this zone.
    pub fn configuration(&self, name: &str, zone: usize) -> io::Result<Value> {
        let zones: Vec<&str> = self.zones.iter().map(String::as_str).collect();
        let settings = settings(&zones, zones[zone], self.agents, &self.classes);
        let (known, rollout_status) = (
            self.discovery.full_list(zone),
            self.platform.current_rollout().value(),
        );
        configuration(
            name,
            self.discovery.address(zone),
            self.platform.address,
            rollout_status,
            known,
            settings,
        )
    }

    /// What endpoints of a zone have counted for callers of another, by class.
    pub fn transfer_counts(&self, from: usize, to: usize) -> BTreeMap<String, TransferCounts> {
        let mut sum: BTreeMap<String, TransferCounts> = BTreeMap::new();
        for (_, a) in self.endpoints_in_zone(to) {
            for ((f, class), c) in a.transfer_counts() {
                if f == from {
                    let kept = sum.entry(class).or_default();
                    kept.attempts += c.attempts;
                    kept.read += c.read;
                    kept.written += c.written;
                }
            }
        }
        sum
    }

    /// All attempts that came anywhere, by id of their request.
    pub fn received_queries(&self) -> BTreeMap<String, Vec<ReceivedQuery>> {
        let all: Vec<_> = self.endpoints().values().map(|(_, a)| a.clone()).collect();
        let mut seen: BTreeMap<String, Vec<ReceivedQuery>> = BTreeMap::new();
        for s in all.iter().flat_map(|a| a.received_queries()) {
            seen.entry(s.id.clone()).or_default().push(s);
        }
        seen
    }

    /// Requests of a class that may have run more than once.
    pub fn executed_twice(&self, class: &str) -> Vec<String> {
        let twice =
            |s: &Vec<ReceivedQuery>| s.iter().filter(|s| s.ran && s.class == class).count() > 1;
        self.received_queries()
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
