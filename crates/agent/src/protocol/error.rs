//! What can be wrong with bytes that came in, by protocol.
//!
//! The texts of [`PostgresError`] and [`StatementError`] are sent to clients as they stand here.

use super::limits::MAX_BODY_LENGTH;
use tulipwall_config::FieldError;

/// Bytes that do not follow the protocol spoken on their connection.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// The framing or the order of PostgreSQL messages.
    #[error(transparent)]
    Postgres(#[from] PostgresError),
    /// The text of a client's statement.
    #[error(transparent)]
    Statement(#[from] StatementError),
    /// A response of the discovery service.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// A line from the rollout platform.
    #[error(transparent)]
    Platform(#[from] PlatformError),
}

/// A fault in the PostgreSQL protocol, version 3.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PostgresError {
    /// The declared length of a startup message is out of range.
    #[error("startup message of {length} bytes")]
    StartupLength {
        /// The declared length in bytes.
        length: usize,
    },
    /// A startup message for a version other than 3.0.
    #[error("protocol version {major}.{minor}")]
    UnsupportedVersion {
        /// The upper half of the version number.
        major: u32,
        /// The lower half of the version number.
        minor: u32,
    },
    /// The declared length of a message is out of range.
    #[error("message '{}' of {length} bytes", tag.escape_ascii())]
    MessageLength {
        /// The type byte of the message.
        tag: u8,
        /// The declared length in bytes, without the type byte.
        length: usize,
    },
    /// A message that does not belong where it came.
    #[error("message '{}' out of place", .0.escape_ascii())]
    UnexpectedMessage(u8),
    /// A message of a client that is neither a simple query nor the end of its connection.
    #[error("message '{}': only simple queries", .0.escape_ascii())]
    UnsupportedMessage(u8),
    /// A query message whose text does not end with a zero byte.
    #[error("a query without its closing zero")]
    UnterminatedQuery,
    /// A query message with a zero byte inside its text.
    #[error("a query with a zero byte in it")]
    ZeroByteInQuery,
    /// A query message whose text is not UTF-8.
    #[error("a query that is not UTF-8")]
    QueryNotUtf8,
    /// A data row whose only value does not fill it.
    #[error("a value of {value} bytes in a row of {row}")]
    ValueLength {
        /// The declared length of the value in bytes.
        value: u32,
        /// The declared length of the row in bytes.
        row: u32,
    },
    /// An error message without a readable SQLSTATE code.
    #[error("an error that can't be read")]
    UnreadableError,
    /// A client was too slow with its first request or with the rest of a message.
    #[error("no whole {missing} in time")]
    ReceiveTimeout {
        /// What did not come in whole: "command" or "message".
        missing: &'static str,
    },
}

/// A fault in a client's statement; the connection goes on.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StatementError {
    /// No comment with the request's attributes.
    #[error("statement: its comment is missing")]
    MissingComment,
    /// The comment has no end.
    #[error("statement: its comment does not close")]
    UnclosedComment,
    /// The SQL text is neither of the two known forms.
    #[error("statement: neither the known SELECT nor the known INSERT")]
    UnknownStatement,
    /// A part of the comment that is not `name=value`; its first characters.
    #[error("statement: '{0}' in its comment")]
    MalformedAttribute(String),
    /// A mandatory attribute is missing.
    #[error("statement: field {0} is missing")]
    MissingField(&'static str),
    /// The deadline is not a number of milliseconds.
    #[error("statement: field d: milliseconds are wanted")]
    InvalidTimeout,
    /// Another request with the same id is in progress.
    #[error("statement: field id: its command is still open")]
    RequestStillOpen,
    /// A request class that the settings do not name.
    #[error("statement: field c: unknown lane '{0}'")]
    UnknownClass(String),
}

/// A fault in an HTTP/1.1 response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The first line is not a status line.
    #[error("HTTP: no status line")]
    MissingStatusLine,
    /// The head is longer than is read at most.
    #[error("HTTP: a head without end")]
    HeadTooLong,
    /// The head is not UTF-8.
    #[error("HTTP: head is not text")]
    HeadNotText,
    /// A header line without a colon.
    #[error("HTTP: a header without ':'")]
    MalformedHeader,
    /// The content-length is not a number.
    #[error("HTTP: content-length")]
    InvalidContentLength,
    /// The declared body is longer than is read at most.
    #[error("HTTP: a body of {length} bytes, {MAX_BODY_LENGTH} are read at most")]
    BodyTooLong {
        /// The declared length in bytes.
        length: usize,
    },
    /// A body without a declared length is longer than is read at most.
    #[error("HTTP: a body without end")]
    UnboundedBody,
    /// A chunk without a size line.
    #[error("HTTP: a chunk without size")]
    MissingChunkSize,
    /// A chunk size that is not a number or makes the body too long.
    #[error("HTTP: chunk size")]
    InvalidChunkSize,
    /// A chunk that does not end where its size says.
    #[error("HTTP: a chunk longer than its size")]
    ChunkLengthMismatch,
}

/// A fault in a line from the rollout platform.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The line is not JSON; what the JSON parser says of it.
    #[error("line: {0}")]
    NotJson(String),
    /// A field is missing or has the wrong type; the message names it.
    #[error("{0}")]
    Field(String),
    /// A notification of an unknown method.
    #[error("line: field method: unknown value")]
    UnknownMethod,
    /// An error response with an unknown message.
    #[error("line: field message: unknown value")]
    UnknownErrorMessage,
    /// Neither a notification nor a response.
    #[error("line: neither method, result nor error")]
    UnknownLine,
    /// The line is longer than is read at most.
    #[error("line: too long")]
    LineTooLong,
}

impl From<FieldError> for PlatformError {
    fn from(error: FieldError) -> PlatformError {
        PlatformError::Field(error.to_string())
    }
}
