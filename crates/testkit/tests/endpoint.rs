//! What a fake endpoint writes and counts when the caller closes the connection early.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;
use tulipwall_testkit::{endpoint, pg, Endpoint, EndpointBehavior, Link};

const QUERY: &str = "SELECT body FROM objects WHERE oid = 'a1' /* id=q1,c=view,d=500 */";

/// Guards against an answer that is written after the caller has closed its end. The lock enforces
/// the order: the endpoint cannot draw its response before the caller has closed.
#[test]
fn writes_and_counts_no_answer_for_a_caller_that_has_already_closed() {
    let behavior = EndpointBehavior {
        work: Duration::ZERO,
        ..EndpointBehavior::default()
    };
    let endpoint = Endpoint::start(1, behavior, 1).unwrap();
    let mut caller = TcpStream::connect(endpoint.address(0)).unwrap();
    caller.write_all(&pg::startup()).unwrap();
    caller
        .read_exact(&mut vec![0; pg::startup_reply().len()])
        .unwrap();
    // The endpoint's state is locked while the closure runs.
    endpoint.update_behavior(|_| {
        caller.write_all(&pg::query(QUERY)).unwrap();
        caller.shutdown(Shutdown::Write).unwrap();
    });
    let mut unread = Vec::new();
    caller.read_to_end(&mut unread).unwrap();
    assert!(unread.is_empty(), "{unread:?}");
    let counts = endpoint.transfer_counts();
    assert_eq!(counts[&(0, "view".to_owned())].attempts, 1);
    assert_eq!(counts[&(0, "view".to_owned())].written, 0);
    assert!(counts[&(0, endpoint::CONNECTIONS.to_owned())].written > 0);
}

#[test]
fn writes_and_counts_no_startup_reply_for_a_caller_that_has_already_closed() {
    let endpoint = Endpoint::start(1, EndpointBehavior::default(), 1).unwrap();
    let link = Link {
        reply_delay: Duration::from_millis(50),
        ..Link::default()
    };
    endpoint.set_link(0, link);
    let mut caller = TcpStream::connect(endpoint.address(0)).unwrap();
    caller.write_all(&pg::startup()).unwrap();
    caller.shutdown(Shutdown::Write).unwrap();
    let mut unread = Vec::new();
    caller.read_to_end(&mut unread).unwrap();
    assert!(unread.is_empty(), "{unread:?}");
    let counts = endpoint.transfer_counts()[&(0, endpoint::CONNECTIONS.to_owned())];
    assert_eq!(counts.read, pg::startup().len() as u64);
    assert_eq!(counts.written, 0);
}
