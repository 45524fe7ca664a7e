//! Clients that close their connection while much of what they sent is still unread, and ids that
//! come again after their client has left.

use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};
use tulipwall_agent::agent::{OpenError, OpenRequests};
use tulipwall_testkit::runtime::{wait_until, TEST_TIMEOUT};
use tulipwall_testkit::*;

const BINARY: &str = env!("CARGO_BIN_EXE_tulipwall-agent");

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A cluster with one endpoint that works for `work` on each request.
fn cluster(work: Duration) -> TestCluster {
    let cluster = TestCluster::new(&["a"], agent_process::classes()).unwrap();
    let behavior = EndpointBehavior {
        work,
        ..EndpointBehavior::default()
    };
    cluster.add_endpoint(0, "s-0", 41, behavior).unwrap();
    cluster
}

fn start_agent(cluster: &TestCluster) -> AgentProcess {
    let configuration = cluster.configuration("n1", 0).unwrap();
    AgentProcess::start(BINARY, configuration, &[]).unwrap()
}

fn connect(agent: &AgentProcess) -> TestClient {
    TestClient::connect(agent.address().unwrap()).unwrap()
}

fn received_ids(cluster: &TestCluster) -> Vec<String> {
    let received = cluster.endpoint("s-0").unwrap().received_queries();
    received.into_iter().map(|query| query.id).collect()
}

/// Returns a request with an object of `object_bytes` bytes.
fn large_request(id: &str, class: &str, object_bytes: usize) -> Vec<u8> {
    let object = "a".repeat(object_bytes);
    pg::query(&format!(
        "SELECT body FROM objects WHERE oid = '{object}' /* id={id},c={class},d=1400 */"
    ))
}

/// Writes without waiting until the socket accepts no more. Returns the number of bytes.
fn write_until_full(stream: &mut TcpStream, bytes: &[u8]) -> usize {
    stream.set_nonblocking(true).unwrap();
    let mut written = 0;
    while written < bytes.len() {
        match stream.write(&bytes[written..]) {
            Ok(count) => written += count,
            Err(error) if error.kind() == ErrorKind::WouldBlock => break,
            Err(error) => panic!("{error}"),
        }
    }
    written
}

/// The end of the connection stays behind the requests that the agent has not read.
#[test]
fn sends_nothing_more_for_a_client_that_left_behind_large_unread_requests() {
    let cluster = cluster(ms(300));
    let agent = start_agent(&cluster);
    let mut client = connect(&agent);
    let requests: Vec<u8> = (0..40)
        .flat_map(|n| large_request(&format!("q{n}"), "payment", 100_000))
        .collect();
    assert!(write_until_full(&mut client.stream, &requests) > 200_000);
    let before_close = Instant::now();
    drop(client);
    sleep(ms(1500));
    let received = cluster.endpoint("s-0").unwrap().received_queries();
    let late: Vec<_> = received
        .iter()
        .filter(|query| query.at > before_close + ms(100))
        .map(|query| (&query.id, query.at - before_close))
        .collect();
    assert!(late.is_empty(), "sent after the close: {late:?}");
}

/// Every request is sent again at once on a new connection, as its client got no answer.
#[test]
fn runs_requests_once_that_come_again_while_an_earlier_connection_is_unread() {
    let cluster = cluster(ms(100));
    let agent = start_agent(&cluster);
    let mut client = connect(&agent);
    let ids: Vec<String> = (0..12).map(|n| format!("q{n}")).collect();
    let requests: Vec<u8> = ids
        .iter()
        .flat_map(|id| large_request(id, "payment", 60_000))
        .collect();
    write_until_full(&mut client.stream, &requests);
    drop(client);
    let mut again = connect(&agent);
    for id in &ids {
        again
            .stream
            .write_all(&large_request(id, "payment", 60_000))
            .unwrap();
        again.read_reply().unwrap();
    }
    sleep(ms(500));
    let received = received_ids(&cluster);
    for id in &ids {
        let runs = received.iter().filter(|other| *other == id).count();
        assert!(runs <= 1, "{id} ran {runs} times: {received:?}");
    }
}

#[test]
fn runs_an_id_once_that_comes_again_while_it_runs_after_its_client_has_left() {
    for class in ["payment", "view"] {
        let cluster = cluster(ms(600));
        let agent = start_agent(&cluster);
        let mut client = connect(&agent);
        client.send_query_as("again", class, 1400);
        assert!(wait_until(|| received_ids(&cluster).len() == 1));
        drop(client);
        sleep(ms(50));
        let mut second = connect(&agent);
        second.send_query_as("again", class, 1400);
        assert_eq!(
            second.read_reply().unwrap().code().as_deref(),
            Some("42601")
        );
        assert_eq!(received_ids(&cluster), ["again"]);
    }
}

#[test]
fn runs_a_non_idempotent_id_once_that_comes_again_after_its_client_has_left() {
    let cluster = cluster(ms(300));
    let agent = start_agent(&cluster);
    let mut client = connect(&agent);
    client.send_query_as("again", "payment", 1400);
    assert!(wait_until(|| received_ids(&cluster).len() == 1));
    drop(client);
    sleep(ms(600));
    let mut second = connect(&agent);
    second.send_query_as("again", "payment", 1400);
    assert_eq!(
        second.read_reply().unwrap().code().as_deref(),
        Some("XX000")
    );
    assert_eq!(received_ids(&cluster), ["again"]);
    second.send_query_as("other", "payment", 1400);
    assert_eq!(second.read_reply().unwrap().code(), None);
}

/// The response was written, but its client left without reading it.
#[test]
fn runs_a_non_idempotent_id_once_that_comes_again_after_an_unread_response() {
    let cluster = cluster(ms(10));
    let agent = start_agent(&cluster);
    let mut client = connect(&agent);
    for n in 0..5 {
        client.send_query_as(&format!("q{n}"), "payment", 1400);
    }
    assert!(wait_until(|| received_ids(&cluster).len() == 5));
    sleep(ms(100));
    drop(client);
    sleep(ms(100));
    let mut second = connect(&agent);
    for n in 0..5 {
        second.send_query_as(&format!("q{n}"), "payment", 1400);
        assert_eq!(
            second.read_reply().unwrap().code().as_deref(),
            Some("XX000")
        );
    }
    assert_eq!(received_ids(&cluster).len(), 5);
}

/// An id that the same client uses again while it stays has been answered to it.
#[test]
fn serves_an_id_again_while_its_client_stays() {
    let cluster = cluster(ms(10));
    let agent = start_agent(&cluster);
    let mut client = connect(&agent);
    for _ in 0..3 {
        client.send_query_as("same", "payment", 1400);
        assert_eq!(client.read_reply().unwrap().code(), None);
    }
    let mut idempotent = connect(&agent);
    idempotent.send_query_as("view", "view", 1400);
    assert_eq!(idempotent.read_reply().unwrap().code(), None);
    drop(idempotent);
    sleep(ms(100));
    client.send_query_as("view", "view", 1400);
    assert_eq!(client.read_reply().unwrap().code(), None);
}

#[test]
fn remembers_a_bounded_number_of_ids_for_a_bounded_time() {
    let requests = OpenRequests::default();
    let start = Duration::from_secs(3600);
    let client = requests.register_client(1);
    for n in 0..20_000 {
        let request = requests.open(&format!("i{n}"), 1, start).unwrap();
        request.remember(start);
    }
    drop(client);
    assert_eq!(requests.counts(), [0, 8192]);
    let refused = requests.open("i19999", 2, start + Duration::from_secs(59));
    assert_eq!(refused.err(), Some(OpenError::MayHaveRun));
    assert!(requests.open("i0", 2, start).is_ok());
    assert!(requests
        .open("i19999", 2, start + Duration::from_secs(61))
        .is_ok());
    assert_eq!(requests.counts(), [0, 0]);
}

/// An id whose attempt never reached an endpoint is free for the client's next try.
#[test]
fn runs_an_id_that_comes_again_after_its_client_left_before_it_was_sent() {
    let cluster = cluster(ms(10));
    let link = endpoint::Link {
        reply_delay: ms(400),
        ..endpoint::Link::default()
    };
    cluster.endpoint("s-0").unwrap().set_link(0, link);
    let mut configuration = cluster.configuration("n1", 0).unwrap();
    configuration["limits"]["sockets"] = 26.into();
    configuration["settings"]["limits"]["dial-timeout-ms"] = 2000.into();
    let agent = AgentProcess::start(BINARY, configuration, &[]).unwrap();
    let mut client = connect(&agent);
    client.send_query_as("again", "payment", 1400);
    sleep(ms(100));
    drop(client);
    cluster
        .endpoint("s-0")
        .unwrap()
        .set_link(0, endpoint::Link::default());
    let begun = Instant::now();
    let mut second = connect(&agent);
    sleep(ms(100));
    second.send_query_as("again", "payment", 1400);
    assert_eq!(second.read_reply().unwrap().code(), None);
    assert_eq!(received_ids(&cluster), ["again"]);
    assert!(begun.elapsed() < TEST_TIMEOUT);
}

/// A client may write more than the agent reads ahead and stay: each request gets an answer.
#[test]
fn answers_each_of_many_large_requests_that_are_written_ahead() {
    let cluster = cluster(ms(20));
    let agent = start_agent(&cluster);
    let mut client = connect(&agent);
    let mut writer = client.stream.try_clone().unwrap();
    let writing = std::thread::spawn(move || {
        (0..30).for_each(|n| {
            writer
                .write_all(&large_request(&format!("q{n}"), "payment", 100_000))
                .unwrap();
        });
    });
    let codes: Vec<_> = (0..30)
        .map(|_| client.read_reply().unwrap().code())
        .collect();
    writing.join().unwrap();
    let served = codes.iter().filter(|code| code.is_none()).count();
    let rejected = codes
        .iter()
        .filter(|code| code.as_deref() == Some("53300"))
        .count();
    assert_eq!(served + rejected, 30, "{codes:?}");
    assert_eq!(received_ids(&cluster).len(), served);
    assert!(served > 0);
}
