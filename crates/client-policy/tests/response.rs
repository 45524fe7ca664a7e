//! Tests of the incremental response parser.

use quickcheck::{Gen, QuickCheck};
use std::time::Duration;
use tulipwall_client_policy::response::*;

fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![tag];
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
    out
}

fn value_response(bytes: &[u8]) -> Vec<u8> {
    let column = [&[0, 1][..], b"body\0", &[0; 18]].concat();
    let row = [&[0, 1][..], &(bytes.len() as u32).to_be_bytes(), bytes].concat();
    [
        message(b'T', &column),
        message(b'D', &row),
        message(b'C', b"SELECT 1\0"),
        message(b'Z', b"I"),
    ]
    .concat()
}

fn error_response(fields: &[u8]) -> Vec<u8> {
    [
        message(b'E', &[fields, &[0, 0]].concat()),
        message(b'Z', b"I"),
    ]
    .concat()
}

#[test]
fn parses_a_response_whole_or_byte_by_byte() {
    let bytes = [message(b'N', b"SNOTICE\0\0"), value_response(&[7; 300])].concat();
    let whole = ResponseParser::new(1000).feed(&bytes).unwrap();
    assert_eq!(whole, (bytes.len(), Some(Response::Value(vec![7; 300]))));
    let (mut parser, mut from, mut response) = (ResponseParser::new(1000), 0, None);
    for to in 0..=bytes.len() {
        let (consumed, parsed_response) = parser.feed(&bytes[from..to]).unwrap();
        (from, response) = (from + consumed, parsed_response);
    }
    assert_eq!(response, Some(Response::Value(vec![7; 300])));
    let response = |fields: &[u8]| {
        ResponseParser::new(9)
            .feed(&error_response(fields))
            .unwrap()
            .1
            .unwrap()
    };
    assert_eq!(
        response(b"SERROR\0C53300\0D250"),
        Response::Rejected {
            retry_after: Some(Duration::from_millis(250))
        }
    );
    assert_eq!(
        response(b"C53300\0Dsoon"),
        Response::Rejected { retry_after: None }
    );
    assert_eq!(response(b"C57P03\0Mleaving"), Response::Draining);
    assert_eq!(
        response(b"CXX000\0Mno"),
        Response::Error {
            code: "XX000".into(),
            message: "no".into()
        }
    );
}

#[test]
fn rejects_malformed_responses_and_never_takes_one_for_a_value() {
    let intact = value_response(&[1, 2, 3]);
    let mut malformed: Vec<Vec<u8>> = vec![
        value_response(&[0; 2000]),                   // value too long
        [&intact[..31], &intact[31 + 10..]].concat(), // no data row
        [message(b'D', &[0, 1, 0, 0, 0, 1, 9]), intact.clone()].concat(), // row before its description
        [intact[..intact.len() - 6].to_vec(), intact.clone()].concat(),   // two results
        b"Z\0\0\0\x05I".to_vec(),                                         // ready without a result
        b"D\xff\xff\xff\xff".to_vec(),
        b"D\0\0\0\0".to_vec(),
        b"HTTP/1.1 200 OK\r\n\r\n".to_vec(),
        message(b'R', &[0, 0, 0, 5]),
        error_response(b"C533"),
    ];
    malformed.push((0..100).flat_map(|_| message(b'N', b"x\0\0")).collect());
    malformed.push((0..10).flat_map(|_| message(b'S', &[b'x'; 9000])).collect());
    for bytes in malformed {
        let parsed = ResponseParser::new(1000).feed(&bytes);
        assert!(
            parsed.is_err() || parsed == Ok((0, None)) && bytes.len() < 5,
            "{bytes:?}: {parsed:?}"
        );
    }
}

/// Guards against a second run of a call that is not idempotent: an agent that has begun to send
/// the value has run it, whatever it sends then.
#[test]
fn takes_no_rejection_behind_the_beginning_of_a_value_as_proof_that_nothing_ran() {
    let value = value_response(b"x");
    let row_description = &value[..30];
    for code in [&b"C53300"[..], b"C57P03"] {
        let bytes = [row_description, &error_response(code)].concat();
        let parsed = ResponseParser::new(9).feed(&bytes);
        assert!(parsed.is_err(), "{parsed:?}");
    }
}

#[test]
fn parses_any_bytes_without_panic_and_flipped_bytes_without_a_wrong_length() {
    fn parse_flipped(bytes: Vec<u8>, flips: Vec<(u16, u8)>) {
        let _ = ResponseParser::new(100).feed(&bytes);
        let intact = value_response(&bytes);
        let mut flipped = intact.clone();
        let length = flipped.len();
        flips
            .iter()
            .for_each(|(at, with)| flipped[*at as usize % length] ^= with);
        if let Ok((_, Some(Response::Value(v)))) = ResponseParser::new(100_000).feed(&flipped) {
            assert!(
                v.len() == bytes.len(),
                "expected the length of the original value"
            );
        }
    }
    let mut check = QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 5))
        .tests(5000);
    check.quickcheck(parse_flipped as fn(Vec<u8>, Vec<(u16, u8)>));
}
