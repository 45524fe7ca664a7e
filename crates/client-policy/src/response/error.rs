//! The errors of the response parser.

use thiserror::Error;

/// Why the bytes received from an agent are not a valid response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum ProtocolError {
    /// The length field of a message is below the minimum or above the limit.
    #[error("invalid message length {length}, expected 4 to {limit} bytes")]
    FrameLength {
        /// The value of the length field in bytes, which includes the field itself.
        length: usize,
        /// The largest accepted length, in bytes.
        limit: usize,
    },
    /// The messages other than the value take too many bytes in total.
    #[error("the messages other than the value exceed {limit} bytes")]
    TooManyBytes {
        /// The accepted number of bytes.
        limit: usize,
    },
    /// The response contains too many notices.
    #[error("the response contains more than {limit} notices")]
    TooManyNotices {
        /// The accepted number of notices.
        limit: u32,
    },
    /// The agent requests an authentication method that this library does not support, or requests
    /// authentication at the wrong time.
    #[error("the agent requests an unsupported authentication method")]
    UnsupportedAuthentication,
    /// The message is not allowed at this point, or not with this body.
    #[error("unexpected message with tag {:?}", char::from(*.tag))]
    UnexpectedMessage {
        /// The first byte of the message.
        tag: u8,
    },
    /// The agent reported that it is ready before its response was complete.
    #[error("unexpected ready message before the end of the response")]
    IncompleteResponse,
    /// The row description does not describe exactly one column.
    #[error("malformed row description, expected one column")]
    MalformedRowDescription,
    /// The lengths in the data row are inconsistent, or its value is too long.
    #[error("malformed data row, expected one value of at most {limit} bytes")]
    MalformedDataRow {
        /// The longest accepted value, in bytes.
        limit: usize,
    },
    /// The error message is too long, is not terminated, or has no code.
    #[error("malformed error message, expected a code of five characters")]
    MalformedError,
}
