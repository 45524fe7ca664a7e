//! The part of PostgreSQL's protocol that the stand-ins need.

use std::io::{self, Read, Write};
use std::net::TcpStream;

pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![tag];
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
    out
}

pub fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0worker\0database\0catalog\0\0";
    let mut out = (body.len() as u32 + 4).to_be_bytes().to_vec();
    out.extend(body);
    out
}

pub fn startup_reply() -> Vec<u8> {
    [
        message(b'R', &[0; 4]),
        message(b'S', b"server_version\x0016.0\0"),
        ready(),
    ]
    .concat()
}

pub fn query(text: &str) -> Vec<u8> {
    message(b'Q', &[text.as_bytes(), b"\0"].concat())
}

pub fn ready() -> Vec<u8> {
    message(b'Z', b"I")
}

/// A row with one binary value, up to ready-for-query.
pub fn value_reply(value: &[u8]) -> Vec<u8> {
    let mut column = vec![0, 1];
    column.extend(b"body\0");
    column.extend([0, 0, 0, 0, 0, 0]);
    column.extend(17u32.to_be_bytes());
    column.extend([0xff; 6]);
    column.extend([0, 1]);
    let mut row = vec![0, 1];
    row.extend((value.len() as u32).to_be_bytes());
    row.extend(value);
    [
        message(b'T', &column),
        message(b'D', &row),
        message(b'C', b"SELECT 1\0"),
        ready(),
    ]
    .concat()
}

pub fn error_reply(code: &str, text: &str) -> Vec<u8> {
    let body = format!("SERROR\0VERROR\0C{code}\0M{text}\0\0");
    [message(b'E', body.as_bytes()), ready()].concat()
}

/// Reads a startup message, which has no tag.
pub fn read_startup(stream: &mut impl Read) -> io::Result<()> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let length = u32::from_be_bytes(length) as usize;
    let mut rest = vec![0; length.saturating_sub(4).min(10_000)];
    stream.read_exact(&mut rest)
}

/// Reads a message and returns its tag and body.
pub fn read_message(stream: &mut impl Read) -> io::Result<(u8, Vec<u8>)> {
    let mut header = [0; 5];
    stream.read_exact(&mut header)?;
    let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]) as usize;
    if !(4..1 << 20).contains(&length) {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut body = vec![0; length - 4];
    stream.read_exact(&mut body)?;
    Ok((header[0], body))
}

/// The field with this type of an error's body.
pub fn error_field(body: &[u8], name: u8) -> Option<String> {
    let field = body.split(|b| *b == 0).find(|f| f.first() == Some(&name))?;
    Some(String::from_utf8_lossy(&field[1..]).into_owned())
}

/// The value of `name` in the comment of a statement.
pub fn comment_field(statement: &str, name: &str) -> Option<String> {
    let comment = statement.rsplit_once("/*")?.1.split_once("*/")?.0;
    comment
        .split(',')
        .filter_map(|pair| pair.trim().split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value.trim().to_owned())
}

/// The object that a statement names.
pub fn object_of(statement: &str) -> String {
    statement.split('\'').nth(1).unwrap_or_default().to_owned()
}

/// Whether the other side has closed the connection, without reading from it.
pub fn is_closed(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

pub fn write(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    stream.write_all(bytes)
}
