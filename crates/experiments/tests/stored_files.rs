//! Checks that files written by earlier versions of this program are still read, and written, the
//! same.

use std::path::{Path, PathBuf};
use std::time::Duration;
use tulipwall::Idempotency;
use tulipwall_experiments::records::{self, Header, RecordFile};
use tulipwall_experiments::run;
use tulipwall_experiments::scenario::{ClientKind, Link, Scenario, Value};

/// Records of the scenario `version-1.kdl`, as the program wrote them before its records were
/// reorganised (commit 31575e5).
const RECORDS: &str = "version-1.records";
const SCENARIO: &str = "version-1.kdl";

fn data(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/data")
        .join(name)
}

fn scenario_text() -> String {
    std::fs::read_to_string(data(SCENARIO)).unwrap()
}

#[test]
fn reads_records_of_version_1() {
    let (header, records) = records::read(&data(RECORDS)).unwrap();
    assert_eq!(
        header,
        Header {
            version: 1,
            name: "a slow build in two zones".into(),
            scenario_checksum: 848_312_536,
        }
    );
    assert_eq!(
        header,
        Header::of("a slow build in two zones", &scenario_text())
    );
    assert_eq!(records.len(), 2);
    for (record, (point, slowness)) in records.iter().zip([(0, "1"), (1, "3")]) {
        assert_eq!((record.point, record.seed), (point, 1));
        let values = [("slowness", slowness), ("routing", "near-first")];
        let values = values.map(|(key, value)| (key.to_owned(), value.to_owned()));
        assert_eq!(record.values, values);
        assert!(record.violations.is_empty());
    }
    let first = &records[0];
    assert_eq!(first.figures.len(), 18);
    assert_eq!(first.figures["good"], 0.979_797_979_797_979_8);
    assert_eq!(first.figures["crossing"], 0.136_363_636_363_636_35);
    assert_eq!(first.figures["p99_ms"], 93.567);
    assert_eq!(first.latencies_us[..3], [(8343, 1), (8423, 2), (8559, 1)]);
    assert_eq!(records[1].latencies_us[..2], [(8423, 3), (8527, 1)]);
}

#[test]
fn writes_records_of_version_1_to_the_byte() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join(RECORDS);
    let bytes = std::fs::read(data(RECORDS)).unwrap();
    std::fs::write(&path, &bytes).unwrap();
    let header = Header::of("a slow build in two zones", &scenario_text());
    // Opening a file rewrites it.
    let reopened = RecordFile::open(&path, header.clone()).unwrap();
    assert_eq!(std::fs::read(&path).unwrap(), bytes);
    // Appending the same records to a new file gives the same bytes.
    let appended_path = folder.path().join("next-run.records");
    let mut appended = RecordFile::open(&appended_path, header).unwrap();
    for record in &reopened.records {
        appended.add(record.clone()).unwrap();
    }
    drop(appended);
    assert_eq!(std::fs::read(&appended_path).unwrap(), bytes);
}

#[test]
fn reads_the_scenario_of_the_records() {
    let scenario = Scenario::read(&scenario_text()).unwrap();
    assert_eq!(scenario.name, "a slow build in two zones");
    assert_eq!((scenario.seeds, scenario.agents), (1, 3));
    assert_eq!(scenario.duration, Duration::from_secs(2));
    assert_eq!((scenario.rate, scenario.constant_work_share), (100.0, 0.4));
    assert_eq!(scenario.clients, ClientKind::Open);
    let delay = Duration::from_millis(2);
    assert_eq!(
        scenario.links,
        [
            Link {
                from: 0,
                to: 1,
                delay
            },
            Link {
                from: 1,
                to: 0,
                delay
            }
        ]
    );
    let payment = &scenario.classes[1];
    assert_eq!(payment.idempotency, Idempotency::NonIdempotent);
    assert_eq!(payment.deadline, Duration::from_secs(2));
    assert_eq!(payment.latency_objective, Duration::from_millis(400));
    assert_eq!((payment.priority_weight, payment.load_weight), (9.0, 0.1));
    let rollout = scenario.rollout.as_ref().unwrap();
    assert_eq!(rollout.stages, [0.2, 1.0]);
    assert_eq!((rollout.failure_rate, rollout.endpoints), (0.01, 2));
    // The scenario has the same points as the records.
    let (_, records) = records::read(&data(RECORDS)).unwrap();
    let points = scenario.points();
    assert_eq!(points.len(), records.len());
    assert_eq!(points[1][0].value, Value::Number(3.0));
    for (index, point) in points.iter().enumerate() {
        let record = run::run(&scenario, index, point, 1);
        assert_eq!(record.values, records[index].values);
        assert!(record.figures.keys().eq(records[index].figures.keys()));
    }
}

#[test]
fn reads_the_published_scenarios() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/experiments");
    let points_of = |name: &str| {
        let text = std::fs::read_to_string(folder.join(name)).unwrap();
        let scenario = Scenario::read(&text).unwrap_or_else(|all| panic!("{name}: {all:?}"));
        scenario.points().len()
    };
    let names = [
        "bad-build.kdl",
        "brownout.kdl",
        "slow-build.kdl",
        "speed.kdl",
        "zone-lost.kdl",
    ];
    assert_eq!(names.map(points_of), [8, 9, 16, 3, 6]);
}
