//! Tests of the client library against fake agents, including faulty and malicious ones.

use futures_lite::future::block_on;
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};
use tulipwall_client::{
    blocking, Call, CallError, Client, ClientConfig, Idempotency, RequestClass,
};
use tulipwall_testkit::{Endpoint, EndpointBehavior, ResponseBehavior, ScriptedServer};

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
