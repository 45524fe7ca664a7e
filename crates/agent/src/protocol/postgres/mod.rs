//! The PostgreSQL protocol, version 3: message framing, the client side and the endpoint side.

mod client;
mod endpoint;
mod response;
mod startup;

pub use client::*;
pub use endpoint::*;
pub use response::*;
pub use startup::*;

use super::error::PostgresError;
use super::ProtocolError;

/// The maximum length of a value in bytes. In a statement it is written as hex digits, which takes
/// twice as many bytes.
const MAX_VALUE_LENGTH: usize = 64 * 1024;
/// The maximum length of a message, in bytes without the type byte.
pub const MAX_MESSAGE_LENGTH: usize = 160 * 1024;
const PROTOCOL_VERSION_3: u32 = 196_608;
/// The length of a message's type byte and length field, in bytes.
const HEADER_LENGTH: usize = 5;

/// SQLSTATE `too_many_connections`: nothing ran, and a retry is safe.
const SQLSTATE_TOO_MANY_CONNECTIONS: &str = "53300";
/// SQLSTATE `cannot_connect_now`: nothing ran, and a retry is safe.
const SQLSTATE_CANNOT_CONNECT_NOW: &str = "57P03";
const SQLSTATE_INTERNAL_ERROR: &str = "XX000";
const SQLSTATE_SYNTAX_ERROR: &str = "42601";
const SQLSTATE_PROTOCOL_VIOLATION: &str = "08P01";

/// A complete message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Message<'a> {
    /// The type byte.
    pub tag: u8,
    /// The content of the message, without the type byte and the length field.
    pub body: &'a [u8],
    /// The length of the whole message in bytes, with the type byte and the length field.
    pub length: usize,
}

/// Parses the first message of `bytes`. Returns `None` while it is incomplete.
pub fn parse_message(bytes: &[u8]) -> Result<Option<Message<'_>>, ProtocolError> {
    Ok(try_parse_message(bytes)?)
}

fn try_parse_message(bytes: &[u8]) -> Result<Option<Message<'_>>, PostgresError> {
    let Some((tag, length)) = parse_header(bytes)? else {
        return Ok(None);
    };
    Ok(bytes
        .get(HEADER_LENGTH..length)
        .map(|body| Message { tag, body, length }))
}

/// Returns the length of the first message of `bytes`, with its type byte and length field; `None`
/// if the length field is incomplete or invalid.
pub fn announced_length(bytes: &[u8]) -> Option<usize> {
    let (_, length) = parse_header(bytes).ok()??;
    Some(length)
}

/// Parses the type of the first message, and its length with the type byte and the length field.
fn parse_header(bytes: &[u8]) -> Result<Option<(u8, usize)>, PostgresError> {
    let (Some(tag), Some(length)) = (bytes.first(), bytes.get(1..).and_then(read_u32)) else {
        return Ok(None);
    };
    let tag = *tag;
    let length = length as usize;
    if !(4..=MAX_MESSAGE_LENGTH).contains(&length) {
        return Err(PostgresError::MessageLength { tag, length });
    }
    Ok(Some((tag, 1 + length)))
}

/// Reads the big-endian number at the start of `bytes`; `None` if there are fewer than 4.
fn read_u32(bytes: &[u8]) -> Option<u32> {
    Some(u32::from_be_bytes(bytes.get(..4)?.try_into().ok()?))
}

fn write_message(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
}
