//! The simulator's protocol: the messages sent to it, and the field values in messages from it.

use crate::error::AdapterError;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;
use tulipwall::{EndpointState, Outcome, RolloutPhase, Verdict, VoteReply};
use tulipwall_config::{duration_from_ms, Fields};

/// The endpoint lists by their number. The simulator sends a list before the messages that refer to
/// it.
pub type EndpointLists = BTreeMap<u64, Vec<Value>>;

/// The name of the timer for polling an instance. All other timers are named by their request's id.
pub const POLL_TIMER: &str = "wait";

/// The shortest timeout that is sent, in milliseconds. Zero would mean no timeout.
pub const MIN_TIMEOUT_MS: f64 = 0.001;

/// Messages that are ignored if their agent is not running: they may have been in flight when the
/// agent went down.
pub const IGNORED_WITHOUT_INSTANCE: [&str; 10] = [
    "Targets",
    "Accept",
    "UnderWay",
    "ReportBack",
    "Gone",
    "DeadlineHit",
    "ProbeDone",
    "PeerData",
    "Promotion",
    "PeriodSums",
];

/// The reply to one line.
#[derive(Serialize)]
pub struct Reply {
    /// The agents that have commands.
    pub agents: Vec<AgentReply>,
}

/// The commands of one agent.
#[derive(Serialize)]
pub struct AgentReply {
    #[serde(rename = "agent-id")]
    pub agent: i64,
    #[serde(rename = "cmds")]
    pub commands: Vec<Command>,
}

/// One command from an agent to the simulator.
#[derive(Serialize)]
#[serde(tag = "t")]
pub enum Command {
    /// Reports that a message uses a name that the settings do not define.
    #[serde(rename = "Fatal")]
    Fatal {
        #[serde(rename = "note-text")]
        text: String,
    },
    /// A log line of the balancer.
    #[serde(rename = "Debug")]
    Log {
        #[serde(rename = "note-text")]
        text: String,
    },
    /// Requests the endpoint list.
    #[serde(rename = "Listen")]
    WatchEndpoints {
        #[serde(rename = "want")]
        open: bool,
    },
    /// Requests a load report from an endpoint.
    #[serde(rename = "AskLoad")]
    RequestLoadReport {
        #[serde(rename = "appliance")]
        endpoint: String,
    },
    /// Votes on a stage of a rollout.
    #[serde(rename = "Verdict")]
    Vote {
        #[serde(rename = "rel")]
        build: u32,
        #[serde(rename = "wave")]
        stage: usize,
        #[serde(rename = "code")]
        verdict: u8,
    },
    /// Sets a timer.
    #[serde(rename = "Remind")]
    SetTimer {
        #[serde(rename = "ctx")]
        timer: String,
        #[serde(rename = "instant-ms")]
        at_ms: f64,
    },
    /// Sends an attempt to an endpoint.
    #[serde(rename = "Place")]
    Forward {
        #[serde(rename = "txn")]
        request: String,
        #[serde(rename = "appliance")]
        endpoint: String,
        #[serde(rename = "give-up-after-ms")]
        timeout_ms: f64,
    },
    /// Rejects a request; `retry_after_ms` is `None` if the client is not told when to retry.
    #[serde(rename = "Deny")]
    Reject {
        #[serde(rename = "txn")]
        request: String,
        #[serde(rename = "cool-down-ms")]
        retry_after_ms: Option<f64>,
    },
    /// Answers a request with an error.
    #[serde(rename = "RespondError")]
    Fail {
        #[serde(rename = "txn")]
        request: String,
    },
    /// Cancels an attempt.
    #[serde(rename = "DropAttempt")]
    Cancel {
        #[serde(rename = "txn")]
        request: String,
        #[serde(rename = "n")]
        attempt: usize,
    },
}

impl Command {
    /// Creates the report of an error in the simulator's messages.
    pub fn fatal(text: impl Into<String>) -> Command {
        Command::Fatal { text: text.into() }
    }
}

impl Reply {
    /// Converts the reply to JSON, with the keys of every object sorted.
    pub fn to_json(&self) -> Result<Value, AdapterError> {
        serde_json::to_value(self).map_err(AdapterError::Reply)
    }
}

/// Returns the protocol's code for a verdict.
pub fn verdict_code(verdict: Verdict) -> u8 {
    match verdict {
        Verdict::Withdraw => 0,
        Verdict::Hold => 2,
        Verdict::RollBack => 3,
    }
}

/// Parses the outcome of an attempt or of a load report.
pub fn parse_outcome(code: &str) -> Result<Outcome, AdapterError> {
    match code {
        "success" => Ok(Outcome::Succeeded),
        "failure" => Ok(Outcome::Failed),
        "overloaded" => Ok(Outcome::Rejected),
        "timed_out" => Ok(Outcome::TimedOut),
        "unreachable" => Ok(Outcome::ConnectFailed),
        "broken" => Ok(Outcome::ConnectionLost),
        "withdrawn" => Ok(Outcome::Cancelled),
        "void" => Ok(Outcome::NotSent),
        _ => Err(AdapterError::UnknownOutcome),
    }
}

/// Parses the state of an endpoint in a list.
pub fn parse_endpoint_state(code: &str) -> Result<EndpointState, AdapterError> {
    match code {
        "Running" => Ok(EndpointState::Running),
        "Stopping" => Ok(EndpointState::Draining),
        "Deleted" => Ok(EndpointState::Gone),
        other => Err(AdapterError::UnknownValue {
            field: "availability",
            found: other.to_owned(),
        }),
    }
}

/// The kind of an answer to a call for the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// The call failed.
    Failed,
    /// The list has some entries; endpoints that it does not list stay as they are.
    Incremental,
    /// The list has all entries.
    Complete,
}

/// Parses the kind of an answer to a call for the endpoint list.
pub fn parse_list_update(code: &str) -> Result<ListUpdate, AdapterError> {
    match code {
        "FAILED" => Ok(ListUpdate::Failed),
        "INCREMENTAL" => Ok(ListUpdate::Incremental),
        "FULL" | "SAVED" => Ok(ListUpdate::Complete),
        other => Err(AdapterError::UnknownValue {
            field: "how",
            found: other.to_owned(),
        }),
    }
}

/// Parses the phase of a rollout.
pub fn parse_rollout_phase(code: u64) -> Result<RolloutPhase, AdapterError> {
    match code {
        0 => Ok(RolloutPhase::Canary),
        1 => Ok(RolloutPhase::RollingBack),
        2 => Ok(RolloutPhase::Released),
        3 => Ok(RolloutPhase::RolledBack),
        found => Err(AdapterError::UnknownPhase { found }),
    }
}

/// Parses the rollout platform's reply to a vote.
pub fn parse_vote_reply(code: &str) -> VoteReply {
    match code {
        "success" => VoteReply::Counted,
        "void" => VoteReply::Moot,
        "timed_out" => VoteReply::Unknown,
        _ => VoteReply::Refused,
    }
}

/// Returns the number of requests in progress at an endpoint; `None` if the message has no load
/// report.
pub fn reported_load(message: &Fields) -> Option<f64> {
    let report = message.optional("pressure")?;
    report.get("concurrent")?.as_f64()
}

/// Returns the text of an optional field. A value that is not text counts as missing.
pub fn optional_text<'a>(message: &Fields<'a>, field: &str) -> Option<&'a str> {
    message.optional(field)?.as_str()
}

/// Returns the duration, given in milliseconds, of an optional field. A value that is not a number
/// counts as missing.
pub fn optional_duration(message: &Fields, field: &str) -> Option<Duration> {
    let milliseconds = message.optional(field)?.as_f64()?;
    Some(duration_from_ms(milliseconds))
}
