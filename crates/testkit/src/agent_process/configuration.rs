//! The configuration of an agent, as the platform gives it, and that of a client.

use super::free_address;
use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tulipwall::{DeduplicationScope, Idempotency};
use tulipwall_client_policy::ClientConfig;

/// A class of the settings.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Its name.
    pub name: String,
    /// `repeatable`, `by_key` or `once`, as the settings name it.
    pub idempotency: &'static str,
    /// The scope within which keys are recognized: `all`, `zone` or `cell`.
    pub deduplication_scope: &'static str,
    /// Its latency objective in milliseconds.
    pub latency_objective_ms: f64,
    /// Its priority weight.
    pub priority_weight: f64,
}

impl RequestClass {
    /// A class with a latency objective of 400 ms, whose keys are recognized everywhere.
    pub fn new(name: &str, idempotency: &'static str, priority_weight: f64) -> RequestClass {
        RequestClass {
            name: name.to_owned(),
            idempotency,
            deduplication_scope: "all",
            latency_objective_ms: 400.0,
            priority_weight,
        }
    }
}

/// What a client of agents that serve views, messages (`send`) and payments sets.
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

/// The classes of that service, as settings name them.
pub fn classes() -> Vec<RequestClass> {
    let class = RequestClass::new;
    vec![
        class("view", "repeatable", 3.0),
        class("send", "by_key", 3.0),
        class("payment", "once", 9.0),
    ]
}

/// The settings of a deployment, as an agent in `zone` gets them.
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
        "points": class.priority_weight,
    })
}

/// The configuration of one agent, that listens on an address of its own.
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
