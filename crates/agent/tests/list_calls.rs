//! How often an agent requests the list from a discovery whose calls are free, counted by the
//! discovery service.

use serde_json::{json, Value};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};
use tulipwall_testkit::*;

const BINARY: &str = env!("CARGO_BIN_EXE_tulipwall-agent");

fn cluster() -> TestCluster {
    let cluster = TestCluster::new(&["a"], agent_process::classes()).unwrap();
    for n in 0..3 {
        let behavior = EndpointBehavior::default();
        cluster
            .add_endpoint(0, &format!("s-{n}"), 41, behavior)
            .unwrap();
    }
    cluster
}

/// Starts an agent and has it serve one request.
fn start(configuration: Value) -> AgentProcess {
    let agent = AgentProcess::start(BINARY, configuration, &[]).unwrap();
    let mut client = TestClient::connect(agent.address().unwrap()).unwrap();
    client.send_query("view", 1000);
    assert_eq!(client.read_reply().unwrap().code(), None);
    agent
}

/// What discovery receives from one start of an agent.
#[derive(Clone, Copy, Debug, PartialEq)]
struct StartCalls {
    connections: usize,
    whole_lists: usize,
}

fn calls_of_a_start(knows_a_list: bool) -> StartCalls {
    let cluster = cluster();
    let mut configuration = cluster.configuration("n1", 0).unwrap();
    if !knows_a_list {
        configuration.as_object_mut().unwrap().remove("known");
    }
    let _agent = start(configuration);
    assert!(
        cluster.discovery.wait_until_requests_counted(0).unwrap(),
        "one watch at a time"
    );
    StartCalls {
        connections: cluster.discovery.connections(),
        whole_lists: cluster.discovery.full_list_requests(),
    }
}

/// Guards against a full list that discovery writes, and the agent reads, twice at each start.
#[test]
fn requests_a_pushed_list_once_at_a_start() {
    for knows_a_list in [false, true] {
        let expected = StartCalls {
            connections: 1,
            whole_lists: usize::from(!knows_a_list),
        };
        let starts: Vec<StartCalls> = (0..5).map(|_| calls_of_a_start(knows_a_list)).collect();
        // A machine that stalls for 150 ms is taken for a lost connection: tolerated once in five
        // starts.
        let once = starts.iter().filter(|calls| **calls == expected).count();
        assert!(once >= 4, "{starts:?}");
    }
}

/// Guards against a start that waits for a call on a connection that was lost without notice.
#[test]
fn calls_again_soon_when_the_first_connection_of_a_start_is_silent() {
    let cluster = cluster();
    let mut configuration = cluster.configuration("n1", 0).unwrap();
    configuration.as_object_mut().unwrap().remove("known");
    cluster
        .discovery
        .silence_watches([ConnectionBehavior::Unanswered]);
    let begun = Instant::now();
    let _agent = start(configuration);
    // The second call, which allows more time, is abandoned only after 2 s.
    assert!(
        begun.elapsed() < Duration::from_millis(1500),
        "{:?}",
        begun.elapsed()
    );
    assert!(cluster.discovery.connections() >= 2);
}

/// A discovery service that writes its full list in parts, and whose list never changes.
struct PartwiseDiscovery {
    address: SocketAddr,
    whole_lists: Arc<AtomicUsize>,
}

impl PartwiseDiscovery {
    fn start(list: Value, pause: Duration) -> PartwiseDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let list = Arc::new(EncodedResponses {
            whole: ScriptedServer::http_response(&list.to_string()),
            unchanged: ScriptedServer::http_response(
                &json!({"version": list["version"], "full": false, "servers": []}).to_string(),
            ),
            pause,
        });
        let whole_lists = Arc::<AtomicUsize>::default();
        let counted = whole_lists.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let list = Arc::clone(&list);
                let counted = counted.clone();
                std::thread::spawn(move || serve_in_parts(stream, &list, &counted));
            }
        });
        PartwiseDiscovery {
            address,
            whole_lists,
        }
    }
}

/// The encoded responses of a [`PartwiseDiscovery`].
struct EncodedResponses {
    whole: String,
    unchanged: String,
    /// Time between two parts of the full list.
    pause: Duration,
}

fn serve_in_parts(
    mut stream: TcpStream,
    list: &EncodedResponses,
    whole_lists: &AtomicUsize,
) -> io::Result<()> {
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte)?;
            head.extend(byte);
        }
        if String::from_utf8_lossy(&head).contains("after=") {
            sleep(Duration::from_millis(900));
            stream.write_all(list.unchanged.as_bytes())?;
            continue;
        }
        whole_lists.fetch_add(1, Ordering::SeqCst);
        for part in list.whole.as_bytes().chunks(list.whole.len() / 5) {
            stream.write_all(part)?;
            sleep(list.pause);
        }
    }
}

/// Guards against a second request while discovery writes a long list for longer than a quick call
/// may take: the additional list would slow it down further.
#[test]
fn does_not_request_the_list_again_while_a_long_one_is_arriving() {
    let cluster = cluster();
    let slow = PartwiseDiscovery::start(cluster.discovery.full_list(0), Duration::from_millis(150));
    let mut configuration = cluster.configuration("n1", 0).unwrap();
    configuration.as_object_mut().unwrap().remove("known");
    configuration["discovery"] = slow.address.to_string().into();
    let agent = AgentProcess::start(BINARY, configuration, &[]).unwrap();
    let mut client = TestClient::connect(agent.address().unwrap()).unwrap();
    let served = || {
        client.send_query("view", 1000);
        client.read_reply().unwrap().code().is_none()
    };
    assert!(runtime::wait_until(served), "{}", agent.log());
    // A second list only if the machine stalled for 150 ms; without the guard there are four or
    // more.
    let whole_lists = slow.whole_lists.load(Ordering::SeqCst);
    assert!((1..=2).contains(&whole_lists), "{whole_lists}");
    assert!(!agent.log().contains("calling again"), "{}", agent.log());
}

/// Guards against a limit on lists that lies below the planned maximum number of endpoints.
#[test]
fn applies_a_list_of_thirty_thousand_endpoints() {
    let cluster = cluster();
    let mut list = cluster.discovery.full_list(0);
    let template = list["servers"][0].clone();
    let entry = |n: usize| {
        let mut entry = template.clone();
        entry["id"] = format!("akl-rack-7-s-{n:08x}").into();
        entry
    };
    list["servers"] = (0..30_000).map(entry).collect();
    assert!(list.to_string().len() > 4 * 1024 * 1024);
    let discovery = PartwiseDiscovery::start(list, Duration::ZERO);
    let mut configuration = cluster.configuration("n1", 0).unwrap();
    configuration.as_object_mut().unwrap().remove("known");
    configuration["discovery"] = discovery.address.to_string().into();
    let agent = AgentProcess::start(BINARY, configuration, &[]).unwrap();
    let mut client = TestClient::connect(agent.address().unwrap()).unwrap();
    let served = || {
        client.send_query("view", 1000);
        client.read_reply().unwrap().code().is_none()
    };
    assert!(runtime::wait_until(served), "{}", agent.log());
}
