//! No request is answered with the response to another one. Scripted endpoints send messages where
//! no response, or no further one, is due, and then answer the earlier request on a connection that
//! must not serve any other by then.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};
use tulipwall_testkit::*;

const BINARY: &str = env!("CARGO_BIN_EXE_tulipwall-agent");

/// Room for a single connection to endpoints, which the next request reuses.
const SOCKETS: usize = 26;
/// Longer than the time for which a connection is not reused after a response.
const REST: Duration = Duration::from_millis(150);
/// Shorter than the time for which a connection to an endpoint is not reused that has sent
/// unsolicited data.
const SUSPECT_REST: Duration = Duration::from_millis(900);
/// The delay of a response whose request is over by then.
const LATE: Duration = Duration::from_millis(300);
/// The delay of a second response that arrives while its connection rests.
const PROMPT: Duration = Duration::from_millis(5);

fn value_of(object: &str) -> Reply {
    Reply::Value(object.as_bytes().to_vec())
}

/// Starts an agent with room for a single connection, as [`start_agent_with_sockets`] does.
fn start_agent(endpoint: SocketAddr) -> (AgentProcess, TestCluster) {
    start_agent_with_sockets(endpoint, SOCKETS)
}

/// Starts an agent whose only endpoint listens at this address. Its cluster must outlive it.
fn start_agent_with_sockets(endpoint: SocketAddr, sockets: usize) -> (AgentProcess, TestCluster) {
    let cluster = TestCluster::new(&["a"], agent_process::classes()).unwrap();
    let behavior = EndpointBehavior::default();
    cluster.add_endpoint(0, "s-0", 41, behavior).unwrap();
    let discovery = &cluster.discovery;
    discovery.update_entry("s-0", |entry| entry.addresses = vec![endpoint]);
    let mut configuration = cluster.configuration("n1", 0).unwrap();
    configuration["limits"]["sockets"] = sockets.into();
    let agent = AgentProcess::start(BINARY, configuration, &[]).unwrap();
    (agent, cluster)
}

/// Sends a request for an object, with a class that is never attempted a second time once it may
/// have run.
fn send_request(client: &mut TestClient, object: &str, timeout: Duration) {
    let timeout_ms = timeout.as_millis();
    let comment = format!("id=r-{object},c=payment,d={timeout_ms}");
    let text = format!("SELECT body FROM objects WHERE oid = '{object}' /* {comment} */");
    client.send_statement(&text);
}

/// Requests an object as [`send_request`] does.
fn request(client: &mut TestClient, object: &str) -> Reply {
    send_request(client, object, Duration::from_secs(1));
    client.read_reply().unwrap()
}

/// Runs `script` on the first connection to an endpoint, and answers as expected on all others.
/// Requests two objects one after the other, and returns both replies.
fn two_replies(
    script: impl Fn(&mut ScriptedConnection) -> io::Result<()> + Send + Sync + 'static,
) -> [Reply; 2] {
    let endpoint = ScriptedEndpoint::start(move |mut connection| {
        if connection.index == 0 {
            return script(&mut connection);
        }
        connection.complete_startup()?;
        connection.answer_with_objects()
    });
    let endpoint = endpoint.unwrap();
    let (agent, _cluster) = start_agent(endpoint.address);
    let mut client = TestClient::connect(agent.address().unwrap()).unwrap();
    let first = request(&mut client, "first");
    sleep(REST);
    let second = request(&mut client, "second");
    [first, second]
}

/// Guards against a connection that is reused although the endpoint still owes a response, because
/// it reported to be ready before it sent one.
#[test]
fn closes_a_connection_that_is_ready_before_it_has_sent_a_response() {
    let [first, second] = two_replies(|connection| {
        connection.complete_startup()?;
        let first = connection.read_query()?;
        connection.send(&pg::ready())?;
        connection.read_query()?;
        connection.send(&pg::value_reply(first.object.as_bytes()))?;
        connection.answer_with_objects()
    });
    assert!(matches!(first, Reply::Failed(_)), "{first:?}");
    assert_eq!(second, value_of("second"));
}

/// Guards against a connection that serves requests before its startup is over, whose remaining
/// messages are then taken for the response to its first request.
#[test]
fn serves_no_request_on_a_connection_that_is_ready_before_its_authentication() {
    let replies = two_replies(|connection| {
        connection.read_startup()?;
        connection.send(&pg::ready())?;
        let first = connection.read_query()?;
        connection.send(&pg::startup_reply())?;
        connection.read_query()?;
        connection.send(&pg::value_reply(first.object.as_bytes()))
    });
    assert_eq!(replies, [value_of("first"), value_of("second")]);
}

/// Guards against messages behind the startup, which are taken for the response to the first
/// request on the connection: a value for its value, a rejection as proof that it never ran.
#[test]
fn sends_no_request_on_a_connection_with_messages_behind_its_startup() {
    for unsolicited in [
        pg::value_reply(b"unsolicited"),
        pg::error_reply("53300", "full"),
        pg::ready(),
        pg::value_reply(b"cut")[..9].to_vec(),
    ] {
        let bytes = unsolicited.clone();
        let received = Arc::<AtomicUsize>::default();
        let received_there = received.clone();
        let replies = two_replies(move |connection| {
            connection.read_startup()?;
            connection.send(&[pg::startup_reply(), bytes.clone()].concat())?;
            connection.read_query()?;
            received_there.fetch_add(1, Ordering::SeqCst);
            connection.answer_with_objects()
        });
        let expected = [value_of("first"), value_of("second")];
        assert_eq!(replies, expected, "{unsolicited:?}");
        assert_eq!(received.load(Ordering::SeqCst), 0, "{unsolicited:?}");
    }
}

/// Guards against a request that runs inside a transaction which another one left open.
#[test]
fn closes_a_connection_whose_response_leaves_a_transaction_open() {
    for status in [b'T', b'E'] {
        let second_queries = Arc::<AtomicUsize>::default();
        let counted = second_queries.clone();
        let replies = two_replies(move |connection| {
            connection.complete_startup()?;
            let first = connection.read_query()?;
            let mut response = pg::value_reply(first.object.as_bytes());
            response.pop();
            response.push(status);
            connection.send(&response)?;
            connection.read_query()?;
            counted.fetch_add(1, Ordering::SeqCst);
            connection.answer_with_objects()
        });
        assert_eq!(replies, [value_of("first"), value_of("second")]);
        assert_eq!(second_queries.load(Ordering::SeqCst), 0);
    }
}

/// Answers three requests of an endpoint that sends a second response right after the first answer,
/// and another one late: once a third request arrives on the connection of the second. Returns the
/// reply to the third, and how long after the second reply it was requested.
fn reply_behind_a_late_second_response() -> (Reply, Duration) {
    let endpoint = ScriptedEndpoint::start(|mut connection| {
        connection.complete_startup()?;
        let query = connection.read_query()?;
        let response = pg::value_reply(query.object.as_bytes());
        connection.send(&response)?;
        if connection.index == 0 {
            sleep(PROMPT);
            connection.send(&response)?;
        }
        connection.read_query()?;
        connection.send(&response)?;
        connection.answer_with_objects()
    });
    let endpoint = endpoint.unwrap();
    let (agent, _cluster) = start_agent(endpoint.address);
    let mut client = TestClient::connect(agent.address().unwrap()).unwrap();
    assert_eq!(request(&mut client, "first"), value_of("first"));
    sleep(REST);
    assert_eq!(request(&mut client, "second"), value_of("second"));
    let replied_at = Instant::now();
    sleep(REST);
    let elapsed = replied_at.elapsed();
    (request(&mut client, "third"), elapsed)
}

/// Guards against a second response that comes later than a connection usually rests, and is then
/// taken for the response to the next request: an endpoint that has sent one before is given time.
#[test]
fn gives_an_endpoint_that_answers_twice_more_time_for_its_next_second_response() {
    let in_time = (0..10).any(|_| {
        let (reply, elapsed) = reply_behind_a_late_second_response();
        // On a busy machine the pause may last longer than the connection has to rest.
        let in_time = elapsed < SUSPECT_REST;
        assert!(
            !in_time || reply == value_of("third"),
            "{elapsed:?}: {reply:?}"
        );
        in_time
    });
    assert!(in_time, "no request was sent in time");
}

/// Runs an endpoint that answers its first query only after `LATE`, when the request is over.
/// Returns the agent, which has room for some connections, and the number of further queries on the
/// connection of the first.
fn start_late_endpoint() -> (AgentProcess, TestCluster, Arc<AtomicUsize>) {
    let further_queries = Arc::<AtomicUsize>::default();
    let counted = further_queries.clone();
    let queries = AtomicUsize::new(0);
    let endpoint = ScriptedEndpoint::start(move |mut connection| {
        connection.complete_startup()?;
        let first = connection.read_query()?;
        let response = pg::value_reply(first.object.as_bytes());
        if queries.fetch_add(1, Ordering::SeqCst) > 0 {
            connection.send(&response)?;
            return connection.answer_with_objects();
        }
        sleep(LATE);
        connection.send(&response)?;
        connection.read_query()?;
        counted.fetch_add(1, Ordering::SeqCst);
        connection.answer_with_objects()
    });
    let (agent, cluster) = start_agent_with_sockets(endpoint.unwrap().address, SOCKETS + 8);
    (agent, cluster, further_queries)
}

/// Guards against a connection that is reused after its request has timed out and before its
/// endpoint has answered.
#[test]
fn reuses_no_connection_whose_request_has_timed_out() {
    let (agent, _cluster, further_queries) = start_late_endpoint();
    let mut client = TestClient::connect(agent.address().unwrap()).unwrap();
    send_request(&mut client, "first", LATE / 2);
    let first = client.read_reply().unwrap();
    assert!(matches!(first, Reply::Failed(_)), "{first:?}");
    assert_eq!(request(&mut client, "second"), value_of("second"));
    sleep(LATE);
    assert_eq!(request(&mut client, "third"), value_of("third"));
    assert_eq!(further_queries.load(Ordering::SeqCst), 0);
}

/// Guards against a connection that is reused after its client has left and before its endpoint has
/// answered.
#[test]
fn gives_no_client_the_response_to_one_that_has_left() {
    let (agent, _cluster, _) = start_late_endpoint();
    let mut leaving = TestClient::connect(agent.address().unwrap()).unwrap();
    send_request(&mut leaving, "first", Duration::from_secs(1));
    sleep(PROMPT);
    drop(leaving);
    let mut client = TestClient::connect(agent.address().unwrap()).unwrap();
    for object in ["second", "third", "fourth"] {
        assert_eq!(request(&mut client, object), value_of(object));
        sleep(LATE / 2);
    }
}
