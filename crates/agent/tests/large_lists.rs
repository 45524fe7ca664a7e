//! Lists with thousands of endpoints on real sockets: applied, malformed, too long, empty, and
//! valid again. All their entries lead to one endpoint.

use serde_json::json;
use tulipwall_testkit::*;

const BINARY: &str = env!("CARGO_BIN_EXE_tulipwall-agent");
const ENDPOINTS: usize = 7_700;

fn entries_for(entry: &discovery::Entry) -> Vec<discovery::Entry> {
    (0..ENDPOINTS)
        .map(|n| discovery::Entry {
            id: format!("s-{n:08x}"),
            ..entry.clone()
        })
        .collect()
}

fn assert_logs(agent: &AgentProcess, line: &str) {
    assert!(
        runtime::wait_until(|| agent.log().contains(line)),
        "'{line}' is not in {}",
        agent.log()
    );
}

#[test]
fn follows_lists_of_thousands_of_endpoints_and_logs_each_fault_in_one_line() {
    let cluster = TestCluster::new(&["a"], agent_process::classes()).unwrap();
    let entry = cluster
        .start_unlisted(0, "s-0", 41, EndpointBehavior::default())
        .unwrap();
    cluster.discovery.update(entries_for(&entry));
    let agent = AgentProcess::start(BINARY, cluster.configuration("n1", 0).unwrap(), &[]).unwrap();
    let mut client = TestClient::connect(agent.address().unwrap()).unwrap();
    let mut reply_code = || {
        client.send_query("view", 1000);
        client.read_reply().unwrap().code()
    };
    assert_eq!(reply_code(), None);

    // Two entries for one endpoint: neither is applied, and the other endpoints go on serving.
    let mut duplicated = cluster.discovery.full_list(0);
    let mut duplicate = duplicated["servers"][17].clone();
    duplicate["state"] = json!("terminating");
    duplicated["servers"]
        .as_array_mut()
        .unwrap()
        .push(duplicate);
    cluster
        .discovery
        .set_behavior(DiscoveryBehavior::Sends(ScriptedServer::http_response(
            &duplicated.to_string(),
        )));
    assert_logs(&agent, "'s-00000011' is listed twice");
    assert_eq!(reply_code(), None);

    // A list beyond the maximum length is not applied: the agent goes on with the list it has.
    let oversized = "HTTP/1.1 200 OK\r\nContent-Length: 8388609\r\n\r\n{";
    cluster.discovery.set_behavior(DiscoveryBehavior::Normal);
    assert_logs(&agent, "responding again");
    cluster
        .discovery
        .set_behavior(DiscoveryBehavior::Sends(oversized.into()));
    assert_logs(
        &agent,
        "body of 8388609 bytes is longer than the maximum of 8388608 bytes",
    );
    assert_eq!(reply_code(), None);

    // By the rules of discovery, an endpoint that a full list lacks is gone.
    let empty_list = json!({"version": 99, "full": true, "servers": []}).to_string();
    cluster
        .discovery
        .set_behavior(DiscoveryBehavior::Sends(ScriptedServer::http_response(
            &empty_list,
        )));
    assert_logs(&agent, "no endpoint runs, of 7700");
    assert!(
        reply_code().is_some_and(|code| code == "53300"),
        "a request that no endpoint can serve is rejected"
    );

    // The list is valid again, and nothing in it has changed since the version that the agent
    // received: an agent without any endpoint has to request the full list.
    (0..100).for_each(|_| cluster.discovery.update([]));
    cluster.discovery.set_behavior(DiscoveryBehavior::Normal);
    assert!(
        runtime::wait_until(|| reply_code().is_none()),
        "{}",
        agent.log()
    );
}
