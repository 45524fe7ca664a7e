//! Puts the decisions of `tulipwall` on the bench's wire: one line in, one line out, many
//! instances. It keeps timers and the names of requests in hand; it decides nothing.

mod instance;

use instance::Instance;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use std::time::Duration;
use tulipwall_config::Fields;

/// The numbered lists that came ahead of the events that need them, shared by all instances here.
type Sheets = BTreeMap<u64, Vec<Value>>;

fn main() -> ExitCode {
    let mut instances = BTreeMap::new();
    let mut sheets = Sheets::new();
    let mut start = None;
    let mut out = io::BufWriter::new(io::stdout().lock());
    for (number, line) in io::stdin().lock().split(b'\n').enumerate() {
        let reply = line
            .map_err(|e| e.to_string())
            .and_then(|line| round(&line, &mut start, &mut instances, &mut sheets))
            .map_err(|e| format!("tulipwall-sim-adapter: line {}: {e}", number + 1));
        match reply {
            Err(message) => {
                eprintln!("{message}");
                return ExitCode::FAILURE;
            }
            Ok(reply) => {
                let written = writeln!(out, "{reply}").and_then(|()| out.flush());
                if written.is_err() {
                    return ExitCode::FAILURE;
                }
            }
        }
    }
    ExitCode::SUCCESS
}

fn round(
    line: &[u8],
    start: &mut Option<Duration>,
    instances: &mut BTreeMap<i64, Instance>,
    sheets: &mut Sheets,
) -> Result<Value, String> {
    let batch: Value = serde_json::from_slice(line).map_err(|e| format!("not JSON: {e}"))?;
    let batch = Fields::new(&batch, "batch")?;
    let now = batch.duration_ms("t-ms")?;
    // Spans count from the first clock this process saw.
    let start = *start.get_or_insert(now);
    let mut replies = Vec::new();
    for agent in batch.array("agents")? {
        let agent = Fields::new(agent, "agents")?;
        let id = agent.integer("agent-id")?;
        let mut said = Vec::new();
        for item in agent.array("items")? {
            let item = Fields::new(item, "items")?;
            match item.text("t")? {
                "Sheet" => {
                    sheets.insert(item.unsigned("buffer")?, item.array("nodes-list")?.clone());
                }
                "OpenInstance" => match Instance::open(now, start, &item) {
                    Ok(instance) => {
                        instances.insert(id, instance);
                    }
                    // The wire's own fault: the settings name something they do not define.
                    Err(error) if error.is_undefined_name() => {
                        said.push(json!({"t": "Fatal", "note-text": error.to_string()}))
                    }
                    Err(error) => return Err(error.to_string()),
                },
                "Down" => {
                    instances.remove(&id);
                }
                kind => {
                    if let Some(instance) = instances.get_mut(&id) {
                        instance.tell(now, kind, &item, sheets, &mut said)?;
                    } else if !instance::KNOWN.contains(&kind) {
                        return Err(format!("field t: unknown message '{kind}'"));
                    }
                }
            }
        }
        if let Some(instance) = instances.get_mut(&id) {
            instance.settle(now, &mut said);
        }
        if !said.is_empty() {
            replies.push(json!({"agent-id": id, "cmds": said}));
        }
    }
    Ok(json!({ "agents": replies }))
}
