//! A test deployment: zones with fake endpoints, a fake discovery service and a fake platform.

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

/// Zones with fake endpoints, and the services that an agent needs to reach them.
pub struct TestCluster {
    /// Names of the zones. Other methods refer to a zone by its index here.
    pub zones: Vec<String>,
    /// The request classes in the agents' settings.
    pub classes: Vec<RequestClass>,
    /// The discovery service that lists the endpoints.
    pub discovery: Discovery,
    /// The platform that publishes the newest build.
    pub platform: Platform,
    /// The number of agents in the settings.
    pub agents: u32,
    endpoints: Mutex<EndpointsById>,
}

type EndpointsById = BTreeMap<String, ClusterEndpoint>;

struct ClusterEndpoint {
    zone: usize,
    endpoint: Arc<Endpoint>,
}

impl TestCluster {
    /// Starts discovery and a platform on which build 41 is released, for zones without endpoints.
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

    /// Starts an endpoint that discovery does not list yet. The returned entry is meant for
    /// [`Discovery::update`].
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

    /// Starts an endpoint and lists it with start time 0, that is past its slow start.
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

    /// Starts an endpoint and lists it as started now, so that agents put it in slow start.
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

    /// Returns the endpoint with this id; `None` if it was never started.
    pub fn endpoint(&self, id: &str) -> Option<Arc<Endpoint>> {
        let endpoints = self.endpoints();
        endpoints.get(id).map(|found| found.endpoint.clone())
    }

    /// Returns the endpoints of one zone with their ids, ordered by id.
    pub fn endpoints_in_zone(&self, zone: usize) -> Vec<(String, Arc<Endpoint>)> {
        let endpoints = self.endpoints();
        endpoints
            .iter()
            .filter(|(_, found)| found.zone == zone)
            .map(|(id, found)| (id.clone(), found.endpoint.clone()))
            .collect()
    }

    /// Lists all endpoints of a zone in this state: `in_service`, `terminating` or `terminated`.
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

    /// Sets the link from one zone to all current endpoints of another.
    pub fn set_link(&self, from: usize, to: usize, link: Link) {
        for (_, endpoint) in self.endpoints_in_zone(to) {
            endpoint.set_link(from, link);
        }
    }

    /// Returns the configuration of an agent in this zone.
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

    /// Returns the traffic that the endpoints of zone `to` counted for callers in zone `from`, by
    /// class.
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

    /// Returns the queries that any endpoint received, by request id.
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

    /// Returns the ids of a class's requests that may have run more than once.
    pub fn executed_twice(&self, class: &str) -> Vec<String> {
        let ran = |query: &&ReceivedQuery| query.ran && query.class == class;
        self.received_queries()
            .into_iter()
            .filter(|(_, queries)| queries.iter().filter(ran).count() > 1)
            .map(|(id, _)| id)
            .collect()
    }
}

/// Derives the random seed of an endpoint from its id.
fn seed_of(id: &str) -> u64 {
    id.bytes().fold(7, |hash: u64, byte| {
        hash.wrapping_mul(31).wrapping_add(u64::from(byte))
    })
}

/// Returns the current Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}
