//! A connection on which a request is written and its response read.

use crate::protocol::connection::Connection;
use crate::protocol::postgres::{ResponseReader, TransactionStatus};
use crate::upstream::limits::ConnectionPermit;
use crate::upstream::pool::PooledConnection;
use std::time::Duration;

/// A connection that belongs to one request until the response to it is complete. Dropping it
/// closes it, which cancels the request.
///
/// Guards against a connection that serves another request while the endpoint still owes a
/// response: [`ActiveConnection::end_exchange`] is the only way from here back into the pool.
pub struct ActiveConnection {
    /// The connection, for the request and its response.
    pub connection: Connection,
    permit: ConnectionPermit,
    /// When the request was written, on the agent's clock.
    request_at: Duration,
}

/// Why a connection is closed after an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReuseError {
    /// The endpoint still owes a part of the response.
    #[error("the response is incomplete")]
    IncompleteResponse,
    /// The request left a transaction open, in which the next one would run.
    #[error("the response leaves a transaction open")]
    OpenTransaction,
    /// The endpoint sent data behind the response.
    #[error("data follows the response")]
    UnsolicitedData,
}

impl ActiveConnection {
    /// Creates an active connection whose request is written at `request_at`.
    pub fn new(
        connection: Connection,
        permit: ConnectionPermit,
        request_at: Duration,
    ) -> ActiveConnection {
        ActiveConnection {
            connection,
            permit,
            request_at,
        }
    }

    /// Ends the exchange at `now`, after `response` was read. Fails, and closes the connection, if
    /// it can't serve another request.
    pub fn end_exchange(
        self,
        response: &ResponseReader,
        now: Duration,
    ) -> Result<PooledConnection, ReuseError> {
        match response.end() {
            None => return Err(ReuseError::IncompleteResponse),
            Some(TransactionStatus::Open) => return Err(ReuseError::OpenTransaction),
            Some(TransactionStatus::Idle) => {}
        }
        if !self.connection.receive_buffer.is_empty() {
            return Err(ReuseError::UnsolicitedData);
        }
        Ok(PooledConnection::after_response(
            self.connection,
            self.permit,
            self.request_at,
            now,
        ))
    }
}
