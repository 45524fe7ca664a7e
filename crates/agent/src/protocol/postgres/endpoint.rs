//! The endpoint side of the protocol: encoding of the messages to an endpoint, and parsing of its
//! response to one query.

use super::*;

/// The maximum length of each type of message from an endpoint, in bytes without the type byte.
/// Other types are not valid in a response.
const MAX_LENGTH_BY_TAG: [(u8, usize); 9] = [
    (b'T', 1024),
    (b'D', MAX_VALUE_LENGTH + ROW_OVERHEAD),
    (b'C', 256),
    (b'Z', READY_LENGTH),
    (b'E', 16 * 1024),
    (b'N', 16 * 1024),
    (b'S', 16 * 1024),
    (b'K', 64),
    (b'R', 64),
];
/// The bytes of a data row with one column besides the value: length, column count and value
/// length.
const ROW_OVERHEAD: usize = 10;
/// The declared length of ready-for-query.
const READY_LENGTH: usize = 5;
/// The bytes of a column description after the column's name.
const COLUMN_ATTRIBUTES_LENGTH: usize = 18;
/// Load reports of this number of requests in flight or more are ignored as implausible.
const MAX_REPORTED_LOAD: f64 = 1e6;

/// Returns the startup message of a connection to an endpoint.
pub fn startup(user: &str, database: &str) -> Vec<u8> {
    let body = format!("user\0{user}\0database\0{database}\0\0");
    let mut out = (body.len() as u32 + 8).to_be_bytes().to_vec();
    out.extend_from_slice(&PROTOCOL_VERSION_3.to_be_bytes());
    out.extend_from_slice(body.as_bytes());
    out
}

/// Returns a simple-query message with the given SQL text.
pub fn query(text: &str) -> Vec<u8> {
    let mut out = Vec::with_capacity(text.len() + HEADER_LENGTH + 1);
    out.push(b'Q');
    out.extend_from_slice(&(text.len() as u32 + 5).to_be_bytes());
    out.extend_from_slice(text.as_bytes());
    out.push(0);
    out
}

/// Parses the first message of an endpoint. Returns `None` while it is incomplete. A message that
/// can't be part of a response is detected by its first bytes, so that a value with too long a
/// declared length is not waited for.
pub fn parse_endpoint_message(bytes: &[u8]) -> Result<Option<Message<'_>>, ProtocolError> {
    check_declared_lengths(bytes)?;
    parse_message(bytes)
}

fn check_declared_lengths(bytes: &[u8]) -> Result<(), PostgresError> {
    let Some(&tag) = bytes.first() else {
        return Ok(());
    };
    let limit = MAX_LENGTH_BY_TAG.iter().find(|(known, _)| *known == tag);
    let Some((_, max_length)) = limit else {
        return Err(PostgresError::UnexpectedMessage(tag));
    };
    let Some(declared) = bytes.get(1..).and_then(read_u32) else {
        return Ok(());
    };
    let length = declared as usize;
    if length > *max_length || (tag == b'Z' && length != READY_LENGTH) {
        return Err(PostgresError::MessageLength { tag, length });
    }
    if let (b'D', Some(value)) = (tag, bytes.get(7..).and_then(read_u32)) {
        if value as usize + ROW_OVERHEAD != length {
            return Err(PostgresError::ValueLength {
                value,
                row: declared,
            });
        }
    }
    Ok(())
}

/// The outcome of a query at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryOutcome {
    /// The endpoint sent one complete value.
    Value,
    /// The endpoint sent an error, and the query may have run.
    Failed,
    /// The endpoint sent an error which says that nothing ran.
    Rejected,
}

/// Reads an endpoint's response to one query, message by message.
#[derive(Default)]
pub struct ResponseReader {
    /// The messages of the value, as the endpoint sent them; empty after an error.
    pub value: Vec<u8>,
    /// The outcome of the query; `None` until that is known.
    pub outcome: Option<QueryOutcome>,
    /// The number of requests in flight that the endpoint last reported; `None` if it reported
    /// none.
    pub reported_load: Option<f64>,
    rows: usize,
    /// Whether the row description was received.
    described: bool,
}

impl ResponseReader {
    /// Returns whether a part of the response itself was received; notices and load reports do not
    /// count.
    pub fn has_begun(&self) -> bool {
        self.described || self.outcome.is_some()
    }

    /// Handles the next message; `raw_message` holds it with its header. Returns true once the
    /// connection is ready for the next query. Notices and unreadable load reports are ignored.
    pub fn on_message(
        &mut self,
        tag: u8,
        body: &[u8],
        raw_message: &[u8],
    ) -> Result<bool, ProtocolError> {
        let open = self.outcome.is_none();
        match tag {
            b'S' => {
                self.reported_load = parse_load_report(body).or(self.reported_load);
                return Ok(false);
            }
            b'N' | b'K' => return Ok(false),
            b'R' if body.get(..4) == Some(&[0; 4]) => return Ok(false),
            // Ready-for-query is not accepted between the row description and the end of the
            // command, as the value is incomplete then.
            b'Z' if matches!(body, b"I" | b"T" | b"E") && !(open && self.described) => {
                return Ok(true)
            }
            b'E' if open => {
                self.on_error(body)?;
                return Ok(false);
            }
            b'T' if open && !self.described && describes_one_column(body) => self.described = true,
            b'D' if open && self.described && self.rows == 0 && holds_one_value(body) => {
                self.rows = 1;
            }
            b'C' if open && self.rows == 1 && is_command_tag(body) => {
                self.outcome = Some(QueryOutcome::Value);
            }
            _ => return Err(PostgresError::UnexpectedMessage(tag).into()),
        }
        self.value.extend_from_slice(raw_message);
        Ok(false)
    }

    fn on_error(&mut self, body: &[u8]) -> Result<(), PostgresError> {
        let code = parse_error_code(body).ok_or(PostgresError::UnreadableError)?;
        let safe_to_retry = code == SQLSTATE_TOO_MANY_CONNECTIONS.as_bytes()
            || code == SQLSTATE_CANNOT_CONNECT_NOW.as_bytes();
        self.value = Vec::new();
        self.outcome = Some(if safe_to_retry {
            QueryOutcome::Rejected
        } else {
            QueryOutcome::Failed
        });
        Ok(())
    }
}

/// Parses the number of requests in flight from a load report, which is a parameter status named
/// `pressure` with a value such as `inflight=7,util=0.61`.
fn parse_load_report(parameter_status: &[u8]) -> Option<f64> {
    let fields = parameter_status
        .strip_prefix(b"pressure\0")?
        .strip_suffix(b"\0")?;
    let value = std::str::from_utf8(fields)
        .ok()?
        .split(',')
        .find_map(|field| field.trim().strip_prefix("inflight="))?;
    let in_flight = value.parse::<f64>().ok()?;
    (0.0..MAX_REPORTED_LOAD)
        .contains(&in_flight)
        .then_some(in_flight)
}

/// Returns whether a row description holds exactly one column, as a name followed by its
/// attributes.
fn describes_one_column(body: &[u8]) -> bool {
    let name_length = body
        .get(2..)
        .and_then(|rest| rest.iter().position(|byte| *byte == 0));
    body.get(..2) == Some(&[0, 1])
        && name_length.is_some_and(|n| body.len() == 2 + n + 1 + COLUMN_ATTRIBUTES_LENGTH)
}

/// Returns whether a data row holds exactly one value of the declared length.
fn holds_one_value(body: &[u8]) -> bool {
    let value_length = body.get(2..).and_then(read_u32);
    body.get(..2) == Some(&[0, 1]) && value_length.is_some_and(|n| body.len() - 6 == n as usize)
}

/// Returns whether this is a valid command tag: letters, digits and spaces, ended by a zero byte.
fn is_command_tag(body: &[u8]) -> bool {
    let allowed = |byte: &u8| byte.is_ascii_alphanumeric() || *byte == b' ';
    match body.split_last() {
        Some((0, tag)) => !tag.is_empty() && tag.iter().all(allowed),
        _ => false,
    }
}

/// Returns the SQLSTATE code of an error message; `None` if the code or the format is invalid. Each
/// field ends with a zero byte, and so does the list of fields.
fn parse_error_code(body: &[u8]) -> Option<&[u8]> {
    let fields = body.strip_suffix(b"\0\0")?;
    if fields.split(|byte| *byte == 0).any(<[u8]>::is_empty) {
        return None;
    }
    let code = find_error_field(fields, b'C')?;
    let valid = code.len() == 5 && code.iter().all(u8::is_ascii_alphanumeric);
    valid.then_some(code)
}

fn find_error_field(fields: &[u8], name: u8) -> Option<&[u8]> {
    fields
        .split(|byte| *byte == 0)
        .find(|field| field.first() == Some(&name))
        .map(|field| &field[1..])
}
