//! Settings that a SIGHUP applies as a whole or not at all, on real sockets: how requests are
//! handled before and after, which calls discovery and the platform receive, and that no client is
//! disconnected.

use serde_json::{json, Value};
use std::thread::sleep;
use std::time::{Duration, Instant};
use tulipwall_testkit::endpoint::CONNECTIONS;
use tulipwall_testkit::runtime::{wait_until, TEST_TIMEOUT};
use tulipwall_testkit::*;

const BINARY: &str = env!("CARGO_BIN_EXE_tulipwall-agent");

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn cluster(endpoints: usize, behavior: EndpointBehavior) -> TestCluster {
    let cluster = TestCluster::new(&["a"], agent_process::classes()).unwrap();
    for n in 0..endpoints {
        cluster
            .add_endpoint(0, &format!("s-{n}"), 41, behavior.clone())
            .unwrap();
    }
    cluster
}

fn start(cluster: &TestCluster, change: impl FnOnce(&mut Value)) -> AgentProcess {
    let mut configuration = cluster.configuration("n1", 0).unwrap();
    change(&mut configuration);
    AgentProcess::start(BINARY, configuration, &[]).unwrap()
}

fn connect_client(agent: &AgentProcess) -> TestClient {
    TestClient::connect(agent.address().unwrap()).unwrap()
}

fn reload_count(agent: &AgentProcess) -> usize {
    agent.log().matches("a new configuration").count()
}

/// Replaces the configuration and waits until it is in force. Returns how long that took.
fn reload(agent: &AgentProcess, configuration: &Value) -> Duration {
    let (before, begun) = (reload_count(agent), Instant::now());
    agent.reload(&configuration.to_string()).unwrap();
    assert!(
        wait_until(|| reload_count(agent) > before),
        "{}",
        agent.log()
    );
    begun.elapsed()
}

fn class(name: &str, idempotency: &str, latency_objective_ms: f64) -> Value {
    json!({"name": name, "aim-ms": latency_objective_ms, "give-up-ms": 8000.0, "idempotency": idempotency, "dedup-scope": "all",
        "window-ms": 9000.0, "points": 3.0})
}

/// Sends a request with this id. Returns the error code of the reply, `None` for a value.
fn send_request(client: &mut TestClient, id: &str, class: &str) -> Option<String> {
    client.send_query_as(id, class, 3000);
    client.read_reply().unwrap().code()
}

fn attempts(cluster: &TestCluster, id: &str) -> usize {
    cluster.received_queries().get(id).map_or(0, Vec::len)
}

/// What discovery and the platform have received: requests for the full list, connections to
/// discovery and connections to the platform. An agent may call discovery twice at its start, and
/// the second call may arrive after the first was answered: this waits for it.
fn control_calls(cluster: &TestCluster) -> (usize, usize, usize) {
    assert!(
        cluster.discovery.wait_until_requests_counted(0).unwrap(),
        "one watch at a time"
    );
    (
        cluster.discovery.full_list_requests(),
        cluster.discovery.connections(),
        cluster.platform.connections(),
    )
}

#[test]
fn applies_an_added_class_and_tenant_to_the_next_request_of_an_open_connection() {
    let cluster = cluster(1, EndpointBehavior::default());
    let agent = start(&cluster, |_| {});
    let mut client = connect_client(&agent);
    assert_eq!(send_request(&mut client, "v1", "view"), None);
    assert!(
        send_request(&mut client, "x1", "extra").is_some(),
        "the class does not exist yet"
    );
    let before = control_calls(&cluster);
    let opened =
        || cluster.endpoint("s-0").unwrap().transfer_counts()[&(0, CONNECTIONS.to_owned())].written;
    let connections = opened();
    let mut configuration = agent.configuration.clone();
    let settings = &mut configuration["settings"];
    settings["classes"]
        .as_array_mut()
        .unwrap()
        .insert(0, class("extra", "repeatable", 400.0));
    settings["tenants"] = json!([{"name": "acme", "share": 0.5}]);
    reload(&agent, &configuration);
    for (n, class) in ["extra", "view", "send", "payment"].into_iter().enumerate() {
        sleep(ms(30));
        let key = if class == "send" { ",k=k1" } else { "" };
        client.send_statement(&format!(
            "SELECT body FROM objects WHERE oid = 'a1' /* id=r{n},c={class},t=acme,d=3000{key} */"
        ));
        assert_eq!(client.read_reply().unwrap().code(), None, "{class}");
    }
    assert!(
        agent
            .log()
            .contains("new settings: 4 classes, 1 tenants, 1 zones"),
        "{}",
        agent.log()
    );
    // A removed class is unknown again.
    reload(&agent, &agent.configuration);
    assert!(send_request(&mut client, "x2", "extra").is_some());
    assert_eq!(send_request(&mut client, "v2", "view"), None);
    assert_eq!(
        (control_calls(&cluster), opened()),
        (before, connections),
        "no service is called again, and no connection is opened anew"
    );
}

#[test]
fn applies_a_changed_latency_objective_to_later_requests() {
    let cluster = cluster(
        2,
        EndpointBehavior {
            work: ms(1200),
            ..EndpointBehavior::default()
        },
    );
    let classes = |latency_objective| {
        json!([
            class("one", "repeatable", 10_000.0),
            class("other", "repeatable", latency_objective)
        ])
    };
    let agent = start(&cluster, |c| c["settings"]["classes"] = classes(10_000.0));
    let mut client = connect_client(&agent);
    assert_eq!(send_request(&mut client, "one", "one"), None);
    assert_eq!(
        attempts(&cluster, "one"),
        1,
        "an attempt is late only after a part of the objective of 10 s"
    );
    let mut configuration = agent.configuration.clone();
    configuration["settings"]["classes"] = classes(400.0);
    reload(&agent, &configuration);
    assert_eq!(send_request(&mut client, "other", "other"), None);
    assert_eq!(
        attempts(&cluster, "other"),
        2,
        "an attempt is late after a part of the objective of 0.4 s"
    );
}

/// Guards against a request in progress that is retried, or not retried, by idempotency rules other
/// than those under which it was accepted.
#[test]
fn applies_changed_idempotency_with_requests_in_progress() {
    let cluster = cluster(
        3,
        EndpointBehavior {
            response: ResponseBehavior::NeverAnswer,
            ..EndpointBehavior::default()
        },
    );
    let classes = |view, payment| {
        json!([
            class("view", view, 4500.0),
            class("send", "by_key", 400.0),
            class("payment", payment, 4500.0)
        ])
    };
    let agent = start(&cluster, |c| {
        c["settings"]["classes"] = classes("repeatable", "once")
    });
    let mut clients: Vec<TestClient> = (0..4).map(|_| connect_client(&agent)).collect();
    // The attempts of both count as late after 2 s.
    clients[0].send_query_as("view-before", "view", 7000);
    clients[1].send_query_as("payment-before", "payment", 7000);
    assert!(wait_until(|| attempts(&cluster, "view-before")
        + attempts(&cluster, "payment-before")
        == 2));
    let mut configuration = agent.configuration.clone();
    configuration["settings"]["classes"] = classes("once", "repeatable");
    let took = reload(&agent, &configuration);
    assert!(
        took < ms(1500),
        "in force only after {took:?}; both requests may be late by then"
    );
    clients[2].send_query_as("view-after", "view", 5000);
    clients[3].send_query_as("payment-after", "payment", 5000);
    assert!(wait_until(
        || attempts(&cluster, "view-before") == 2 && attempts(&cluster, "payment-after") >= 2
    ));
    // A further reload without any change keeps the requests in progress under their rules.
    reload(&agent, &configuration);
    for client in &mut clients {
        client.stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        assert!(
            client.read_reply().unwrap().code().is_some(),
            "no endpoint answers these requests"
        );
    }
    assert_eq!(
        (
            attempts(&cluster, "view-after"),
            attempts(&cluster, "payment-before")
        ),
        (1, 1)
    );
}

#[test]
fn reports_invalid_settings_in_one_line_and_changes_nothing() {
    let cluster = cluster(1, EndpointBehavior::default());
    let agent = start(&cluster, |_| {});
    let mut client = connect_client(&agent);
    let before = control_calls(&cluster);
    let assert_rejected = |expected_error: &str, change: &dyn Fn(&mut Value)| {
        let mut configuration = agent.configuration.clone();
        let settings = &mut configuration["settings"];
        settings["classes"]
            .as_array_mut()
            .unwrap()
            .push(class("extra", "repeatable", 400.0));
        change(settings);
        let line = format!("{expected_error}; the configuration read before stays");
        let rejection_count = || {
            agent
                .log()
                .matches("the configuration read before stays")
                .count()
        };
        let (rejections_before, reloads_before) = (rejection_count(), reload_count(&agent));
        agent.reload(&configuration.to_string()).unwrap();
        assert!(
            wait_until(|| rejection_count() > rejections_before),
            "{}",
            agent.log()
        );
        assert!(agent.log().contains(&line), "{line}: {}", agent.log());
        assert_eq!(
            (rejection_count(), reload_count(&agent)),
            (rejections_before + 1, reloads_before),
            "logged in one line, and not applied"
        );
    };
    let tenants = |named: &[(&str, f64)]| -> Value {
        named
            .iter()
            .map(|(name, share)| json!({"name": name, "share": share}))
            .collect()
    };
    let duplicate_tenants = tenants(&[("acme", 0.1), ("other", 0.1), ("acme", 0.2)]);
    assert_rejected("field tenants: duplicate tenant 'acme'", &|s| {
        s["tenants"] = duplicate_tenants.clone()
    });
    let excessive_share = tenants(&[("acme", 1.5)]);
    assert_rejected(
        "field share: tenant 'acme': expected a share from 0 to 1",
        &|s| s["tenants"] = excessive_share.clone(),
    );
    assert_rejected("field classes: duplicate class 'view'", &|s| {
        s["classes"]
            .as_array_mut()
            .unwrap()
            .push(class("view", "once", 400.0));
    });
    assert_rejected("field zones: duplicate zone 'a'", &|s| {
        s["zones"] = json!(["a", "b", "a"])
    });
    assert_rejected("field aim-ms: expected a number", &|s| {
        s["classes"][1]["aim-ms"] = "soon".into()
    });
    assert!(
        send_request(&mut client, "x", "extra").is_some(),
        "no part of the invalid settings is in force"
    );
    assert_eq!(send_request(&mut client, "v", "view"), None);
    assert_eq!(control_calls(&cluster), before);
    // A start with invalid settings fails.
    let mut configuration = cluster.configuration("n2", 0).unwrap();
    configuration["settings"]["tenants"] = duplicate_tenants.clone();
    let mut refused = AgentProcess::start(BINARY, configuration, &[]).unwrap();
    assert!(!refused.wait_for_success().unwrap());
    assert!(
        refused
            .log()
            .contains("settings: field tenants: duplicate tenant 'acme'"),
        "{}",
        refused.log()
    );
}

/// Guards against hundreds of agents that request the full list from discovery, and open their
/// connections anew, at each change of the settings.
#[test]
fn keeps_connections_to_services_whose_address_did_not_change() {
    let (cluster, new_platform) = (
        cluster(1, EndpointBehavior::default()),
        Platform::start(RolloutStatus::now(41, 0, "released", 1.0)).unwrap(),
    );
    let agent = start(&cluster, |_| {});
    let mut client = connect_client(&agent);
    assert!(wait_until(|| cluster.platform.connections() == 1));
    let before = control_calls(&cluster);
    let mut configuration = agent.configuration.clone();
    for n in 0..20 {
        // Every other reload changes a value.
        configuration["settings"]["classes"][0]["aim-ms"] = (400 + n / 2).into();
        configuration["limits"]["sockets"] = (1024 + n / 2).into();
        reload(&agent, &configuration);
        assert_eq!(send_request(&mut client, &format!("v{n}"), "view"), None);
    }
    sleep(ms(300));
    assert_eq!(control_calls(&cluster), before);
    assert!(!agent.log().contains("Reloading"), "{}", agent.log());
    // A service whose address changed is connected to anew, and only that one.
    configuration["deployer"]["address"] = new_platform.address.to_string().into();
    reload(&agent, &configuration);
    assert!(wait_until(
        || new_platform.connections() == 1 && agent.log().matches("phase: Serving").count() == 2
    ));
    assert_eq!(control_calls(&cluster), before);
    let discovery = Discovery::start(1).unwrap();
    discovery.update(cluster.discovery.entries());
    configuration["discovery"] = discovery.address(0).to_string().into();
    reload(&agent, &configuration);
    assert!(wait_until(
        || agent.log().matches("phase: Serving").count() == 3
    ));
    // The agent may call twice there; one of the two calls goes on.
    assert!(discovery.wait_until_requests_counted(0).unwrap());
    let full_lists = discovery.full_list_requests();
    assert!(full_lists >= 1);
    assert_eq!(
        (new_platform.connections(), control_calls(&cluster)),
        (1, before)
    );
    // Another mode of discovery counts as a move too: discovery is called once more, and only for
    // changes, as calls are paid for in this mode.
    let (opened, full_lists) = (discovery.connections(), discovery.full_list_requests());
    configuration["settings"]["discovery"] = "ask".into();
    reload(&agent, &configuration);
    assert!(wait_until(
        || agent.log().matches("phase: Serving").count() == 4
    ));
    sleep(ms(300));
    assert!(discovery.wait_until_requests_counted(0).unwrap());
    assert_eq!(
        (discovery.connections(), discovery.full_list_requests()),
        (opened + 1, full_lists)
    );
    assert_eq!(new_platform.connections(), 1);
    assert_eq!(send_request(&mut client, "last", "view"), None);
}

#[test]
fn logs_which_change_needs_a_restart_and_applies_the_rest() {
    let cluster = cluster(1, EndpointBehavior::default());
    let agent = start(&cluster, |_| {});
    let mut client = connect_client(&agent);
    let mut configuration = agent.configuration.clone();
    configuration["listen"] = agent_process::free_address().to_string().into();
    configuration["settings"]["classes"]
        .as_array_mut()
        .unwrap()
        .push(class("extra", "once", 400.0));
    reload(&agent, &configuration);
    let line = format!(
        "field listen: {} stays until a restart",
        agent.address().unwrap()
    );
    assert!(
        wait_until(|| agent.log().contains(&line)),
        "{}",
        agent.log()
    );
    assert_eq!(send_request(&mut client, "x", "extra"), None);
    connect_client(&agent);
}

/// Applies one reload after another under load: each request is answered exactly once, none is
/// lost, no client is disconnected, and no non-idempotent request runs twice.
#[test]
fn loses_no_request_in_two_hundred_reloads_under_load() {
    let behavior = EndpointBehavior {
        work: ms(15),
        fixed_work_share: 0.3,
        cores: 8,
        ..EndpointBehavior::default()
    };
    let cluster = cluster(
        6,
        EndpointBehavior {
            random_responses: vec![
                (ResponseBehavior::Fail, 0.02),
                (ResponseBehavior::Reject, 0.02),
            ],
            ..behavior
        },
    );
    let agent = start(&cluster, |_| {});
    connect_client(&agent);
    let load_class = |name: &str, weight, keyed| (name.to_owned(), weight, ms(1500), keyed);
    let load = Load {
        agent: agent.address().unwrap(),
        rate: 150.0,
        duration: Duration::from_secs(8),
        classes: vec![
            load_class("view", 4.0, false),
            load_class("send", 4.0, true),
            load_class("payment", 2.0, false),
        ],
        connections: 200,
        seed: 17,
    }
    .start();
    let before = control_calls(&cluster);
    let mut configuration = agent.configuration.clone();
    for n in 0..200usize {
        let settings = &mut configuration["settings"];
        let view = if n % 4 < 2 { "repeatable" } else { "by_key" };
        let mut classes = json!([
            class("view", "repeatable", (300 + n % 7 * 100) as f64),
            class("send", "by_key", 400.0),
            class("payment", "once", 500.0)
        ]);
        classes
            .as_array_mut()
            .unwrap()
            .extend((0..n % 3).map(|i| class(&format!("l{}", n + i), view, 400.0)));
        // The classes change their order each time, and those that existed before change their
        // rules.
        classes.as_array_mut().unwrap().rotate_left(n % 3);
        settings["classes"] = classes;
        settings["tenants"] = (0..n % 20)
            .map(|t| json!({"name": format!("t{}", n + t), "share": 0.01}))
            .collect();
        settings["zones"] = if n % 5 == 0 {
            json!(["a", "b"])
        } else {
            json!(["c", "a"])
        };
        settings["domain"]["cap-scope"] = if n % 10 < 5 {
            "all".into()
        } else {
            "class".into()
        };
        settings["limits"]["try-limit"] = (3 + n % 3).into();
        reload(&agent, &configuration);
        sleep(ms(10));
    }
    let answered = futures_lite::future::block_on(load);
    assert!(answered.requests > 800, "{answered:?}");
    assert_eq!(
        (answered.unanswered, answered.unanswered_ids.len()),
        (0, 0),
        "{:?}",
        answered.unanswered_ids
    );
    assert!(
        answered.succeeded * 10 > answered.requests * 9,
        "{answered:?}"
    );
    assert_eq!(answered.answered(), answered.requests);
    assert!(cluster.executed_twice("payment").is_empty());
    assert_eq!(control_calls(&cluster), before);
    assert!(!agent.log().contains("panicked"), "{}", agent.log());
}

#[test]
fn applies_fifty_six_thousand_tenants_within_four_seconds() {
    let cluster = cluster(1, EndpointBehavior::default());
    let tenants = |first_tenant: usize| -> Value {
        (first_tenant..first_tenant + 56_000)
            .map(|n| json!({"name": format!("tenant-{n}"), "share": 0.00002}))
            .collect()
    };
    let agent = start(&cluster, |c| c["settings"]["tenants"] = tenants(0));
    let mut client = connect_client(&agent);
    let mut configuration = agent.configuration.clone();
    for n in 1..4 {
        configuration["settings"]["tenants"] = tenants(n * 100);
        let name = format!("extra-{n}");
        configuration["settings"]["classes"]
            .as_array_mut()
            .unwrap()
            .push(class(&name, "repeatable", 400.0));
        let text = configuration.to_string();
        let begun = Instant::now();
        agent.reload(&text).unwrap();
        // Measured by the replies that a client receives, not by the log.
        let served =
            (0..).find_map(
                |i| match send_request(&mut client, &format!("n{n}-{i}"), &name) {
                    None => Some(begun.elapsed()),
                    Some(_) if begun.elapsed() > TEST_TIMEOUT => Some(TEST_TIMEOUT),
                    Some(_) => None,
                },
            );
        assert!(served.unwrap() < Duration::from_secs(4), "{served:?}");
    }
}
