//! Tests of the client library against fake agents, including faulty and malicious ones.

use futures_lite::future::block_on;
use std::io;
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};
use tulipwall_client::{
    blocking, Call, CallError, Client, ClientConfig, Idempotency, RequestClass,
};
use tulipwall_testkit::{
    pg, Endpoint, EndpointBehavior, ResponseBehavior, ScriptedConnection, ScriptedEndpoint,
    ScriptedServer,
};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Starts a fake agent: a single endpoint, which speaks the same protocol.
fn agent(behavior: EndpointBehavior) -> Endpoint {
    Endpoint::start(1, behavior, 1).unwrap()
}

fn request_class(name: &str, idempotency: Idempotency) -> RequestClass {
    RequestClass {
        name: name.into(),
        idempotency,
        latency_objective: ms(400),
        priority_weight: 1.0,
    }
}

#[test]
fn never_takes_a_malformed_response_for_a_value_and_recovers() {
    let view = request_class("view", Idempotency::Idempotent);
    let hostile = [
        "\u{1}\u{2}\u{3}\u{4}\u{5}\u{6}\u{7}",
        "HTTP/1.1 200 OK\r\n\r\n",
        "D\0\0\0\u{4}",
        "N\0\0\0\u{5}x",
    ];
    for text in hostile {
        let server = ScriptedServer::start(&text.repeat(500)).unwrap();
        let client = Client::new(ClientConfig::new(vec![server.address], vec![view.clone()]));
        let started = Instant::now();
        let result = block_on(client.call(Call::read("view", "a1", ms(700))));
        assert!(
            result.is_err() && started.elapsed() < ms(1000),
            "{text:?}: {result:?}"
        );
    }
    for response in [
        ResponseBehavior::Garbage,
        ResponseBehavior::StallMidAnswer,
        ResponseBehavior::AnswerTwice,
        ResponseBehavior::CloseMidAnswer,
        ResponseBehavior::Close,
    ] {
        let endpoint = agent(EndpointBehavior {
            random_responses: vec![(response, 0.5)],
            ..EndpointBehavior::default()
        });
        let client = blocking::Client::new(ClientConfig::new(
            vec![endpoint.address(0)],
            vec![view.clone()],
        ));
        let results: Vec<_> = (0..12)
            .map(|n| client.call(Call::read("view", &format!("o{n}"), ms(300))))
            .collect();
        for answer in results.iter().flatten() {
            assert_eq!(answer.value, [0x9f, 3], "{response:?}");
        }
        assert!(
            results.iter().any(Result::is_ok),
            "{response:?}: {results:?}"
        );
    }
}

#[test]
fn ends_every_call_by_its_deadline_whatever_it_waits_for() {
    let view = request_class("view", Idempotency::Idempotent);
    let closed_port = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let silent_at_startup = agent(EndpointBehavior {
        unresponsive: true,
        ..EndpointBehavior::default()
    });
    let never_answering = agent(EndpointBehavior {
        response: ResponseBehavior::NeverAnswer,
        ..EndpointBehavior::default()
    });
    for address in [
        closed_port,
        silent_at_startup.address(0),
        never_answering.address(0),
    ] {
        let mut config = ClientConfig::new(vec![address], vec![view.clone()]);
        config.connections.max_connections = 2;
        config.concurrency.max_queued = 2;
        config.concurrency.queue_timeout = ms(150);
        let client = Client::new(config);
        let threads: Vec<_> = (0..12)
            .map(|_| {
                let client = client.clone();
                thread::spawn(move || {
                    let started = Instant::now();
                    let result = block_on(client.call(Call::read("view", "a1", ms(400))));
                    (started.elapsed(), result)
                })
            })
            .collect();
        let results: Vec<_> = threads.into_iter().map(|t| t.join().unwrap()).collect();
        assert!(
            results
                .iter()
                .all(|(took, e)| *took < ms(600) && e.is_err()),
            "{address}: {results:?}"
        );
        let shed_count = results
            .iter()
            .filter(|(took, e)| *took < ms(300) && *e == Err(CallError::Overloaded))
            .count();
        assert!(
            address != never_answering.address(0) || shed_count >= 8,
            "expected calls to be shed rather than queued: {results:?}"
        );
        assert_eq!(client.stats().in_flight, 0);
    }
}

#[test]
fn moves_from_a_draining_agent_without_a_failed_call() {
    let payment = request_class("payment", Idempotency::NonIdempotent);
    let (healthy, draining) = (
        agent(EndpointBehavior::default()),
        agent(EndpointBehavior::default()),
    );
    let client = Client::new(ClientConfig::new(
        vec![healthy.address(0), draining.address(0)],
        vec![payment],
    ));
    let make_payment =
        |n: u32| block_on(client.call(Call::read("payment", &format!("p{n}"), ms(900))));
    assert!((0..20).all(|n| make_payment(n).is_ok()));
    draining.update_behavior(|b| b.response = ResponseBehavior::RejectAndClose);
    let before = draining.received_count();
    assert!((20..80).all(|n| make_payment(n).is_ok()));
    assert_eq!(
        draining.received_count(),
        before + 1,
        "expected a single request to the draining agent"
    );
    // An agent that closes its connections between requests is treated as draining, too.
    draining.crash();
    thread::sleep(ms(2100));
    assert!((80..120).all(|n| make_payment(n).is_ok()));
    let counters = client.stats().counters;
    assert_eq!(
        (
            counters.succeeded,
            counters.calls,
            counters.attempt_failures["leaving"]
        ),
        (120, 120, 1)
    );
}

/// Longer than the pause after which an agent is tried again that could not be reached.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// The client reads at most this many bytes at once.
const READ_BYTES: usize = 4096;

/// Starts a fake agent that runs `script` on its first connection and answers as expected on all
/// others. Calls for two objects one after the other, without retries, and returns the results.
fn two_calls(
    script: impl Fn(&mut ScriptedConnection) -> io::Result<()> + Send + Sync + 'static,
) -> [Result<Vec<u8>, CallError>; 2] {
    let agent = ScriptedEndpoint::start(move |mut connection| {
        if connection.index == 0 {
            return script(&mut connection);
        }
        connection.complete_startup()?;
        connection.answer_with_objects()
    });
    let payment = request_class("payment", Idempotency::NonIdempotent);
    let config = ClientConfig::new(vec![agent.unwrap().address], vec![payment]);
    let client = blocking::Client::new(config);
    ["first", "second"].map(|object| {
        let result = client.call(Call::read("payment", object, CALL_TIMEOUT));
        thread::sleep(ms(100));
        result.map(|response| response.value)
    })
}

/// Guards against a call that gets the value of another one: an agent that is ready, but has sent
/// neither a value nor an error, still owes the response.
#[test]
fn closes_a_connection_that_is_ready_before_it_has_sent_a_response() {
    for (early, body) in [(b'I', &[][..]), (b'R', &[0; 4])] {
        let [first, second] = two_calls(move |connection| {
            connection.complete_startup()?;
            let first = connection.read_query()?;
            connection.send(&[pg::message(early, body), pg::ready()].concat())?;
            connection.read_query()?;
            connection.send(&pg::value_reply(first.object.as_bytes()))?;
            connection.answer_with_objects()
        });
        assert!(matches!(first, Err(CallError::Failed { .. })), "{first:?}");
        assert_eq!(second.unwrap(), b"second");
    }
}

/// Returns the reply to a startup message, with a notice that makes it fill one read.
fn startup_reply_of_one_read() -> Vec<u8> {
    let reply = pg::startup_reply();
    let (before, ready) = reply.split_at(reply.len() - pg::ready().len());
    let padding = vec![b'x'; READ_BYTES - reply.len() - pg::HEADER_BYTES];
    [before, &pg::message(b'N', &padding), ready].concat()
}

/// Guards against messages behind the startup that are taken for the response to the first call,
/// whether they were read with the startup or not.
#[test]
fn makes_no_call_on_a_connection_with_messages_behind_its_startup() {
    let value = pg::value_reply(b"unsolicited");
    let read_with_startup = [&pg::startup_reply(), &value[..9]].concat();
    let left_unread = [&startup_reply_of_one_read()[..], &value].concat();
    for (startup, rest) in [
        (read_with_startup, value[9..].to_vec()),
        (left_unread, Vec::new()),
    ] {
        let results = two_calls(move |connection| {
            connection.read_startup()?;
            connection.send(&startup)?;
            let first = connection.read_query()?;
            connection.send(&rest)?;
            connection.send(&pg::value_reply(first.object.as_bytes()))?;
            connection.answer_with_objects()
        });
        assert_eq!(
            results.map(Result::unwrap),
            [b"first".to_vec(), b"second".to_vec()]
        );
    }
}
