//! What can be wrong with the bytes of a response.

use thiserror::Error;

/// Why bytes from an agent are no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum ProtocolError {
    /// The length that a message states is impossible or beyond the limit.
    #[error("a message states a length of {length} bytes; 4 to {limit} are expected")]
    FrameLength {
        /// The stated length in bytes, which counts itself.
        length: usize,
        /// The longest that is accepted.
        limit: usize,
    },
    /// The messages beside the value go on without end.
    #[error("the messages beside the value exceed {limit} bytes")]
    TooManyBytes {
        /// The bytes that are accepted.
        limit: usize,
    },
    /// The notices go on without end.
    #[error("more than {limit} notices came with one response")]
    TooManyNotices {
        /// The notices that are accepted.
        limit: u32,
    },
    /// The agent asks for a login that this library does not know, or at the wrong time.
    #[error("the agent asks for an unsupported authentication")]
    UnsupportedAuthentication,
    /// A message that may not come at this point, or not with this body.
    #[error("unexpected message with tag {:?}", char::from(*.tag))]
    UnexpectedMessage {
        /// The first byte of the message.
        tag: u8,
    },
    /// The agent is ready before its response was whole.
    #[error("ready in the middle of a response")]
    IncompleteResponse,
    /// A row description that is not of exactly one column.
    #[error("malformed row description; one column is expected")]
    MalformedRowDescription,
    /// A data row whose lengths do not fit, or whose value is too long.
    #[error("malformed data row; one value of at most {limit} bytes is expected")]
    MalformedDataRow {
        /// The longest value that is accepted, in bytes.
        limit: usize,
    },
    /// An error message that is too long, not terminated, or without a code.
    #[error("malformed error message; a code of five characters is expected")]
    MalformedError,
}
