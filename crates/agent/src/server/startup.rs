//! The steps of a connection, and the first of them: its startup.

use crate::protocol::connection::Connection;
use crate::protocol::postgres::{self, ClientOpening};
use crate::protocol::ProtocolError;

/// The answer to a client that asks for encryption: there is none.
const ENCRYPTION_REFUSED: u8 = b'N';

/// What a connection does after some of its input was handled.
pub enum Step {
    /// The reply is written, and the connection goes on.
    Reply,
    /// The same, and the startup is over.
    StartupComplete,
    /// What came in so far is not whole.
    NeedMore,
    /// The reply is written, and the connection ends.
    Close,
}

/// Handles what a client opens its connection with.
pub fn handle_startup(client: &mut Connection, reply: &mut Vec<u8>) -> Result<Step, ProtocolError> {
    let Some((opening, length)) = postgres::parse_opening(client.receive_buffer.unread())? else {
        return Ok(Step::NeedMore);
    };
    client.consume(length);
    match opening {
        ClientOpening::Startup => {
            client.track_arrivals();
            postgres::write_welcome(reply);
            Ok(Step::StartupComplete)
        }
        ClientOpening::Encryption => {
            reply.push(ENCRYPTION_REFUSED);
            Ok(Step::Reply)
        }
        ClientOpening::Cancel => Ok(Step::Close),
    }
}
