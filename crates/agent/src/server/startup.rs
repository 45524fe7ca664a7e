//! The startup of a client connection, and the steps in which a connection's input is handled.

use crate::protocol::connection::Connection;
use crate::protocol::error::PostgresError;
use crate::protocol::postgres::{self, ClientOpening};
use crate::protocol::ProtocolError;

/// The response to a request for encryption, which the agent does not support.
const ENCRYPTION_REFUSED: u8 = b'N';
/// A client may ask for TLS and for GSSAPI before its startup message, once each.
const MAX_ENCRYPTION_REQUESTS: usize = 2;

/// What to do on a connection after some of its input was handled.
pub enum Step {
    /// Write the reply and continue.
    Reply,
    /// Write the reply and continue; the startup is complete.
    StartupComplete,
    /// Read more: the input does not hold a complete message yet.
    NeedMore,
    /// Write the reply and close the connection.
    Close,
}

/// The startup phase of a client connection.
#[derive(Default)]
pub struct Startup {
    encryption_requests: usize,
    is_complete: bool,
}

impl Startup {
    /// Returns whether the startup message was handled.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Handles a message of the startup phase: the startup message itself, or a request for
    /// encryption or cancellation.
    pub fn handle(
        &mut self,
        client: &mut Connection,
        reply: &mut Vec<u8>,
    ) -> Result<Step, ProtocolError> {
        let Some((opening, length)) = postgres::parse_opening(client.receive_buffer.unread())?
        else {
            return Ok(Step::NeedMore);
        };
        client.consume(length);
        match opening {
            ClientOpening::Startup => {
                self.is_complete = true;
                client.track_arrivals();
                postgres::write_startup_response(reply);
                Ok(Step::StartupComplete)
            }
            ClientOpening::Encryption => {
                self.encryption_requests += 1;
                if self.encryption_requests > MAX_ENCRYPTION_REQUESTS {
                    return Err(PostgresError::TooManyEncryptionRequests.into());
                }
                reply.push(ENCRYPTION_REFUSED);
                Ok(Step::Reply)
            }
            ClientOpening::Cancel => Ok(Step::Close),
        }
    }
}
