//! `tulipwall-call` against a fake that speaks as an agent does.

use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::io::Write;
use std::net::TcpListener;
use std::process::{Command, Output, Stdio};
use std::thread;
use std::time::{Duration, Instant};
use tulipwall_client::{
    blocking, Call, CallError, Client, ClientConfig, Idempotency, RequestClass,
};
use tulipwall_testkit::runtime::wait_until;
use tulipwall_testkit::{Endpoint, EndpointBehavior, ResponseBehavior, ScriptedServer};

const BINARY: &str = env!("CARGO_BIN_EXE_tulipwall-call");

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// An agent of one endpoint, as far as a client can tell.
fn agent(ways: EndpointBehavior) -> Endpoint {
    Endpoint::start(1, ways, 1).unwrap()
}

fn call(of: &Endpoint, arguments: &[&str]) -> (Option<i32>, Value) {
    let out = Command::new(BINARY)
        .args(["--agent", &of.address(0).to_string()])
        .args(arguments)
        .output()
        .unwrap();
    (
        out.status.code(),
        serde_json::from_slice(&out.stdout).unwrap_or_default(),
    )
}

#[test]
fn each_answer_has_its_exit_code_and_its_line_of_json() {
    let of = agent(EndpointBehavior::default());
    let (code, told) = call(&of, &["view", "a1"]);
    assert_eq!(
        (code, &told["value"], &told["tries"]),
        (Some(0), &"9f03".into(), &1.into())
    );
    let (code, _) = call(&of, &["view", "a1", "--value", "0011ff"]);
    assert_eq!(code, Some(0));
    let written = of.received_queries().pop().unwrap().statement;
    assert!(written.starts_with(
        r"INSERT INTO objects (oid, body) VALUES ('a1', '\x0011ff') RETURNING body /* id="
    ));
    of.update_behavior(|w| w.response = ResponseBehavior::Reject);
    assert_eq!(call(&of, &["view", "a1", "--expiry", "300"]).0, Some(4));
    of.update_behavior(|w| w.response = ResponseBehavior::Fail);
    let (code, told) = call(&of, &["payment", "a1"]);
    assert_eq!(
        (code, &told["code"], &told["may_have_run"]),
        (Some(5), &"XX000".into(), &true.into())
    );
    of.update_behavior(|w| w.response = ResponseBehavior::NeverAnswer);
    let (code, told) = call(&of, &["payment", "a1", "--expiry", "200"]);
    assert_eq!((code, &told["may_have_run"]), (Some(6), &true.into()));
    assert_eq!(call(&of, &["pay'ment", "a1"]).0, Some(7));
    for wrong in [
        &["view", "a1", "--value", "0g"][..],
        &["view"],
        &["view", "a1", "--expiry", "0"],
    ] {
        assert_eq!(call(&of, wrong).0, Some(2), "{wrong:?}");
    }
}

fn many(of: &Endpoint, lines: &str, more: &[&str], stall: Option<Duration>) -> Output {
    let folder = std::env::temp_dir().join(format!(
        "tulipwall-call-{}-{}",
        std::process::id(),
        of.address(0).port()
    ));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("client.kdl");
    let class = "lane \"view\" { repeats \"idempotent\"; quoted \"400ms\"; benefit 3; }";
    std::fs::write(&file, format!("agent \"{}\"\n{class}\n", of.address(0))).unwrap();
    let mut child = Command::new(BINARY)
        .args(["--service", file.to_str().unwrap()])
        .args(more)
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
    if let Some(span) = stall {
        assert!(wait_until(|| of.received_count() >= 8));
        let pid = Pid::from_raw(child.id() as i32).unwrap();
        kill_process(pid, Signal::STOP).unwrap();
        thread::sleep(span);
        kill_process(pid, Signal::CONT).unwrap();
    }
    let out = child.wait_with_output().unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    out
}

fn told(out: &Output) -> Vec<Value> {
    let text = String::from_utf8(out.stdout.clone()).unwrap();
    text.lines()
        .map(|l| serde_json::from_str(l).unwrap())
        .collect()
}

#[test]
fn many_from_standard_input_are_each_answered_once() {
    let of = agent(EndpointBehavior {
        work: ms(3),
        ..EndpointBehavior::default()
    });
    let mut lines: String = (0..50)
        .map(|n| format!("{{\"lane\":\"view\",\"object\":\"o{n}\"}}\n"))
        .collect();
    lines += "no json\n{\"lane\":\"nothing\",\"object\":\"o\"}\n{\"lane\":\"view\"}\n\n";
    let out = many(&of, &lines, &["--counters"], None);
    let all = told(&out);
    assert_eq!(out.status.code(), Some(7));
    let mut numbers: Vec<u64> = all.iter().map(|t| t["line"].as_u64().unwrap()).collect();
    numbers.sort();
    assert_eq!(numbers, (1..=53).collect::<Vec<_>>());
    assert_eq!(all.iter().filter(|t| t["answer"] == "value").count(), 50);
    assert!(String::from_utf8_lossy(&out.stderr).contains("succeeded: 50"));
}

#[test]
fn a_client_that_stalls_with_calls_in_flight_answers_each_once_and_none_wrongly() {
    let of = agent(EndpointBehavior {
        work: ms(300),
        ..EndpointBehavior::default()
    });
    let lines: String = (0..64)
        .map(|n| format!("{{\"lane\":\"view\",\"object\":\"o{n}\",\"expiry_ms\":900}}\n"))
        .collect();
    let out = many(
        &of,
        &lines,
        &["--at-once", "8"],
        Some(Duration::from_secs(2)),
    );
    let all = told(&out);
    assert_eq!(all.len(), 64);
    let kinds = |k: &str| all.iter().filter(|t| t["answer"] == k).count();
    // Those that were out when it stalled: their answers had come, or their time was over; nothing
    // else is told.
    assert_eq!(kinds("value") + kinds("expired"), 64, "{all:?}");
    assert!(kinds("expired") <= 8);
}

#[test]
fn what_is_no_answer_is_never_a_value_and_the_client_goes_on() {
    let view = RequestClass {
        name: "view".into(),
        idempotency: Idempotency::Idempotent,
        latency_objective: ms(400),
        priority_weight: 1.0,
    };
    let hostile = [
        "\u{1}\u{2}\u{3}\u{4}\u{5}\u{6}\u{7}",
        "HTTP/1.1 200 OK\r\n\r\n",
        "D\0\0\0\u{4}",
        "N\0\0\0\u{5}x",
    ];
    for text in hostile {
        let speaker = ScriptedServer::start(&text.repeat(500)).unwrap();
        let client = Client::new(ClientConfig::new(vec![speaker.address], vec![view.clone()]));
        let begun = Instant::now();
        let ended = futures_lite::future::block_on(client.call(Call::read("view", "a1", ms(700))));
        assert!(
            ended.is_err() && begun.elapsed() < ms(1000),
            "{text:?}: {ended:?}"
        );
    }
    for act in [
        ResponseBehavior::Garbage,
        ResponseBehavior::StallMidAnswer,
        ResponseBehavior::AnswerTwice,
        ResponseBehavior::CloseMidAnswer,
        ResponseBehavior::Close,
    ] {
        let of = agent(EndpointBehavior {
            random_responses: vec![(act, 0.5)],
            ..EndpointBehavior::default()
        });
        let client =
            blocking::Client::new(ClientConfig::new(vec![of.address(0)], vec![view.clone()]));
        let ended: Vec<_> = (0..12)
            .map(|n| client.call(Call::read("view", &format!("o{n}"), ms(300))))
            .collect();
        for answered in ended.iter().flatten() {
            assert_eq!(answered.value, [0x9f, 3], "{act:?}");
        }
        assert!(ended.iter().any(Result::is_ok), "{act:?}: {ended:?}");
    }
}

#[test]
fn no_call_outlives_its_expiry_wherever_it_waits() {
    let view = RequestClass {
        name: "view".into(),
        idempotency: Idempotency::Idempotent,
        latency_objective: ms(400),
        priority_weight: 1.0,
    };
    let nobody = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let mute = agent(EndpointBehavior {
        unresponsive: true,
        ..EndpointBehavior::default()
    });
    let silent = agent(EndpointBehavior {
        response: ResponseBehavior::NeverAnswer,
        ..EndpointBehavior::default()
    });
    for address in [nobody, mute.address(0), silent.address(0)] {
        let mut s = ClientConfig::new(vec![address], vec![view.clone()]);
        (
            s.connections.max_connections,
            s.concurrency.max_queued,
            s.concurrency.queue_timeout,
        ) = (2, 2, ms(150));
        let client = Client::new(s);
        let threads: Vec<_> = (0..12)
            .map(|_| {
                let client = client.clone();
                thread::spawn(move || {
                    let begun = Instant::now();
                    let ended = futures_lite::future::block_on(client.call(Call::read(
                        "view",
                        "a1",
                        ms(400),
                    )));
                    (begun.elapsed(), ended)
                })
            })
            .collect();
        let ended: Vec<_> = threads.into_iter().map(|t| t.join().unwrap()).collect();
        assert!(
            ended.iter().all(|(took, e)| *took < ms(600) && e.is_err()),
            "{address}: {ended:?}"
        );
        let at_once = ended
            .iter()
            .filter(|(took, e)| *took < ms(300) && *e == Err(CallError::Overloaded))
            .count();
        assert!(
            address != silent.address(0) || at_once >= 8,
            "shed, not queued: {ended:?}"
        );
        assert_eq!(client.stats().in_flight, 0);
    }
}

#[test]
fn an_agent_that_leaves_is_left_for_others_without_a_failed_call() {
    let payment = RequestClass {
        name: "payment".into(),
        idempotency: Idempotency::NonIdempotent,
        latency_objective: ms(400),
        priority_weight: 1.0,
    };
    let (stays, leaves) = (
        agent(EndpointBehavior::default()),
        agent(EndpointBehavior::default()),
    );
    let client = Client::new(ClientConfig::new(
        vec![stays.address(0), leaves.address(0)],
        vec![payment],
    ));
    let pay = |n: u32| {
        futures_lite::future::block_on(client.call(Call::read(
            "payment",
            &format!("p{n}"),
            ms(900),
        )))
    };
    assert!((0..20).all(|n| pay(n).is_ok()));
    leaves.update_behavior(|w| w.response = ResponseBehavior::RejectAndClose);
    let before = leaves.received_count();
    assert!((20..80).all(|n| pay(n).is_ok()));
    assert_eq!(
        leaves.received_count(),
        before + 1,
        "one of them told that it leaves; it is passed over then"
    );
    // Closing between requests says the same.
    leaves.crash();
    thread::sleep(ms(2100));
    assert!((80..120).all(|n| pay(n).is_ok()));
    let c = client.stats().counters;
    assert_eq!(
        (c.succeeded, c.calls, c.attempt_failures["leaving"]),
        (120, 120, 1)
    );
}
