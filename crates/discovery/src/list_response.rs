//! Parses discovery's responses to calls for the endpoint list.

use crate::list_document::ListDocument;
use serde_json::Value;
use std::cmp::Ordering;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tulipwall::EndpointState;
use tulipwall_config::{FieldError, Fields};

/// The path of the whole list.
pub const LIST_PATH: &str = "/api/targets";

/// The path of a long poll: discovery answers once its list is newer than `version`, or after
/// `wait`.
pub fn watch_path(version: u64, wait: Duration) -> String {
    format!("{LIST_PATH}?after={version}&wait_ms={}", wait.as_millis())
}

/// What a response says of one endpoint.
#[derive(Debug, PartialEq)]
pub struct EndpointRecord {
    /// The endpoint's name, unique in the list.
    pub id: String,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// The name of its zone.
    pub zone: Arc<str>,
    /// Its cell: endpoints of one cell share what they know of idempotency keys.
    pub cell: u64,
    /// The type of its machine; empty where the response gives none.
    pub endpoint_type: Arc<str>,
    /// The number of the build that it runs.
    pub build: u32,
    /// Whether it serves.
    pub state: EndpointState,
    /// Its last start, in Unix time milliseconds; `None` means long ago.
    pub started_ms: Option<u64>,
}

/// A response that could not be read as a whole.
#[derive(Debug, Error)]
pub enum ListResponseError {
    /// The body is no JSON.
    #[error("list: {0}")]
    Json(#[from] serde_json::Error),
    /// A field of the list itself is missing or malformed.
    #[error(transparent)]
    Field(#[from] FieldError),
}

/// Why one entry of a list is not believed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EntryError {
    /// A field of the entry is missing or malformed.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// Two entries for one start of an endpoint contradict each other.
    #[error("field id: '{id}' stands twice, differently")]
    Contradiction {
        /// The endpoint.
        id: String,
    },
}

/// A response with the endpoint list, or with what changed in it.
#[derive(Debug)]
pub struct ListResponse {
    /// The version of discovery's list.
    pub version: u64,
    /// Whether it lists every endpoint, rather than those that changed.
    pub complete: bool,
    /// The entries that could be read, one for each endpoint.
    pub endpoints: Vec<EndpointRecord>,
    /// Why the first of the other entries could not be read. Those that could must be applied all
    /// the same, since discovery counts all of them as delivered; the list must be asked for again.
    pub first_error: Option<EntryError>,
    /// The endpoints of entries that could not be read, where their ids could.
    pub unreadable_ids: Vec<String>,
}

impl ListResponse {
    /// Parses the body of a response.
    pub fn parse(body: &[u8]) -> Result<ListResponse, ListResponseError> {
        if let Some(response) = ListResponse::parse_exact(body) {
            return Ok(response);
        }
        let value: Value = serde_json::from_slice(body)?;
        let fields = Fields::new(&value, "list")?;
        Ok(ListResponse::read(&fields)?)
    }

    /// Parses a body that has exactly the form of the protocol, at a fraction of the cost.
    fn parse_exact(body: &[u8]) -> Option<ListResponse> {
        let document = ListDocument::parse(body)?;
        let version = document.version;
        let complete = document.complete;
        Some(ListResponse {
            version,
            complete,
            endpoints: document.into_records()?,
            first_error: None,
            unreadable_ids: Vec::new(),
        })
    }

    /// Reads a response from its JSON object. An entry that cannot be read is no error.
    pub fn read(list: &Fields) -> Result<ListResponse, FieldError> {
        let mut entries = Entries::default();
        for value in list.array("servers")? {
            entries.add(value);
        }
        entries.discard_contradictions();
        Ok(ListResponse {
            version: list.unsigned("version")?,
            complete: list.boolean("full")?,
            endpoints: entries.endpoints,
            first_error: entries.first_error,
            unreadable_ids: entries.unreadable_ids,
        })
    }
}

/// The entries of a list while it is read.
#[derive(Default)]
struct Entries {
    endpoints: Vec<EndpointRecord>,
    positions: HashMap<String, usize>,
    contradictory_ids: BTreeSet<String>,
    first_error: Option<EntryError>,
    unreadable_ids: Vec<String>,
}

impl Entries {
    fn add(&mut self, value: &Value) {
        match read_endpoint(value) {
            Ok(endpoint) => self.add_endpoint(endpoint),
            Err(error) => {
                let id = value.get("id").and_then(Value::as_str);
                self.unreadable_ids.extend(id.map(str::to_owned));
                self.first_error.get_or_insert(error.into());
            }
        }
    }

    /// Of two entries for one endpoint the one with the newer start counts. Where they are of the
    /// same start and contradict each other neither is believed: one of them may say that the
    /// endpoint drains. That does harm where it in fact runs.
    fn add_endpoint(&mut self, endpoint: EndpointRecord) {
        let Some(position) = self.positions.get(&endpoint.id) else {
            self.positions
                .insert(endpoint.id.clone(), self.endpoints.len());
            self.endpoints.push(endpoint);
            return;
        };
        let earlier = &mut self.endpoints[*position];
        match earlier.started_ms.cmp(&endpoint.started_ms) {
            Ordering::Less => *earlier = endpoint,
            Ordering::Equal if *earlier != endpoint => {
                self.contradictory_ids.insert(endpoint.id);
            }
            Ordering::Equal | Ordering::Greater => {}
        }
    }

    fn discard_contradictions(&mut self) {
        let Some(id) = self.contradictory_ids.first().cloned() else {
            return;
        };
        self.first_error
            .get_or_insert(EntryError::Contradiction { id });
        let contradictory_ids = std::mem::take(&mut self.contradictory_ids);
        self.endpoints
            .retain(|endpoint| !contradictory_ids.contains(&endpoint.id));
        self.unreadable_ids.extend(contradictory_ids);
    }
}

fn read_endpoint(value: &Value) -> Result<EndpointRecord, FieldError> {
    let fields = Fields::new(value, "servers")?;
    let address = fields.text("addr")?;
    Ok(EndpointRecord {
        id: fields.text("id")?.to_owned(),
        address: parse_address(address)?,
        zone: Arc::from(fields.text("zone")?),
        cell: fields.unsigned("cell")?,
        endpoint_type: Arc::from(fields.optional_text("kind").unwrap_or_default()),
        build: read_build(&fields)?,
        state: read_state(&fields)?,
        started_ms: read_started_ms(&fields)?,
    })
}

fn parse_address(text: &str) -> Result<SocketAddr, FieldError> {
    text.parse().map_err(|_| FieldError::InvalidAddress {
        key: "addr".to_owned(),
        expected: "address",
        found: text.to_owned(),
    })
}

fn read_build(fields: &Fields) -> Result<u32, FieldError> {
    let build = fields.unsigned("release")?;
    u32::try_from(build).map_err(|_| FieldError::TooLarge {
        key: "release".to_owned(),
    })
}

fn read_state(fields: &Fields) -> Result<EndpointState, FieldError> {
    let name = fields.text("state")?;
    known_state(name).ok_or_else(|| FieldError::unknown_value("state", name))
}

/// The state that the protocol calls `name`.
pub(crate) fn known_state(name: &str) -> Option<EndpointState> {
    match name {
        "in_service" => Some(EndpointState::Running),
        "terminating" => Some(EndpointState::Draining),
        "terminated" => Some(EndpointState::Gone),
        _ => None,
    }
}

/// Discovery says 0 of a start long ago.
fn read_started_ms(fields: &Fields) -> Result<Option<u64>, FieldError> {
    let started_ms = fields.number("started_ms")? as u64;
    Ok((started_ms > 0).then_some(started_ms))
}
