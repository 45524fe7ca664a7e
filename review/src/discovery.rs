//! A stand-in for discovery: the whole list, and watches that wait for a newer version.

use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Default)]
struct List {
    version: u64,
    /// By id: the version of the last change and the entry.
    entries: BTreeMap<String, (u64, Value)>,
}

#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<(Mutex<List>, Condvar)>,
}

/// An entry of the list.
pub fn entry(id: &str, address: SocketAddr, zone: &str, kind: &str, build: u32) -> Value {
    json!({"id": id, "addr": address.to_string(), "zone": zone, "kind": kind, "cell": 0,
        "state": "in_service", "weight": 1.0, "started_ms": 0, "release": build})
}

impl Discovery {
    pub fn start(entries: Vec<Value>) -> io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let discovery = Discovery {
            address: listener.local_addr()?,
            list: Arc::default(),
        };
        for entry in entries {
            discovery.set(entry);
        }
        let serving = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                std::thread::spawn(move || {
                    let _ = serving.serve(stream);
                });
            }
        });
        Ok(discovery)
    }

    /// Adds or changes an entry.
    pub fn set(&self, entry: Value) {
        let (list, changed) = &*self.list;
        let mut list = list.lock().unwrap();
        list.version += 1;
        let version = list.version;
        let id = entry["id"].as_str().unwrap_or_default().to_owned();
        list.entries.insert(id, (version, entry));
        changed.notify_all();
    }

    /// The whole list, as in a configuration's `known`.
    pub fn whole_list(&self) -> Value {
        let list = self.list.0.lock().unwrap();
        let entries: Vec<&Value> = list.entries.values().map(|(_, entry)| entry).collect();
        json!({"version": list.version, "full": true, "servers": entries})
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        while let Some(path) = read_path(&mut stream)? {
            let body = match parse_watch(&path) {
                None => self.whole_list(),
                Some((after, wait)) => self.changes_after(after, wait),
            }
            .to_string();
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            stream.write_all(&[head.as_bytes(), body.as_bytes()].concat())?;
        }
        Ok(())
    }

    fn changes_after(&self, after: u64, wait: Duration) -> Value {
        let (list, changed) = &*self.list;
        let end = Instant::now() + wait;
        let mut list = list.lock().unwrap();
        while list.version <= after {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            list = changed.wait_timeout(list, left).unwrap().0;
        }
        let entries: Vec<&Value> = list
            .entries
            .values()
            .filter(|(version, _)| *version > after)
            .map(|(_, entry)| entry)
            .collect();
        json!({"version": list.version, "full": false, "servers": entries})
    }
}

fn read_path(stream: &mut TcpStream) -> io::Result<Option<String>> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if stream.read(&mut byte)? == 0 || head.len() > 8192 {
            return Ok(None);
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    Ok(head.split(' ').nth(1).map(str::to_owned))
}

fn parse_watch(path: &str) -> Option<(u64, Duration)> {
    let (_, arguments) = path.split_once('?')?;
    let value = |name: &str| {
        let mut pairs = arguments.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name)?.1.parse::<u64>().ok()
    };
    let wait = Duration::from_millis(value("wait_ms").unwrap_or(0).min(60_000));
    Some((value("after")?, wait))
}
