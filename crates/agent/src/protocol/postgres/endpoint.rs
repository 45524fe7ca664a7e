//! The endpoint side of the protocol: encoding of the messages to an endpoint, and parsing of its
//! messages one by one. Which message may follow which is up to [`super::startup`] and
//! [`super::response`].

use super::*;

/// The maximum length of each type of message from an endpoint, in bytes without the type byte.
/// Other types are not valid.
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

/// Returns the startup message of a connection to an endpoint.
pub fn startup(user: &str, database: &str) -> Vec<u8> {
    let body = format!("user\0{user}\0database\0{database}\0\0");
    let mut out = (body.len() as u32 + 8).to_be_bytes().to_vec();
    out.extend_from_slice(&PROTOCOL_VERSION_3.to_be_bytes());
    out.extend_from_slice(body.as_bytes());
    out
}

/// The byte that ends the text of a query message.
pub const QUERY_TERMINATOR: u8 = 0;

/// Returns a simple-query message with the given SQL text.
pub fn query(text: &str) -> Vec<u8> {
    let mut out = Vec::with_capacity(text.len() + HEADER_LENGTH + 1);
    out.extend_from_slice(&query_header(text.len()));
    out.extend_from_slice(text.as_bytes());
    out.push(QUERY_TERMINATOR);
    out
}

/// Returns the header of a simple-query message whose SQL text has `text_length` bytes, without the
/// [`QUERY_TERMINATOR`] that follows the text.
pub fn query_header(text_length: usize) -> [u8; HEADER_LENGTH] {
    let [a, b, c, d] = (text_length as u32 + 5).to_be_bytes();
    [b'Q', a, b, c, d]
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

/// Reads the messages of one exchange with an endpoint: the startup, or the response to a query.
pub trait MessageReader {
    /// Returns whether a part of the exchange's result was received; notices and parameters do not
    /// count.
    fn has_begun(&self) -> bool;

    /// Handles the next message; `raw_message` holds it with its header. Returns true once the
    /// exchange is complete, and the connection ready for a query.
    fn on_message(
        &mut self,
        tag: u8,
        body: &[u8],
        raw_message: &[u8],
    ) -> Result<bool, ProtocolError>;
}

/// What an endpoint's error says about the request or the connection to which it responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointError {
    /// Nothing ran, and a retry is safe.
    Rejected,
    /// The request may have run.
    Failed,
}

impl EndpointError {
    /// Parses the body of an error message.
    pub fn parse(body: &[u8]) -> Result<EndpointError, PostgresError> {
        let code = parse_error_code(body).ok_or(PostgresError::UnreadableError)?;
        let safe_to_retry = code == SQLSTATE_TOO_MANY_CONNECTIONS.as_bytes()
            || code == SQLSTATE_CANNOT_CONNECT_NOW.as_bytes();
        Ok(if safe_to_retry {
            EndpointError::Rejected
        } else {
            EndpointError::Failed
        })
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
