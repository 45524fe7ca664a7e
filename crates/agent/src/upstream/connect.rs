//! Opening connections to endpoints.

use crate::agent::Agent;
use crate::observability::logging::EXCHANGE;
use crate::protocol::connection::{Connection, IdleState, SocketTraffic};
use crate::protocol::postgres::{self, EndpointError, StartupReader};
use crate::upstream::limits::ConnectionPermit;
use crate::upstream::pool::PooledConnection;
use crate::upstream::response::{read_response, ResponseError};
use futures_lite::FutureExt;
use rustix::io::Errno;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tulipwall::Outcome;
use tulipwall_discovery::endpoint_table::AttemptTarget;
use tulipwall_zones::ConnectionTraffic;

/// The user and the database in the startup message of a connection.
const USER: &str = "worker";
const DATABASE: &str = "catalog";

/// The reason for which a connection could not be opened. Nothing of a request was written.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The limit on connections to endpoints is reached, and none of them is idle.
    #[error("all connections to endpoints are in use")]
    LimitReached,
    /// The endpoint rejected the connection with an error that marks a retry as safe.
    #[error("the endpoint rejected the connection")]
    Rejected,
    /// The endpoint was not ready for a query within the connect timeout.
    #[error("the endpoint was not ready within the connect timeout")]
    TimedOut,
    /// The connection could not be opened, or failed during the handshake.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The endpoint did not complete the startup as PostgreSQL does.
    #[error("the endpoint did not complete the PostgreSQL startup")]
    InvalidHandshake,
}

impl ConnectError {
    /// Returns the outcome of an attempt that needed this connection.
    pub fn outcome(&self) -> Outcome {
        match self {
            ConnectError::LimitReached => Outcome::NotSent,
            ConnectError::Io(error) if is_local(error) => Outcome::NotSent,
            ConnectError::Rejected => Outcome::Rejected,
            ConnectError::TimedOut | ConnectError::Io(_) | ConnectError::InvalidHandshake => {
                Outcome::ConnectFailed
            }
        }
    }
}

/// Returns whether this machine lacks what a connection needs, which says nothing about the endpoint.
fn is_local(error: &io::Error) -> bool {
    const LOCAL_ERRORS: [Errno; 6] = [
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::ADDRNOTAVAIL,
        Errno::AGAIN,
    ];
    let errno = error.raw_os_error();
    LOCAL_ERRORS
        .iter()
        .any(|local| errno == Some(local.raw_os_error()))
}

/// Opens a connection and completes its startup, so that it is ready for its first query.
pub async fn open_connection(
    agent: &Agent,
    target: AttemptTarget,
) -> Result<PooledConnection, ConnectError> {
    let permit = acquire_permit(agent)?;
    let cost = HandshakeCostGuard::new(agent, target);
    let opened = perform_handshake(agent, target, &cost)
        .or(connect_timeout(agent))
        .await;
    if let Err(ConnectError::Io(error)) = &opened {
        if is_local(error) {
            agent.counters.connections_denied.increment();
            agent.pool.evict_idle();
        }
    }
    let connection = opened?;
    let connection = PooledConnection::new(connection, permit, agent.clock.now());
    cost.charge_opened();
    Ok(connection)
}

/// Acquires a permit for a socket. If none is free, an idle connection is closed for it.
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
    cost.track(connection.traffic.clone());
    let startup = postgres::startup(USER, DATABASE);
    connection.write(&startup).await?;
    let mut reply = StartupReader::default();
    let end = read_response(agent, &mut connection, &mut reply).await;
    match (end, reply.error) {
        (_, Some(EndpointError::Rejected)) => Err(ConnectError::Rejected),
        (Ok(()), None) => check_nothing_follows(agent, target, connection),
        (Err(ResponseError::Malformed(error)), _) => {
            agent.counters.responses_malformed.increment();
            agent.suspect_endpoint(target);
            let name = agent.endpoints.name(target.endpoint);
            log::debug!(target: EXCHANGE, "startup of {name}: {error}");
            Err(ConnectError::InvalidHandshake)
        }
        _ => Err(ConnectError::InvalidHandshake),
    }
}

/// Fails if the startup is followed by anything, which would be taken for the response to the first
/// request.
fn check_nothing_follows(
    agent: &Agent,
    target: AttemptTarget,
    connection: Connection,
) -> Result<Connection, ConnectError> {
    match connection.idle_state() {
        IdleState::Quiet => Ok(connection),
        IdleState::Closed => Err(ConnectError::InvalidHandshake),
        IdleState::DataReceived => {
            agent.counters.responses_unsolicited.increment();
            agent.suspect_endpoint(target);
            let name = agent.endpoints.name(target.endpoint);
            log::debug!(target: EXCHANGE, "startup of {name}: data follows it");
            Err(ConnectError::InvalidHandshake)
        }
    }
}

async fn connect_timeout(agent: &Agent) -> Result<Connection, ConnectError> {
    let timeout = agent.service_config().connect_timeout;
    agent.sleep_until(agent.clock.now() + timeout).await;
    Err(ConnectError::TimedOut)
}

/// Charges the cost of opening a connection to cross-zone traffic, also if it is abandoned halfway.
struct HandshakeCostGuard<'a> {
    agent: &'a Agent,
    target: AttemptTarget,
    started_at: Duration,
    traffic: RefCell<Option<Rc<SocketTraffic>>>,
}

impl HandshakeCostGuard<'_> {
    fn new(agent: &Agent, target: AttemptTarget) -> HandshakeCostGuard<'_> {
        HandshakeCostGuard {
            agent,
            target,
            started_at: agent.clock.now(),
            traffic: RefCell::default(),
        }
    }

    /// Tracks the traffic of the socket, once it is open.
    fn track(&self, traffic: Rc<SocketTraffic>) {
        *self.traffic.borrow_mut() = Some(traffic);
    }

    /// Charges the cost of a connection that is ready for its first query.
    fn charge_opened(&self) {
        self.charge(true);
    }

    fn charge(&self, opened: bool) {
        let Some(traffic) = self.traffic.take() else {
            return;
        };
        let now = self.agent.clock.now();
        let duration = now.saturating_sub(self.started_at);
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
