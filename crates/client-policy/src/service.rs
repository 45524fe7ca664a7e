//! What a client reads once, at its start.

use std::net::SocketAddr;
use std::time::Duration;
use tulipwall::Idempotency;

/// A service behind agents, as one client of it sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub agents: Vec<SocketAddr>,
    pub classes: Vec<RequestClass>,
    /// Retries are marked as such (`r=1`), where the deployment says so.
    pub marks_retries: bool,
    pub retrying: Retrying,
    pub connections: Connections,
    pub in_flight: InFlight,
    /// A value holds no more bytes; a longer one is no answer.
    pub value_most: usize,
}

impl Service {
    /// A service with these agents and classes, and defaults for all else.
    pub fn new(agents: Vec<SocketAddr>, classes: Vec<RequestClass>) -> Service {
        Service {
            agents,
            classes,
            marks_retries: false,
            retrying: Retrying::default(),
            connections: Connections::default(),
            in_flight: InFlight::default(),
            value_most: 64 * 1024,
        }
    }

    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|l| l.name == name)
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    pub name: String,
    pub idempotency: Idempotency,
    pub latency_objective: Duration,
    /// Points for an answer in time; what is worth least is shed first.
    pub priority_weight: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Retrying {
    /// Tries of one call, the first among them.
    pub tries: u32,
    /// Tokens that each satisfied request earns; a retry costs one. A tenth multiplies load by 1.1
    /// at most.
    pub earned: f64,
    /// Tokens that are kept at most, and at the start.
    pub kept: f64,
    /// The longest pause before the first retry; doubled at each, up to the second.
    pub pause: (Duration, Duration),
}

impl Default for Retrying {
    fn default() -> Retrying {
        let pause = (Duration::from_millis(20), Duration::from_secs(1));
        Retrying {
            tries: 4,
            earned: 0.1,
            kept: 10.0,
            pause,
        }
    }
}

/// Connections to each agent.
#[derive(Clone, Debug, PartialEq)]
pub struct Connections {
    pub least: usize,
    pub most: usize,
    /// One idle for longer is closed: less than the agent's own limit.
    pub idle: Duration,
    /// One older than this is closed, by up to a tenth earlier by chance.
    pub life: Duration,
    pub within: Duration,
    /// New ones being opened at once, and in a second.
    pub opening: usize,
    pub rate: f64,
    /// After an agent was lost, the first new connection waits for up to as long, by chance.
    pub spread: Duration,
}

impl Default for Connections {
    fn default() -> Connections {
        Connections {
            least: 0,
            most: 64,
            idle: Duration::from_millis(1500),
            life: Duration::from_secs(600),
            within: Duration::from_millis(500),
            opening: 4,
            rate: 50.0,
            spread: Duration::from_secs(3),
        }
    }
}

/// A client's own limits.
#[derive(Clone, Debug, PartialEq)]
pub struct InFlight {
    /// The bound on calls in flight moves between these.
    pub least: f64,
    pub most: f64,
    /// Calls that wait for a connection at most, and for how long.
    pub waiting: usize,
    pub wait: Duration,
}

impl Default for InFlight {
    fn default() -> InFlight {
        InFlight {
            least: 4.0,
            most: 512.0,
            waiting: 256,
            wait: Duration::from_millis(500),
        }
    }
}
