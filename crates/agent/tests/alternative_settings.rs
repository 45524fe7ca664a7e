//! Shadow evaluation of alternative settings: the agent's decisions stay the same, and the
//! divergences that it counts match what the fake endpoints received.

use rustix::process::Signal;
use serde_json::Value;
use std::process::Command;
use std::time::Duration;
use tulipwall_testkit::runtime::wait_until;
use tulipwall_testkit::*;

const BINARY: &str = env!("CARGO_BIN_EXE_tulipwall-agent");

/// The number that follows a word in the last line of counters, `None` if there is no such line,
/// word or number.
fn counter(log: &str, word: &str) -> Option<u64> {
    let line = log.lines().rev().find(|l| l.contains("watched:"))?;
    line.split("watched:")
        .nth(1)?
        .split_whitespace()
        .skip_while(|w| *w != word)
        .nth(1)?
        .parse()
        .ok()
}

#[test]
fn counts_the_divergences_that_the_fakes_received_and_stops_after_a_reload() {
    let cluster = TestCluster::new(&["a"], classes()).unwrap();
    for n in 0..3 {
        cluster
            .add_endpoint(0, &format!("e-{n}"), 41, EndpointBehavior::default())
            .unwrap();
        cluster
            .add_endpoint(0, &format!("t-{n}"), 42, EndpointBehavior::default())
            .unwrap();
    }
    cluster
        .platform
        .set_rollout_status(platform::RolloutStatus::now(42, 0, "trial", 0.5));
    let file = std::env::temp_dir().join(format!("tulipwall-watch-{}.kdl", std::process::id()));
    let door = file.with_extension("door").to_str().unwrap().to_owned();
    let watch_settings = "watch {\n    guarded-stages 1\n    cold-for \"3s\"\n}\n";
    std::fs::write(&file, format!("door \"unix:{door}\"\n{watch_settings}")).unwrap();
    let configuration = cluster.configuration("n1", 0).unwrap();
    let agent_process = AgentProcess::start(
        BINARY,
        configuration,
        &["run", "--installation", file.to_str().unwrap()],
    )
    .unwrap();
    TestClient::connect(agent_process.address().unwrap()).unwrap();
    let class =
        |name: &str, weight, keyed| (name.to_owned(), weight, Duration::from_millis(1500), keyed);
    Load {
        agent: agent_process.address().unwrap(),
        rate: 300.0,
        duration: Duration::from_secs(2),
        classes: vec![
            class("view", 4.0, false),
            class("send", 4.0, true),
            class("payment", 2.0, false),
        ],
        connections: 64,
        seed: 7,
    }
    .run();
    agent_process.signal(Signal::USR1).unwrap();
    assert!(
        wait_until(|| counter(&agent_process.log(), "guarded").is_some()),
        "{}",
        agent_process.log()
    );
    let log = agent_process.log();
    let queries_received_by = |id: &str| {
        (0..3)
            .flat_map(|n| {
                cluster
                    .endpoint(&format!("{id}-{n}"))
                    .unwrap()
                    .received_queries()
            })
            .collect::<Vec<_>>()
    };
    let (baseline_queries, canary_queries) = (queries_received_by("e"), queries_received_by("t"));
    let with_effect = canary_queries.iter().filter(|s| s.class != "view").count() as u64;
    let all = baseline_queries.len() + canary_queries.len();
    assert!(
        with_effect > 20,
        "requests that the settings in force permit: {with_effect}"
    );
    assert!(
        counter(&log, "guarded").unwrap().abs_diff(with_effect) <= 2,
        "{with_effect} received; {log}"
    );
    assert!(
        counter(&log, "deliveries").unwrap().abs_diff(all as u64) <= 2,
        "{all} received; {log}"
    );
    assert_eq!(
        (counter(&log, "exposure"), counter(&log, "key")),
        (Some(0), Some(0)),
        "expected no divergence where nothing is watched: {log}"
    );
    // The subcommand `report` gives the same numbers.
    let report = || {
        let door = format!("unix:{door}");
        let out = Command::new(BINARY)
            .args(["report", "--watch", "--json", &door])
            .output()
            .unwrap();
        (
            out.status.code(),
            serde_json::from_slice::<Value>(&out.stdout).map(|v| v[&door].clone()),
        )
    };
    let (code, reported) = report();
    let reported = reported.unwrap();
    assert_eq!(code, Some(0));
    for kind in ["deliveries", "guarded", "exposure", "cold", "key"] {
        assert_eq!(
            reported[kind].as_u64(),
            counter(&log, kind),
            "{kind}: {reported}"
        );
    }
    // To stop the evaluation: a file without the node `watch`, and a SIGHUP.
    std::fs::write(&file, format!("door \"unix:{door}\"\n")).unwrap();
    agent_process.signal(Signal::HUP).unwrap();
    assert!(wait_until(|| agent_process
        .log()
        .contains("a new configuration")));
    agent_process.signal(Signal::USR1).unwrap();
    let last = |log: &str| {
        log.lines()
            .rev()
            .find(|l| l.contains("kept:"))
            .map(str::to_owned)
    };
    assert!(
        wait_until(|| last(&agent_process.log()).is_some_and(|l| !l.contains("watched:"))),
        "{}",
        agent_process.log()
    );
    assert_eq!(report().0, Some(3), "the shadow evaluation has stopped");
    let _ = std::fs::remove_file(file);
}
