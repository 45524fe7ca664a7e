//! The simulator's wire: the messages to it, and the values that stand in the fields of its own.

use crate::error::AdapterError;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;
use tulipwall::{EndpointState, Outcome, RolloutPhase, Verdict, VoteReply};
use tulipwall_config::{duration_from_ms, Fields};

/// The numbered endpoint lists that came ahead of the messages that refer to them.
pub type EndpointLists = BTreeMap<u64, Vec<Value>>;

/// The timer after which an instance is polled; any other is named by the id of its request.
pub const POLL_TIMER: &str = "wait";

/// The shortest timeout that is sent: one of zero would mean none.
pub const MIN_TIMEOUT_MS: f64 = 0.001;

/// Messages that an agent gets. Those to an agent that is not there are ignored, as they were on
/// their way when it went down.
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
    pub agents: Vec<AgentReply>,
}

/// What one agent wants done.
#[derive(Serialize)]
pub struct AgentReply {
    #[serde(rename = "agent-id")]
    pub agent: i64,
    #[serde(rename = "cmds")]
    pub commands: Vec<Command>,
}

/// One thing that an agent wants done.
#[derive(Serialize)]
#[serde(tag = "t")]
pub enum Command {
    /// The settings or the endpoint list use a name that the settings do not define.
    #[serde(rename = "Fatal")]
    Fatal {
        #[serde(rename = "note-text")]
        text: String,
    },
    #[serde(rename = "Debug")]
    Log {
        #[serde(rename = "note-text")]
        text: String,
    },
    /// Asks for the endpoint list.
    #[serde(rename = "Listen")]
    WatchEndpoints {
        #[serde(rename = "want")]
        open: bool,
    },
    #[serde(rename = "AskLoad")]
    RequestLoadReport {
        #[serde(rename = "appliance")]
        endpoint: String,
    },
    #[serde(rename = "Verdict")]
    Vote {
        #[serde(rename = "rel")]
        build: u32,
        #[serde(rename = "wave")]
        stage: usize,
        #[serde(rename = "code")]
        verdict: u8,
    },
    #[serde(rename = "Remind")]
    SetTimer {
        #[serde(rename = "ctx")]
        timer: String,
        #[serde(rename = "instant-ms")]
        at_ms: f64,
    },
    #[serde(rename = "Place")]
    Forward {
        #[serde(rename = "txn")]
        request: String,
        #[serde(rename = "appliance")]
        endpoint: String,
        #[serde(rename = "give-up-after-ms")]
        timeout_ms: f64,
    },
    #[serde(rename = "Deny")]
    Reject {
        #[serde(rename = "txn")]
        request: String,
        #[serde(rename = "cool-down-ms")]
        retry_after_ms: Option<f64>,
    },
    #[serde(rename = "RespondError")]
    Fail {
        #[serde(rename = "txn")]
        request: String,
    },
    #[serde(rename = "DropAttempt")]
    Cancel {
        #[serde(rename = "txn")]
        request: String,
        #[serde(rename = "n")]
        attempt: usize,
    },
}

impl Command {
    /// The report of a fault in what the simulator sent.
    pub fn fatal(text: impl Into<String>) -> Command {
        Command::Fatal { text: text.into() }
    }
}

impl Reply {
    /// The reply as one line. The keys of every object are sorted.
    pub fn to_json(&self) -> Result<Value, AdapterError> {
        serde_json::to_value(self).map_err(AdapterError::Reply)
    }
}

/// The code of a verdict.
pub fn verdict_code(verdict: Verdict) -> u8 {
    match verdict {
        Verdict::Withdraw => 0,
        Verdict::Hold => 2,
        Verdict::RollBack => 3,
    }
}

/// How an attempt or a probe ended.
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

/// The state of an endpoint in a list.
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

/// What came of a call for the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    Failed,
    /// Some entries; those that it does not name stay.
    Incremental,
    /// All entries.
    Complete,
}

/// What came of a call for the endpoint list.
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

/// The phase of a rollout.
pub fn parse_rollout_phase(code: u64) -> Result<RolloutPhase, AdapterError> {
    match code {
        0 => Ok(RolloutPhase::Canary),
        1 => Ok(RolloutPhase::RollingBack),
        2 => Ok(RolloutPhase::Released),
        3 => Ok(RolloutPhase::RolledBack),
        found => Err(AdapterError::UnknownPhase { found }),
    }
}

/// What the rollout platform replied to a vote.
pub fn parse_vote_reply(code: &str) -> VoteReply {
    match code {
        "success" => VoteReply::Counted,
        "void" => VoteReply::Moot,
        "timed_out" => VoteReply::Unknown,
        _ => VoteReply::Refused,
    }
}

/// The requests that an endpoint holds, where the message has a load report.
pub fn reported_load(message: &Fields) -> Option<f64> {
    let report = message.optional("pressure")?;
    report.get("concurrent")?.as_f64()
}

/// The text of a field that may be missing; other than text counts as missing.
pub fn optional_text<'a>(message: &Fields<'a>, field: &str) -> Option<&'a str> {
    message.optional(field)?.as_str()
}

/// The milliseconds of a field that may be missing; other than a number counts as missing.
pub fn optional_duration(message: &Fields, field: &str) -> Option<Duration> {
    let milliseconds = message.optional(field)?.as_f64()?;
    Some(duration_from_ms(milliseconds))
}
