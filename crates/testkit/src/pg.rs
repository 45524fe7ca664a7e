//! As much of PostgreSQL's protocol, version 3, as clients and endpoints speak here. Written apart
//! from the agent's own, so that neither hides the other's mistakes.

use async_io::Async;
use futures_lite::AsyncReadExt;
use std::io;
use std::net::TcpStream;

/// Messages longer than this are not read.
const MOST: usize = 1 << 20;

pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![tag];
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
    out
}

/// What a client opens with.
pub fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0worker\0database\0catalog\0\0";
    let mut out = (body.len() as u32 + 4).to_be_bytes().to_vec();
    out.extend(body);
    out
}

pub fn query(text: &str) -> Vec<u8> {
    message(b'Q', &[text.as_bytes(), b"\0"].concat())
}

pub fn ready() -> Vec<u8> {
    message(b'Z', b"I")
}

/// What a server says to a startup message.
pub fn startup_reply() -> Vec<u8> {
    [
        message(b'R', &[0; 4]),
        message(b'S', b"server_version\x0016.0\0"),
        ready(),
    ]
    .concat()
}

/// A row of one column, with what goes before and behind it.
pub fn value_reply(bytes: &[u8]) -> Vec<u8> {
    let mut column = vec![0, 1];
    column.extend(b"body\0");
    column.extend([0, 0, 0, 0, 0, 0]); // no table, no column of it
    column.extend(17u32.to_be_bytes()); // bytea
    column.extend([0xff; 6]); // of any length, no modifier
    column.extend([0, 1]); // binary
    let mut row = vec![0, 1];
    row.extend((bytes.len() as u32).to_be_bytes());
    row.extend(bytes);
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

/// The field of an error or notice.
pub fn error_field(body: &[u8], name: u8) -> Option<String> {
    let field = body.split(|b| *b == 0).find(|f| f.first() == Some(&name))?;
    Some(String::from_utf8_lossy(&field[1..]).into_owned())
}

/// The startup message, and how many bytes it took.
pub async fn read_startup(stream: &mut Async<TcpStream>) -> io::Result<usize> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await?;
    let length = u32::from_be_bytes(length) as usize;
    let mut rest = vec![
        0;
        length
            .checked_sub(4)
            .filter(|n| *n < MOST)
            .ok_or(io::ErrorKind::InvalidData)?
    ];
    stream.read_exact(&mut rest).await?;
    Ok(length)
}

/// The next message.
pub async fn read(stream: &mut Async<TcpStream>) -> io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).await?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let mut body = vec![
        0;
        length
            .checked_sub(4)
            .filter(|n| *n < MOST)
            .ok_or(io::ErrorKind::InvalidData)?
    ];
    stream.read_exact(&mut body).await?;
    Ok((head[0], body))
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
