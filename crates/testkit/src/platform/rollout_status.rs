//! What the platform says of the newest build, as the wire has it.

use serde_json::{json, Value};
use std::time::Instant;

/// What the platform says of the newest build.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutStatus {
    /// The build.
    pub build: u32,
    /// The stage that it is in, from 0.
    pub stage: usize,
    /// `trial`, `rolling_back`, `released` or `withdrawn`.
    pub phase: String,
    /// Share of requests that may go to it.
    pub cap: f64,
    /// When this came to be.
    pub since: Instant,
}

impl RolloutStatus {
    /// A status that holds from now on.
    pub fn now(build: u32, stage: usize, phase: &str, cap: f64) -> RolloutStatus {
        RolloutStatus {
            build,
            stage,
            phase: phase.to_owned(),
            cap,
            since: Instant::now(),
        }
    }

    /// In the form of a configuration's `deployer.news`.
    pub fn value(&self) -> Value {
        self.value_at(Instant::now())
    }

    /// The same as it is sent at another time.
    pub fn value_at(&self, now: Instant) -> Value {
        json!({"image": self.build, "ring": self.stage, "progress": self.phase, "ceiling": self.cap,
            "lag_ms": now.saturating_duration_since(self.since).as_millis() as u64})
    }

    /// The notification of it.
    pub fn notification(&self, now: Instant) -> Value {
        notification("ROLLOUT", self.value_at(now))
    }
}

/// A notification of the platform, as JSON-RPC.
pub fn notification(method: &str, params: Value) -> Value {
    json!({"jsonrpc": "2.0", "method": method, "params": params})
}
