//! Lists of the size to come on real sockets: taken in, spoilt, too long, empty, and whole again.
//! One endpoint stands behind all their entries.

use serde_json::json;
use tulipwall_testkit::*;

const BINARY: &str = env!("CARGO_BIN_EXE_tulipwall-agent");
const ENDPOINTS: usize = 7_700;

fn fleet(one: &discovery::Entry) -> Vec<discovery::Entry> {
    (0..ENDPOINTS)
        .map(|n| discovery::Entry {
            id: format!("s-{n:08x}"),
            ..one.clone()
        })
        .collect()
}

fn says(agent: &AgentProcess, line: &str) {
    assert!(
        runtime::wait_until(|| agent.log().contains(line)),
        "'{line}' is not in {}",
        agent.log()
    );
}

#[test]
fn follows_lists_of_thousands_and_logs_their_faults_in_one_line() {
    let world = TestCluster::new(&["a"], agent_process::classes()).unwrap();
    let one = world
        .start_unlisted(0, "s-0", 41, EndpointBehavior::default())
        .unwrap();
    world.discovery.update(fleet(&one));
    let agent = AgentProcess::start(BINARY, world.configuration("n1", 0).unwrap(), &[]).unwrap();
    let mut client = TestClient::connect(agent.address().unwrap()).unwrap();
    let mut ask = || {
        client.send_query("view", 1000);
        client.read_reply().unwrap().code()
    };
    assert_eq!(ask(), None);

    // Of two lines for one endpoint neither is believed; the others go on.
    let mut twice = world.discovery.full_list(0);
    let mut other = twice["servers"][17].clone();
    other["state"] = json!("terminating");
    twice["servers"].as_array_mut().unwrap().push(other);
    world
        .discovery
        .set_behavior(DiscoveryBehavior::Sends(ScriptedServer::http_response(
            &twice.to_string(),
        )));
    says(&agent, "'s-00000011' is listed twice");
    assert_eq!(ask(), None);

    // Beyond what is read nothing is believed: what is known goes on.
    let long = "HTTP/1.1 200 OK\r\nContent-Length: 8388609\r\n\r\n{";
    world.discovery.set_behavior(DiscoveryBehavior::Normal);
    says(&agent, "responding again");
    world
        .discovery
        .set_behavior(DiscoveryBehavior::Sends(long.into()));
    says(
        &agent,
        "body of 8388609 bytes is longer than the maximum of 8388608 bytes",
    );
    assert_eq!(ask(), None);

    // By the rules, what a whole list lacks is gone.
    let none = json!({"version": 99, "full": true, "servers": []}).to_string();
    world
        .discovery
        .set_behavior(DiscoveryBehavior::Sends(ScriptedServer::http_response(
            &none,
        )));
    says(&agent, "no endpoint runs, of 7700");
    assert!(
        ask().is_some_and(|code| code == "53300"),
        "what cannot be sent is denied"
    );

    // Whole again, none of it changed since the version that was heard: who has nothing to serve
    // from asks for all of it.
    (0..100).for_each(|_| world.discovery.update([]));
    world.discovery.set_behavior(DiscoveryBehavior::Normal);
    assert!(runtime::wait_until(|| ask().is_none()), "{}", agent.log());
}
