//! Other tenants' settings, up to the extremes of what they may say: each agent starts, serves
//! every class, ends well on SIGTERM and does so again.

use serde_json::{json, Value};
use std::time::{Duration, Instant};
use tulipwall_testkit::runtime::TEST_TIMEOUT;
use tulipwall_testkit::*;

const BINARY: &str = env!("CARGO_BIN_EXE_tulipwall-agent");

/// A world of these zones and classes, two endpoints in each zone.
fn world(zones: &[&str], classes: Vec<RequestClass>) -> TestCluster {
    let world = TestCluster::new(zones, classes).unwrap();
    for (zone, name) in zones.iter().enumerate() {
        for n in 0..2 {
            world
                .add_endpoint(
                    zone,
                    &format!("{name}-{n}"),
                    41,
                    EndpointBehavior::default(),
                )
                .unwrap();
        }
    }
    world
}

fn ask(client: &mut TestClient, n: usize, class: &RequestClass, wait: u32) -> Option<String> {
    let key = if class.idempotency == "by_key" {
        format!(",k=k{n}")
    } else {
        String::new()
    };
    let comment = format!("id=r{n},c={},t=whoever,d={wait}{key}", class.name);
    client.send_statement(&format!(
        "INSERT INTO objects (oid, body) VALUES ('a{n}', '\\x00') RETURNING body /* {comment} */"
    ));
    client.read_reply().unwrap().code()
}

/// Starts it twice under these settings; every class is served with `wait` milliseconds each time.
fn starts_serves_and_restarts(world: &TestCluster, wait: u32, change: impl FnOnce(&mut Value)) {
    let mut configuration = world.configuration("n1", 0).unwrap();
    change(&mut configuration);
    for round in 0..2 {
        let begun = Instant::now();
        let mut agent = AgentProcess::start(BINARY, configuration.clone(), &[]).unwrap();
        let mut client = TestClient::connect(agent.address().unwrap()).unwrap();
        assert!(
            begun.elapsed() < Duration::from_secs(10),
            "ready after {:?}",
            begun.elapsed()
        );
        for (n, class) in world.classes.iter().enumerate() {
            // A busy machine may be late for a short time: what it denies is asked again.
            let served = (0..200).any(|again| {
                ask(&mut client, round * 100_000 + n * 1000 + again, class, wait).is_none()
            });
            assert!(served, "lane {}", class.name);
        }
        agent.terminate().unwrap();
        let begun = Instant::now();
        assert!(agent.wait_for_success().unwrap() && begun.elapsed() < TEST_TIMEOUT);
    }
    for class in world.classes.iter().filter(|l| l.idempotency == "once") {
        assert!(world.executed_twice(&class.name).is_empty());
    }
}

fn class(
    name: &str,
    idempotency: &'static str,
    deduplication_scope: &'static str,
    latency_objective_ms: f64,
) -> RequestClass {
    RequestClass {
        deduplication_scope,
        latency_objective_ms,
        ..RequestClass::new(name, idempotency, 1.0)
    }
}

#[test]
fn serves_one_class_of_a_tenth_of_a_second_with_a_window_as_short_and_free_handshakes() {
    let world = world(&["only"], vec![class("tick", "by_key", "cell", 20.0)]);
    starts_serves_and_restarts(&world, 100, |c| {
        let settings = &mut c["settings"];
        settings["classes"][0]["give-up-ms"] = 100.into();
        settings["classes"][0]["window-ms"] = 100.into();
        settings["classes"][0]["points"] = 0.into();
        settings["prices"] = json!({"cross-zone": 0, "waste": 0});
        settings["limits"]["try-limit"] = 1.into();
        settings["limits"]["conn-idle-ms"] = 50.into();
        settings["limits"]["dial-timeout-ms"] = 20.into();
        settings["domain"]["vote-ttl-ms"] = 0.into();
        settings["domain"]["spare-tries"] = 0.into();
    });
}

#[test]
fn serves_thirty_classes_of_minutes_in_six_zones_with_polled_lists_and_many_tenants() {
    let kinds = [("repeatable", "all"), ("by_key", "zone"), ("once", "all")];
    let of = |n: usize| {
        class(
            &format!("lane {n}, \u{e9}").replace(", ", "-"),
            kinds[n % 3].0,
            kinds[n % 3].1,
            60_000.0,
        )
    };
    let world = world(&["a", "b", "c", "d", "e", "f"], (0..30).map(of).collect());
    starts_serves_and_restarts(&world, 600_000, |c| {
        let settings = &mut c["settings"];
        for class in settings["classes"].as_array_mut().unwrap() {
            class["give-up-ms"] = 600_000.into();
        }
        settings["tenants"] = (0..40)
            .map(|n| json!({"name": format!("t{n}"), "share": 0.01}))
            .collect();
        settings["discovery"] = "ask".into();
        settings["instances"] = 350.into();
        settings["rules"]["must-ask-in-ms"] = 2000.into();
        settings["domain"]["api-rate"] = 1000.into();
        settings["domain"]["most-shares"] = json!([0.0, 0.01, 1.0]);
        settings["domain"]["closed-stages"] = 3.into();
        settings["limits"]["retry-after"] = false.into();
        settings["limits"]["second-copies"] = false.into();
        settings["limits"]["cancel"] = false.into();
    });
}

#[test]
fn serves_with_the_fewest_descriptors_the_least_memory_and_no_slow_start() {
    let world = world(&["only"], agent_process::classes());
    starts_serves_and_restarts(&world, 1000, |c| {
        c["limits"] = json!({"sockets": 64, "memory_mb": 32, "cores": 0.05});
        let settings = &mut c["settings"];
        settings["rules"] =
            json!({"cold-share": 0.0, "cold-ms": 0, "fall-ms": 0, "fall-multiple": 1});
        settings["tenants"] = json!([{"name": "whoever", "share": 0}]);
        settings["domain"]["most-shares"] = json!([]);
    });
}
