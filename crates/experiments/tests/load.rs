//! The load tool against a fake that speaks as an agent does, and whose limit is known.

use std::process::Command;
use std::time::Duration;
use tulipwall_experiments::load::{LoadClass, Plan, Step};
use tulipwall_testkit::{runtime, Endpoint, EndpointBehavior, ResponseBehavior};

fn plan(of: &Endpoint) -> Plan {
    let view = LoadClass {
        name: "view".to_owned(),
        weight: 1.0,
        deadline: Duration::from_millis(1500),
        keyed: false,
    };
    Plan {
        agent: of.address(0),
        classes: vec![view],
        connections: 200,
        seed: 1,
    }
}

fn of(cores: usize) -> Endpoint {
    Endpoint::start(
        1,
        EndpointBehavior {
            work: Duration::from_millis(20),
            cores,
            ..EndpointBehavior::default()
        },
        1,
    )
    .unwrap()
}

#[test]
fn latencies_count_from_when_a_request_was_due() {
    // One core takes 50 a second; at 100 the queue grows by a second in each two. Times that
    // counted from the sending on a free connection would hide that.
    let agent = of(1);
    let step = Plan {
        connections: 1,
        ..plan(&agent)
    }
    .step(100.0, Duration::from_secs(1));
    assert!(step.report.quantile_ms(0.9) > 400.0, "{}", step.summary());
    let late = step.report.send_delay_ms(0.5);
    assert!(
        late < 100.0,
        "each went out when it was due, whatever became of those before: {late} ms"
    );
}

#[test]
fn search_finds_the_highest_rate_that_an_agent_keeps() {
    // Four cores of 20 ms: 200 a second at the very most.
    let agent = of(4);
    let mut steps = 0;
    // Those in which the load itself was late are played again.
    let in_time = |s: &Step| steps += usize::from(!s.is_generator_late());
    let found =
        plan(&agent).highest_rate(40.0, 1600.0, Duration::from_millis(1200), 250.0, in_time);
    let found = found.unwrap();
    assert!(
        (60.0..=240.0).contains(&found) && steps < 16,
        "{found} after {steps} steps"
    );
    assert_eq!(
        plan(&agent).highest_rate(40.0, 80.0, Duration::from_millis(300), 1.0, |_| {}),
        None
    );
}

/// Guards a search against a machine that lets the load stand still for a moment: that tells
/// nothing of the agent.
#[test]
fn repeats_a_step_in_which_the_load_generator_was_late() {
    let agent = of(4);
    let mut late = Vec::new();
    let stands_still = async {
        runtime::sleep(Duration::from_millis(300)).await;
        std::thread::sleep(Duration::from_millis(150));
    };
    runtime::spawn(stands_still).detach();
    let found = plan(&agent).highest_rate(40.0, 40.0, Duration::from_millis(1200), 250.0, |s| {
        late.push(s.is_generator_late())
    });
    assert_eq!(found, Some(40.0), "{late:?}");
    assert!(late[0] && late.last() == Some(&false), "{late:?}");
}

#[test]
fn prints_each_step_as_a_line_of_json() {
    let agent = Endpoint::start(
        1,
        EndpointBehavior {
            response: ResponseBehavior::Reject,
            ..EndpointBehavior::default()
        },
        1,
    )
    .unwrap();
    let run = |arguments: &[&str]| {
        let address = agent.address(0).to_string();
        Command::new(env!("CARGO_BIN_EXE_tulipwall-experiments"))
            .args(["load", &address])
            .args(arguments)
            .output()
            .unwrap()
    };
    let out = run(&[
        "--lane",
        "view=2",
        "--lane",
        "send=1+k",
        "--rate",
        "50",
        "--seconds",
        "1",
        "--json",
    ]);
    assert!(out.status.success());
    let told: serde_json::Value = serde_json::from_slice(&out.stdout).unwrap();
    assert_eq!(told["asked"], told["denied"]);
    assert_eq!(told["satisfied"].as_u64(), Some(0));
    assert!(told["load_is_the_bottleneck"].is_boolean() && told["ms"]["p99"].is_number());
    assert!(agent
        .received_queries()
        .iter()
        .any(|s| s.class == "send" && s.key.is_some()));
    assert_eq!(run(&["--lane", "view=x"]).status.code(), Some(2));
    agent.crash();
    assert_eq!(
        run(&["--lane", "view", "--seconds", "1"]).status.code(),
        Some(1)
    );
}
