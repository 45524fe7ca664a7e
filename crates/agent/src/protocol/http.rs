//! HTTP/1.1 as discovery speaks it: a GET, and an answer with its body.

use super::{malformed, Malformed};

pub const HEAD_MOST: usize = 16 * 1024;
pub const BODY_MOST: usize = 4 * 1024 * 1024;

pub fn get(host: &str, path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n").into_bytes()
}

#[derive(Debug, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    /// The connection does not go on.
    pub last: bool,
    pub took: usize,
}

/// One whole answer; `None` while it is not whole. `ended` once nothing more will come.
pub fn answer(bytes: &[u8], ended: bool) -> Result<Option<Answer>, Malformed> {
    if !bytes.iter().zip(b"HTTP/1.").all(|(b, h)| b == h) {
        return malformed("HTTP: no status line");
    }
    let Some(head) = bytes
        .windows(4)
        .take(HEAD_MOST)
        .position(|w| w == b"\r\n\r\n")
    else {
        return if bytes.len() > HEAD_MOST {
            malformed("HTTP: a head without end")
        } else {
            Ok(None)
        };
    };
    let text = std::str::from_utf8(&bytes[..head])
        .map_err(|_| Malformed("HTTP: head is not text".into()))?;
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or_default();
    let mut words = first.split(' ');
    let version = words.next().unwrap_or_default();
    let status = words.next().and_then(|s| s.parse::<u16>().ok());
    let Some(status) = status.filter(|s| version.starts_with("HTTP/1.") && (100..600).contains(s))
    else {
        return malformed("HTTP: no status line");
    };
    let (mut length, mut chunked, mut last) = (None, false, version == "HTTP/1.0");
    for line in lines {
        let Some((name, value)) = line.split_once(':') else {
            return malformed("HTTP: a header without ':'");
        };
        let value = value.trim();
        match name.trim().to_ascii_lowercase().as_str() {
            "content-length" => match value.parse::<usize>() {
                Ok(n) if n <= BODY_MOST => length = Some(n),
                Ok(n) => {
                    return malformed(format!(
                        "HTTP: a body of {n} bytes, {BODY_MOST} are read at most"
                    ))
                }
                Err(_) => return malformed("HTTP: content-length"),
            },
            "transfer-encoding" => chunked = value.eq_ignore_ascii_case("chunked"),
            "connection" => last = value.eq_ignore_ascii_case("close"),
            _ => {}
        }
    }
    let rest = &bytes[head + 4..];
    if chunked {
        return Ok(chunks(rest)?.map(|(body, took)| Answer {
            status,
            body,
            last,
            took: head + 4 + took,
        }));
    }
    let whole = match length {
        Some(n) => rest.get(..n),
        None if status == 204 || status == 304 => Some(&rest[..0]),
        None if rest.len() > BODY_MOST => return malformed("HTTP: a body without end"),
        None => ended.then_some(rest),
    };
    let last = last || length.is_none();
    Ok(whole.map(|b| Answer {
        status,
        body: b.to_vec(),
        last,
        took: head + 4 + b.len(),
    }))
}

fn chunks(mut rest: &[u8]) -> Result<Option<(Vec<u8>, usize)>, Malformed> {
    let (mut body, all) = (Vec::new(), rest.len());
    loop {
        let Some(end) = rest.windows(2).take(1024).position(|w| w == b"\r\n") else {
            return if rest.len() > 1024 {
                malformed("HTTP: a chunk without size")
            } else {
                Ok(None)
            };
        };
        let size = std::str::from_utf8(&rest[..end])
            .ok()
            .and_then(|s| s.split(';').next());
        let size = size.and_then(|s| usize::from_str_radix(s.trim(), 16).ok());
        let Some(size) = size.filter(|s| *s <= BODY_MOST - body.len()) else {
            return malformed("HTTP: chunk size");
        };
        let Some(chunk) = rest.get(end + 2..end + 4 + size) else {
            return Ok(None);
        };
        if !chunk.ends_with(b"\r\n") {
            return malformed("HTTP: a chunk longer than its size");
        }
        rest = &rest[end + 4 + size..];
        if size == 0 {
            return Ok(Some((body, all - rest.len())));
        }
        body.extend_from_slice(&chunk[..size]);
    }
}
