//! Discovery's lists of endpoints.

use serde_json::Value;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;
use tulipwall::EndpointState;
use tulipwall_config::Fields;

pub const LIST: &str = "/api/targets";

/// The watch for what is newer than `version`.
pub fn watch(version: u64, wait: Duration) -> String {
    format!("{LIST}?after={version}&wait_ms={}", wait.as_millis())
}

#[derive(Debug, PartialEq)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub cell: u64,
    /// Its kind of machine, where that is told.
    pub kind: String,
    pub build: u32,
    pub standing: EndpointState,
    /// The last start, in Unix time milliseconds; `None` means long ago.
    pub started_ms: Option<u64>,
}

#[derive(Debug)]
pub struct Listing {
    pub version: u64,
    pub complete: bool,
    pub entries: Vec<Entry>,
    /// What of it could not be read, where something could not: what could be is to be obeyed, as
    /// all of it counts as told, and the rest to be asked for.
    pub spoilt: Option<String>,
    /// Ids of entries that could not be read but for it.
    pub doubtful: Vec<String>,
}

impl Listing {
    pub fn parse(bytes: &[u8]) -> Result<Listing, String> {
        let value: Value = serde_json::from_slice(bytes).map_err(|e| format!("list: {e}"))?;
        Listing::read(&Fields::of(&value, "list")?)
    }

    pub fn read(list: &Fields) -> Result<Listing, String> {
        let (mut entries, mut spoilt, mut doubtful) = (Vec::<Entry>::new(), None, Vec::new());
        let (mut at, mut twice) = (HashMap::<String, usize>::new(), BTreeSet::new());
        for told in list.array("servers")? {
            match Fields::of(told, "servers").and_then(|e| entry(&e)) {
                // Guards against two lines for one endpoint that contradict each other: it may be
                // told to leave. The newer start goes before the older one; of the same life
                // neither line is believed. Harms one that runs.
                Ok(entry) => match at.get(&entry.id).map(|i| &mut entries[*i]) {
                    Some(other) if other.started_ms == entry.started_ms => {
                        twice.extend((*other != entry).then_some(entry.id));
                    }
                    Some(other) if other.started_ms < entry.started_ms => *other = entry,
                    Some(_) => {}
                    None => {
                        at.insert(entry.id.clone(), entries.len());
                        entries.push(entry);
                    }
                },
                Err(what) => {
                    doubtful.extend(told.get("id").and_then(Value::as_str).map(str::to_owned));
                    spoilt.get_or_insert(what);
                }
            }
        }
        if let Some(id) = twice.first() {
            spoilt.get_or_insert(format!("field id: '{id}' stands twice, differently"));
            entries.retain(|e| !twice.contains(&e.id));
            doubtful.extend(twice);
        }
        let (version, complete) = (list.whole("version")?, list.truth("full")?);
        Ok(Listing {
            version,
            complete,
            entries,
            spoilt,
            doubtful,
        })
    }
}

fn entry(e: &Fields) -> Result<Entry, String> {
    let address = e.text("addr")?;
    Ok(Entry {
        id: e.text("id")?.to_owned(),
        address: address
            .parse()
            .map_err(|_| format!("field addr: '{address}' is no address"))?,
        zone: e.text("zone")?.to_owned(),
        cell: e.whole("cell")?,
        kind: e
            .maybe("kind")
            .and_then(Value::as_str)
            .unwrap_or_default()
            .to_owned(),
        build: u32::try_from(e.whole("release")?).map_err(|_| "field release: too large")?,
        standing: match e.text("state")? {
            "in_service" => EndpointState::Running,
            "terminating" => EndpointState::Draining,
            "terminated" => EndpointState::Gone,
            other => return Err(format!("field state: unknown value '{other}'")),
        },
        started_ms: Some(e.number("started_ms")? as u64).filter(|t| *t > 0),
    })
}
