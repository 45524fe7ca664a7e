//! The platform's handling of calls and its state of the newest build, without sockets.

use super::RolloutStatus;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// How long a vote to hold stays in force.
const HOLD_DURATION: Duration = Duration::from_secs(10);
/// The JSON-RPC error code for invalid parameters.
const INVALID_PARAMS: i32 = -32602;

/// The platform's side of a rollout: its status, and the votes on it.
pub struct RolloutService {
    /// The status of the newest build.
    pub rollout_status: RolloutStatus,
    /// The votes received so far, stale ones included, each with its time and its call parameters.
    pub votes: Vec<(Instant, Value)>,
    last_hold: Option<Instant>, // the last vote to hold, unless it was withdrawn
}

/// The result of a call.
pub struct CallResult {
    /// The JSON-RPC reply.
    pub reply: Value,
    /// Whether the call subscribes the caller to notifications.
    pub subscribes: bool,
    /// The status that the call changed, which must be sent to all subscribers; `None` if the call
    /// changed nothing.
    pub rollout_status: Option<RolloutStatus>,
}

impl CallResult {
    fn reply(reply: Value) -> CallResult {
        CallResult {
            reply,
            subscribes: false,
            rollout_status: None,
        }
    }

    fn success(id: &Value, result: Value) -> CallResult {
        CallResult::reply(json!({"jsonrpc": "2.0", "id": id, "result": result}))
    }

    fn failure(id: &Value, message: &str) -> CallResult {
        let error = json!({"code": INVALID_PARAMS, "message": message});
        CallResult::reply(json!({"jsonrpc": "2.0", "id": id, "error": error}))
    }
}

impl RolloutService {
    /// Creates a service that has received no votes.
    pub fn new(rollout_status: RolloutStatus) -> RolloutService {
        RolloutService {
            rollout_status,
            votes: Vec::new(),
            last_hold: None,
        }
    }

    /// Whether a vote to hold is in force.
    pub fn is_held(&self) -> bool {
        self.last_hold
            .is_some_and(|at| at.elapsed() < HOLD_DURATION)
    }

    /// Handles a JSON-RPC call that was received at `now`.
    pub fn handle_call(&mut self, now: Instant, call: &Value) -> CallResult {
        let id = &call["id"];
        match call["method"].as_str() {
            Some("Events.Watch") => CallResult {
                subscribes: true,
                ..CallResult::success(id, json!(true))
            },
            Some("Rollout.Judge") => self.handle_vote(now, id, &call["params"]),
            _ => CallResult::failure(id, "ValidationError"),
        }
    }

    fn handle_vote(&mut self, now: Instant, id: &Value, vote: &Value) -> CallResult {
        self.votes.push((now, vote.clone()));
        let status = &self.rollout_status;
        let current = vote["image"] == json!(status.build) && vote["ring"] == json!(status.stage);
        if !current {
            return CallResult::failure(id, "ConditionFailed");
        }
        let mut changed = None;
        match vote["opinion"].as_str() {
            Some("pause") => self.last_hold = Some(now),
            Some("abstain" | "promote") => self.last_hold = None,
            Some("abort") => {
                changed = Some(self.rolled_back(now));
            }
            _ => return CallResult::failure(id, "ValidationError"),
        }
        if let Some(status) = &changed {
            self.rollout_status = status.clone();
        }
        CallResult {
            rollout_status: changed,
            ..CallResult::success(id, self.rollout_status.value_at(now))
        }
    }

    fn rolled_back(&self, now: Instant) -> RolloutStatus {
        RolloutStatus {
            since: now,
            phase: "rolling_back".to_owned(),
            cap: 0.0,
            ..self.rollout_status
        }
    }
}
