//! The bytes that an agent sends, parsed as they come and bounded in number. Whatever does not fit
//! the protocol is a [`ProtocolError`], never a value.

mod error;
mod frame;

pub use error::ProtocolError;

use frame::{
    check_row_description, is_command_tag, next_frame, parse_data_row, parse_error, Frame,
    MAX_ERROR_BYTES,
};
use std::time::Duration;

/// Notices, parameters and the like that may come with a response.
const MAX_NOTICES: u32 = 64;
/// Bytes that all messages of a response but its value may hold together.
const MAX_OVERHEAD_BYTES: usize = 64 * 1024;

/// What a whole response says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// A value.
    Value(Vec<u8>),
    /// The agent rejected the request before it ran (53300).
    Rejected {
        /// The time before which the agent wants no retry, where it named one.
        retry_after: Option<Duration>,
    },
    /// The agent shuts down and rejected the request before it ran (57P03).
    Draining,
    /// Another error.
    Error {
        /// The SQLSTATE code, of five characters.
        code: String,
        /// The text for people; may be empty.
        message: String,
    },
    /// The agent is ready; the response to a startup message or an empty query.
    Ready,
}

/// Parses one response, from bytes that may come in any pieces.
#[derive(Debug)]
pub struct ResponseParser {
    max_value_bytes: usize,
    notices: u32,
    overhead_bytes: usize,
    row_described: bool,
    value: Option<Vec<u8>>,
    command_complete: bool,
    error: Option<Response>,
    /// An authentication or an empty query's response has come.
    session_ready: bool,
}

impl ResponseParser {
    /// A parser of one response whose value has this many bytes at most.
    pub fn new(max_value_bytes: usize) -> ResponseParser {
        ResponseParser {
            max_value_bytes,
            notices: 0,
            overhead_bytes: 0,
            row_described: false,
            value: None,
            command_complete: false,
            error: None,
            session_ready: false,
        }
    }

    /// Whether any message of the response has come.
    pub fn started(&self) -> bool {
        self.in_result() || self.notices > 0 || self.session_ready
    }

    /// Parses the whole messages at the head of `bytes`. Returns how many bytes they took, and the
    /// response once it is whole; the bytes that are left belong to the next call.
    ///
    /// # Errors
    ///
    /// The first message that does not fit the protocol or exceeds a bound. The connection is of no
    /// further use then.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<(usize, Option<Response>), ProtocolError> {
        let max_body = self.max_value_bytes + MAX_ERROR_BYTES;
        let mut consumed = 0;
        while let Some(frame) = next_frame(&bytes[consumed..], max_body)? {
            consumed += frame.length;
            if frame.tag != b'D' {
                self.overhead_bytes += frame.length;
            }
            if self.overhead_bytes > MAX_OVERHEAD_BYTES {
                return Err(ProtocolError::TooManyBytes {
                    limit: MAX_OVERHEAD_BYTES,
                });
            }
            if let Some(response) = self.on_frame(frame)? {
                return Ok((consumed, Some(response)));
            }
        }
        Ok((consumed, None))
    }

    /// The connection has ended: the error that was received, if any. An error that ends the
    /// connection needs nothing behind it; half of any other response is none.
    pub fn finish(&mut self) -> Option<Response> {
        self.error.take()
    }

    /// Whether a result or an error has begun.
    fn in_result(&self) -> bool {
        self.row_described || self.error.is_some()
    }

    fn on_frame(&mut self, frame: Frame<'_>) -> Result<Option<Response>, ProtocolError> {
        let Frame { tag, body, .. } = frame;
        let in_result = self.in_result();
        match tag {
            b'N' | b'S' | b'K' => self.on_notice()?,
            b'R' if body == [0; 4] && !in_result && !self.session_ready => {
                self.session_ready = true;
            }
            b'R' => return Err(ProtocolError::UnsupportedAuthentication),
            b'T' if !in_result => {
                check_row_description(body)?;
                self.row_described = true;
            }
            b'D' if self.row_described && self.value.is_none() && !self.command_complete => {
                self.value = Some(parse_data_row(body, self.max_value_bytes)?);
            }
            b'C' if self.value.is_some() && !self.command_complete && is_command_tag(body) => {
                self.command_complete = true;
            }
            // The response to an empty query, which this library never sends.
            b'I' if !in_result && body.is_empty() => self.session_ready = true,
            b'E' if self.error.is_none() => self.error = Some(parse_error(body)?),
            b'Z' if matches!(body, [b'I' | b'T' | b'E']) => return self.on_ready().map(Some),
            _ => return Err(ProtocolError::UnexpectedMessage { tag }),
        }
        Ok(None)
    }

    fn on_notice(&mut self) -> Result<(), ProtocolError> {
        self.notices += 1;
        if self.notices > MAX_NOTICES {
            return Err(ProtocolError::TooManyNotices { limit: MAX_NOTICES });
        }
        Ok(())
    }

    /// The agent is ready for the next request, which ends the response to this one.
    fn on_ready(&mut self) -> Result<Response, ProtocolError> {
        if let Some(error) = self.error.take() {
            return Ok(error);
        }
        match self.value.take() {
            Some(value) if self.command_complete => Ok(Response::Value(value)),
            None if self.session_ready && !self.row_described => Ok(Response::Ready),
            _ => Err(ProtocolError::IncompleteResponse),
        }
    }
}
