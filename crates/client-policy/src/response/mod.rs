//! An incremental parser for the responses of an agent. It bounds the number of bytes and messages
//! it accepts. Input that violates the protocol yields a [`ProtocolError`], never a value.

mod error;
mod frame;

pub use error::ProtocolError;

use frame::{
    check_row_description, is_command_tag, next_frame, parse_data_row, parse_error, Frame,
    MAX_ERROR_BYTES,
};
use std::time::Duration;

/// The maximum number of notices, parameter statuses and key data messages in one response.
const MAX_NOTICES: u32 = 64;
/// The maximum total size of all messages of a response except the one with its value.
const MAX_OVERHEAD_BYTES: usize = 64 * 1024;

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// The request succeeded and returned this value.
    Value(Vec<u8>),
    /// The agent rejected the request before it ran (53300).
    Rejected {
        /// How long the agent asks to wait before a retry; `None` if it did not say.
        retry_after: Option<Duration>,
    },
    /// The agent is shutting down and rejected the request before it ran (57P03).
    Draining,
    /// The agent responded with any other error.
    Error {
        /// The SQLSTATE code, five characters long.
        code: String,
        /// The human-readable message; may be empty.
        message: String,
    },
    /// The agent is ready. This is the response to a startup message or an empty query.
    Ready,
}

/// Parses one response from bytes that may arrive in pieces of any size.
#[derive(Debug)]
pub struct ResponseParser {
    max_value_bytes: usize,
    notices: u32,
    overhead_bytes: usize,
    row_described: bool,
    value: Option<Vec<u8>>,
    command_complete: bool,
    error: Option<Response>,
    /// Whether the authentication, or the response to an empty query, was received.
    session_ready: bool,
}

impl ResponseParser {
    /// Creates a parser for one response whose value has at most this many bytes.
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

    /// Returns whether any message of the response was received.
    pub fn started(&self) -> bool {
        self.in_result() || self.notices > 0 || self.session_ready
    }

    /// Parses the complete messages at the start of `bytes`. Returns the number of bytes consumed,
    /// and the response once it is complete. The caller passes the remaining bytes, followed by
    /// those received next, to the next call.
    ///
    /// # Errors
    ///
    /// Returns an error for the first message that violates the protocol or exceeds a bound. The
    /// connection must not be used any more.
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

    /// Ends parsing because the connection was closed. Returns the error response that was
    /// received, if any: a fatal error closes the connection without a ready message. Any other
    /// incomplete response is dropped.
    pub fn finish(&mut self) -> Option<Response> {
        self.error.take()
    }

    /// Returns whether a result or an error was received at least in part.
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
            // The response to an empty query. This library never sends one.
            b'I' if !in_result && body.is_empty() => self.session_ready = true,
            b'E' if self.error.is_none() => self.error = Some(self.on_error(body)?),
            b'Z' if matches!(body, [b'I' | b'T' | b'E']) => return self.on_ready().map(Some),
            _ => return Err(ProtocolError::UnexpectedMessage { tag }),
        }
        Ok(None)
    }

    /// Parses an error. A request whose value was begun has run, so a rejection is invalid then.
    fn on_error(&self, body: &[u8]) -> Result<Response, ProtocolError> {
        let error = parse_error(body)?;
        let rejects = matches!(error, Response::Rejected { .. } | Response::Draining);
        if rejects && self.row_described {
            return Err(ProtocolError::UnexpectedMessage { tag: b'E' });
        }
        Ok(error)
    }

    fn on_notice(&mut self) -> Result<(), ProtocolError> {
        self.notices += 1;
        if self.notices > MAX_NOTICES {
            return Err(ProtocolError::TooManyNotices { limit: MAX_NOTICES });
        }
        Ok(())
    }

    /// Handles the ready message, which ends the response to the current request.
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
