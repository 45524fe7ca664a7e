//! Acquires a connection for an attempt: an idle one, a new one, or the next one that is released.

use crate::connection::{ConnectError, Connection};
use crate::deadline::with_deadline;
use crate::shared::Shared;
use std::future::Future;
use std::pin::{pin, Pin};
use std::time::{Duration, Instant};
use thiserror::Error;
use tulipwall_client_policy::response::Response;
use tulipwall_client_policy::ConnectDecision;

/// A timer that fires this late indicates that the client process itself was stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(20);

/// A connection in use, together with its slot in the pool.
pub struct PooledConnection<'a> {
    permit: ConnectionPermit<'a>,
    pub connection: Connection,
}

/// Why no connection could be acquired for an attempt.
#[derive(Debug, Error)]
pub enum AcquireError {
    /// The agent was reached but accepts no requests.
    #[error("the agent refused the connection: {0:?}")]
    Refused(Response),
    /// No connection to the agent could be opened.
    #[error("the agent could not be reached")]
    Unreachable,
    /// The queue for a connection is full, or the call reached the queue timeout.
    #[error("no connection became available")]
    NoneFree,
}

/// A slot among the connections to an agent. Dropping it releases the slot, unless its connection
/// was returned to the pool.
struct ConnectionPermit<'a> {
    shared: &'a Shared,
    agent: usize,
    keeps_slot: bool,
}

impl<'a> ConnectionPermit<'a> {
    /// Creates a permit for a slot that was already counted.
    fn new(shared: &'a Shared, agent: usize) -> ConnectionPermit<'a> {
        ConnectionPermit {
            shared,
            agent,
            keeps_slot: false,
        }
    }
}

impl Drop for ConnectionPermit<'_> {
    fn drop(&mut self) {
        if !self.keeps_slot {
            self.shared.state().pools[self.agent].release_one();
            self.shared.notify_released();
        }
    }
}

/// The place of a call in the queue for a connection. Dropping it leaves the queue.
struct QueueGuard<'a>(&'a Shared);

impl<'a> QueueGuard<'a> {
    /// Joins the queue; `None` if the queue is full.
    fn enter(shared: &'a Shared) -> Option<QueueGuard<'a>> {
        let mut state = shared.state();
        if state.queued >= shared.config.concurrency.max_queued {
            return None;
        }
        state.queued += 1;
        Some(QueueGuard(shared))
    }
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.0.state();
        state.queued = state.queued.saturating_sub(1);
    }
}

/// The result of opening a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectResult {
    Connected,
    Failed,
    /// The call gave up first, which gives no information about the agent.
    Abandoned,
}

/// A connection that is being opened. Dropping it reports the result, which is `Abandoned` unless
/// another one was set.
struct ConnectGuard<'a> {
    shared: &'a Shared,
    agent: usize,
    result: ConnectResult,
}

impl Drop for ConnectGuard<'_> {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut state = self.shared.state();
        let agent_available = self.result != ConnectResult::Failed;
        state
            .agents
            .on_connect_end(now, self.agent, agent_available);
        match self.result {
            ConnectResult::Connected => state.counters.connections_opened += 1,
            ConnectResult::Failed | ConnectResult::Abandoned => {
                state.counters.connect_failures += 1;
            }
        }
        drop(state);
        self.shared.notify_released();
    }
}

/// Which event came first while a connection was being opened.
enum ConnectRace {
    Finished(Result<Connection, ConnectError>),
    ConnectTimeout,
    CallDeadline,
}

impl Shared {
    /// Acquires a connection to this agent: an idle one, else a new one if one may be opened, else
    /// the next one that is released.
    pub async fn acquire_connection(
        &self,
        agent: usize,
        deadline: Instant,
    ) -> Result<PooledConnection<'_>, AcquireError> {
        let queue_timeout = self.config.concurrency.queue_timeout;
        let queue_deadline = deadline.min(Instant::now() + queue_timeout);
        let mut queue_guard = None;
        loop {
            // The listener is registered before the state is checked, so that a release in between
            // is not missed.
            let released = self.released.listen();
            if let Some(connection) = self.take_idle(agent) {
                return Ok(connection);
            }
            let recheck_at = match self.reserve_connect(agent) {
                ConnectDecision::Connect => return self.connect(agent, deadline).await,
                ConnectDecision::NotBefore(time) => self.instant(time).min(queue_deadline),
                ConnectDecision::AtLimit => queue_deadline,
            };
            if queue_guard.is_none() {
                let guard = QueueGuard::enter(self).ok_or(AcquireError::NoneFree)?;
                queue_guard = Some(guard);
            }
            with_deadline(recheck_at, released).await;
            if Instant::now() >= queue_deadline {
                return Err(AcquireError::NoneFree);
            }
        }
    }

    /// Returns a connection to the pool, unless it may serve no other request.
    pub fn put_back(&self, pooled: PooledConnection<'_>) {
        let PooledConnection {
            mut permit,
            connection,
        } = pooled;
        if !connection.is_reusable() {
            return;
        }
        permit.keeps_slot = true;
        self.state().pools[permit.agent].put_back(connection);
        self.notify_released();
    }

    /// Takes an idle connection that is open and has no unread bytes. Connections that are too old
    /// or were idle for too long are closed.
    fn take_idle(&self, agent: usize) -> Option<PooledConnection<'_>> {
        let idle_timeout = self.config.connections.idle_timeout;
        let mut state = self.state();
        while let Some(connection) = state.pools[agent].take_longest_idle() {
            let fresh = connection.within_lifetime() && connection.idle_time() < idle_timeout;
            let usable = connection.is_open_without_data();
            if fresh && usable {
                state.counters.connections_reused += 1;
                return Some(PooledConnection {
                    permit: ConnectionPermit::new(self, agent),
                    connection,
                });
            }
            state.pools[agent].release_one();
            if fresh && !usable {
                state.counters.idle_found_closed += 1;
                state.on_connection_broken(self.now(), agent);
            }
        }
        None
    }

    /// Decides whether a connection may be opened now. If so, its slot is counted.
    fn reserve_connect(&self, agent: usize) -> ConnectDecision {
        let now = self.now();
        let max_connections = self.config.connections.max_connections.max(1);
        let mut state = self.state();
        if state.pools[agent].open >= max_connections {
            return ConnectDecision::AtLimit;
        }
        let decision = state.agents.try_connect(now, agent);
        if decision == ConnectDecision::Connect {
            state.pools[agent].open += 1;
        }
        decision
    }

    /// Opens a connection whose slot was already counted.
    async fn connect(
        &self,
        agent: usize,
        deadline: Instant,
    ) -> Result<PooledConnection<'_>, AcquireError> {
        let permit = ConnectionPermit::new(self, agent);
        let mut guard = ConnectGuard {
            shared: self,
            agent,
            result: ConnectResult::Abandoned,
        };
        let lifetime = self.state().agents.draw_connection_lifetime();
        let opening = pin!(Connection::open(self.config.agents[agent], lifetime));
        let result = match self.race_connect(opening, deadline).await {
            ConnectRace::Finished(result) => result,
            ConnectRace::CallDeadline => return Err(AcquireError::Unreachable),
            ConnectRace::ConnectTimeout => {
                guard.result = ConnectResult::Failed;
                return Err(AcquireError::Unreachable);
            }
        };
        guard.result = match result {
            Ok(_) => ConnectResult::Connected,
            Err(_) => ConnectResult::Failed,
        };
        match result {
            Ok(connection) => Ok(PooledConnection { permit, connection }),
            Err(ConnectError::Refused(response)) => Err(AcquireError::Refused(response)),
            Err(ConnectError::Io(_) | ConnectError::Malformed) => Err(AcquireError::Unreachable),
        }
    }

    /// Waits for a connection that is being opened, until the connect timeout or the call's
    /// deadline.
    ///
    /// A timer that fires late means that the process was stalled, and what the agent sent in the
    /// meantime is still unread. The timeout is then extended, so that the client does not mistake
    /// its own stall for one of the agent. If the agent is lost as well, the extension costs the
    /// call the same time again.
    async fn race_connect(
        &self,
        mut opening: Pin<&mut impl Future<Output = Result<Connection, ConnectError>>>,
        deadline: Instant,
    ) -> ConnectRace {
        let connect_timeout = self.config.connections.connect_timeout;
        let mut timeout_at = Instant::now() + connect_timeout;
        loop {
            let finished = with_deadline(timeout_at.min(deadline), opening.as_mut()).await;
            if let Some(result) = finished {
                return ConnectRace::Finished(result);
            }
            let overshoot = Instant::now().saturating_duration_since(timeout_at);
            if timeout_at > deadline {
                return ConnectRace::CallDeadline;
            }
            if timeout_at == deadline || overshoot < STALL_THRESHOLD {
                return ConnectRace::ConnectTimeout;
            }
            timeout_at += overshoot + overshoot.min(connect_timeout);
        }
    }
}
