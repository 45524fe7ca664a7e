//! Parsing of clients' statements, which carry the attributes of a request in a comment.

use super::buffer::{counted_bytes, MemoryReservation};
use super::error::{quote, StatementError};
use super::ProtocolError;
use std::fmt;
use std::ops::Range;
use std::time::Duration;

/// A client's statement and the attributes of its request. It holds its text once, however long its
/// parts are.
#[derive(Debug, PartialEq)]
pub struct Statement {
    /// Whether the request carries a key by which repetitions are deduplicated.
    pub has_deduplication_key: bool,
    /// The time for which the client waits for the response, at most one hour.
    pub client_timeout: Duration,
    /// The client's estimate of the work; `None` if it is missing or unreadable.
    pub estimated_work: Option<Duration>,
    /// Whether the client marks the request as a retry.
    pub is_retry: bool,
    text: Box<str>,
    /// The positions of parts in `text`.
    id: Range<usize>,
    class: Range<usize>,
    tenant: Option<Range<usize>>,
    object: Range<usize>,
    timeout: Range<usize>,
    _reservation: MemoryReservation,
}

/// The text of a statement with another timeout, as the pieces of which it consists.
pub struct TimedStatement<'a> {
    /// The text up to the timeout.
    pub before: &'a str,
    /// The timeout in milliseconds.
    pub timeout: String,
    /// The text after the timeout.
    pub after: &'a str,
}

impl TimedStatement<'_> {
    /// Returns the length of the text in bytes.
    pub fn length(&self) -> usize {
        self.before.len() + self.timeout.len() + self.after.len()
    }
}

impl fmt::Display for TimedStatement<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}{}{}", self.before, self.timeout, self.after)
    }
}

/// The pieces of the supported statements, with a quoted literal between any two.
const SELECT_PIECES: [&str; 2] = ["SELECT body FROM objects WHERE oid = ", ""];
const INSERT_PIECES: [&str; 3] = [
    "INSERT INTO objects (oid, body) VALUES (",
    ", ",
    ") RETURNING body",
];
/// Longer timeouts are reduced to this number of milliseconds (one hour), so that sums of times do
/// not overflow.
const MAX_TIMEOUT_MS: f64 = 3_600_000.0;

/// The attributes of a comment, before they are checked.
#[derive(Default)]
struct Attributes<'a> {
    id: Option<&'a str>,
    class: Option<&'a str>,
    tenant: Option<&'a str>,
    has_deduplication_key: bool,
    estimated_work: Option<Duration>,
    is_retry: bool,
    /// The value of the timeout, and its position in the statement.
    client_timeout: Option<(&'a str, Range<usize>)>,
}

impl<'a> Attributes<'a> {
    /// Parses the inside of a comment that begins at byte `offset` of the statement.
    fn parse(comment: &'a str, offset: usize) -> Result<Attributes<'a>, StatementError> {
        let mut attributes = Attributes::default();
        let mut offset = offset;
        for pair in comment.split(',') {
            let Some((name, value)) = pair.split_once('=') else {
                return Err(StatementError::MalformedAttribute(quote(pair)));
            };
            let value_start = offset + name.len() + 1;
            let value_range = value_start..value_start + value.len();
            offset += pair.len() + 1;
            attributes.set(name.trim(), value.trim(), value_range);
        }
        Ok(attributes)
    }

    fn set(&mut self, name: &str, value: &'a str, value_range: Range<usize>) {
        match name {
            "id" => self.id = Some(value).filter(|value| !value.is_empty()),
            "c" => self.class = Some(value),
            "t" => self.tenant = Some(value),
            "k" => self.has_deduplication_key = !value.is_empty(),
            "h" => {
                let microseconds = value.parse::<u32>().ok();
                self.estimated_work = microseconds.map(|us| Duration::from_micros(us.into()));
            }
            "r" => self.is_retry = value == "1",
            "d" => self.client_timeout = Some((value, value_range)),
            _ => {}
        }
    }
}

impl Statement {
    /// Parses a statement of one of the two supported forms.
    pub fn parse(text: &str) -> Result<Statement, ProtocolError> {
        Ok(Statement::try_parse(text)?)
    }

    fn try_parse(text: &str) -> Result<Statement, StatementError> {
        let comment_start = text.rfind("/*").ok_or(StatementError::MissingComment)?;
        let attributes_start = comment_start + 2;
        let comment = text[attributes_start..]
            .trim_end()
            .strip_suffix("*/")
            .ok_or(StatementError::UnclosedComment)?;
        let sql = &text[..comment_start];
        let object = match_pieces(sql, &SELECT_PIECES)
            .or_else(|| match_pieces(sql, &INSERT_PIECES))
            .ok_or(StatementError::UnknownStatement)?;
        let attributes = Attributes::parse(comment, attributes_start)?;
        let id = attributes.id.ok_or(StatementError::MissingField("id"))?;
        let class = attributes.class.ok_or(StatementError::MissingField("c"))?;
        let (client_timeout, timeout) = attributes
            .client_timeout
            .ok_or(StatementError::MissingField("d"))?;
        Ok(Statement {
            has_deduplication_key: attributes.has_deduplication_key,
            client_timeout: parse_timeout(client_timeout)?,
            estimated_work: attributes.estimated_work,
            is_retry: attributes.is_retry,
            id: range_within(text, id),
            class: range_within(text, class),
            tenant: attributes.tenant.map(|tenant| range_within(text, tenant)),
            object: range_within(text, object),
            timeout,
            text: text.into(),
            _reservation: MemoryReservation::new(counted_bytes(text.len())),
        })
    }

    /// Returns the id of the request, which its client chooses.
    pub fn id(&self) -> &str {
        &self.text[self.id.clone()]
    }

    /// Returns the name of the request class.
    pub fn class(&self) -> &str {
        &self.text[self.class.clone()]
    }

    /// Returns the name of the tenant; `None` if the client gives none.
    pub fn tenant(&self) -> Option<&str> {
        self.tenant.clone().map(|range| &self.text[range])
    }

    /// Returns the object that the statement reads or writes. Requests for the same object have the
    /// same affinity endpoint.
    pub fn object(&self) -> &str {
        &self.text[self.object.clone()]
    }

    /// Returns the text of the statement with its timeout replaced by `client_timeout`, but at
    /// least 1 ms. The agent passes the time for which it will wait itself.
    pub fn with_client_timeout(&self, client_timeout: Duration) -> TimedStatement<'_> {
        let after = &self.text[self.timeout.end..];
        let separator = if after.starts_with("*/") { " " } else { "" };
        TimedStatement {
            before: &self.text[..self.timeout.start],
            timeout: format!("{}{separator}", client_timeout.as_millis().max(1)),
            after,
        }
    }
}

/// Returns the position of `part`, which is a slice of `text`.
fn range_within(text: &str, part: &str) -> Range<usize> {
    let start = (part.as_ptr() as usize).saturating_sub(text.as_ptr() as usize);
    start..start + part.len()
}

fn parse_timeout(milliseconds: &str) -> Result<Duration, StatementError> {
    let timeout_ms = milliseconds
        .parse::<f64>()
        .ok()
        .filter(|ms| *ms >= 0.0 && ms.is_finite())
        .ok_or(StatementError::InvalidTimeout)?;
    Ok(Duration::from_secs_f64(
        timeout_ms.min(MAX_TIMEOUT_MS) / 1000.0,
    ))
}

/// Returns the inside of the first quoted literal if `text` consists of the given pieces with a
/// quoted literal between any two, and `None` otherwise.
fn match_pieces<'a>(text: &'a str, pieces: &[&str]) -> Option<&'a str> {
    let mut rest = text.strip_prefix(pieces[0])?;
    let mut first = None;
    for piece in &pieces[1..] {
        let inner = rest.strip_prefix('\'')?;
        let end = find_closing_quote(inner)?;
        first.get_or_insert(&inner[..end]);
        rest = inner[end + 1..].strip_prefix(piece)?;
    }
    if rest.trim_end().trim_end_matches(';').is_empty() {
        first
    } else {
        None
    }
}

/// Returns the position of the quote that ends a literal. A doubled quote stands for one inside the
/// literal.
fn find_closing_quote(literal: &str) -> Option<usize> {
    let mut end = literal.find('\'')?;
    while literal[end + 1..].starts_with('\'') {
        end += 2 + literal[end + 2..].find('\'')?;
    }
    Some(end)
}
