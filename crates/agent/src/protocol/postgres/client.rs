//! The client side of the protocol: parsing of a client's messages and encoding of the responses.

use super::*;
use std::time::Duration;

/// The maximum length of a startup message, in bytes.
const MAX_STARTUP_LENGTH: usize = 10_000;
const SSL_REQUEST: u32 = 80_877_103;
const GSS_REQUEST: u32 = 80_877_104;
const CANCEL_REQUEST: u32 = 80_877_102;

/// The first message of a client. After a request for encryption, another one follows.
#[derive(Debug, PartialEq)]
pub enum ClientOpening {
    /// A startup message of protocol version 3.0.
    Startup,
    /// A request for TLS or GSSAPI encryption.
    Encryption,
    /// A request to cancel a query on another connection.
    Cancel,
}

/// Parses a message of the startup phase. Returns it with its length in bytes; `None` while it is
/// incomplete.
pub fn parse_opening(bytes: &[u8]) -> Result<Option<(ClientOpening, usize)>, ProtocolError> {
    Ok(try_parse_opening(bytes)?)
}

fn try_parse_opening(bytes: &[u8]) -> Result<Option<(ClientOpening, usize)>, PostgresError> {
    let Some(length) = read_u32(bytes) else {
        return Ok(None);
    };
    let length = length as usize;
    if !(8..=MAX_STARTUP_LENGTH).contains(&length) {
        return Err(PostgresError::StartupLength { length });
    }
    let Some(code) = bytes.get(4..).and_then(read_u32) else {
        return Ok(None);
    };
    let opening = match code {
        PROTOCOL_VERSION_3 => ClientOpening::Startup,
        SSL_REQUEST | GSS_REQUEST => ClientOpening::Encryption,
        CANCEL_REQUEST => ClientOpening::Cancel,
        version => {
            return Err(PostgresError::UnsupportedVersion {
                major: version >> 16,
                minor: version & 0xffff,
            })
        }
    };
    Ok((bytes.len() >= length).then_some((opening, length)))
}

/// Returns the length of a message of the startup phase; `None` if the length field is incomplete or
/// invalid.
pub fn announced_startup_length(bytes: &[u8]) -> Option<usize> {
    let length = read_u32(bytes)? as usize;
    (length <= MAX_STARTUP_LENGTH).then_some(length)
}

/// Returns the SQL text of a query message, given the message's body.
pub fn parse_query_text(body: &[u8]) -> Result<&str, ProtocolError> {
    let Some((0, text)) = body.split_last() else {
        return Err(PostgresError::UnterminatedQuery.into());
    };
    if text.contains(&0) {
        return Err(PostgresError::ZeroByteInQuery.into());
    }
    Ok(std::str::from_utf8(text).map_err(|_| PostgresError::QueryNotUtf8)?)
}

/// Appends the response to a client's startup message, up to ready-for-query.
pub fn write_startup_response(out: &mut Vec<u8>) {
    const AUTHENTICATION_OK: u32 = 0;
    const NO_CANCEL_KEY: [u8; 8] = [0; 8];
    write_message(out, b'R', &AUTHENTICATION_OK.to_be_bytes());
    for (name, value) in [("server_version", "15.0"), ("client_encoding", "UTF8")] {
        write_message(out, b'S', format!("{name}\0{value}\0").as_bytes());
    }
    write_message(out, b'K', &NO_CANCEL_KEY);
    write_ready(out);
}

/// Appends ready-for-query, outside a transaction.
pub fn write_ready(out: &mut Vec<u8>) {
    write_message(out, b'Z', b"I");
}

/// Appends the response to an empty query.
pub fn write_empty_query(out: &mut Vec<u8>) {
    write_message(out, b'I', b"");
}

/// Appends command-complete with the given command tag.
pub fn write_command_complete(out: &mut Vec<u8>, command_tag: &str) {
    write_message(out, b'C', format!("{command_tag}\0").as_bytes());
}

/// Appends the rejection of a request, of which nothing ran. A retry is safe, after `retry_after`
/// if that is given.
pub fn write_rejected(out: &mut Vec<u8>, retry_after: Option<Duration>) {
    let detail = retry_after.map(|time| time.as_millis().to_string());
    let code = SQLSTATE_TOO_MANY_CONNECTIONS;
    write_error(out, "ERROR", code, "denied: a retry is harmless", detail);
}

/// Appends the rejection of a connection, of whose requests none ran. A retry is safe.
pub fn write_too_many_clients(out: &mut Vec<u8>) {
    let code = SQLSTATE_TOO_MANY_CONNECTIONS;
    write_error(out, "FATAL", code, "too many clients", None);
}

/// Appends the rejection of a message for which no memory is free. Nothing of it ran, and a retry is
/// safe. The connection is closed afterwards.
pub fn write_out_of_memory(out: &mut Vec<u8>) {
    let code = SQLSTATE_TOO_MANY_CONNECTIONS;
    write_error(out, "FATAL", code, "out of memory for long messages", None);
}

/// Appends the error for a failed request that may have run.
pub fn write_failed(out: &mut Vec<u8>) {
    let code = SQLSTATE_INTERNAL_ERROR;
    write_error(out, "ERROR", code, "scrapped: it may have run", None);
}

/// Appends an error in the client's statement. The connection stays open.
pub fn write_statement_error(out: &mut Vec<u8>, fault: &ProtocolError) {
    let code = SQLSTATE_SYNTAX_ERROR;
    write_error(out, "ERROR", code, &fault.to_string(), None);
}

/// Appends the error for a violation of the protocol by the client. The connection is closed
/// afterwards.
pub fn write_fatal(out: &mut Vec<u8>, fault: &ProtocolError) {
    let code = SQLSTATE_PROTOCOL_VIOLATION;
    write_error(out, "FATAL", code, &fault.to_string(), None);
}

fn write_error(
    out: &mut Vec<u8>,
    severity: &str,
    code: &str,
    message: &str,
    detail: Option<String>,
) {
    let message = message.replace('\0', " ");
    let mut body = format!("S{severity}\0V{severity}\0C{code}\0M{message}\0");
    if let Some(detail) = detail {
        body += &format!("D{detail}\0");
    }
    body.push('\0');
    write_message(out, b'E', body.as_bytes());
}
