//! As much of PostgreSQL's protocol, version 3, as clients and endpoints speak here. Written apart
//! from the agent's own, so that neither hides the other's mistakes.

use async_io::Async;
use futures_lite::AsyncReadExt;
use std::io;
use std::net::TcpStream;

/// Bodies of this many bytes, and longer ones, are not read.
const MAX_BODY: usize = 1 << 20;
/// The length field of a message.
pub const LENGTH_BYTES: usize = 4;
/// Tag and length field of a message.
pub const HEADER_BYTES: usize = 1 + LENGTH_BYTES;
/// The tag of a query.
pub const QUERY: u8 = b'Q';
/// The tag of an error.
pub const ERROR: u8 = b'E';
/// The tag of a row.
pub const DATA_ROW: u8 = b'D';
/// The tag of what says that the next query may come.
pub const READY: u8 = b'Z';
/// The object id of the type `bytea`.
const BYTEA: u32 = 17;

/// A message with this tag and body.
pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![tag];
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
    out
}

/// The startup message of a client.
pub fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0worker\0database\0catalog\0\0";
    let mut out = (body.len() as u32 + 4).to_be_bytes().to_vec();
    out.extend(body);
    out
}

/// A query with this text.
pub fn query(text: &str) -> Vec<u8> {
    message(QUERY, &[text.as_bytes(), b"\0"].concat())
}

/// Says that the next query may come.
pub fn ready() -> Vec<u8> {
    message(READY, b"I")
}

/// The reply of a server to a startup message.
pub fn startup_reply() -> Vec<u8> {
    [
        message(b'R', &[0; 4]),
        message(b'S', b"server_version\x0016.0\0"),
        ready(),
    ]
    .concat()
}

/// The reply with one row of one column, from its description to the ready message.
pub fn value_reply(bytes: &[u8]) -> Vec<u8> {
    let mut column = vec![0, 1];
    column.extend(b"body\0");
    column.extend([0, 0, 0, 0, 0, 0]); // no table, no column of it
    column.extend(BYTEA.to_be_bytes());
    column.extend([0xff; 6]); // of any length, no modifier
    column.extend([0, 1]); // binary
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

/// The reply with an error of this code.
pub fn error_reply(code: &str, text: &str) -> Vec<u8> {
    let body = format!("SERROR\0VERROR\0C{code}\0M{text}\0\0");
    [message(ERROR, body.as_bytes()), ready()].concat()
}

/// The field of an error or notice.
pub fn error_field(body: &[u8], name: u8) -> Option<String> {
    let field = body.split(|b| *b == 0).find(|f| f.first() == Some(&name))?;
    Some(String::from_utf8_lossy(&field[1..]).into_owned())
}

/// Reads the startup message; how many bytes it took.
pub async fn read_startup(stream: &mut Async<TcpStream>) -> io::Result<usize> {
    let mut length = [0; LENGTH_BYTES];
    stream.read_exact(&mut length).await?;
    let mut rest = vec![0; limited(body_length(length)?)?];
    stream.read_exact(&mut rest).await?;
    Ok(LENGTH_BYTES + rest.len())
}

/// Reads the next message: its tag and its body.
pub async fn read(stream: &mut Async<TcpStream>) -> io::Result<(u8, Vec<u8>)> {
    let mut header = [0; HEADER_BYTES];
    stream.read_exact(&mut header).await?;
    let [tag, length @ ..] = header;
    let mut body = vec![0; limited(body_length(length)?)?];
    stream.read_exact(&mut body).await?;
    Ok((tag, body))
}

/// The length of a body whose message has this length field, which counts itself.
pub fn body_length(length: [u8; LENGTH_BYTES]) -> io::Result<usize> {
    let length = u32::from_be_bytes(length) as usize;
    let body = length.checked_sub(LENGTH_BYTES);
    body.ok_or_else(|| io::ErrorKind::InvalidData.into())
}

fn limited(length: usize) -> io::Result<usize> {
    if length < MAX_BODY {
        Ok(length)
    } else {
        Err(io::ErrorKind::InvalidData.into())
    }
}

/// The names and values in the comment of a statement.
pub fn comment_fields(statement: &str) -> impl Iterator<Item = (&str, &str)> {
    let inside = statement
        .rsplit_once("/*")
        .and_then(|(_, c)| c.split_once("*/"))
        .map_or("", |(c, _)| c);
    inside
        .split(',')
        .filter_map(|pair| pair.trim().split_once('='))
}
