//! The platform's status of the newest build, and its wire format.

use serde_json::{json, Value};
use std::time::Instant;

/// The platform's status of the newest build.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutStatus {
    /// The number of the build.
    pub build: u32,
    /// The index of the current stage.
    pub stage: usize,
    /// The phase as the wire spells it: `trial`, `rolling_back`, `released` or `withdrawn`.
    pub phase: String,
    /// The share of requests, 0 to 1, that may go to the build.
    pub cap: f64,
    /// When the build entered this status.
    pub since: Instant,
}

impl RolloutStatus {
    /// Creates a status that begins now.
    pub fn now(build: u32, stage: usize, phase: &str, cap: f64) -> RolloutStatus {
        RolloutStatus {
            build,
            stage,
            phase: phase.to_owned(),
            cap,
            since: Instant::now(),
        }
    }

    /// Returns the status in the form of a configuration's `deployer.news`, with its age as of now.
    pub fn value(&self) -> Value {
        self.value_at(Instant::now())
    }

    /// Returns the status in the form of a configuration's `deployer.news`, with its age as of
    /// `now`.
    pub fn value_at(&self, now: Instant) -> Value {
        json!({"image": self.build, "ring": self.stage, "progress": self.phase, "ceiling": self.cap,
            "lag_ms": now.saturating_duration_since(self.since).as_millis() as u64})
    }

    /// Returns the JSON-RPC notification of this status, with its age as of `now`.
    pub fn notification(&self, now: Instant) -> Value {
        notification("ROLLOUT", self.value_at(now))
    }
}

/// Builds a JSON-RPC notification, which is a call without an id.
pub fn notification(method: &str, params: Value) -> Value {
    json!({"jsonrpc": "2.0", "method": method, "params": params})
}
