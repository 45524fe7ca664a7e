//! One client that sends small or invalid requests at full speed for some seconds: other clients are
//! answered in time, and the agent's memory does not grow.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{sleep, JoinHandle};
use std::time::{Duration, Instant};
use tulipwall_testkit::*;

const BINARY: &str = env!("CARGO_BIN_EXE_tulipwall-agent");
/// The time within which another client is answered beside a flood. Its request takes some
/// milliseconds alone.
const MAX_LATENCY: Duration = Duration::from_millis(500);
/// The number of answers to a flood before another client's request is answered, if both take turns:
/// that request needs only some turns.
const MAX_ANSWERS_BEFORE_OTHERS: usize = 1000;
const FLOOD_TIME: Duration = Duration::from_secs(3);
/// How much the memory may grow between the first second of a flood and its end.
const MAX_GROWTH_KIB: u64 = 2048;

/// A request for TLS, to which the agent answers with one byte.
const ENCRYPTION_REQUEST: [u8; 8] = [0, 0, 0, 8, 4, 210, 22, 47];

/// A client that writes one batch of bytes after another on one connection until it is dropped, and
/// reads all answers. Connects again if the agent closes its connection.
struct Flood {
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<u64>>,
}

impl Flood {
    fn start(
        agent: &AgentProcess,
        startup: Vec<u8>,
        batch: impl Fn(u64) -> Vec<u8> + Send + 'static,
    ) -> Flood {
        let address = agent.address().unwrap();
        let stopped = Arc::new(AtomicBool::new(false));
        let is_stopped = stopped.clone();
        let run = move || {
            let mut batches = 0;
            while !is_stopped.load(Ordering::Relaxed) {
                let mut stream = TcpStream::connect(address).unwrap();
                let reader = count_in_background(&stream, Arc::default());
                let mut written = stream.write_all(&startup);
                while written.is_ok() && !is_stopped.load(Ordering::Relaxed) {
                    written = stream.write_all(&batch(batches));
                    batches += 1;
                }
                let _ = stream.shutdown(Shutdown::Both);
                reader.join().unwrap();
            }
            batches
        };
        Flood {
            stopped,
            thread: Some(std::thread::spawn(run)),
        }
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Reads until the connection ends, and counts the bytes.
fn count_in_background(stream: &TcpStream, received: Arc<AtomicUsize>) -> JoinHandle<()> {
    let mut stream = stream.try_clone().unwrap();
    std::thread::spawn(move || {
        let mut buffer = vec![0; 64 * 1024];
        while let Ok(count) = stream.read(&mut buffer) {
            if count == 0 {
                return;
            }
            received.fetch_add(count, Ordering::Relaxed);
        }
    })
}

fn assert_others_served(startup: Vec<u8>, batch: impl Fn(u64) -> Vec<u8> + Send + 'static) {
    let cluster = TestCluster::new(&["a"], agent_process::classes()).unwrap();
    let behavior = EndpointBehavior {
        work: Duration::from_millis(5),
        ..EndpointBehavior::default()
    };
    cluster
        .add_endpoint(0, "s-0", 41, behavior.clone())
        .unwrap();
    cluster.add_endpoint(0, "s-1", 41, behavior).unwrap();
    let configuration = cluster.configuration("n1", 0).unwrap();
    let agent = AgentProcess::start(BINARY, configuration, &[]).unwrap();
    let mut client = TestClient::connect(agent.address().unwrap()).unwrap();
    let flood = Flood::start(&agent, startup, batch);
    let begun = Instant::now();
    let mut memory_after_a_second = None;
    let mut slowest = Duration::ZERO;
    let mut requests = 0;
    while begun.elapsed() < FLOOD_TIME {
        let sent = Instant::now();
        client.send_query_as(&format!("r{requests}"), "view", 5000);
        assert_eq!(client.read_reply().unwrap().code(), None);
        slowest = slowest.max(sent.elapsed());
        requests += 1;
        if begun.elapsed() > Duration::from_secs(1) {
            memory_after_a_second.get_or_insert(agent.memory_kib("RssAnon").unwrap());
        }
        sleep(Duration::from_millis(20));
    }
    let memory = agent.memory_kib("RssAnon").unwrap();
    drop(flood);
    let memory_before = memory_after_a_second.unwrap();
    println!("{requests} requests, the slowest {slowest:?}; {memory_before} KiB, then {memory}");
    assert!(slowest < MAX_LATENCY, "answered after {slowest:?}");
    assert!(
        memory < memory_before + MAX_GROWTH_KIB,
        "{memory_before} KiB after a second, {memory} KiB at the end"
    );
}

#[test]
fn serves_others_beside_a_flood_of_encryption_requests() {
    assert_others_served(Vec::new(), |_| ENCRYPTION_REQUEST.repeat(4096));
}

/// All of the flood has arrived before the other client's request: the agent may not answer it
/// first, however fast its answers are read.
#[test]
fn does_not_finish_a_flood_of_encryption_requests_before_it_serves_others() {
    let cluster = TestCluster::new(&["a"], agent_process::classes()).unwrap();
    let configuration = cluster.configuration("n1", 0).unwrap();
    let agent = AgentProcess::start(BINARY, configuration, &[]).unwrap();
    let mut other = TestClient::connect(agent.address().unwrap()).unwrap();
    let mut flooding = TcpStream::connect(agent.address().unwrap()).unwrap();
    flooding.write_all(&ENCRYPTION_REQUEST).unwrap();
    flooding.read_exact(&mut [0]).unwrap();
    agent.set_stalled(true).unwrap();
    let answered = Arc::new(AtomicUsize::new(0));
    let reader = count_in_background(&flooding, answered.clone());
    flooding
        .set_write_timeout(Some(Duration::from_millis(100)))
        .unwrap();
    let mut requests = 0;
    while let Ok(written) = flooding.write(&ENCRYPTION_REQUEST.repeat(512)) {
        requests += written / ENCRYPTION_REQUEST.len();
    }
    assert!(requests > 10_000, "{requests}");
    other.send_statement("");
    agent.set_stalled(false).unwrap();
    other.read_until_ready().unwrap();
    let answered = answered.load(Ordering::Relaxed);
    assert!(
        answered < MAX_ANSWERS_BEFORE_OTHERS,
        "{answered} of {requests}"
    );
    // The agent may have closed the connection already.
    let _ = flooding.shutdown(Shutdown::Both);
    reader.join().unwrap();
}

/// A client may ask for TLS and for GSSAPI, as PostgreSQL's own clients do.
#[test]
fn refuses_encryption_twice_and_then_closes_the_connection() {
    let cluster = TestCluster::new(&["a"], agent_process::classes()).unwrap();
    let configuration = cluster.configuration("n1", 0).unwrap();
    let agent = AgentProcess::start(BINARY, configuration, &[]).unwrap();
    drop(TestClient::connect(agent.address().unwrap()).unwrap());
    for (requests, starts) in [(2, true), (3, false)] {
        let mut stream = TcpStream::connect(agent.address().unwrap()).unwrap();
        let bytes = [ENCRYPTION_REQUEST.repeat(requests), pg::startup()].concat();
        stream.write_all(&bytes).unwrap();
        let mut refusals = [0; 2];
        stream.read_exact(&mut refusals).unwrap();
        assert_eq!(&refusals, b"NN");
        let mut client = TestClient { stream };
        let (tag, body) = client.read_message().unwrap();
        if starts {
            assert_eq!(tag, b'R');
        } else {
            assert_eq!(tag, pg::ERROR);
            assert_eq!(pg::error_field(&body, b'C').as_deref(), Some("08P01"));
        }
    }
}

#[test]
fn serves_others_beside_a_flood_of_empty_queries() {
    assert_others_served(pg::startup(), |_| pg::query("").repeat(4096));
}

#[test]
fn serves_others_beside_a_flood_of_session_commands() {
    assert_others_served(pg::startup(), |_| pg::query("SET a = 1").repeat(4096));
}

#[test]
fn serves_others_beside_a_flood_of_invalid_statements() {
    assert_others_served(pg::startup(), |_| pg::query("SELECT 1").repeat(4096));
}

#[test]
fn serves_others_beside_a_flood_under_ever_new_names() {
    assert_others_served(pg::startup(), |batch| {
        let statement = |n: usize| {
            format!("SELECT body FROM objects WHERE oid = 'o{batch}-{n}' /* id=i{batch}-{n},c=c{batch}-{n},t=t{batch}-{n},d=500 */")
        };
        (0..200).flat_map(|n| pg::query(&statement(n))).collect()
    });
}

#[test]
fn serves_others_beside_a_flood_of_requests_for_ever_new_tenants_and_objects() {
    assert_others_served(pg::startup(), |batch| {
        let statement = |n: usize| {
            format!("SELECT body FROM objects WHERE oid = 'o{batch}-{n}' /* id=i{batch}-{n},c=view,t=t{batch}-{n},d=500 */")
        };
        (0..200).flat_map(|n| pg::query(&statement(n))).collect()
    });
}

#[test]
fn quotes_only_the_beginning_of_an_unknown_class() {
    let cluster = TestCluster::new(&["a"], agent_process::classes()).unwrap();
    let configuration = cluster.configuration("n1", 0).unwrap();
    let agent = AgentProcess::start(BINARY, configuration, &[]).unwrap();
    let mut client = TestClient::connect(agent.address().unwrap()).unwrap();
    let class = "é".repeat(50_000);
    client.send_query(&class, 500);
    let reply = client.read_until_ready().unwrap();
    let (tag, body) = &reply[0];
    assert_eq!(
        (*tag, pg::error_field(body, b'C').as_deref()),
        (pg::ERROR, Some("42601"))
    );
    assert!(body.len() < 400, "{} bytes", body.len());
}
