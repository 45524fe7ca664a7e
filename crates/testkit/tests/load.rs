//! Which requests the load generator counts as unanswered.

use std::time::Duration;
use tulipwall_testkit::{Endpoint, EndpointBehavior, Load, LoadReport};

const CLIENT_TIMEOUT: Duration = Duration::from_millis(800);

/// Runs a few concurrent requests over one connection, each answered after `work`.
fn load_on_one_connection(work: Duration) -> LoadReport {
    let behavior = EndpointBehavior {
        work,
        fixed_work_share: 1.0,
        ..EndpointBehavior::default()
    };
    let endpoint = Endpoint::start(1, behavior, 1).unwrap();
    let load = Load {
        agent: endpoint.address(0),
        rate: 100.0,
        duration: Duration::from_millis(40),
        classes: vec![("view".to_owned(), 1.0, CLIENT_TIMEOUT, false)],
        connections: 1,
        seed: 7,
    };
    load.run()
}

#[test]
fn measures_the_answer_timeout_from_when_the_request_was_written() {
    let report = load_on_one_connection(Duration::from_millis(600));
    assert!(
        report.requests >= 3,
        "the last request waits over 1.2 s for the connection"
    );
    assert_eq!(report.unanswered, 0, "{:?}", report.unanswered_ids);
    assert_eq!(report.succeeded, report.requests);
}

#[test]
fn counts_a_request_as_unanswered_half_a_second_after_its_deadline() {
    let report = load_on_one_connection(Duration::from_millis(1600));
    assert!(report.requests > 0);
    assert_eq!(report.unanswered, report.requests);
}
