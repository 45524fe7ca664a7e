//! Opening connections to endpoints.

use crate::agent::Agent;
use crate::protocol::connection::{Connection, SocketTraffic};
use crate::protocol::postgres::{self, QueryOutcome, ResponseReader};
use crate::upstream::limits::ConnectionPermit;
use crate::upstream::pool::PooledConnection;
use crate::upstream::response::read_response;
use futures_lite::FutureExt;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tulipwall::Outcome;
use tulipwall_discovery::endpoint_table::AttemptTarget;
use tulipwall_zones::ConnectionTraffic;

/// The user and the database that a connection is opened for.
const USER: &str = "worker";
const DATABASE: &str = "catalog";

/// Why there is no connection. Nothing of a request was written.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// As many connections to endpoints are in use as there may be.
    #[error("all connections to endpoints are in use")]
    LimitReached,
    /// The endpoint turned the connection away.
    #[error("the endpoint takes no connections at present")]
    Rejected,
    /// The endpoint was not ready for a query within the connect timeout.
    #[error("the endpoint was not ready in time")]
    TimedOut,
    /// The connection could not be opened, or was closed again.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The endpoint does not greet as PostgreSQL does.
    #[error("the endpoint's greeting is not that of PostgreSQL")]
    InvalidHandshake,
}

impl ConnectError {
    /// What it means for the attempt that the connection was for.
    pub fn outcome(&self) -> Outcome {
        match self {
            ConnectError::LimitReached => Outcome::NotSent,
            ConnectError::Rejected => Outcome::Rejected,
            ConnectError::TimedOut | ConnectError::Io(_) | ConnectError::InvalidHandshake => {
                Outcome::ConnectFailed
            }
        }
    }
}

/// A new connection, ready for its first query.
pub async fn open_connection(
    agent: &Agent,
    target: AttemptTarget,
) -> Result<PooledConnection, ConnectError> {
    let permit = acquire_permit(agent)?;
    let cost = HandshakeCostGuard::new(agent, target);
    let connection = perform_handshake(agent, target, &cost)
        .or(connect_timeout(agent))
        .await?;
    let connection = PooledConnection::new(connection, permit, agent.clock.now());
    cost.charge_opened();
    Ok(connection)
}

/// A place among the sockets, an idle connection's if there is no other.
fn acquire_permit(agent: &Agent) -> Result<ConnectionPermit, ConnectError> {
    loop {
        if let Some(permit) = agent.limits.connections.endpoint_permit() {
            return Ok(permit);
        }
        if !agent.pool.evict_idle() {
            return Err(ConnectError::LimitReached);
        }
    }
}

async fn perform_handshake(
    agent: &Agent,
    target: AttemptTarget,
    cost: &HandshakeCostGuard<'_>,
) -> Result<Connection, ConnectError> {
    let mut connection = Connection::open(target.address).await?;
    cost.follow(connection.traffic.clone());
    let startup = postgres::startup(USER, DATABASE);
    connection.write(&startup).await?;
    let mut response = ResponseReader::default();
    let end = read_response(agent, &mut connection, &mut response).await;
    match (end, response.outcome) {
        (_, Some(QueryOutcome::Rejected)) => Err(ConnectError::Rejected),
        (Ok(()), None) => Ok(connection),
        _ => Err(ConnectError::InvalidHandshake),
    }
}

async fn connect_timeout(agent: &Agent) -> Result<Connection, ConnectError> {
    let timeout = agent.service_config().connect_timeout;
    agent.sleep_until(agent.clock.now() + timeout).await;
    Err(ConnectError::TimedOut)
}

/// Charges what opening a connection takes, also where it is given up halfway.
struct HandshakeCostGuard<'a> {
    agent: &'a Agent,
    target: AttemptTarget,
    begun: Duration,
    traffic: RefCell<Option<Rc<SocketTraffic>>>,
}

impl HandshakeCostGuard<'_> {
    fn new(agent: &Agent, target: AttemptTarget) -> HandshakeCostGuard<'_> {
        HandshakeCostGuard {
            agent,
            target,
            begun: agent.clock.now(),
            traffic: RefCell::default(),
        }
    }

    /// The socket is open.
    fn follow(&self, traffic: Rc<SocketTraffic>) {
        *self.traffic.borrow_mut() = Some(traffic);
    }

    /// The connection is ready for its first query.
    fn charge_opened(&self) {
        self.charge(true);
    }

    fn charge(&self, opened: bool) {
        let Some(traffic) = self.traffic.take() else {
            return;
        };
        let now = self.agent.clock.now();
        let duration = now.saturating_sub(self.begun);
        let (bytes_sent, bytes_received) = traffic.take_uncharged();
        let traffic = ConnectionTraffic {
            to: self.target.zone,
            build: self.target.build,
            bytes_sent,
            bytes_received,
            handshake: opened.then_some(duration),
        };
        self.agent.zone_traffic.on_connection(now, traffic);
    }
}

impl Drop for HandshakeCostGuard<'_> {
    fn drop(&mut self) {
        self.charge(false);
    }
}
