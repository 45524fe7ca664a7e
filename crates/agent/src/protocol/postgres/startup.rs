//! Parsing of an endpoint's reply to the startup message.

use super::endpoint::{EndpointError, MessageReader};
use super::ProtocolError;
use crate::protocol::error::PostgresError;

/// Reads an endpoint's reply to the startup message, up to ready-for-query.
#[derive(Default)]
pub struct StartupReader {
    /// The error with which the endpoint refused the connection; `None` if it did not.
    pub error: Option<EndpointError>,
}

impl MessageReader for StartupReader {
    fn has_begun(&self) -> bool {
        self.error.is_some()
    }

    fn on_message(&mut self, tag: u8, body: &[u8], _raw: &[u8]) -> Result<bool, ProtocolError> {
        match tag {
            b'S' | b'N' | b'K' => {}
            b'R' if body == [0; 4] => {}
            b'E' if self.error.is_none() => self.error = Some(EndpointError::parse(body)?),
            b'Z' if matches!(body, b"I" | b"T" | b"E") => return Ok(true),
            _ => return Err(PostgresError::UnexpectedMessage(tag).into()),
        }
        Ok(false)
    }
}
