//! The protocol parsers on bytes that are split at every position, and on corrupted bytes.

use quickcheck::quickcheck;
use std::time::Duration;
use tulipwall::{RolloutPhase, Vote, VoteReply};
use tulipwall_agent::lifecycle::start::StartupConfig;
use tulipwall_agent::protocol::buffer::Buffer;
use tulipwall_agent::protocol::platform::{self, PlatformMessage, RolloutReport};
use tulipwall_agent::protocol::postgres::{self, ClientOpening, MessageReader};
use tulipwall_agent::protocol::postgres::{QueryOutcome, ResponseReader};
use tulipwall_agent::protocol::{http, statement::Statement, ProtocolError};
use tulipwall_discovery::list_response::ListResponse;

const READ: &str = "SELECT body FROM objects WHERE oid = 'a1' /* id=9b1f,c=view,t=acme,d=480 */";
const WRITE: &str = "INSERT INTO objects (oid, body) VALUES ('a1', '\\x9f''03') RETURNING body \
                     /* id=9b1f,c=send,d=480,k=5c0f */";

fn whole_messages(pieces: impl Iterator<Item = Vec<u8>>) -> Vec<(u8, Vec<u8>)> {
    let mut received = Buffer::default();
    let mut messages = Vec::new();
    for piece in pieces {
        let mut rest = &piece[..];
        while !rest.is_empty() {
            received
                .fill(|space| std::io::Read::read(&mut rest, space))
                .unwrap();
        }
        while let Some(message) = postgres::parse_message(received.unread()).unwrap() {
            messages.push((message.tag, message.body.to_vec()));
            let length = message.length;
            received.consume(length);
        }
    }
    assert!(received.is_empty());
    messages
}

fn response() -> Vec<u8> {
    let mut bytes =
        b"T\0\0\0\x1d\0\x01body\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01".to_vec();
    bytes.extend(b"D\0\0\0\x0c\0\x01\0\0\0\x02\x9f\x03");
    postgres::write_command_complete(&mut bytes, "SELECT 1");
    postgres::write_ready(&mut bytes);
    bytes
}

/// Reads a response that arrives in these pieces. Returns its outcome and its value, `None` while
/// it is incomplete.
fn read_response(pieces: &[&[u8]]) -> Result<Option<(QueryOutcome, Vec<u8>)>, ProtocolError> {
    let mut received = Vec::new();
    let mut reader = ResponseReader::default();
    for piece in pieces {
        received.extend_from_slice(piece);
        while let Some(message) = postgres::parse_endpoint_message(&received)? {
            if reader.on_message(message.tag, message.body, &received[..message.length])? {
                return Ok(reader.outcome.map(|v| (v, reader.value.to_vec())));
            }
            let length = message.length;
            received.drain(..length);
        }
    }
    Ok(None)
}

quickcheck! {
    fn reads_no_value_from_a_damaged_response_however_it_is_split(cut: usize, at: usize, increment: u8) -> bool {
        let whole = response();
        let (cut, at, increment) = (cut % whole.len(), at % whole.len(), increment.max(1));
        let value = whole[..whole.len() - 6].to_vec();
        assert_eq!(read_response(&[&whole[..cut], &whole[cut..]]), Ok(Some((QueryOutcome::Value, value.clone()))));
        assert_eq!(read_response(&[&whole[..cut]]), Ok(None), "an incomplete response has no outcome");
        // A change of the value, of the column's description or of the command tag is undetectable.
        let undetectable = [7..30, 41..43, 48..57].iter().any(|r| r.contains(&at));
        let mut damaged = whole.clone();
        damaged[at] = damaged[at].wrapping_add(increment);
        undetectable || !matches!(read_response(&[&damaged[..cut], &damaged[cut..]]), Ok(Some((QueryOutcome::Value, _))))
    }

    fn reads_the_same_messages_however_they_are_split(cuts: Vec<usize>) -> bool {
        let mut bytes = postgres::query(READ);
        bytes.extend(response());
        bytes.extend(postgres::query(WRITE));
        let mut cuts: Vec<usize> = cuts.iter().map(|c| c % bytes.len()).chain([0, bytes.len()]).collect();
        cuts.sort_unstable();
        whole_messages(cuts.windows(2).map(|w| bytes[w[0]..w[1]].to_vec()))
            == whole_messages([bytes.clone()].into_iter())
    }

    fn never_panics_on_any_bytes(noise: Vec<u8>, overwrites: Vec<(usize, u8)>) -> bool {
        let valid = [
            response(), postgres::query(WRITE), postgres::startup("worker", "catalog"), READ.into(), WRITE.into(),
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n".to_vec(),
            platform::vote_request(7, &Vote { build: 3, stage: 1, verdict: tulipwall::Verdict::Hold }).into_bytes(), noise,
        ];
        for mut bytes in valid {
            for (at, to) in &overwrites {
                let at = at % bytes.len().max(1);
                bytes.get_mut(at).into_iter().for_each(|b| *b = *to);
            }
            let _ = (postgres::parse_opening(&bytes), http::parse_response(&bytes, true), http::parse_response(&bytes, false));
            let _ = (platform::parse_message(&bytes), platform::split_line(&bytes), ListResponse::parse(&bytes), StartupConfig::parse(&bytes).is_ok());
            let _ = std::str::from_utf8(&bytes).map(Statement::parse);
            let _ = (read_response(&[&bytes]), postgres::parse_message(&bytes).map(|m| m.map(|m| postgres::parse_query_text(m.body).is_ok())));
        }
        true
    }
}

#[test]
fn forwards_a_statement_unchanged_except_for_its_timeout() {
    for (text, class, tenant) in [(READ, "view", Some("acme")), (WRITE, "send", None)] {
        let s = Statement::parse(text).unwrap();
        assert_eq!((s.class(), s.tenant(), s.object()), (class, tenant, "a1"));
        assert_eq!(s.client_timeout, Duration::from_millis(480));
        assert_eq!(
            s.with_client_timeout(Duration::from_millis(95)).to_string(),
            text.replace("d=480", "d=95")
        );
    }
}

#[test]
fn reports_what_is_invalid_in_a_statement() {
    for (from, to, fault) in [
        ("d=480", "d=soon", "field d"),
        ("d=480", "d=inf", "field d"),
        (",d=480", "", "field d is missing"),
        ("id=9b1f,", "", "field id is missing"),
        ("c=view,", "", "field c is missing"),
        ("c=view", "view", "'view' in its comment"),
        ("objects", "users", "neither"),
        ("*/", "", "does not close"),
    ] {
        let error = Statement::parse(&READ.replace(from, to)).unwrap_err();
        assert!(error.to_string().contains(fault), "{error}");
    }
}

#[test]
fn rejects_messages_of_an_endpoint_that_are_out_of_order() {
    let mut reader = ResponseReader::default();
    assert!(reader.on_message(b'D', b"\0\x01\0\0\0\0", b"").is_err());
    assert!(ResponseReader::default()
        .on_message(b'T', b"\0\x02", b"")
        .is_err());
    assert!(ResponseReader::default()
        .on_message(b'C', b"SELECT 0\0", b"")
        .is_err());
    // An unreadable error proves nothing, not even that the request never ran. A message whose
    // announced length is too large is refused before the rest of it arrives.
    assert!(ResponseReader::default()
        .on_message(b'E', b"SERROR\0C53300", b"")
        .is_err());
    assert!(
        postgres::parse_endpoint_message(b"D\xb2\xd0\x5e\x0a").is_err()
            && postgres::parse_endpoint_message(b"x").is_err()
    );
    assert_eq!(
        postgres::parse_opening(&[0, 0, 0, 8, 4, 0xd2, 0x16, 0x2f]),
        Ok(Some((ClientOpening::Encryption, 8)))
    );
    assert!(postgres::parse_message(b"Q\x7f\xff\xff\xff").is_err());
    assert!(postgres::parse_opening(b"\0\0\0\x02").is_err());
}

/// Guards against a response that ends without an outcome: its connection would serve another
/// request while the endpoint still owes this one its response.
#[test]
fn ends_a_response_only_after_its_outcome() {
    let whole = response();
    let ready = &whole[whole.len() - 6..];
    let messages = [&whole[..30], &whole[30..43], &whole[43..57]];
    for received in 0..messages.len() {
        let early = [&messages[..received].concat(), ready].concat();
        assert!(read_response(&[&early]).is_err(), "{received} messages");
    }
    for startup_message in [
        &b"R\0\0\0\x08\0\0\0\0"[..],
        b"K\0\0\0\x0c\0\0\0\x01\0\0\0\x02",
    ] {
        assert!(read_response(&[startup_message]).is_err());
    }
    assert!(matches!(read_response(&[&whole]), Ok(Some(_))));
}

/// Guards against a second run of a request that is not idempotent: an endpoint that has begun to
/// send the value has run it, whatever it sends then.
#[test]
fn takes_no_rejection_behind_the_beginning_of_a_value_as_proof_that_nothing_ran() {
    let whole = response();
    let mut rejection = Vec::new();
    postgres::write_rejected(&mut rejection, None);
    postgres::write_ready(&mut rejection);
    for begun in [30, 43] {
        let bytes = [&whole[..begun], &rejection].concat();
        let failed = Ok(Some((QueryOutcome::Failed, Vec::new())));
        assert_eq!(read_response(&[&bytes]), failed, "{begun} bytes");
    }
    let rejected = Ok(Some((QueryOutcome::Rejected, Vec::new())));
    assert_eq!(read_response(&[&rejection]), rejected);
}

#[test]
fn parses_an_http_response_only_when_it_is_complete() {
    for whole in [
        &b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"[..],
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\n{\r\n1\r\n}\r\n0\r\n\r\n",
    ] {
        for cut in 0..whole.len() {
            assert_eq!(http::parse_response(&whole[..cut], false), Ok(None));
        }
        let response = http::parse_response(whole, false).unwrap().unwrap();
        assert_eq!(
            (response.status, &response.body[..], response.length),
            (200, &b"{}"[..], whole.len())
        );
    }
}

#[test]
fn parses_each_message_of_the_platform() {
    let report = RolloutReport {
        build: 42,
        stage: 1,
        phase: RolloutPhase::Canary,
        cap: 0.28,
        age: Duration::from_millis(310),
    };
    let state = r#"{"image":42,"ring":1,"progress":"trial","ceiling":0.28,"lag_ms":310}"#;
    let parse_line = |text: String| platform::parse_message(text.as_bytes());
    assert_eq!(
        parse_line(format!(r#"{{"method":"ROLLOUT","params":{state}}}"#)),
        Ok(PlatformMessage::RolloutStatus(report))
    );
    for (message, reply) in [
        ("Throttling", VoteReply::Refused),
        ("ConditionFailed", VoteReply::Moot),
        ("InternalFailure", VoteReply::Refused),
        ("ValidationError", VoteReply::Refused),
    ] {
        let response = parse_line(format!(
            r#"{{"id":7,"error":{{"code":-32602,"message":"{message}"}}}}"#
        ));
        assert_eq!(
            response,
            Ok(PlatformMessage::Response {
                id: 7,
                reply,
                rollout: None
            })
        );
    }
    assert_eq!(
        parse_line(r#"{"method":"ping"}"#.into()),
        Ok(PlatformMessage::Heartbeat)
    );
    let sample = r#"{"bad":1,"image":42,"lag_ms":828,"latency_ms":564.324,"n":3,"type":"view"}"#;
    let (latency, age) = (Duration::from_micros(564_324), Duration::from_millis(828));
    let expected_counts = PlatformMessage::AggregatedCounts {
        build: 42,
        class: "view".into(),
        attempts: 3,
        failed: 1,
        mean_latency: latency,
        age,
    };
    assert_eq!(
        parse_line(format!(r#"{{"method":"SAMPLE","params":{sample}}}"#)),
        Ok(expected_counts)
    );
    for damaged in [
        r#"{"id":7}"#,
        r#"{"method":"pong"}"#,
        r#"{"id":7,"error":{"message":"Thr#ttling"}}"#,
    ] {
        assert!(parse_line(damaged.into()).is_err());
    }
    assert!(parse_line(format!(
        r#"{{"method":"ROLLOUT","params":{}}}"#,
        state.replace("ceiling", "c#iling")
    ))
    .is_err());
}
