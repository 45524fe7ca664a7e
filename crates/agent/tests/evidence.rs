//! The log target `evidence`: the observations behind the verdict on a build, which an agent logs
//! when its log filter enables them.

use rustix::process::Signal;
use std::time::Duration;
use tulipwall_testkit::runtime::wait_until;
use tulipwall_testkit::*;

const BINARY: &str = env!("CARGO_BIN_EXE_tulipwall-agent");

/// Sends requests for one second to an agent with this log filter. Returns its log, which ends with
/// its counters.
fn log_under_load(filter: &str) -> String {
    let cluster = TestCluster::new(&["a"], classes()).unwrap();
    for n in 0..2 {
        cluster
            .add_endpoint(0, &format!("e-{n}"), 41, EndpointBehavior::default())
            .unwrap();
    }
    cluster
        .platform
        .set_rollout_status(platform::RolloutStatus::now(41, 2, "released", 1.0));
    let agent_process = AgentProcess::start(
        "env",
        cluster.configuration("n1", 0).unwrap(),
        &[filter, BINARY],
    )
    .unwrap();
    TestClient::connect(agent_process.address().unwrap()).unwrap();
    Load {
        agent: agent_process.address().unwrap(),
        rate: 150.0,
        duration: Duration::from_secs(1),
        classes: vec![("view".to_owned(), 1.0, Duration::from_millis(1500), false)],
        connections: 32,
        seed: 7,
    }
    .run();
    agent_process.signal(Signal::USR1).unwrap();
    assert!(
        wait_until(|| agent_process.log().contains("requests: taken")),
        "{}",
        agent_process.log()
    );
    agent_process.log()
}

#[test]
fn logs_each_finished_attempt_and_request_only_at_the_evidence_target() {
    let log = log_under_load("RUST_LOG=info,evidence=debug");
    let lines = |begin: &str, with: &str| {
        let messages = log
            .lines()
            .filter_map(|l| l.split_once("evidence] ")?.1.split_once(' '));
        messages
            .filter(|(_, s)| s.starts_with(begin) && s.contains(with))
            .count()
    };
    let counters = log.lines().find(|l| l.contains("requests: taken")).unwrap();
    let counted = |word: &str| {
        let after = counters
            .split_once("requests: ")
            .unwrap()
            .1
            .split_once(word)
            .unwrap()
            .1;
        after
            .split_whitespace()
            .next()
            .unwrap()
            .parse::<usize>()
            .unwrap()
    };
    let (taken, succeeded) = (counted("taken "), counted("succeeded "));
    assert!(taken > 100 && succeeded > 100, "{counters}");
    assert_eq!(lines("request class 0 ", ""), taken, "{counters}");
    assert_eq!(
        lines("request class 0 Succeeded", ""),
        succeeded,
        "{counters}"
    );
    assert_eq!(
        lines("attempt class 0 build 41 ", " Succeeded "),
        succeeded,
        "{counters}"
    );
    assert!(
        lines("rollout build 41 stage 2 Released", "") > 0
            && lines("start agents ", " votes_to_roll_back ") == 1,
        "{log}"
    );

    let default_log = log_under_load("RUST_LOG=info");
    assert!(!default_log.contains("evidence]"), "{default_log}");
}

/// Guards against a second reply to a call, with a rollout status that has changed since: the agent
/// would follow it until the platform reports the next one.
#[test]
fn ignores_the_rollout_status_in_a_second_reply_to_a_call() {
    let status = |stage: u32| {
        format!(r#"{{"image":41,"ring":{stage},"progress":"trial","ceiling":0.5,"lag_ms":100}}"#)
    };
    let subscribed = r#"{"jsonrpc":"2.0","id":1,"result":true}"#;
    let report = format!(
        r#"{{"jsonrpc":"2.0","method":"ROLLOUT","params":{}}}"#,
        status(2)
    );
    let second_reply = format!(r#"{{"jsonrpc":"2.0","id":1,"result":{}}}"#, status(1));
    let last_report = report.replace("\"ring\":2", "\"ring\":3");
    let lines = [subscribed, &report, &second_reply, &last_report, ""].join("\n");
    let platform = ScriptedServer::start(&lines).unwrap();
    let cluster = TestCluster::new(&["a"], classes()).unwrap();
    let mut configuration = cluster.configuration("n1", 0).unwrap();
    configuration["deployer"]["address"] = platform.address.to_string().into();
    let command = ["RUST_LOG=info,evidence=debug", BINARY];
    let agent = AgentProcess::start("env", configuration, &command).unwrap();
    let reported = |stage: u32| {
        agent
            .log()
            .contains(&format!("rollout build 41 stage {stage} "))
    };
    assert!(wait_until(|| reported(3)), "{}", agent.log());
    assert!(reported(2) && !reported(1), "{}", agent.log());
}
