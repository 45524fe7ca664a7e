//! Tests the load generator against a fake endpoint that speaks the agent's protocol and has a
//! known capacity.

use std::process::Command;
use std::time::Duration;
use tulipwall_experiments::load::{LoadClass, Plan, Step};
use tulipwall_testkit::{runtime, Endpoint, EndpointBehavior, ResponseBehavior};

fn plan(endpoint: &Endpoint) -> Plan {
    let view = LoadClass {
        name: "view".to_owned(),
        weight: 1.0,
        deadline: Duration::from_millis(1500),
        keyed: false,
    };
    Plan {
        agent: endpoint.address(0),
        classes: vec![view],
        connections: 200,
        seed: 1,
    }
}

fn endpoint(cores: usize) -> Endpoint {
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
    // One core serves 50 requests per second; at 100, the queue grows by one second of work every
    // two seconds. Latencies measured from sending on a free connection would hide that.
    let agent = endpoint(1);
    let step = Plan {
        connections: 1,
        ..plan(&agent)
    }
    .step(100.0, Duration::from_secs(1));
    assert!(step.answered.quantile_ms(0.9) > 400.0, "{}", step.summary());
    let late = step.answered.send_delay_ms(0.5);
    assert!(
        late < 100.0,
        "each request must be sent when due, whatever happened to earlier ones: {late} ms late"
    );
}

#[test]
fn search_finds_the_highest_rate_that_an_agent_sustains() {
    // Four cores at 20 ms per request serve at most 200 requests per second.
    let agent = endpoint(4);
    let mut steps = 0;
    // Steps in which the load generator itself was late are repeated and do not count.
    let count_if_on_time = |s: &Step| steps += usize::from(!s.is_generator_late());
    let found = plan(&agent).highest_rate(
        40.0,
        1600.0,
        Duration::from_millis(1200),
        250.0,
        count_if_on_time,
    );
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

/// Guards against a search that ends at too low a rate because the machine stalled the load
/// generator for a moment, which says nothing about the agent.
#[test]
fn repeats_a_step_in_which_the_load_generator_was_late() {
    let agent = endpoint(4);
    let mut late = Vec::new();
    let stall = async {
        runtime::sleep(Duration::from_millis(300)).await;
        std::thread::sleep(Duration::from_millis(150));
    };
    runtime::spawn(stall).detach();
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
    let printed: serde_json::Value = serde_json::from_slice(&out.stdout).unwrap();
    assert_eq!(printed["asked"], printed["denied"]);
    assert_eq!(printed["satisfied"].as_u64(), Some(0));
    assert!(printed["load_is_the_bottleneck"].is_boolean() && printed["ms"]["p99"].is_number());
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
