//! The messages of PostgreSQL's wire protocol, version 3, that the pages use.

use std::io::{self, Read};
use std::net::TcpStream;

/// Returns a message with this type byte.
pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![tag];
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
    out
}

/// Returns a client's startup message.
pub fn startup() -> Vec<u8> {
    let body = b"user\0worker\0database\0catalog\0\0";
    let mut out = (body.len() as u32 + 8).to_be_bytes().to_vec();
    out.extend(196_608u32.to_be_bytes());
    out.extend(body);
    out
}

/// Returns a simple query.
pub fn query(text: &str) -> Vec<u8> {
    message(b'Q', &[text.as_bytes(), b"\0"].concat())
}

/// Returns the reply to a startup message.
pub fn startup_reply() -> Vec<u8> {
    [message(b'R', &[0; 4]), ready()].concat()
}

/// Returns ready-for-query.
pub fn ready() -> Vec<u8> {
    message(b'Z', b"I")
}

/// Returns a whole answer with one value.
pub fn value_answer(value: &[u8]) -> Vec<u8> {
    let mut column = vec![0, 1];
    column.extend(b"body\0");
    column.extend([0; 6]); // table and column number
    column.extend(17u32.to_be_bytes()); // bytea
    column.extend([0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1]); // size, modifier, binary
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

/// Returns a whole answer with an error.
pub fn error_answer(code: &str, text: &str) -> Vec<u8> {
    let body = format!("SERROR\0VERROR\0C{code}\0M{text}\0\0");
    [message(b'E', body.as_bytes()), ready()].concat()
}

/// Reads one message; `None` at the end of the stream before its first byte.
pub fn read_message(stream: &mut TcpStream) -> io::Result<Option<(u8, Vec<u8>)>> {
    let mut tag = [0];
    if stream.read(&mut tag)? == 0 {
        return Ok(None);
    }
    Ok(Some((tag[0], read_body(stream, 4)?)))
}

/// Reads a startup message.
pub fn read_startup(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    read_body(stream, 4)
}

fn read_body(stream: &mut TcpStream, counted: usize) -> io::Result<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let length = u32::from_be_bytes(length) as usize;
    let mut body = vec![0; length.saturating_sub(counted)];
    stream.read_exact(&mut body)?;
    Ok(body)
}

/// Returns a field of the comment of a statement.
pub fn comment_field(statement: &str, name: &str) -> Option<String> {
    let start = statement.rfind("/*")? + 2;
    let comment = statement[start..].trim().strip_suffix("*/")?;
    comment.split(',').find_map(|pair| {
        let (field, value) = pair.split_once('=')?;
        (field.trim() == name).then(|| value.trim().to_owned())
    })
}

/// Returns the SQLSTATE of an error's body.
pub fn error_code(body: &[u8]) -> String {
    body.split(|byte| *byte == 0)
        .find(|field| field.first() == Some(&b'C'))
        .map(|field| String::from_utf8_lossy(&field[1..]).into_owned())
        .unwrap_or_default()
}
