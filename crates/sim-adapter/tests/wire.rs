//! Tests of the program with the simulator's messages: a recorded session, and invalid lines.

use serde_json::Value;
use std::io::Write;
use std::process::{Command, Output, Stdio};

/// A recorded session of two agents of an invented service, and the replies to it.
const SESSION: &str = include_str!("data/session.jsonl");
const REPLIES: &str = include_str!("data/session.replies.jsonl");

const BINARY: &str = env!("CARGO_BIN_EXE_tulipwall-sim-adapter");

fn run(input: &str) -> Output {
    let mut child = Command::new(BINARY)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut stdin = child.stdin.take().unwrap();
    let input = input.to_owned();
    let writer = std::thread::spawn(move || stdin.write_all(input.as_bytes()));
    let output = child.wait_with_output().unwrap();
    // The write may fail: a program that exits at an invalid line does not read the rest.
    let _ = writer.join().unwrap();
    output
}

/// Checks the format of a reply, and returns it without the log commands, whose text may change.
fn without_log_lines(line: &str) -> String {
    let mut reply: Value = serde_json::from_str(line).unwrap();
    assert_eq!(
        reply.to_string(),
        line,
        "the keys must be sorted and there must be no spaces"
    );
    for agent in reply["agents"].as_array_mut().unwrap() {
        let commands = agent["cmds"].as_array_mut().unwrap();
        commands.retain(|command| command["t"] != "Debug");
    }
    reply.to_string()
}

#[test]
fn replies_to_a_recorded_session_as_recorded() {
    let output = run(SESSION);
    assert!(output.status.success(), "{output:?}");
    let replies = String::from_utf8(output.stdout).unwrap();
    assert_eq!(replies.lines().count(), REPLIES.lines().count());
    for (number, (reply, recorded)) in replies.lines().zip(REPLIES.lines()).enumerate() {
        assert_eq!(
            without_log_lines(reply),
            without_log_lines(recorded),
            "line {}",
            number + 1
        );
    }
}

#[test]
fn exits_at_an_invalid_line_and_reports_its_number_and_field() {
    let opening = SESSION.lines().next().unwrap();
    let line_to_agent = |message: &str| {
        format!("{{\"t-ms\":1000.0,\"agents\":[{{\"agent-id\":0,\"items\":[{message}]}}]}}")
    };
    let faults = [
        (
            "no json".to_owned(),
            "not JSON: expected ident at line 1 column 2",
        ),
        (
            line_to_agent(r#"{"t":"Nonsense"}"#),
            "field t: unknown message 'Nonsense'",
        ),
        (
            line_to_agent(r#"{"t":"Targets","how":"PARTLY","buffer":0}"#),
            "field how: unknown value 'PARTLY'",
        ),
        (
            line_to_agent(r#"{"t":"Targets","how":"FULL","buffer":99}"#),
            "field buffer: no such list",
        ),
        (
            line_to_agent(r#"{"t":"ProbeDone","appliance":"ap-1","state-code":"odd"}"#),
            "field state-code: unknown outcome",
        ),
        (
            line_to_agent(r#"{"t":"Promotion","state-code":"success","course":7}"#),
            "field course: unknown value 7",
        ),
    ];
    for (line, fault) in faults {
        let output = run(&format!("{opening}\n{line}\n{opening}\n"));
        assert_eq!(output.status.code(), Some(1), "{line}");
        let stderr = String::from_utf8(output.stderr).unwrap();
        assert_eq!(
            stderr,
            format!("tulipwall-sim-adapter: line 2: {fault}\n"),
            "{line}"
        );
        let replies = String::from_utf8(output.stdout).unwrap();
        assert_eq!(replies.lines().count(), 1, "{line}");
    }
}

#[test]
fn ignores_messages_to_an_agent_that_is_not_running() {
    let late = r#"{"t-ms":5.0,"agents":[{"agent-id":9,"items":[{"t":"Gone","txn":"r1"}]}]}"#;
    let output = run(&format!("{late}\n"));
    assert!(output.status.success(), "{output:?}");
    assert_eq!(output.stdout, b"{\"agents\":[]}\n");
}

#[test]
fn reports_a_name_that_the_settings_do_not_define() {
    let opening = SESSION.lines().next().unwrap();
    let opening_with_unknown_zone = opening.replace("\"zone\": \"east\"", "\"zone\": \"mars\"");
    let output = run(&format!("{opening_with_unknown_zone}\n"));
    assert!(output.status.success(), "{output:?}");
    let reply: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(
        reply["agents"][0],
        serde_json::json!({"agent-id": 0, "cmds": [{"t": "Fatal", "note-text": "unknown zone 'mars'"}]})
    );
}
