//! Parsing of an endpoint's response to one query.

use super::endpoint::{EndpointError, MessageReader};
use super::{read_u32, ProtocolError};
use crate::protocol::counted_bytes::CountedBytes;
use crate::protocol::error::PostgresError;

/// The bytes of a column description after the column's name.
const COLUMN_ATTRIBUTES_LENGTH: usize = 18;
/// Load reports of this number of requests in flight or more are ignored as implausible.
const MAX_REPORTED_LOAD: f64 = 1e6;

/// The outcome of a query at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryOutcome {
    /// The endpoint sent one complete value.
    Value,
    /// The endpoint sent an error, and the query may have run.
    Failed,
    /// The endpoint sent an error which says that nothing ran.
    Rejected,
}

/// Reads an endpoint's response to one query, message by message.
#[derive(Default)]
pub struct ResponseReader {
    /// The messages of the value, as the endpoint sent them; empty after an error.
    pub value: CountedBytes,
    /// The outcome of the query; `None` until that is known.
    pub outcome: Option<QueryOutcome>,
    /// The number of requests in flight that the endpoint last reported; `None` if it reported
    /// none.
    pub reported_load: Option<f64>,
    rows: usize,
    /// Whether the row description was received.
    described: bool,
    /// The status with which ready-for-query ended the response; `None` until then.
    end: Option<TransactionStatus>,
}

/// The state of the session after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionStatus {
    /// No transaction is open.
    Idle,
    /// A transaction is open, or has failed and was not yet rolled back.
    Open,
}

impl TransactionStatus {
    /// Parses the body of ready-for-query.
    fn parse(body: &[u8]) -> Option<TransactionStatus> {
        match body {
            b"I" => Some(TransactionStatus::Idle),
            b"T" | b"E" => Some(TransactionStatus::Open),
            _ => None,
        }
    }
}

impl MessageReader for ResponseReader {
    fn has_begun(&self) -> bool {
        self.described || self.outcome.is_some()
    }

    /// Notices and unreadable load reports are ignored.
    fn on_message(
        &mut self,
        tag: u8,
        body: &[u8],
        raw_message: &[u8],
    ) -> Result<bool, ProtocolError> {
        let open = self.outcome.is_none();
        match tag {
            b'S' => {
                self.reported_load = parse_load_report(body).or(self.reported_load);
                return Ok(false);
            }
            b'N' => return Ok(false),
            // Ready-for-query ends a response only once its outcome is known. Before that the
            // endpoint still owes the response, which would be read as that to the next request.
            b'Z' if !open && self.end.is_none() => {
                let status = TransactionStatus::parse(body);
                self.end = Some(status.ok_or(PostgresError::UnexpectedMessage(tag))?);
                return Ok(true);
            }
            b'E' if open => {
                self.on_error(body)?;
                return Ok(false);
            }
            b'T' if open && !self.described && describes_one_column(body) => self.described = true,
            b'D' if open && self.described && self.rows == 0 && holds_one_value(body) => {
                self.rows = 1;
            }
            b'C' if open && self.rows == 1 && is_command_tag(body) => {
                self.outcome = Some(QueryOutcome::Value);
            }
            _ => return Err(PostgresError::UnexpectedMessage(tag).into()),
        }
        self.value.extend_from_slice(raw_message);
        Ok(false)
    }
}

impl ResponseReader {
    /// Returns the state of the session after the response; `None` until the response was received
    /// to its end.
    pub fn end(&self) -> Option<TransactionStatus> {
        self.end
    }

    fn on_error(&mut self, body: &[u8]) -> Result<(), PostgresError> {
        let error = EndpointError::parse(body)?;
        self.value.clear();
        self.outcome = Some(match error {
            EndpointError::Rejected if !self.described => QueryOutcome::Rejected,
            // A query whose value was begun has run, whatever the error says.
            EndpointError::Rejected | EndpointError::Failed => QueryOutcome::Failed,
        });
        Ok(())
    }
}

/// Parses the number of requests in flight from a load report, which is a parameter status named
/// `pressure` with a value such as `inflight=7,util=0.61`.
fn parse_load_report(parameter_status: &[u8]) -> Option<f64> {
    let fields = parameter_status
        .strip_prefix(b"pressure\0")?
        .strip_suffix(b"\0")?;
    let value = std::str::from_utf8(fields)
        .ok()?
        .split(',')
        .find_map(|field| field.trim().strip_prefix("inflight="))?;
    let in_flight = value.parse::<f64>().ok()?;
    (0.0..MAX_REPORTED_LOAD)
        .contains(&in_flight)
        .then_some(in_flight)
}

/// Returns whether a row description holds exactly one column, as a name followed by its
/// attributes.
fn describes_one_column(body: &[u8]) -> bool {
    let name_length = body
        .get(2..)
        .and_then(|rest| rest.iter().position(|byte| *byte == 0));
    body.get(..2) == Some(&[0, 1])
        && name_length.is_some_and(|n| body.len() == 2 + n + 1 + COLUMN_ATTRIBUTES_LENGTH)
}

/// Returns whether a data row holds exactly one value of the declared length.
fn holds_one_value(body: &[u8]) -> bool {
    let value_length = body.get(2..).and_then(read_u32);
    body.get(..2) == Some(&[0, 1]) && value_length.is_some_and(|n| body.len() - 6 == n as usize)
}

/// Returns whether this is a valid command tag: letters, digits and spaces, ended by a zero byte.
fn is_command_tag(body: &[u8]) -> bool {
    let allowed = |byte: &u8| byte.is_ascii_alphanumeric() || *byte == b' ';
    match body.split_last() {
        Some((0, tag)) => !tag.is_empty() && tag.iter().all(allowed),
        _ => false,
    }
}
