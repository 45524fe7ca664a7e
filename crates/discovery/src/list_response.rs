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

/// The request path of the complete list.
pub const LIST_PATH: &str = "/api/targets";

/// Returns the request path of a long poll: discovery answers once its list is newer than
/// `version`, or after `wait`.
pub fn watch_path(version: u64, wait: Duration) -> String {
    format!("{LIST_PATH}?after={version}&wait_ms={}", wait.as_millis())
}

/// One endpoint as listed in a response.
#[derive(Debug, PartialEq)]
pub struct EndpointRecord {
    /// The endpoint's id, unique in the list.
    pub id: String,
    /// The address on which the endpoint accepts connections.
    pub address: SocketAddr,
    /// The name of the endpoint's zone.
    pub zone: Arc<str>,
    /// The endpoint's cell. Endpoints of one cell share the idempotency keys that they have seen.
    pub cell: u64,
    /// The type of the endpoint's machine; empty if the response gives none.
    pub endpoint_type: Arc<str>,
    /// The number of the build that the endpoint runs.
    pub build: u32,
    /// Whether the endpoint is running, draining or gone.
    pub state: EndpointState,
    /// The endpoint's last start, in Unix time milliseconds; `None` means long ago.
    pub started_ms: Option<u64>,
}

/// An error that makes the whole response unusable.
#[derive(Debug, Error)]
pub enum ListResponseError {
    /// The body is not valid JSON.
    #[error("list: {0}")]
    Json(#[from] serde_json::Error),
    /// A field of the list itself is missing or malformed.
    #[error(transparent)]
    Field(#[from] FieldError),
}

/// Why one entry of a list was discarded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EntryError {
    /// A field of the entry is missing or malformed.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// Two entries for the same start of an endpoint have different values.
    #[error("field id: '{id}' is listed twice with different values")]
    Contradiction {
        /// The id of the endpoint.
        id: String,
    },
}

/// A response with the complete endpoint list, or with the changes to it.
#[derive(Debug)]
pub struct ListResponse {
    /// The version of discovery's list.
    pub version: u64,
    /// Whether the response lists every endpoint, rather than only those that changed.
    pub complete: bool,
    /// The readable entries, one for each endpoint.
    pub endpoints: Vec<EndpointRecord>,
    /// The error of the first entry that could not be read; `None` if all could. The readable
    /// entries must still be applied, since discovery counts all entries as delivered, and the list
    /// must be requested again.
    pub first_error: Option<EntryError>,
    /// The ids of the entries that could not be read, where the id itself was readable.
    pub unreadable_ids: Vec<String>,
    /// Whether there was an entry whose id could not be read.
    pub has_unidentified_entry: bool,
}

impl ListResponse {
    /// Whether the response may hold a change that cannot be applied, as it is not known which
    /// endpoint it is about. A complete list never does: endpoints that it does not name are gone.
    pub fn may_lack_change(&self) -> bool {
        self.has_unidentified_entry && !self.complete
    }

    /// Parses the body of a response.
    pub fn parse(body: &[u8]) -> Result<ListResponse, ListResponseError> {
        if let Some(response) = ListResponse::parse_exact(body) {
            return Ok(response);
        }
        let value: Value = serde_json::from_slice(body)?;
        let fields = Fields::new(&value, "list")?;
        Ok(ListResponse::read(&fields)?)
    }

    /// Parses a body that has exactly the form of the protocol, at a fraction of the cost of
    /// reading it field by field. Returns `None` for any other body.
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
            has_unidentified_entry: false,
        })
    }

    /// Reads a response field by field from its JSON object. An entry that cannot be read does not
    /// make the response an error; it is reported in [`ListResponse::first_error`].
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
            has_unidentified_entry: entries.has_unidentified_entry,
        })
    }
}

/// Collects the entries of a list while it is read.
#[derive(Default)]
struct Entries {
    endpoints: Vec<EndpointRecord>,
    positions: HashMap<String, usize>,
    contradictory_ids: BTreeSet<String>,
    first_error: Option<EntryError>,
    unreadable_ids: Vec<String>,
    has_unidentified_entry: bool,
}

impl Entries {
    fn add(&mut self, value: &Value) {
        match read_endpoint(value) {
            Ok(endpoint) => self.add_endpoint(endpoint),
            Err(error) => {
                let id = value.get("id").and_then(Value::as_str);
                self.has_unidentified_entry |= id.is_none();
                self.unreadable_ids.extend(id.map(str::to_owned));
                self.first_error.get_or_insert(error.into());
            }
        }
    }

    /// Adds an endpoint. Of two entries for the same endpoint, the one with the later start is
    /// kept. If both have the same start but different values, both are discarded, because one of
    /// them may say that the endpoint is draining. This does harm if the endpoint is in fact
    /// running.
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
    parse_endpoint_state(name).ok_or_else(|| FieldError::unknown_value("state", name))
}

/// Parses an endpoint state from its name in the protocol; `None` for an unknown name.
pub(crate) fn parse_endpoint_state(name: &str) -> Option<EndpointState> {
    match name {
        "in_service" => Some(EndpointState::Running),
        "terminating" => Some(EndpointState::Draining),
        "terminated" => Some(EndpointState::Gone),
        _ => None,
    }
}

/// Reads the time of the last start. Discovery sends 0 for a start long ago.
fn read_started_ms(fields: &Fields) -> Result<Option<u64>, FieldError> {
    let started_ms = fields.number("started_ms")? as u64;
    Ok((started_ms > 0).then_some(started_ms))
}
