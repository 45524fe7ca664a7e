//! The configuration of a client, which is read once at startup.

use std::net::SocketAddr;
use std::time::Duration;
use tulipwall::Idempotency;

/// Configuration of a client of one service that is reached through agents.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientConfig {
    /// Addresses of the agents. All other APIs identify an agent by its index in this list.
    pub agents: Vec<SocketAddr>,
    /// The request classes of the service. Other APIs identify a class by its index in this list.
    pub classes: Vec<RequestClass>,
    /// Whether the statement of a retry carries the retry marker (`r=1`).
    pub marks_retries: bool,
    /// When and how often a call is attempted again.
    pub retry: RetryPolicy,
    /// Limits and timeouts of the connections to each agent.
    pub connections: ConnectionPolicy,
    /// The limits on calls in flight and on calls that queue for a connection.
    pub concurrency: ConcurrencyPolicy,
    /// The longest value accepted in a response, in bytes. A response with a longer value is
    /// malformed.
    pub max_value_bytes: usize,
}

impl ClientConfig {
    /// The default of `max_value_bytes`, in bytes.
    const DEFAULT_MAX_VALUE_BYTES: usize = 64 * 1024;

    /// Creates a configuration with these agents and classes and defaults for everything else.
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

    /// Returns the index of the class with this name, or `None` if the service has no such class.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class.name == name)
    }
}

/// A class of requests that share idempotency, latency objective and priority.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// The name of the class in the statements sent to the agents.
    pub name: String,
    /// Whether a request of this class may run more than once.
    pub idempotency: Idempotency,
    /// A call that takes longer counts as a sign of overload and may lower the concurrency limit.
    pub latency_objective: Duration,
    /// The relative value of a response within the latency objective. The class with the lowest
    /// weight is shed first.
    pub priority_weight: f64,
}

/// When and how often a call is attempted again.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryPolicy {
    /// The maximum number of attempts of one call, including the first.
    pub max_attempts: u32,
    /// Retry tokens that each successful request earns; a retry costs one token. With 0.1, retries
    /// multiply the load by at most 1.1.
    pub tokens_per_success: f64,
    /// The maximum number of retry tokens, and the number available at startup.
    pub max_tokens: f64,
    /// The upper bound of the backoff before the first retry. It doubles with each further retry.
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

/// Limits and timeouts of the connections to each agent.
#[derive(Clone, Debug, PartialEq)]
pub struct ConnectionPolicy {
    /// The number of connections to each agent that the client opens before the first call when it
    /// is warmed up.
    pub min_connections: usize,
    /// The maximum number of open connections to an agent, including those in use.
    pub max_connections: usize,
    /// A connection that was idle for longer is closed. Must be shorter than the agent's own idle
    /// timeout.
    pub idle_timeout: Duration,
    /// The maximum age of a connection. The lifetime of each connection is up to a tenth shorter,
    /// at random.
    pub max_lifetime: Duration,
    /// The time limit for opening a connection.
    pub connect_timeout: Duration,
    /// The maximum number of connections to an agent that are being opened at the same time.
    pub max_connecting: usize,
    /// The maximum rate at which connections to an agent are opened.
    pub connects_per_second: f64,
    /// After an agent was lost, the first reconnect is delayed by a random fraction of this.
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
    /// The lower bound of the adaptive limit on calls in flight.
    pub min_limit: f64,
    /// The upper bound of the adaptive limit on calls in flight.
    pub max_limit: f64,
    /// The maximum number of calls that queue for a connection.
    pub max_queued: usize,
    /// The maximum time that a call may queue for a connection.
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
