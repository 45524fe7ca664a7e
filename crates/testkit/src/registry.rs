//! What discovery knows, without sockets: the endpoints, each with the version of its last change,
//! and the documents that the wire has of them.

use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// One endpoint of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its id.
    pub id: String,
    /// By zone of the caller.
    pub addresses: Vec<SocketAddr>,
    /// The name of its zone.
    pub zone: String,
    /// Its cell.
    pub cell: u64,
    /// `in_service`, `terminating` or `terminated`.
    pub state: String,
    /// Unix time in milliseconds; 0 for long ago.
    pub started_ms: u64,
    /// The build that it runs.
    pub build: u32,
}

/// The endpoints by id.
pub struct Registry {
    /// Of the last change; 1 before any.
    pub version: u64,
    entries: BTreeMap<String, (u64, Entry)>, // with the version of its last change
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
    /// Changes or adds entries. One version for all of them.
    pub fn update(&mut self, entries: impl IntoIterator<Item = Entry>) {
        self.version += 1;
        for e in entries {
            self.entries.insert(e.id.clone(), (self.version, e));
        }
    }

    /// The entry of this id.
    pub fn get(&self, id: &str) -> Option<&Entry> {
        self.entries.get(id).map(|(_, e)| e)
    }

    /// All entries, by id.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().map(|(_, e)| e)
    }

    /// The whole list for callers of zone `from`. It lacks what is terminated.
    pub fn full_list(&self, from: usize) -> Value {
        let there = self.entries().filter(|e| e.state != "terminated");
        let servers: Vec<Value> = there.map(|e| entry(e, from)).collect();
        json!({"version": self.version, "full": true, "servers": servers})
    }

    /// What has changed since this version.
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

/// The version that a watch names and how long it may wait; nothing where the whole list is asked
/// for.
pub fn parse_watch(path: &str) -> Option<(u64, Duration)> {
    let query = path.split_once('?').map_or("", |(_, q)| q);
    let named = |name: &str| -> Option<u64> {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(key, _)| *key == name)?;
        value.parse().ok()
    };
    named("after").map(|after| (after, Duration::from_millis(named("wait_ms").unwrap_or(0))))
}

/// The HTTP answer with this body.
pub fn http_response(body: &Value) -> String {
    let body = body.to_string();
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length:";
    format!("{head} {}\r\n\r\n{body}", body.len())
}
