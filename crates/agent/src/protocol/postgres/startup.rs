//! Parsing of an endpoint's reply to the startup message.

use super::endpoint::{EndpointError, MessageReader};
use super::ProtocolError;
use crate::protocol::error::PostgresError;

/// Reads an endpoint's reply to the startup message: authentication without a password, then
/// ready-for-query; parameters, key data and notices may come in between.
#[derive(Default)]
pub struct StartupReader {
    /// The error with which the endpoint refused the connection; `None` if it did not.
    pub error: Option<EndpointError>,
    authenticated: bool,
}

impl MessageReader for StartupReader {
    fn has_begun(&self) -> bool {
        self.error.is_some()
    }

    fn on_message(&mut self, tag: u8, body: &[u8], _raw: &[u8]) -> Result<bool, ProtocolError> {
        let refused = self.error.is_some();
        match tag {
            b'S' | b'N' | b'K' => {}
            b'R' if body == [0; 4] && !self.authenticated && !refused => self.authenticated = true,
            b'E' if !refused => self.error = Some(EndpointError::parse(body)?),
            // Ready-for-query before the authentication belongs to no startup: the endpoint still
            // owes the rest, which would be read as the response to the first request.
            b'Z' if body == b"I" && (self.authenticated || refused) => return Ok(true),
            _ => return Err(PostgresError::UnexpectedMessage(tag).into()),
        }
        Ok(false)
    }
}
