//! Parsing of clients' statements, which carry the attributes of a request in a comment.

use super::buffer::MemoryReservation;
use super::error::StatementError;
use super::ProtocolError;
use std::ops::Range;
use std::time::Duration;

/// A client's statement and the attributes of its request.
#[derive(Debug, PartialEq)]
pub struct Statement {
    /// The id of the request, which its client chooses.
    pub id: String,
    /// Whether the request carries a key by which repetitions are deduplicated.
    pub has_deduplication_key: bool,
    /// The name of the request class.
    pub class: String,
    /// The name of the tenant; `None` if the client gives none.
    pub tenant: Option<String>,
    /// The object that the statement reads or writes. Requests for the same object have the same
    /// affinity endpoint.
    pub object: String,
    /// The time for which the client waits for the response, at most one hour.
    pub client_timeout: Duration,
    /// The client's estimate of the work; `None` if it is missing or unreadable.
    pub estimated_work: Option<Duration>,
    /// Whether the client marks the request as a retry.
    pub is_retry: bool,
    text: String,
    /// The position of the timeout's value in `text`.
    timeout_range: Range<usize>,
    _reservation: MemoryReservation,
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
/// The maximum number of characters of a malformed attribute that an error quotes.
const MAX_QUOTED_CHARS: usize = 40;

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
                let quoted = pair.chars().take(MAX_QUOTED_CHARS).collect();
                return Err(StatementError::MalformedAttribute(quoted));
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
        let (client_timeout, timeout_range) = attributes
            .client_timeout
            .ok_or(StatementError::MissingField("d"))?;
        Ok(Statement {
            id: id.to_owned(),
            has_deduplication_key: attributes.has_deduplication_key,
            class: class.to_owned(),
            tenant: attributes.tenant.map(str::to_owned),
            object: object.to_owned(),
            client_timeout: parse_timeout(client_timeout)?,
            estimated_work: attributes.estimated_work,
            is_retry: attributes.is_retry,
            text: text.to_owned(),
            timeout_range,
            // Twice: the text is stored here, and copied when it is written to an endpoint.
            _reservation: MemoryReservation::new(text.len() * 2),
        })
    }

    /// Returns the text of the statement with its timeout replaced by `client_timeout`, but at
    /// least 1 ms. The agent passes the time for which it will wait itself.
    pub fn with_client_timeout(&self, client_timeout: Duration) -> String {
        let before = &self.text[..self.timeout_range.start];
        let after = &self.text[self.timeout_range.end..];
        let separator = if after.starts_with("*/") { " " } else { "" };
        format!(
            "{before}{}{separator}{after}",
            client_timeout.as_millis().max(1)
        )
    }
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
