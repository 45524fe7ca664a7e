//! What an agent answers, read as it comes in.

use quickcheck::{Gen, QuickCheck};
use std::time::Duration;
use tulipwall_client_policy::response::*;

fn put(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![tag];
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
    out
}

fn value(bytes: &[u8]) -> Vec<u8> {
    let column = [&[0, 1][..], b"body\0", &[0; 18]].concat();
    let row = [&[0, 1][..], &(bytes.len() as u32).to_be_bytes(), bytes].concat();
    [
        put(b'T', &column),
        put(b'D', &row),
        put(b'C', b"SELECT 1\0"),
        put(b'Z', b"I"),
    ]
    .concat()
}

fn failed(fields: &[u8]) -> Vec<u8> {
    [put(b'E', &[fields, &[0, 0]].concat()), put(b'Z', b"I")].concat()
}

#[test]
fn answers_are_read_whole_or_byte_by_byte() {
    let bytes = [put(b'N', b"SNOTICE\0\0"), value(&[7; 300])].concat();
    let whole = ResponseParser::new(1000).feed(&bytes).unwrap();
    assert_eq!(whole, (bytes.len(), Some(Response::Value(vec![7; 300]))));
    let (mut reading, mut from, mut said) = (ResponseParser::new(1000), 0, None);
    for to in 0..=bytes.len() {
        let (took, s) = reading.feed(&bytes[from..to]).unwrap();
        (from, said) = (from + took, s);
    }
    assert_eq!(said, Some(Response::Value(vec![7; 300])));
    let said = |fields: &[u8]| {
        ResponseParser::new(9)
            .feed(&failed(fields))
            .unwrap()
            .1
            .unwrap()
    };
    assert_eq!(
        said(b"SERROR\0C53300\0D250"),
        Response::Rejected {
            retry_after: Some(Duration::from_millis(250))
        }
    );
    assert_eq!(
        said(b"C53300\0Dsoon"),
        Response::Rejected { retry_after: None }
    );
    assert_eq!(said(b"C57P03\0Mleaving"), Response::Draining);
    assert_eq!(
        said(b"CXX000\0Mno"),
        Response::Error {
            code: "XX000".into(),
            message: "no".into()
        }
    );
}

#[test]
fn what_does_not_fit_is_a_fault_and_never_a_value() {
    let good = value(&[1, 2, 3]);
    let mut wrong: Vec<Vec<u8>> = vec![
        value(&[0; 2000]),                        // longer than a value may be
        [&good[..31], &good[31 + 10..]].concat(), // no row at all
        [put(b'D', &[0, 1, 0, 0, 0, 1, 9]), good.clone()].concat(), // a row before its description
        [good[..good.len() - 6].to_vec(), good.clone()].concat(), // two answers in one
        b"Z\0\0\0\x05I".to_vec(),                 // ready without an answer
        b"D\xff\xff\xff\xff".to_vec(),
        b"D\0\0\0\0".to_vec(),
        b"HTTP/1.1 200 OK\r\n\r\n".to_vec(),
        put(b'R', &[0, 0, 0, 5]),
        failed(b"C533"),
    ];
    wrong.push((0..100).flat_map(|_| put(b'N', b"x\0\0")).collect());
    wrong.push((0..10).flat_map(|_| put(b'S', &[b'x'; 9000])).collect());
    for bytes in wrong {
        let heard = ResponseParser::new(1000).feed(&bytes);
        assert!(
            heard.is_err() || heard == Ok((0, None)) && bytes.len() < 5,
            "{bytes:?}: {heard:?}"
        );
    }
}

#[test]
fn no_bytes_make_it_panic_and_a_flipped_answer_is_the_value_or_none() {
    fn any(bytes: Vec<u8>, flips: Vec<(u16, u8)>) {
        let _ = ResponseParser::new(100).feed(&bytes);
        let good = value(&bytes);
        let mut flipped = good.clone();
        let length = flipped.len();
        flips
            .iter()
            .for_each(|(at, with)| flipped[*at as usize % length] ^= with);
        if let Ok((_, Some(Response::Value(v)))) = ResponseParser::new(100_000).feed(&flipped) {
            assert!(v.len() == bytes.len(), "its own length is held to");
        }
    }
    let mut check = QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 5))
        .tests(5000);
    check.quickcheck(any as fn(Vec<u8>, Vec<(u16, u8)>));
}
