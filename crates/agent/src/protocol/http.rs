//! The subset of HTTP/1.1 for the discovery service: a GET request, and a response with its body.

use super::error::HttpError;
use super::limits::MAX_BODY_LENGTH;
use super::ProtocolError;

/// The maximum length of a response head, in bytes.
pub const MAX_HEAD_LENGTH: usize = 16 * 1024;
/// The maximum length of a chunk's size line, in bytes.
const MAX_CHUNK_SIZE_LINE: usize = 1024;
const END_OF_HEAD: &[u8] = b"\r\n\r\n";
const END_OF_LINE: &[u8] = b"\r\n";

/// Returns a GET request for `path` as it is written to the connection.
pub fn get_request(host: &str, path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n").into_bytes()
}

/// A complete response.
#[derive(Debug, PartialEq)]
pub struct HttpResponse {
    /// The status code, from 100 to 599.
    pub status: u16,
    /// The body, without chunk framing.
    pub body: Vec<u8>,
    /// Whether the server closes the connection after this response.
    pub closes_connection: bool,
    /// The length of the response in bytes, with its head and its framing.
    pub length: usize,
}

/// The head of a response: how the body is delimited, and whether the connection is closed after
/// it.
struct Head {
    status: u16,
    content_length: Option<usize>,
    chunked: bool,
    closes_connection: bool,
}

/// Parses one response. Returns `None` while it is incomplete. `ended` says that the server has
/// closed the connection, so that no more bytes will arrive.
pub fn parse_response(bytes: &[u8], ended: bool) -> Result<Option<HttpResponse>, ProtocolError> {
    Ok(try_parse_response(bytes, ended)?)
}

fn try_parse_response(bytes: &[u8], ended: bool) -> Result<Option<HttpResponse>, HttpError> {
    if !bytes.iter().zip(b"HTTP/1.").all(|(b, h)| b == h) {
        return Err(HttpError::MissingStatusLine);
    }
    let Some(head_length) = find_end_of_head(bytes)? else {
        return Ok(None);
    };
    let head = parse_head(&bytes[..head_length])?;
    let body_start = head_length + END_OF_HEAD.len();
    let rest = &bytes[body_start..];
    if head.chunked {
        let chunked = parse_chunked_body(rest)?;
        return Ok(chunked.map(|(body, length)| HttpResponse {
            status: head.status,
            body,
            closes_connection: head.closes_connection,
            length: body_start + length,
        }));
    }
    let body = match head.content_length {
        Some(length) => rest.get(..length),
        None if head.status == 204 || head.status == 304 => Some(&rest[..0]),
        None if rest.len() > MAX_BODY_LENGTH => return Err(HttpError::UnboundedBody),
        None => ended.then_some(rest),
    };
    Ok(body.map(|body| HttpResponse {
        status: head.status,
        body: body.to_vec(),
        closes_connection: head.closes_connection || head.content_length.is_none(),
        length: body_start + body.len(),
    }))
}

/// Returns the length of the head without the empty line that ends it; `None` while that line has
/// not been received.
fn find_end_of_head(bytes: &[u8]) -> Result<Option<usize>, HttpError> {
    let end = bytes
        .windows(END_OF_HEAD.len())
        .take(MAX_HEAD_LENGTH)
        .position(|window| window == END_OF_HEAD);
    if end.is_none() && bytes.len() > MAX_HEAD_LENGTH {
        return Err(HttpError::HeadTooLong);
    }
    Ok(end)
}

fn parse_head(bytes: &[u8]) -> Result<Head, HttpError> {
    let text = std::str::from_utf8(bytes).map_err(|_| HttpError::HeadNotText)?;
    let mut lines = text.split("\r\n");
    let mut head = parse_status_line(lines.next().unwrap_or_default())?;
    for line in lines {
        let Some((name, value)) = line.split_once(':') else {
            return Err(HttpError::MalformedHeader);
        };
        let value = value.trim();
        match name.trim().to_ascii_lowercase().as_str() {
            "content-length" => head.content_length = Some(parse_content_length(value)?),
            "transfer-encoding" => head.chunked = value.eq_ignore_ascii_case("chunked"),
            "connection" => head.closes_connection = value.eq_ignore_ascii_case("close"),
            _ => {}
        }
    }
    Ok(head)
}

fn parse_status_line(line: &str) -> Result<Head, HttpError> {
    let mut words = line.split(' ');
    let version = words.next().unwrap_or_default();
    let status = words.next().and_then(|word| word.parse::<u16>().ok());
    match status {
        Some(status) if version.starts_with("HTTP/1.") && (100..600).contains(&status) => {
            Ok(Head {
                status,
                content_length: None,
                chunked: false,
                closes_connection: version == "HTTP/1.0",
            })
        }
        _ => Err(HttpError::MissingStatusLine),
    }
}

fn parse_content_length(value: &str) -> Result<usize, HttpError> {
    match value.parse::<usize>() {
        Ok(length) if length <= MAX_BODY_LENGTH => Ok(length),
        Ok(length) => Err(HttpError::BodyTooLong { length }),
        Err(_) => Err(HttpError::InvalidContentLength),
    }
}

/// Returns the body and its length in bytes with the framing; `None` while it is incomplete.
fn parse_chunked_body(bytes: &[u8]) -> Result<Option<(Vec<u8>, usize)>, HttpError> {
    let mut body = Vec::new();
    let mut rest = bytes;
    loop {
        let size_line_length = rest
            .windows(END_OF_LINE.len())
            .take(MAX_CHUNK_SIZE_LINE)
            .position(|window| window == END_OF_LINE);
        let Some(size_line_length) = size_line_length else {
            return if rest.len() > MAX_CHUNK_SIZE_LINE {
                Err(HttpError::MissingChunkSize)
            } else {
                Ok(None)
            };
        };
        let size = parse_chunk_size(&rest[..size_line_length])
            .filter(|size| *size <= MAX_BODY_LENGTH - body.len())
            .ok_or(HttpError::InvalidChunkSize)?;
        let data_start = size_line_length + END_OF_LINE.len();
        let data_end = data_start + size;
        let chunk_end = data_end + END_OF_LINE.len();
        let Some(framed) = rest.get(data_start..chunk_end) else {
            return Ok(None);
        };
        if !framed.ends_with(END_OF_LINE) {
            return Err(HttpError::ChunkLengthMismatch);
        }
        rest = &rest[chunk_end..];
        if size == 0 {
            return Ok(Some((body, bytes.len() - rest.len())));
        }
        body.extend_from_slice(&framed[..size]);
    }
}

/// Parses the size of a chunk. Chunk extensions are ignored.
fn parse_chunk_size(line: &[u8]) -> Option<usize> {
    let text = std::str::from_utf8(line).ok()?;
    let size = text.split(';').next()?;
    usize::from_str_radix(size.trim(), 16).ok()
}
