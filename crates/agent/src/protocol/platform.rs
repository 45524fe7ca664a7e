//! The platform's calls and notifications: JSON-RPC 2.0, one object per line.

use super::{malformed, Malformed};
use serde_json::{json, Value};
use std::time::Duration;
use tulipwall::{RolloutPhase, Verdict, Vote, VoteReply};
use tulipwall_config::Fields;

/// No line of the platform's is as long.
pub const LINE_MOST: usize = 8 * 1024;

/// What the platform says of the newest build; `age` since it came to stand so.
#[derive(Debug, PartialEq)]
pub struct Told {
    pub build: u32,
    pub stage: usize,
    pub phase: RolloutPhase,
    pub cap: f64,
    pub age: Duration,
}

#[derive(Debug, PartialEq)]
pub enum Line {
    RolloutStatus(Told),
    /// An endpoint gave a wrong answer to an attempt sent `age` ago.
    Flag {
        endpoint: String,
        class: String,
        age: Duration,
    },
    /// What it counted of a build and class in a sample of all agents' attempts.
    Counted {
        build: u32,
        class: String,
        attempts: u32,
        failed: u32,
        took: Duration,
        age: Duration,
    },
    /// The answer to call `id`.
    Answer {
        id: u64,
        reply: VoteReply,
        told: Option<Told>,
    },
    SignOfLife,
}

pub fn watch(id: u64) -> String {
    json!({"jsonrpc": "2.0", "id": id, "method": "Events.Watch"}).to_string() + "\n"
}

pub fn vote(id: u64, v: &Vote) -> String {
    let opinion = match v.verdict {
        Verdict::Hold => "pause",
        Verdict::RollBack => "abort",
        Verdict::Withdraw => "abstain",
    };
    let params = json!({"image": v.build, "ring": v.stage, "opinion": opinion});
    json!({"jsonrpc": "2.0", "id": id, "method": "Rollout.Judge", "params": params}).to_string()
        + "\n"
}

fn number(f: &Fields, name: &str) -> Result<u32, String> {
    u32::try_from(f.unsigned(name)?).map_err(|_| format!("field {name}: too large"))
}

pub fn told(f: &Fields) -> Result<Told, String> {
    Ok(Told {
        build: number(f, "image")?,
        stage: f.unsigned("ring")? as usize,
        phase: match f.text("progress")? {
            "trial" => RolloutPhase::Canary,
            "rolling_back" => RolloutPhase::RollingBack,
            "released" => RolloutPhase::Released,
            "withdrawn" => RolloutPhase::RolledBack,
            other => return Err(format!("field progress: unknown value '{other}'")),
        },
        cap: f.number("ceiling")?,
        age: f.duration_ms("lag_ms")?,
    })
}

pub fn line(bytes: &[u8]) -> Result<Line, Malformed> {
    let value: Value =
        serde_json::from_slice(bytes).map_err(|e| Malformed(format!("line: {e}")))?;
    let f = Fields::new(&value, "line")?;
    if let Some(method) = f.optional("method") {
        return Ok(match method.as_str() {
            Some("ROLLOUT") => Line::RolloutStatus(told(&f.object("params")?)?),
            Some("DISPUTE") => {
                let p = f.object("params")?;
                let (endpoint, class) = (p.text("host")?.to_owned(), p.text("type")?.to_owned());
                Line::Flag {
                    endpoint,
                    class,
                    age: p.duration_ms("lag_ms")?,
                }
            }
            Some("SAMPLE") => {
                let p = f.object("params")?;
                Line::Counted {
                    build: number(&p, "image")?,
                    class: p.text("type")?.to_owned(),
                    attempts: number(&p, "n")?,
                    failed: number(&p, "bad")?,
                    took: p.duration_ms("latency_ms")?,
                    age: p.duration_ms("lag_ms")?,
                }
            }
            Some("ping") => Line::SignOfLife,
            _ => return malformed("line: field method: unknown value"),
        });
    }
    let id = f.unsigned("id")?;
    if let Some(error) = f.optional("error") {
        let reply = match Fields::new(error, "error")?.text("message")? {
            "ConditionFailed" => VoteReply::Moot,
            "Throttling" | "InternalFailure" | "ValidationError" => VoteReply::Refused,
            _ => return malformed("line: field message: unknown value"),
        };
        return Ok(Line::Answer {
            id,
            reply,
            told: None,
        });
    }
    match f.optional("result") {
        Some(Value::Object(_)) => {
            let told = Some(told(&f.object("result")?)?);
            Ok(Line::Answer {
                id,
                reply: VoteReply::Counted,
                told,
            })
        }
        Some(_) => Ok(Line::Answer {
            id,
            reply: VoteReply::Counted,
            told: None,
        }),
        None => malformed("line: neither method, result nor error"),
    }
}

/// The next whole line and the bytes it took with its end.
pub fn split(bytes: &[u8]) -> Result<Option<(&[u8], usize)>, Malformed> {
    match bytes.iter().position(|b| *b == b'\n') {
        Some(end) => Ok(Some((&bytes[..end], end + 1))),
        None if bytes.len() > LINE_MOST => malformed("line: too long"),
        None => Ok(None),
    }
}
