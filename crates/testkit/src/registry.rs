//! The state of the fake discovery service, without sockets: the endpoints, each with the version
//! of its last change, and the JSON documents that describe them.

use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// One endpoint of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The endpoint's unique id.
    pub id: String,
    /// The endpoint's addresses, by index of the caller's zone.
    pub addresses: Vec<SocketAddr>,
    /// The name of the endpoint's zone.
    pub zone: String,
    /// The number of the endpoint's cell.
    pub cell: u64,
    /// The state as the wire spells it: `in_service`, `terminating` or `terminated`.
    pub state: String,
    /// Start time as Unix time in milliseconds; 0 for an endpoint that is past its slow start.
    pub started_ms: u64,
    /// The number of the build that the endpoint runs.
    pub build: u32,
}

/// The listed endpoints by id, with versions.
pub struct Registry {
    /// The version of the last change; 1 before the first.
    pub version: u64,
    entries: BTreeMap<String, (u64, Entry)>, // each with the version of its last change
}

impl Default for Registry {
    fn default() -> Registry {
        Registry {
            version: 1,
            entries: BTreeMap::new(),
        }
    }
}

impl Registry {
    /// Adds or replaces entries under one new version.
    pub fn update(&mut self, entries: impl IntoIterator<Item = Entry>) {
        self.version += 1;
        for e in entries {
            self.entries.insert(e.id.clone(), (self.version, e));
        }
    }

    /// Numbers versions anew: all entries count as changed in the second version.
    pub fn restart_versions(&mut self) {
        let entries: Vec<Entry> = self.entries().cloned().collect();
        *self = Registry::default();
        self.update(entries);
    }

    /// Returns the entry with this id; `None` if there is none.
    pub fn get(&self, id: &str) -> Option<&Entry> {
        self.entries.get(id).map(|(_, e)| e)
    }

    /// Iterates over all entries, terminated ones included, ordered by id.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().map(|(_, e)| e)
    }

    /// Returns the full list for callers in zone `from`, without terminated endpoints.
    pub fn full_list(&self, from: usize) -> Value {
        let listed = self.entries().filter(|e| e.state != "terminated");
        let servers: Vec<Value> = listed.map(|e| entry(e, from)).collect();
        json!({"version": self.version, "full": true, "servers": servers})
    }

    /// Returns the entries changed after version `after`, for callers in zone `from`. Terminated
    /// endpoints are included.
    pub fn changes_since(&self, after: u64, from: usize) -> Value {
        let newer = self.entries.values().filter(|(v, _)| *v > after);
        let changed: Vec<Value> = newer.map(|(_, e)| entry(e, from)).collect();
        json!({"version": self.version, "full": false, "servers": changed})
    }
}

fn entry(e: &Entry, from: usize) -> Value {
    json!({
        "id": e.id,
        "addr": e.addresses[from].to_string(),
        "zone": e.zone,
        "kind": "m",
        "cell": e.cell,
        "state": e.state,
        "weight": 1.0,
        "started_ms": e.started_ms,
        "release": e.build,
    })
}

/// Returns the version that a watch names and how long it may wait; `None` for a request of the
/// full list.
pub fn parse_watch(path: &str) -> Option<(u64, Duration)> {
    let query = path.split_once('?').map_or("", |(_, q)| q);
    let named = |name: &str| -> Option<u64> {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(key, _)| *key == name)?;
        value.parse().ok()
    };
    named("after").map(|after| (after, Duration::from_millis(named("wait_ms").unwrap_or(0))))
}

/// Formats an HTTP response with this JSON body.
pub fn http_response(body: &Value) -> String {
    let body = body.to_string();
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length:";
    format!("{head} {}\r\n\r\n{body}", body.len())
}
