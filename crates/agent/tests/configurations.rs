//! Settings of other services, up to the extremes of what is permitted: under each, an agent
//! starts, serves every class, exits with success on SIGTERM, and does all of this a second time.

use serde_json::{json, Value};
use std::time::{Duration, Instant};
use tulipwall_testkit::runtime::TEST_TIMEOUT;
use tulipwall_testkit::*;

const BINARY: &str = env!("CARGO_BIN_EXE_tulipwall-agent");

/// A cluster of these zones and classes, with two endpoints in each zone.
fn cluster(zones: &[&str], classes: Vec<RequestClass>) -> TestCluster {
    let cluster = TestCluster::new(zones, classes).unwrap();
    for (zone, name) in zones.iter().enumerate() {
        for n in 0..2 {
            cluster
                .add_endpoint(
                    zone,
                    &format!("{name}-{n}"),
                    41,
                    EndpointBehavior::default(),
                )
                .unwrap();
        }
    }
    cluster
}

/// Sends request `n` with a timeout of `wait` milliseconds. Returns the error code of the reply,
/// `None` for a value.
fn send_request(
    client: &mut TestClient,
    n: usize,
    class: &RequestClass,
    wait: u32,
) -> Option<String> {
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

/// Starts an agent twice under the changed settings. Each time it has to serve a request of every
/// class within a timeout of `wait` milliseconds, and to exit with success on SIGTERM.
fn starts_serves_and_restarts(cluster: &TestCluster, wait: u32, change: impl FnOnce(&mut Value)) {
    let mut configuration = cluster.configuration("n1", 0).unwrap();
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
        for (n, class) in cluster.classes.iter().enumerate() {
            // On a busy machine requests may be rejected for a short time: these are sent again.
            let served = (0..200).any(|retry| {
                send_request(&mut client, round * 100_000 + n * 1000 + retry, class, wait).is_none()
            });
            assert!(served, "class {} is never served", class.name);
        }
        agent.terminate().unwrap();
        let begun = Instant::now();
        assert!(agent.wait_for_success().unwrap() && begun.elapsed() < TEST_TIMEOUT);
    }
    for class in cluster.classes.iter().filter(|l| l.idempotency == "once") {
        assert!(cluster.executed_twice(&class.name).is_empty());
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
fn serves_a_class_with_a_timeout_and_window_of_100_ms_and_free_handshakes() {
    let cluster = cluster(&["only"], vec![class("tick", "by_key", "cell", 20.0)]);
    starts_serves_and_restarts(&cluster, 100, |c| {
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
    let nth_class = |n: usize| {
        class(
            &format!("lane {n}, \u{e9}").replace(", ", "-"),
            kinds[n % 3].0,
            kinds[n % 3].1,
            60_000.0,
        )
    };
    let cluster = cluster(
        &["a", "b", "c", "d", "e", "f"],
        (0..30).map(nth_class).collect(),
    );
    starts_serves_and_restarts(&cluster, 600_000, |c| {
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
fn serves_with_the_minimum_of_descriptors_and_memory_and_without_slow_start() {
    let cluster = cluster(&["only"], agent_process::classes());
    starts_serves_and_restarts(&cluster, 1000, |c| {
        c["limits"] = json!({"sockets": 64, "memory_mb": 32, "cores": 0.05});
        let settings = &mut c["settings"];
        settings["rules"] =
            json!({"cold-share": 0.0, "cold-ms": 0, "fall-ms": 0, "fall-multiple": 1});
        settings["tenants"] = json!([{"name": "whoever", "share": 0}]);
        settings["domain"]["most-shares"] = json!([]);
    });
}
