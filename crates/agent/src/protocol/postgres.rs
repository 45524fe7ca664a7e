//! PostgreSQL's protocol, version 3: framing, what a client opens with, what an endpoint answers.

use super::{malformed, Malformed};
use std::time::Duration;

/// A value holds 64 KiB at most; written as hex digits in a statement it takes twice that.
const VALUE_MOST: usize = 64 * 1024;
pub const MESSAGE_MOST: usize = 160 * 1024;
const STARTUP_MOST: usize = 10_000;
const VERSION_3: u32 = 196_608;
const SSL_REQUEST: u32 = 80_877_103;
const GSS_REQUEST: u32 = 80_877_104;
const CANCEL_REQUEST: u32 = 80_877_102;

/// Answers that say a retry is harmless.
const TOO_MANY: &[u8] = b"53300";
const CANNOT_NOW: &[u8] = b"57P03";

#[derive(Debug, PartialEq)]
pub enum Opening {
    Startup,
    Encryption,
    Cancel,
}

fn number(bytes: &[u8]) -> Option<u32> {
    Some(u32::from_be_bytes(bytes.get(..4)?.try_into().ok()?))
}

/// What a client opens with, and how many bytes that took; `None` while it is not whole.
pub fn opening(bytes: &[u8]) -> Result<Option<(Opening, usize)>, Malformed> {
    let Some(length) = number(bytes) else {
        return Ok(None);
    };
    let length = length as usize;
    if !(8..=STARTUP_MOST).contains(&length) {
        return malformed(format!("startup message of {length} bytes"));
    }
    let Some(code) = bytes.get(4..).and_then(number) else {
        return Ok(None);
    };
    let opening = match code {
        VERSION_3 => Opening::Startup,
        SSL_REQUEST | GSS_REQUEST => Opening::Encryption,
        CANCEL_REQUEST => Opening::Cancel,
        other => {
            return malformed(format!(
                "protocol version {}.{}",
                other >> 16,
                other & 0xffff
            ))
        }
    };
    Ok((bytes.len() >= length).then_some((opening, length)))
}

/// A message: its tag, its body and how many bytes it took.
pub type Message<'a> = (u8, &'a [u8], usize);

/// One whole message; `None` while it is not whole.
pub fn message(bytes: &[u8]) -> Result<Option<Message<'_>>, Malformed> {
    let (Some(tag), Some(length)) = (bytes.first(), bytes.get(1..).and_then(number)) else {
        return Ok(None);
    };
    let length = length as usize;
    if !(4..=MESSAGE_MOST).contains(&length) {
        return malformed(format!(
            "message '{}' of {length} bytes",
            tag.escape_ascii()
        ));
    }
    Ok(bytes
        .get(5..1 + length)
        .map(|body| (*tag, body, 1 + length)))
}

fn put(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
}

/// What an agent opens a connection to an endpoint with.
pub fn startup(user: &str, database: &str) -> Vec<u8> {
    let body = format!("user\0{user}\0database\0{database}\0\0");
    let mut out = (body.len() as u32 + 8).to_be_bytes().to_vec();
    out.extend_from_slice(&VERSION_3.to_be_bytes());
    out.extend_from_slice(body.as_bytes());
    out
}

pub fn query(text: &str) -> Vec<u8> {
    let mut out = Vec::with_capacity(text.len() + 6);
    out.push(b'Q');
    out.extend_from_slice(&(text.len() as u32 + 5).to_be_bytes());
    out.extend_from_slice(text.as_bytes());
    out.push(0);
    out
}

/// The statement of a query message.
pub fn text(body: &[u8]) -> Result<&str, Malformed> {
    let Some((0, text)) = body.split_last() else {
        return malformed("a query without its closing zero");
    };
    if text.contains(&0) {
        return malformed("a query with a zero byte in it");
    }
    std::str::from_utf8(text).map_err(|_| Malformed("a query that is not UTF-8".into()))
}

/// What follows a client's startup message.
pub fn welcome(out: &mut Vec<u8>) {
    put(out, b'R', &0u32.to_be_bytes());
    for (name, value) in [("server_version", "15.0"), ("client_encoding", "UTF8")] {
        put(out, b'S', format!("{name}\0{value}\0").as_bytes());
    }
    put(out, b'K', &[0; 8]);
    ready(out);
}

pub fn ready(out: &mut Vec<u8>) {
    put(out, b'Z', b"I");
}

pub fn empty(out: &mut Vec<u8>) {
    put(out, b'I', b"");
}

pub fn complete(out: &mut Vec<u8>, what: &str) {
    put(out, b'C', format!("{what}\0").as_bytes());
}

fn error(out: &mut Vec<u8>, severity: &str, code: &str, text: &str, detail: Option<String>) {
    let mut body = format!(
        "S{severity}\0V{severity}\0C{code}\0M{}\0",
        text.replace('\0', " ")
    );
    if let Some(detail) = detail {
        body += &format!("D{detail}\0");
    }
    body.push('\0');
    put(out, b'E', body.as_bytes());
}

/// A retry is harmless, after so long where that is said.
pub fn rejected(out: &mut Vec<u8>, retry_after: Option<Duration>) {
    let detail = retry_after.map(|t| t.as_millis().to_string());
    error(out, "ERROR", "53300", "denied: a retry is harmless", detail);
}

/// There is no room for this client: nothing of it was taken, a retry is harmless.
pub fn no_room(out: &mut Vec<u8>) {
    error(out, "FATAL", "53300", "too many clients", None);
}

pub fn scrapped(out: &mut Vec<u8>) {
    error(out, "ERROR", "XX000", "scrapped: it may have run", None);
}

/// The client's own fault, named; the connection goes on.
pub fn faulty(out: &mut Vec<u8>, fault: &Malformed) {
    error(out, "ERROR", "42601", &fault.0, None);
}

/// The client does not keep to the protocol; the connection ends.
pub fn fatal(out: &mut Vec<u8>, fault: &Malformed) {
    error(out, "FATAL", "08P01", &fault.0, None);
}

/// The longest message of each kind that an endpoint may send; none that is not listed here belongs
/// in an answer.
const ANSWERS: [(u8, usize); 9] = [
    (b'T', 1024),
    (b'D', VALUE_MOST + 10),
    (b'C', 256),
    (b'Z', 5),
    (b'E', 16 * 1024),
    (b'N', 16 * 1024),
    (b'S', 16 * 1024),
    (b'K', 64),
    (b'R', 64),
];

/// One whole message of an endpoint; `None` while it is not whole. What can be no message of an
/// answer is told by its first bytes: a value that is declared too large is not waited for.
pub fn answer(bytes: &[u8]) -> Result<Option<Message<'_>>, Malformed> {
    let Some(tag) = bytes.first() else {
        return Ok(None);
    };
    let Some((_, most)) = ANSWERS.iter().find(|(t, _)| t == tag) else {
        return malformed(format!("message '{}' out of place", tag.escape_ascii()));
    };
    let Some(length) = bytes.get(1..).and_then(number) else {
        return Ok(None);
    };
    if length as usize > *most || (*tag == b'Z' && length != 5) {
        return malformed(format!(
            "message '{}' of {length} bytes",
            tag.escape_ascii()
        ));
    }
    if let (b'D', Some(value)) = (tag, bytes.get(7..).and_then(number)) {
        if value as usize + 10 != length as usize {
            return malformed(format!("a value of {value} bytes in a row of {length}"));
        }
    }
    message(bytes)
}

/// How an endpoint ended a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Value,
    Failed,
    TurnedAway,
}

/// An endpoint's answer to one query as it comes in, message by message.
#[derive(Default)]
pub struct Hearing {
    /// The messages of the value, as the endpoint made them.
    pub value: Vec<u8>,
    pub verdict: Option<Verdict>,
    /// Requests that the endpoint said it held.
    pub held: Option<f64>,
    rows: usize,
    described: bool,
}

impl Hearing {
    /// Whether something of the answer itself has come.
    pub fn begun(&self) -> bool {
        self.described || self.verdict.is_some()
    }

    /// Takes the next message with its whole bytes; true once the connection is ready for the next
    /// query. Notices are passed over, whatever they hold, and so is what can't be read of a load
    /// report.
    pub fn hear(&mut self, tag: u8, body: &[u8], whole: &[u8]) -> Result<bool, Malformed> {
        let open = self.verdict.is_none();
        match tag {
            b'S' => {
                self.held = held(body).or(self.held);
                return Ok(false);
            }
            b'N' | b'K' => return Ok(false),
            b'R' if body.get(..4) == Some(&[0; 4]) => return Ok(false),
            // Ready within a row: the value is not whole.
            b'Z' if matches!(body, b"I" | b"T" | b"E") && !(open && self.described) => {
                return Ok(true)
            }
            b'E' if open => {
                let Some(code) = code(body) else {
                    return malformed("an error that can't be read");
                };
                let away = code == TOO_MANY || code == CANNOT_NOW;
                self.value = Vec::new();
                self.verdict = Some(if away {
                    Verdict::TurnedAway
                } else {
                    Verdict::Failed
                });
                return Ok(false);
            }
            b'T' if open && !self.described && one_column(body) => self.described = true,
            b'D' if open && self.described && self.rows == 0 && one_value(body) => self.rows = 1,
            b'C' if open && self.rows == 1 && named(body) => self.verdict = Some(Verdict::Value),
            _ => return malformed(format!("message '{}' out of place", tag.escape_ascii())),
        }
        self.value.extend_from_slice(whole);
        Ok(false)
    }
}

/// The requests in flight that a load report names: `pressure`, then `inflight=7,util=0.61`.
fn held(status: &[u8]) -> Option<f64> {
    let fields =
        std::str::from_utf8(status.strip_prefix(b"pressure\0")?.strip_suffix(b"\0")?).ok()?;
    let value = fields
        .split(',')
        .find_map(|f| f.trim().strip_prefix("inflight="))?;
    value.parse::<f64>().ok().filter(|n| (0.0..1e6).contains(n))
}

/// A description of one column: its name, then 18 bytes of numbers.
fn one_column(body: &[u8]) -> bool {
    let name = body
        .get(2..)
        .and_then(|rest| rest.iter().position(|b| *b == 0));
    body.get(..2) == Some(&[0, 1]) && name.is_some_and(|n| body.len() == 2 + n + 1 + 18)
}

/// A row of one value, of just the length that it says.
fn one_value(body: &[u8]) -> bool {
    let length = body.get(2..).and_then(number);
    body.get(..2) == Some(&[0, 1]) && length.is_some_and(|n| body.len() - 6 == n as usize)
}

/// The words of a request that was completed.
fn named(body: &[u8]) -> bool {
    let word = |b: &u8| b.is_ascii_alphanumeric() || *b == b' ';
    matches!(body.split_last(), Some((0, words)) if !words.is_empty() && words.iter().all(word))
}

/// The code of an error that is whole: fields with an end each, and an end of all.
fn code(body: &[u8]) -> Option<&[u8]> {
    let fields = body.strip_suffix(b"\0\0")?;
    fields
        .split(|b| *b == 0)
        .all(|f| !f.is_empty())
        .then_some(())?;
    field(fields, b'C').filter(|c| c.len() == 5 && c.iter().all(u8::is_ascii_alphanumeric))
}

/// One field of an error message.
fn field(body: &[u8], name: u8) -> Option<&[u8]> {
    body.split(|b| *b == 0)
        .find(|f| f.first() == Some(&name))
        .map(|f| &f[1..])
}
