//! Parsing of single PostgreSQL protocol messages sent by an agent.

use super::{ProtocolError, Response};
use std::time::Duration;

/// The longest accepted body of an error message, in bytes.
pub const MAX_ERROR_BYTES: usize = 16 * 1024;
/// The size of a message header: the tag byte and the length field.
const HEADER_BYTES: usize = 5;
/// The size of the length field, which the length of a message includes.
const LENGTH_BYTES: usize = 4;
/// The longest command tag, in bytes.
const MAX_COMMAND_TAG_BYTES: usize = 256;
/// The size of the column attributes after a column's name: table, type, size and format.
const COLUMN_ATTRIBUTE_BYTES: usize = 18;
/// The size of a data row's header: the number of columns and the length of the first value.
const ROW_HEADER_BYTES: usize = 6;
/// The encoded count of one column or value.
const ONE: [u8; 2] = [0, 1];
/// A longer retry-after is shortened to one day.
const MAX_RETRY_AFTER_MS: u64 = 86_400_000;
/// The SQLSTATE of a request that was rejected before it ran: `too_many_connections`.
const CODE_REJECTED: &str = "53300";
/// The SQLSTATE of an agent that is shutting down: `cannot_connect_now`.
const CODE_DRAINING: &str = "57P03";

/// A complete message.
pub struct Frame<'a> {
    pub tag: u8,
    pub body: &'a [u8],
    /// The size of the whole message in bytes, including its header.
    pub length: usize,
}

/// Parses the message at the start of `bytes`; `None` if it is incomplete.
pub fn next_frame(bytes: &[u8], max_body: usize) -> Result<Option<Frame<'_>>, ProtocolError> {
    let Some(header) = bytes.get(..HEADER_BYTES) else {
        return Ok(None);
    };
    let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]) as usize;
    let limit = max_body + LENGTH_BYTES;
    if length < LENGTH_BYTES || length > limit {
        return Err(ProtocolError::FrameLength { length, limit });
    }
    let end = 1 + length;
    Ok(bytes.get(HEADER_BYTES..end).map(|body| Frame {
        tag: header[0],
        body,
        length: end,
    }))
}

/// Returns whether `body` is a command tag: a text that ends with the only zero byte.
pub fn is_command_tag(body: &[u8]) -> bool {
    let Some((terminator, text)) = body.split_last() else {
        return false;
    };
    body.len() <= MAX_COMMAND_TAG_BYTES && *terminator == 0 && !text.contains(&0)
}

/// Checks that a row description describes exactly one column, whatever its name.
pub fn check_row_description(body: &[u8]) -> Result<(), ProtocolError> {
    let malformed = ProtocolError::MalformedRowDescription;
    let (count, column) = body.split_at_checked(ONE.len()).ok_or(malformed)?;
    let name_length = column.iter().position(|b| *b == 0).ok_or(malformed)?;
    if count == ONE && column.len() == name_length + 1 + COLUMN_ATTRIBUTE_BYTES {
        Ok(())
    } else {
        Err(malformed)
    }
}

/// Parses a data row of one column and returns its value.
pub fn parse_data_row(body: &[u8], max_value_bytes: usize) -> Result<Vec<u8>, ProtocolError> {
    let malformed = ProtocolError::MalformedDataRow {
        limit: max_value_bytes,
    };
    let (header, value) = body.split_at_checked(ROW_HEADER_BYTES).ok_or(malformed)?;
    let length = u32::from_be_bytes([header[2], header[3], header[4], header[5]]) as usize;
    if header[..2] == ONE && length == value.len() && length <= max_value_bytes {
        Ok(value.to_vec())
    } else {
        Err(malformed)
    }
}

/// Parses an error message into the response that its code stands for.
pub fn parse_error(body: &[u8]) -> Result<Response, ProtocolError> {
    let malformed = ProtocolError::MalformedError;
    if body.len() > MAX_ERROR_BYTES {
        return Err(malformed);
    }
    let fields = body.strip_suffix(&[0, 0]).ok_or(malformed)?;
    let code = error_field(fields, b'C')
        .filter(|code| code.len() == 5)
        .ok_or(malformed)?;
    Ok(match code.as_str() {
        CODE_REJECTED => Response::Rejected {
            retry_after: error_field(fields, b'D').and_then(|detail| parse_retry_after(&detail)),
        },
        CODE_DRAINING => Response::Draining,
        _ => Response::Error {
            code,
            message: error_field(fields, b'M').unwrap_or_default(),
        },
    })
}

/// Returns the text of the first field of this type, or `None` if there is none.
fn error_field(fields: &[u8], field_type: u8) -> Option<String> {
    let mut fields = fields.split(|b| *b == 0);
    let field = fields.find(|field| field.first() == Some(&field_type))?;
    Some(String::from_utf8_lossy(&field[1..]).into_owned())
}

/// Parses a retry-after in milliseconds; `None` if the text is not a number.
fn parse_retry_after(detail: &str) -> Option<Duration> {
    let milliseconds = detail.trim().parse::<u64>().ok()?;
    Some(Duration::from_millis(milliseconds.min(MAX_RETRY_AFTER_MS)))
}
