//! Tests of `tulipwall-call` against a fake agent.

use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::io::Write;
use std::process::{Command, Output, Stdio};
use std::thread;
use std::time::Duration;
use tulipwall_testkit::runtime::wait_until;
use tulipwall_testkit::{Endpoint, EndpointBehavior, ResponseBehavior};

const BINARY: &str = env!("CARGO_BIN_EXE_tulipwall-call");

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Starts a fake agent: a single endpoint, which speaks the same protocol.
fn agent(behavior: EndpointBehavior) -> Endpoint {
    Endpoint::start(1, behavior, 1).unwrap()
}

/// Makes one call on the command line. Returns the exit code and the line of output.
fn run_call(endpoint: &Endpoint, arguments: &[&str]) -> (Option<i32>, Value) {
    let out = Command::new(BINARY)
        .args(["--agent", &endpoint.address(0).to_string()])
        .args(arguments)
        .output()
        .unwrap();
    (
        out.status.code(),
        serde_json::from_slice(&out.stdout).unwrap_or_default(),
    )
}

#[test]
fn reports_each_result_by_exit_code_and_a_line_of_json() {
    let endpoint = agent(EndpointBehavior::default());
    let (code, report) = run_call(&endpoint, &["view", "a1"]);
    assert_eq!(
        (code, &report["value"], &report["tries"]),
        (Some(0), &"9f03".into(), &1.into())
    );
    let (code, _) = run_call(&endpoint, &["view", "a1", "--value", "0011ff"]);
    assert_eq!(code, Some(0));
    let written = endpoint.received_queries().pop().unwrap().statement;
    assert!(written.starts_with(
        r"INSERT INTO objects (oid, body) VALUES ('a1', '\x0011ff') RETURNING body /* id="
    ));
    endpoint.update_behavior(|b| b.response = ResponseBehavior::Reject);
    assert_eq!(
        run_call(&endpoint, &["view", "a1", "--expiry", "300"]).0,
        Some(4)
    );
    endpoint.update_behavior(|b| b.response = ResponseBehavior::Fail);
    let (code, report) = run_call(&endpoint, &["payment", "a1"]);
    assert_eq!(
        (code, &report["code"], &report["may_have_run"]),
        (Some(5), &"XX000".into(), &true.into())
    );
    endpoint.update_behavior(|b| b.response = ResponseBehavior::NeverAnswer);
    let (code, report) = run_call(&endpoint, &["payment", "a1", "--expiry", "200"]);
    assert_eq!((code, &report["may_have_run"]), (Some(6), &true.into()));
    assert_eq!(run_call(&endpoint, &["pay'ment", "a1"]).0, Some(7));
    for wrong in [
        &["view", "a1", "--value", "0g"][..],
        &["view"],
        &["view", "a1", "--expiry", "0"],
    ] {
        assert_eq!(run_call(&endpoint, wrong).0, Some(2), "{wrong:?}");
    }
}

/// Runs the program with these lines as standard input. With `stall`, stops the process for that
/// long once eight calls have reached the endpoint.
fn call_lines(
    endpoint: &Endpoint,
    lines: &str,
    extra_arguments: &[&str],
    stall: Option<Duration>,
) -> Output {
    let folder = std::env::temp_dir().join(format!(
        "tulipwall-call-{}-{}",
        std::process::id(),
        endpoint.address(0).port()
    ));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("client.kdl");
    let class = "lane \"view\" { repeats \"idempotent\"; quoted \"400ms\"; benefit 3; }";
    std::fs::write(
        &file,
        format!("agent \"{}\"\n{class}\n", endpoint.address(0)),
    )
    .unwrap();
    let mut child = Command::new(BINARY)
        .args(["--service", file.to_str().unwrap()])
        .args(extra_arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child
        .stdin
        .take()
        .unwrap()
        .write_all(lines.as_bytes())
        .unwrap();
    if let Some(duration) = stall {
        assert!(wait_until(|| endpoint.received_count() >= 8));
        let pid = Pid::from_raw(child.id() as i32).unwrap();
        kill_process(pid, Signal::STOP).unwrap();
        thread::sleep(duration);
        kill_process(pid, Signal::CONT).unwrap();
    }
    let out = child.wait_with_output().unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    out
}

/// Parses the lines of output.
fn reports_of(out: &Output) -> Vec<Value> {
    let text = String::from_utf8(out.stdout.clone()).unwrap();
    text.lines()
        .map(|l| serde_json::from_str(l).unwrap())
        .collect()
}

#[test]
fn reports_each_line_of_standard_input_once() {
    let endpoint = agent(EndpointBehavior {
        work: ms(3),
        ..EndpointBehavior::default()
    });
    let mut lines: String = (0..50)
        .map(|n| format!("{{\"lane\":\"view\",\"object\":\"o{n}\"}}\n"))
        .collect();
    lines += "no json\n{\"lane\":\"nothing\",\"object\":\"o\"}\n{\"lane\":\"view\"}\n\n";
    let out = call_lines(&endpoint, &lines, &["--counters"], None);
    let reports = reports_of(&out);
    assert_eq!(out.status.code(), Some(7));
    let mut numbers: Vec<u64> = reports
        .iter()
        .map(|report| report["line"].as_u64().unwrap())
        .collect();
    numbers.sort();
    assert_eq!(numbers, (1..=53).collect::<Vec<_>>());
    assert_eq!(
        reports
            .iter()
            .filter(|report| report["answer"] == "value")
            .count(),
        50
    );
    assert!(String::from_utf8_lossy(&out.stderr).contains("succeeded: 50"));
}

#[test]
fn reports_each_call_once_after_a_stall_of_the_process() {
    let endpoint = agent(EndpointBehavior {
        work: ms(300),
        ..EndpointBehavior::default()
    });
    let lines: String = (0..64)
        .map(|n| format!("{{\"lane\":\"view\",\"object\":\"o{n}\",\"expiry_ms\":900}}\n"))
        .collect();
    let out = call_lines(
        &endpoint,
        &lines,
        &["--at-once", "8"],
        Some(Duration::from_secs(2)),
    );
    let reports = reports_of(&out);
    assert_eq!(reports.len(), 64);
    let count_of = |answer: &str| {
        reports
            .iter()
            .filter(|report| report["answer"] == answer)
            .count()
    };
    // The calls in flight during the stall either had their response waiting or ran past their
    // deadline. No other result is allowed.
    assert_eq!(count_of("value") + count_of("expired"), 64, "{reports:?}");
    assert!(count_of("expired") <= 8);
}
