//! The evidence that a verdict on a build rests on, as agents log it where that is asked for.

use rustix::process::Signal;
use std::time::Duration;
use tulipwall_testkit::runtime::wait_until;
use tulipwall_testkit::*;

const BINARY: &str = env!("CARGO_BIN_EXE_tulipwall-agent");

/// A second of requests at an agent whose log has this filter: its log, with its counters in the
/// end.
fn logged(filter: &str) -> String {
    let world = TestCluster::new(&["a"], classes()).unwrap();
    for n in 0..2 {
        world
            .add_endpoint(0, &format!("e-{n}"), 41, EndpointBehavior::default())
            .unwrap();
    }
    world
        .platform
        .set_rollout_status(platform::RolloutStatus::now(41, 2, "released", 1.0));
    let program = AgentProcess::start(
        "env",
        world.configuration("n1", 0).unwrap(),
        &[filter, BINARY],
    )
    .unwrap();
    TestClient::connect(program.address().unwrap()).unwrap();
    Load {
        agent: program.address().unwrap(),
        rate: 150.0,
        duration: Duration::from_secs(1),
        classes: vec![("view".to_owned(), 1.0, Duration::from_millis(1500), false)],
        connections: 32,
        seed: 7,
    }
    .run();
    program.signal(Signal::USR1).unwrap();
    assert!(
        wait_until(|| program.log().contains("requests: taken")),
        "{}",
        program.log()
    );
    program.log()
}

#[test]
fn logs_the_end_of_each_attempt_and_request_only_at_the_evidence_target() {
    let log = logged("RUST_LOG=info,evidence=debug");
    let lines = |begin: &str, with: &str| {
        let said = log
            .lines()
            .filter_map(|l| l.split_once("evidence] ")?.1.split_once(' '));
        said.filter(|(_, s)| s.starts_with(begin) && s.contains(with))
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

    let quiet = logged("RUST_LOG=info");
    assert!(!quiet.contains("evidence]"), "{quiet}");
}
