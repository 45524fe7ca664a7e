//! Races between two events. Each test forces one, by fake services that respond late or by an
//! agent that is stalled, and checks what clients and endpoints observed.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};
use tulipwall_testkit::endpoint::Link;
use tulipwall_testkit::runtime::{wait_until, TEST_TIMEOUT};
use tulipwall_testkit::*;

const BINARY: &str = env!("CARGO_BIN_EXE_tulipwall-agent");

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn responding_with(response_behavior: ResponseBehavior) -> EndpointBehavior {
    EndpointBehavior {
        response: response_behavior,
        ..EndpointBehavior::default()
    }
}

fn with_processing_time_ms(time: u64) -> EndpointBehavior {
    EndpointBehavior {
        work: ms(time),
        ..EndpointBehavior::default()
    }
}

fn cluster_of(behavior: &[EndpointBehavior]) -> TestCluster {
    let cluster = TestCluster::new(&["a"], agent_process::classes()).unwrap();
    for (n, behavior) in behavior.iter().enumerate() {
        cluster
            .add_endpoint(0, &format!("s-{n}"), 41, behavior.clone())
            .unwrap();
    }
    cluster
}

/// Starts an agent after a change of its configuration.
fn start_agent(cluster: &TestCluster, change: impl FnOnce(&mut serde_json::Value)) -> AgentProcess {
    let mut configuration = cluster.configuration("n1", 0).unwrap();
    change(&mut configuration);
    AgentProcess::start(BINARY, configuration, &[]).unwrap()
}

/// Leaves no room for connections opened in advance, and enough time for those that open late: each
/// attempt opens its own connection.
fn with_late_connections(c: &mut serde_json::Value) {
    c["limits"]["sockets"] = 26.into();
    c["settings"]["limits"]["dial-timeout-ms"] = 2000.into();
}

fn unchanged(_: &mut serde_json::Value) {}

/// Delays the replies of this endpoint by `time` milliseconds, so that connections to it open late.
fn delay_replies(cluster: &TestCluster, id: &str, time: u64) {
    cluster.endpoint(id).unwrap().set_link(
        0,
        Link {
            reply_delay: ms(time),
            ..Link::default()
        },
    );
}

fn connect(agent: &AgentProcess) -> TestClient {
    TestClient::connect(agent.address().unwrap()).unwrap()
}

fn received_count(cluster: &TestCluster, id: &str) -> usize {
    cluster.endpoint(id).unwrap().received_count()
}

fn view_statement(id: &str, wait: u32) -> String {
    format!("SELECT body FROM objects WHERE oid = 'a1' /* id={id},c=view,d={wait} */")
}

/// Connects a client that writes these bytes at once, without waiting for any reply.
fn connect_and_write(agent: &AgentProcess, bytes: &[u8]) -> TestClient {
    let mut stream = TcpStream::connect(agent.address().unwrap()).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream.set_nodelay(true).unwrap();
    stream.write_all(bytes).unwrap();
    TestClient { stream }
}

/// Returns the error code of the client's first answer, `None` for a value, or the error that ended
/// its connection before any answer.
fn first_answer(client: &mut TestClient) -> std::io::Result<Option<String>> {
    loop {
        match client.read_message()? {
            (b'E', body) => return Ok(pg::error_field(&body, b'C')),
            (b'D', _) => return Ok(None),
            _ => {}
        }
    }
}

/// Sends SIGTERM and stalls the agent from just before it starts to terminate until just after it
/// should have. Runs `during_stall` meanwhile.
fn stall_across_termination(agent: &AgentProcess, during_stall: impl FnOnce()) {
    agent.terminate().unwrap();
    assert!(wait_until(|| agent.log().contains("phase: Draining")));
    sleep(ms(400));
    agent.set_stalled(true).unwrap();
    during_stall();
    sleep(ms(250));
    assert!(
        !agent.log().contains("phase: Terminating"),
        "the agent began to terminate before it was stalled"
    );
    agent.set_stalled(false).unwrap();
}

// Clients that disconnect.

#[test]
fn sends_nothing_for_a_client_that_left_while_the_first_attempt_was_connecting() {
    let cluster = cluster_of(&[with_processing_time_ms(0)]);
    delay_replies(&cluster, "s-0", 300);
    let agent = start_agent(&cluster, with_late_connections);
    let mut client = connect(&agent);
    client.send_query("view", 1400);
    sleep(ms(100));
    drop(client);
    sleep(ms(700));
    assert_eq!(received_count(&cluster, "s-0"), 0);
}

#[test]
fn sends_nothing_for_a_client_that_left_right_after_its_request() {
    let cluster = cluster_of(&[with_processing_time_ms(0)]);
    let agent = start_agent(&cluster, unchanged);
    let clients: Vec<_> = (0..20).map(|_| connect(&agent)).collect();
    agent.set_stalled(true).unwrap();
    for mut client in clients {
        client.send_query("view", 1400);
    }
    sleep(ms(50));
    agent.set_stalled(false).unwrap();
    let mut other = connect(&agent);
    other.send_query_as("other", "view", 1400);
    assert_eq!(other.read_reply().unwrap().code(), None);
    sleep(ms(100));
    assert_eq!(
        received_count(&cluster, "s-0"),
        1,
        "only the request of the client that stayed is sent"
    );
}

/// The client pipelines more statements than the agent reads ahead, so that the end of the
/// connection comes after unread statements.
#[test]
fn sends_nothing_more_for_a_client_that_left_with_statements_queued() {
    let cluster = cluster_of(&[with_processing_time_ms(500)]);
    let agent = start_agent(&cluster, unchanged);
    let mut client = connect(&agent);
    client.send_query_as("first", "payment", 1400);
    assert!(wait_until(|| received_count(&cluster, "s-0") == 1));
    // Few enough statements for none to be rejected as a flood.
    let object = "a".repeat(4000);
    for n in 0..20 {
        client.send_statement(&format!(
            "SELECT body FROM objects WHERE oid = '{object}' /* id=q{n},c=payment,d=1400 */"
        ));
    }
    drop(client);
    sleep(ms(1200));
    assert_eq!(received_count(&cluster, "s-0"), 1);
}

/// On the wire a shutdown of the write side looks the same as closing the connection, and a client
/// that closes its connection counts as gone by the specification.
#[test]
fn treats_a_client_that_shuts_down_its_write_side_as_gone() {
    let cluster = cluster_of(&[with_processing_time_ms(0)]);
    delay_replies(&cluster, "s-0", 300);
    let agent = start_agent(&cluster, with_late_connections);
    let mut client = connect(&agent);
    client.send_query("view", 1400);
    client.stream.shutdown(Shutdown::Write).unwrap();
    let mut rest = Vec::new();
    client.stream.read_to_end(&mut rest).unwrap();
    assert!(
        rest.is_empty(),
        "expected no answer before the connection is closed"
    );
    sleep(ms(500));
    assert_eq!(received_count(&cluster, "s-0"), 0);
}

// Events between the decision and the first byte.

/// Must hold whichever endpoint is tried first: the one that answers, or the one whose connection
/// opens after that answer.
#[test]
fn writes_no_hedge_whose_connection_opens_after_the_final_response() {
    let cluster = cluster_of(&[with_processing_time_ms(400), with_processing_time_ms(400)]);
    delay_replies(&cluster, "s-1", 900);
    // There is room for the connections of the first attempt and of the hedged request, and for
    // none opened in advance.
    let agent = start_agent(&cluster, |c| {
        with_late_connections(c);
        c["limits"]["sockets"] = 29.into();
    });
    let mut client = connect(&agent);
    client.send_query("view", 1400);
    assert_eq!(client.read_reply().unwrap().code(), None);
    sleep(ms(1000));
    assert_eq!(
        (
            received_count(&cluster, "s-0"),
            received_count(&cluster, "s-1")
        ),
        (1, 0)
    );
}

#[test]
fn writes_nothing_on_a_connection_that_opens_past_the_deadline() {
    let cluster = cluster_of(&[with_processing_time_ms(0)]);
    delay_replies(&cluster, "s-0", 300);
    let agent = start_agent(&cluster, with_late_connections);
    let mut client = connect(&agent);
    client.send_query("payment", 500);
    sleep(ms(50));
    // The agent is stalled until the connection is open and the deadline has passed.
    agent.set_stalled(true).unwrap();
    sleep(ms(700));
    agent.set_stalled(false).unwrap();
    assert!(client.read_reply().unwrap().code().is_some());
    sleep(ms(100));
    assert_eq!(received_count(&cluster, "s-0"), 0);
}

#[test]
fn measures_the_deadline_of_a_pipelined_statement_from_its_own_arrival() {
    let cluster = cluster_of(&[with_processing_time_ms(600)]);
    let agent = start_agent(&cluster, unchanged);
    let mut client = connect(&agent);
    client.send_query_as("first", "payment", 2000);
    client.send_query_as("second", "payment", 300);
    assert!(wait_until(|| received_count(&cluster, "s-0") == 1));
    // Measured from the third one's arrival, the second would still have time at its turn.
    sleep(ms(450));
    client.send_query_as("third", "payment", 2000);
    let codes = [(); 3].map(|()| client.read_reply().unwrap().code());
    assert_eq!(codes, [None, Some("53300".into()), None]);
    let sent: Vec<_> = cluster
        .endpoint("s-0")
        .unwrap()
        .received_queries()
        .into_iter()
        .map(|s| s.id)
        .collect();
    assert_eq!(
        sent,
        ["first", "third"],
        "the deadline of the second passed before its turn"
    );
}

/// One endpoint loses its answers, and the connections to the other open only after the
/// deduplication window, when the endpoints no longer drop the retry.
#[test]
fn fails_a_keyed_retry_at_once_after_its_deduplication_window() {
    let cluster = cluster_of(&[
        responding_with(ResponseBehavior::Close),
        with_processing_time_ms(0),
    ]);
    delay_replies(&cluster, "s-1", 600);
    let agent = start_agent(&cluster, |c| {
        with_late_connections(c);
        c["settings"]["classes"][1]["window-ms"] = 300.into();
    });
    let mut crossed = 0;
    for n in 0..12 {
        let mut client = connect(&agent);
        let begun = Instant::now();
        let comment = format!("id=d{n},c=send,d=1900,k=key{n}");
        client.send_statement(&format!(
            "INSERT INTO objects (oid, body) VALUES ('a', '\\x00') RETURNING body /* {comment} */"
        ));
        let code = client.read_reply().unwrap().code();
        let took = begun.elapsed();
        let at = |id: &str| {
            cluster
                .endpoint(id)
                .unwrap()
                .received_queries()
                .iter()
                .find(|s| s.id == format!("d{n}"))
                .map(|s| s.at)
        };
        match (at("s-0"), at("s-1")) {
            (Some(first), Some(repeat)) => {
                assert!(repeat < first + ms(300), "{:?} later", repeat - first)
            }
            (Some(_), None) => {
                // The answer was lost, and a retry could run a second time: the request fails at
                // once.
                assert_eq!(code, Some("XX000".into()));
                assert!(took < ms(1300), "answered after {took:?}");
                crossed += 1;
            }
            _ => {}
        }
    }
    assert!(
        crossed > 0,
        "no request went first to the endpoint that loses answers"
    );
}

/// The connection ends right after each answer, while the next request is on its way.
#[test]
fn runs_a_non_idempotent_request_at_most_once_when_its_connection_closes() {
    for response_behavior in [ResponseBehavior::AnswerAndClose, ResponseBehavior::Close] {
        let cluster = cluster_of(&[responding_with(response_behavior)]);
        let agent = start_agent(&cluster, unchanged);
        let mut client = connect(&agent);
        for n in 0..40 {
            client.send_query_as(&format!("p{n}"), "payment", 1000);
            let code = client.read_reply().unwrap().code();
            let ran = cluster
                .received_queries()
                .get(&format!("p{n}"))
                .map_or(0, Vec::len);
            match code.as_deref() {
                None => assert_eq!(ran, 1),
                Some("53300") => assert_eq!(ran, 0, "a rejected request never ran"),
                other => assert!(ran <= 1, "{ran} runs, {other:?}"),
            }
        }
    }
}

/// Starts an endpoint that answers the first query on each connection, reads some bytes of the
/// second and resets the connection, so that the second never runs. `seen` counts the resets.
fn start_endpoint_that_resets_the_second_query(seen: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    // With this receive buffer a long statement cannot be written as a whole.
    rustix::net::sockopt::set_socket_recv_buffer_size(&listener, 2048).unwrap();
    let address = listener.local_addr().unwrap();
    let serve_connection = move |mut stream: TcpStream| -> std::io::Result<()> {
        let mut startup = vec![0; pg::startup().len()];
        stream.read_exact(&mut startup)?;
        stream.write_all(&pg::startup_reply())?;
        let mut head = [0; 5];
        stream.read_exact(&mut head)?;
        let mut body =
            vec![0; u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize - 4];
        stream.read_exact(&mut body)?;
        stream.write_all(&pg::value_reply(&[0x9f, 3]))?;
        stream.read_exact(&mut [0; 700])?;
        seen.fetch_add(1, Ordering::SeqCst);
        // Closing the socket with unread bytes resets the connection.
        Ok(())
    };
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve_connection = serve_connection.clone();
            std::thread::spawn(move || serve_connection(stream));
        }
    });
    address
}

/// The connection breaks before the whole request has arrived, though all of it may have been
/// written. The agent cannot tell that it never ran, so it must not send it to another endpoint.
#[test]
fn runs_a_non_idempotent_request_at_most_once_when_its_connection_breaks_before_it_arrived() {
    let begun = Arc::<AtomicUsize>::default();
    let cluster = cluster_of(&[with_processing_time_ms(0), with_processing_time_ms(0)]);
    let address = start_endpoint_that_resets_the_second_query(begun.clone());
    cluster
        .discovery
        .update_entry("s-0", |e| e.addresses = vec![address]);
    // Few connections are opened in advance, so that each is soon reused.
    let agent = start_agent(&cluster, |c| c["limits"]["sockets"] = 64.into());
    let mut client = connect(&agent);
    let value = "9f".repeat(60_000);
    for n in 0..200 {
        let comment = format!("id=w{n},c=payment,d=1500");
        let text = format!(
            "INSERT INTO objects (oid, body) VALUES ('a', '\\x{value}') RETURNING body /* {comment} */"
        );
        client.send_statement(&text);
        let code = client.read_reply().unwrap().code();
        let ran = cluster
            .received_queries()
            .get(&format!("w{n}"))
            .map_or(0, Vec::len);
        match code.as_deref() {
            None => assert!(ran <= 1, "{ran} runs"),
            other => assert_eq!(
                ran, 0,
                "{other:?}: a failed request was sent to another endpoint"
            ),
        }
        if begun.load(Ordering::SeqCst) > 0 {
            return;
        }
    }
    panic!("no connection broke during a write");
}

// Late, duplicate and incomplete responses.

/// Sends thirty requests to an endpoint that writes a second answer `gap` milliseconds after each.
/// Returns whether all replies were correct. A wrong reply is a fault of the agent, unless the
/// second answer was in fact written later than the time for which a connection is not reused.
fn discards_late_duplicate_responses(gap: u16) -> bool {
    let cluster = cluster_of(&[responding_with(ResponseBehavior::AnswerAgainAfterMs(gap))]);
    // There is room for a single connection, which the next request reuses.
    let agent = start_agent(&cluster, with_late_connections);
    let mut client = connect(&agent);
    for n in 0..30 {
        client.send_query_as(&format!("c{n}"), "payment", 1000);
        let answer = client.read_reply().unwrap();
        if answer != Reply::Value(vec![0x9f, 3]) {
            let before = format!("c{}", n - 1);
            let lateness_of_duplicate = || {
                let seen = cluster.endpoint("s-0").unwrap().received_queries();
                seen.into_iter()
                    .find(|s| s.id == before)
                    .and_then(|s| s.duplicate_delay)
            };
            wait_until(|| lateness_of_duplicate().is_some());
            assert!(
                lateness_of_duplicate() >= Some(ms(20)),
                "request {n}, {gap} ms: {answer:?}, duplicate {:?} late",
                lateness_of_duplicate()
            );
            eprintln!(
                "{gap} ms, run again: duplicate {:?} late",
                lateness_of_duplicate()
            );
            return false;
        }
    }
    true
}

#[test]
fn discards_a_duplicate_response_some_milliseconds_late() {
    for gap in [1, 4, 9] {
        // Runs again if the machine did not let the fake endpoint run in time.
        assert!(
            (0..10).any(|_| discards_late_duplicate_responses(gap)),
            "{gap} ms: the duplicate was never written in time"
        );
    }
}

#[test]
fn returns_no_value_of_a_response_cut_before_it_is_complete() {
    let cluster = cluster_of(&[with_processing_time_ms(0)]);
    let agent = start_agent(&cluster, unchanged);
    let whole = pg::value_reply(&[0x9f, 3]).len();
    let ready = pg::ready().len();
    for cut in 0..whole {
        cluster
            .endpoint("s-0")
            .unwrap()
            .update_behavior(|w| w.response = ResponseBehavior::CloseAfterBytes(cut as u16));
        let mut client = connect(&agent);
        // After many failures the agent may reject the request without running it: then it is sent
        // again.
        let (id, answer) = (0..200)
            .map(|n| {
                let id = format!("c{cut}-{n}");
                client.send_query_as(&id, "payment", 1000);
                (id, client.read_reply().unwrap())
            })
            .find(|(id, answer)| {
                !matches!(answer, Reply::Rejected(..))
                    || cluster.received_queries().contains_key(id)
            })
            .unwrap();
        if cut < whole - ready {
            assert_eq!(answer.code().as_deref(), Some("XX000"), "cut at {cut}");
        } else {
            assert_eq!(answer, Reply::Value(vec![0x9f, 3]), "cut at {cut}");
        }
        assert_eq!(cluster.received_queries()[&id].len(), 1);
    }
}

#[test]
fn answers_with_a_value_or_a_failure_in_time_when_a_response_arrives_byte_by_byte() {
    let cluster = cluster_of(&[
        responding_with(ResponseBehavior::ByteEveryMs(10)),
        responding_with(ResponseBehavior::ByteEveryMs(40)),
    ]);
    let agent = start_agent(&cluster, unchanged);
    for n in 0..8 {
        let mut client = connect(&agent);
        let begun = Instant::now();
        client.send_query_as(&format!("t{n}"), "payment", 1200);
        match client.read_reply().unwrap() {
            Reply::Value(value) => assert_eq!(value, [0x9f, 3]),
            other => assert_eq!(other.code().as_deref(), Some("XX000")),
        }
        assert!(begun.elapsed() < ms(1700));
    }
}

// Slow clients and many clients.

/// Five hundred clients that each hold more than their share of the memory: neither they, nor other
/// clients, nor the shutdown may wait for them forever.
#[test]
fn serves_others_while_many_clients_hold_half_a_message_each() {
    let cluster = cluster_of(&[with_processing_time_ms(0)]);
    let mut agent = start_agent(&cluster, |c| c["limits"]["memory_mb"] = 32.into());
    let mut good = connect(&agent);
    let half = [
        &pg::startup()[..],
        b"Q\x00\x02\x00\x00",
        &vec![b' '; 100_000],
    ]
    .concat();
    let mut half_written: Vec<_> = (0..500)
        .map(|_| {
            let mut stream = TcpStream::connect(agent.address().unwrap()).unwrap();
            stream.set_nonblocking(true).unwrap();
            let _ = stream.write(&half);
            stream
        })
        .collect();
    let begun = Instant::now();
    // Each writes on, a byte at a time: a client that is read again waits for memory that the
    // others hold.
    for _ in 0..5 {
        sleep(ms(50));
        half_written
            .iter_mut()
            .for_each(|stream| drop(stream.write(b" ")));
    }
    for _ in 0..5 {
        good.send_query("view", 15_000);
        assert_eq!(good.read_reply().unwrap().code(), None);
    }
    let mut new = connect(&agent);
    new.send_query("view", 15_000);
    assert_eq!(new.read_reply().unwrap().code(), None);
    assert!(
        begun.elapsed() < ms(8000),
        "served after {:?}",
        begun.elapsed()
    );
    let status = std::fs::read_to_string(format!("/proc/{}/status", agent.id())).unwrap();
    let peak = status.lines().find_map(|l| {
        l.strip_prefix("VmHWM:")?
            .trim()
            .strip_suffix(" kB")?
            .parse::<u64>()
            .ok()
    });
    assert!(peak.unwrap() < 32 * 1024, "{peak:?} kB at most");
    agent.terminate().unwrap();
    let begun = Instant::now();
    assert!(
        agent.wait_for_success().unwrap() && begun.elapsed() < ms(4500),
        "ended after {:?}",
        begun.elapsed()
    );
    drop(half_written);
}

/// Guards against a burst of clients that have not sent a whole message yet, for each of which the
/// agent would close a served client between two of its requests.
#[test]
fn keeps_a_served_client_while_clients_with_incomplete_messages_take_all_places() {
    let half = [&pg::startup()[..], b"Q\x00\x00\x01\x00half"].concat();
    for partial_message in [&half[..], b""] {
        let cluster = cluster_of(&[with_processing_time_ms(0)]);
        let agent = start_agent(&cluster, |c| c["limits"]["sockets"] = 128.into());
        let mut good = connect(&agent);
        // From now on the served client counts as idle, and may be closed.
        sleep(ms(250));
        // All are in the queue before the agent accepts the first: none has been idle for long.
        agent.set_stalled(true).unwrap();
        let waiting_clients: Vec<_> = (0..54)
            .map(|_| connect_and_write(&agent, partial_message))
            .collect();
        agent.set_stalled(false).unwrap();
        sleep(ms(250));
        good.send_query("view", 5000);
        let reply = good.read_reply();
        assert_eq!(
            reply.unwrap().code(),
            None,
            "{} bytes each",
            partial_message.len()
        );
        drop(waiting_clients);
    }
}

#[test]
fn disconnects_a_client_that_never_reads_and_serves_one_that_reads_a_byte_at_a_time() {
    let cluster = cluster_of(&[EndpointBehavior {
        value_bytes: 60_000,
        ..EndpointBehavior::default()
    }]);
    let agent = start_agent(&cluster, unchanged);
    let mut non_reading = connect(&agent);
    for n in 0..400 {
        non_reading.send_query_as(&format!("n{n}"), "view", 60_000);
        sleep(ms(2));
    }
    let mut slow = connect(&agent);
    for byte in pg::query(&view_statement("slow", 2000)) {
        slow.stream.write_all(&[byte]).unwrap();
        sleep(ms(3));
    }
    let mut byte = [0; 1];
    for _ in 0..200 {
        slow.stream.read_exact(&mut byte).unwrap();
        sleep(ms(3));
    }
    let mut other = connect(&agent);
    other.send_query("view", 1000);
    assert_eq!(other.read_reply().unwrap().code(), None);
    // The disconnected client reads at last: its stream ends before the last answer.
    assert!(wait_until(|| agent
        .log()
        .contains("does not read its responses")));
    let disconnected = (0..400).any(|_| non_reading.read_reply().is_err());
    assert!(disconnected);
}

/// Every request of a flood is answered once and in order, also those that are rejected, invalid or
/// too late. Those answered with a value ran once, and no others ran.
#[test]
fn answers_each_of_many_pipelined_requests_once_and_in_order() {
    let cluster = cluster_of(&[with_processing_time_ms(20)]);
    let agent = start_agent(&cluster, unchanged);
    let mut client = connect(&agent);
    let payment_statement = |n: usize, wait: u32| {
        format!("SELECT body FROM objects WHERE oid = 'a1' /* id=f{n},c=payment,d={wait} */")
    };
    let mut all = Vec::new();
    for n in 0..200 {
        all.extend(pg::query(&match n % 5 {
            0 => "nonsense".to_owned(),
            1 => String::new(),
            // Its deadline passes before the requests ahead of it are answered.
            4 => payment_statement(n, 1),
            _ => payment_statement(n, 15_000),
        }));
    }
    client.stream.write_all(&all).unwrap();
    let mut ran = Vec::new();
    for n in 0..200 {
        let messages = client.read_until_ready().unwrap();
        let tags: Vec<u8> = messages.iter().map(|(tag, _)| *tag).collect();
        let code = messages
            .iter()
            .find(|(tag, _)| *tag == b'E')
            .and_then(|(_, body)| pg::error_field(body, b'C'));
        match n % 5 {
            0 => assert_eq!(code.as_deref(), Some("42601"), "{n}"),
            1 => assert_eq!(tags, [b'I'], "{n}"),
            2 | 3 if tags == *b"TDC" => ran.push(format!("f{n}")),
            _ => assert_eq!(code.as_deref(), Some("53300"), "{n}: {tags:?}"),
        }
    }
    assert!(!ran.is_empty());
    let seen = cluster.received_queries();
    assert!(seen.values().all(|s| s.len() == 1));
    ran.sort();
    assert_eq!(seen.into_keys().collect::<Vec<_>>(), ran);
}

// The shutdown of the agent.

/// More connections than the agent has places for, while nobody else is connected: each gets an
/// answer, none a reset.
#[test]
fn answers_connections_that_wait_to_be_accepted_at_termination() {
    let cluster = cluster_of(&[with_processing_time_ms(0)]);
    let mut agent = start_agent(&cluster, |c| c["limits"]["sockets"] = 40.into());
    drop(connect(&agent));
    let mut waiting = Vec::new();
    stall_across_termination(&agent, || {
        for n in 0..30 {
            waiting.push(connect_and_write(
                &agent,
                &[
                    pg::startup(),
                    pg::query(&view_statement(&format!("w{n}"), 1400)),
                ]
                .concat(),
            ));
        }
    });
    for client in &mut waiting {
        let code = first_answer(client).unwrap();
        assert!(
            code.is_none() || code.as_deref() == Some("53300"),
            "{code:?}"
        );
    }
    assert!(agent.wait_for_success().unwrap());
}

#[test]
fn answers_or_leaves_unread_a_request_that_races_with_the_close_of_its_idle_connection() {
    let cluster = cluster_of(&[with_processing_time_ms(0)]);
    let mut agent = start_agent(&cluster, unchanged);
    let mut clients: Vec<_> = (0..40).map(|_| connect(&agent)).collect();
    stall_across_termination(&agent, || {
        for (n, client) in clients.iter_mut().enumerate() {
            client.send_query_as(&format!("i{n}"), "payment", 1400);
        }
    });
    for (n, client) in clients.iter_mut().enumerate() {
        let ran = || {
            cluster
                .received_queries()
                .get(&format!("i{n}"))
                .map_or(0, Vec::len)
        };
        match client.read_reply() {
            Ok(answer) => assert!(answer.code().is_none() && ran() == 1),
            // The connection is reset, as its request was not read: the client may send it
            // again elsewhere.
            Err(e) => assert!(e.kind() == ErrorKind::ConnectionReset && ran() == 0, "{e}"),
        }
    }
    assert!(agent.wait_for_success().unwrap());
}

/// The connection was accepted at the very end, and its first request is still on its way.
#[test]
fn waits_for_the_first_request_of_a_connection_accepted_at_termination() {
    let cluster = cluster_of(&[with_processing_time_ms(0)]);
    let mut agent = start_agent(&cluster, unchanged);
    drop(connect(&agent));
    let mut new_clients = Vec::new();
    stall_across_termination(&agent, || {
        new_clients.extend((0..5).map(|_| connect_and_write(&agent, &pg::startup())))
    });
    assert!(wait_until(|| agent.log().contains("phase: Terminating")));
    sleep(ms(60));
    for (n, client) in new_clients.iter_mut().enumerate() {
        client
            .stream
            .write_all(&pg::query(&view_statement(&format!("r{n}"), 1400)))
            .unwrap();
        assert_eq!(first_answer(client).unwrap(), None);
    }
    assert!(agent.wait_for_success().unwrap());
}

#[test]
fn answers_pipelined_requests_at_termination_and_rejects_those_that_outlast_the_program() {
    let cluster = cluster_of(&[with_processing_time_ms(700)]);
    let mut agent = start_agent(&cluster, unchanged);
    let mut client = connect(&agent);
    client.send_query_as("first", "payment", 1400);
    client.send_query_as("second", "payment", 2500);
    agent.terminate().unwrap();
    assert!(wait_until(|| agent.log().contains("phase: Terminating")));
    client.send_query_as("third", "payment", 60_000);
    let begun = Instant::now();
    let codes = [(); 3].map(|()| client.read_reply().unwrap().code());
    assert_eq!(codes, [None, None, Some("53300".into())]);
    assert!(begun.elapsed() < ms(2500));
    assert_eq!(received_count(&cluster, "s-0"), 2);
    assert!(agent.wait_for_success().unwrap());
}

#[test]
fn exits_cleanly_on_a_second_sigterm_and_on_one_during_the_start() {
    let cluster = cluster_of(&[with_processing_time_ms(0)]);
    delay_replies(&cluster, "s-0", 200);
    let mut agent = start_agent(&cluster, unchanged);
    // The agent is still opening connections in advance.
    assert!(wait_until(|| agent.log().contains("listening on")));
    agent.terminate().unwrap();
    agent.reload(&agent.configuration.to_string()).unwrap();
    agent.terminate().unwrap();
    assert!(wait_until(|| agent.log().contains("phase: Draining")));
    agent.terminate().unwrap();
    let mut client = connect(&agent);
    client.send_query("view", 1400);
    assert_eq!(client.read_reply().unwrap().code(), None);
    let begun = Instant::now();
    assert!(agent.wait_for_success().unwrap() && begun.elapsed() < ms(4500));
}

// The start of the agent.

/// The worst case is one endpoint, many sockets, and handshakes that take nearly as long as is
/// permitted.
#[test]
fn is_ready_within_its_bound_however_slowly_connections_open() {
    let cluster = cluster_of(&[with_processing_time_ms(0)]);
    delay_replies(&cluster, "s-0", 200);
    let begun = Instant::now();
    let agent = start_agent(&cluster, unchanged);
    let mut client = connect(&agent);
    assert!(
        begun.elapsed() < ms(8000),
        "ready after {:?}",
        begun.elapsed()
    );
    client.send_query("view", 1400);
    assert_eq!(client.read_reply().unwrap().code(), None);
    // At most half of the connections permitted to endpoints are opened in advance, here all to one
    // endpoint.
    let opened =
        cluster.transfer_counts(0, 0)[endpoint::CONNECTIONS].read as usize / pg::startup().len();
    assert!((1..=230).contains(&opened), "{opened} connections");
}

/// Where each handshake is paid for, a start opens no connection without a request, and one request
/// opens one connection.
#[test]
fn warms_up_connections_only_where_handshakes_cost_nothing() {
    for (price, ahead) in [(0.0, true), (0.08, false)] {
        let cluster = cluster_of(&[with_processing_time_ms(0), with_processing_time_ms(0)]);
        let agent = start_agent(&cluster, |c| {
            c["settings"]["prices"]["handshake"] = price.into()
        });
        let mut client = connect(&agent);
        assert!(wait_until(|| agent.log().contains("phase: Serving")));
        sleep(ms(200));
        let opened = || {
            let connections = cluster
                .transfer_counts(0, 0)
                .get(endpoint::CONNECTIONS)
                .copied()
                .unwrap_or_default();
            connections.read as usize / pg::startup().len()
        };
        let before = opened();
        assert_eq!(
            before > 0,
            ahead,
            "{before} connections at a price of {price}"
        );
        client.send_query("view", 1400);
        assert_eq!(client.read_reply().unwrap().code(), None);
        assert_eq!(
            opened(),
            before + usize::from(!ahead),
            "at a price of {price}"
        );
    }
}

#[test]
fn is_ready_and_rejects_requests_without_any_list_while_discovery_is_unresponsive() {
    let cluster = cluster_of(&[with_processing_time_ms(0)]);
    cluster
        .discovery
        .set_behavior(DiscoveryBehavior::Unresponsive);
    let begun = Instant::now();
    let agent = start_agent(&cluster, |c| c["known"]["servers"] = serde_json::json!([]));
    let mut client = connect(&agent);
    assert!(
        begun.elapsed() < ms(8000),
        "ready after {:?}",
        begun.elapsed()
    );
    client.send_query("view", 600);
    assert_eq!(client.read_reply().unwrap().code(), Some("53300".into()));
    cluster.discovery.set_behavior(DiscoveryBehavior::Normal);
    assert!(wait_until(|| {
        client.send_query("view", 600);
        client.read_reply().unwrap().code().is_none()
    }));
}

// Messages of the rollout platform.

/// Covers settings under which the platform aggregates the counts of all agents. Guards against an
/// agent that cannot parse these counts: it closed its connection at each of them, and lost what the
/// platform announced while no connection was open.
#[test]
fn rolls_back_a_build_that_the_platforms_counts_show_as_failing() {
    let cluster = cluster_of(&[with_processing_time_ms(0), with_processing_time_ms(0)]);
    cluster
        .add_endpoint(0, "t-0", 42, with_processing_time_ms(0))
        .unwrap();
    cluster
        .platform
        .set_rollout_status(platform::RolloutStatus::now(42, 0, "trial", 0.2));
    let agent = start_agent(&cluster, |c| {
        let domain = &mut c["settings"]["domain"];
        domain["tally-every-ms"] = 500.into();
        domain["counted-share"] = 0.5.into();
    });
    connect(&agent);
    let voted_to_roll_back = wait_until(|| {
        cluster.platform.report_counts(41, "view", 20, 0, ms(20));
        cluster.platform.report_counts(42, "view", 20, 12, ms(20));
        sleep(ms(50));
        cluster
            .platform
            .votes()
            .iter()
            .any(|(_, vote)| vote["opinion"] == "abort" && vote["image"] == 42)
    });
    assert!(voted_to_roll_back);
    assert!(
        !agent.log().contains("its connection is closed"),
        "{}",
        agent.log()
    );
}
