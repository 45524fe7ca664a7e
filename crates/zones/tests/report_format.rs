//! Pins the JSON of the report byte by byte, with serialized lines of each kind.

use std::time::Duration;
use tulipwall::{Outcome, ZoneCounts};
use tulipwall_zones::*;

const START: Duration = Duration::from_secs(7200);

fn config() -> ZoneConfig {
    let class = ClassProfile {
        priority_weight: 3.0,
        latency_objective: Duration::from_millis(400),
    };
    let budget = Budget {
        name: "hourly".into(),
        to: Some(1),
        class: Some(0),
        limit: Limit::Attempts(2.0),
        window: Duration::from_secs(60),
        agent_fraction: 0.25,
    };
    ZoneConfig {
        local_zone: 0,
        zone_count: 2,
        classes: vec![class],
        links: vec![Link::default(); 3],
        budgets: vec![budget],
        routing: RoutingPolicy::LocalFirst,
    }
}

/// An account with a local attempt that succeeded, a remote attempt whose response was truncated,
/// and a hedged remote attempt that succeeded. Both remote attempts are over their budget.
fn account() -> Zones {
    let mut zones = Zones::new(START, config());
    let attempts = [
        (0, Outcome::Succeeded, ResponseFault::None),
        (1, Outcome::ConnectionLost, ResponseFault::Truncated),
        (1, Outcome::Succeeded, ResponseFault::None),
    ];
    for (nth, (to, outcome, response_fault)) in attempts.into_iter().enumerate() {
        let now = START + Duration::from_millis(500 * nth as u64);
        zones.on_request(now, 0);
        let start = AttemptStart {
            to,
            class: 0,
            build: 7,
            previous_attempts: nth,
            hedged: nth == 2,
            is_canary: false,
            pinned_to_scope: false,
        };
        let reservation = zones.on_attempt(now, start, |_| ZoneCounts::default());
        let end = CompletedAttempt {
            outcome,
            fault: response_fault,
            fully_written: true,
            bytes_sent: 180,
            bytes_received: 420,
            latency: Duration::from_millis(20 + 5 * nth as u64),
        };
        zones.on_attempt_end(now, &reservation, &end);
    }
    zones
}

fn serialized() -> Vec<String> {
    let names = DisplayNames {
        agent: "agent-1".into(),
        zones: vec!["a".into(), "b".into()],
        classes: vec!["view".into()],
    };
    let clock = ClockMapping {
        now: START + Duration::from_secs(5),
        unix_now: Duration::from_secs(1_700_000_000),
        started: START,
    };
    let zones = account();
    let mut cursor = ReportCursor::Head;
    let mut written = Vec::new();
    while cursor != ReportCursor::Finished {
        let (lines, next) = zones.lines(&names, clock, cursor);
        written.extend(lines.iter().map(|l| serde_json::to_string(l).unwrap()));
        cursor = next;
    }
    written
}

#[test]
fn each_kind_of_line_keeps_its_serialized_form() {
    let expected: Vec<&str> = include_str!("data/report_lines.jsonl").lines().collect();
    assert_eq!(expected.len(), 10);
    assert_eq!(serialized(), expected);
}

#[test]
fn a_document_keeps_its_serialized_form_and_reads_back_what_was_written() {
    let mut document = Document::default();
    for text in serialized() {
        let line: ReportLine = serde_json::from_str(&text).unwrap();
        assert_eq!(serde_json::to_string(&line).unwrap(), text);
        document.add_line(line).unwrap();
    }
    assert!(document.is_complete());
    let value = serde_json::to_value(&document).unwrap();
    let keys: Vec<&String> = value.as_object().unwrap().keys().collect();
    assert_eq!(keys, ["delays", "heads", "links", "series"]);
    assert_eq!(value["series"][0]["bins"][0].as_array().unwrap().len(), 6);
}

#[test]
fn rejects_a_header_of_another_version() {
    let text = serialized()[0].replace("\"version\":1", "\"version\":2");
    let line: ReportLine = serde_json::from_str(&text).unwrap();
    let error = Document::default().add_line(line).unwrap_err();
    assert_eq!(
        error.to_string(),
        "unsupported report version 2, expected version 1"
    );
}
