//! The errors in received data, by protocol.
//!
//! The messages of [`PostgresError`] and [`StatementError`] are sent to clients word for word.

use super::limits::MAX_BODY_LENGTH;
use tulipwall_config::FieldError;

/// An error in received data, which does not follow the protocol of its connection.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// The framing, the order or the content of PostgreSQL messages is invalid.
    #[error(transparent)]
    Postgres(#[from] PostgresError),
    /// The text of a client's statement is invalid.
    #[error(transparent)]
    Statement(#[from] StatementError),
    /// A response of the discovery service is invalid.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// A line from the rollout platform is invalid.
    #[error(transparent)]
    Platform(#[from] PlatformError),
}

/// A violation of the PostgreSQL protocol, version 3.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PostgresError {
    /// The declared length of a startup message is out of range.
    #[error("startup message of {length} bytes")]
    StartupLength {
        /// The declared length in bytes.
        length: usize,
    },
    /// A startup message requests a protocol version other than 3.0.
    #[error("protocol version {major}.{minor}")]
    UnsupportedVersion {
        /// The upper half of the version number.
        major: u32,
        /// The lower half of the version number.
        minor: u32,
    },
    /// A client asks for encryption again and again instead of sending its startup message.
    #[error("more than two requests for encryption")]
    TooManyEncryptionRequests,
    /// The declared length of a message is out of range.
    #[error("message '{}' of {length} bytes", tag.escape_ascii())]
    MessageLength {
        /// The type byte of the message.
        tag: u8,
        /// The declared length in bytes, without the type byte.
        length: usize,
    },
    /// A message of this type is not allowed at this point. Holds the type byte.
    #[error("message '{}' out of place", .0.escape_ascii())]
    UnexpectedMessage(u8),
    /// A client's message is neither a simple query nor the end of its connection. Holds the type
    /// byte.
    #[error("message '{}': only simple queries", .0.escape_ascii())]
    UnsupportedMessage(u8),
    /// The text of a query message does not end with a zero byte.
    #[error("a query without its closing zero")]
    UnterminatedQuery,
    /// The text of a query message contains a zero byte.
    #[error("a query with a zero byte in it")]
    ZeroByteInQuery,
    /// The text of a query message is not valid UTF-8.
    #[error("a query that is not UTF-8")]
    QueryNotUtf8,
    /// The declared length of a data row does not match that of its only value.
    #[error("a value of {value} bytes in a row of {row}")]
    ValueLength {
        /// The declared length of the value in bytes.
        value: u32,
        /// The declared length of the row in bytes.
        row: u32,
    },
    /// An error message has no valid SQLSTATE code.
    #[error("an error that can't be read")]
    UnreadableError,
    /// A client's first request or the rest of a message was not received in time.
    #[error("no whole {missing} in time")]
    ReceiveTimeout {
        /// What was not completely received: "command" or "message".
        missing: &'static str,
    },
}

/// The maximum number of characters of a client's text that an error quotes.
const MAX_QUOTED_CHARS: usize = 40;

/// Returns the beginning of a client's text, short enough for an error message.
pub fn quote(text: &str) -> String {
    text.chars().take(MAX_QUOTED_CHARS).collect()
}

/// An error in a client's statement. The connection stays open.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StatementError {
    /// The comment with the request's attributes is missing.
    #[error("statement: its comment is missing")]
    MissingComment,
    /// The comment is not closed.
    #[error("statement: its comment does not close")]
    UnclosedComment,
    /// The SQL text has neither of the two supported forms.
    #[error("statement: neither the known SELECT nor the known INSERT")]
    UnknownStatement,
    /// A part of the comment is not of the form `name=value`. Holds its first characters.
    #[error("statement: '{0}' in its comment")]
    MalformedAttribute(String),
    /// A mandatory attribute is missing. Holds its name.
    #[error("statement: field {0} is missing")]
    MissingField(&'static str),
    /// The client's timeout is not a number of milliseconds.
    #[error("statement: field d: milliseconds are wanted")]
    InvalidTimeout,
    /// Another request with the same id is in progress.
    #[error("statement: field id: its command is still open")]
    RequestStillOpen,
    /// The settings do not define the request class. Holds the beginning of its name.
    #[error("statement: field c: unknown lane '{0}'")]
    UnknownClass(String),
}

/// An error in an HTTP/1.1 response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The first line is not a status line.
    #[error("HTTP: invalid status line")]
    MissingStatusLine,
    /// The head exceeds the maximum length.
    #[error("HTTP: the response head is too long")]
    HeadTooLong,
    /// The head is not valid UTF-8.
    #[error("HTTP: the response head is not valid UTF-8")]
    HeadNotText,
    /// A header line has no colon.
    #[error("HTTP: header line without ':'")]
    MalformedHeader,
    /// The content-length is not a number.
    #[error("HTTP: content-length is not a number")]
    InvalidContentLength,
    /// The declared length of the body exceeds the maximum.
    #[error("HTTP: body of {length} bytes is longer than the maximum of {MAX_BODY_LENGTH} bytes")]
    BodyTooLong {
        /// The declared length in bytes.
        length: usize,
    },
    /// A body without a declared length exceeds the maximum length.
    #[error("HTTP: body without content-length is too long")]
    UnboundedBody,
    /// A chunk has no size line, or a size line that exceeds the maximum length.
    #[error("HTTP: chunk without a size line")]
    MissingChunkSize,
    /// A chunk size is not a number, or makes the body exceed the maximum length.
    #[error("HTTP: invalid chunk size")]
    InvalidChunkSize,
    /// A chunk does not end where its size says.
    #[error("HTTP: chunk does not end at its declared size")]
    ChunkLengthMismatch,
}

/// An error in a line from the rollout platform.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The line is not valid JSON. Holds the message of the JSON parser.
    #[error("line: {0}")]
    NotJson(String),
    /// A field is missing, has the wrong type or an unknown value. Holds a message that names it.
    #[error("{0}")]
    Field(String),
    /// A notification has an unknown method.
    #[error("line: field method: unknown value")]
    UnknownMethod,
    /// An error response has an unknown message.
    #[error("line: field message: unknown value")]
    UnknownErrorMessage,
    /// The line is neither a notification nor a response.
    #[error("line: expected a method, a result or an error")]
    UnknownLine,
    /// The line exceeds the maximum length.
    #[error("line: too long")]
    LineTooLong,
}

impl From<FieldError> for PlatformError {
    fn from(error: FieldError) -> PlatformError {
        PlatformError::Field(error.to_string())
    }
}
