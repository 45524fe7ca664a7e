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
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{SystemTime, UNIX_EPOCH};

/// Zones with endpoints, and what an agent needs to reach them.
pub struct TestCluster {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// The request classes of its settings.
    pub classes: Vec<RequestClass>,
    /// Lists the endpoints.
    pub discovery: Discovery,
    /// Knows the newest build.
    pub platform: Platform,
    /// How many agents its settings name.
    pub agents: u32,
    endpoints: Mutex<EndpointsById>,
}

type EndpointsById = BTreeMap<String, ClusterEndpoint>;

struct ClusterEndpoint {
    zone: usize,
    endpoint: Arc<Endpoint>,
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

    fn endpoints(&self) -> MutexGuard<'_, EndpointsById> {
        lock_unpoisoned(&self.endpoints)
    }

    /// Starts an endpoint in a zone, not yet listed. Its entry goes to [`Discovery::update`].
    pub fn start_unlisted(
        &self,
        zone: usize,
        id: &str,
        build: u32,
        behavior: EndpointBehavior,
    ) -> io::Result<Entry> {
        let endpoint = Endpoint::start(self.zones.len(), behavior, seed_of(id))?;
        let addresses = (0..self.zones.len())
            .map(|from| endpoint.address(from))
            .collect();
        let endpoint = Arc::new(endpoint);
        self.endpoints()
            .insert(id.to_owned(), ClusterEndpoint { zone, endpoint });
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

    /// Starts an endpoint and lists it as up for long.
    pub fn add_endpoint(
        &self,
        zone: usize,
        id: &str,
        build: u32,
        behavior: EndpointBehavior,
    ) -> io::Result<()> {
        let entry = self.start_unlisted(zone, id, build, behavior)?;
        self.discovery.update([entry]);
        Ok(())
    }

    /// Starts an endpoint and lists it as started now.
    pub fn add_cold_endpoint(
        &self,
        zone: usize,
        id: &str,
        build: u32,
        behavior: EndpointBehavior,
    ) -> io::Result<()> {
        let mut entry = self.start_unlisted(zone, id, build, behavior)?;
        entry.started_ms = unix_ms();
        self.discovery.update([entry]);
        Ok(())
    }

    /// The endpoint of this id.
    pub fn endpoint(&self, id: &str) -> Option<Arc<Endpoint>> {
        let endpoints = self.endpoints();
        endpoints.get(id).map(|found| found.endpoint.clone())
    }

    /// The endpoints of one zone, by id.
    pub fn endpoints_in_zone(&self, zone: usize) -> Vec<(String, Arc<Endpoint>)> {
        let endpoints = self.endpoints();
        endpoints
            .iter()
            .filter(|(_, found)| found.zone == zone)
            .map(|(id, found)| (id.clone(), found.endpoint.clone()))
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

    /// Sets the link from one zone to all endpoints of another.
    pub fn set_link(&self, from: usize, to: usize, link: Link) {
        for (_, endpoint) in self.endpoints_in_zone(to) {
            endpoint.set_link(from, link);
        }
    }

    /// The configuration of an agent in this zone.
    pub fn configuration(&self, name: &str, zone: usize) -> io::Result<Value> {
        let zones: Vec<&str> = self.zones.iter().map(String::as_str).collect();
        let settings = settings(&zones, zones[zone], self.agents, &self.classes);
        let known = self.discovery.full_list(zone);
        let rollout_status = self.platform.current_rollout().value();
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
        let mut sums: BTreeMap<String, TransferCounts> = BTreeMap::new();
        for (_, endpoint) in self.endpoints_in_zone(to) {
            for ((zone, class), counts) in endpoint.transfer_counts() {
                if zone == from {
                    let sum = sums.entry(class).or_default();
                    sum.attempts += counts.attempts;
                    sum.read += counts.read;
                    sum.written += counts.written;
                }
            }
        }
        sums
    }

    /// All attempts that came anywhere, by id of their request.
    pub fn received_queries(&self) -> BTreeMap<String, Vec<ReceivedQuery>> {
        let endpoints: Vec<Arc<Endpoint>> = self
            .endpoints()
            .values()
            .map(|found| found.endpoint.clone())
            .collect();
        let mut by_id: BTreeMap<String, Vec<ReceivedQuery>> = BTreeMap::new();
        for query in endpoints.iter().flat_map(|e| e.received_queries()) {
            by_id.entry(query.id.clone()).or_default().push(query);
        }
        by_id
    }

    /// Ids of requests of a class that may have run more than once.
    pub fn executed_twice(&self, class: &str) -> Vec<String> {
        let ran = |query: &&ReceivedQuery| query.ran && query.class == class;
        self.received_queries()
            .into_iter()
            .filter(|(_, queries)| queries.iter().filter(ran).count() > 1)
            .map(|(id, _)| id)
            .collect()
    }
}

/// A seed for the draws of the endpoint with this id.
fn seed_of(id: &str) -> u64 {
    id.bytes().fold(7, |hash: u64, byte| {
        hash.wrapping_mul(31).wrapping_add(u64::from(byte))
    })
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}
