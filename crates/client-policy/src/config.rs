//! The configuration of a client, read once at its start.

use std::net::SocketAddr;
use std::time::Duration;
use tulipwall::Idempotency;

/// A service behind agents, as one client of it sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientConfig {
    /// Addresses of the agents; everywhere else an agent is named by its index in this list.
    pub agents: Vec<SocketAddr>,
    /// The request classes of the service; a class is named by its index in this list.
    pub classes: Vec<RequestClass>,
    /// Whether a retry is marked as such (`r=1`) in its statement.
    pub marks_retries: bool,
    /// When and how often a call is attempted again.
    pub retry: RetryPolicy,
    /// The connections to each agent.
    pub connections: ConnectionPolicy,
    /// The limits on calls in flight and on calls that queue for a connection.
    pub concurrency: ConcurrencyPolicy,
    /// The longest value that is accepted, in bytes; a longer one is a malformed response.
    pub max_value_bytes: usize,
}

impl ClientConfig {
    /// The longest value that is accepted unless configured otherwise, in bytes.
    const DEFAULT_MAX_VALUE_BYTES: usize = 64 * 1024;

    /// A service with these agents and classes, and defaults for all else.
    pub fn new(agents: Vec<SocketAddr>, classes: Vec<RequestClass>) -> ClientConfig {
        ClientConfig {
            agents,
            classes,
            marks_retries: false,
            retry: RetryPolicy::default(),
            connections: ConnectionPolicy::default(),
            concurrency: ConcurrencyPolicy::default(),
            max_value_bytes: ClientConfig::DEFAULT_MAX_VALUE_BYTES,
        }
    }

    /// The index of the class with this name, if the service has one.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class.name == name)
    }
}

/// A kind of request, and what its responses are worth.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// The name in the statements sent to the agents.
    pub name: String,
    /// Whether a request of this class may run more than once.
    pub idempotency: Idempotency,
    /// A response that takes longer counts against the concurrency limit.
    pub latency_objective: Duration,
    /// The value of a response within the latency objective; the class with the least is shed
    /// first.
    pub priority_weight: f64,
}

/// When and how often a call is attempted again.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Attempts of one call, the first among them.
    pub max_attempts: u32,
    /// Retry tokens that each successful request earns; a retry costs one. A tenth multiplies the
    /// load by 1.1 at most.
    pub tokens_per_success: f64,
    /// Retry tokens that are kept at most, and held at the start.
    pub max_tokens: f64,
    /// The longest backoff before the first retry; doubled at each further one.
    pub initial_backoff: Duration,
    /// The limit on the doubled backoff.
    pub max_backoff: Duration,
}

impl Default for RetryPolicy {
    fn default() -> RetryPolicy {
        RetryPolicy {
            max_attempts: 4,
            tokens_per_success: 0.1,
            max_tokens: 10.0,
            initial_backoff: Duration::from_millis(20),
            max_backoff: Duration::from_secs(1),
        }
    }
}

/// The connections to each agent.
#[derive(Clone, Debug, PartialEq)]
pub struct ConnectionPolicy {
    /// Connections that are opened ahead of the first call.
    pub min_connections: usize,
    /// Connections that are open at most, those in use among them.
    pub max_connections: usize,
    /// A connection idle for longer is closed. Has to be less than the agent's own limit.
    pub idle_timeout: Duration,
    /// A connection older than this is closed; up to a tenth earlier, at random.
    pub max_lifetime: Duration,
    /// How long opening a connection may take.
    pub connect_timeout: Duration,
    /// Connections that are being opened at once, at most.
    pub max_connecting: usize,
    /// Connections that are opened in a second, at most.
    pub connects_per_second: f64,
    /// After an agent was lost, the first new connection waits for a random part of this.
    pub reconnect_spread: Duration,
}

impl Default for ConnectionPolicy {
    fn default() -> ConnectionPolicy {
        ConnectionPolicy {
            min_connections: 0,
            max_connections: 64,
            idle_timeout: Duration::from_millis(1500),
            max_lifetime: Duration::from_secs(600),
            connect_timeout: Duration::from_millis(500),
            max_connecting: 4,
            connects_per_second: 50.0,
            reconnect_spread: Duration::from_secs(3),
        }
    }
}

/// The limits on calls in flight and on calls that queue for a connection.
#[derive(Clone, Debug, PartialEq)]
pub struct ConcurrencyPolicy {
    /// The adaptive limit on calls in flight never falls below this.
    pub min_limit: f64,
    /// The adaptive limit on calls in flight never grows beyond this.
    pub max_limit: f64,
    /// Calls that queue for a connection at most.
    pub max_queued: usize,
    /// How long a call may queue for a connection.
    pub queue_timeout: Duration,
}

impl Default for ConcurrencyPolicy {
    fn default() -> ConcurrencyPolicy {
        ConcurrencyPolicy {
            min_limit: 4.0,
            max_limit: 512.0,
            max_queued: 256,
            queue_timeout: Duration::from_millis(500),
        }
    }
}
