//! The subset of the PostgreSQL protocol, version 3, that test clients and fake endpoints use. It
//! shares no code with the agent's implementation, so that an error in one is not hidden by the
//! same error in the other.

use async_io::Async;
use futures_lite::AsyncReadExt;
use std::io;
use std::net::TcpStream;

/// Bodies of this many bytes or more are rejected.
const MAX_BODY: usize = 1 << 20;
/// Size of a message's length field.
pub const LENGTH_BYTES: usize = 4;
/// Size of a message's tag and length field.
pub const HEADER_BYTES: usize = 1 + LENGTH_BYTES;
/// The tag of a `Query` message.
pub const QUERY: u8 = b'Q';
/// The tag of an `ErrorResponse` message.
pub const ERROR: u8 = b'E';
/// The tag of a `DataRow` message.
pub const DATA_ROW: u8 = b'D';
/// The tag of a `ReadyForQuery` message.
pub const READY: u8 = b'Z';
/// The object id of the type `bytea`.
const BYTEA: u32 = 17;

/// Encodes a message with this tag and body.
pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![tag];
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
    out
}

/// Encodes a client's startup message.
pub fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0worker\0database\0catalog\0\0";
    let mut out = (body.len() as u32 + 4).to_be_bytes().to_vec();
    out.extend(body);
    out
}

/// Encodes a `Query` message with this text.
pub fn query(text: &str) -> Vec<u8> {
    message(QUERY, &[text.as_bytes(), b"\0"].concat())
}

/// Encodes a `ReadyForQuery` message outside of a transaction.
pub fn ready() -> Vec<u8> {
    message(READY, b"I")
}

/// Encodes a server's reply to a startup message, up to `ReadyForQuery`.
pub fn startup_reply() -> Vec<u8> {
    [
        message(b'R', &[0; 4]),
        message(b'S', b"server_version\x0016.0\0"),
        ready(),
    ]
    .concat()
}

/// Encodes a result of one row with one column, from `RowDescription` to `ReadyForQuery`.
pub fn value_reply(bytes: &[u8]) -> Vec<u8> {
    let mut column = vec![0, 1];
    column.extend(b"body\0");
    column.extend([0, 0, 0, 0, 0, 0]); // table and column number: none
    column.extend(BYTEA.to_be_bytes());
    column.extend([0xff; 6]); // type size: variable; type modifier: none
    column.extend([0, 1]); // format: binary
    let mut row = vec![0, 1];
    row.extend((bytes.len() as u32).to_be_bytes());
    row.extend(bytes);
    [
        message(b'T', &column),
        message(DATA_ROW, &row),
        message(b'C', b"SELECT 1\0"),
        ready(),
    ]
    .concat()
}

/// Encodes an `ErrorResponse` with this SQLSTATE code, followed by `ReadyForQuery`.
pub fn error_reply(code: &str, text: &str) -> Vec<u8> {
    let body = format!("SERROR\0VERROR\0C{code}\0M{text}\0\0");
    [message(ERROR, body.as_bytes()), ready()].concat()
}

/// Returns the field with this type of an `ErrorResponse` or `NoticeResponse` body; `None` if it is
/// absent.
pub fn error_field(body: &[u8], name: u8) -> Option<String> {
    let field = body.split(|b| *b == 0).find(|f| f.first() == Some(&name))?;
    Some(String::from_utf8_lossy(&field[1..]).into_owned())
}

/// Reads the startup message and returns its length in bytes.
pub async fn read_startup(stream: &mut Async<TcpStream>) -> io::Result<usize> {
    let mut length = [0; LENGTH_BYTES];
    stream.read_exact(&mut length).await?;
    let mut rest = vec![0; check_body_limit(body_length(length)?)?];
    stream.read_exact(&mut rest).await?;
    Ok(LENGTH_BYTES + rest.len())
}

/// Reads the next message and returns its tag and body.
pub async fn read(stream: &mut Async<TcpStream>) -> io::Result<(u8, Vec<u8>)> {
    let mut header = [0; HEADER_BYTES];
    stream.read_exact(&mut header).await?;
    let [tag, length @ ..] = header;
    let mut body = vec![0; check_body_limit(body_length(length)?)?];
    stream.read_exact(&mut body).await?;
    Ok((tag, body))
}

/// Returns the length of a message body from the message's length field, which counts itself.
///
/// Fails with [`io::ErrorKind::InvalidData`] if the field is smaller than its own size.
pub fn body_length(length: [u8; LENGTH_BYTES]) -> io::Result<usize> {
    let length = u32::from_be_bytes(length) as usize;
    let body = length.checked_sub(LENGTH_BYTES);
    body.ok_or_else(|| io::ErrorKind::InvalidData.into())
}

fn check_body_limit(length: usize) -> io::Result<usize> {
    if length < MAX_BODY {
        Ok(length)
    } else {
        Err(io::ErrorKind::InvalidData.into())
    }
}

/// Iterates over the names and values in the last comment of a statement.
pub fn comment_fields(statement: &str) -> impl Iterator<Item = (&str, &str)> {
    let comment = statement
        .rsplit_once("/*")
        .and_then(|(_, c)| c.split_once("*/"))
        .map_or("", |(c, _)| c);
    comment
        .split(',')
        .filter_map(|pair| pair.trim().split_once('='))
}
