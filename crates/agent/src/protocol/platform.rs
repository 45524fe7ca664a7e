//! The calls and notifications of the rollout platform: JSON-RPC 2.0 with one object per line.

use super::error::PlatformError;
use super::ProtocolError;
use serde_json::{json, Value};
use std::time::Duration;
use tulipwall::{RolloutPhase, Verdict, Vote, VoteReply};
use tulipwall_config::Fields;

/// The maximum length of a line, in bytes.
pub const MAX_LINE_LENGTH: usize = 8 * 1024;

/// The state of the newest rollout as the platform reports it.
#[derive(Debug, PartialEq)]
pub struct RolloutReport {
    /// The build that is rolled out.
    pub build: u32,
    /// The stage of the rollout, from 0.
    pub stage: usize,
    /// Whether the build is a canary, released, being rolled back, or rolled back.
    pub phase: RolloutPhase,
    /// The maximum share of requests that the build may receive.
    pub cap: f64,
    /// The time for which the rollout has been in this state.
    pub age: Duration,
}

/// One line from the platform.
#[derive(Debug, PartialEq)]
pub enum PlatformMessage {
    /// The state of the newest rollout has changed.
    RolloutStatus(RolloutReport),
    /// A client reported a wrong response to an attempt.
    ClientReportedError {
        /// The id of the endpoint that sent the response.
        endpoint: String,
        /// The name of the attempt's request class.
        class: String,
        /// The time from the response to this report.
        age: Duration,
    },
    /// Counts of a build and class in a sample of all agents' attempts.
    AggregatedCounts {
        /// The build that the attempts went to.
        build: u32,
        /// The name of the attempts' request class.
        class: String,
        /// The number of attempts in the sample.
        attempts: u32,
        /// The number of attempts in the sample that failed.
        failed: u32,
        /// The mean latency of the attempts in the sample.
        mean_latency: Duration,
        /// The age of the sample.
        age: Duration,
    },
    /// The response to the call with this id.
    Response {
        /// The id of the call.
        id: u64,
        /// The reply to the vote; meaningless if the call was not a vote.
        reply: VoteReply,
        /// The state of the newest rollout; `None` if the response does not hold it.
        rollout: Option<RolloutReport>,
    },
    /// The platform's periodic heartbeat.
    Heartbeat,
}

/// Returns the line of the call that subscribes to notifications.
pub fn watch_request(id: u64) -> String {
    let call = json!({"jsonrpc": "2.0", "id": id, "method": "Events.Watch"});
    call.to_string() + "\n"
}

/// Returns the line of the call that casts a vote on a rollout.
pub fn vote_request(id: u64, vote: &Vote) -> String {
    let opinion = match vote.verdict {
        Verdict::Hold => "pause",
        Verdict::RollBack => "abort",
        Verdict::Withdraw => "abstain",
    };
    let params = json!({"image": vote.build, "ring": vote.stage, "opinion": opinion});
    let call = json!({"jsonrpc": "2.0", "id": id, "method": "Rollout.Judge", "params": params});
    call.to_string() + "\n"
}

/// Reads the state of a rollout. An error names the missing or invalid field.
pub fn parse_rollout_report(fields: &Fields) -> Result<RolloutReport, PlatformError> {
    Ok(RolloutReport {
        build: read_u32(fields, "image")?,
        stage: fields.unsigned("ring")? as usize,
        phase: match fields.text("progress")? {
            "trial" => RolloutPhase::Canary,
            "rolling_back" => RolloutPhase::RollingBack,
            "released" => RolloutPhase::Released,
            "withdrawn" => RolloutPhase::RolledBack,
            other => {
                let message = format!("field progress: unknown value '{other}'");
                return Err(PlatformError::Field(message));
            }
        },
        cap: fields.number("ceiling")?,
        age: fields.duration_ms("lag_ms")?,
    })
}

/// Parses one line, which is passed without its line feed.
pub fn parse_message(line: &[u8]) -> Result<PlatformMessage, ProtocolError> {
    Ok(try_parse_message(line)?)
}

fn try_parse_message(line: &[u8]) -> Result<PlatformMessage, PlatformError> {
    let value: Value =
        serde_json::from_slice(line).map_err(|e| PlatformError::NotJson(e.to_string()))?;
    let fields = Fields::new(&value, "line")?;
    match fields.optional("method") {
        Some(method) => parse_notification(method.as_str(), &fields),
        None => parse_call_response(&fields),
    }
}

fn parse_notification(
    method: Option<&str>,
    fields: &Fields,
) -> Result<PlatformMessage, PlatformError> {
    match method {
        Some("ROLLOUT") => {
            let report = parse_rollout_report(&fields.object("params")?)?;
            Ok(PlatformMessage::RolloutStatus(report))
        }
        Some("DISPUTE") => {
            let params = fields.object("params")?;
            Ok(PlatformMessage::ClientReportedError {
                endpoint: params.text("host")?.to_owned(),
                class: params.text("type")?.to_owned(),
                age: params.duration_ms("lag_ms")?,
            })
        }
        Some("SAMPLE") => {
            let params = fields.object("params")?;
            Ok(PlatformMessage::AggregatedCounts {
                build: read_u32(&params, "image")?,
                class: params.text("type")?.to_owned(),
                attempts: read_u32(&params, "n")?,
                failed: read_u32(&params, "bad")?,
                mean_latency: params.duration_ms("latency_ms")?,
                age: params.duration_ms("lag_ms")?,
            })
        }
        Some("ping") => Ok(PlatformMessage::Heartbeat),
        _ => Err(PlatformError::UnknownMethod),
    }
}

fn parse_call_response(fields: &Fields) -> Result<PlatformMessage, PlatformError> {
    let id = fields.unsigned("id")?;
    if let Some(error) = fields.optional("error") {
        let reply = match Fields::new(error, "error")?.text("message")? {
            "ConditionFailed" => VoteReply::Moot,
            "Throttling" | "InternalFailure" | "ValidationError" => VoteReply::Refused,
            _ => return Err(PlatformError::UnknownErrorMessage),
        };
        return Ok(PlatformMessage::Response {
            id,
            reply,
            rollout: None,
        });
    }
    let rollout = match fields.optional("result") {
        Some(Value::Object(_)) => Some(parse_rollout_report(&fields.object("result")?)?),
        Some(_) => None,
        None => return Err(PlatformError::UnknownLine),
    };
    Ok(PlatformMessage::Response {
        id,
        reply: VoteReply::Counted,
        rollout,
    })
}

fn read_u32(fields: &Fields, name: &str) -> Result<u32, PlatformError> {
    u32::try_from(fields.unsigned(name)?)
        .map_err(|_| PlatformError::Field(format!("field {name}: too large")))
}

/// Returns the first line without its line feed, and its length in bytes with it; `None` while the
/// line is incomplete.
pub fn split_line(bytes: &[u8]) -> Result<Option<(&[u8], usize)>, ProtocolError> {
    match bytes.iter().position(|byte| *byte == b'\n') {
        Some(end) => Ok(Some((&bytes[..end], end + 1))),
        None if bytes.len() > MAX_LINE_LENGTH => Err(PlatformError::LineTooLong.into()),
        None => Ok(None),
    }
}
