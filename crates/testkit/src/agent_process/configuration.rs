//! Builders for the configuration of an agent, in the platform's format, and of a client.

use super::free_address;
use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tulipwall::{DeduplicationScope, Idempotency};
use tulipwall_client_policy::ClientConfig;

/// A request class in an agent's settings.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// The class name, which requests carry in their comment.
    pub name: String,
    /// The idempotency as spelled in the settings: `repeatable`, `by_key` or `once`.
    pub idempotency: &'static str,
    /// The scope within which endpoints deduplicate keys: `all`, `zone` or `cell`.
    pub deduplication_scope: &'static str,
    /// The latency objective in milliseconds.
    pub latency_objective_ms: f64,
    /// The priority weight relative to the other classes.
    pub weight: f64,
}

impl RequestClass {
    /// Creates a class with a latency objective of 400 ms and deduplication scope `all`.
    pub fn new(name: &str, idempotency: &'static str, weight: f64) -> RequestClass {
        RequestClass {
            name: name.to_owned(),
            idempotency,
            deduplication_scope: "all",
            latency_objective_ms: 400.0,
            weight,
        }
    }
}

/// Returns the configuration of a client for agents that serve the request classes of [`classes`]:
/// views, messages (`send`) and payments.
pub fn client_config(agents: Vec<SocketAddr>) -> ClientConfig {
    let class = |name: &str, idempotency, priority_weight| {
        let latency_objective = Duration::from_millis(400);
        tulipwall_client_policy::RequestClass {
            name: name.into(),
            idempotency,
            latency_objective,
            priority_weight,
        }
    };
    let keyed = Idempotency::Keyed {
        scope: DeduplicationScope::All,
        window: Duration::from_secs(5),
    };
    let classes = vec![
        class("view", Idempotency::Idempotent, 3.0),
        class("send", keyed, 3.0),
        class("payment", Idempotency::NonIdempotent, 9.0),
    ];
    ClientConfig::new(agents, classes)
}

/// Returns the request classes of [`client_config`] in the form that the agent's settings use.
pub fn classes() -> Vec<RequestClass> {
    let class = RequestClass::new;
    vec![
        class("view", "repeatable", 3.0),
        class("send", "by_key", 3.0),
        class("payment", "once", 9.0),
    ]
}

/// Returns the settings of a deployment of `agents` agents for an agent in `zone`.
pub fn settings(zones: &[&str], zone: &str, agents: u32, classes: &[RequestClass]) -> Value {
    let classes: Vec<Value> = classes.iter().map(class_settings).collect();
    json!({
        "zones": zones,
        "zone": zone,
        "classes": classes,
        "tenants": [],
        "discovery": "push",
        "granularity-ms": 1.0,
        "instances": agents,
        "limits": {
            "cancel": true,
            "second-copies": true,
            "try-limit": 5,
            "dial-timeout-ms": 250.0,
            "conn-idle-ms": 30000.0,
            "retry-after": true,
            "max-retry-after-ms": 2000.0,
        },
        "rules": {"cold-share": 0.3, "cold-ms": 3000.0, "fall-ms": 1000.0},
        "prices": {},
        "domain": {
            "most-shares": [0.2, 1.0],
            "cap-scope": "all",
            "decided-by": "timer",
            "swap": "beside",
            "spare-tries": 2.0,
            "vote-ttl-ms": 10000.0,
            "vote-wait-ms": 800.0,
        },
    })
}

fn class_settings(class: &RequestClass) -> Value {
    json!({
        "name": class.name,
        "aim-ms": class.latency_objective_ms,
        "give-up-ms": 1500.0,
        "idempotency": class.idempotency,
        "dedup-scope": class.deduplication_scope,
        "window-ms": 5000.0,
        "points": class.weight,
    })
}

/// Returns the configuration of one agent, which listens on a free loopback address.
///
/// `known` is the endpoint list that the agent starts with.
pub fn configuration(
    name: &str,
    discovery: SocketAddr,
    platform: SocketAddr,
    rollout_status: Value,
    known: Value,
    settings: Value,
) -> io::Result<Value> {
    Ok(json!({
        "name": name,
        "listen": free_address().to_string(),
        "discovery": discovery.to_string(),
        "seed": "8c1f",
        "limits": {"sockets": 1024},
        "known": known,
        "settings": settings,
        "deployer": {"address": platform.to_string(), "news": rollout_status},
    }))
}
