//! Watching the settings of another shape: it decides as before, and what it counts matches the
//! fakes.

use rustix::process::Signal;
use serde_json::Value;
use std::process::Command;
use std::time::Duration;
use tulipwall_testkit::runtime::wait_until;
use tulipwall_testkit::*;

const BINARY: &str = env!("CARGO_BIN_EXE_tulipwall-agent");

/// The number behind a word in the last line of counters.
fn counted(log: &str, word: &str) -> Option<u64> {
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
fn counts_divergences_as_the_fakes_saw_them_and_stops_after_a_reload() {
    let world = TestCluster::new(&["a"], classes()).unwrap();
    for n in 0..3 {
        world
            .add_endpoint(0, &format!("e-{n}"), 41, EndpointBehavior::default())
            .unwrap();
        world
            .add_endpoint(0, &format!("t-{n}"), 42, EndpointBehavior::default())
            .unwrap();
    }
    world
        .platform
        .set_rollout_status(platform::RolloutStatus::now(42, 0, "trial", 0.5));
    let file = std::env::temp_dir().join(format!("tulipwall-watch-{}.kdl", std::process::id()));
    let door = file.with_extension("door").to_str().unwrap().to_owned();
    let shape = "watch {\n    guarded-stages 1\n    cold-for \"3s\"\n}\n";
    std::fs::write(&file, format!("door \"unix:{door}\"\n{shape}")).unwrap();
    let configuration = world.configuration("n1", 0).unwrap();
    let program = AgentProcess::start(
        BINARY,
        configuration,
        &["run", "--installation", file.to_str().unwrap()],
    )
    .unwrap();
    TestClient::connect(program.address().unwrap()).unwrap();
    let class =
        |name: &str, weight, keyed| (name.to_owned(), weight, Duration::from_millis(1500), keyed);
    Load {
        agent: program.address().unwrap(),
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
    program.signal(Signal::USR1).unwrap();
    assert!(
        wait_until(|| counted(&program.log(), "guarded").is_some()),
        "{}",
        program.log()
    );
    let log = program.log();
    let seen = |id: &str| {
        (0..3)
            .flat_map(|n| {
                world
                    .endpoint(&format!("{id}-{n}"))
                    .unwrap()
                    .received_queries()
            })
            .collect::<Vec<_>>()
    };
    let (early, late) = (seen("e"), seen("t"));
    let with_effect = late.iter().filter(|s| s.class != "view").count() as u64;
    let all = early.len() + late.len();
    assert!(
        with_effect > 20,
        "the present settings let them pass: {with_effect}"
    );
    assert!(
        counted(&log, "guarded").unwrap().abs_diff(with_effect) <= 2,
        "{with_effect} seen; {log}"
    );
    assert!(
        counted(&log, "deliveries").unwrap().abs_diff(all as u64) <= 2,
        "{all} seen; {log}"
    );
    assert_eq!(
        (counted(&log, "exposure"), counted(&log, "key")),
        (Some(0), Some(0)),
        "not watched: {log}"
    );
    // The report request tells the same.
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
    let (code, told) = report();
    let told = told.unwrap();
    assert_eq!(code, Some(0));
    for kind in ["deliveries", "guarded", "exposure", "cold", "key"] {
        assert_eq!(told[kind].as_u64(), counted(&log, kind), "{kind}: {told}");
    }
    // The way back: a file without the watch, and a signal.
    std::fs::write(&file, format!("door \"unix:{door}\"\n")).unwrap();
    program.signal(Signal::HUP).unwrap();
    assert!(wait_until(|| program.log().contains("a new configuration")));
    program.signal(Signal::USR1).unwrap();
    let last = |log: &str| {
        log.lines()
            .rev()
            .find(|l| l.contains("kept:"))
            .map(str::to_owned)
    };
    assert!(
        wait_until(|| last(&program.log()).is_some_and(|l| !l.contains("watched:"))),
        "{}",
        program.log()
    );
    assert_eq!(report().0, Some(3), "nothing is watched any longer");
    let _ = std::fs::remove_file(file);
}
